package cranedeal.fleet.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;

/** A folder of the file system. */
public final class FolderDisk implements Disk {

    private static final String LOCK_FILE = "lock";

    private final Path folder;

    /** Uses an existing folder. */
    public FolderDisk(Path folder) {
        this.folder = folder;
    }

    @Override
    public List<String> fileNames() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.filter(Files::isRegularFile).map(file -> file.getFileName().toString())
                    .filter(name -> !name.equals(LOCK_FILE)).toList();
        }
    }

    @Override
    public long size(String name) throws IOException {
        return Files.size(folder.resolve(name));
    }

    @Override
    public int read(String name, long offset, ByteBuffer into) throws IOException {
        try (FileChannel file = FileChannel.open(folder.resolve(name), StandardOpenOption.READ)) {
            int start = into.position();
            while (into.hasRemaining() && file.read(into, offset + into.position() - start) >= 0) {
                continue;
            }
            return into.position() - start;
        }
    }

    @Override
    public Output create(String name) throws IOException {
        return open(name, StandardOpenOption.CREATE_NEW);
    }

    @Override
    public Output append(String name) throws IOException {
        return open(name, StandardOpenOption.READ);
    }

    private Output open(String name, StandardOpenOption option) throws IOException {
        FileChannel file = FileChannel.open(folder.resolve(name), StandardOpenOption.WRITE, option);
        file.position(file.size());
        return new Output() {

            @Override
            public void write(ByteBuffer bytes) throws IOException {
                while (bytes.hasRemaining()) {
                    file.write(bytes);
                }
            }

            @Override
            public void force() throws IOException {
                // The file's size is forced even without metadata; its timestamps don't matter.
                file.force(false);
            }

            @Override
            public void truncate(long size) throws IOException {
                file.truncate(size);
                file.position(size);
            }

            @Override
            public void close() throws IOException {
                file.close();
            }
        };
    }

    @Override
    public void rename(String from, String to) throws IOException {
        Files.move(folder.resolve(from), folder.resolve(to), StandardCopyOption.ATOMIC_MOVE);
    }

    @Override
    public void delete(String name) throws IOException {
        Files.delete(folder.resolve(name));
    }

    @Override
    public void forceDirectory() throws IOException {
        try (FileChannel directory = FileChannel.open(folder, StandardOpenOption.READ)) {
            directory.force(true);
        }
    }

    @Override
    public Closeable tryLock(boolean shared) throws IOException {
        Path lockFile = folder.resolve(LOCK_FILE);
        FileChannel file;
        try {
            file = shared && Files.exists(lockFile) ? FileChannel.open(lockFile, StandardOpenOption.READ)
                    : FileChannel.open(lockFile, StandardOpenOption.CREATE, StandardOpenOption.READ,
                            StandardOpenOption.WRITE);
        } catch (IOException e) {
            if (shared && !Files.exists(lockFile)) {
                // No process has written here, and none can, so there is nothing to lock against.
                return () -> { };
            }
            throw e;
        }
        FileLock lock = null;
        try {
            lock = file.tryLock(0, Long.MAX_VALUE, shared);
        } catch (OverlappingFileLockException e) {
            // This process holds the lock already.
            lock = null;
        } finally {
            if (lock == null) {
                file.close();
            }
        }
        return lock == null ? null : file;
    }

    @Override
    public String toString() {
        return folder.toString();
    }
}
