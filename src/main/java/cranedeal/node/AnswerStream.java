package cranedeal.node;

import cranedeal.node.channel.Channels;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Passes the answer of an attempt on to its caller while it arrives, no faster than the caller reads, and
 * reports when it has to be ended. Confined to the event loop of its connection.
 */
final class AnswerStream {

    private final EventLoop loop;
    private final Clock clock;
    private final Channel upstream;
    private final ResponseSink sink;
    private final AnswerDeadline deadline;
    private final Runnable onOverdue;
    private Future<?> checkTimer;
    private double lastProgressAt;
    private boolean started;
    private boolean ended;

    /**
     * Starts a stream.
     *
     * @param upstream the connection that the answer arrives on
     * @param sink where its body goes
     * @param onOverdue run once if the answer has to be ended, unless {@link #end} was called before
     */
    AnswerStream(EventLoop loop, Clock clock, Channel upstream, ResponseSink sink, AnswerDeadline deadline,
            Runnable onOverdue) {
        this.loop = loop;
        this.clock = clock;
        this.upstream = upstream;
        this.sink = sink;
        this.deadline = deadline;
        this.onOverdue = onOverdue;
        lastProgressAt = clock.now();
        scheduleCheck();
    }

    /** Passes on a part of the body and takes ownership of it. The first one was held until now. */
    void writeChunk(ByteBuf chunk) {
        if (started) {
            deadline.received(chunk.readableBytes(), clock.now());
        } else {
            deadline.startHeld(chunk.readableBytes());
            started = true;
        }
        lastProgressAt = clock.now();
        sink.writeChunk(chunk);
        if (!ended && !sink.isWritable()) {
            deadline.callerPaused(clock.now());
            upstream.config().setAutoRead(false);
        }
    }

    /** Reads on, as the sink is writable again. */
    void resume() {
        if (ended) {
            return;
        }
        lastProgressAt = clock.now();
        deadline.callerResumed(clock.now());
        scheduleCheck();
        upstream.config().setAutoRead(true);
    }

    /** Returns true if the caller has waited for the upstream since before the given time, in ms. */
    boolean isStalled(double since) {
        return lastProgressAt < since && sink.isWritable();
    }

    /** Stops the checks, as the answer has ended. */
    void end() {
        ended = true;
        cancelCheck();
    }

    private void scheduleCheck() {
        cancelCheck();
        double checkAt = deadline.checkAt();
        if (checkAt < Double.POSITIVE_INFINITY) {
            checkTimer = loop.schedule(this::check, clock.nanosUntil(checkAt), TimeUnit.NANOSECONDS);
        }
    }

    private void cancelCheck() {
        if (checkTimer != null) {
            checkTimer.cancel(false);
        }
    }

    /** A late loop runs its timers before it polls its sockets, so this first reads what has arrived. */
    private void check() {
        if (upstream.config().isAutoRead()) {
            Channels.readNow(upstream);
        }
        if (ended) {
            return;
        }
        if (deadline.check(clock.now()) == AnswerDeadline.State.OVERDUE) {
            onOverdue.run();
        } else {
            scheduleCheck();
        }
    }
}
