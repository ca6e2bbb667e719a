package cranedeal;

import cranedeal.Call.Attempt;

/**
 * Detects signs of overload and reports them, and timely answers, to the load shedding: calls that take long,
 * and requests that wait for room. Only the first tier sheds load, so signs are detected only there. Delays
 * caused by this process itself do not count, as the servers may be idle meanwhile.
 */
final class OverloadDetector {

    /**
     * Share of its aim after which a call is a sign of overload. The worth of a late answer is added to it:
     * where late answers are worthless, the sign must come earlier.
     */
    static final double OVERDUE_SHARE = 0.5;
    /**
     * Min share of a wait in which this process must have been idle for the wait to be caused by the servers.
     */
    private static final double MIN_IDLE_SHARE = 0.5;

    private final LoadBalancer.Actions actions;
    private boolean enabled;

    OverloadDetector(LoadBalancer.Actions actions) {
        this.actions = actions;
    }

    /** Applies new settings. */
    void configure(LoadBalancer.Settings settings) {
        enabled = settings.tier() == 0;
    }

    /** Returns the ms after which a call is a sign of overload. */
    static double overdueAfter(Call call) {
        return (OVERDUE_SHARE + call.type.lateWorth()) * call.type.aim() * Math.max(1, call.relativeWork());
    }

    /**
     * Handles a wait for room. A wait gives one sign when it starts and one if it ends in vain, regardless of
     * its length.
     */
    void onWait(Call call, boolean inVain, double now) {
        boolean sign = call.waitedForRoom ? inVain && wasIdle(call.arrivedAt, call.idleTimeAtArrival, now)
                : isFullOfLoad(call.fullServer, now);
        if (enabled && sign) {
            LoadShedding.signal(call.stats.leader, false, now);
        }
        call.waitedForRoom = true;
    }

    /**
     * Handles the overdue timer of an attempt. If this process has delayed the attempt, the timer is set
     * again for the time of the delay.
     */
    void onOverdueTimer(Attempt attempt, long token, double now) {
        double overdueAt = attempt.sentAt + actions.localDelay(attempt.call.id, attempt.number)
                + overdueAfter(attempt.call);
        if (now < overdueAt) {
            actions.setTimer(token, overdueAt);
        } else {
            onEnded(attempt, false, now);
            attempt.overdue = true;
        }
    }

    /**
     * Handles an attempt that has ended, in time or not, or is known to be late. Under overload all attempts
     * are late; one that is late while an attempt sent after it was not indicates a fault instead.
     */
    void onEnded(Attempt attempt, boolean inTime, double now) {
        ClassStats leader = attempt.call.stats.leader;
        if (enabled && !attempt.overdue && (inTime || attempt.sentAt >= leader.timelySentAt)) {
            leader.timelySentAt = inTime
                    ? Math.max(leader.timelySentAt, attempt.sentAt) : leader.timelySentAt;
            LoadShedding.signal(leader, inTime, now);
        }
    }

    /**
     * Returns true if a server is full because of its own load. While this process is busy, answers wait
     * unread, so a server that answered long ago may look full.
     */
    private boolean isFullOfLoad(Server server, double now) {
        Attempt oldest = server == null ? null : server.inFlight.peekFirst();
        return oldest == null || wasIdle(oldest.sentAt, oldest.idleTimeAtSend, now);
    }

    /** Returns true if this process was idle for at least a share of the time since a moment. */
    private boolean wasIdle(double since, double idleTimeThen, double now) {
        return actions.idleTime(now) - idleTimeThen >= MIN_IDLE_SHARE * (now - since);
    }
}
