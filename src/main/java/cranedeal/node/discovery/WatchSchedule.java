package cranedeal.node.discovery;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Decides when a watch of discovery makes calls, and which answers are accepted. It has no socket, clock or
 * thread: its methods receive events with their time in milliseconds, and it requests {@link Actions}.
 *
 * <p>A call in flight on an established connection is kept, however long it takes, since a slow discovery may
 * be about to answer it. The age of the list is bounded by an extra call beside it, which is sent early
 * enough for its answer to arrive within {@link #MAX_STALENESS_MS}, judging by how long earlier answers took.
 * At most {@link #MAX_CONCURRENT_CALLS} calls are in flight at a time, and the oldest of them is never the
 * one cancelled to make room, so that an answer arrives however slow discovery is.
 */
public final class WatchSchedule {

    /** The maximum number of calls in flight. */
    public static final int MAX_CONCURRENT_CALLS = 3;
    /** A change should be known within this time, which leaves a margin to the time required by operators. */
    static final double MAX_STALENESS_MS = 5_500;
    /** The same for the first call to a new address, within which everything listed there should be known. */
    static final double MAX_STALENESS_AFTER_MOVE_MS = 4_500;
    /** The wait for changes of a call that is to find out whether discovery answers at all. */
    static final int SHORT_WAIT_MS = 250;
    /** How late an answer may be, after its call's wait, before an extra call is sent. */
    private static final double MIN_LATE_MS = 1_500;
    /** The same as a multiple of the answer time, as long as the extra call's answer can still be in time. */
    private static final double LATE_ANSWER_FACTOR = 1.25;
    private static final double MAX_GAP_MS = 5_000;
    /** The allowed lateness and the assumed answer time before any answer has arrived. */
    private static final double INITIAL_LATE_MS = 2_000;
    private static final double INITIAL_ANSWER_MS = 1_000;
    /** How long an answer that has started may take before an extra call is sent. */
    private static final double STALL_MS = 750;
    /** The interval between extra calls while none is answered; it doubles from MIN to MAX. */
    private static final double MIN_SPACING_MS = 1_000;
    private static final double MAX_SPACING_MS = 3_000;
    /** The interval when the maximum number of calls is in flight, so that each new call replaces another. */
    private static final double MIN_FULL_SPACING_MS = 4_000;
    /** The same as a multiple of the answer time. */
    private static final double FULL_SPACING_ANSWER_FACTOR = 1.5;
    /** The same as a fraction of the time without any answer. */
    private static final double FULL_SPACING_SILENCE_FACTOR = 1.0 / 16;
    /**
     * The backoff after a failed call, which doubles from MIN to MAX, and the lower end of its jitter factor.
     */
    private static final double MIN_RETRY_MS = 100;
    private static final double MAX_RETRY_MS = 800;
    private static final double MIN_JITTER = 0.5;
    /** The weight of a faster answer in the moving average of the answer time. */
    private static final double EWMA_WEIGHT = 0.5;
    /** One slow answer raises the answer time at most to this, or to twice its value if that is more. */
    private static final double SLOW_ANSWER_MS = 3_000;
    private static final int MAX_DOUBLINGS = 10;

    /** The actions that the schedule requests. */
    public interface Actions {

        /**
         * Sends a call to discovery.
         *
         * @param id the call's id, which its events refer to
         * @param index the version in use, or 0 if discovery is to send the whole list
         * @param waitMs how long discovery is asked to wait for changes
         */
        void call(long id, long index, int waitMs);

        /** Cancels a call; no event of it may follow. */
        void cancel(long id, CallEnd why);

        /** Requests a call of {@link #timer} at a time, which replaces the time requested before. */
        void wakeAt(double at);
    }

    private static final class Call {

        private final long id;
        /** The list version in use when it was sent. */
        private final long versionAtSend;
        private final double sentAt;
        private final double waitEnd;
        private double answerStartedAt = Double.NaN;

        Call(long id, long known, double sentAt, int waitMs) {
            this.id = id;
            this.versionAtSend = known;
            this.sentAt = sentAt;
            waitEnd = sentAt + waitMs;
        }

        boolean hasAnswerStarted() {
            return !Double.isNaN(answerStartedAt);
        }
    }

    private final Actions actions;
    private final int maxWaitMs;
    private final SplittableRandom random;
    /** The calls in flight, in the order in which they were sent. */
    private final List<Call> inFlight = new ArrayList<>(MAX_CONCURRENT_CALLS);
    private boolean watching;
    private boolean constantRetry;
    private long lastId;
    private long version;
    /**
     * Whether discovery turned out not to know that version, so that the next call requests the whole list.
     */
    private boolean versionUnknown;
    private double confirmedAt = Double.NEGATIVE_INFINITY;
    private double maxStalenessMs = MAX_STALENESS_MS;
    /** The estimated time that answers take beyond their call's wait; NaN before the first answer. */
    private double answerMs = Double.NaN;
    /** When the estimate was last raised; calls sent before that can't raise it again. */
    private double raisedAt = Double.NEGATIVE_INFINITY;
    /** Failed calls and extra calls since the last answer. */
    private int failures;
    private int extraCalls;
    private double retryAt = Double.NEGATIVE_INFINITY;
    /** The jitter drawn for the latest call, so that processes don't call at the same moment. */
    private double jitterFactor = 1;

    /**
     * Creates a schedule that does nothing until {@link #watch}.
     *
     * @param maxWaitMs the longest time that a call waits for changes
     * @param version the version of the list in use
     */
    public WatchSchedule(Actions actions, int maxWaitMs, long version, long seed) {
        this.actions = actions;
        this.maxWaitMs = maxWaitMs;
        this.version = version;
        random = new SplittableRandom(seed);
    }

    /** Starts or ends the watch. */
    public void watch(double now, boolean on) {
        if (on == watching) {
            return;
        }
        watching = on;
        if (!on) {
            cancelAll();
        }
        advance(now);
    }

    /** Sets whether failed calls are retried at a constant interval, without exponential backoff. */
    public void setConstantRetry(boolean on) {
        constantRetry = on;
    }

    /** Discovery's address has changed: resets the backoff and the answer time, and cancels all calls. */
    public void addressChanged(double now) {
        cancelAll();
        resetBackoff();
        answerMs = Double.NaN;
        maxStalenessMs = MAX_STALENESS_AFTER_MOVE_MS;
        advance(now);
    }

    /** The first part of the answer to a call has arrived. */
    public void answerStarted(double now, long id) {
        Call call = find(id);
        if (call != null && !call.hasAnswerStarted()) {
            call.answerStartedAt = now;
            advance(now);
        }
    }

    /**
     * Returns true if the list that answers a call may be accepted. A list older than the one in use is
     * accepted only if it is a whole list and the one in use was already in use when the call was sent:
     * discovery has restarted with lower versions then.
     */
    public boolean accepts(long id, long answeredVersion, boolean full) {
        Call call = find(id);
        return call != null && (answeredVersion >= version || full && call.versionAtSend == version);
    }

    /**
     * A call was answered, and its answer was accepted.
     *
     * @param answeredVersion the version of the list
     * @param hasEntries whether the answer had any entries
     */
    public void answered(double now, long id, long answeredVersion, boolean hasEntries) {
        Call call = find(id);
        if (call != null) {
            version = answeredVersion;
            versionUnknown = false;
            complete(call, hasEntries, now);
        }
    }

    /** A call was answered with a list that must not be accepted. */
    public void outdated(double now, long id) {
        Call call = find(id);
        if (call != null) {
            versionUnknown = call.versionAtSend == version;
            complete(call, false, now);
        }
    }

    private void complete(Call call, boolean hasEntries, double now) {
        boolean waited = !hasEntries && now >= call.waitEnd;
        updateAnswerTime(call, hasEntries, now);
        confirmedAt = Math.max(confirmedAt, waited ? call.waitEnd : call.sentAt);
        while (inFlight.get(0) != call) {
            actions.cancel(inFlight.remove(0).id, CallEnd.SUPERSEDED);
        }
        inFlight.remove(0);
        maxStalenessMs = MAX_STALENESS_MS;
        resetBackoff();
        if (!hasEntries && !waited) {
            // Discovery did not wait for changes: without a delay, it would be called in a tight loop.
            retryAt = now + MIN_RETRY_MS;
        }
        advance(now);
    }

    /** A call has failed and is no longer in flight. */
    public void failed(double now, long id) {
        Call call = find(id);
        if (call == null) {
            return;
        }
        inFlight.remove(call);
        double wait = constantRetry ? MIN_RETRY_MS : backoff(MIN_RETRY_MS, failures, MAX_RETRY_MS);
        failures++;
        retryAt = now + wait * drawJitter();
        advance(now);
    }

    /** The time requested by {@link Actions#wakeAt} has come. */
    public void timer(double now) {
        advance(now);
    }

    /** The version of the list in use. */
    public long version() {
        return version;
    }

    /** The last time at which the list in use was known to be the newest; negative infinity if never. */
    public double confirmedAt() {
        return confirmedAt;
    }

    private Call find(long id) {
        for (Call call : inFlight) {
            if (call.id == id) {
                return call;
            }
        }
        return null;
    }

    private void cancelAll() {
        List<Call> all = List.copyOf(inFlight);
        inFlight.clear();
        all.forEach(call -> actions.cancel(call.id, CallEnd.STOPPED));
    }

    /** Discovery has answered: earlier failures no longer count. */
    private void resetBackoff() {
        failures = 0;
        extraCalls = 0;
        retryAt = Double.NEGATIVE_INFINITY;
    }

    /**
     * Updates the answer time. An answer without changes shows it exactly, as it was due at the end of its
     * call's wait. An answer with changes only shows a lower bound; the very first answer was likely due at
     * once.
     */
    private void updateAnswerTime(Call call, boolean hasEntries, double now) {
        boolean first = Double.isNaN(answerMs);
        double answeredAfter = now - (first && hasEntries ? call.sentAt : call.waitEnd);
        if (answeredAfter < 0) {
            return;
        }
        if (first) {
            answerMs = answeredAfter;
        } else if (answeredAfter > answerMs && call.sentAt >= raisedAt) {
            // The bound is for answers delayed by a network outage, which say nothing about later ones.
            answerMs = Math.min(answeredAfter, Math.max(SLOW_ANSWER_MS, 2 * answerMs));
            raisedAt = now;
        } else if (answeredAfter <= answerMs && !hasEntries) {
            answerMs += EWMA_WEIGHT * (answeredAfter - answerMs);
        }
    }

    private void advance(double now) {
        if (!watching) {
            actions.wakeAt(Double.POSITIVE_INFINITY);
            return;
        }
        if (dueAt() <= now) {
            evictCall();
            call(now);
        }
        actions.wakeAt(dueAt());
    }

    /** The time at which the next call is due. */
    private double dueAt() {
        if (inFlight.isEmpty()) {
            return retryAt;
        }
        Call newest = inFlight.get(inFlight.size() - 1);
        double due = isFull() ? newest.sentAt + spacingWhenFull() : lateAt(newest);
        if (newest.hasAnswerStarted() && extraCalls <= MAX_CONCURRENT_CALLS) {
            due = Math.min(due, newest.answerStartedAt + (isFull() ? 2 : 1) * stallMs());
        }
        return Math.max(due, retryAt);
    }

    private boolean isFull() {
        return inFlight.size() == MAX_CONCURRENT_CALLS;
    }

    /**
     * The time at which the answer to a call counts as late, given the answer time, but early enough for an
     * extra call to be answered in time. Changes after the call's wait become known only by that extra call.
     */
    private double lateAt(Call call) {
        boolean first = extraCalls == 0;
        if (Double.isNaN(answerMs)) {
            return first
                    ? Math.min(call.waitEnd + INITIAL_LATE_MS,
                            call.sentAt + maxStalenessMs - INITIAL_ANSWER_MS)
                    : call.sentAt + jitterFactor * MAX_SPACING_MS;
        }
        double late = first ? MIN_LATE_MS
                : jitterFactor * backoff(MIN_SPACING_MS, extraCalls - 1, MAX_SPACING_MS);
        double gap = Math.min(Math.max(late, LATE_ANSWER_FACTOR * answerMs), MAX_GAP_MS - answerMs);
        return Math.max(call.waitEnd + Math.max(0, gap),
                call.sentAt + Math.min(answerMs / 2, MAX_GAP_MS));
    }

    private double expectedAnswerMs() {
        return Double.isNaN(answerMs) ? INITIAL_ANSWER_MS : answerMs;
    }

    /** Discovery may still process cancelled calls, so new ones must not exceed its capacity. */
    private double spacingWhenFull() {
        double silentFor = inFlight.get(inFlight.size() - 1).sentAt - inFlight.get(0).sentAt;
        double sustainable = Math.max(FULL_SPACING_ANSWER_FACTOR * expectedAnswerMs(),
                FULL_SPACING_SILENCE_FACTOR * silentFor);
        return Math.max(sustainable, MIN_FULL_SPACING_MS * jitterFactor);
    }

    private double stallMs() {
        return Math.max(STALL_MS, expectedAnswerMs());
    }

    /**
     * Cancels a call if the maximum number is in flight: the newest one if its answer has started, but
     * stalled, while that of the second one has not; otherwise the second one. The oldest call is always
     * kept.
     */
    private void evictCall() {
        if (isFull()) {
            int replaced = !inFlight.get(1).hasAnswerStarted() && inFlight.get(2).hasAnswerStarted() ? 2 : 1;
            actions.cancel(inFlight.remove(replaced).id, CallEnd.TIMED_OUT);
        }
    }

    private void call(double now) {
        int waitMs = maxWaitMs;
        if (!inFlight.isEmpty()) {
            extraCalls++;
            waitMs = Double.isNaN(answerMs) ? SHORT_WAIT_MS
                    : (int) Math.max(SHORT_WAIT_MS, Math.min(maxWaitMs, answerMs));
        } else if (failures > 0) {
            waitMs = SHORT_WAIT_MS;
        }
        waitMs = Math.min(waitMs, maxWaitMs);
        jitterFactor = drawJitter();
        Call call = new Call(++lastId, version, now, waitMs);
        inFlight.add(call);
        actions.call(call.id, versionUnknown ? 0 : version, waitMs);
    }

    private static double backoff(double first, int doublings, double longest) {
        return Math.min(longest, first * (1 << Math.min(doublings, MAX_DOUBLINGS)));
    }

    private double drawJitter() {
        return MIN_JITTER + (1 - MIN_JITTER) * random.nextDouble();
    }
}
