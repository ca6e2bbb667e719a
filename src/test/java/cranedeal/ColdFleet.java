package cranedeal;

import cranedeal.LoadBalancer.Change;
import cranedeal.LoadBalancer.Outcome;
import cranedeal.LoadBalancer.Request;
import cranedeal.LoadBalancer.Result;
import cranedeal.LoadBalancer.Settings;
import cranedeal.LoadBalancer.State;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * Many balancers, each the real module, before the same servers in virtual time. Some of the servers start
 * anew and are cold; what all balancers together send to each of them is counted in every window.
 */
final class ColdFleet {

    /** Ms of steady traffic before servers start anew. */
    private static final double BEFORE = 15_000;
    private static final double AFTER = 12_000;
    private static final int CORES = 4;
    /** Requests that a server holds, in service and waiting. */
    private static final int HOLDS = 40;
    private static final double TRIP = 1;
    /** Ms within which all balancers are told of the start. */
    private static final double TOLD_WITHIN = 300;
    private static final int TRIES = 4;
    private static final double RETURN_SHARE = 0.8;

    /**
     * What happens.
     *
     * @param perBalancer requests a second of a balancer in the mean
     * @param load steady traffic over the capacity of all servers when warm
     * @param cold how many of the servers start anew
     * @param burst times the traffic during the burst
     * @param burstAfter ms from the start of the cold servers to that of the burst
     * @param lost share of the warm servers that are lost for the time of the burst
     * @param loss how: they can't be reached and the list doesn't tell, or it lists them as draining
     * @param start whether the list tells of the start, or operators put the servers back and it doesn't
     * @param heaviest times the mean traffic that one balancer has
     * @param repeats whether clients come again after a refusal or failure, and whether they mark that
     */
    record Case(String name, int balancers, int servers, double perBalancer, double load, int cold,
            double burst, double burstAfter, double lost, Loss loss, double heaviest, Repeats repeats,
            Start start) {

        Case named(String newName) {
            return new Case(newName, balancers, servers, perBalancer, load, cold, burst, burstAfter, lost,
                    loss, heaviest, repeats, start);
        }

        Case with(Start how) {
            return new Case(name, balancers, servers, perBalancer, load, cold, burst, burstAfter, lost,
                    loss, heaviest, repeats, how);
        }

        Case with(Repeats how) {
            return new Case(name, balancers, servers, perBalancer, load, cold, burst, burstAfter, lost,
                    loss, heaviest, how, start);
        }

        Case rate(double mean) {
            return new Case(name, balancers, servers, mean, load, cold, burst, burstAfter, lost,
                    loss, heaviest, repeats, start);
        }

        Case cold(int count) {
            return new Case(name, balancers, servers, perBalancer, load, count, burst, burstAfter, lost,
                    loss, heaviest, repeats, start);
        }

        Case heaviest(double times) {
            return new Case(name, balancers, servers, perBalancer, load, cold, burst, burstAfter, lost,
                    loss, times, repeats, start);
        }

        Case burst(double times, double after) {
            return new Case(name, balancers, servers, perBalancer, load, cold, times, after, lost,
                    loss, heaviest, repeats, start);
        }

        Case lose(double part, Loss how) {
            return new Case(name, balancers, servers, perBalancer, load, cold, burst, burstAfter, part,
                    how, heaviest, repeats, start);
        }
    }

    enum Repeats { NONE, MARKED, UNMARKED }

    enum Loss { UNREACHABLE, DRAINING }

    enum Start { LISTED, PUT_BACK }

    /**
     * What was seen.
     *
     * @param worst most sent to a cold server in a window, over what it may get
     * @param most that count
     * @param allowed that bound
     * @param share calls to cold servers over their capacity's share of the requests, while cold
     * @param served share of the first tries that were served in time, or a repeat of them
     */
    record Seen(double worst, int most, double allowed, double share, double served) { }

    private record Event(double at, long order, Runnable action) { }

