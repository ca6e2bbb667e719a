package cranedeal.node;

import cranedeal.node.memory.BodyBuffer;
import cranedeal.node.memory.MemoryShortException;
import io.netty.buffer.ByteBuf;

/**
 * A request's body that is streamed because it is too large to be buffered. Its start stays buffered until
 * more of the body has been passed on; up to then another attempt can send it. The caller's connection is
 * read only while an attempt accepts data.
 */
final class Upload {

    /** Receives the body. */
    interface Sink {

        /** Writes a chunk and takes ownership of it. */
        void writeChunk(ByteBuf chunk);

        /** Ends the body, which is complete. */
        void endBody();

        boolean isWritable();
    }

    /** Is notified of the end of the body. */
    interface Listener {

        void onComplete();

        /** Called if the rest of the body cannot be read. */
        void onError(Exception cause);
    }

    private final CallerInput input;
    private long received;
    /** Length as the caller declared it; negative if it is not known. */
    final long length;
    /** All of the body that has arrived; null once part of it has been passed on without being kept. */
    private BodyBuffer buffered;
    private Sink sink;
    private Listener listener;
    private boolean complete;
    private Exception cause;
    private boolean discarded;

    /** Takes ownership of {@code start}, the part of the body that has already arrived. */
    Upload(CallerInput input, long length, BodyBuffer start) {
        this.input = input;
        this.length = length;
        this.buffered = start;
        received = start.length();
        input.resetPauses();
    }

    /** Sets the listener, and notifies it at once if the body has already ended. */
    void setListener(Listener newListener) {
        listener = newListener;
        if (cause != null) {
            listener.onError(cause);
        } else if (complete) {
            listener.onComplete();
        }
    }

    /** Returns true if the whole body has arrived. */
    boolean isComplete() {
        return complete;
    }

    /** Describes how much of the body has arrived, and for how long reading was paused; for the log. */
    String progress() {
        return received + "/" + (length < 0 ? "chunked" : length) + " paused_ms="
                + Math.round(input.pausedMs());
    }

    /** Returns true if another attempt can send the body from its start. */
    boolean isRepeatable() {
        return buffered != null && cause == null;
    }

    /** Adds a chunk that has arrived, and takes ownership of it. */
    void add(ByteBuf chunk) {
        received += chunk.readableBytes();
        if (discarded || cause != null) {
            chunk.release();
        } else if (sink == null) {
            if (buffered == null) {
                // The attempt that sent the start has ended, so no attempt can use this chunk.
                chunk.release();
                return;
            }
            boolean added = buffered.add(chunk);
            chunk.release();
            input.pause();
            if (!added) {
                fail(new MemoryShortException());
            }
        } else {
            releaseBuffered();
            sink.writeChunk(chunk);
            if (!sink.isWritable()) {
                input.pause();
            }
        }
    }

    void end() {
        if (discarded || cause != null) {
            return;
        }
        complete = true;
        if (sink != null) {
            sink.endBody();
        }
        if (listener != null) {
            listener.onComplete();
        }
    }

    void fail(Exception failure) {
        if (discarded || complete || cause != null) {
            return;
        }
        cause = failure;
        releaseBuffered();
        if (listener != null) {
            listener.onError(failure);
        }
    }

    /** Sends the body to an attempt, which must be the only one attached. */
    void attach(Sink newSink) {
        sink = newSink;
        newSink.writeChunk(buffered.duplicate());
        if (complete) {
            newSink.endBody();
        }
        sinkWritable();
    }

    /** Detaches an attempt that accepts no more, so that another can be attached. */
    void detach(Sink oldSink) {
        if (sink == oldSink) {
            sink = null;
            if (!complete && !discarded) {
                input.pause();
            }
        }
    }

    /** Resumes reading once the attempt can accept more. */
    void sinkWritable() {
        if (sink != null && sink.isWritable()) {
            input.resume();
        }
    }

    /** Discards the body, including what still arrives of it. */
    void discard() {
        discarded = true;
        sink = null;
        listener = null;
        releaseBuffered();
        input.resume();
    }

    private void releaseBuffered() {
        if (buffered != null) {
            buffered.release();
            buffered = null;
        }
    }
}
