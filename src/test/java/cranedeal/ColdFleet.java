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
 * Simulates many balancers, each running the real decision code, and their shared servers in virtual time.
 * Some of the servers restart and are cold; the calls of all balancers to each cold server are counted over
 * sliding windows.
 */
final class ColdFleet {

    /** Ms of steady traffic before servers restart. */
    private static final double STEADY_MS = 15_000;
    private static final double MEASURED_MS = 12_000;
    private static final int CORES = 4;
    /** Max requests at a server, in service and queued. */
    private static final int MAX_HELD = 40;
    private static final double NETWORK_MS = 1;
    /** Ms within which all balancers are notified of the restart. */
    private static final double MAX_NOTICE_MS = 300;
    private static final int MAX_TRIES = 4;
    private static final double REPEAT_SHARE = 0.8;

    /**
     * A scenario.
     *
     * @param perBalancer mean requests per second of a balancer
     * @param load steady traffic divided by the capacity of all warm servers
     * @param cold number of servers that restart
     * @param burst factor on the traffic during the burst
     * @param burstAfter ms from the restart to the burst
     * @param lost share of the warm servers that are lost during the burst
     * @param loss how they are lost: unreachable and still listed, or listed as draining
     * @param heaviest traffic of the busiest balancer, as a multiple of the mean
     * @param repeats whether clients retry after a refusal or failure, and whether they mark retries
     * @param start whether the list reports the restart, or operators enable the servers again and it
     *     does not
     */
    record Scenario(String name, int balancers, int servers, double perBalancer, double load, int cold,
            double burst, double burstAfter, double lost, Loss loss, double heaviest, Repeats repeats,
            Start start) {

        Scenario named(String newName) {
            return new Scenario(newName, balancers, servers, perBalancer, load, cold, burst, burstAfter, lost,
                    loss, heaviest, repeats, start);
        }

        Scenario with(Start how) {
            return new Scenario(name, balancers, servers, perBalancer, load, cold, burst, burstAfter, lost,
                    loss, heaviest, repeats, how);
        }

        Scenario with(Repeats how) {
            return new Scenario(name, balancers, servers, perBalancer, load, cold, burst, burstAfter, lost,
                    loss, heaviest, how, start);
        }

        Scenario rate(double mean) {
            return new Scenario(name, balancers, servers, mean, load, cold, burst, burstAfter, lost,
                    loss, heaviest, repeats, start);
        }

        Scenario cold(int count) {
            return new Scenario(name, balancers, servers, perBalancer, load, count, burst, burstAfter, lost,
                    loss, heaviest, repeats, start);
        }

        Scenario heaviest(double times) {
            return new Scenario(name, balancers, servers, perBalancer, load, cold, burst, burstAfter, lost,
                    loss, times, repeats, start);
        }

        Scenario burst(double times, double after) {
            return new Scenario(name, balancers, servers, perBalancer, load, cold, times, after, lost,
                    loss, heaviest, repeats, start);
        }

        Scenario lose(double part, Loss how) {
            return new Scenario(name, balancers, servers, perBalancer, load, cold, burst, burstAfter, part,
                    how, heaviest, repeats, start);
        }
    }

    enum Repeats { NONE, MARKED, UNMARKED }

    enum Loss { UNREACHABLE, DRAINING }

    enum Start { LISTED, REENABLED }

    /**
     * Results of a run.
     *
     * @param worstRatio max calls to a cold server in a window, divided by the allowed number
     * @param worstCount number of calls in that window
     * @param allowed allowed number of calls in that window
     * @param coldShare calls to cold servers divided by their share of the requests by capacity
     * @param servedShare share of the first tries that were served in time, or of which a retry was
     */
    record Observed(double worstRatio, int worstCount, double allowed, double coldShare,
            double servedShare) { }

    private record Event(double at, long order, Runnable action) { }

