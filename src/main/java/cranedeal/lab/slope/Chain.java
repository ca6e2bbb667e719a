package cranedeal.lab.slope;

import cranedeal.LatencyWeightedBalancer;
import cranedeal.LoadBalancer;
import cranedeal.LoadBalancer.Change;
import cranedeal.LoadBalancer.Outcome;
import cranedeal.LoadBalancer.Request;
import cranedeal.LoadBalancer.Result;
import cranedeal.LoadBalancer.State;
import cranedeal.LoadBalancer.Upstream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Tiers of upstreams with a balancer before each tier, in virtual time: each upstream of a tier works, then
 * calls the next tier through a balancer of its own, and if that call fails, so does it. The leaf is well at
 * first, is in trouble for a while, and is well again. Balancers make their decisions with the program's own
 * module; time limits go down the chain, and an upstream doesn't begin what is over. No client comes again.
 */
final class Chain {

    /** What the leaf's upstreams do while they are in trouble. */
    enum Leaf {
        /** Nothing is wrong. */
        HEALTHY,
        /** Each answers 500 at once. */
        FAILING,
        /** Each takes so many times as long. */
        SLOW,
        /** Each is silent: what was under way and what comes over open connections has no answer. */
        GONE,
        /** Each is down on a machine that lives: connections are refused. */
        REFUSING
    }

    /**
     * What is played.
     *
     * @param tiers how many tiers of upstreams there are
     * @param width how many upstreams each has, and how many balancers are before the first
     * @param ratePerS how many requests come to each of these balancers in a second
     * @param workMs how long an upstream works on a request in the mean, exponentially
     * @param cores how many requests an upstream works on at a time
     * @param queue how many wait there at most; beyond that they are turned away
     * @param hopMs how long a message takes between two machines
     * @param slowTimes what {@link Leaf#SLOW} is
     * @param settleMs how long all is well before the trouble
     * @param troubleMs how long that lasts
     */
    record Shape(int tiers, int width, double ratePerS, double workMs, int cores, int queue, double hopMs,
            double slowTimes, double settleMs, double troubleMs) { }

    /**
     * What became of the requests that clients sent during the trouble.
     *
     * @param requests how many they were
     * @param admitted how many of them were sent on at least once
     * @param calls how many requests the balancers before each tier got for them, from the first tier on
     * @param attempts how many attempts these made
     * @param arrived how many of the attempts at the leaf came there
     * @param peak attempts at the leaf in the worst tenth of a second, whoever caused them, over the clients'
     *     requests in that time in the mean
     * @param workMs work that upstreams of each tier have done for them
     * @param wastedMs the part of it that was done when whoever asked for it had given up
     * @param goneCalls calls that upstreams began for a caller that had given up
     */
    record Seen(int requests, int admitted, int served, int refused, int failed, int unanswered,
            long[] calls, long[] attempts, long arrived, double peak, double[] workMs, double[] wastedMs,
            long goneCalls) { }

    private static final double MS_PER_S = 1_000;
    private static final double SLOT_MS = 100;
    /** How an answer ends for whoever asked. */
    private enum End { SERVED, REFUSED, FAILED, UNANSWERED }

    /** Whoever waits for an answer. */
    private interface Caller {
        void answered(End end);
    }

    private record Event(double at, long number, Runnable task) { }

    /** A client's request, with all that was done for it. */
    private static final class Root {
        private final boolean counts;
        private boolean admitted;

        Root(boolean counts) {
            this.counts = counts;
        }
    }

    private final Shape shape;
    private final Leaf leaf;
    private final SplittableRandom random;
    private final PriorityQueue<Event> events = new PriorityQueue<>(
            Comparator.comparingDouble(Event::at).thenComparingLong(Event::number));
    private final Host[][] hosts;
    private final Machine[][] machines;
    private double now;
    private long number;
    private int requests;
    private int admitted;
    private final int[] ends = new int[End.values().length];
    private final long[] calls;
    private final long[] attempts;
    private final double[] workMs;
    private final double[] wastedMs;
    private final int[] slots;
    private long arrived;
    private long goneCalls;

    private Chain(Shape shape, Leaf leaf, long seed) {
        this.shape = shape;
        this.leaf = leaf;
        random = new SplittableRandom(seed);
        calls = new long[shape.tiers()];
        attempts = new long[shape.tiers()];
        workMs = new double[shape.tiers()];
        wastedMs = new double[shape.tiers()];
        slots = new int[(int) Math.ceil((shape.troubleMs() + ChainSettings.DEADLINE_MS) / SLOT_MS)];
        hosts = new Host[shape.tiers()][shape.width()];
        machines = new Machine[shape.tiers()][shape.width()];
        for (int tier = 0; tier < shape.tiers(); tier++) {
            for (int i = 0; i < shape.width(); i++) {
                machines[tier][i] = new Machine(tier, i);
                hosts[tier][i] = new Host(tier, i);
            }
        }
    }

