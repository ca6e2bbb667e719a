package cranedeal.fleet.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * An in-memory disk that simulates power loss. Forced data survives; of the rest, a random subset of sectors
 * and a random subset of the creations, renames and deletions survive. It can also be full, and its forces
 * can fail.
 */
final class CrashDisk implements Disk {

    private static final int SECTOR_BYTES = 512;

    /** Thrown by the operation at which the power fails. */
    static final class PowerLoss extends Error {

        private static final long serialVersionUID = 1;
    }

    /** The present content of a file, and the content that was forced last. */
    private static final class Inode {

        private byte[] content = new byte[0];
        private byte[] forcedContent = new byte[0];
    }

    private final RandomGenerator random;
    private final Map<String, Inode> files = new TreeMap<>();
    private final Map<String, Inode> forcedFiles = new TreeMap<>();
    private final List<Consumer<Map<String, Inode>>> unforcedChanges = new ArrayList<>();
    private final int crashAt;
    private boolean locked;
    private int operations;
    /** How many bytes may still be written; -1 for no limit. */
    private long freeBytes = -1;
    private boolean failForces;

    /** Loses power at the given operation, counted from 1; never if 0. */
    CrashDisk(RandomGenerator random, int crashAt) {
        this.random = random;
        this.crashAt = crashAt;
    }

    /** The disk as it survives a power loss; it loses power again at the given operation. */
    CrashDisk afterPowerLoss(int nextCrashAt) {
        CrashDisk survivor = new CrashDisk(random, nextCrashAt);
        Map<String, Inode> survived = new TreeMap<>(forcedFiles);
        unforcedChanges.stream().filter(change -> random.nextBoolean()).forEach(change ->
                change.accept(survived));
        survived.forEach((name, inode) -> {
            Inode copy = new Inode();
            copy.content = survivingContent(inode);
            copy.forcedContent = copy.content.clone();
            survivor.files.put(name, copy);
            survivor.forcedFiles.put(name, copy);
        });
        return survivor;
    }

    private byte[] survivingContent(Inode inode) {
        int size = random.nextBoolean() ? inode.content.length : inode.forcedContent.length;
        if (random.nextInt(4) == 0 && inode.content.length > inode.forcedContent.length) {
            size = random.nextInt(inode.forcedContent.length, inode.content.length + 1);
        }
        byte[] settled = new byte[size];
        for (int from = 0; from < size; from += SECTOR_BYTES) {
            byte[] source = random.nextBoolean() ? inode.content : inode.forcedContent;
            int end = Math.min(from + SECTOR_BYTES, size);
            if (from < source.length) {
                System.arraycopy(source, from, settled, from, Math.min(end, source.length) - from);
            }
        }
        return settled;
    }

    int operations() {
        return operations;
    }

    void setFreeBytes(long bytes) {
        freeBytes = bytes;
    }

    void setFailForces(boolean failing) {
        failForces = failing;
    }

    /** The content of a file; changes to the array change the file. */
    byte[] content(String name) {
        return files.get(name).content;
    }

    void put(String name, byte[] bytes) {
        Inode inode = new Inode();
        inode.content = bytes;
        inode.forcedContent = bytes.clone();
        files.put(name, inode);
        forcedFiles.put(name, inode);
    }

    /** A disk with the same files, all forced, that does not lose power. */
    CrashDisk copy() {
        CrashDisk copy = new CrashDisk(random, 0);
        files.forEach((name, inode) -> copy.put(name, inode.content.clone()));
        return copy;
    }

    /** Counts an operation; returns true if the power fails at it. */
    private boolean crashesNow() {
        operations++;
        return operations == crashAt;
    }

    private void changeDirectory(Consumer<Map<String, Inode>> change) {
        boolean crashes = crashesNow();
        if (!crashes || random.nextBoolean()) {
            change.accept(files);
            unforcedChanges.add(change);
        }
        if (crashes) {
            throw new PowerLoss();
        }
    }

    @Override
    public List<String> fileNames() {
        return List.copyOf(files.keySet());
    }

    @Override
    public long size(String name) {
        return files.get(name).content.length;
    }

    @Override
    public int read(String name, long offset, ByteBuffer into) {
        byte[] bytes = files.get(name).content;
        int count = (int) Math.max(0, Math.min(into.remaining(), bytes.length - offset));
        into.put(bytes, count == 0 ? 0 : (int) offset, count);
        return count;
    }

    @Override
    public Output create(String name) throws IOException {
        if (files.containsKey(name)) {
            throw new IOException(name + " exists already");
        }
        if (freeBytes == 0) {
            throw new IOException("No space left on device");
        }
        Inode inode = new Inode();
        changeDirectory(listing -> listing.put(name, inode));
        return new MemoryOutput(inode);
    }

    @Override
    public Output append(String name) {
        return new MemoryOutput(files.get(name));
    }

    @Override
    public void rename(String from, String to) {
        Inode inode = files.get(from);
        changeDirectory(listing -> {
            // Both changes survive or neither: the old name never disappears without the new one.
            listing.remove(from);
            listing.put(to, inode);
        });
    }

    @Override
    public void delete(String name) {
        changeDirectory(listing -> listing.remove(name));
    }

    @Override
    public void forceDirectory() throws IOException {
        beginForce();
        forcedFiles.clear();
        forcedFiles.putAll(files);
        unforcedChanges.clear();
    }

    private void beginForce() throws IOException {
        if (crashesNow()) {
            throw new PowerLoss();
        }
        if (failForces) {
            throw new IOException("Input/output error");
        }
    }

    @Override
    public Closeable tryLock(boolean shared) {
        if (locked) {
            return null;
        }
        locked = true;
        return () -> locked = false;
    }

    @Override
    public String toString() {
        return "memory";
    }

    /** An open file. */
    private final class MemoryOutput implements Output {

        private final Inode inode;

        MemoryOutput(Inode inode) {
            this.inode = inode;
        }

        @Override
        public void write(ByteBuffer bytes) throws IOException {
            boolean crashes = crashesNow();
            boolean full = freeBytes >= 0 && bytes.remaining() > freeBytes;
            int count = crashes ? random.nextInt(bytes.remaining() + 1) : full ? (int) freeBytes
                    : bytes.remaining();
            byte[] longer = Arrays.copyOf(inode.content, inode.content.length + count);
            bytes.get(longer, inode.content.length, count);
            inode.content = longer;
            freeBytes -= freeBytes >= 0 ? count : 0;
            if (crashes) {
                throw new PowerLoss();
            }
            if (full) {
                throw new IOException("No space left on device");
            }
        }

        @Override
        public void force() throws IOException {
            beginForce();
            inode.forcedContent = inode.content.clone();
        }

        @Override
        public void truncate(long size) {
            boolean crashes = crashesNow();
            if (!crashes || random.nextBoolean()) {
                freeBytes += freeBytes >= 0 ? inode.content.length - size : 0;
                inode.content = Arrays.copyOf(inode.content, (int) size);
            }
            if (crashes) {
                throw new PowerLoss();
            }
        }

        @Override
        public void close() {
            // Nothing is kept open.
        }
    }
}
