package cranedeal.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/** A file that is only ever replaced whole, so that no reader sees half of it. It is not forced to disk. */
final class AtomicFile {

    /** Not {@code .new}: a store in the same folder deletes what has that ending. */
    private static final String UNFINISHED = ".next";

    private AtomicFile() {
    }

    /** Replaces a file in one step; one process at a time. */
    static void replace(Path file, byte[] bytes) throws IOException {
        Path fresh = file.resolveSibling(file.getFileName() + UNFINISHED);
        Files.write(fresh, bytes);
        Files.move(fresh, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }
}