    /** Plays it once. */
    static Seen play(Shape shape, Leaf leaf, long seed) {
        return new Chain(shape, leaf, seed).run();
    }

    private Seen run() {
        double end = shape.settleMs() + shape.troubleMs();
        for (Host front : hosts[0]) {
            nextClient(front, end);
        }
        // All that was asked for in the trouble is over within a client's patience.
        double over = end + 2 * ChainSettings.DEADLINE_MS;
        while (!events.isEmpty() && events.peek().at() <= over) {
            Event event = events.poll();
            now = event.at();
            event.task().run();
        }
        int most = 0;
        for (int slot : slots) {
            most = Math.max(most, slot);
        }
        double usual = shape.width() * shape.ratePerS() * SLOT_MS / MS_PER_S;
        return new Seen(requests, admitted, ends[End.SERVED.ordinal()], ends[End.REFUSED.ordinal()],
                ends[End.FAILED.ordinal()], ends[End.UNANSWERED.ordinal()], calls, attempts, arrived,
                most / usual, workMs, wastedMs, goneCalls);
    }

    private void later(double at, Runnable task) {
        events.add(new Event(Math.max(now, at), number++, task));
    }

    private double exponential(double mean) {
        return -Math.log(1 - random.nextDouble()) * mean;
    }

    private void nextClient(Host front, double end) {
        double at = now + exponential(MS_PER_S / shape.ratePerS());
        if (at < end) {
            later(at, () -> {
                client(front);
                nextClient(front, end);
            });
        }
    }

    private void client(Host front) {
        Root root = new Root(now >= shape.settleMs());
        requests += root.counts ? 1 : 0;
        front.take(root, now + ChainSettings.DEADLINE_MS, end -> ends[end.ordinal()] += root.counts ? 1 : 0);
    }

    private boolean inTrouble(int tier, Leaf how) {
        return leaf == how && tier == shape.tiers() - 1 && now >= shape.settleMs()
                && now < shape.settleMs() + shape.troubleMs();
    }

    /** A request at a balancer. */
    private static final class Open {
        private final long id;
        private final Root root;
        private final double deadline;
        private final Caller caller;
        private final List<Attempt> tries = new ArrayList<>(1);
        private boolean over;

        Open(long id, Root root, double deadline, Caller caller) {
            this.id = id;
            this.root = root;
            this.deadline = deadline;
            this.caller = caller;
        }
    }

    private static final class Attempt {
        private final Open of;
        private final int number;
        private final int upstream;
        private final double sentAt;
        /** Until when its balancer waits. */
        private final double until;
        private boolean over;

        Attempt(Open of, int upstream, double sentAt, double until) {
            this.of = of;
            this.number = of.tries.size();
            this.upstream = upstream;
            this.sentAt = sentAt;
            this.until = until;
        }
    }

    /** A balancer: the module, and what a process does for it. */
    private final class Host implements LoadBalancer.Actions {

        private final int tier;
        private final LoadBalancer balancer = new LatencyWeightedBalancer(this);
        private final Map<Long, Open> open = new HashMap<>();
        /** Its open connections to each upstream that no request is on. */
        private final int[] idle = new int[shape.width()];
        private long lastId;

        Host(int tier, int position) {
            this.tier = tier;
            balancer.start(now, ChainSettings.of(tier, shape.tiers(), position, shape.width()),
                    random.nextLong());
            List<Upstream> list = new ArrayList<>();
            for (int i = 0; i < shape.width(); i++) {
                list.add(new Upstream(i, 0, 0, i / 2, State.READY, 1, 0));
            }
            balancer.upstreamsChanged(now, Change.CACHED, list);
        }

        void take(Root root, double deadline, Caller caller) {
            Open request = new Open(++lastId, root, deadline, caller);
            open.put(request.id, request);
            calls[tier] += root.counts ? 1 : 0;
            later(deadline, () -> {
                if (end(request, End.UNANSWERED)) {
                    balancer.clientGone(now, request.id);
                }
            });
            balancer.request(now, new Request(request.id, 0, 0, 0, deadline, 0, false, false));
        }

        private boolean end(Open request, End how) {
            if (request.over) {
                return false;
            }
            request.over = true;
            request.caller.answered(how);
            forget(request);
            return true;
        }

        private void forget(Open request) {
            if (request.over && request.tries.stream().allMatch(attempt -> attempt.over)) {
                open.remove(request.id);
            }
        }

        @Override
        public void send(long requestId, long upstream, double timeout) {
            Open request = open.get(requestId);
            int to = (int) upstream;
            Attempt attempt = new Attempt(request, to, now, now + timeout);
            request.tries.add(attempt);
            count(request.root);
            later(attempt.until, () -> finish(attempt, Result.TIMEOUT));
            boolean fresh = idle[to] == 0;
            idle[to] -= fresh ? 0 : 1;
            if (inTrouble(tier, Leaf.REFUSING)) {
                later(now + 2 * shape.hopMs(), () -> finish(attempt, Result.CONNECT_FAILED));
            } else if (!inTrouble(tier, Leaf.GONE)) {
                later(now + shape.hopMs(), () -> machines[tier][to].arrive(this, attempt));
            } else if (fresh) {
                later(now + ChainSettings.CONNECT_TIMEOUT_MS, () -> finish(attempt, Result.CONNECT_FAILED));
            }
        }

