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

    private static final int VALUE_RECORD = 1;
    private static final int MAX_OPEN_ATTEMPTS = 100;
    private static final long RETRY_DELAY_MS = 5;

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
        LastValue last = new LastValue();
        if (Files.exists(folder)) {
            retryWhileInUse(() -> Repair.verify(disk, StoreLimits.DEFAULT, last));
        }
        return last.value;
    }

    /** Updates the value and returns the new one, which is forced to disk by then. */
    public byte[] update(Update update) throws IOException {
        Files.createDirectories(folder);
        LastValue last = new LastValue();
        try (Store store = retryWhileInUse(() -> Store.open(disk, StoreLimits.DEFAULT, last))) {
            byte[] bytes = update.apply(last.value);
            store.append(VALUE_RECORD, bytes);
            store.force();
            if (store.isSnapshotDue(bytes.length)) {
                writeSnapshot(store, bytes);
            }
            return bytes;
        }
    }

    /** A failure is only logged: the value is on disk already, and the next update tries again. */
    private void writeSnapshot(Store store, byte[] bytes) {
        try (Store.Snapshot snapshot = store.snapshot()) {
            snapshot.write(bytes);
            snapshot.commit();
        } catch (IOException e) {
            warn.accept("cannot write a snapshot in " + folder + ": " + e.getMessage());
        }
    }

    private interface OpenAction<T> {

        T open() throws IOException;
    }

    /** Retries while another process has the folder, which it holds for some milliseconds only. */
    private static <T> T retryWhileInUse(OpenAction<T> action) throws IOException {
        for (int i = 1;; i++) {
            try {
                return action.open();
            } catch (StoreInUseException e) {
                if (i == MAX_OPEN_ATTEMPTS) {
                    throw e;
                }
                sleep();
            }
        }
    }

    private static void sleep() throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(RETRY_DELAY_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    /** Remembers the last value of the store. */
    private static final class LastValue implements ReplayHandler {

        private byte[] value;

        @Override
        public void snapshotChunk(byte[] chunk) {
            value = chunk;
        }

        @Override
        public void record(Record record) {
            if (record.type() == VALUE_RECORD) {
                value = record.payload();
            }
        }
    }
}
