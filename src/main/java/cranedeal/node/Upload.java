package cranedeal.node;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.WriteBufferWaterMark;

/**
 * A request's body that is too large to be held. Its start is, until more of it has gone on: up to then
 * another attempt may have it. The caller's connection is read only while somebody takes what comes.
 */
final class Upload {

    /** How much of a large transfer may wait for its socket; there can be hundreds at a time. */
    static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(16 << 10, 32 << 10);

    /** Where a body goes. */
    interface Sink {

        /** Takes a piece over. */
        void piece(ByteBuf piece);

        /** That was the whole body. */
        void end();

        boolean isWritable();
    }

    /** Who is told how it ends. */
    interface Listener {

        void onComplete();

        /** The rest of the body can't be read. */
        void onError(Exception cause);
    }

    private final Channel from;
    /** Its length as the caller gave it; negative if that is not known. */
    final long length;
    /** All of it that has come; null once a part is gone. */
    private ByteBuf start;
    private Sink sink;
    private Listener owner;
    private boolean whole;
    private Exception cause;
    private boolean discarded;

    /** Takes over what has come already. */
    Upload(Channel from, long length, ByteBuf start) {
        this.from = from;
        this.length = length;
        this.start = start;
    }

    /** Names who is told; at once if there is something to tell. */
    void setListener(Listener given) {
        owner = given;
        if (cause != null) {
            owner.onError(cause);
        } else if (whole) {
            owner.onComplete();
        }
    }

    /** Whether it has come to its end. */
    boolean isWhole() {
        return whole;
    }

    /** Whether another attempt can have it. */
    boolean isRepeatable() {
        return start != null && cause == null;
    }

    /** Another piece has come; takes it over. */
    void add(ByteBuf piece) {
        if (discarded || cause != null) {
            piece.release();
        } else if (sink == null) {
            if (start == null) {
                // The attempt that had the rest is over: nobody can use this any more.
                piece.release();
                return;
            }
            start.writeBytes(piece);
            piece.release();
            pause();
        } else {
            drop();
            sink.piece(piece);
            if (!sink.isWritable()) {
                pause();
            }
        }
    }

    void end() {
        if (discarded || cause != null) {
            return;
        }
        whole = true;
        if (sink != null) {
            sink.end();
        }
        if (owner != null) {
            owner.onComplete();
        }
    }

    void fail(Exception why) {
        if (discarded || whole || cause != null) {
            return;
        }
        cause = why;
        drop();
        if (owner != null) {
            owner.onError(why);
        }
    }

    /** Sends all of it to an attempt, which must be the only one. */
    void feed(Sink to) {
        sink = to;
        to.piece(start.retainedDuplicate());
        if (whole) {
            to.end();
        }
        writable();
    }

    /** The attempt takes no more; another may begin. */
    void leave(Sink from) {
        if (sink == from) {
            sink = null;
            if (!whole && !discarded) {
                pause();
            }
        }
    }

    /** The attempt can take more again. */
    void writable() {
        if (sink != null && sink.isWritable()) {
            from.config().setAutoRead(true);
        }
    }

    /** Nobody wants it any more; what still comes is thrown away. */
    void discard() {
        discarded = true;
        sink = null;
        owner = null;
        drop();
        from.config().setAutoRead(true);
    }

    private void pause() {
        from.config().setAutoRead(false);
    }

    private void drop() {
        if (start != null) {
            start.release();
            start = null;
        }
    }
}
