package cranedeal.node;

import cranedeal.node.channel.Channels;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.function.DoubleSupplier;

/**
 * The reading side of a caller's connection, which is paused while a body's receiver takes no more. The end
 * of the connection lies behind all bytes that are not read, so this tells up to when the caller was known to
 * be connected, and up to when it can't have written the last byte of its body.
 */
final class CallerInput extends ChannelInboundHandlerAdapter {

    /** For how many ms a caller is taken for connected after everything that it had sent was read. */
    static final double MAX_UNSEEN_MS = 25;
    /** Bytes that a caller can send at once without waiting for this side. */
    private static final int MIN_WINDOW_BYTES = 48 << 10;
    /** How long it takes at most until what a caller may send has come, in ms. */
    private static final double MAX_DELAY_MS = 10;
    /** How often to read on within a body in search of the end; each reads some hundred KiB at most. */
    private static final int MAX_READS = 8;

    private final DoubleSupplier clock;
    private final LoopMonitor monitor;
    /** The poll that accepted the connection, and the earliest time of its connect. */
    private final long openedInPoll;
    private final double openedAt;
    private Channel channel;
    /** True if a request has arrived in part. */
    private boolean inRequest;
    /** The body that is arriving; null if there is none. */
    private BodyArrival body;
    /** True while the connection is being read, when it must not be read again. */
    private boolean reading;
    private boolean readScheduled;
    /** True if the last read found nothing. */
    private boolean empty;
    /** True if the last read left nothing, as far as is known. */
    private boolean leftNothing = true;
    /** Since when the caller could send without waiting for this side, in ms; NaN if reading was paused. */
    private double openSince = Double.NaN;
    private long bytesSinceOpen;
    /** When everything that the caller had sent was last known to be read, in ms of the clock. */
    private double drainedAt;
    /** When reading was paused, in ms of the clock; NaN while the connection is read. */
    private double pausedAt = Double.NaN;
    /** When reading was last resumed, in ms of the clock. */
    private double resumedAt;
    /** For how many ms reading was paused before, since the body began. */
    private double pausedMs;

    /**
     * Creates the input of a new connection, to whose pipeline it is added as the first.
     *
     * @param clock returns the time in ms
     * @param monitor tells how long bytes may wait until they are read
     */
    CallerInput(DoubleSupplier clock, LoopMonitor monitor) {
        this.clock = clock;
        this.monitor = monitor;
        openedInPoll = monitor.polls();
        openedAt = monitor.unreadSince();
        drainedAt = openedAt;
        resumedAt = openedAt;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object bytes) {
        startRead();
        bytesSinceOpen += ((ByteBuf) bytes).readableBytes();
        ctx.fireChannelRead(bytes);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        startRead();
        var read = channel.unsafe().recvBufAllocHandle();
        int bytes = read.lastBytesRead();
        empty = bytes == 0;
        if (empty) {
            nothingLeft();
        }
        ctx.fireChannelReadComplete();
        reading = false;
        leftNothing = bytes < read.attemptedBytesRead();
        if (body != null && bytes > 0 && bytes < read.attemptedBytesRead()) {
            // Only a read that finds nothing shows that nothing is left, as reads may be short.
            scheduleRead();
        }
    }

    private void startRead() {
        if (!reading) {
            reading = true;
            if (!inRequest && leftNothing) {
                drainedAt = Math.max(drainedAt, unreadSince());
                openSince = Double.NaN;
            }
        }
    }

    /**
     * Returns since when the first bytes of a request may have been waiting, in ms of the clock, while they
     * are being read. Those of a new connection may have waited with it to be accepted.
     */
    double unreadSince() {
        double readableSince = monitor.unreadSince();
        return monitor.polls() <= openedInPoll + 1 ? Math.min(openedAt, readableSince) : readableSince;
    }

    /** Sets whether a request has arrived in part, after a read. */
    void setInRequest(boolean partial) {
        inRequest = partial;
    }

    /**
     * A read has found nothing. Within a request that doesn't show that the caller has sent nothing else: its
     * kernel may have waited for this side to read. It does if the caller could send for some time and has
     * sent little.
     */
    private void nothingLeft() {
        double now = clock.getAsDouble();
        if (body == null && !inRequest) {
            drainedAt = now;
            return;
        }
        if (now < openSince + MAX_DELAY_MS) {
            return;
        }
        // Comparing with NaN yields false.
        if (now >= openSince && bytesSinceOpen < MIN_WINDOW_BYTES) {
            drained(now);
        }
        openSince = now;
        bytesSinceOpen = 0;
    }

    private void drained(double now) {
        drainedAt = now;
        if (body != null) {
            body.drained(now);
        }
    }

    private void scheduleRead() {
        if (!readScheduled) {
            readScheduled = true;
            afterRead(() -> {
                readScheduled = false;
                if (body != null) {
                    read();
                }
            });
        }
    }

    /** Returns the time in ms of the clock. */
    double now() {
        return clock.getAsDouble();
    }

    /** Runs a task after the current read of the connection. */
    void afterRead(Runnable task) {
        channel.eventLoop().execute(task);
    }

    /** A body has begun, of which there is more to come. */
    void bodyStarted(BodyArrival arriving) {
        body = arriving;
        pausedMs = 0;
    }

    /** Returns when everything that the caller had sent was last known to be read, in ms of the clock. */
    double drainedAt() {
        return drainedAt;
    }

    /** No more of the body will come, or be used; what comes behind it is read. */
    void bodyEnded() {
        body = null;
        resume();
    }

    void pause() {
        if (!isPaused()) {
            pausedAt = clock.getAsDouble();
            openSince = Double.NaN;
        }
        channel.config().setAutoRead(false);
    }

    void resume() {
        if (isPaused()) {
            pausedMs = pausedMs();
            pausedAt = Double.NaN;
            resumedAt = clock.getAsDouble();
        }
        channel.config().setAutoRead(true);
    }

    boolean isPaused() {
        return !Double.isNaN(pausedAt);
    }

    /** Returns for how many ms the body was not read. */
    double pausedMs() {
        return pausedMs + (isPaused() ? clock.getAsDouble() - pausedAt : 0);
    }

    /** Returns true if a body is arriving, so that the caller may have left unseen behind it. */
    boolean isInBody() {
        return body != null;
    }

    /** Returns when reading was last resumed, in ms of the clock. */
    double resumedAt() {
        return resumedAt;
    }

    /** Reads what the kernel has, unless reading is paused or in progress. */
    void read() {
        if (!isPaused() && !reading) {
            Channels.readNow(channel);
        }
    }

    /** The same, where reading is paused too, by one read at most: tells if anything is there. */
    void readOnce() {
        if (!reading) {
            Channels.readNow(channel);
        }
    }

    /**
     * Reads on, unless reading is paused, and returns false if the connection has ended as far as is seen.
     * Within a body it reads until nothing is left, also behind the body, or as far ahead as it may.
     */
    boolean isOpen() {
        boolean wasInBody = isInBody();
        read();
        for (int i = 1; i < MAX_READS && wasInBody && channel.isActive() && !isPaused() && !reading
                && !empty; i++) {
            read();
        }
        return channel.isActive();
    }

    /** Returns true if the caller is known to be connected: not if its end may lie behind an unread body. */
    boolean isKnownOpen() {
        boolean wasInBody = isInBody();
        if (!isOpen()) {
            return false;
        }
        boolean seen = !wasInBody || !isInBody() && empty;
        return seen || clock.getAsDouble() <= drainedAt + MAX_UNSEEN_MS;
    }
}
