package cranedeal.node;

import java.util.function.DoubleSupplier;

/**
 * Decides what is owed to the answer of an attempt, from before its head to its last byte: whether it is
 * awaited, held, passed on to the caller, or ended. Without I/O and clock: all times are in ms of one clock
 * of the caller's.
 *
 * <p>An answer of up to {@link #MAX_SHORT_BYTES} is due whole at the deadline of its request; of a longer one
 * only the start is, and then it may go on for as long as its upstream gives it. Where the length is not
 * known, an answer counts as long once it is over that size, or while it still comes fast enough after the
 * deadline, by the pace since then or over its whole life, to be over it soon. A successful answer that is or
 * may be long is never ended because of its attempt's timeout, only because of its request's deadline. One
 * that reports no success is not passed on: its head tells the result.
 *
 * <table>
 * <caption>What is owed</caption>
 * <tr><th>state</th><th>event</th><th>then</th></tr>
 * <tr><td>any but {@code OVER}, the request is not written yet</td><td>the attempt's timeout</td>
 * <td>timed out</td></tr>
 * <tr><td>{@code AWAITED}</td><td>the attempt's timeout</td><td>timed out</td></tr>
 * <tr><td>{@code AWAITED}</td><td>a head</td><td>{@code HEAD_HELD}; one of a long failure is passed on</td>
 * </tr>
 * <tr><td>{@code HEAD_HELD}</td><td>the first bytes</td><td>{@code BODY_HELD}, with a long length passed on
 * </td></tr>
 * <tr><td>{@code HEAD_HELD}, a long length</td>
 * <td>the attempt's timeout, or {@link #MAX_HOLD_MS} after the head</td><td>passed on</td></tr>
 * <tr><td>{@code HEAD_HELD}, no length</td><td>the request's deadline</td><td>timed out</td></tr>
 * <tr><td>{@code HEAD_HELD}, {@code BODY_HELD}, a short length</td><td>the attempt's timeout</td>
 * <td>timed out</td></tr>
 * <tr><td>{@code BODY_HELD}, no length</td>
 * <td>{@link #MAX_HOLD_MS} after the head, the request's deadline, or more than the size has come</td>
 * <td>passed on</td></tr>
 * <tr><td>held</td><td>no memory to hold it</td><td>passed on</td></tr>
 * <tr><td>held, a failure of unknown length</td><td>{@link #MAX_HOLD_MS} after the head</td>
 * <td>passed on</td></tr>
 * <tr><td>held</td><td>passed on</td><td>{@code LONG} if it is known to be; else {@code DUE}</td></tr>
 * <tr><td>{@code DUE}</td><td>bytes over the size</td><td>{@code LONG}</td></tr>
 * <tr><td>{@code DUE}, {@code LONG}</td><td>the caller reads nothing</td><td>the same; not judged</td></tr>
 * <tr><td>{@code DUE}</td><td>the caller reads again</td>
 * <td>{@code DUE}; judged {@link #JUDGE_MS} later</td></tr>
 * <tr><td>{@code DUE}</td><td>{@link #JUDGE_MS} over the deadline, a known length</td>
 * <td>timed out</td></tr>
 * <tr><td>{@code DUE}</td><td>the same, no length, and it comes too slowly</td><td>timed out</td></tr>
 * <tr><td>{@code DUE}</td><td>the same, and it comes fast enough</td><td>{@code DUE}; judged again after
 * {@link #JUDGE_MS}, but not over the size {@link #PROJECTION_MS} later: timed out</td></tr>
 * <tr><td>{@code DUE}, {@code LONG}</td><td>nothing for {@link #STALL_TIMEOUT_MS}</td><td>timed out</td>
 * </tr>
 * <tr><td>any</td><td>the attempt has ended</td><td>{@code OVER}</td></tr>
 * <tr><td>{@code OVER}</td><td>any</td><td>the same</td></tr>
 * </table>
 */
final class AnswerLifecycle {

    /** How far an answer has come. */
    enum State {
        /** Nothing has come. */
        AWAITED,
        /** Its head has come, and is held: the request can still be repeated. */
        HEAD_HELD,
        /** A part of its body has come, and is held too. */
        BODY_HELD,
        /** It is passed on, and has to be whole by its deadline, or to prove long soon after. */
        DUE,
        /** It is passed on; it started in time, and may go on for as long as the upstream gives it. */
        LONG,
        /** Its attempt has ended. */
        OVER
    }

