package cranedeal.fleet.store;

import java.io.IOException;
import java.nio.ByteBuffer;

/** Reads the frames of one file in order, with a bounded buffer. */
final class FrameReader {

    private static final int READ_BYTES = 1 << 20;

    private final Disk disk;
    private final String name;
    private final int maxPayload;
    private final ByteBuffer buffer;
    /** The offset in the file of the buffer's first byte. */
    private long bufferOffset;
    private boolean endOfFile;

    /** Reads from an offset to the end of the file. */
    FrameReader(Disk disk, String name, long offset, int maxPayload) {
        this.disk = disk;
        this.name = name;
        this.maxPayload = maxPayload;
        // So that a frame of the largest size fits at any byte of a chunk.
        buffer = ByteBuffer.allocate(READ_BYTES + Frame.size(maxPayload)).limit(0);
        bufferOffset = offset;
    }

    /** The file offset at which the next frame begins. */
    long offset() {
        return bufferOffset + buffer.position();
    }

    /** The next frame; null if no intact frame is at the offset, whether or not the file ends there. */
    Frame next() throws IOException {
        Frame frame = Frame.decode(buffer, maxPayload);
        if (frame == null && refill()) {
            frame = Frame.decode(buffer, maxPayload);
        }
        return frame;
    }

    /** The next intact frame, skipping bytes that belong to none; null if none is left in the file. */
    Frame nextAfterDamage() throws IOException {
        while (true) {
            if (!endOfFile && buffer.remaining() < Frame.size(maxPayload)) {
                refill();
            }
            if (buffer.remaining() < Frame.OVERHEAD_BYTES) {
                return null;
            }
            Frame frame = Frame.decode(buffer, maxPayload);
            if (frame != null) {
                return frame;
            }
            buffer.get();
        }
    }

    /** Drops the consumed bytes and reads more; returns false if the file has no more. */
    private boolean refill() throws IOException {
        bufferOffset += buffer.position();
        buffer.compact();
        int buffered = buffer.position();
        disk.read(name, bufferOffset + buffered, buffer);
        endOfFile = buffer.hasRemaining();
        buffer.flip();
        return buffer.limit() > buffered;
    }
}
