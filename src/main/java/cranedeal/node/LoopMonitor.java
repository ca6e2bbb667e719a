package cranedeal.node;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;

/**
 * Measures the lag of the node's event loop. It wraps the part of the loop that polls the sockets, and
 * measures how long the loop was busy, or had no CPU, between two polls. If a poll did not have to wait, the
 * data read in it may have arrived at any time since the previous poll.
 */
final class LoopMonitor implements IoHandler {

    /** The lag in ms above which the loop counts as late. */
    static final double LATE_THRESHOLD_MS = 50;
    /** A poll that took at least this long has waited for the data to arrive. */
    private static final double MIN_WAIT_MS = 1;
    /** The selector rounds its timeouts to ms. */
    private static final double ROUNDING_MS = 1;
    private static final double NANOS_PER_MS = 1e6;

    private final IoHandler handler;
    private final DoubleSupplier clock;
    /** Whether a poll is in progress, including the handling of its events. */
    private boolean polling;
    /** When the current poll returned its first event; NaN before. */
    private double foundAt = Double.NaN;
    /** Whether the current poll is non-blocking. */
    private boolean nonBlocking;
    private double pollStartedAt;
    /** Number of polls so far. */
    private long polls;
    /** The latest time at which the current poll should have returned, with or without an event. */
    private double latestWakeAt;
    /** When the previous poll had found all events present then; other events have arrived since. */
    private double lastPolledAt;
    private double longestBusy;
    private double idleTime;

    private LoopMonitor(IoHandler handler, DoubleSupplier clock) {
        this.handler = handler;
        this.clock = clock;
        pollStartedAt = clock.getAsDouble();
        lastPolledAt = pollStartedAt;
    }

    /**
     * Wraps each handler of a factory in a monitor, and passes the monitor to {@code made}; times are in ms.
     */
    static IoHandlerFactory wrap(IoHandlerFactory factory, DoubleSupplier clock,
            Consumer<LoopMonitor> listener) {
        return executor -> {
            LoopMonitor monitor = new LoopMonitor(factory.newHandler(executor), clock);
            listener.accept(monitor);
            return monitor;
        };
    }

    /** How long data that is read now may have been waiting, in ms; 0 while the loop is not late. */
    double lag() {
        double delay = clock.getAsDouble() - unreadSince();
        return delay > LATE_THRESHOLD_MS ? delay : 0;
    }

    /** Returns how many polls have begun. */
    long polls() {
        return polls;
    }

    /** The time since when data that is read now may have been waiting, also while the loop is not late. */
    double unreadSince() {
        if (!polling) {
            return lastPolledAt;
        }
        if (Double.isNaN(foundAt)) {
            foundAt = clock.getAsDouble();
        }
        boolean waited = !nonBlocking && foundAt - pollStartedAt >= MIN_WAIT_MS;
        return waited ? Math.min(foundAt, latestWakeAt) : lastPolledAt;
    }

    /** The total time for which the loop was idle since its start, in ms. */
    double idleTime() {
        return idleTime;
    }

    /** Returns and resets the longest busy time between two polls, in ms, without the polls' own waits. */
    double takeLongestBusy() {
        double longest = longestBusy;
        longestBusy = 0;
        return longest;
    }

    @Override
    public int run(IoHandlerContext context) {
        polls++;
        pollStartedAt = clock.getAsDouble();
        longestBusy = Math.max(longestBusy, pollStartedAt - lastPolledAt);
        nonBlocking = !context.canBlock();
        latestWakeAt = nonBlocking ? pollStartedAt : pollStartedAt + ROUNDING_MS + maxWaitMs(context);
        foundAt = Double.NaN;
        polling = true;
        int handled = handler.run(context);
        polling = false;
        double firstEventAt = Double.isNaN(foundAt) ? clock.getAsDouble() : foundAt;
        lastPolledAt = nonBlocking ? pollStartedAt : Math.min(firstEventAt, latestWakeAt);
        idleTime += lastPolledAt - pollStartedAt;
        return handled;
    }

    private static double maxWaitMs(IoHandlerContext context) {
        return Math.max(0, context.delayNanos(System.nanoTime()) / NANOS_PER_MS);
    }

    @Override
    public void initialize() {
        handler.initialize();
    }

    @Override
    public void prepareToDestroy() {
        handler.prepareToDestroy();
    }

    @Override
    public void destroy() {
        handler.destroy();
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
        return handler.register(handle);
    }

    @Override
    public void wakeup() {
        handler.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> type) {
        return handler.isCompatible(type);
    }
}
