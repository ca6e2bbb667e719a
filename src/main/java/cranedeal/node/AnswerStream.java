package cranedeal.node;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;

/**
 * Passes the answer of an attempt on to its caller while it arrives, no faster than the caller reads.
 * Confined to the event loop of its connection.
 */
final class AnswerStream {

    private final Clock clock;
    private final Channel upstream;
    private final ResponseSink sink;
    private final AnswerLifecycle answer;

    /**
     * Starts a stream.
     *
     * @param upstream the connection that the answer arrives on
     * @param sink where its body goes
     * @param answer is told when the caller reads and when not
     */
    AnswerStream(Clock clock, Channel upstream, ResponseSink sink, AnswerLifecycle answer) {
        this.clock = clock;
        this.upstream = upstream;
        this.sink = sink;
        this.answer = answer;
    }

    /** Passes on a part of the body and takes ownership of it. */
    void writeChunk(ByteBuf chunk) {
        sink.writeChunk(chunk);
        if (!sink.isWritable()) {
            answer.callerPaused(clock.now());
            upstream.config().setAutoRead(false);
        }
    }

    /** Passes on the head if it is still held back for the first part of the body. */
    void flush() {
        sink.flush();
    }

    /** Reads on, as the sink is writable again. */
    void resume() {
        answer.callerResumed(clock.now());
        upstream.config().setAutoRead(true);
    }
}