    /** What has to be done with an answer now. */
    enum Verdict {
        /** Nothing; it is judged again at {@link #checkAt}. */
        WAIT,
        /** Pass on what is held and all that comes. */
        PASS_ON,
        /** End its attempt. */
        TIME_OUT
    }

    /** The size up to which an answer has to be whole in its request's time, in bytes. */
    static final int MAX_SHORT_BYTES = 64 * 1024;
    /** How long the start of an answer that is or may be long is held, in ms. */
    static final long MAX_HOLD_MS = 200;
    /** For how long an answer is watched before it is judged: its end is due 500 ms after the deadline. */
    static final double JUDGE_MS = 300;
    /** How soon an answer has to be over {@link #MAX_SHORT_BYTES} at the pace at which it comes. */
    static final double PROJECTION_MS = 2_000;
    /** How long an answer that is passed on may make no progress, in ms. */
    static final double STALL_TIMEOUT_MS = 10_000;

    private final DoubleSupplier timeoutAt;
    private final DoubleSupplier deadline;
    private final boolean untimedOnceStarted;
    private State state = State.AWAITED;
    /** The state before {@link State#OVER}. */
    private State lastState = State.AWAITED;
    private boolean requestWritten;
    /** Since when it can be held: from its head on, but not while its request is being written. */
    private double heldSince = Double.NEGATIVE_INFINITY;
    private boolean successful;
    /** Length of its body in bytes; negative if it is not known. */
    private long length;
    private long received;
    /** When it was passed on, or its body or its caller last made progress. */
    private double lastProgressAt;
    /** The deadline once it is passed on. */
    private double dueAt;
    private boolean callerPaused;
    /** What has come since the start of the current watch, and when that was. */
    private long receivedInWatch;
    private double watchStart;
    private final AnswerPace pace = new AnswerPace();
    /** For how many ms the caller has read nothing, for how many since the deadline, and since when now. */
    private double pausedMs;
    private double pausedMsSinceDue;
    private double pausedSince;

    /**
     * Creates the lifecycle of an answer of which nothing has come, to a request that is not written yet.
     *
     * @param timeoutAt returns when its attempt times out, in ms, at the latest at the deadline
     * @param deadline returns the deadline of its request, in ms; infinite while a body is arriving
     * @param untimedOnceStarted true if it has no deadline once it is passed on, as in a streamed class
     */
    AnswerLifecycle(DoubleSupplier timeoutAt, DoubleSupplier deadline, boolean untimedOnceStarted) {
        this.timeoutAt = timeoutAt;
        this.deadline = deadline;
        this.untimedOnceStarted = untimedOnceStarted;
    }

    State state() {
        return state;
    }

    boolean isPassedOn() {
        return state == State.DUE || state == State.LONG;
    }

    /** The request is written completely. */
    void requestWritten(double now) {
        requestWritten = true;
        heldSince = Math.max(heldSince, now);
    }

    /**
     * The head has come.
     *
     * @param bodyLength length of the body in bytes; negative if it is not known
     */
    Verdict headArrived(long bodyLength, boolean isSuccessful, double now) {
        if (state == State.OVER) {
            return Verdict.WAIT;
        }
        state = State.HEAD_HELD;
        length = bodyLength;
        successful = isSuccessful;
        heldSince = Math.max(heldSince, now);
        return !successful && isLong() ? Verdict.PASS_ON : Verdict.WAIT;
    }

    /** A part of the body has come. */
    Verdict bodyArrived(int bytes, double now) {
        if (state == State.OVER) {
            return Verdict.WAIT;
        }
        received += bytes;
        lastProgressAt = now;
        pace.arrived(bytes, now - pausedMs);
        if (isPassedOn()) {
            receivedInWatch += now > watchStart ? bytes : 0;
            state = isLong() ? State.LONG : state;
            return Verdict.WAIT;
        }
        if (bytes > 0 && state == State.HEAD_HELD) {
            state = State.BODY_HELD;
        }
        boolean holdOver = successful && length < 0 && now >= heldSince + MAX_HOLD_MS;
        return bytes > 0 && (isLong() || holdOver) ? Verdict.PASS_ON : Verdict.WAIT;
    }

