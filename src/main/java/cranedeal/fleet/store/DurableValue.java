package cranedeal.fleet.store;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A single value that survives a power loss. Each record holds the whole value, and the last record is the
 * current one. The folder is opened and closed for each update, because both processes of a hot restart use
 * it; so this is for values that seldom change.
 */
public final class DurableValue {

    private static final int WHOLE = 1;
    private static final int TRIES = 100;
    private static final long TRY_AGAIN_MS = 5;

    private final Path folder;
    private final FolderDisk disk;
    private final Consumer<String> warn;

    /**
     * A value stored in a folder, which need not exist yet.
     *
     * @param warn receives warnings about failures after an update was stored
     */
    public DurableValue(Path folder, Consumer<String> warn) {
        this.folder = folder;
        disk = new FolderDisk(folder);
        this.warn = warn;
    }

    /** Computes the new value from the old one. */
    public interface Update {

        /**
         * Returns the new value. If it throws, nothing is changed.
         *
         * @param before the old value; null if there is none
         */
        byte[] apply(byte[] before) throws IOException;
    }

    /** The value; null if none was stored so far. Throws as {@link Store#open} does. */
    public byte[] read() throws IOException {
        Last last = new Last();
        if (Files.exists(folder)) {
            whenFree(() -> Repair.verify(disk, StoreLimits.DEFAULT, last));
        }
        return last.value;
    }

    /** Updates the value and returns the new one, which is forced to disk by then. */
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

    /** A failure is only logged: the value is on disk already, and the next update tries again. */
    private void replaceBySnapshot(Store store, byte[] bytes) {
        try (Store.Snapshot snapshot = store.snapshot()) {
            snapshot.write(bytes);
            snapshot.commit();
        } catch (IOException e) {
            warn.accept("cannot write a snapshot in " + folder + ": " + e.getMessage());
        }
    }

    private interface Opening<T> {

        T open() throws IOException;
    }

    /** Retries while another process has the folder, which it holds for some milliseconds only. */
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

    /** Remembers the last value of the store. */
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
