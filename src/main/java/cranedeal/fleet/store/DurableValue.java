package cranedeal.fleet.store;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * One value that outlasts a power loss: each record has it whole, and the last one holds. The folder is
 * opened for each change, since the two processes of an upgrade take turns; so it is for what seldom changes.
 */
public final class DurableValue {

    private static final int WHOLE = 1;
    private static final int TRIES = 100;
    private static final long TRY_AGAIN_MS = 5;

    private final Path folder;
    private final FolderDisk disk;
    private final Consumer<String> warn;

    /**
     * The value in a folder, which need not be there yet.
     *
     * @param warn told what went wrong after a change was kept
     */
    public DurableValue(Path folder, Consumer<String> warn) {
        this.folder = folder;
        disk = new FolderDisk(folder);
        this.warn = warn;
    }

    /** What makes the new value of the old one, which is null at first. */
    public interface Update {

        /** Throws {@link IOException} where it can't; then nothing is changed. */
        byte[] apply(byte[] before) throws IOException;
    }

    /** The value; null if none was kept so far. Throws as {@link Store#open} does. */
    public byte[] read() throws IOException {
        Last last = new Last();
        if (Files.exists(folder)) {
            whenFree(() -> Repair.verify(disk, StoreLimits.DEFAULT, last));
        }
        return last.value;
    }

    /** Changes the value; it is kept once this returns, with what it is now. */
    public byte[] update(Update change) throws IOException {
        Files.createDirectories(folder);
        Last last = new Last();
        try (Store store = whenFree(() -> Store.open(disk, StoreLimits.DEFAULT, last))) {
            byte[] bytes = change.apply(last.value);
            store.append(WHOLE, bytes);
            store.force();
            if (store.isSnapshotDue(bytes.length)) {
                replaceBySnapshot(store, bytes);
            }
            return bytes;
        }
    }

    /** The value is kept by now, so it holds whether this succeeds or not; the next change tries again. */
    private void replaceBySnapshot(Store store, byte[] bytes) {
        try (Store.Snapshot snapshot = store.snapshot()) {
            snapshot.write(bytes);
            snapshot.commit();
        } catch (IOException e) {
            warn.accept("records in " + folder + " can't be replaced by a snapshot: " + e.getMessage());
        }
    }

    private interface Opening<T> {

        T open() throws IOException;
    }

    /** Opening it takes milliseconds, so another process is soon done with it. */
    private static <T> T whenFree(Opening<T> opening) throws IOException {
        for (int i = 1;; i++) {
            try {
                return opening.open();
            } catch (StoreInUseException e) {
                if (i == TRIES) {
                    throw e;
                }
                sleep();
            }
        }
    }

    private static void sleep() throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(TRY_AGAIN_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    /** Keeps the last value that it is shown. */
    private static final class Last implements ReplayHandler {

        private byte[] value;

        @Override
        public void snapshotChunk(byte[] piece) {
            value = piece;
        }

        @Override
        public void record(Record record) {
            if (record.type() == WHOLE) {
                value = record.payload();
            }
        }
    }
}
