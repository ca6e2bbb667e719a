package cranedeal.lab;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/** File system utilities of the lab. */
final class Folders {

    private Folders() {
    }

    /** Deletes a folder and its content, if it exists. */
    static void delete(Path folder) throws IOException {
        if (Files.exists(folder)) {
            try (Stream<Path> all = Files.walk(folder)) {
                for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(path);
                }
            }
        }
    }
}
