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
 * A node's event loop in virtual time: the decision module and the request queue, on a CPU that needs time
 * for each step, with upstreams that all answer after the same time, however many calls they have.
 */
final class VirtualLoop implements LoadBalancer.Actions {

    /** CPU time of a served call in ms, in three steps; together they allow about 600 calls a second. */
    static final double READ_MS = 0.15;
    static final double HANDLE_MS = 0.9;
    static final double ANSWER_MS = 0.6;
    static final double CALLS_PER_S = 1_000 / (READ_MS + HANDLE_MS + ANSWER_MS);
    private static final double REFUSE_MS = 0.2;
    private static final double CONNECT_MS = 0.1;

    /** A socket event or timer that is pending from {@code at} on, until the loop handles it. */
    private record Event(double at, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at == other.at ? Long.compare(sequence, other.sequence) : Double.compare(at, other.at);
        }
    }

    private static final class SentAttempt {
        private final long upstream;
        private final double sentAt;
        private double localDelay;

        SentAttempt(long upstream, double sentAt) {
            this.upstream = upstream;
            this.sentAt = sentAt;
        }
    }

    double now = 1_000_000;
    int served;
    int refused;
    private final double workMs;
    private final LoadBalancer balancer = new LatencyWeightedBalancer(this);
    private final PriorityQueue<Event> socketEvents = new PriorityQueue<>();
    private final PriorityQueue<Event> timerEvents = new PriorityQueue<>();
    private final Set<Long> openRequests = new HashSet<>();
    private final Map<Long, List<SentAttempt>> attempts = new HashMap<>();
    private final Map<Long, Integer> idleConnections = new HashMap<>();
    private final ArrivalQueue<Long> requestQueue;
    private final double deadlineMs;
    private long nextSequence;
    private double spareMs;
    /** For how many ms the data of the current step may have waited unread. */
    private double lateness;
    private double lastPolledAt = now;

    /** Starts the module with upstreams that take {@code workMs} for each call. */
    VirtualLoop(Settings settings, int upstreams, double workMs, long seed) {
        this.workMs = workMs;
        deadlineMs = settings.classes().get(0).deadline();
        requestQueue = new ArrivalQueue<>(() -> now, () -> true, this::handle, this::refuseExpired);
        balancer.start(now, settings, seed);
        List<Upstream> list = new ArrayList<>();
        for (int i = 1; i <= upstreams; i++) {
            list.add(new Upstream(i, 0, 0, 0, State.READY, 1, 0));
        }
        balancer.upstreamsChanged(now, Change.CACHED, list);
    }

    /** Schedules the arrival of a request of the first class. */
    void scheduleArrival(long id, double at) {
        socketEvents.add(new Event(at, nextSequence++, () -> {
            now += READ_MS;
            requestQueue.add(id);
        }));
    }

    /** Schedules a time for which the process gets no CPU while it handles socket events. */
    void schedulePause(double at, double forMs) {
        socketEvents.add(new Event(at, nextSequence++, () -> now += forMs));
    }

    double pressure() {
        return balancer.stats().pressure();
    }

    /** Runs the loop until a time. */
    void run(double until) {
        while (now < until) {
            runIteration(until);
        }
    }

    /** Runs one iteration: polls the sockets, handles a slice of the queue, and runs due timers. */
    private void runIteration(double until) {
        double pollStartedAt = now;
        double next = Math.min(until, Math.min(nextAt(socketEvents), nextAt(timerEvents)));
        if (requestQueue.size() == 0 && next > now) {
            spareMs += next - now;
            now = next;
        }
        double pollEndedAt = now;
        for (Event event = pollDue(socketEvents, pollEndedAt); event != null;
                event = pollDue(socketEvents, pollEndedAt)) {
            lateness = latenessSince(pollEndedAt > pollStartedAt ? pollEndedAt : lastPolledAt);
            event.action().run();
        }
        lastPolledAt = pollEndedAt;
        if (requestQueue.size() > 0) {
            requestQueue.handleSlice();
        }
        for (Event event = pollDue(timerEvents, now); event != null; event = pollDue(timerEvents, now)) {
            lateness = latenessSince(lastPolledAt);
            event.action().run();
        }
    }

    private double latenessSince(double since) {
        return now - since > LoopMonitor.LATE_THRESHOLD_MS ? now - since : 0;
    }

    private static double nextAt(PriorityQueue<Event> events) {
        return events.isEmpty() ? Double.POSITIVE_INFINITY : events.peek().at();
    }

    private static Event pollDue(PriorityQueue<Event> events, double latest) {
        return nextAt(events) <= latest ? events.poll() : null;
    }

    private void handle(long id) {
        now += HANDLE_MS;
        lateness = latenessSince(lastPolledAt);
        openRequests.add(id);
        attempts.put(id, new ArrayList<>());
        balancer.request(now, new Request(id, 0, 0, 0, now + deadlineMs, 0, false, false));
    }

    private void refuseExpired(long id) {
        now += REFUSE_MS;
        refused++;
    }

    @Override
    public void send(long requestId, long upstream, double timeout) {
        List<SentAttempt> sent = attempts.get(requestId);
        int number = sent.size();
        SentAttempt attempt = new SentAttempt(upstream, now);
        sent.add(attempt);
        if (idleConnections.merge(upstream, -1, Integer::sum) >= 0) {
            answerLater(requestId, number, attempt);
            return;
        }
        idleConnections.put(upstream, 0);
        socketEvents.add(new Event(now + CONNECT_MS, nextSequence++, () -> {
            attempt.localDelay = lateness;
            answerLater(requestId, number, attempt);
        }));
    }

    private void answerLater(long requestId, int number, SentAttempt attempt) {
        socketEvents.add(new Event(now + workMs, nextSequence++, () -> {
            now += ANSWER_MS;
            idleConnections.merge(attempt.upstream, 1, Integer::sum);
            double elapsed = Math.max(0, now - attempt.sentAt - attempt.localDelay - lateness);
            served += openRequests.remove(requestId) ? 1 : 0;
            balancer.attemptFinished(now, new Outcome(requestId, number, attempt.upstream, Result.OK, true,
                    elapsed, null));
        }));
    }

    @Override
    public double localDelay(long requestId, int attempt) {
        List<SentAttempt> sent = attempts.get(requestId);
        return sent == null || attempt >= sent.size() ? 0 : sent.get(attempt).localDelay + lateness;
    }

    @Override
    public double idleTime(double at) {
        return spareMs;
    }

    @Override
    public void refuse(long requestId, double retryAfter) {
        refused += openRequests.remove(requestId) ? 1 : 0;
    }

    @Override
    public void fail(long requestId) {
        throw new AssertionError("an idempotent request can always be refused");
    }

    @Override
    public void setTimer(long token, double at) {
        timerEvents.add(new Event(at, nextSequence++, () -> balancer.timer(now, token)));
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
