package cranedeal.fleet.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.Histogram;

/**
 * Measures appends with a force each and in batches, compared with bare writes and forces of the same size in
 * the same run; then the recovery of a million records. Run by hand; the argument is a folder on the disk to
 * measure.
 */
final class StoreBenchmark {

    private static final int FORCES_PER_CASE = 2_000;
    private static final int ROUNDS = 5;
    private static final int WRITERS = 64;
    private static final int GROUPED_RECORDS = 400_000;
    private static final int RECORD_BYTES = 100;
    private static final int MAX_RECOVERED_RECORDS = 1_000_000;
    private static final StoreLimits LIMITS = StoreLimits.DEFAULT;

    private StoreBenchmark() {
    }

    /** Counts the replayed records. */
    private static final class RecordCounter implements ReplayHandler {

        private long records;

        @Override
        public void snapshotChunk(byte[] piece) {
            // No snapshot is written here.
        }

        @Override
        public void record(Record record) {
            records++;
        }
    }

    public static void main(String[] args) throws Exception {
        Path folder = Files.createTempDirectory(Path.of(args[0]), "store");
        Histogram bare = new Histogram(3);
        Histogram preallocated = new Histogram(3);
        Histogram single = new Histogram(3);
        Histogram bareBatch = new Histogram(3);
        Histogram batch = new Histogram(3);
        for (int round = 0; round < ROUNDS; round++) {
            measureBareWrites(folder.resolve("bare" + round), Frame.size(RECORD_BYTES), false, bare);
            measureBareWrites(folder.resolve("preallocated" + round), Frame.size(RECORD_BYTES), true,
                    preallocated);
            measureStore(Files.createDirectory(folder.resolve("single" + round)), 1, single);
            measureBareWrites(folder.resolve("bareBatch" + round), 100 * Frame.size(RECORD_BYTES), false,
                    bareBatch);
            measureStore(Files.createDirectory(folder.resolve("batch" + round)), 100, batch);
        }
        print("bare write and force, 128 bytes", bare);
        print("the same on a preallocated file", preallocated);
        print("one record of 100 bytes, forced", single);
        print("bare write and force, 12,800 bytes", bareBatch);
        print("100 records of 100 bytes, one force", batch);
        measureGroupCommit(Files.createDirectory(folder.resolve("grouped")));
        measureRecovery(Files.createDirectory(folder.resolve("recovery")));
    }

    private static void measureBareWrites(Path file, int size, boolean preallocate, Histogram into)
            throws IOException {
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE_NEW,
                StandardOpenOption.WRITE)) {
            if (preallocate) {
                channel.write(ByteBuffer.allocate(size * FORCES_PER_CASE / ROUNDS));
                channel.force(true);
                channel.position(0);
            }
            for (int i = 0; i < FORCES_PER_CASE / ROUNDS; i++) {
                long start = System.nanoTime();
                channel.write(ByteBuffer.allocate(size));
                channel.force(false);
                into.recordValue((System.nanoTime() - start) / 1_000);
            }
        }
    }

    private static void measureStore(Path folder, int batch, Histogram into) throws IOException {
        try (Store store = Store.open(new FolderDisk(folder), LIMITS, new RecordCounter())) {
            for (int i = 0; i < FORCES_PER_CASE / ROUNDS; i++) {
                long start = System.nanoTime();
                for (int j = 0; j < batch; j++) {
                    store.append(1, new byte[RECORD_BYTES]);
                }
                store.force();
                into.recordValue((System.nanoTime() - start) / 1_000);
            }
        }
    }

    /** Many writers; each appends a hundred records and waits until all of them are on disk. */
    private static void measureGroupCommit(Path folder) throws Exception {
        Histogram micros = new Histogram(600_000_000L, 3);
        AtomicLong remaining = new AtomicLong(GROUPED_RECORDS);
        CountDownLatch done = new CountDownLatch(WRITERS);
        long start = System.nanoTime();
        long forces;
        try (GroupCommit commit = new GroupCommit(Store.open(new FolderDisk(folder), LIMITS,
                new RecordCounter()),
                1 << 16, "store")) {
            for (int i = 0; i < WRITERS; i++) {
                new Thread(() -> {
                    while (remaining.addAndGet(-100) >= 0) {
                        long began = System.nanoTime();
                        CompletableFuture<?>[] appends = new CompletableFuture<?>[100];
                        for (int j = 0; j < appends.length; j++) {
                            appends[j] = commit.append(1, new byte[RECORD_BYTES]);
                        }
                        CompletableFuture.allOf(appends).join();
                        synchronized (micros) {
                            micros.recordValue((System.nanoTime() - began) / 1_000);
                        }
                    }
                    done.countDown();
                }).start();
            }
            done.await();
            forces = commit.run(store -> store.stats().forces()).get();
        }
        double seconds = (System.nanoTime() - start) / 1e9;
        System.out.printf(Locale.ROOT,
                "group commit: %.0f records a second, %.0f to a force; a hundred p50 %d us,"
                + " p99 %d us%n", GROUPED_RECORDS / seconds, GROUPED_RECORDS / (double) forces,
                micros.getValueAtPercentile(50), micros.getValueAtPercentile(99));
    }

    private static void measureRecovery(Path folder) throws IOException {
        for (int records = MAX_RECOVERED_RECORDS / 4; records <= MAX_RECOVERED_RECORDS; records *= 2) {
            Path storeFolder = Files.createDirectory(folder.resolve(Integer.toString(records)));
            try (Store store = Store.open(new FolderDisk(storeFolder), LIMITS, new RecordCounter())) {
                for (int i = 0; i < records; i++) {
                    store.append(1, new byte[RECORD_BYTES]);
                    if (!store.fitsInBatch(RECORD_BYTES)) {
                        store.force();
                    }
                }
                store.force();
            }
            for (int i = 0; i < ROUNDS; i++) {
                RecordCounter count = new RecordCounter();
                try (Store store = Store.open(new FolderDisk(storeFolder), LIMITS, count)) {
                    System.out.printf(Locale.ROOT, "recovery of %d records: %.0f ms%n", count.records,
                            store.stats().recoveryMs());
                }
            }
        }
    }

    private static void print(String name, Histogram micros) {
        System.out.printf(Locale.ROOT, "%-38s p50 %d us, p99 %d us%n", name, micros.getValueAtPercentile(50),
                micros.getValueAtPercentile(99));
    }
}
