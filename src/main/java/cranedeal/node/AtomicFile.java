package cranedeal.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/** Replaces files atomically, so that no reader sees a partial file. Files are not synced to disk. */
final class AtomicFile {

    /** Not {@code .new}: a store in the same folder deletes files with that suffix. */
    private static final String TEMP_SUFFIX = ".next";

    private AtomicFile() {
    }

    /** Replaces a file atomically; only one process may do so at a time. */
    static void replace(Path file, byte[] bytes) throws IOException {
        Path temporary = file.resolveSibling(file.getFileName() + TEMP_SUFFIX);
        Files.write(temporary, bytes);
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }
}
