package cranedeal.node.memory;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.util.internal.PlatformDependent;

/**
 * The direct memory that the buffers of a node's loop use. It is confined to that loop.
 *
 * <p>What peers make it hold is bounded. From a share of the memory on, bodies are not read ahead of their
 * receivers. From a larger one on, a body may grow no further, a stream may hold one read at a time, and
 * reads are small. Small bodies may use some more, so that whoever
 * asks little is served; the rest is left to heads, which are bounded for each connection.
 */
public final class BufferMemory implements HoldLimit {

    /** How much of a body is read ahead of its receiver at most, in bytes. */
    public static final int MAX_READ_AHEAD_BYTES = 2 << 20;
    /** One arena, since there is one thread, in chunks of 512 KiB. */
    private static final int PAGE_BYTES = 8_192;
    private static final int CHUNK_ORDER = 6;
    private static final int CACHED_BUFFERS = 32;
    /** Sizes of the buffers that sockets are read into, and their maximum while memory is short. */
    private static final int MIN_READ_BYTES = 256;
    private static final int INITIAL_READ_BYTES = 2_048;
    private static final int MAX_READ_BYTES = 16 << 10;
    private static final int MAX_READ_WHEN_SHORT_BYTES = 2_048;
    /** Reads between two measurements, which take up to a microsecond. */
    private static final int READS_PER_MEASUREMENT = 8;
    /** Share of the memory that may be held before bodies are not read ahead of their receivers. */
    private static final double READ_AHEAD_SHARE = 0.4;
    /** Share of the memory that may be held before it counts as short, and before nothing may grow. */
    private static final double SHORT_SHARE = 0.6;
    private static final double FULL_SHARE = 0.7;
    /** Largest body that counts as small. */
    private static final int SMALL_BODY_BYTES = 4_096;
    /** Bytes of a stream that may wait to be written; there can be hundreds of streams. */
    private static final WriteBufferWaterMark STREAM_WATER_MARK =
            new WriteBufferWaterMark(16 << 10, 32 << 10);
    private static final WriteBufferWaterMark READ_AHEAD_WATER_MARK =
            new WriteBufferWaterMark(MAX_READ_AHEAD_BYTES / 2, MAX_READ_AHEAD_BYTES);
    private static final WriteBufferWaterMark WATER_MARK_WHEN_SHORT = new WriteBufferWaterMark(1, 2);

    private final PooledByteBufAllocator pool = new PooledByteBufAllocator(true, 0, 1, PAGE_BYTES,
            CHUNK_ORDER, CACHED_BUFFERS, CACHED_BUFFERS, false);
    private final RecvByteBufAllocator adaptive = new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES,
            INITIAL_READ_BYTES, MAX_READ_BYTES);
    private final long readAheadUntil;
    private final long shortAt;
    private final long fullAt;
    /** Whether memory was short when it was last measured, and reads since then. */
    private boolean wasShort;
    private int readsSinceMeasured;

    /** Uses the direct memory that the JVM allows. */
    public BufferMemory() {
        this(PlatformDependent.maxDirectMemory());
    }

    /**
     * Uses a given amount of direct memory.
     *
     * @param bytes what the JVM allows this memory
     */
    public BufferMemory(long bytes) {
        readAheadUntil = (long) (bytes * READ_AHEAD_SHARE);
        shortAt = (long) (bytes * SHORT_SHARE);
        fullAt = (long) (bytes * FULL_SHARE);
    }

    /** Returns the allocator of all buffers of the loop. */
    public ByteBufAllocator allocator() {
        return pool;
    }

    /** Returns the sizes of the buffers that sockets are read into: by what earlier reads filled. */
    public RecvByteBufAllocator readSizes() {
        return ReadHandle::new;
    }

    /** Returns how much of a stream may wait to be written at present. */
    public WriteBufferWaterMark streamWaterMark() {
        return wasShort ? WATER_MARK_WHEN_SHORT : STREAM_WATER_MARK;
    }

    /** Returns how much of a body may wait to be written to its receiver at present. */
    public WriteBufferWaterMark bodyWaterMark() {
        return held() < readAheadUntil ? READ_AHEAD_WATER_MARK : streamWaterMark();
    }

    @Override
    public boolean mayReadAhead(int held) {
        return held < MAX_READ_AHEAD_BYTES && held() < readAheadUntil;
    }

    @Override
    public boolean mayHold(int held, int more) {
        long limit = held + more <= SMALL_BODY_BYTES ? fullAt : shortAt;
        return held() + more <= limit;
    }

    /** Returns the bytes that live buffers hold, with what the pool rounds them up to. */
    public long held() {
        return pool.pinnedDirectMemory();
    }

    /** Returns the bytes that the pool has reserved for live buffers and later ones. */
    public long reserved() {
        return pool.metric().usedDirectMemory();
    }

    /** Returns the bytes held from which on memory is short. */
    public long shortAt() {
        return shortAt;
    }

    /** Sizes the reads of one connection. */
    private final class ReadHandle extends RecvByteBufAllocator.DelegatingHandle {

        ReadHandle() {
            super(adaptive.newHandle());
        }

        @Override
        public int guess() {
            if (++readsSinceMeasured >= READS_PER_MEASUREMENT) {
                readsSinceMeasured = 0;
                wasShort = held() >= shortAt;
            }
            return wasShort ? Math.min(MAX_READ_WHEN_SHORT_BYTES, super.guess()) : super.guess();
        }

        @Override
        public ByteBuf allocate(ByteBufAllocator allocator) {
            return allocator.ioBuffer(guess());
        }
    }
}
