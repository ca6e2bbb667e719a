package cranedeal.node.discovery;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Decides when a watch of discovery calls, and which answers count. It has no socket, clock or thread: events
 * come in with their time, in milliseconds, and {@link Actions} go out.
 *
 * <p>A call that is out on a standing connection is kept, however long it takes, since a slow discovery may
 * be about to answer it. What bounds the age of the list is a further call beside it, which goes out early
 * enough for its answer to come within {@link #BOUND_MS}, by the time that answers have been seen to take.
 * At most {@link #MAX_CONCURRENT_CALLS} calls are out at a time, and one that was sent first is kept for
 * the longest, so that an answer is heard however slow discovery is.
 */
public final class WatchSchedule {

    /** How many calls are out at one time at most. */
    public static final int MAX_CONCURRENT_CALLS = 3;
    /** Within this time of a change it should be known; some time less than it counts as told. */
    static final double BOUND_MS = 5_500;
    /** The same for the first call to another address, by when all that is listed there counts as told. */
    static final double MOVED_BOUND_MS = 4_500;
    /** How long a call waits for news where it is to tell whether discovery answers. */
    static final int GLANCE_MS = 250;
    /** How long after its call's wait an answer may come before a further call goes out. */
    private static final double LATE_MS = 1_500;
    /** The same in times of an answer, as far as a further answer then is in time. */
    private static final double LATE_ANSWERS = 1.25;
    private static final double LONGEST_GAP_MS = 5_000;
    /** The same, and the time that an answer is taken to need, before any was seen. */
    private static final double UNSEEN_LATE_MS = 2_000;
    private static final double UNSEEN_ANSWER_MS = 1_000;
    /** How long an answer that has begun may take before a further call goes out. */
    private static final double STALL_MS = 750;
    /** The wait between further calls while none is answered, which doubles up to the longest. */
    private static final double FIRST_SPACING_MS = 1_000;
    private static final double LONGEST_SPACING_MS = 3_000;
    /** The same once as many are out as may be, so that each takes the place of another. */
    private static final double FULL_SPACING_MS = 4_000;
    /** The same in times of an answer. */
    private static final double FULL_SPACING_ANSWERS = 1.5;
    /** The same as a part of the time for which nothing has been heard. */
    private static final double FULL_SPACING_SHARE = 1.0 / 16;
    /** The wait after a failed call, which doubles up to the longest; the least share of it is drawn. */
    private static final double FIRST_RETRY_MS = 100;
    private static final double LONGEST_RETRY_MS = 800;
    private static final double LEAST_SHARE = 0.5;
    /** How much a quicker answer moves the time that answers are taken to need. */
    private static final double GAIN = 0.5;
    /** One answer makes the time that answers are taken to need no longer than this, or twice what it was. */
    private static final double SLOW_ANSWER_MS = 3_000;
    private static final int MOST_DOUBLINGS = 10;

    /** What the schedule asks for. */
    public interface Actions {

        /**
         * Calls discovery.
         *
         * @param id the call's number, by which events tell of it
         * @param index the version in use, or 0 where discovery is to answer with all it has
         * @param waitMs how long discovery is to wait for news
         */
        void call(long id, long index, int waitMs);

        /** Gives up a call; no event of it may follow. */
        void giveUp(long id, CallEnd why);

        /** Wakes the schedule by {@link #timer} at a time, and no more at the one given before. */
        void wakeAt(double at);
    }

    private static final class Call {

        private final long id;
        /** The version in use as it was sent. */
        private final long known;
        private final double sentAt;
        private final double waitEnd;
        private double begunAt = Double.NaN;

        Call(long id, long known, double sentAt, int waitMs) {
            this.id = id;
            this.known = known;
            this.sentAt = sentAt;
            waitEnd = sentAt + waitMs;
        }

        boolean hasBegun() {
            return !Double.isNaN(begunAt);
        }
    }

    private final Actions actions;
    private final int longestWaitMs;
    private final SplittableRandom random;
    /** The calls that are out, in the order in which they were sent. */
    private final List<Call> out = new ArrayList<>(MAX_CONCURRENT_CALLS);
    private boolean watching;
    private boolean retriesAtOnce;
    private long lastId;
    private long version;
    /** Whether discovery has shown that it knows nothing of that version, and is asked for all it has. */
    private boolean versionUnknown;
    private double confirmedAt = Double.NEGATIVE_INFINITY;
    private double boundMs = BOUND_MS;
    /** How long answers take beyond their call's wait; NaN before any has come. */
    private double answerMs = Double.NaN;
    /** When that was last found to be longer; calls of before tell no more of it. */
    private double raisedAt = Double.NEGATIVE_INFINITY;
    /** Since the last answer: calls that failed, and further calls. */
    private int failures;
    private int furtherCalls;
    private double retryAt = Double.NEGATIVE_INFINITY;
    /** The share of a wait that was drawn for the latest call, so that processes don't call together. */
    private double share = 1;

    /**
     * A schedule that does nothing until {@link #watch}.
     *
     * @param longestWaitMs the longest that a call waits for news
     * @param version the version of the list in use
     */
    public WatchSchedule(Actions actions, int longestWaitMs, long version, long seed) {
        this.actions = actions;
        this.longestWaitMs = longestWaitMs;
        this.version = version;
        random = new SplittableRandom(seed);
    }

    /** Begins the watch, or ends it. */
    public void watch(double now, boolean on) {
        if (on == watching) {
            return;
        }
        watching = on;
        if (!on) {
            giveUpAll();
        }
        proceed(now);
    }

    /** Whether failed calls are followed by others without a wait that grows. */
    public void setRetriesAtOnce(boolean on) {
        retriesAtOnce = on;
    }

    /** Discovery is at another address: nothing is known against it, and all calls are given up. */
    public void addressChanged(double now) {
        giveUpAll();
        heard();
        answerMs = Double.NaN;
        boundMs = MOVED_BOUND_MS;
        proceed(now);
    }

    /** A first part of the answer to a call has come. */
    public void answerStarted(double now, long id) {
        Call call = find(id);
        if (call != null && !call.hasBegun()) {
            call.begunAt = now;
            proceed(now);
        }
    }

    /**
     * Whether the list that answers a call may be taken in. One that is older than the list in use may not,
     * unless that was in use as the call was sent, and the answer is a whole list: discovery has begun anew.
     */
    public boolean accepts(long id, long answered, boolean full) {
        Call call = find(id);
        return call != null && (answered >= version || full && call.known == version);
    }

    /**
     * A call was answered, and the answer taken in.
     *
     * @param answered the version of the list
     * @param news whether the answer had any entries
     */
    public void answered(double now, long id, long answered, boolean news) {
        Call call = find(id);
        if (call != null) {
            version = answered;
            versionUnknown = false;
            end(call, news, now);
        }
    }

    /** A call was answered with a list that may not be taken in. */
    public void outdated(double now, long id) {
        Call call = find(id);
        if (call != null) {
            versionUnknown = call.known == version;
            end(call, false, now);
        }
    }

    private void end(Call call, boolean news, double now) {
        boolean waited = !news && now >= call.waitEnd;
        observe(call, news, now);
        confirmedAt = Math.max(confirmedAt, waited ? call.waitEnd : call.sentAt);
        while (out.get(0) != call) {
            actions.giveUp(out.remove(0).id, CallEnd.SUPERSEDED);
        }
        out.remove(0);
        boundMs = BOUND_MS;
        heard();
        if (!news && !waited) {
            // Discovery does not wait: asked again at once, it would be asked without end.
            retryAt = now + FIRST_RETRY_MS;
        }
        proceed(now);
    }

    /** A call has failed, and is out no more. */
    public void failed(double now, long id) {
        Call call = find(id);
        if (call == null) {
            return;
        }
        out.remove(call);
        double wait = retriesAtOnce ? FIRST_RETRY_MS : doubled(FIRST_RETRY_MS, failures, LONGEST_RETRY_MS);
        failures++;
        retryAt = now + wait * jitter();
        proceed(now);
    }

    /** The time asked for by {@link Actions#wakeAt} has come. */
    public void timer(double now) {
        proceed(now);
    }

    /** The version of the list in use. */
    public long version() {
        return version;
    }

    /** When the list in use was the newest for certain; negative infinity if nothing has confirmed it. */
    public double confirmedAt() {
        return confirmedAt;
    }

    private Call find(long id) {
        for (Call call : out) {
            if (call.id == id) {
                return call;
            }
        }
        return null;
    }

    private void giveUpAll() {
        List<Call> all = List.copyOf(out);
        out.clear();
        all.forEach(call -> actions.giveUp(call.id, CallEnd.STOPPED));
    }

    /** Discovery has answered: nothing that went wrong before counts any more. */
    private void heard() {
        failures = 0;
        furtherCalls = 0;
        retryAt = Double.NEGATIVE_INFINITY;
    }

    /**
     * An answer without news shows how long answers take, as it was due at the end of its call's wait. One
     * with news shows the least of it; the first of all is likely to have been due at once.
     */
    private void observe(Call call, boolean news, double now) {
        boolean first = Double.isNaN(answerMs);
        double took = now - (first && news ? call.sentAt : call.waitEnd);
        if (took < 0) {
            return;
        }
        if (first) {
            answerMs = took;
        } else if (took > answerMs && call.sentAt >= raisedAt) {
            // Answers that a cut has held back for long tell nothing of the next ones.
            answerMs = Math.min(took, Math.max(SLOW_ANSWER_MS, 2 * answerMs));
            raisedAt = now;
        } else if (took <= answerMs && !news) {
            answerMs += GAIN * (took - answerMs);
        }
    }

    private void proceed(double now) {
        if (!watching) {
            actions.wakeAt(Double.POSITIVE_INFINITY);
            return;
        }
        if (dueAt() <= now) {
            makeRoom();
            call(now);
        }
        actions.wakeAt(dueAt());
    }

    /** When the next call is due. */
    private double dueAt() {
        if (out.isEmpty()) {
            return retryAt;
        }
        Call newest = out.get(out.size() - 1);
        double due = isFull() ? newest.sentAt + fullSpacing() : lateAt(newest);
        if (newest.hasBegun() && furtherCalls <= MAX_CONCURRENT_CALLS) {
            due = Math.min(due, newest.begunAt + (isFull() ? 2 : 1) * stallMs());
        }
        return Math.max(due, retryAt);
    }

    private boolean isFull() {
        return out.size() == MAX_CONCURRENT_CALLS;
    }

    /**
     * When the answer to a call is late by what answers have been seen to take, yet early enough for the
     * answer to a further one. Until that one goes out, nobody tells of changes since the call's wait.
     */
    private double lateAt(Call call) {
        boolean first = furtherCalls == 0;
        if (Double.isNaN(answerMs)) {
            return first ? Math.min(call.waitEnd + UNSEEN_LATE_MS, call.sentAt + boundMs - UNSEEN_ANSWER_MS)
                    : call.sentAt + share * LONGEST_SPACING_MS;
        }
        double late = first ? LATE_MS
                : share * doubled(FIRST_SPACING_MS, furtherCalls - 1, LONGEST_SPACING_MS);
        double gap = Math.min(Math.max(late, LATE_ANSWERS * answerMs), LONGEST_GAP_MS - answerMs);
        return Math.max(call.waitEnd + Math.max(0, gap),
                call.sentAt + Math.min(answerMs / 2, LONGEST_GAP_MS));
    }

    private double expectedAnswerMs() {
        return Double.isNaN(answerMs) ? UNSEEN_ANSWER_MS : answerMs;
    }

    /** What is given up may still be worked off, and must not be more than discovery can do. */
    private double fullSpacing() {
        double unheard = out.get(out.size() - 1).sentAt - out.get(0).sentAt;
        double bearable = Math.max(FULL_SPACING_ANSWERS * expectedAnswerMs(), FULL_SPACING_SHARE * unheard);
        return Math.max(bearable, FULL_SPACING_MS * share);
    }

    private double stallMs() {
        return Math.max(STALL_MS, expectedAnswerMs());
    }

    /** Gives up a call if as many are out as may be: one that has broken off, or else not the oldest. */
    private void makeRoom() {
        if (isFull()) {
            int replaced = !out.get(1).hasBegun() && out.get(2).hasBegun() ? 2 : 1;
            actions.giveUp(out.remove(replaced).id, CallEnd.TIMED_OUT);
        }
    }

    private void call(double now) {
        int waitMs = longestWaitMs;
        if (!out.isEmpty()) {
            furtherCalls++;
            waitMs = Double.isNaN(answerMs) ? GLANCE_MS
                    : (int) Math.max(GLANCE_MS, Math.min(longestWaitMs, answerMs));
        } else if (failures > 0) {
            waitMs = GLANCE_MS;
        }
        waitMs = Math.min(waitMs, longestWaitMs);
        share = jitter();
        Call call = new Call(++lastId, version, now, waitMs);
        out.add(call);
        actions.call(call.id, versionUnknown ? 0 : version, waitMs);
    }

    private static double doubled(double first, int times, double longest) {
        return Math.min(longest, first * (1 << Math.min(times, MOST_DOUBLINGS)));
    }

    private double jitter() {
        return LEAST_SHARE + (1 - LEAST_SHARE) * random.nextDouble();
    }
}
