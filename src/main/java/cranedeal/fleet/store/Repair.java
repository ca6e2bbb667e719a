package cranedeal.fleet.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Makes a damaged folder usable again; only run at an operator's request. Copies all files to a backup,
 * truncates the store at the damage, and lists the records after it, which are lost to the store.
 */
public final class Repair {

    private static final int MOST_LISTED = 1_000;

    private Repair() {
    }

    /**
     * The result of a repair.
     *
     * @param backupFolder the folder with the files as they were before; null if nothing was repaired
     * @param repairedDamage a message for each damage that was cut out; empty if there was none
     * @param droppedSequences the sequence numbers of intact records that were dropped, at most 1000 of them
     * @param droppedCount how many intact records were dropped in all
     */
    public record Outcome(Path backupFolder, List<String> repairedDamage, List<Long> droppedSequences,
            long droppedCount) { }

    /** Reads a folder without changing it; throws as {@link Store#open} does. */
    public static Store.Stats verify(Disk disk, StoreLimits limits, ReplayHandler reader) throws IOException {
        Closeable lock = lock(disk, true);
        try {
            long start = System.nanoTime();
            Recovery.Found found = new Recovery(disk, limits).read(reader);
            return new Store.Stats(found.last(), found.last(), 0, 0, 0, 0, found.records(),
                    (System.nanoTime() - start) / 1e6, found.torn(), found.notes());
        } finally {
            lock.close();
        }
    }

    private static Closeable lock(Disk disk, boolean shared) throws IOException {
        Closeable lock = disk.tryLock(shared);
        if (lock == null) {
            throw new StoreInUseException(disk);
        }
        return lock;
    }

    /**
     * Repairs a folder. A folder without damage is left unchanged.
     *
     * @param keepIn the backup folder, which must not exist yet
     */
    public static Outcome repair(Path folder, StoreLimits limits, Path keepIn) throws IOException {
        FolderDisk disk = new FolderDisk(folder);
        List<String> cut = new ArrayList<>();
        List<Long> dropped = new ArrayList<>();
        long count = 0;
        Closeable lock = lock(disk, false);
        try {
            StoreDamagedException damage = damage(disk, limits);
            while (damage != null) {
                if (cut.isEmpty()) {
                    keep(disk, folder, keepIn);
                }
                cut.add(damage.getMessage());
                count += cut(disk, limits, damage, dropped);
                StoreDamagedException next = damage(disk, limits);
                if (next != null && next.getMessage().equals(damage.getMessage())) {
                    throw next;
                }
                damage = next;
            }
        } finally {
            lock.close();
        }
        return new Outcome(cut.isEmpty() ? null : keepIn, cut, dropped, count);
    }

    private static StoreDamagedException damage(Disk disk, StoreLimits limits) throws IOException {
        try {
            new Recovery(disk, limits).read(new ReplayHandler() {

                @Override
                public void snapshotChunk(byte[] piece) {
                    // Reading it is the check.
                }

                @Override
                public void record(Record record) {
                    // Reading it is the check.
                }
            });
            return null;
        } catch (StoreDamagedException e) {
            return e;
        }
    }

    private static void keep(Disk disk, Path folder, Path keepIn) throws IOException {
        Files.createDirectory(keepIn);
        for (String name : disk.fileNames()) {
            Files.copy(folder.resolve(name), keepIn.resolve(name));
        }
    }

    /**
     * Truncates a file at its damage and deletes later files; returns how many intact records were dropped.
     */
    private static long cut(Disk disk, StoreLimits limits, StoreDamagedException damage, List<Long> dropped)
            throws IOException {
        if (FileKind.SNAPSHOT.has(damage.file())) {
            disk.delete(damage.file());
            disk.forceDirectory();
            return 0;
        }
        long count = 0;
        long first = FileKind.JOURNAL.number(damage.file());
        for (String name : new Recovery(disk, limits).files(FileKind.JOURNAL)) {
            if (Long.compareUnsigned(FileKind.JOURNAL.number(name), first) >= 0) {
                boolean isCut = name.equals(damage.file()) && damage.offset() > 0;
                count += list(disk, limits, name, isCut ? damage.offset() : FileKind.HEAD, dropped);
                if (isCut) {
                    try (Disk.Output out = disk.append(name)) {
                        out.truncate(damage.offset());
                        out.force();
                    }
                } else {
                    disk.delete(name);
                }
            }
        }
        disk.forceDirectory();
        return count;
    }

    private static long list(Disk disk, StoreLimits limits, String name, long from, List<Long> dropped)
            throws IOException {
        FrameReader frames = new FrameReader(disk, name, from, limits.maxRecordBytes());
        long count = 0;
        for (Frame frame = frames.nextBehindDamage(); frame != null; frame = frames.nextBehindDamage()) {
            count++;
            if (dropped.size() < MOST_LISTED) {
                dropped.add(frame.record().sequence());
            }
        }
        return count;
    }
}