    private final Case its;
    private final SplittableRandom random;
    private final Settings settings;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::at).thenComparingLong(Event::order));
    private final List<Machine> machines = new ArrayList<>();
    private final List<Node> nodes = new ArrayList<>();
    private final double startAt = 100_000;
    private final double coldAt = startAt + BEFORE;
    private final double end = coldAt + AFTER;
    private final double capacityPerMs;
    private double now = startAt;
    private long order;
    private long ids;
    private int asked;
    private int answered;
    private int toCold;
    private double coldShare;
    private Seen seen = new Seen(0, 0, 0, 0, 0);

    private ColdFleet(Case its, long seed) {
        this.its = its;
        random = new SplittableRandom(seed);
        settings = site(0, its);
        capacityPerMs = its.balancers() * its.perBalancer() / 1_000 / its.load() / its.servers();
        for (int i = 0; i < its.servers(); i++) {
            machines.add(new Machine(i + 1));
        }
        for (int i = 0; i < its.balancers(); i++) {
            nodes.add(new Node(i, seed * 1_000 + i));
        }
    }

    private static Settings site(int position, Case its) {
        return Sites.plain().siblings(its.balancers()).position(position)
                .retriesMarked(its.repeats() == Repeats.MARKED).startCapacity(0.15).build();
    }

    static Seen play(Case its, long seed) {
        return new ColdFleet(its, seed).play();
    }

    private Seen play() {
        nodes.forEach(node -> node.list(Change.CACHED));
        double rest = its.balancers() == 1 ? 1
                : (its.balancers() - its.heaviest()) / (its.balancers() - 1);
        for (Node node : nodes) {
            double part = node.position == 0 ? its.heaviest() : rest;
            node.perMs = its.perBalancer() / 1_000 * part;
            at(now + random.nextDouble() / node.perMs, node::arrive);
        }
        at(coldAt, this::restart);
        if (its.start() == Start.PUT_BACK) {
            at(coldAt - 3_000, () -> tellAll(node -> node.ban(true)));
        }
        if (its.loss() == Loss.DRAINING) {
            at(coldAt + its.burstAfter(), this::drain);
        }
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event event = events.poll();
            now = Math.max(now, event.at());
            event.action().run();
        }
        return new Seen(seen.worst(), seen.most(), seen.allowed(), toCold / Math.max(1, coldShare),
                (double) answered / Math.max(1, asked));
    }

    private void restart() {
        for (Machine machine : machines.subList(0, its.cold())) {
            machine.startedAt = now;
            if (its.start() == Start.LISTED) {
                machine.listed.startedAt(now);
            }
        }
        tellAll(node -> {
            node.list(Change.FULL);
            if (its.start() == Start.PUT_BACK) {
                node.ban(false);
            }
        });
    }

    private void drain() {
        machines.stream().filter(this::isLost).forEach(machine -> machine.listed.state(State.DRAINING));
        tellAll(node -> node.list(Change.FULL));
    }

    private boolean isLost(Machine machine) {
        return machine.id > its.servers() - its.lost() * (its.servers() - its.cold());
    }

    private void tellAll(Consumer<Node> news) {
        nodes.forEach(node -> at(now + random.nextDouble() * TOLD_WITHIN, () -> news.accept(node)));
    }

    private boolean inBurst() {
        return now >= coldAt + its.burstAfter() && now < coldAt + its.burstAfter() + 4_000;
    }

    private void at(double time, Runnable action) {
        events.add(new Event(time, order++, action));
    }

    private double exponential() {
        return -Math.log(1 - random.nextDouble());
    }

    private final class Machine {
        private final long id;
        private final Sites.Server listed;
        private final double[] free = new double[CORES];
        private double startedAt;
        private int held;
        private final ArrayDeque<Double> window = new ArrayDeque<>();

        Machine(long id) {
            this.id = id;
            listed = Sites.server(id);
        }

        double warmth(double time) {
            double from = settings.rules().startCapacity();
            double age = Math.max(0, time - startedAt);
            return startedAt == 0 ? 1 : Math.min(1, from + (1 - from) * age / settings.rules().warmUp());
        }

        void count() {
            if (startedAt == 0 || warmth(now) >= 1) {
                return;
            }
            toCold++;
            double span = settings.rules().fallAfter();
            window.addLast(now);
            while (window.peekFirst() <= now - span) {
                window.removeFirst();
            }
            // Of the capacities in the window the least counts.
            double n = settings.rules().fallMultiple() * capacityPerMs * span
                    * warmth(Math.max(startedAt, now - span));
            double allowed = n + 2 * Math.sqrt(n) + 2;
            if (window.size() / allowed > seen.worst()) {
                seen = new Seen(window.size() / allowed, window.size(), allowed, 0, 0);
            }
        }

        /** Serves a request or turns it away, and tells when and how. */
        Result take(double[] takes) {
            count();
            if (its.loss() == Loss.UNREACHABLE && isLost(this) && inBurst()) {
                takes[0] = settings.limits().connectTimeout();
                return Result.CONNECT_FAILED;
            }
            if (held >= HOLDS) {
                takes[0] = TRIP;
                return Result.FULL;
            }
            int core = 0;
            for (int i = 1; i < CORES; i++) {
                core = free[i] < free[core] ? i : core;
            }
            double work = (0.5 + 0.5 * exponential()) * CORES / (capacityPerMs * warmth(now));
            // Smaller than a real server's queue would make it, so that latencies stay far below the aim.
            free[core] = Math.max(now, free[core]) + work;
            held++;
            at(free[core], () -> held--);
            takes[0] = free[core] - now + TRIP;
            return Result.OK;
        }
    }

    private final class Node implements LoadBalancer.Actions {
        private final int position;
        private final LoadBalancer balancer = new LatencyWeightedBalancer(this);
        private final Map<Long, Integer> attempts = new HashMap<>();
        private final Map<Long, Integer> tries = new HashMap<>();
        private double perMs;

        Node(int position, long seed) {
            this.position = position;
            balancer.start(now, site(position, its), seed);
        }

        void list(Change change) {
            balancer.upstreamsChanged(now, change,
                    machines.stream().map(machine -> machine.listed.listed()).toList());
        }

        void ban(boolean banned) {
            machines.subList(0, its.cold()).forEach(machine ->
                    balancer.upstreamDisabled(now, machine.id, banned));
        }

        void arrive() {
            double rate = perMs * (inBurst() ? its.burst() : 1);
            at(now + exponential() / rate, this::arrive);
            if (now >= coldAt) {
                asked++;
                double warm = machines.stream().mapToDouble(machine -> machine.warmth(now)).sum();
                coldShare += machines.subList(0, its.cold()).stream().mapToDouble(machine ->
                        machine.warmth(now) < 1 ? machine.warmth(now) : 0).sum() / warm;
            }
            ask(1);
        }

        private void ask(int attempt) {
            long id = ids++;
            tries.put(id, attempt);
            attempts.put(id, 0);
            boolean marked = attempt > 1 && its.repeats() == Repeats.MARKED;
            balancer.request(now, new Request(id, random.nextInt(2), 0, id, now + Sites.DEADLINE, 0, marked,
                    false));
        }

        private void unserved(long id, double wait) {
            Integer attempt = tries.remove(id);
            attempts.remove(id);
            if (attempt != null && its.repeats() != Repeats.NONE && attempt < TRIES
                    && random.nextDouble() < RETURN_SHARE) {
                at(now + Math.max(wait, 100 * attempt * (0.5 + random.nextDouble())), () -> ask(attempt + 1));
            }
        }

        @Override
        public void send(long id, long upstream, double timeout) {
            int number = attempts.merge(id, 1, Integer::sum) - 1;
            double[] takes = new double[1];
            Result result = machines.get((int) upstream - 1).take(takes);
            double sentAt = now;
            double most = timeout > 0 ? Math.min(timeout, Sites.DEADLINE) : Sites.DEADLINE;
            Result ends = takes[0] > most ? Result.TIMEOUT : result;
            at(now + Math.min(takes[0], most), () -> {
                boolean open = attempts.containsKey(id);
                if (ends == Result.OK && open) {
                    answered += sentAt >= coldAt ? 1 : 0;
                    attempts.remove(id);
                    tries.remove(id);
                    open = false;
                }
                balancer.attemptFinished(now, new Outcome(id, number, upstream, ends, !open, now - sentAt,
                        null));
            });
        }

        @Override
        public void refuse(long id, double retryAfter) {
            unserved(id, retryAfter);
        }

        @Override
        public void fail(long id) {
            unserved(id, 0);
        }

        @Override
        public void setTimer(long token, double time) {
            at(time, () -> balancer.timer(now, token));
        }

        @Override
        public void cancel(long id, int attempt) {
            throw new AssertionError("nothing is sent in two copies, and no client leaves");
        }

        @Override
        public void closeIdle(long upstream) {
            // No connection is kept here.
        }

        @Override
        public void watch(boolean on) {
            throw new AssertionError("lists are pushed here");
        }

        @Override
        public void probe(long upstream) {
            throw new AssertionError("no site of these tests allows probes");
        }

        @Override
        public void fetch() {
            throw new AssertionError("nothing needs a fetch");
        }

        @Override
        public void sendToPeer(int peer, byte[] payload) {
            throw new AssertionError("no site of these tests has peers");
        }

        @Override
        public void log(String text) {
            // Log lines decide nothing.
        }
    }
}
