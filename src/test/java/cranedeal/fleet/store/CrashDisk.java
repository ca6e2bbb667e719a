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
 * A folder in memory that can lose its power. What was forced survives; of the rest, any subset of sectors
 * and any subset of the names that were made, changed and deleted, by a seed. It can also be full, and fail
 * to force.
 */
final class CrashDisk implements Disk {

    private static final int SECTOR = 512;

    /** The power is gone. */
    static final class PowerLoss extends Error {

        private static final long serialVersionUID = 1;
    }

    /** The bytes of a file, as they are now and as they were forced. */
    private static final class Inode {

        private byte[] now = new byte[0];
        private byte[] forced = new byte[0];
    }

    private final RandomGenerator random;
    private final Map<String, Inode> names = new TreeMap<>();
    private final Map<String, Inode> forcedNames = new TreeMap<>();
    private final List<Consumer<Map<String, Inode>>> nameChanges = new ArrayList<>();
    private final int crashAt;
    private boolean locked;
    private int operations;
    /** How many bytes may still be written; -1 for no limit. */
    private long room = -1;
    private boolean forceFails;

    /** A folder whose power goes at an operation, counted from 1; 0 for never. */
    CrashDisk(RandomGenerator random, int crashAt) {
        this.random = random;
        this.crashAt = crashAt;
    }

    /** What is left of the folder after a power loss, with the next loss at an operation. */
    CrashDisk afterPowerLoss(int nextCrashAt) {
        CrashDisk left = new CrashDisk(random, nextCrashAt);
        Map<String, Inode> survived = new TreeMap<>(forcedNames);
        nameChanges.stream().filter(change -> random.nextBoolean()).forEach(change ->
                change.accept(survived));
        survived.forEach((name, inode) -> {
            Inode copy = new Inode();
            copy.now = settle(inode);
            copy.forced = copy.now.clone();
            left.names.put(name, copy);
            left.forcedNames.put(name, copy);
        });
        return left;
    }

    private byte[] settle(Inode inode) {
        int size = random.nextBoolean() ? inode.now.length : inode.forced.length;
        if (random.nextInt(4) == 0 && inode.now.length > inode.forced.length) {
            size = random.nextInt(inode.forced.length, inode.now.length + 1);
        }
        byte[] settled = new byte[size];
        for (int from = 0; from < size; from += SECTOR) {
            byte[] source = random.nextBoolean() ? inode.now : inode.forced;
            int end = Math.min(from + SECTOR, size);
            if (from < source.length) {
                System.arraycopy(source, from, settled, from, Math.min(end, source.length) - from);
            }
        }
        return settled;
    }

    int operations() {
        return operations;
    }

    void room(long bytes) {
        room = bytes;
    }

    void forceFails(boolean fails) {
        forceFails = fails;
    }

    /** The bytes of a file, to look at and to change. */
    byte[] bytes(String name) {
        return names.get(name).now;
    }

    void put(String name, byte[] bytes) {
        Inode inode = new Inode();
        inode.now = bytes;
        inode.forced = bytes.clone();
        names.put(name, inode);
        forcedNames.put(name, inode);
    }

    /** Another folder with the same files, all forced. */
    CrashDisk copy() {
        CrashDisk copy = new CrashDisk(random, 0);
        names.forEach((name, inode) -> copy.put(name, inode.now.clone()));
        return copy;
    }

    /** Counts an operation; true if the power goes with it. */
    private boolean goesNow() {
        operations++;
        return operations == crashAt;
    }

    private void changeNames(Consumer<Map<String, Inode>> change) {
        boolean goes = goesNow();
        if (!goes || random.nextBoolean()) {
            change.accept(names);
            nameChanges.add(change);
        }
        if (goes) {
            throw new PowerLoss();
        }
    }

    @Override
    public List<String> fileNames() {
        return List.copyOf(names.keySet());
    }

    @Override
    public long size(String name) {
        return names.get(name).now.length;
    }

    @Override
    public int read(String name, long offset, ByteBuffer into) {
        byte[] bytes = names.get(name).now;
        int count = (int) Math.max(0, Math.min(into.remaining(), bytes.length - offset));
        into.put(bytes, count == 0 ? 0 : (int) offset, count);
        return count;
    }

    @Override
    public Output create(String name) throws IOException {
        if (names.containsKey(name)) {
            throw new IOException(name + " is there");
        }
        if (room == 0) {
            throw new IOException("No space left on device");
        }
        Inode inode = new Inode();
        changeNames(all -> all.put(name, inode));
        return new Writing(inode);
    }

    @Override
    public Output append(String name) {
        return new Writing(names.get(name));
    }

    @Override
    public void rename(String from, String to) {
        Inode inode = names.get(from);
        changeNames(all -> {
            // The new name may survive without the end of the old one, but not the other way round.
            all.remove(from);
            all.put(to, inode);
        });
    }

    @Override
    public void delete(String name) {
        changeNames(all -> all.remove(name));
    }

    @Override
    public void forceDirectory() throws IOException {
        forceNow();
        forcedNames.clear();
        forcedNames.putAll(names);
        nameChanges.clear();
    }

    private void forceNow() throws IOException {
        if (goesNow()) {
            throw new PowerLoss();
        }
        if (forceFails) {
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
    private final class Writing implements Output {

        private final Inode inode;

        Writing(Inode inode) {
            this.inode = inode;
        }

        @Override
        public void write(ByteBuffer bytes) throws IOException {
            boolean goes = goesNow();
            boolean full = room >= 0 && bytes.remaining() > room;
            int count = goes ? random.nextInt(bytes.remaining() + 1) : full ? (int) room : bytes.remaining();
            byte[] longer = Arrays.copyOf(inode.now, inode.now.length + count);
            bytes.get(longer, inode.now.length, count);
            inode.now = longer;
            room -= room >= 0 ? count : 0;
            if (goes) {
                throw new PowerLoss();
            }
            if (full) {
                throw new IOException("No space left on device");
            }
        }

        @Override
        public void force() throws IOException {
            forceNow();
            inode.forced = inode.now.clone();
        }

        @Override
        public void truncate(long size) {
            boolean goes = goesNow();
            if (!goes || random.nextBoolean()) {
                room += room >= 0 ? inode.now.length - size : 0;
                inode.now = Arrays.copyOf(inode.now, (int) size);
            }
            if (goes) {
                throw new PowerLoss();
            }
        }

        @Override
        public void close() {
            // Nothing is kept open.
        }
    }
}
