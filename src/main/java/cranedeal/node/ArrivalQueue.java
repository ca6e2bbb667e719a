package cranedeal.node;

import java.util.ArrayDeque;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;

/**
 * A FIFO queue of requests that have been read and wait to be handled. They are handled in time slices,
 * between which the event loop polls its sockets and timers, so that answers, upstream lists and signals take
 * precedence over new work.
 *
 * <p>A request that has waited for more than {@link #MAX_WAIT_MS} is refused, which costs a fraction of
 * serving it: more work arrives than the CPU can handle. A pause of the process alone causes no refusals, as
 * requests that arrive during it are read only after it, and their wait starts then.
 *
 * @param <T> type of a request
 */
final class ArrivalQueue<T> {

    /** How long a request may wait before it is refused. */
    static final double MAX_WAIT_MS = 100;
    /** Minimum time in ms to spend on requests before the sockets are polled again. */
    private static final double MIN_SLICE_MS = 5;
    /** Maximum of the same, so that answers are read and callers accepted often enough. */
    private static final double MAX_SLICE_MS = 25;

    /** Requests to handle, and to refuse, in any slice: on a shared CPU little gets done in its time. */
    private static final int MIN_HANDLED_PER_SLICE = 4;
    private static final int MIN_REFUSED_PER_SLICE = 256;

    /** What a slice leaves: nothing, requests for the next slice, or requests blocked until others end. */
    enum SliceResult { NOTHING, READY, BLOCKED }

    private record QueuedRequest<T>(T request, double readAt) { }

    private final ArrayDeque<QueuedRequest<T>> waiting = new ArrayDeque<>();
    /** Requests that have waited too long and are to be refused. */
    private final ArrayDeque<T> expired = new ArrayDeque<>();
    private final DoubleSupplier clock;
    private final BooleanSupplier canSend;
    private final Consumer<T> handler;
    private final Consumer<T> refuser;
    /** End of the last slice, in ms of the clock. */
    private double lastSliceEndedAt;
    private double longestWait;

    /**
     * Creates an empty queue.
     *
     * @param clock returns the time in ms
     * @param canSend returns true if another request could be sent on now; otherwise requests go on waiting
     * @param handler handles a request; must not throw
     * @param refuser refuses a request that has waited too long; must not throw
     */
    ArrivalQueue(DoubleSupplier clock, BooleanSupplier canSend, Consumer<T> handler, Consumer<T> refuser) {
        this.clock = clock;
        this.canSend = canSend;
        this.handler = handler;
        this.refuser = refuser;
        lastSliceEndedAt = clock.getAsDouble();
    }

    /** Adds a request; returns true if the queue was empty, so that {@link #handleSlice} has to be called. */
    boolean add(T request) {
        waiting.addLast(new QueuedRequest<>(request, clock.getAsDouble()));
        return size() == 1;
    }

    /** Returns the number of queued requests, including those to be refused. */
    int size() {
        return waiting.size() + expired.size();
    }

    /** Returns the longest wait of a request since the last call, in ms, and resets it. */
    double takeLongestWait() {
        double longest = longestWait;
        longestWait = 0;
        return longest;
    }

    /**
     * Handles requests for about as long as everything else has taken since the last slice, within bounds.
     * Then refuses requests that have waited too long, for at most the same time again. So neither reading
     * nor refusing takes all the time from serving, however slow the CPU is.
     *
     * @return what is left
     */
    SliceResult handleSlice() {
        double startedAt = clock.getAsDouble();
        double sliceMs = Math.min(MAX_SLICE_MS, Math.max(MIN_SLICE_MS, startedAt - lastSliceEndedAt));
        boolean blocked = handleUntil(startedAt + sliceMs);
        refuseExpired(clock.getAsDouble() + sliceMs);
        lastSliceEndedAt = clock.getAsDouble();
        boolean ready = !expired.isEmpty() || !waiting.isEmpty() && !blocked;
        return ready ? SliceResult.READY : waiting.isEmpty() ? SliceResult.NOTHING : SliceResult.BLOCKED;
    }

    /** Handles requests until a time; returns true if it stopped because no request can be sent on. */
    private boolean handleUntil(double until) {
        double now = clock.getAsDouble();
        moveExpired(now);
        boolean blocked = false;
        for (int handled = 0; !waiting.isEmpty() && !blocked
                && (handled < MIN_HANDLED_PER_SLICE || now < until); handled++) {
            blocked = !canSend.getAsBoolean();
            if (!blocked) {
                longestWait = Math.max(longestWait, now - waiting.peekFirst().readAt());
                handler.accept(waiting.pollFirst().request());
                now = clock.getAsDouble();
                moveExpired(now);
            }
        }
        return blocked;
    }

    private void moveExpired(double now) {
        while (!waiting.isEmpty() && now - waiting.peekFirst().readAt() > MAX_WAIT_MS) {
            longestWait = Math.max(longestWait, now - waiting.peekFirst().readAt());
            expired.addLast(waiting.pollFirst().request());
        }
    }

    private void refuseExpired(double until) {
        for (int refused = 0; !expired.isEmpty()
                && (refused < MIN_REFUSED_PER_SLICE || clock.getAsDouble() < until); refused++) {
            refuser.accept(expired.pollFirst());
        }
    }
}
