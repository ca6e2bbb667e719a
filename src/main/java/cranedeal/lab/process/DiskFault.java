package cranedeal.lab.process;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermission;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;

/** Kinds of damage to a folder, applied while the process that writes there is down. */
public enum DiskFault {

    /** The newest file loses part of its end, as when a power loss interrupts a write. */
    TORN_TAIL {
        @Override
        void damage(RandomAccessFile file, RandomGenerator random) throws IOException {
            long lost = 1 + random.nextLong(Math.min(file.length(), MAX_TORN_BYTES));
            file.setLength(file.length() - lost);
        }
    },
    /** One bit somewhere in the newest file is flipped. */
    FLIPPED_BIT {
        @Override
        void damage(RandomAccessFile file, RandomGenerator random) throws IOException {
            long offset = random.nextLong(file.length());
            file.seek(offset);
            int value = file.read();
            file.seek(offset);
            file.write(value ^ 1 << random.nextInt(Byte.SIZE));
        }
    },
    /**
     * The last sector of the newest file was never written, though the file has its full length: it is zeros.
     */
    LOST_WRITE {
        @Override
        void damage(RandomAccessFile file, RandomGenerator random) throws IOException {
            long from = (file.length() - 1) / SECTOR_BYTES * SECTOR_BYTES;
            file.seek(from);
            file.write(new byte[(int) (file.length() - from)]);
        }
    };

    private static final Set<PosixFilePermission> WRITE_PERMISSIONS = Set.of(PosixFilePermission.OWNER_WRITE,
            PosixFilePermission.GROUP_WRITE, PosixFilePermission.OTHERS_WRITE);
    private static final long SECTOR_BYTES = 512;
    private static final long MAX_TORN_BYTES = 4_096;

    /** Removes write permission from a folder and everything in it, or gives it back to the owner. */
    public static void setReadOnly(Path folder, boolean readOnly) throws IOException {
        List<Path> all;
        try (Stream<Path> files = Files.walk(folder)) {
            all = files.toList();
        }
        for (Path path : all) {
            Set<PosixFilePermission> permissions = EnumSet.copyOf(Files.getPosixFilePermissions(path));
            if (readOnly) {
                permissions.removeAll(WRITE_PERMISSIONS);
            } else {
                permissions.add(PosixFilePermission.OWNER_WRITE);
            }
            Files.setPosixFilePermissions(path, permissions);
        }
    }

    abstract void damage(RandomAccessFile file, RandomGenerator random) throws IOException;

    /**
     * Damages the newest file in a folder that is not empty, and returns it; of files of the same age, the
     * last by name. Throws {@link IOException} if there is none.
     */
    public Path apply(Path folder, RandomGenerator random) throws IOException {
        Path newest;
        try (Stream<Path> files = Files.walk(folder)) {
            List<Path> written = files.filter(Files::isRegularFile).filter(file -> file.toFile().length() > 0)
                    .toList();
            newest = written.stream().max(Comparator.<Path>comparingLong(file -> file.toFile().lastModified())
                    .thenComparing(Comparator.naturalOrder()))
                    .orElseThrow(() -> new IOException("no file to damage in " + folder));
        }
        try (RandomAccessFile file = new RandomAccessFile(newest.toFile(), "rw")) {
            damage(file, random);
        }
        return newest;
    }
}
