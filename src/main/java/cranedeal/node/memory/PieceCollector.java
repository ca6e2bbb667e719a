package cranedeal.node.memory;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.util.function.Consumer;

/**
 * Collects the pieces of a streamed body and passes on many as one. A piece of a few bytes would cost its
 * receiver hundreds, and keep the buffer that it was read into.
 */
public final class PieceCollector {

    /** How much is collected before it is passed on with the next piece, in bytes. */
    private static final int MAX_BYTES = 16 << 10;

    private final ByteBufAllocator allocator;
    private final Consumer<ByteBuf> receiver;
    private BodyBuffer collected;

    /**
     * Creates a collector.
     *
     * @param receiver takes ownership of what it is passed
     */
    public PieceCollector(ByteBufAllocator allocator, Consumer<ByteBuf> receiver) {
        this.allocator = allocator;
        this.receiver = receiver;
        collected = new BodyBuffer(allocator, HoldLimit.NONE);
    }

    /** Adds a copy of a piece. Passes on what was collected before if that is enough, but not the piece. */
    public void add(ByteBuf piece) {
        if (collected.length() >= MAX_BYTES) {
            flush();
        }
        collected.add(piece);
    }

    /** Returns what is collected, perhaps nothing, which the caller has to release. */
    public ByteBuf take() {
        ByteBuf whole = collected.take();
        collected = new BodyBuffer(allocator, HoldLimit.NONE);
        return whole;
    }

    /** Passes on what is collected, if anything is; to be called at the end of each read and of the body. */
    public void flush() {
        if (collected.length() > 0) {
            receiver.accept(take());
        }
    }

    /** Releases what is collected; nothing may be added after that. */
    public void release() {
        collected.release();
    }
}
