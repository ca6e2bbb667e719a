package cranedeal;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** The state of a request in progress and its attempts; makes no decisions. */
final class Call {

    /**
     * Share of the expected latency that grows with the hinted work; the rest is queueing common to all
     * requests.
     */
    private static final double WORK_SHARE = 0.5;

    /** One attempt; {@code result} is null while it is in flight. */
    static final class Attempt {
        final Call call;
        final Server server;
        final int number;
        /** Start of its timing, and the host's idle time at that moment. */
        double sentAt;
        double idleTimeAtSend;
        LoadBalancer.Result result;
        boolean streaming;
        /** True if it signalled overload while it was in flight. */
        boolean overdue;

        Attempt(Call call, Server server) {
            this.call = call;
            this.server = server;
            this.number = call.attempts.size();
        }

        /** Starts its timing. */
        void markSent(double now, double idleTime) {
            sentAt = now;
            idleTimeAtSend = idleTime;
        }
    }

    final LoadBalancer.Request request;
    final LoadBalancer.ServiceClass type;
    /** Statistics of its class; replaced when the settings change. */
    ClassStats stats;
    final long id;
    /** Start of the request's timing. */
    double arrivedAt;
    /** The host's idle time when the request arrived. */
    final double idleTimeAtArrival;
    /** True while its body is still arriving. */
    boolean bodyPending;
    final List<Attempt> attempts = new ArrayList<>(2);
    /**
     * The unfinished requests with its key in order of arrival, including this one; null if it is not
     * ordered.
     */
    ArrayDeque<Call> keyQueue;
    /** Until when an abandoned attempt may still be running. */
    double keyRestsUntil = Double.NEGATIVE_INFINITY;
    /** Time from which an answer is no longer worth its work. */
    double usefulUntil;
    /** Max cost of a server that it may be sent to while the drawn server has no room. */
    double maxCost = Double.MAX_VALUE;
    /** The drawn server that had no room, or null. */
    Server fullServer;
    /** True if it has waited for room. */
    boolean waitedForRoom;
    /** End of its wait if it is queued; the earliest time for which a timer is set. */
    double queuedUntil = Double.POSITIVE_INFINITY;
    int inFlight;
    boolean done;
    boolean streaming;

    Call(LoadBalancer.Request request, ClassStats stats, double arrivedAt, double idleTimeAtArrival) {
        this.idleTimeAtArrival = idleTimeAtArrival;
        this.request = request;
        this.stats = stats;
        this.type = stats.type;
        this.id = request.id();
        this.arrivedAt = arrivedAt;
    }

    /** Returns the request's hinted work relative to the mean of its class. */
    double relativeWork() {
        double mean = stats.workHint.value();
        return request.cost() > 0 && mean > 0 ? request.cost() / mean : 1;
    }

    /** Returns the factor on the expected latency that results from its hinted work. */
    double workFactor() {
        return 1 - WORK_SHARE + WORK_SHARE * relativeWork();
    }

    /** Returns its expected latency on a mean server, in ms. */
    double expectedLatency() {
        return stats.latency.value() * workFactor();
    }

    /** Returns the ms after which it is slower than nearly all calls of its class. */
    double slowAfter() {
        return expectedLatency() * stats.slowRatio;
    }

    boolean hasTried(Server server) {
        for (Attempt attempt : attempts) {
            if (attempt.server == server) {
                return true;
            }
        }
        return false;
    }

    /** Returns the earliest attempt that is in flight or may have run; null if there is none. */
    Attempt firstMaybeRun() {
        for (Attempt attempt : attempts) {
            if (attempt.result == null || !attempt.result.neverRan()) {
                return attempt;
            }
        }
        return null;
    }
}
