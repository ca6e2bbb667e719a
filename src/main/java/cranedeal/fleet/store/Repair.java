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

    private static final int MAX_LISTED = 1_000;

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
    public static Store.Stats verify(Disk disk, StoreLimits limits, ReplayHandler handler)
            throws IOException {
        Closeable lock = lock(disk, true);
        try {
            long start = System.nanoTime();
            Recovery.Result result = new Recovery(disk, limits).read(handler);
            return new Store.Stats(result.lastSequence(), result.lastSequence(), 0, 0, 0, 0, result.records(),
                    (System.nanoTime() - start) / 1e6, result.tornBytes(), result.notes());
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
     * @param backupFolder the backup folder, which must not exist yet
     */
    public static Outcome repair(Path folder, StoreLimits limits, Path backupFolder) throws IOException {
        FolderDisk disk = new FolderDisk(folder);
        List<String> repairedDamage = new ArrayList<>();
        List<Long> dropped = new ArrayList<>();
        long droppedCount = 0;
        Closeable lock = lock(disk, false);
        try {
            StoreDamagedException damage = findDamage(disk, limits);
            while (damage != null) {
                if (repairedDamage.isEmpty()) {
                    backUp(disk, folder, backupFolder);
                }
                repairedDamage.add(damage.getMessage());
                droppedCount += truncateAtDamage(disk, limits, damage, dropped);
                StoreDamagedException next = findDamage(disk, limits);
                if (next != null && next.getMessage().equals(damage.getMessage())) {
                    throw next;
                }
                damage = next;
            }
        } finally {
            lock.close();
        }
        return new Outcome(repairedDamage.isEmpty() ? null : backupFolder, repairedDamage, dropped,
                droppedCount);
    }

    private static StoreDamagedException findDamage(Disk disk, StoreLimits limits) throws IOException {
        try {
            new Recovery(disk, limits).read(new ReplayHandler() {

                @Override
                public void snapshotChunk(byte[] chunk) {
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

    private static void backUp(Disk disk, Path folder, Path backupFolder) throws IOException {
        Files.createDirectory(backupFolder);
        for (String name : disk.fileNames()) {
            Files.copy(folder.resolve(name), backupFolder.resolve(name));
        }
    }

    /**
     * Truncates a file at its damage and deletes later files; returns how many intact records were dropped.
     */
    private static long truncateAtDamage(Disk disk, StoreLimits limits, StoreDamagedException damage,
            List<Long> dropped) throws IOException {
        if (FileKind.SNAPSHOT.matches(damage.file())) {
            disk.delete(damage.file());
            disk.forceDirectory();
            return 0;
        }
        long droppedCount = 0;
        long first = FileKind.JOURNAL.number(damage.file());
        for (String name : new Recovery(disk, limits).files(FileKind.JOURNAL)) {
            if (Long.compareUnsigned(FileKind.JOURNAL.number(name), first) >= 0) {
                boolean isCut = name.equals(damage.file()) && damage.offset() > 0;
                droppedCount += listIntactRecords(disk, limits, name, 
                        isCut ? damage.offset() : FileKind.HEADER_BYTES, dropped);
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
        return droppedCount;
    }

    private static long listIntactRecords(Disk disk, StoreLimits limits, String name, long from,
            List<Long> dropped) throws IOException {
        FrameReader frames = new FrameReader(disk, name, from, limits.maxRecordBytes());
        long droppedCount = 0;
        for (Frame frame = frames.nextAfterDamage(); frame != null; frame = frames.nextAfterDamage()) {
            droppedCount++;
            if (dropped.size() < MAX_LISTED) {
                dropped.add(frame.record().sequence());
            }
        }
        return droppedCount;
    }
}
