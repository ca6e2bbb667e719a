package cranedeal.node;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import java.util.function.Consumer;

/**
 * Sees how late the node's loop is: it stands around the part of the loop that waits for sockets, and learns
 * how long the loop was busy between two looks at them. What is read in a look may have come at any time
 * since the look before, if the loop did not wait in between.
 */
final class LoopMonitor implements IoHandler {

    /** The delay in ms from which on the loop is late. */
    static final double LATE_MS = 50;
    /** A look that found nothing for so long has waited for it to come. */
    private static final double WAITED_MS = 1;

    private final IoHandler handler;
    private final Clock clock;
    /** When the present look at the sockets found the first of what it reads; NaN before. */
    private double foundAt = Double.NaN;
    /** Whether the present look takes only what is there already. */
    private boolean immediate;
    private double lookAt;
    /** When the look before had found what was there: the rest has come since. */
    private double lookedAt;
    private double longestBusy;

    private LoopMonitor(IoHandler handler, Clock clock) {
        this.handler = handler;
        this.clock = clock;
        lookAt = clock.now();
        lookedAt = lookAt;
    }

    /** Makes the handlers of another factory with a monitor around each, and tells of that. */
    static IoHandlerFactory around(IoHandlerFactory factory, Clock clock,
            Consumer<LoopMonitor> made) {
        return executor -> {
            LoopMonitor monitor = new LoopMonitor(factory.newHandler(executor), clock);
            made.accept(monitor);
            return monitor;
        };
    }

    /** How long something that is read now has lain unread, in ms; 0 while the loop is not late. */
    double lateness() {
        double delay = delay();
        return delay > LATE_MS ? delay : 0;
    }

    /** How long something that is read now may have waited to be read, in ms. */
    private double delay() {
        double now = clock.now();
        if (Double.isNaN(foundAt)) {
            foundAt = now;
        }
        return now - (immediate || foundAt - lookAt < WAITED_MS ? lookedAt : foundAt);
    }

    /** The longest time in ms between two looks at the sockets since this was last asked, waits left out. */
    double takeLongestBusy() {
        double longest = longestBusy;
        longestBusy = 0;
        return longest;
    }

    @Override
    public int run(IoHandlerContext context) {
        lookAt = clock.now();
        longestBusy = Math.max(longestBusy, lookAt - lookedAt);
        immediate = !context.canBlock();
        foundAt = Double.NaN;
        int handled = handler.run(context);
        double found = Double.isNaN(foundAt) ? clock.now() : foundAt;
        lookedAt = immediate ? lookAt : found;
        return handled;
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
