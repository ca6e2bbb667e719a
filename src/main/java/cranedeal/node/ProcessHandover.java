package cranedeal.node;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Coordinates the two processes of one balancer during a hot restart, in which the later one replaces the
 * earlier. Each process has a position in their order. It locks the byte at that position of a shared file
 * while it is alive, and a second byte while it is serving. The operating system releases the locks of a
 * process that ends, however it ends.
 */
final class ProcessHandover {

    private static final String FILE = "succession";
    /**
     * Locks from this offset on mark serving processes, those below it live ones; no byte is ever written.
     */
    private static final long SERVING_OFFSET = 1L << 40;
    /** The byte that is locked while a process changes other shared files. */
    private static final long SHARED_LOCK_OFFSET = SERVING_OFFSET << 1;
    /**
     * How often to retry a lock that another process holds for a moment while it checks or takes a position.
     */
    private static final int MAX_LOCK_ATTEMPTS = 1_000;

    private final FileChannel file;
    private final long position;

    private ProcessHandover(FileChannel file, long place) {
        this.file = file;
        this.position = place;
    }

    /** Takes the first position that no live process holds. */
    static ProcessHandover join(Path folder) throws IOException {
        FileChannel file = FileChannel.open(folder.resolve(FILE), StandardOpenOption.CREATE,
                StandardOpenOption.READ, StandardOpenOption.WRITE);
        long place = 0;
        for (int i = 0; i < MAX_LOCK_ATTEMPTS; i++) {
            while (isLockedByOther(file, place, SERVING_OFFSET - place)) {
                place++;
            }
            if (file.tryLock(place, 1, false) != null) {
                return new ProcessHandover(file, place);
            }
            Thread.onSpinWait();
        }
        file.close();
        throw new IOException("cannot lock a position among the processes of this balancer");
    }

    /**
     * Returns true if another process has locked any of these bytes. Synchronized, since the virtual machine
     * throws an exception if two of its threads lock overlapping bytes.
     */
    private static synchronized boolean isLockedByOther(FileChannel file, long from, long size)
            throws IOException {
        if (size == 0) {
            return false;
        }
        try (FileLock lock = file.tryLock(from, size, true)) {
            return lock == null;
        }
    }

    /** Marks this process as serving. */
    void markServing() throws IOException {
        for (int i = 0; i < MAX_LOCK_ATTEMPTS; i++) {
            if (file.tryLock(SERVING_OFFSET + position, 1, false) != null) {
                return;
            }
            Thread.onSpinWait();
        }
        throw new IOException("cannot mark this process as serving");
    }

    /** Returns true if a later process is serving. */
    boolean hasSuccessor() throws IOException {
        return isLockedByOther(file, SERVING_OFFSET + position + 1, SERVING_OFFSET - position - 1);
    }

    /** Returns true if another process of this balancer is alive, earlier or later. */
    boolean hasOtherProcess() throws IOException {
        return isLockedByOther(file, 0, position)
                || isLockedByOther(file, position + 1, SERVING_OFFSET - position - 1);
    }

    /** Locks the shared files against the other process until the lock is closed. */
    FileLock lockShared() throws IOException {
        return file.lock(SHARED_LOCK_OFFSET, 1, false);
    }

    /** Gives up the position; the operating system does so for a process that ends. */
    void leave() throws IOException {
        file.close();
    }
}
