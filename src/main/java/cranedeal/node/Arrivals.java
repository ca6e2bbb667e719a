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

    /** What a slice leaves: nothing, requests for the next, or such that have to wait until others end. */
    enum Left { NOTHING, READY, BLOCKED }

    private record Arrival<T>(T request, double readAt) { }

    private final ArrayDeque<Arrival<T>> waiting = new ArrayDeque<>();
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
        return waiting.size() == 1;
    }

    /** How many wait. */
    int size() {
        return waiting.size();
    }

    /** The longest that any has waited since this was last asked, in ms. */
    double takeLongestWait() {
        double longest = longestWait;
        longestWait = 0;
        return longest;
    }

    /**
     * Handles requests for about as long as all else has taken since the last slice, within bounds, so that
     * what has to be read leaves half of the time for what is served.
     *
     * @return what is left
     */
    Left handleSlice() {
        double begun = clock.getAsDouble();
        double until = begun + Math.min(MOST_SLICE_MS, Math.max(LEAST_SLICE_MS, begun - slicedAt));
        double now = begun;
        boolean blocked = false;
        while (!waiting.isEmpty() && !blocked && now < until) {
            double waited = now - waiting.peekFirst().readAt();
            boolean late = waited > MOST_WAIT_MS;
            blocked = !late && !canSend.getAsBoolean();
            if (!blocked) {
                longestWait = Math.max(longestWait, waited);
                (late ? refuser : handler).accept(waiting.pollFirst().request());
                now = clock.getAsDouble();
            }
        }
        slicedAt = now;
        return waiting.isEmpty() ? Left.NOTHING : blocked ? Left.BLOCKED : Left.READY;
    }
}
