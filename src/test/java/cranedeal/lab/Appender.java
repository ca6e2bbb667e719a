package cranedeal.lab;

import cranedeal.fleet.store.FolderDisk;
import cranedeal.fleet.store.GroupCommit;
import cranedeal.fleet.store.StoreLimits;
import cranedeal.fleet.store.Record;
import cranedeal.fleet.store.Store;
import cranedeal.fleet.store.ReplayHandler;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/**
 * A process that appends to a store from several threads until it is killed, and takes snapshots at
 * intervals. Its state is the sum of all numbers that it appended. It prints the state that it recovered and
 * the sequence numbers that the store acknowledged.
 */
public final class Appender {

    private static final StoreLimits LIMITS = new StoreLimits(64 * 1024, 4_096, 32 * 1024);
    private static final int WRITERS = 4;
    private static final int SNAPSHOT_INTERVAL = 2_000;

    private static final PrintStream OUT = new PrintStream(new FileOutputStream(FileDescriptor.out), false,
            StandardCharsets.US_ASCII);

    private static long sum;
    private static long last;

    private Appender() {
    }

    /** The argument is the store's folder. */
    public static void main(String[] args) throws Exception {
        Store store = Store.open(new FolderDisk(Path.of(args[0])), LIMITS, new ReplayHandler() {

            @Override
            public void snapshotChunk(byte[] piece) {
                ByteBuffer state = ByteBuffer.wrap(piece);
                last = state.getLong();
                sum = state.getLong();
            }

            @Override
            public void record(Record record) {
                last = record.sequence();
                sum += ByteBuffer.wrap(record.payload()).getLong();
            }
        });
        print("recovered " + last + " " + sum);
        GroupCommit commit = new GroupCommit(store, 1_000, "store");
        for (int i = 0; i < WRITERS; i++) {
            new Thread(() -> {
                while (true) {
                    // Each record holds 1, so the sum is the number of records.
                    long kept = commit.append(1, ByteBuffer.allocate(8).putLong(1).array()).join();
                    print("kept " + kept);
                    if (kept % SNAPSHOT_INTERVAL == 0) {
                        commit.run(Appender::snapshot).join();
                    }
                }
            }).start();
        }
        print("ready");
    }

    private static Object snapshot(Store store) throws IOException {
        try (Store.Snapshot snapshot = store.snapshot()) {
            long covers = snapshot.lastIncludedSequence();
            snapshot.write(ByteBuffer.allocate(16).putLong(covers).putLong(covers).array());
            snapshot.commit();
        }
        return null;
    }

    /** Prints a line with a single write, so that a kill leaves only whole lines. */
    private static synchronized void print(String line) {
        OUT.print(line + "\n");
        OUT.flush();
    }
}
