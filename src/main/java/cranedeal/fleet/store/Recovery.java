package cranedeal.fleet.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Reads what a folder holds and changes nothing: the newest snapshot that is whole, and the records behind
 * it. A tear at the end of the last segment is told apart from damage by the records behind it: if one of
 * them says that the missing one was forced, that was acknowledged, and the store must not be used.
 */
final class Recovery {

    private final Disk disk;
    private final StoreLimits limits;

    Recovery(Disk disk, StoreLimits limits) {
        this.disk = disk;
        this.limits = limits;
    }

    /**
     * What was found.
     *
     * @param last the highest sequence number of all
     * @param records how many records behind the snapshot were read
     * @param bytes what these take up
     * @param segment the segment to write on; null if there is none
     * @param end where its whole records end, in bytes
     * @param torn how many bytes lie behind that
     * @param unfinished files that were never finished, and may be deleted
     * @param notes what somebody should know, a line each
     */
    record Found(long last, long records, long bytes, String segment, long end, long torn,
            List<String> unfinished, List<String> notes) { }

    /** Reads all; throws {@link StoreDamagedException} for acknowledged records that can't be read. */
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
                notes.add(name + " is damaged and was left out");
            }
        }
        if (used == null && !snapshots.isEmpty()) {
            throw new StoreDamagedException(snapshots.get(snapshots.size() - 1), 0, "no snapshot is whole");
        }
        long covered = used == null ? 0 : FileKind.SNAPSHOT.number(used);
        if (used != null) {
            Snapshots.pieces(disk, used, limits, reader::snapshotChunk);
        }
        return segments(reader, covered, unfinished, notes);
    }

    /** The finished files of a kind, by their numbers. */
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
                // It was made but never used.
                unfinished.add(name);
                notes.add(name + " was never begun");
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
                    throw new StoreDamagedException(name, end, "record " + expected + " is wanted, and "
                            + frame.record().sequence() + " is there");
                }
                // What a snapshot or an earlier segment holds was told already.
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
                notes.add(name + " was cut at byte " + end + ", " + torn
                        + " bytes behind it were never acknowledged");
            }
        }
        return new Found(last, records, bytes, current, end, torn, unfinished, notes);
    }

    /** Throws unless what is not whole at a place can only be what was never acknowledged. */
    private void mayBeTorn(String name, long offset, long missing, boolean isLast) throws IOException {
        boolean acknowledged = !isLast;
        FrameReader frames = new FrameReader(disk, name, offset, limits.maxRecordBytes());
        for (Frame frame = frames.nextBehindDamage(); frame != null && !acknowledged;
                frame = frames.nextBehindDamage()) {
            acknowledged = frame.forced() >= missing;
        }
        if (acknowledged) {
            throw new StoreDamagedException(name, offset, "record " + missing
                    + " was acknowledged and is not whole");
        }
    }

    private boolean hasHead(String segment) throws IOException {
        ByteBuffer head = ByteBuffer.allocate(FileKind.HEAD);
        disk.read(segment, 0, head);
        return FileKind.JOURNAL.isHead(head.flip(), segment);
    }

    /** The segments that hold nothing but what a snapshot covers, of all in their order. */
    static List<String> unneeded(List<String> segments, long covered) {
        // A segment is needed unless the next one begins at or before the first record that is not covered.
        int count = 0;
        while (count + 1 < segments.size()
                && FileKind.JOURNAL.number(segments.get(count + 1)) <= covered + 1) {
            count++;
        }
        return List.copyOf(segments.subList(0, count));
    }
}
