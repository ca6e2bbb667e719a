package cranedeal.fleet.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;

/**
 * The format of a snapshot file: chunks as frames numbered from 1, and an end marker with the next number,
 * which shows that no chunk is missing.
 */
final class Snapshots {

    private static final int PIECE = 0;
    private static final int END = 1;

    private Snapshots() {
    }

    static Record piece(long number, byte[] payload) {
        return new Record(number, PIECE, payload);
    }

    static Record end(long number) {
        return new Record(number, END, new byte[0]);
    }

    /**
     * Passes on the chunks of a snapshot. Returns false if the snapshot is not intact; some chunks may have
     * been passed on by then.
     */
    static boolean pieces(Disk disk, String name, StoreLimits limits, Consumer<byte[]> to)
            throws IOException {
        String finished = name.endsWith(FileKind.UNFINISHED)
                ? name.substring(0, name.length() - FileKind.UNFINISHED.length()) : name;
        ByteBuffer head = ByteBuffer.allocate(FileKind.HEAD);
        disk.read(name, 0, head);
        if (!FileKind.SNAPSHOT.isHead(head.flip(), finished)) {
            return false;
        }
        FrameReader frames = new FrameReader(disk, name, FileKind.HEAD, limits.maxRecordBytes());
        long number = 1;
        for (Frame frame = frames.next(); frame != null; frame = frames.next()) {
            if (frame.record().sequence() != number) {
                return false;
            }
            if (frame.record().type() == END) {
                return frames.offset() == disk.size(name);
            }
            to.accept(frame.record().payload());
            number++;
        }
        return false;
    }
}
