package cranedeal.node;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * The processes of one balancer: while it is upgraded there are two, the later one to replace the earlier.
 * Each has a place in their order, and locks a byte of a file that they share at that place while it lives,
 * and a second one while it serves. The system drops the locks of a process that ends, however it ends.
 */
final class ProcessHandover {

    private static final String FILE = "succession";
    /** The bytes from here on tell who serves, those before who lives; nothing is ever written to them. */
    private static final long SERVING = 1L << 40;
    /** The byte that is locked while something else that is shared is changed. */
    private static final long SHARED = SERVING << 1;
    /** How often to try for a place that another process asks about or takes at that moment. */
    private static final int TRIES = 1_000;

    private final FileChannel file;
    private final long place;

    private ProcessHandover(FileChannel file, long place) {
        this.file = file;
        this.place = place;
    }

    /** Takes the place behind all that live. */
    static ProcessHandover join(Path folder) throws IOException {
        FileChannel file = FileChannel.open(folder.resolve(FILE), StandardOpenOption.CREATE,
                StandardOpenOption.READ, StandardOpenOption.WRITE);
        long place = 0;
        for (int i = 0; i < TRIES; i++) {
            while (isHeld(file, place, SERVING - place)) {
                place++;
            }
            if (file.tryLock(place, 1, false) != null) {
                return new ProcessHandover(file, place);
            }
            Thread.onSpinWait();
        }
        file.close();
        throw new IOException("no place among the processes of this balancer");
    }

    /**
     * Whether another process has locked any of these bytes. One thread at a time: to the virtual machine two
     * of them at the same bytes are an error.
     */
    private static synchronized boolean isHeld(FileChannel file, long from, long size) throws IOException {
        if (size == 0) {
            return false;
        }
        try (FileLock mine = file.tryLock(from, size, true)) {
            return mine == null;
        }
    }

    /** From now on this process serves. */
    void markServing() throws IOException {
        for (int i = 0; i < TRIES; i++) {
            if (file.tryLock(SERVING + place, 1, false) != null) {
                return;
            }
            Thread.onSpinWait();
        }
        throw new IOException("cannot tell that this process serves");
    }

    /** Whether a later process serves. */
    boolean hasSuccessor() throws IOException {
        return isHeld(file, SERVING + place + 1, SERVING - place - 1);
    }

    /** Whether another process of this balancer lives, earlier or later. */
    boolean hasOtherProcess() throws IOException {
        return isHeld(file, 0, place) || isHeld(file, place + 1, SERVING - place - 1);
    }

    /** Keeps the other process out of what they share until the lock is closed. */
    FileLock lockShared() throws IOException {
        return file.lock(SHARED, 1, false);
    }

    /** Leaves; the system does so for a process that ends. */
    void leave() throws IOException {
        file.close();
    }
}
