package cranedeal.fleet.store;

import java.io.IOException;
import java.nio.ByteBuffer;

/** Reads the frames of one file in order, with a bounded buffer. */
final class FrameReader {

    private static final int CHUNK = 1 << 20;

    private final Disk disk;
    private final String name;
    private final int mostPayload;
    private final ByteBuffer buffer;
    /** The offset in the file of the buffer's first byte. */
    private long bufferAt;
    private boolean atEnd;

    /** Reads from an offset to the end of the file. */
    FrameReader(Disk disk, String name, long offset, int mostPayload) {
        this.disk = disk;
        this.name = name;
        this.mostPayload = mostPayload;
        // So that a frame of the largest size fits at any byte of a chunk.
        buffer = ByteBuffer.allocate(CHUNK + Frame.size(mostPayload)).limit(0);
        bufferAt = offset;
    }

    /** The file offset at which the next frame begins. */
    long offset() {
        return bufferAt + buffer.position();
    }

    /** The next frame; null if no intact frame is at the offset, whether or not the file ends there. */
    Frame next() throws IOException {
        Frame frame = Frame.take(buffer, mostPayload);
        if (frame == null && refill()) {
            frame = Frame.take(buffer, mostPayload);
        }
        return frame;
    }

    /** The next intact frame, skipping bytes that belong to none; null if none is left in the file. */
    Frame nextBehindDamage() throws IOException {
        while (true) {
            if (!atEnd && buffer.remaining() < Frame.size(mostPayload)) {
                refill();
            }
            if (buffer.remaining() < Frame.OVERHEAD) {
                return null;
            }
            Frame frame = Frame.take(buffer, mostPayload);
            if (frame != null) {
                return frame;
            }
            buffer.get();
        }
    }

    /** Drops the consumed bytes and reads more; returns false if the file has no more. */
    private boolean refill() throws IOException {
        bufferAt += buffer.position();
        buffer.compact();
        int had = buffer.position();
        disk.read(name, bufferAt + had, buffer);
        atEnd = buffer.hasRemaining();
        buffer.flip();
        return buffer.limit() > had;
    }
}
