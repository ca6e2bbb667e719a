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
 * Simulates tiers of upstreams with balancers before each tier, in virtual time. Each upstream works on a
 * request, then calls the next tier through a balancer of its own; if that call fails, its answer is an
 * error. The last tier, the leaf, is healthy at first, then faulty for a while, then healthy again. The
 * balancers run the production decision code. Deadlines propagate down the chain, and an upstream doesn't
 * start a request whose deadline has passed. Clients do not retry.
 */
final class Chain {

    /** The fault of the leaf's upstreams. */
    enum Leaf {
        /** No fault. */
        HEALTHY,
        /** Each upstream answers 500 at once. */
        FAILING,
        /** Each upstream takes {@link Shape#slowTimes()} times as long. */
        SLOW,
        /** Each upstream is silent: requests in flight and new ones on open connections get no answer. */
        GONE,
        /** Each upstream process is down but its machine is up: connections are refused. */
        REFUSING
    }

    /**
     * The parameters of a run.
     *
     * @param tiers number of tiers of upstreams
     * @param width upstreams per tier, and balancers before the first tier
     * @param ratePerS requests per second at each balancer before the first tier
     * @param workMs mean of the exponentially distributed service time of an upstream
     * @param cores how many requests an upstream processes concurrently
     * @param queue maximum queue length of an upstream; further requests are rejected
     * @param hopMs one-way network delay between two machines
     * @param slowTimes factor on the service time for {@link Leaf#SLOW}
     * @param settleMs duration of the healthy phase before the fault
     * @param troubleMs duration of the fault
     */
    record Shape(int tiers, int width, double ratePerS, double workMs, int cores, int queue, double hopMs,
            double slowTimes, double settleMs, double troubleMs) { }

    /**
     * Results for the requests that clients sent during the fault.
     *
     * @param requests number of these requests
     * @param admitted how many of them had at least one attempt
     * @param calls requests that the balancers before each tier received for them, first tier first
     * @param attempts attempts of these balancers, by tier
     * @param arrived how many of the attempts at the leaf arrived there
     * @param peak attempts at the leaf in the worst 100 ms, those for other requests included, divided by the
     *     mean number of client requests in 100 ms
     * @param workMs work time of the upstreams of each tier for them
     * @param wastedMs the part of it that finished after the caller had given up
     * @param goneCalls calls to the next tier that upstreams started after their caller had given up
     */
    record Stats(int requests, int admitted, int served, int refused, int failed, int unanswered,
            long[] calls, long[] attempts, long arrived, double peak, double[] workMs, double[] wastedMs,
            long goneCalls) { }

    private static final double MS_PER_S = 1_000;
    private static final double SLOT_MS = 100;
    /** The outcome of a call for its caller. */
    private enum End { SERVED, REFUSED, FAILED, UNANSWERED }

    /** Waits for the outcome of a call. */
    private interface Caller {
        void answered(End end);
    }

    private record Event(double at, long number, Runnable task) { }

    /** A client's request, shared by all calls made for it. */
    private static final class ClientRequest {
        private final boolean counted;
        private boolean admitted;

        ClientRequest(boolean counts) {
            this.counted = counts;
        }
    }

