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
     * @param lastSequence the highest sequence number
     * @param records how many records after the snapshot were read
     * @param recordBytes the size of these records in the journal
     * @param lastSegment the segment to append to; null if there is none
     * @param intactEnd the offset in bytes at which its intact records end
     * @param tornBytes the number of bytes after that, which an incomplete write left
     * @param unfinishedFiles files that were never finished and may be deleted
     * @param notes messages for the operator, a line each
     */
    record Result(long lastSequence, long records, long recordBytes, String lastSegment, long intactEnd,
            long tornBytes, List<String> unfinishedFiles, List<String> notes) { }

    /** Reads everything; throws {@link StoreDamagedException} if an acknowledged record can't be read. */
    Result read(ReplayHandler handler) throws IOException {
        List<String> unfinished = new ArrayList<>();
        List<String> notes = new ArrayList<>();
        for (String name : disk.fileNames()) {
            if (name.endsWith(FileKind.UNFINISHED_SUFFIX)) {
                unfinished.add(name);
            }
        }
        List<String> snapshots = files(FileKind.SNAPSHOT);
        String newestIntact = null;
        for (int i = snapshots.size() - 1; i >= 0 && newestIntact == null; i--) {
            String name = snapshots.get(i);
            if (isIntact(name)) {
                newestIntact = name;
            } else {
                notes.add(name + " is damaged and was skipped");
            }
        }
        if (newestIntact == null && !snapshots.isEmpty()) {
            throw new StoreDamagedException(snapshots.get(snapshots.size() - 1), 0, "no snapshot is intact");
        }
        long lastIncluded = newestIntact == null ? 0 : FileKind.SNAPSHOT.number(newestIntact);
        if (newestIntact != null) {
            Snapshots.readChunks(disk, newestIntact, limits, handler::snapshotChunk);
        }
        return readSegments(handler, lastIncluded, unfinished, notes);
    }

    /** The finished files of a kind, ordered by number. */
    List<String> files(FileKind kind) throws IOException {
        return disk.fileNames().stream().filter(kind::matches)
                .sorted(Comparator.comparing(kind::number, Long::compareUnsigned)).toList();
    }

    private boolean isIntact(String snapshot) throws IOException {
        return Snapshots.readChunks(disk, snapshot, limits, chunk -> { });
    }

    private Result readSegments(ReplayHandler handler, long lastIncluded, List<String> unfinished,
            List<String> notes) throws IOException {
        List<String> segments = new ArrayList<>(files(FileKind.JOURNAL));
        segments.removeAll(obsoleteSegments(segments, lastIncluded));
        long lastSequence = lastIncluded;
        long records = 0;
        long recordBytes = 0;
        String lastSegment = null;
        long intactEnd = 0;
        long tornBytes = 0;
        for (int i = 0; i < segments.size(); i++) {
            String name = segments.get(i);
            boolean isLast = i == segments.size() - 1;
            long first = FileKind.JOURNAL.number(name);
            if (!hasValidHeader(name)) {
                requireUnacknowledged(name, 0, first, isLast);
                // It was created, but nothing was written to it.
                unfinished.add(name);
                notes.add(name + " was created but never used");
                break;
            }
            if (first > lastSequence + 1) {
                throw new StoreDamagedException(name, 0, "record " + (lastSequence + 1)
                        + " and those up to " + (first - 1) + " are missing");
            }
            long expected = first;
            FrameReader frames = new FrameReader(disk, name, FileKind.HEADER_BYTES, limits.maxRecordBytes());
            intactEnd = FileKind.HEADER_BYTES;
            for (Frame frame = frames.next(); frame != null; frame = frames.next()) {
                if (frame.record().sequence() != expected) {
                    throw new StoreDamagedException(name, intactEnd, "record " + expected
                            + " is expected, but "
                            + frame.record().sequence() + " was found");
                }
                // Records that the snapshot or an earlier segment holds were replayed already.
                if (expected > lastSequence) {
                    handler.record(frame.record());
                    lastSequence = expected;
                    records++;
                    recordBytes += frames.offset() - intactEnd;
                }
                expected++;
                intactEnd = frames.offset();
            }
            lastSegment = name;
            tornBytes = disk.size(name) - intactEnd;
            if (tornBytes > 0) {
                requireUnacknowledged(name, intactEnd, expected, isLast);
                notes.add(name + " was truncated at byte " + intactEnd + "; the " + tornBytes
                        + " bytes after it were never acknowledged");
            }
        }
        return new Result(lastSequence, records, recordBytes, lastSegment, intactEnd, tornBytes, unfinished,
                notes);
    }

    /** Throws if the record that is missing at an offset was acknowledged. */
    private void requireUnacknowledged(String name, long offset, long missing, boolean isLast)
            throws IOException {
        boolean acknowledged = !isLast;
        FrameReader frames = new FrameReader(disk, name, offset, limits.maxRecordBytes());
        for (Frame frame = frames.nextAfterDamage(); frame != null && !acknowledged;
                frame = frames.nextAfterDamage()) {
            acknowledged = frame.forcedSequence() >= missing;
        }
        if (acknowledged) {
            throw new StoreDamagedException(name, offset, "record " + missing
                    + " was acknowledged but is not intact");
        }
    }

    private boolean hasValidHeader(String segment) throws IOException {
        ByteBuffer header = ByteBuffer.allocate(FileKind.HEADER_BYTES);
        disk.read(segment, 0, header);
        return FileKind.JOURNAL.isValidHeader(header.flip(), segment);
    }

    /** Of all segments in order, those whose records are all included in the snapshot. */
    static List<String> obsoleteSegments(List<String> segments, long lastIncluded) {
        // A segment is obsolete if the next one begins at or before the first record that is not included.
        int count = 0;
        while (count + 1 < segments.size()
                && FileKind.JOURNAL.number(segments.get(count + 1)) <= lastIncluded + 1) {
            count++;
        }
        return List.copyOf(segments.subList(0, count));
    }
}
