package cranedeal.node;

import cranedeal.LatencyWeightedBalancer;
import cranedeal.LoadBalancer;
import cranedeal.LoadBalancer.Change;
import cranedeal.LoadBalancer.Outcome;
import cranedeal.LoadBalancer.Request;
import cranedeal.LoadBalancer.Result;
import cranedeal.LoadBalancer.Settings;
import cranedeal.LoadBalancer.State;
import cranedeal.LoadBalancer.Upstream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;

/**
 * A node's loop in virtual time: the decision module and the queue of arrivals behind a processor that takes
 * its time for each step, before upstreams that all answer after the same time, however many calls they have.
 */
final class VirtualLoop implements LoadBalancer.Actions {

    /** What a served call costs of the processor in ms, in three steps: together 600 calls a second. */
    static final double READ_MS = 0.15;
    static final double HANDLE_MS = 0.9;
    static final double ANSWER_MS = 0.6;
    static final double CALLS_PER_S = 1_000 / (READ_MS + HANDLE_MS + ANSWER_MS);
    private static final double REFUSE_MS = 0.2;
    private static final double CONNECT_MS = 0.1;

    /** Something that the kernel holds from a time on, until a look finds it. */
    private record Event(double at, long order, Runnable act) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at == other.at ? Long.compare(order, other.order) : Double.compare(at, other.at);
        }
    }

    private static final class Sent {
        private final long upstream;
        private final double at;
        private double heldUp;

        Sent(long upstream, double at) {
            this.upstream = upstream;
            this.at = at;
        }
    }

    double now = 1_000_000;
    int served;
    int refused;
    private final double workMs;
    private final LoadBalancer balancer = new LatencyWeightedBalancer(this);
    private final PriorityQueue<Event> sockets = new PriorityQueue<>();
    private final PriorityQueue<Event> timers = new PriorityQueue<>();
    private final Set<Long> open = new HashSet<>();
    private final Map<Long, List<Sent>> attempts = new HashMap<>();
    private final Map<Long, Integer> idleConnections = new HashMap<>();
    private final RequestQueue<Long> arrivals;
    private final double deadlineMs;
    private long order;
    private double spare;
    /** How long what the present step is about lay in the kernel. */
    private double lateness;
    private double lookedAt = now;

    /** Upstreams that take so many ms for each call. */
    VirtualLoop(Settings settings, int upstreams, double workMs, long seed) {
        this.workMs = workMs;
        deadlineMs = settings.classes().get(0).deadline();
        arrivals = new RequestQueue<>(() -> now, () -> true, this::handle, this::refuseLate);
        balancer.start(now, settings, seed);
        List<Upstream> list = new ArrayList<>();
        for (int i = 1; i <= upstreams; i++) {
            list.add(new Upstream(i, 0, 0, 0, State.READY, 1, 0));
        }
        balancer.upstreamsChanged(now, Change.CACHED, list);
    }

    /** A request of the first class will come at a time. */
    void arrive(long id, double at) {
        sockets.add(new Event(at, order++, () -> {
            now += READ_MS;
            arrivals.add(id);
        }));
    }

    /** The processor will be taken away at a time, while it is busy with what has come. */
    void pause(double at, double forMs) {
        sockets.add(new Event(at, order++, () -> now += forMs));
    }

    double pressure() {
        return balancer.stats().pressure();
    }

    /** Goes on until a time. */
    void run(double until) {
        while (now < until) {
            turn(until);
        }
    }

    /** One turn of the loop: a look at the sockets, a slice of what waits, the timers that are due. */
    private void turn(double until) {
        double lookAt = now;
        double next = Math.min(until, Math.min(first(sockets), first(timers)));
        if (arrivals.size() == 0 && next > now) {
            spare += next - now;
            now = next;
        }
        double found = now;
        for (Event event = due(sockets, found); event != null; event = due(sockets, found)) {
            lateness = late(found > lookAt ? found : lookedAt);
            event.act().run();
        }
        lookedAt = found;
        if (arrivals.size() > 0) {
            arrivals.handleSlice();
        }
        for (Event event = due(timers, now); event != null; event = due(timers, now)) {
            lateness = late(lookedAt);
            event.act().run();
        }
    }

    private double late(double since) {
        return now - since > LoopMonitor.LATE_THRESHOLD_MS ? now - since : 0;
    }

    private static double first(PriorityQueue<Event> events) {
        return events.isEmpty() ? Double.POSITIVE_INFINITY : events.peek().at();
    }

    private static Event due(PriorityQueue<Event> events, double by) {
        return first(events) <= by ? events.poll() : null;
    }

    private void handle(long id) {
        now += HANDLE_MS;
        lateness = late(lookedAt);
        open.add(id);
        attempts.put(id, new ArrayList<>());
        balancer.request(now, new Request(id, 0, 0, 0, now + deadlineMs, 0, false, false));
    }

    private void refuseLate(long id) {
        now += REFUSE_MS;
        refused++;
    }

    @Override
    public void send(long requestId, long upstream, double timeout) {
        List<Sent> sent = attempts.get(requestId);
        int number = sent.size();
        Sent attempt = new Sent(upstream, now);
        sent.add(attempt);
        if (idleConnections.merge(upstream, -1, Integer::sum) >= 0) {
            answerLater(requestId, number, attempt);
            return;
        }
        idleConnections.put(upstream, 0);
        sockets.add(new Event(now + CONNECT_MS, order++, () -> {
            attempt.heldUp = lateness;
            answerLater(requestId, number, attempt);
        }));
    }

    private void answerLater(long requestId, int number, Sent attempt) {
        sockets.add(new Event(now + workMs, order++, () -> {
            now += ANSWER_MS;
            idleConnections.merge(attempt.upstream, 1, Integer::sum);
            double elapsed = Math.max(0, now - attempt.at - attempt.heldUp - lateness);
            served += open.remove(requestId) ? 1 : 0;
            balancer.attemptFinished(now, new Outcome(requestId, number, attempt.upstream, Result.OK, true,
                    elapsed, null));
        }));
    }

    @Override
    public double localDelay(long requestId, int attempt) {
        List<Sent> sent = attempts.get(requestId);
        return sent == null || attempt >= sent.size() ? 0 : sent.get(attempt).heldUp + lateness;
    }

    @Override
    public double idleTime(double at) {
        return spare;
    }

    @Override
    public void refuse(long requestId, double retryAfter) {
        refused += open.remove(requestId) ? 1 : 0;
    }

    @Override
    public void fail(long requestId) {
        throw new AssertionError("an idempotent request can always be refused");
    }

    @Override
    public void setTimer(long token, double at) {
        timers.add(new Event(at, order++, () -> balancer.timer(now, token)));
    }

    @Override
    public void cancel(long requestId, int attempt) { }

    @Override
    public void probe(long upstream) { }

    @Override
    public void closeIdle(long upstream) { }

    @Override
    public void fetch() { }

    @Override
    public void watch(boolean on) { }

    @Override
    public void sendToPeer(int peer, byte[] payload) { }

    @Override
    public void log(String text) { }
}