    private final Shape shape;
    private final Leaf leaf;
    private final SplittableRandom random;
    private final PriorityQueue<Event> events = new PriorityQueue<>(
            Comparator.comparingDouble(Event::at).thenComparingLong(Event::number));
    private final BalancerHost[][] hosts;
    private final UpstreamMachine[][] machines;
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
        hosts = new BalancerHost[shape.tiers()][shape.width()];
        machines = new UpstreamMachine[shape.tiers()][shape.width()];
        for (int tier = 0; tier < shape.tiers(); tier++) {
            for (int i = 0; i < shape.width(); i++) {
                machines[tier][i] = new UpstreamMachine(tier, i);
                hosts[tier][i] = new BalancerHost(tier, i);
            }
        }
    }

    /** Runs the simulation once. */
    static Stats simulate(Shape shape, Leaf leaf, long seed) {
        return new Chain(shape, leaf, seed).run();
    }

    private Stats run() {
        double end = shape.settleMs() + shape.troubleMs();
        for (BalancerHost front : hosts[0]) {
            scheduleNextClient(front, end);
        }
        // All requests sent during the fault end within a client's deadline.
        double simulationEnd = end + 2 * ChainSettings.DEADLINE_MS;
        while (!events.isEmpty() && events.peek().at() <= simulationEnd) {
            Event event = events.poll();
            now = event.at();
            event.task().run();
        }
        int peakAttempts = 0;
        for (int slot : slots) {
            peakAttempts = Math.max(peakAttempts, slot);
        }
        double meanRequests = shape.width() * shape.ratePerS() * SLOT_MS / MS_PER_S;
        return new Stats(requests, admitted, ends[End.SERVED.ordinal()], ends[End.REFUSED.ordinal()],
                ends[End.FAILED.ordinal()], ends[End.UNANSWERED.ordinal()], calls, attempts, arrived,
                peakAttempts / meanRequests, workMs, wastedMs, goneCalls);
    }

    private void schedule(double at, Runnable task) {
        events.add(new Event(Math.max(now, at), number++, task));
    }

    private double exponential(double mean) {
        return -Math.log(1 - random.nextDouble()) * mean;
    }

    private void scheduleNextClient(BalancerHost front, double end) {
        double at = now + exponential(MS_PER_S / shape.ratePerS());
        if (at < end) {
            schedule(at, () -> {
                sendClientRequest(front);
                scheduleNextClient(front, end);
            });
        }
    }

    private void sendClientRequest(BalancerHost front) {
        ClientRequest root = new ClientRequest(now >= shape.settleMs());
        requests += root.counted ? 1 : 0;
        front.accept(root, now + ChainSettings.DEADLINE_MS,
                end -> ends[end.ordinal()] += root.counted ? 1 : 0);
    }

    private boolean hasFault(int tier, Leaf how) {
        return leaf == how && tier == shape.tiers() - 1 && now >= shape.settleMs()
                && now < shape.settleMs() + shape.troubleMs();
    }

    /** A request that a balancer has in hand. */
    private static final class PendingRequest {
        private final long id;
        private final ClientRequest root;
        private final double deadline;
        private final Caller caller;
        private final List<Attempt> attempts = new ArrayList<>(1);
        private boolean done;

        PendingRequest(long id, ClientRequest root, double deadline, Caller caller) {
            this.id = id;
            this.root = root;
            this.deadline = deadline;
            this.caller = caller;
        }
    }

    private static final class Attempt {
        private final PendingRequest request;
        private final int number;
        private final int upstream;
        private final double sentAt;
        /** When the balancer's timeout for this attempt expires. */
        private final double expiresAt;
        private boolean done;

        Attempt(PendingRequest of, int upstream, double sentAt, double until) {
            this.request = of;
            this.number = of.attempts.size();
            this.upstream = upstream;
            this.sentAt = sentAt;
            this.expiresAt = until;
        }
    }

    /** A balancer: the decision code and a simulated host for it. */
    private final class BalancerHost implements LoadBalancer.Actions {

        private final int tier;
        private final LoadBalancer balancer = new LatencyWeightedBalancer(this);
        private final Map<Long, PendingRequest> open = new HashMap<>();
        /** The number of idle connections to each upstream. */
        private final int[] idle = new int[shape.width()];
        private long lastId;

        BalancerHost(int tier, int position) {
            this.tier = tier;
            balancer.start(now, ChainSettings.of(tier, shape.tiers(), position, shape.width()),
                    random.nextLong());
            List<Upstream> list = new ArrayList<>();
            for (int i = 0; i < shape.width(); i++) {
                list.add(new Upstream(i, 0, 0, i / 2, State.READY, 1, 0));
            }
            balancer.upstreamsChanged(now, Change.CACHED, list);
        }

        void accept(ClientRequest root, double deadline, Caller caller) {
            PendingRequest request = new PendingRequest(++lastId, root, deadline, caller);
            open.put(request.id, request);
            calls[tier] += root.counted ? 1 : 0;
            schedule(deadline, () -> {
                if (end(request, End.UNANSWERED)) {
                    balancer.clientGone(now, request.id);
                }
            });
            balancer.request(now, new Request(request.id, 0, 0, 0, deadline, 0, false, false));
        }

        private boolean end(PendingRequest request, End how) {
            if (request.done) {
                return false;
            }
            request.done = true;
            request.caller.answered(how);
            removeIfDone(request);
            return true;
        }

        private void removeIfDone(PendingRequest request) {
            if (request.done && request.attempts.stream().allMatch(attempt -> attempt.done)) {
                open.remove(request.id);
            }
        }

        @Override
        public void send(long requestId, long upstream, double timeout) {
            PendingRequest request = open.get(requestId);
            int to = (int) upstream;
            Attempt attempt = new Attempt(request, to, now, now + timeout);
            request.attempts.add(attempt);
            count(request.root);
            schedule(attempt.expiresAt, () -> finish(attempt, Result.TIMEOUT));
            boolean newConnection = idle[to] == 0;
            idle[to] -= newConnection ? 0 : 1;
            if (hasFault(tier, Leaf.REFUSING)) {
                schedule(now + 2 * shape.hopMs(), () -> finish(attempt, Result.CONNECT_FAILED));
            } else if (!hasFault(tier, Leaf.GONE)) {
                schedule(now + shape.hopMs(), () -> machines[tier][to].arrive(this, attempt));
            } else if (newConnection) {
                schedule(now + ChainSettings.CONNECT_TIMEOUT_MS,
                        () -> finish(attempt, Result.CONNECT_FAILED));
            }
        }

        private void count(ClientRequest root) {
            if (tier == 0 && root.counted && !root.admitted) {
                root.admitted = true;
                admitted++;
            }
            attempts[tier] += root.counted ? 1 : 0;
            int slot = (int) ((now - shape.settleMs()) / SLOT_MS);
            if (tier == shape.tiers() - 1 && now >= shape.settleMs() && slot < slots.length) {
                slots[slot]++;
            }
        }

        private void finish(Attempt attempt, Result result) {
            if (attempt.done) {
                return;
            }
            attempt.done = true;
            boolean reusable = result == Result.OK || result == Result.ERROR || result == Result.FULL;
            idle[attempt.upstream] += reusable ? 1 : 0;
            if (result == Result.OK) {
                end(attempt.request, End.SERVED);
            }
            removeIfDone(attempt.request);
            balancer.attemptFinished(now, new Outcome(attempt.request.id, attempt.number, attempt.upstream,
                    result, attempt.request.done, now - attempt.sentAt, null));
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
            Attempt cancelled = open.get(requestId).attempts.get(attempt);
            schedule(now, () -> finish(cancelled, Result.CANCELLED));
        }

        @Override
        public void setTimer(long token, double at) {
            schedule(at, () -> balancer.timer(now, token));
        }

        @Override
        public void closeIdle(long upstream) {
            idle[(int) upstream] = 0;
        }

        @Override
        public void probe(long upstream) {
            throw new IllegalStateException("the decision code sends no probes with these settings");
        }

        @Override
        public void fetch() {
            throw new IllegalStateException("the decision code only watches for changes with these settings");
        }

        @Override
        public void watch(boolean on) {
            // The list never changes.
        }

        @Override
        public void sendToPeer(int peer, byte[] payload) {
            throw new IllegalStateException("balancers exchange no reports with these settings");
        }

        @Override
        public void log(String text) {
            // The simulation ignores log lines.
        }
    }

    /** An upstream: a number of cores with one FIFO queue. */
    private final class UpstreamMachine {

        private final int tier;
        private final int index;
        private final double[] freeAt = new double[shape.cores()];
        /** The start times of the queued requests. */
        private final ArrayDeque<Double> startTimes = new ArrayDeque<>();

        UpstreamMachine(int tier, int index) {
            this.tier = tier;
            this.index = index;
        }

        void arrive(BalancerHost from, Attempt attempt) {
            if (hasFault(tier, Leaf.GONE)) {
                return;
            }
            arrived += attempt.request.root.counted && tier == shape.tiers() - 1 ? 1 : 0;
            if (hasFault(tier, Leaf.FAILING)) {
                answer(from, attempt, Result.ERROR);
                return;
            }
            while (!startTimes.isEmpty() && startTimes.peek() <= now) {
                startTimes.poll();
            }
            int core = 0;
            for (int i = 1; i < freeAt.length; i++) {
                core = freeAt[i] < freeAt[core] ? i : core;
            }
            double begin = Math.max(now, freeAt[core]);
            if (begin > now && startTimes.size() >= shape.queue()) {
                answer(from, attempt, Result.FULL);
                return;
            }
            if (begin > now) {
                startTimes.add(begin);
            }
            if (begin >= attempt.expiresAt) {
                // Its deadline passes before a core is free, so it never starts.
                return;
            }
            double work = exponential(shape.workMs()) * (hasFault(tier, Leaf.SLOW) ? shape.slowTimes() : 1);
            freeAt[core] = begin + work;
            schedule(freeAt[core], () -> finishWork(from, attempt, work));
        }

        private void finishWork(BalancerHost from, Attempt attempt, double work) {
            if (attempt.request.root.counted) {
                workMs[tier] += work;
                wastedMs[tier] += attempt.done ? work : 0;
            }
            if (tier == shape.tiers() - 1) {
                answer(from, attempt, Result.OK);
            } else if (now < attempt.expiresAt) {
                goneCalls += attempt.done && attempt.request.root.counted ? 1 : 0;
                hosts[tier + 1][index].accept(attempt.request.root, attempt.expiresAt,
                        end -> answer(from, attempt, end == End.SERVED ? Result.OK : Result.ERROR));
            }
        }

        private void answer(BalancerHost to, Attempt attempt, Result result) {
            if (!hasFault(tier, Leaf.GONE)) {
                schedule(now + shape.hopMs(), () -> to.finish(attempt, result));
            }
        }
    }
}