    private final Scenario scenario;
    private final SplittableRandom random;
    private final Settings settings;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::at).thenComparingLong(Event::order));
    private final List<Machine> machines = new ArrayList<>();
    private final List<Node> nodes = new ArrayList<>();
    private final double startAt = 100_000;
    private final double coldAt = startAt + STEADY_MS;
    private final double end = coldAt + MEASURED_MS;
    private final double capacityPerMs;
    private double now = startAt;
    private long order;
    private long nextId;
    private int firstTries;
    private int servedTries;
    private int coldCalls;
    private double coldShare;
    private Observed observed = new Observed(0, 0, 0, 0, 0);

    private ColdFleet(Scenario scenario, long seed) {
        this.scenario = scenario;
        random = new SplittableRandom(seed);
        settings = site(0, scenario);
        capacityPerMs = scenario.balancers() * scenario.perBalancer() / 1_000 / scenario.load()
                / scenario.servers();
        for (int i = 0; i < scenario.servers(); i++) {
            machines.add(new Machine(i + 1));
        }
        for (int i = 0; i < scenario.balancers(); i++) {
            nodes.add(new Node(i, seed * 1_000 + i));
        }
    }

    private static Settings site(int position, Scenario scenario) {
        return Sites.plain().siblings(scenario.balancers()).position(position)
                .retriesMarked(scenario.repeats() == Repeats.MARKED).startCapacity(0.15).build();
    }

    static Observed run(Scenario scenario, long seed) {
        return new ColdFleet(scenario, seed).run();
    }

    private Observed run() {
        nodes.forEach(node -> node.list(Change.CACHED));
        double otherTraffic = scenario.balancers() == 1 ? 1
                : (scenario.balancers() - scenario.heaviest()) / (scenario.balancers() - 1);
        for (Node node : nodes) {
            double part = node.position == 0 ? scenario.heaviest() : otherTraffic;
            node.perMs = scenario.perBalancer() / 1_000 * part;
            schedule(now + random.nextDouble() / node.perMs, node::arrive);
        }
        schedule(coldAt, this::restart);
        if (scenario.start() == Start.REENABLED) {
            schedule(coldAt - 3_000, () -> notifyAll(node -> node.disable(true)));
        }
        if (scenario.loss() == Loss.DRAINING) {
            schedule(coldAt + scenario.burstAfter(), this::drain);
        }
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event event = events.poll();
            now = Math.max(now, event.at());
            event.action().run();
        }
        return new Observed(observed.worstRatio(), observed.worstCount(), observed.allowed(),
                coldCalls / Math.max(1, coldShare), (double) servedTries / Math.max(1, firstTries));
    }

    private void restart() {
        for (Machine machine : machines.subList(0, scenario.cold())) {
            machine.startedAt = now;
            if (scenario.start() == Start.LISTED) {
                machine.listed.startedAt(now);
            }
        }
        notifyAll(node -> {
            node.list(Change.FULL);
            if (scenario.start() == Start.REENABLED) {
                node.disable(false);
            }
        });
    }

    private void drain() {
        machines.stream().filter(this::isLost).forEach(machine -> machine.listed.state(State.DRAINING));
        notifyAll(node -> node.list(Change.FULL));
    }

    private boolean isLost(Machine machine) {
        return machine.id > scenario.servers() - scenario.lost() * (scenario.servers() - scenario.cold());
    }

    private void notifyAll(Consumer<Node> notification) {
        nodes.forEach(node -> schedule(now + random.nextDouble() * MAX_NOTICE_MS,
                () -> notification.accept(node)));
    }

    private boolean inBurst() {
        return now >= coldAt + scenario.burstAfter() && now < coldAt + scenario.burstAfter() + 4_000;
    }

    private void schedule(double time, Runnable action) {
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
        private int inProgress;
        private final ArrayDeque<Double> window = new ArrayDeque<>();

        Machine(long id) {
            this.id = id;
            listed = Sites.server(id);
        }

        double warmth(double time) {
            double startCapacity = settings.rules().startCapacity();
            double age = Math.max(0, time - startedAt);
            return startedAt == 0 ? 1 : Math.min(1, startCapacity
                    + (1 - startCapacity) * age / settings.rules().warmUp());
        }

        void count() {
            if (startedAt == 0 || warmth(now) >= 1) {
                return;
            }
            coldCalls++;
            double span = settings.rules().overloadWindow();
            window.addLast(now);
            while (window.peekFirst() <= now - span) {
                window.removeFirst();
            }
            // The lowest capacity in the window counts.
            double n = settings.rules().overloadFactor() * capacityPerMs * span
                    * warmth(Math.max(startedAt, now - span));
            double allowed = n + 2 * Math.sqrt(n) + 2;
            if (window.size() / allowed > observed.worstRatio()) {
                observed = new Observed(window.size() / allowed, window.size(), allowed, 0, 0);
            }
        }

        /** Serves or rejects a request; returns the result, and its duration in {@code takes[0]}. */
        Result take(double[] takes) {
            count();
            if (scenario.loss() == Loss.UNREACHABLE && isLost(this) && inBurst()) {
                takes[0] = settings.limits().connectTimeout();
                return Result.CONNECT_FAILED;
            }
            if (inProgress >= MAX_HELD) {
                takes[0] = NETWORK_MS;
                return Result.FULL;
            }
            int core = 0;
            for (int i = 1; i < CORES; i++) {
                core = free[i] < free[core] ? i : core;
            }
            double work = (0.5 + 0.5 * exponential()) * CORES / (capacityPerMs * warmth(now));
            // Shorter than with a real server's queue, so that latencies stay far below the aim.
            free[core] = Math.max(now, free[core]) + work;
            inProgress++;
            schedule(free[core], () -> inProgress--);
            takes[0] = free[core] - now + NETWORK_MS;
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
            balancer.start(now, site(position, scenario), seed);
        }

        void list(Change change) {
            balancer.upstreamsChanged(now, change,
                    machines.stream().map(machine -> machine.listed.listed()).toList());
        }

        void disable(boolean disabled) {
            machines.subList(0, scenario.cold()).forEach(machine ->
                    balancer.upstreamDisabled(now, machine.id, disabled));
        }

        void arrive() {
            double rate = perMs * (inBurst() ? scenario.burst() : 1);
            schedule(now + exponential() / rate, this::arrive);
            if (now >= coldAt) {
                firstTries++;
                double warm = machines.stream().mapToDouble(machine -> machine.warmth(now)).sum();
                coldShare += machines.subList(0, scenario.cold()).stream().mapToDouble(machine ->
                        machine.warmth(now) < 1 ? machine.warmth(now) : 0).sum() / warm;
            }
            ask(1);
        }

        private void ask(int attempt) {
            long id = nextId++;
            tries.put(id, attempt);
            attempts.put(id, 0);
            boolean marked = attempt > 1 && scenario.repeats() == Repeats.MARKED;
            balancer.request(now, new Request(id, random.nextInt(2), 0, id, now + Sites.DEADLINE, 0, marked,
                    false));
        }

        private void unserved(long id, double wait) {
            Integer attempt = tries.remove(id);
            attempts.remove(id);
            if (attempt != null && scenario.repeats() != Repeats.NONE && attempt < MAX_TRIES
                    && random.nextDouble() < REPEAT_SHARE) {
                schedule(now + Math.max(wait, 100 * attempt * (0.5 + random.nextDouble())),
                        () -> ask(attempt + 1));
            }
        }

        @Override
        public void send(long id, long upstream, double timeout) {
            int number = attempts.merge(id, 1, Integer::sum) - 1;
            double[] takes = new double[1];
            Result result = machines.get((int) upstream - 1).take(takes);
            double sentAt = now;
            double limit = timeout > 0 ? Math.min(timeout, Sites.DEADLINE) : Sites.DEADLINE;
            Result endsWith = takes[0] > limit ? Result.TIMEOUT : result;
            schedule(now + Math.min(takes[0], limit), () -> {
                boolean open = attempts.containsKey(id);
                if (endsWith == Result.OK && open) {
                    servedTries += sentAt >= coldAt ? 1 : 0;
                    attempts.remove(id);
                    tries.remove(id);
                    open = false;
                }
                balancer.attemptFinished(now, new Outcome(id, number, upstream, endsWith, !open, now - sentAt,
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
            schedule(time, () -> balancer.timer(now, token));
        }

        @Override
        public void cancel(long id, int attempt) {
            throw new AssertionError("nothing is hedged, and no client disconnects");
        }

        @Override
        public void closeIdle(long upstream) {
            // No connections are simulated.
        }

        @Override
        public void watch(boolean on) {
            throw new AssertionError("lists are pushed in this simulation");
        }

        @Override
        public void probe(long upstream) {
            throw new AssertionError("these tests use no site with probes");
        }

        @Override
        public void fetch() {
            throw new AssertionError("nothing needs a fetch");
        }

        @Override
        public void sendToPeer(int peer, byte[] payload) {
            throw new AssertionError("these tests use no site with peers");
        }

        @Override
        public void log(String text) {
            // Log lines are not checked.
        }
    }
}
