package cranedeal.node;

import java.util.ArrayDeque;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;

/**
 * Requests that have been read and are to be handled, in order of arrival. They are handled in slices,
 * between which the loop looks at its sockets and timers again, so that answers, lists and signals go before
 * new work.
 *
 * <p>Once the oldest has waited for {@link #MOST_WAIT_MS}, more work comes than the processor carries, and
 * whatever is read from then on is to be refused at once: each request that waits makes all behind it late,
 * and clients that come again cost as much as the first time. A pause of the process by itself refuses
 * nothing, as what comes meanwhile is read only after it and waits no longer than its turn.
 *
 * @param <T> what is handled
 */
final class Arrivals<T> {

    /** How long the oldest may have waited for its turn before others are refused. */
    static final double MOST_WAIT_MS = 100;
    /** The least time in ms that is spent on requests before the sockets have their turn. */
    private static final double LEAST_SLICE_MS = 5;
    /** The most, so that answers, and callers that wait to be accepted, are looked after often enough. */
    private static final double MOST_SLICE_MS = 100;

    private record Arrival<T>(T request, double readAt) { }

    private final ArrayDeque<Arrival<T>> waiting = new ArrayDeque<>();
    private final DoubleSupplier clock;
    private final Consumer<T> handler;
    /** When the last slice ended. */
    private double slicedAt;
    private double longestWait;

    /** Nothing waits; {@code clock} tells the time in ms, and {@code handler} never throws. */
    Arrivals(DoubleSupplier clock, Consumer<T> handler) {
        this.clock = clock;
        this.handler = handler;
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

    /** How long the oldest has waited, in ms; 0 if none waits. */
    double wait(double now) {
        return waiting.isEmpty() ? 0 : Math.max(0, now - waiting.peekFirst().readAt());
    }

    /** Whether what is read now is to be refused, as too much waits already. */
    boolean isOverloaded() {
        return wait(clock.getAsDouble()) > MOST_WAIT_MS;
    }

    /** The longest that any has waited since this was last asked, in ms. */
    double takeLongestWait() {
        double longest = longestWait;
        longestWait = 0;
        return longest;
    }

    /**
     * Handles requests for about as long as all else has taken since the last slice, within bounds, so that
     * refusals leave half of the time for what is served.
     *
     * @return whether some are left, for another slice
     */
    boolean handleSlice() {
        double begun = clock.getAsDouble();
        double until = begun + Math.min(MOST_SLICE_MS, Math.max(LEAST_SLICE_MS, begun - slicedAt));
        double now = begun;
        while (!waiting.isEmpty() && now < until) {
            Arrival<T> next = waiting.pollFirst();
            longestWait = Math.max(longestWait, now - next.readAt());
            handler.accept(next.request());
            now = clock.getAsDouble();
        }
        slicedAt = now;
        return !waiting.isEmpty();
    }
}
