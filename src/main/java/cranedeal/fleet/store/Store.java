package cranedeal.fleet.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * A journal with snapshots in one folder. Not thread-safe; {@link GroupCommit} shares a store and its forces
 * among threads.
 *
 * <p>{@link #append} only collects records in a batch; they are on disk once {@link #force} has returned. If
 * a write fails, as on a full disk, the batch is dropped and the store can be used further. If a force fails,
 * it is unknown what is on the disk: appends, forces and snapshots fail from then on, and the store must be
 * opened anew (Rebello et al., Can Applications Recover from fsync Failures?, 2020).
 */
public final class Store implements Closeable {

    /** The number of snapshots that are kept. */
    private static final int SNAPSHOTS_KEPT = 2;
    /** The longest force time that the histogram records, in microseconds. */
    private static final long MAX_FORCE_US = 600_000_000;
    /**
     * A snapshot is due when the records since the last one reach this share of the state's size. Records of
     * up to twice this share are kept beside two snapshots, which leaves room for the frames' overhead within
     * the bound of three times the state.
     */
    private static final double SNAPSHOT_DUE_SHARE = 0.4;
    /** No snapshot is due while the records since the last one take fewer bytes. */
    private static final long MIN_SNAPSHOT_DUE_BYTES = 1 << 16;

    private final Disk disk;
    private final StoreLimits limits;
    private final Closeable lock;
    private final Recovery recovery;
    private final Recovery.Result recovered;
    private final long recoveryNanos;
    private final Histogram forceMicros = new Histogram(MAX_FORCE_US, 2);
    private ByteBuffer batch = ByteBuffer.allocate(1 << 16);
    private Disk.Output segment;
    private String segmentName;
    private long segmentSize;
    private long lastSequence;
    private long forcedSequence;
    private long bytesWritten;
    /** The size of the records after the newest snapshot, in bytes. */
    private long bytesSinceSnapshot;
    /** True if the next write begins a segment, so that the one before it can be deleted as a whole. */
    private boolean beginSegmentNext;
    private boolean writingSnapshot;
    /** The failure after which the store can't be used any more; null if there was none. */
    private StoreException fatalFailure;

    private Store(Disk disk, StoreLimits limits, Closeable lock, Recovery recovery, Recovery.Result recovered,
            long nanos) {
        this.disk = disk;
        this.limits = limits;
        this.lock = lock;
        this.recovery = recovery;
        this.recovered = recovered;
        recoveryNanos = nanos;
        lastSequence = recovered.lastSequence();
        bytesSinceSnapshot = recovered.recordBytes();
        beginSegmentNext = bytesSinceSnapshot == 0;
    }

    /**
     * Opens a folder's store and replays its contents. The rest of an incomplete last write is cut off, which
     * {@link Stats#notes()} reports. Throws {@link StoreInUseException} if another process has the folder,
     * {@link StoreDamagedException} if acknowledged records can't be read, and {@link StoreException} if a
     * later version of the program wrote it.
     */
    public static Store open(Disk disk, StoreLimits limits, ReplayHandler handler) throws IOException {
        Closeable lock = disk.tryLock(false);
        if (lock == null) {
            throw new StoreInUseException(disk);
        }
        boolean open = false;
        try {
            long start = System.nanoTime();
            Recovery recovery = new Recovery(disk, limits);
            Recovery.Result found = recovery.read(handler);
            Store store = new Store(disk, limits, lock, recovery, found, System.nanoTime() - start);
            store.prepareToAppend();
            open = true;
            return store;
        } finally {
            if (!open) {
                lock.close();
            }
        }
    }

    /** Cuts off an incomplete write, and forces what was read: it may have been written but never forced. */
    private void prepareToAppend() throws IOException {
        if (recovered.lastSegment() != null) {
            segmentName = recovered.lastSegment();
            segment = disk.append(segmentName);
            if (recovered.tornBytes() > 0) {
                segment.truncate(recovered.intactEnd());
            }
            segment.force();
            segmentSize = recovered.intactEnd();
        }
        for (String unfinished : recovered.unfinishedFiles()) {
            disk.delete(unfinished);
        }
        disk.forceDirectory();
        forcedSequence = lastSequence;
    }

    /** Counters since the store was opened, and the result of its recovery. */
    public record Stats(long last, long forced, long bytes, long forces, double forceP50Ms,
            double forceP99Ms, long recovered, double recoveryMs, long cut, List<String> notes) { }

    /** The current counters. */
    public Stats stats() {
        return new Stats(lastSequence, forcedSequence, bytesWritten, forceMicros.getTotalCount(),
                forceMicros.getValueAtPercentile(50) / 1e3, forceMicros.getValueAtPercentile(99) / 1e3,
                recovered.records(), recoveryNanos / 1e6, recovered.tornBytes(), recovered.notes());
    }

    /** The highest sequence number, forced or not. */
    public long lastSequence() {
        return lastSequence;
    }

    /** The sequence number up to which all records are on disk. */
    public long forcedSequence() {
        return forcedSequence;
    }

    /**
     * Adds a record to the batch and returns its sequence number. Throws {@link IllegalArgumentException} if
     * the record exceeds the limits, and {@link StoreException} if the batch has no room and must be forced
     * first.
     */
    public long append(int type, byte[] payload) throws IOException {
        requireUsable();
        if (payload.length > limits.maxRecordBytes() || type < 0) {
            throw new IllegalArgumentException("a record of type " + type + " with " + payload.length
                    + " bytes is not allowed");
        }
        int size = Frame.size(payload.length);
        if (batch.position() + size > limits.maxBatchBytes()) {
            throw new StoreException("more than " + limits.maxBatchBytes()
                    + " bytes wait to be written; force them first");
        }
        if (batch.remaining() < size) {
            int capacity = Math.min(limits.maxBatchBytes(), Math.max(2 * batch.capacity(), batch.position()
                    + size));
            batch = ByteBuffer.allocate(capacity).put(batch.flip());
        }
        lastSequence++;
        Frame.encode(new Record(lastSequence, type, payload), forcedSequence, batch);
        return lastSequence;
    }

    /** Returns true if a payload of this size can be appended before the next force. */
    public boolean fitsInBatch(int payload) {
        return batch.position() + Frame.size(payload) <= limits.maxBatchBytes();
    }

    /**
     * Writes and forces all that was appended. If this throws, none of it is guaranteed to be on disk.
     */
    public void force() throws IOException {
        requireUsable();
        if (batch.position() == 0) {
            return;
        }
        writeBatch();
        long start = System.nanoTime();
        try {
            segment.force();
        } catch (IOException e) {
            throw becomeUnusable("cannot force " + segmentName, e);
        }
        forceMicros.recordValue(Math.min((System.nanoTime() - start) / 1_000, MAX_FORCE_US));
        forcedSequence = lastSequence;
    }

    private void writeBatch() throws IOException {
        int size = batch.position();
        try {
            if (segment == null || segmentSize >= limits.segmentBytes()
                    || beginSegmentNext && segmentSize > FileKind.HEADER_BYTES) {
                beginSegment();
            }
            beginSegmentNext = false;
            segment.write(batch.flip());
        } catch (IOException e) {
            lastSequence = forcedSequence;
            batch.clear();
            if (fatalFailure == null) {
                undoFailedWrite(e);
            }
            throw e;
        }
        batch.clear();
        segmentSize += size;
        bytesSinceSnapshot += size;
        bytesWritten += size;
    }

    /** Removes what an incomplete write has left. */
    private void undoFailedWrite(IOException cause) throws IOException {
        if (segment != null) {
            try {
                segment.truncate(segmentSize);
                // Without the force, dropped records could reappear after a power loss, between others.
                segment.force();
            } catch (IOException e) {
                e.addSuppressed(cause);
                throw becomeUnusable("cannot truncate " + segmentName + " after a failed write", e);
            }
        }
    }

    /** Begins a new segment. Everything in the one before has been forced by then. */
    private void beginSegment() throws IOException {
        String name = FileKind.JOURNAL.name(forcedSequence + 1);
        if (disk.fileNames().contains(name)) {
            // Left by an earlier attempt that failed.
            disk.delete(name);
        }
        Disk.Output newSegment = disk.create(name);
        boolean begun = false;
        try {
            newSegment.write(FileKind.JOURNAL.header(forcedSequence + 1));
            try {
                newSegment.force();
                disk.forceDirectory();
            } catch (IOException e) {
                throw becomeUnusable("cannot force " + name, e);
            }
            begun = true;
        } finally {
            if (!begun) {
                newSegment.close();
            }
        }
        if (segment != null) {
            segment.close();
        }
        segment = newSegment;
        segmentName = name;
        segmentSize = FileKind.HEADER_BYTES;
        bytesWritten += FileKind.HEADER_BYTES;
    }

    /**
     * Returns true if enough records have been written since the last snapshot to write another one of a
     * state of this size. If a snapshot is written whenever one is due, the two snapshots and the records
     * that are kept take less than three times the state's size, or some 130 kB more than twice its size if
     * it is small.
     */
    public boolean isSnapshotDue(long stateBytes) {
        return bytesSinceSnapshot >= Math.max(MIN_SNAPSHOT_DUE_BYTES,
                (long) (SNAPSHOT_DUE_SHARE * stateBytes));
    }

    /**
     * Begins a snapshot of the state after all forced records. Records may be appended while it is written.
     * Only one snapshot can be written at a time.
     */
    public Snapshot snapshot() throws IOException {
        requireUsable();
        if (writingSnapshot) {
            throw new StoreException("another snapshot is being written");
        }
        if (forcedSequence == 0) {
            throw new StoreException("no record is on disk, so there is no state to snapshot");
        }
        return new Snapshot(forcedSequence);
    }

    /** A snapshot that is being written. It is deleted if closed without {@link #commit}. */
    public final class Snapshot implements Closeable {

        private final long lastIncludedSequence;
        private final String name;
        private final Disk.Output out;
        private final long bytesBefore = bytesSinceSnapshot;
        private long chunks;
        private boolean finished;

        private Snapshot(long lastIncluded) throws IOException {
            this.lastIncludedSequence = lastIncluded;
            name = FileKind.SNAPSHOT.name(lastIncluded);
            String unfinished = name + FileKind.UNFINISHED_SUFFIX;
            if (disk.fileNames().contains(unfinished)) {
                disk.delete(unfinished);
            }
            out = disk.create(unfinished);
            writingSnapshot = true;
            boolean begun = false;
            try {
                out.write(FileKind.SNAPSHOT.header(lastIncluded));
                begun = true;
            } finally {
                if (!begun) {
                    close();
                }
            }
        }

        /** The sequence number of the last record that is included. */
        public long lastIncludedSequence() {
            return lastIncludedSequence;
        }

        /** Writes a chunk of the state, in a format of the owner's choice. */
        public void write(byte[] chunk) throws IOException {
            if (chunk.length > limits.maxRecordBytes()) {
                throw new IllegalArgumentException("a chunk of " + chunk.length + " bytes is too large");
            }
            chunks++;
            writeFrame(Snapshots.chunk(chunks, chunk));
        }

        private void writeFrame(Record record) throws IOException {
            ByteBuffer frame = ByteBuffer.allocate(Frame.size(record.payload().length));
            Frame.encode(record, 0, frame);
            out.write(frame.flip());
        }

        /** Reads the snapshot back, puts it in place if it is intact, and deletes obsolete files. */
        public void commit() throws IOException {
            requireUsable();
            writeFrame(Snapshots.endMarker(chunks + 1));
            out.force();
            out.close();
            String unfinished = name + FileKind.UNFINISHED_SUFFIX;
            if (!Snapshots.readChunks(disk, unfinished, limits, chunk -> { })) {
                throw new StoreException(unfinished + " is not intact when read back");
            }
            disk.rename(unfinished, name);
            try {
                disk.forceDirectory();
            } catch (IOException e) {
                throw becomeUnusable("cannot force the name of " + name, e);
            }
            finished = true;
            writingSnapshot = false;
            bytesSinceSnapshot -= bytesBefore;
            beginSegmentNext = true;
            deleteObsoleteFiles();
        }

        /** Deletes the snapshot unless it was committed. */
        @Override
        public void close() throws IOException {
            if (!finished) {
                finished = true;
                writingSnapshot = false;
                out.close();
                disk.delete(name + FileKind.UNFINISHED_SUFFIX);
            }
        }
    }

    /** Deletes all snapshots but the newest two, and the segments that the older of these includes. */
    private void deleteObsoleteFiles() throws IOException {
        List<String> snapshots = new ArrayList<>(recovery.files(FileKind.SNAPSHOT));
        while (snapshots.size() > SNAPSHOTS_KEPT) {
            disk.delete(snapshots.remove(0));
        }
        if (snapshots.size() < SNAPSHOTS_KEPT) {
            return;
        }
        long lastIncluded = FileKind.SNAPSHOT.number(snapshots.get(0));
        // The directory entries of both snapshots are forced, so any of these deletions may be lost or kept.
        for (String name : Recovery.obsoleteSegments(recovery.files(FileKind.JOURNAL), lastIncluded)) {
            disk.delete(name);
        }
        disk.forceDirectory();
    }

    private void requireUsable() throws StoreException {
        if (fatalFailure != null) {
            throw new StoreException("the store can't be used: " + fatalFailure.getMessage(), fatalFailure);
        }
    }

    private StoreException becomeUnusable(String action, IOException cause) {
        fatalFailure = new StoreException(action + ": " + cause.getMessage()
                + "; the state on disk is unknown, so the store has to be opened anew", cause);
        return fatalFailure;
    }

    /** Closes the store. Records that were appended but not forced are dropped. */
    @Override
    public void close() throws IOException {
        try {
            if (segment != null) {
                segment.close();
            }
        } finally {
            lock.close();
        }
    }
}
