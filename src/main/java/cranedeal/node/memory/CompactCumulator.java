package cranedeal.node.memory;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.ByteToMessageDecoder;

/**
 * Cumulates the bytes of a decoder in buffers of their size. Netty keeps the buffer that was read, which may
 * be far larger, for as long as a message in it is not complete.
 */
public final class CompactCumulator implements ByteToMessageDecoder.Cumulator {

    /** The cumulator, which has no state. */
    public static final CompactCumulator INSTANCE = new CompactCumulator();

    private CompactCumulator() {
    }

    @Override
    public ByteBuf cumulate(ByteBufAllocator allocator, ByteBuf cumulation, ByteBuf in) {
        boolean fits = in.capacity() <= 2 * in.readableBytes();
        if (fits || cumulation.isReadable()) {
            return ByteToMessageDecoder.MERGE_CUMULATOR.cumulate(allocator, cumulation, in);
        }
        try {
            ByteBuf copy = allocator.buffer(in.readableBytes()).writeBytes(in);
            cumulation.release();
            return copy;
        } finally {
            in.release();
        }
    }
}
