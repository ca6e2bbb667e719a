package cranedeal.fleet.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;

/**
 * The format of a snapshot file: chunks as frames numbered from 1, and an end marker with the next number,
 * which shows that no chunk is missing.
 */
final class Snapshots {

    private static final int CHUNK = 0;
    private static final int END_MARKER = 1;

    private Snapshots() {
    }

    static Record chunk(long number, byte[] payload) {
        return new Record(number, CHUNK, payload);
    }

    static Record endMarker(long number) {
        return new Record(number, END_MARKER, new byte[0]);
    }

    /**
     * Passes on the chunks of a snapshot. Returns false if the snapshot is not intact; some chunks may have
     * been passed on by then.
     */
    static boolean readChunks(Disk disk, String name, StoreLimits limits, Consumer<byte[]> consumer)
            throws IOException {
        String finished = name.endsWith(FileKind.UNFINISHED_SUFFIX)
                ? name.substring(0, name.length() - FileKind.UNFINISHED_SUFFIX.length()) : name;
        ByteBuffer header = ByteBuffer.allocate(FileKind.HEADER_BYTES);
        disk.read(name, 0, header);
        if (!FileKind.SNAPSHOT.isValidHeader(header.flip(), finished)) {
            return false;
        }
        FrameReader frames = new FrameReader(disk, name, FileKind.HEADER_BYTES, limits.maxRecordBytes());
        long number = 1;
        for (Frame frame = frames.next(); frame != null; frame = frames.next()) {
            if (frame.record().sequence() != number) {
                return false;
            }
            if (frame.record().type() == END_MARKER) {
                return frames.offset() == disk.size(name);
            }
            consumer.accept(frame.record().payload());
            number++;
        }
        return false;
    }
}