        private void count(Root root) {
            if (tier == 0 && root.counts && !root.admitted) {
                root.admitted = true;
                admitted++;
            }
            attempts[tier] += root.counts ? 1 : 0;
            int slot = (int) ((now - shape.settleMs()) / SLOT_MS);
            if (tier == shape.tiers() - 1 && now >= shape.settleMs() && slot < slots.length) {
                slots[slot]++;
            }
        }

        private void finish(Attempt attempt, Result result) {
            if (attempt.over) {
                return;
            }
            attempt.over = true;
            boolean kept = result == Result.OK || result == Result.ERROR || result == Result.FULL;
            idle[attempt.upstream] += kept ? 1 : 0;
            if (result == Result.OK) {
                end(attempt.of, End.SERVED);
            }
            forget(attempt.of);
            balancer.attemptFinished(now, new Outcome(attempt.of.id, attempt.number, attempt.upstream, result,
                    attempt.of.over, now - attempt.sentAt, null));
        }

        @Override
        public void refuse(long requestId, double retryAfter) {
            end(open.get(requestId), End.REFUSED);
        }

        @Override
        public void fail(long requestId) {
            end(open.get(requestId), End.FAILED);
        }

        @Override
        public void cancel(long requestId, int attempt) {
            Attempt cancelled = open.get(requestId).tries.get(attempt);
            later(now, () -> finish(cancelled, Result.CANCELLED));
        }

        @Override
        public void setTimer(long token, double at) {
            later(at, () -> balancer.timer(now, token));
        }

        @Override
        public void closeIdle(long upstream) {
            idle[(int) upstream] = 0;
        }

        @Override
        public void probe(long upstream) {
            throw new IllegalStateException("the module sends no probes");
        }

        @Override
        public void fetch() {
            throw new IllegalStateException("the module asks for changes only");
        }

        @Override
        public void watch(boolean on) {
            // The list never changes.
        }

        @Override
        public void sendToPeer(int peer, byte[] payload) {
            throw new IllegalStateException("balancers tell one another nothing");
        }

        @Override
        public void log(String text) {
            // Log lines decide nothing.
        }
    }

    /** An upstream: cores, and a queue before them, in order of arrival. */
    private final class Machine {

        private final int tier;
        private final int index;
        private final double[] freeAt = new double[shape.cores()];
        /** When each that waits will begin. */
        private final ArrayDeque<Double> begins = new ArrayDeque<>();

        Machine(int tier, int index) {
            this.tier = tier;
            this.index = index;
        }

        void arrive(Host from, Attempt attempt) {
            if (inTrouble(tier, Leaf.GONE)) {
                return;
            }
            arrived += attempt.of.root.counts && tier == shape.tiers() - 1 ? 1 : 0;
            if (inTrouble(tier, Leaf.FAILING)) {
                answer(from, attempt, Result.ERROR);
                return;
            }
            while (!begins.isEmpty() && begins.peek() <= now) {
                begins.poll();
            }
            int core = 0;
            for (int i = 1; i < freeAt.length; i++) {
                core = freeAt[i] < freeAt[core] ? i : core;
            }
            double begin = Math.max(now, freeAt[core]);
            if (begin > now && begins.size() >= shape.queue()) {
                answer(from, attempt, Result.FULL);
                return;
            }
            if (begin > now) {
                begins.add(begin);
            }
            if (begin >= attempt.until) {
                // By then it is over, and is not begun.
                return;
            }
            double work = exponential(shape.workMs()) * (inTrouble(tier, Leaf.SLOW) ? shape.slowTimes() : 1);
            freeAt[core] = begin + work;
            later(freeAt[core], () -> worked(from, attempt, work));
        }

        private void worked(Host from, Attempt attempt, double work) {
            if (attempt.of.root.counts) {
                workMs[tier] += work;
                wastedMs[tier] += attempt.over ? work : 0;
            }
            if (tier == shape.tiers() - 1) {
                answer(from, attempt, Result.OK);
            } else if (now < attempt.until) {
                goneCalls += attempt.over && attempt.of.root.counts ? 1 : 0;
                hosts[tier + 1][index].take(attempt.of.root, attempt.until,
                        end -> answer(from, attempt, end == End.SERVED ? Result.OK : Result.ERROR));
            }
        }

        private void answer(Host to, Attempt attempt, Result result) {
            if (!inTrouble(tier, Leaf.GONE)) {
                later(now + shape.hopMs(), () -> to.finish(attempt, result));
            }
        }
    }
}
