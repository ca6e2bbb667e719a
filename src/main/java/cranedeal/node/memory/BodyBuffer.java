package cranedeal.node.memory;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;

/**
 * Collects the pieces of a message's body. The pieces are copied, as a slice of a buffer that was read keeps
 * the whole of it, so that a body holds at most twice its bytes however it was cut. It grows by blocks small
 * enough to be found in a fragmented pool.
 */
public final class BodyBuffer {

    private static final int MIN_BLOCK_BYTES = 256;
    private static final int MAX_BLOCK_BYTES = 16 << 10;

    private final ByteBufAllocator allocator;
    private final HoldLimit limit;
    /** Blocks of which all but the last are full; null once the body has been taken. */
    private CompositeByteBuf blocks;

    /**
     * Creates an empty buffer.
     *
     * @param limit is asked before the buffer grows
     */
    public BodyBuffer(ByteBufAllocator allocator, HoldLimit limit) {
        this.allocator = allocator;
        this.limit = limit;
        blocks = allocator.compositeBuffer(Integer.MAX_VALUE);
    }

    /** Appends a copy of a piece's bytes; returns false, and appends none, if they may not be held. */
    public boolean add(ByteBuf piece) {
        while (blocks.writableBytes() < piece.readableBytes()) {
            if (!addBlock(piece.readableBytes() - blocks.writableBytes())) {
                return false;
            }
        }
        blocks.writeBytes(piece, piece.readerIndex(), piece.readableBytes());
        return true;
    }

    private boolean addBlock(int missing) {
        int wanted = Math.max(MIN_BLOCK_BYTES, Math.max(missing, blocks.capacity()));
        int size = Math.min(MAX_BLOCK_BYTES, Integer.highestOneBit(2 * wanted - 1));
        if (!limit.mayHold(blocks.capacity(), size)) {
            return false;
        }
        ByteBuf block = allocator.buffer(size, size);
        blocks.addComponent(block.writerIndex(size));
        return true;
    }

    /** Returns how many bytes have been collected. */
    public int length() {
        return blocks.readableBytes();
    }

    /** Returns the bytes collected so far, which the caller has to release. */
    public ByteBuf duplicate() {
        return blocks.retainedDuplicate();
    }

    /** Returns the collected bytes, which the caller has to release; nothing may be added after that. */
    public ByteBuf take() {
        ByteBuf body = blocks;
        blocks = null;
        return body;
    }

    /** Releases the collected bytes unless they were taken. */
    public void release() {
        if (blocks != null) {
            blocks.release();
            blocks = null;
        }
    }
}
