package cranedeal.fleet.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Reads a folder without changing it: the newest intact snapshot, and the records after it. A gap at the end
 * of the last segment is an incomplete write, or damage. The frames after the gap tell these apart: if one of
 * them says that the missing record was forced, the record was acknowledged, and the store must not be used.
 */
final class Recovery {

    private final Disk disk;
    private final StoreLimits limits;

    Recovery(Disk disk, StoreLimits limits) {
        this.disk = disk;
        this.limits = limits;
    }

    /**
     * The result of a recovery.
     *
     * @param last the highest sequence number
     * @param records how many records after the snapshot were read
     * @param bytes the size of these records in the journal
     * @param segment the segment to append to; null if there is none
     * @param end the offset in bytes at which its intact records end
     * @param torn the number of bytes after that, which an incomplete write left
     * @param unfinished files that were never finished and may be deleted
     * @param notes messages for the operator, a line each
     */
    record Found(long last, long records, long bytes, String segment, long end, long torn,
            List<String> unfinished, List<String> notes) { }

    /** Reads everything; throws {@link StoreDamagedException} if an acknowledged record can't be read. */
    Found read(ReplayHandler reader) throws IOException {
        List<String> unfinished = new ArrayList<>();
        List<String> notes = new ArrayList<>();
        for (String name : disk.fileNames()) {
            if (name.endsWith(FileKind.UNFINISHED)) {
                unfinished.add(name);
            }
        }
        List<String> snapshots = files(FileKind.SNAPSHOT);
        String used = null;
        for (int i = snapshots.size() - 1; i >= 0 && used == null; i--) {
            String name = snapshots.get(i);
            if (isWhole(name)) {
                used = name;
            } else {
                notes.add(name + " is damaged and was skipped");
            }
        }
        if (used == null && !snapshots.isEmpty()) {
            throw new StoreDamagedException(snapshots.get(snapshots.size() - 1), 0, "no snapshot is intact");
        }
        long covered = used == null ? 0 : FileKind.SNAPSHOT.number(used);
        if (used != null) {
            Snapshots.pieces(disk, used, limits, reader::snapshotChunk);
        }
        return segments(reader, covered, unfinished, notes);
    }

    /** The finished files of a kind, ordered by number. */
    List<String> files(FileKind kind) throws IOException {
        return disk.fileNames().stream().filter(kind::has)
                .sorted(Comparator.comparing(kind::number, Long::compareUnsigned)).toList();
    }

    private boolean isWhole(String snapshot) throws IOException {
        return Snapshots.pieces(disk, snapshot, limits, piece -> { });
    }

    private Found segments(ReplayHandler reader, long covered, List<String> unfinished, List<String> notes)
            throws IOException {
        List<String> segments = new ArrayList<>(files(FileKind.JOURNAL));
        segments.removeAll(unneeded(segments, covered));
        long last = covered;
        long records = 0;
        long bytes = 0;
        String current = null;
        long end = 0;
        long torn = 0;
        for (int i = 0; i < segments.size(); i++) {
            String name = segments.get(i);
            boolean isLast = i == segments.size() - 1;
            long first = FileKind.JOURNAL.number(name);
            if (!hasHead(name)) {
                mayBeTorn(name, 0, first, isLast);
                // It was created, but nothing was written to it.
                unfinished.add(name);
                notes.add(name + " was created but never used");
                break;
            }
            if (first > last + 1) {
                throw new StoreDamagedException(name, 0, "record " + (last + 1) + " and those up to "
                        + (first - 1)
                        + " are missing");
            }
            long expected = first;
            FrameReader frames = new FrameReader(disk, name, FileKind.HEAD, limits.maxRecordBytes());
            end = FileKind.HEAD;
            for (Frame frame = frames.next(); frame != null; frame = frames.next()) {
                if (frame.record().sequence() != expected) {
                    throw new StoreDamagedException(name, end, "record " + expected + " is expected, but "
                            + frame.record().sequence() + " was found");
                }
                // Records that the snapshot or an earlier segment holds were replayed already.
                if (expected > last) {
                    reader.record(frame.record());
                    last = expected;
                    records++;
                    bytes += frames.offset() - end;
                }
                expected++;
                end = frames.offset();
            }
            current = name;
            torn = disk.size(name) - end;
            if (torn > 0) {
                mayBeTorn(name, end, expected, isLast);
                notes.add(name + " was truncated at byte " + end + "; the " + torn
                        + " bytes after it were never acknowledged");
            }
        }
        return new Found(last, records, bytes, current, end, torn, unfinished, notes);
    }

    /** Throws if the record that is missing at an offset was acknowledged. */
    private void mayBeTorn(String name, long offset, long missing, boolean isLast) throws IOException {
        boolean acknowledged = !isLast;
        FrameReader frames = new FrameReader(disk, name, offset, limits.maxRecordBytes());
        for (Frame frame = frames.nextBehindDamage(); frame != null && !acknowledged;
                frame = frames.nextBehindDamage()) {
            acknowledged = frame.forced() >= missing;
        }
        if (acknowledged) {
            throw new StoreDamagedException(name, offset, "record " + missing
                    + " was acknowledged but is not intact");
        }
    }

    private boolean hasHead(String segment) throws IOException {
        ByteBuffer head = ByteBuffer.allocate(FileKind.HEAD);
        disk.read(segment, 0, head);
        return FileKind.JOURNAL.isHead(head.flip(), segment);
    }

    /** Of all segments in order, those whose records are all included in the snapshot. */
    static List<String> unneeded(List<String> segments, long covered) {
        // A segment is obsolete if the next one begins at or before the first record that is not included.
        int count = 0;
        while (count + 1 < segments.size()
                && FileKind.JOURNAL.number(segments.get(count + 1)) <= covered + 1) {
            count++;
        }
        return List.copyOf(segments.subList(0, count));
    }
}
