package cranedeal.fleet.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * A journal with snapshots in one folder. Belongs to one thread; to share its forces among many, see {@link
 * GroupCommit}.
 *
 * <p>{@link #append} only collects; what was appended is kept once {@link #force} has returned. If writing
 * fails, as on a full disk, what was collected is dropped, and the store goes on from where it was. If
 * forcing fails, nobody knows what is on the disk: the store says so from then on and does nothing more
 * (Rebello et al., Can Applications Recover from fsync Failures?, 2020).
 */
public final class Store implements Closeable {

    /** How many snapshots are kept. */
    private static final int GENERATIONS = 2;
    private static final long HIGHEST_US = 600_000_000;
    /**
     * Share of the state's size from which on records are reason for a snapshot. Twice that is kept beside
     * two snapshots, which leaves some for frames where three times the state is the most.
     */
    private static final double BEHIND = 0.4;
    /** Records of fewer bytes are no reason for a snapshot. */
    private static final long LEAST_BEHIND = 1 << 16;

    private final Disk disk;
    private final StoreLimits limits;
    private final Closeable lock;
    private final Recovery recovery;
    private final Recovery.Found found;
    private final long recoveryNanos;
    private final Histogram forceMicros = new Histogram(HIGHEST_US, 2);
    private ByteBuffer batch = ByteBuffer.allocate(1 << 16);
    private Disk.Output segment;
    private String segmentName;
    private long segmentSize;
    private long last;
    private long forced;
    private long bytes;
    /** What the records behind the newest snapshot take up, in bytes. */
    private long behind;
    /** Whether the next write begins a segment, so that the one before can go as a whole. */
    private boolean rollNext;
    private boolean writingSnapshot;
    private StoreException poison;

    private Store(Disk disk, StoreLimits limits, Closeable lock, Recovery recovery, Recovery.Found found,
            long nanos) {
        this.disk = disk;
        this.limits = limits;
        this.lock = lock;
        this.recovery = recovery;
        this.found = found;
        recoveryNanos = nanos;
        last = found.last();
        behind = found.bytes();
        rollNext = behind == 0;
    }

    /**
     * Opens a folder's store, and tells what it holds. A tear is cut off; {@link Stats#notes()} says so.
     * Throws {@link StoreInUseException} if another process has the folder, {@link StoreDamagedException} if
     * what was
     * acknowledged can't be read, and {@link StoreException} if a later version wrote it.
     */
    public static Store open(Disk disk, StoreLimits limits, ReplayHandler reader) throws IOException {
        Closeable lock = disk.tryLock(false);
        if (lock == null) {
            throw new StoreInUseException(disk);
        }
        boolean open = false;
        try {
            long start = System.nanoTime();
            Recovery recovery = new Recovery(disk, limits);
            Recovery.Found found = recovery.read(reader);
            Store store = new Store(disk, limits, lock, recovery, found, System.nanoTime() - start);
            store.begin();
            open = true;
            return store;
        } finally {
            if (!open) {
                lock.close();
            }
        }
    }

    /** Cuts what is torn, and has all that was read forced: it may have been written and never forced. */
    private void begin() throws IOException {
        if (found.segment() != null) {
            segmentName = found.segment();
            segment = disk.append(segmentName);
            if (found.torn() > 0) {
                segment.truncate(found.end());
            }
            segment.force();
            segmentSize = found.end();
        }
        for (String unfinished : found.unfinished()) {
            disk.delete(unfinished);
        }
        disk.forceDirectory();
        forced = last;
    }

    /** What a store has done since it was opened, and what it found then. */
    public record Stats(long last, long forced, long bytes, long forces, double forceP50Ms,
            double forceP99Ms, long recovered, double recoveryMs, long cut, List<String> notes) { }

    /** The figures. */
    public Stats stats() {
        return new Stats(last, forced, bytes, forceMicros.getTotalCount(),
                forceMicros.getValueAtPercentile(50) / 1e3, forceMicros.getValueAtPercentile(99) / 1e3,
                found.records(), recoveryNanos / 1e6, found.torn(), found.notes());
    }

    /** The highest sequence number, forced or not. */
    public long lastSequence() {
        return last;
    }

    /** Up to which sequence number all is kept. */
    public long forcedSequence() {
        return forced;
    }

    /**
     * Collects a record, and returns its sequence number. Throws {@link IllegalArgumentException} for one
     * that is larger than the limits say, and {@link StoreException} if what is collected has to be forced
     * first.
     */
    public long append(int type, byte[] payload) throws IOException {
        usable();
        if (payload.length > limits.maxRecordBytes() || type < 0) {
            throw new IllegalArgumentException("no record of type " + type + " with " + payload.length
                    + " bytes");
        }
        int size = Frame.size(payload.length);
        if (batch.position() + size > limits.maxBatchBytes()) {
            throw new StoreException("more than " + limits.maxBatchBytes()
                    + " bytes are collected; force them");
        }
        if (batch.remaining() < size) {
            int larger = Math.min(limits.maxBatchBytes(), Math.max(2 * batch.capacity(), batch.position()
                    + size));
            batch = ByteBuffer.allocate(larger).put(batch.flip());
        }
        last++;
        Frame.put(new Record(last, type, payload), forced, batch);
        return last;
    }

    /** Whether a record of a size can be appended before the next force. */
    public boolean fitsInBatch(int payload) {
        return batch.position() + Frame.size(payload) <= limits.maxBatchBytes();
    }

    /**
     * Keeps all that was appended. If this throws, nothing of it is kept for sure.
     */
    public void force() throws IOException {
        usable();
        if (batch.position() == 0) {
            return;
        }
        write();
        long start = System.nanoTime();
        try {
            segment.force();
        } catch (IOException e) {
            throw poisoned("cannot force " + segmentName, e);
        }
        forceMicros.recordValue(Math.min((System.nanoTime() - start) / 1_000, HIGHEST_US));
        forced = last;
    }

    private void write() throws IOException {
        int size = batch.position();
        try {
            if (segment == null || segmentSize >= limits.segmentBytes()
                    || rollNext && segmentSize > FileKind.HEAD) {
                roll();
            }
            rollNext = false;
            segment.write(batch.flip());
        } catch (IOException e) {
            last = forced;
            batch.clear();
            if (poison == null) {
                cutBack(e);
            }
            throw e;
        }
        batch.clear();
        segmentSize += size;
        behind += size;
        bytes += size;
    }

    /** Takes back a write that did not come to its end. */
    private void cutBack(IOException cause) throws IOException {
        if (segment != null) {
            try {
                segment.truncate(segmentSize);
                // Or what was dropped might be back after a power loss, between records that were not.
                segment.force();
            } catch (IOException e) {
                e.addSuppressed(cause);
                throw poisoned("cannot cut " + segmentName + " back after a failed write", e);
            }
        }
    }

    /** Begins a segment; all of the one before is forced by then. */
    private void roll() throws IOException {
        String name = FileKind.JOURNAL.name(forced + 1);
        if (disk.fileNames().contains(name)) {
            // An earlier try that came to nothing.
            disk.delete(name);
        }
        Disk.Output fresh = disk.create(name);
        boolean begun = false;
        try {
            fresh.write(FileKind.JOURNAL.head(forced + 1));
            try {
                fresh.force();
                disk.forceDirectory();
            } catch (IOException e) {
                throw poisoned("cannot force " + name, e);
            }
            begun = true;
        } finally {
            if (!begun) {
                fresh.close();
            }
        }
        if (segment != null) {
            segment.close();
        }
        segment = fresh;
        segmentName = name;
        segmentSize = FileKind.HEAD;
        bytes += FileKind.HEAD;
    }

    /**
     * Whether a snapshot of a state of so many bytes is worth its write by now. Taken whenever it is, the
     * two snapshots and the records that are kept come to less than three times the state, or to some 130 kB
     * more than two of it where it is small.
     */
    public boolean isSnapshotDue(long stateBytes) {
        return behind >= Math.max(LEAST_BEHIND, (long) (BEHIND * stateBytes));
    }

    /**
     * Begins a snapshot of the state that all forced records have led to. Records may be appended while it is
     * written; one snapshot at a time.
     */
    public Snapshot snapshot() throws IOException {
        usable();
        if (writingSnapshot) {
            throw new StoreException("a snapshot is being written");
        }
        if (forced == 0) {
            throw new StoreException("there is nothing to make a snapshot of");
        }
        return new Snapshot(forced);
    }

    /** A snapshot that is being written. Closed without {@link #commit} it leaves nothing. */
    public final class Snapshot implements Closeable {

        private final long covers;
        private final String name;
        private final Disk.Output out;
        private final long behindBefore = behind;
        private long pieces;
        private boolean ended;

        private Snapshot(long covers) throws IOException {
            this.covers = covers;
            name = FileKind.SNAPSHOT.name(covers);
            String unfinished = name + FileKind.UNFINISHED;
            if (disk.fileNames().contains(unfinished)) {
                disk.delete(unfinished);
            }
            out = disk.create(unfinished);
            writingSnapshot = true;
            boolean begun = false;
            try {
                out.write(FileKind.SNAPSHOT.head(covers));
                begun = true;
            } finally {
                if (!begun) {
                    close();
                }
            }
        }

        /** The highest sequence number that it stands for. */
        public long lastIncludedSequence() {
            return covers;
        }

        /** Writes a piece; what it means is its owner's affair. */
        public void write(byte[] piece) throws IOException {
            if (piece.length > limits.maxRecordBytes()) {
                throw new IllegalArgumentException("a piece of " + piece.length + " bytes");
            }
            pieces++;
            put(Snapshots.piece(pieces, piece));
        }

        private void put(Record record) throws IOException {
            ByteBuffer frame = ByteBuffer.allocate(Frame.size(record.payload().length));
            Frame.put(record, 0, frame);
            out.write(frame.flip());
        }

        /** Puts it in place once it is read back whole, and drops what is needed no more. */
        public void commit() throws IOException {
            usable();
            put(Snapshots.end(pieces + 1));
            out.force();
            out.close();
            String unfinished = name + FileKind.UNFINISHED;
            if (!Snapshots.pieces(disk, unfinished, limits, piece -> { })) {
                throw new StoreException(unfinished + " does not read back as it was written");
            }
            disk.rename(unfinished, name);
            try {
                disk.forceDirectory();
            } catch (IOException e) {
                throw poisoned("cannot force the name of " + name, e);
            }
            ended = true;
            writingSnapshot = false;
            behind -= behindBefore;
            rollNext = true;
            compact();
        }

        /** Drops it, unless it was committed. */
        @Override
        public void close() throws IOException {
            if (!ended) {
                ended = true;
                writingSnapshot = false;
                out.close();
                disk.delete(name + FileKind.UNFINISHED);
            }
        }
    }

    /** Deletes snapshots but the newest two, and the segments that the older of these covers. */
    private void compact() throws IOException {
        List<String> snapshots = new ArrayList<>(recovery.files(FileKind.SNAPSHOT));
        while (snapshots.size() > GENERATIONS) {
            disk.delete(snapshots.remove(0));
        }
        if (snapshots.size() < GENERATIONS) {
            return;
        }
        long covered = FileKind.SNAPSHOT.number(snapshots.get(0));
        // Those snapshots' names are forced, so it does not matter which deletions outlast a power loss.
        for (String name : Recovery.unneeded(recovery.files(FileKind.JOURNAL), covered)) {
            disk.delete(name);
        }
        disk.forceDirectory();
    }

    private void usable() throws StoreException {
        if (poison != null) {
            throw new StoreException("the store is out of use: " + poison.getMessage(), poison);
        }
    }

    private StoreException poisoned(String what, IOException cause) {
        poison = new StoreException(what + ": " + cause.getMessage()
                + "; what is on the disk is not known, so the store has to be opened anew", cause);
        return poison;
    }

    /** Ends; what was appended and not forced is dropped. */
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
