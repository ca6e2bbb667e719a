package cranedeal.node;

/**
 * How long each call of a watch may wait, and what follows on one that failed. What discovery has counts as
 * told 6 s after it can be reached again, or after a watch fell silent, whatever calls were out then; so each
 * way from there to the next answer has to end before that, and with time to spare:
 *
 * <ul>
 * <li>a watch that falls silent as it is asked: its patience, and a glance at once with its answer, 4 s +
 * 1.5 s;
 * <li>a glance that is asked just before discovery is back and never answered: its patience, the module's
 * wait, the next answer, 1.75 s + 1.2 s + 1.5 s;
 * <li>a call that is refused after a second, as discovery still works off a crowd, and the next too: 1 s +
 * 1.2 s + 1 s + 1.2 s, and an answer that comes within the second, 1 s;
 * <li>a connection that never comes up: 1 s + 1.2 s + 1.5 s.
 * </ul>
 */
final class WatchPlan {

    /** The longest time in ms for which a watch waits for news; to go on with it costs discovery little. */
    static final int WATCH_MS = 2_500;
    /** How long after its wait, in ms, an answer may still be under way. */
    static final int LATE_MS = 1_500;
    /**
     * How long the call after a failed one waits, in ms. Whether discovery is back shows in its answer, so
     * that must not be long in coming; and one that falls silent too must not take a watch's time once more.
     */
    static final int GLANCE_MS = 250;

    private final int longest;
    private boolean failed;
    private boolean silent;

    /** A plan whose watches wait for so many ms at most. */
    WatchPlan(int longest) {
        this.longest = longest;
    }

    /** How long the next call is to wait for news, in ms. */
    int waitMillis() {
        return failed ? Math.min(GLANCE_MS, longest) : longest;
    }

    /** How long the next call is waited for, in ms: one that has not been answered by then has failed. */
    int patienceMillis() {
        return waitMillis() + LATE_MS;
    }

    /** A call was answered. */
    void answered() {
        failed = false;
        silent = false;
    }

    /**
     * A call has failed; {@code unanswered} says that its connection stood and nothing came. Returns whether
     * the next is due at once: only the first after a silence, since discovery may be down for longer.
     */
    boolean failed(boolean unanswered) {
        boolean first = unanswered && !silent;
        failed = true;
        silent = first;
        return first;
    }

    /** The calls go to another address from now on; nothing is known against it. */
    void moved() {
        answered();
    }
}
