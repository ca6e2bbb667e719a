package cranedeal;

import cranedeal.Call.Attempt;

/**
 * Tells the load shedding of signs that servers are overloaded, and of answers in good time: calls that take
 * long, and requests that wait for room. Only the first tier sheds load, so only there are signs felt. What a
 * call or a request has waited for this process itself is no sign: its servers may be idle meanwhile.
 */
final class OverloadSigns {

    /**
     * A call that takes more of its aim than this is a sign of overload; the worth of a late answer is added,
     * since where it is none the warning must come earlier.
     */
    static final double STRAINED = 0.5;
    /** The share of a wait for servers in which this process must have been idle for it to be their doing. */
    private static final double SPARE_SHARE = 0.5;

    private final LoadBalancer.Actions actions;
    private boolean felt;

    OverloadSigns(LoadBalancer.Actions actions) {
        this.actions = actions;
    }

    /** From now on goes by these settings. */
    void retune(LoadBalancer.Settings settings) {
        felt = settings.tier() == 0;
    }

    /** How long a call may take, in ms, before it is a sign of overload. */
    static double strainedAfter(Call call) {
        return (STRAINED + call.type.lateWorth()) * call.type.aim() * Math.max(1, call.size());
    }

    /**
     * A request waits for room at a server, or has waited in vain. There is one sign when the wait begins and
     * one if it is in vain: it says no more by being long.
     */
    void waited(Call call, boolean inVain, double now) {
        boolean sign = call.waited ? inVain && hadSpareTime(call.arrivedAt, call.spareAtArrival, now)
                : fillsByItself(call.crowded, now);
        if (felt && sign) {
            LoadShedding.feel(call.record.leader, false, now);
        }
        call.waited = true;
    }

    /**
     * An attempt may have been out for so long that it is a sign, but for the time for which this process has
     * held it up: then its timer is set anew.
     */
    void overdue(Attempt attempt, long token, double now) {
        double dueAt = attempt.sentAt + actions.localDelay(attempt.call.id, attempt.number)
                + strainedAfter(attempt.call);
        if (now < dueAt) {
            actions.setTimer(token, dueAt);
        } else {
            ended(attempt, false, now);
            attempt.strained = true;
        }
    }

    /**
     * An attempt has ended, in good time or not, or is known to be late. In a crowd all are late: one that is
     * late, while another sent after it was not, tells of a fault.
     */
    void ended(Attempt attempt, boolean fine, double now) {
        ClassRecord leader = attempt.call.record.leader;
        if (felt && !attempt.strained && (fine || attempt.sentAt >= leader.fineSentAt)) {
            leader.fineSentAt = fine ? Math.max(leader.fineSentAt, attempt.sentAt) : leader.fineSentAt;
            LoadShedding.feel(leader, fine, now);
        }
    }

    /**
     * Whether a server's calls fill it by its own doing. While this process is busy their answers lie unread,
     * and a server that has answered long ago looks full.
     */
    private boolean fillsByItself(Server server, double now) {
        Attempt oldest = server == null ? null : server.out.peekFirst();
        return oldest == null || hadSpareTime(oldest.sentAt, oldest.spareAtSend, now);
    }

    /** Whether this process had spare time for at least a share of the time since a moment. */
    private boolean hadSpareTime(double since, double spareThen, double now) {
        return actions.idleTime(now) - spareThen >= SPARE_SHARE * (now - since);
    }
}
