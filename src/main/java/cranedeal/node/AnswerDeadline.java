package cranedeal.node;

/**
 * Decides how long an answer that is being passed on may go on. An answer of up to {@link #MAX_SHORT_BYTES}
 * is due whole at the deadline of its request; of a longer one only the start is. Where the length is not
 * known, the answer counts as long once it is over that size, or while it still comes fast enough, after the
 * deadline, to be over it soon. Without I/O and clock: all times are in ms of one clock of the caller's.
 *
 * <table>
 * <caption>What is owed</caption>
 * <tr><th>state</th><th>event</th><th>then</th></tr>
 * <tr><td>{@code DUE}</td><td>a known length, or bytes, over the size</td><td>{@code LONG}</td></tr>
 * <tr><td>{@code DUE}</td><td>the caller reads nothing</td><td>{@code DUE}; not judged</td></tr>
 * <tr><td>{@code DUE}</td><td>the caller reads again</td>
 * <td>{@code DUE}; judged {@code JUDGE_MS} later</td></tr>
 * <tr><td>{@code DUE}</td><td>{@code JUDGE_MS} over the deadline, a known length</td>
 * <td>{@code OVERDUE}</td></tr>
 * <tr><td>{@code DUE}</td><td>the same, no length, and what came meanwhile is too little</td>
 * <td>{@code OVERDUE}</td></tr>
 * <tr><td>{@code DUE}</td><td>the same, and it is enough</td><td>{@code DUE}; judged again after
 * {@code JUDGE_MS}, but not over the size {@code PROJECTION_MS} later: {@code OVERDUE}</td></tr>
 * <tr><td>{@code LONG}, {@code OVERDUE}</td><td>any</td><td>the same</td></tr>
 * </table>
 */
final class AnswerDeadline {

    /** Whether an answer may go on. */
    enum State {
        /** It has to be whole by its deadline, or to prove long soon after. */
        DUE,
        /** It started in time, and may go on for as long as the upstream gives it. */
        LONG,
        /** It has to be ended now. */
        OVERDUE
    }

    /** The size up to which an answer has to be whole in its request's time, in bytes. */
    static final int MAX_SHORT_BYTES = 64 * 1024;
    /** For how long an answer is watched before it is judged: its end is due 500 ms after the deadline. */
    static final double JUDGE_MS = 300;
    /** How soon an answer has to be over {@link #MAX_SHORT_BYTES} at the pace at which it comes. */
    static final double PROJECTION_MS = 2_000;

    private final long length;
    private final double deadline;
    private State state = State.DUE;
    private long received;
    private boolean callerPaused;
    /** What has come since the start of the current watch, and when that was. */
    private long receivedInWatch;
    private double watchStart;
    /** For how many ms the caller has read nothing since the deadline, and since when it does not. */
    private double pausedMs;
    private double pausedSince;

    /**
     * Creates the deadline of an answer of which nothing has been passed on.
     *
     * @param length length of its body in bytes; negative if it is not known
     * @param deadline deadline of its request, in ms; infinite if the answer has none once it has started
     */
    AnswerDeadline(long length, double deadline) {
        this.length = length;
        this.deadline = deadline;
        watchStart = deadline;
        if (length > MAX_SHORT_BYTES || deadline == Double.POSITIVE_INFINITY) {
            state = State.LONG;
        }
    }

    /** The part of the body that was held before the answer was passed on, which says nothing of its pace. */
    void startHeld(int bytes) {
        add(bytes);
    }

    /** A part of the body has come. */
    void received(int bytes, double now) {
        add(bytes);
        if (now > watchStart) {
            receivedInWatch += bytes;
        }
    }

    private void add(int bytes) {
        received += bytes;
        if (state == State.DUE && received > MAX_SHORT_BYTES) {
            state = State.LONG;
        }
    }

    /** The caller reads no more, so that nothing is read from the upstream. */
    void callerPaused(double now) {
        if (!callerPaused) {
            callerPaused = true;
            pausedSince = Math.max(now, deadline);
        }
    }

    /** The caller reads again. */
    void callerResumed(double now) {
        if (!callerPaused) {
            return;
        }
        callerPaused = false;
        pausedMs += Math.max(0, now - pausedSince);
        startWatch(Math.max(now, deadline));
    }

    private void startWatch(double start) {
        watchStart = start;
        receivedInWatch = 0;
    }

    /** Returns when {@link #check} has to be called next, in ms; infinity if not until another event. */
    double checkAt() {
        return state != State.DUE || callerPaused ? Double.POSITIVE_INFINITY : watchStart + JUDGE_MS;
    }

    /** Judges the answer if that is due, after all that has come until now was passed to this object. */
    State check(double now) {
        if (now < checkAt()) {
            return state;
        }
        if (length >= 0 || !comesFastEnough(now)) {
            state = State.OVERDUE;
        } else {
            startWatch(now);
        }
        return state;
    }

    private boolean comesFastEnough(double now) {
        double proofDue = deadline + JUDGE_MS + PROJECTION_MS + pausedMs;
        double pace = receivedInWatch / (now - watchStart);
        return now < proofDue && received + pace * PROJECTION_MS > MAX_SHORT_BYTES;
    }
}
