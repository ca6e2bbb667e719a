package cranedeal.node;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;

/**
 * Measures how far the node's loop is behind: it stands around the part of the loop that waits for sockets
 * ("a look"), and learns how long the loop was busy between two looks, or was not given the processor. What
 * is read in a look may have come at any time since the look before, if the loop did not wait in between.
 */
final class LoopMonitor implements IoHandler {

    /** The delay in ms from which on the loop is late. */
    static final double LATE_THRESHOLD_MS = 50;
    /** A look that found nothing for so long has waited for it to come. */
    private static final double WAITED_MS = 1;
    /** The selector rounds its waits to ms. */
    private static final double ROUNDING_MS = 1;
    private static final double NANOS_PER_MS = 1e6;

    private final IoHandler handler;
    private final DoubleSupplier clock;
    /** Whether a look is under way. */
    private boolean looking;
    /** When the present look found the first of what it reads; NaN before. */
    private double foundAt = Double.NaN;
    /** Whether the present look takes only what is there already. */
    private boolean immediate;
    private double lookAt;
    /** When the present look ought to have ended at the latest, found something or not. */
    private double wakeAt;
    /** When the look before had found what was there: the rest has come since. */
    private double lookedAt;
    private double longestBusy;
    private double spare;

    private LoopMonitor(IoHandler handler, DoubleSupplier clock) {
        this.handler = handler;
        this.clock = clock;
        lookAt = clock.getAsDouble();
        lookedAt = lookAt;
    }

    /** Makes another factory's handlers with a monitor around each, and tells of that; times are in ms. */
    static IoHandlerFactory wrap(IoHandlerFactory factory, DoubleSupplier clock,
            Consumer<LoopMonitor> made) {
        return executor -> {
            LoopMonitor monitor = new LoopMonitor(factory.newHandler(executor), clock);
            made.accept(monitor);
            return monitor;
        };
    }

    /** How long something that is read now has lain unread, in ms; 0 while the loop is not late. */
    double lag() {
        double delay = clock.getAsDouble() - unreadSince();
        return delay > LATE_THRESHOLD_MS ? delay : 0;
    }

    /** Since when something that is read now may have waited to be read, in ms of the clock. */
    private double unreadSince() {
        if (!looking) {
            return lookedAt;
        }
        if (Double.isNaN(foundAt)) {
            foundAt = clock.getAsDouble();
        }
        boolean waited = !immediate && foundAt - lookAt >= WAITED_MS;
        return waited ? Math.min(foundAt, wakeAt) : lookedAt;
    }

    /** For how long the loop has had nothing to do since its start, in ms. */
    double idleTime() {
        return spare;
    }

    /** The longest time in ms between two looks since this was last asked, waits left out. */
    double takeLongestBusy() {
        double longest = longestBusy;
        longestBusy = 0;
        return longest;
    }

    @Override
    public int run(IoHandlerContext context) {
        lookAt = clock.getAsDouble();
        longestBusy = Math.max(longestBusy, lookAt - lookedAt);
        immediate = !context.canBlock();
        wakeAt = immediate ? lookAt : lookAt + ROUNDING_MS + mostWaitMs(context);
        foundAt = Double.NaN;
        looking = true;
        int handled = handler.run(context);
        looking = false;
        double found = Double.isNaN(foundAt) ? clock.getAsDouble() : foundAt;
        lookedAt = immediate ? lookAt : Math.min(found, wakeAt);
        spare += lookedAt - lookAt;
        return handled;
    }

    private static double mostWaitMs(IoHandlerContext context) {
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