    private boolean isLong() {
        return Math.max(length, received) > MAX_SHORT_BYTES;
    }

    /** What was held is passed on, and all that comes from now on. */
    void passedOn(double now) {
        dueAt = untimedOnceStarted ? Double.POSITIVE_INFINITY : deadline.getAsDouble();
        state = isLong() || dueAt == Double.POSITIVE_INFINITY ? State.LONG : State.DUE;
        lastProgressAt = now;
        startWatch(dueAt);
    }

    /** The caller reads no more, so that nothing is read from the upstream. */
    void callerPaused(double now) {
        if (!callerPaused) {
            callerPaused = true;
            pausedSince = now;
        }
    }

    /** The caller reads again. */
    void callerResumed(double now) {
        if (!callerPaused) {
            return;
        }
        callerPaused = false;
        lastProgressAt = now;
        pausedMs += now - pausedSince;
        pausedMsSinceDue += Math.max(0, now - Math.max(pausedSince, dueAt));
        startWatch(Math.max(now, dueAt));
    }

    private void startWatch(double start) {
        watchStart = start;
        receivedInWatch = 0;
    }

    /** The attempt has ended. */
    void end() {
        lastState = state == State.OVER ? lastState : state;
        state = State.OVER;
    }

    /** Returns when {@link #check} has to be called next, in ms; infinity if not until another event. */
    double checkAt() {
        if (state != State.OVER && !requestWritten) {
            return timeoutAt.getAsDouble();
        }
        return switch (state) {
            case AWAITED -> timeoutAt.getAsDouble();
            case HEAD_HELD, BODY_HELD -> heldUntil();
            case DUE -> callerPaused ? Double.POSITIVE_INFINITY
                    : Math.min(watchStart + JUDGE_MS, lastProgressAt + STALL_TIMEOUT_MS);
            case LONG -> callerPaused ? Double.POSITIVE_INFINITY : lastProgressAt + STALL_TIMEOUT_MS;
            case OVER -> Double.POSITIVE_INFINITY;
        };
    }

    private double heldUntil() {
        if (length >= 0) {
            double attemptEnds = timeoutAt.getAsDouble();
            return isLong() ? Math.min(attemptEnds, heldSince + MAX_HOLD_MS) : attemptEnds;
        }
        boolean headAlone = successful && state == State.HEAD_HELD;
        return headAlone ? deadline.getAsDouble()
                : Math.min(heldSince + MAX_HOLD_MS, deadline.getAsDouble());
    }

    /** Judges the answer if that is due, after all that has come until now was passed to this object. */
    Verdict check(double now) {
        if (now < checkAt()) {
            return Verdict.WAIT;
        }
        if (!requestWritten) {
            return Verdict.TIME_OUT;
        }
        return switch (state) {
            case HEAD_HELD, BODY_HELD -> endHold();
            case DUE -> judge(now);
            default -> Verdict.TIME_OUT;
        };
    }

    private Verdict endHold() {
        if (length >= 0) {
            return isLong() ? Verdict.PASS_ON : Verdict.TIME_OUT;
        }
        return successful && state == State.HEAD_HELD ? Verdict.TIME_OUT : Verdict.PASS_ON;
    }

    private Verdict judge(double now) {
        boolean stalled = now >= lastProgressAt + STALL_TIMEOUT_MS;
        if (stalled || length >= 0 || !comesFastEnough(now)) {
            return Verdict.TIME_OUT;
        }
        startWatch(now);
        return Verdict.WAIT;
    }

    private boolean comesFastEnough(double now) {
        double proofDue = dueAt + JUDGE_MS + PROJECTION_MS + pausedMsSinceDue;
        double paceInWatch = receivedInWatch / (now - watchStart);
        double expectedPace = Math.max(paceInWatch, pace.expected(now - pausedMs));
        return now < proofDue && received + expectedPace * PROJECTION_MS > MAX_SHORT_BYTES;
    }

    /** Describes it for the log, with times in ms since a given one. */
    String describe(double since) {
        State reached = state == State.OVER ? lastState : state;
        if (reached == State.AWAITED) {
            return "";
        }
        return " answer=" + reached + " head=" + Math.round(heldSince - since) + " bytes=" + received + "/"
                + (length < 0 ? "unknown" : length);
    }
}
