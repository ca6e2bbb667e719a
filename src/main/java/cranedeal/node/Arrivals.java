package cranedeal.node;

import java.util.ArrayDeque;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;

/**
 * Requests that have been read and are to be handled, in order of arrival. They are handled in slices,
 * between which the loop looks at its sockets and timers again, so that answers, lists and signals go before
 * new work.
 *
 * <p>A request that has waited for {@link #MOST_WAIT_MS} is refused as its turn comes, which costs a part of
 * what it costs to serve it: more work comes than the processor carries. A pause of the process by itself
 * refuses nothing, as what comes meanwhile is read only after it and waits no longer than its turn.
 *
 * @param <T> what is handled
 */
final class Arrivals<T> {

    /** How long a request may wait for its turn before it is refused. */
    static final double MOST_WAIT_MS = 100;
    /** The least time in ms that is spent on requests before the sockets have their turn. */
    private static final double LEAST_SLICE_MS = 5;
    /** The most, so that answers, and callers that wait to be accepted, are looked after often enough. */
    private static final double MOST_SLICE_MS = 25;

    /** So many are handled, and refused, in any slice: a processor that is shared does little in its time. */
    private static final int LEAST_HANDLED = 4;
    private static final int LEAST_REFUSED = 256;

    /** What a slice leaves: nothing, requests for the next, or such that have to wait until others end. */
    enum Left { NOTHING, READY, BLOCKED }

    private record Arrival<T>(T request, double readAt) { }

    private final ArrayDeque<Arrival<T>> waiting = new ArrayDeque<>();
    /** Those of them that have waited too long and are to be refused. */
    private final ArrayDeque<T> late = new ArrayDeque<>();
    private final DoubleSupplier clock;
    private final BooleanSupplier canSend;
    private final Consumer<T> handler;
    private final Consumer<T> refuser;
    /** When the last slice ended. */
    private double slicedAt;
    private double longestWait;

    /**
     * Nothing waits; neither {@code handler} nor {@code refuser} ever throws.
     *
     * @param clock tells the time in ms
     * @param canSend whether another request could be sent on now; else those that wait go on waiting
     * @param handler handles a request whose turn has come
     * @param refuser refuses one that has waited for too long
     */
    Arrivals(DoubleSupplier clock, BooleanSupplier canSend, Consumer<T> handler, Consumer<T> refuser) {
        this.clock = clock;
        this.canSend = canSend;
        this.handler = handler;
        this.refuser = refuser;
        slicedAt = clock.getAsDouble();
    }

    /** Adds a request; returns whether {@link #handleSlice} has to be called, as nothing waited before. */
    boolean add(T request) {
        waiting.addLast(new Arrival<>(request, clock.getAsDouble()));
        return size() == 1;
    }

    /** How many wait. */
    int size() {
        return waiting.size() + late.size();
    }

    /** The longest that any has waited since this was last asked, in ms. */
    double takeLongestWait() {
        double longest = longestWait;
        longestWait = 0;
        return longest;
    }

    /**
     * Handles requests for about as long as all else has taken since the last slice, within bounds, and then
     * refuses those that have waited too long for as long at the most. So neither what has to be read nor
     * what has to be refused takes the time of what is served, however slow the processor is.
     *
     * @return what is left
     */
    Left handleSlice() {
        double begun = clock.getAsDouble();
        double slice = Math.min(MOST_SLICE_MS, Math.max(LEAST_SLICE_MS, begun - slicedAt));
        boolean blocked = handleWaiting(begun + slice);
        refuseLate(clock.getAsDouble() + slice);
        slicedAt = clock.getAsDouble();
        boolean ready = !late.isEmpty() || !waiting.isEmpty() && !blocked;
        return ready ? Left.READY : waiting.isEmpty() ? Left.NOTHING : Left.BLOCKED;
    }

    /** Handles the next ones until a time; whether those that are left can't be sent on. */
    private boolean handleWaiting(double until) {
        double now = clock.getAsDouble();
        setLateAside(now);
        boolean blocked = false;
        for (int handled = 0; !waiting.isEmpty() && !blocked && (handled < LEAST_HANDLED || now < until);
                handled++) {
            blocked = !canSend.getAsBoolean();
            if (!blocked) {
                longestWait = Math.max(longestWait, now - waiting.peekFirst().readAt());
                handler.accept(waiting.pollFirst().request());
                now = clock.getAsDouble();
                setLateAside(now);
            }
        }
        return blocked;
    }

    private void setLateAside(double now) {
        while (!waiting.isEmpty() && now - waiting.peekFirst().readAt() > MOST_WAIT_MS) {
            longestWait = Math.max(longestWait, now - waiting.peekFirst().readAt());
            late.addLast(waiting.pollFirst().request());
        }
    }

    private void refuseLate(double until) {
        for (int refused = 0; !late.isEmpty() && (refused < LEAST_REFUSED || clock.getAsDouble() < until);
                refused++) {
            refuser.accept(late.pollFirst());
        }
    }
}
