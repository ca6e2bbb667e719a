package cranedeal.node;

import cranedeal.node.memory.BodyBuffer;
import cranedeal.node.memory.HoldLimit;
import cranedeal.node.memory.MemoryShortException;
import io.netty.buffer.ByteBuf;

/**
 * A request's body that is streamed because it is too large to be buffered. Its start stays buffered until
 * more of the body has been passed on; up to then another attempt can send it. The body is read ahead of the
 * attempt within bounds, so that the end of the caller's connection is seen; beyond them the connection is
 * read only while the attempt accepts data.
 */
final class Upload {

    /** Largest start that stays buffered for another attempt once it has been passed on, in bytes. */
    private static final int MAX_REPEATABLE_BYTES = 128 << 10;
    /** Largest chunk that is passed on, in bytes, so that an attempt's progress shows. */
    private static final int MAX_CHUNK_BYTES = 16 << 10;

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
    private final HoldLimit memory;
    private final BodyArrival arrival;
    /** The request's time, which counts from the last byte of the body, in ms. */
    private double timeAllowed = Double.POSITIVE_INFINITY;
    /** All of the body that has arrived; null once part of it has been passed on without being kept. */
    private BodyBuffer buffered;
    private Sink sink;
    private Listener listener;
    private boolean complete;
    /** The end of a complete body while it is checked that the caller is still there; null otherwise. */
    private ByteBuf lastChunk;
    private Exception cause;
    private boolean discarded;

    /**
     * Creates an upload.
     *
     * @param arrival says how much has arrived
     * @param start the part of the body that has arrived, which the upload takes over
     * @param memory limits how much is read ahead
     */
    Upload(CallerInput input, BodyArrival arrival, BodyBuffer start, HoldLimit memory) {
        this.input = input;
        this.arrival = arrival;
        this.buffered = start;
        this.memory = memory;
        arrival.read(start.length(), input.now());
        input.bodyStarted(arrival);
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

    /**
     * Sets the request's time.
     *
     * @param arrivedAt when the head arrived, in ms of the clock
     * @param newTimeAllowed the time from the last byte of the body to the answer, in ms
     */
    void startClock(double arrivedAt, double newTimeAllowed) {
        arrival.started(Math.min(arrivedAt, input.drainedAt()));
        timeAllowed = newTimeAllowed;
    }

    /** Returns when the caller's time may be over, in ms of the clock; later while it sends slowly. */
    double deadline() {
        return arrival.earliestEnd() + timeAllowed;
    }

    /** Reads on once, also if reading is paused: the deadline is later if the caller has sent nothing. */
    void updateDeadline() {
        input.readOnce();
    }

    /** Returns the length as the caller declared it; negative if it is not known. */
    long length() {
        return arrival.length();
    }

    /** Returns true if the whole body has arrived. */
    boolean isComplete() {
        return complete;
    }

    /** Describes how much of the body has arrived, and for how long reading was paused; for the log. */
    String progress() {
        return arrival.received() + "/" + (length() < 0 ? "chunked" : length()) + " paused_ms="
                + Math.round(input.pausedMs());
    }

    /** Returns true if another attempt can send the body from its start. */
    boolean isRepeatable() {
        return buffered != null && cause == null;
    }

    /** Adds a chunk that has arrived, and takes ownership of it. */
    void add(ByteBuf chunk) {
        arrival.read(chunk.readableBytes(), input.now());
        if (discarded || cause != null) {
            chunk.release();
        } else if (sink == null) {
            hold(chunk);
        } else {
            releaseBuffered();
            sink.writeChunk(chunk);
            if (sink != null && !sink.isWritable()) {
                input.pause();
            }
        }
    }

    /** Keeps a chunk for the next attempt. */
    private void hold(ByteBuf chunk) {
        if (buffered == null) {
            // The attempt that sent the start has ended, so no attempt can use this chunk.
            chunk.release();
            return;
        }
        boolean added = buffered.add(chunk);
        chunk.release();
        if (!added) {
            fail(new MemoryShortException());
        } else if (!memory.mayReadAhead(buffered.length())) {
            input.pause();
        }
    }

    /** Ends the body, which is complete with its last chunk; takes ownership of the chunk. */
    void end(ByteBuf last) {
        if (sink == null) {
            add(last.retain());
        } else {
            arrival.read(last.readableBytes(), input.now());
        }
        if (discarded || cause != null) {
            last.release();
            return;
        }
        complete = true;
        input.bodyEnded();
        if (sink == null) {
            last.release();
        } else {
            if (last.isReadable()) {
                releaseBuffered();
            }
            lastChunk = last;
            input.afterRead(this::passOnEnd);
        }
        if (listener != null) {
            listener.onComplete();
        }
    }

    /** Passes on the end of the body, from which on the request may run, if the caller has not left. */
    private void passOnEnd() {
        ByteBuf last = lastChunk;
        lastChunk = null;
        if (last == null) {
            return;
        }
        if (sink == null || !input.isOpen() || sink == null) {
            last.release();
            return;
        }
        sink.writeChunk(last);
        if (sink != null) {
            sink.endBody();
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
        ByteBuf start = buffered.duplicate();
        while (start.isReadable()) {
            newSink.writeChunk(start.readRetainedSlice(Math.min(MAX_CHUNK_BYTES, start.readableBytes())));
        }
        start.release();
        if (sink != newSink) {
            return;
        }
        if (complete) {
            newSink.endBody();
        }
        if (buffered.length() > MAX_REPEATABLE_BYTES) {
            releaseBuffered();
        }
        sinkWritable();
    }

    /** Detaches an attempt that accepts no more, so that another can be attached. */
    void detach(Sink oldSink) {
        if (sink == oldSink) {
            sink = null;
            releaseLastChunk();
            if (!complete && !discarded && buffered != null && !memory.mayReadAhead(buffered.length())) {
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
        if (!discarded && !complete) {
            input.bodyEnded();
        }
        discarded = true;
        sink = null;
        listener = null;
        releaseBuffered();
        releaseLastChunk();
    }

    private void releaseBuffered() {
        if (buffered != null) {
            buffered.release();
            buffered = null;
        }
    }

    private void releaseLastChunk() {
        if (lastChunk != null) {
            lastChunk.release();
            lastChunk = null;
        }
    }
}
