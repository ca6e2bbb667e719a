package cranedeal.lab.process;

import java.io.IOException;
import java.nio.file.AccessDeniedException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.TimeUnit;

/** A process that writes the file {@code wrote} repeatedly, and the file {@code full} if a write fails. */
public final class Writer {

    private Writer() {
    }

    /** Argument: the folder to write to. */
    public static void main(String[] args) throws Exception {
        Path folder = Path.of(args[0]);
        System.out.println("ready");
        while (true) {
            try {
                Path next = Files.createTempFile(folder, "next", "");
                Files.writeString(next, "something");
                Files.move(next, folder.resolve("wrote"), StandardCopyOption.ATOMIC_MOVE);
            } catch (AccessDeniedException e) {
                System.out.println("AccessDenied");
            } catch (IOException e) {
                Files.writeString(folder.resolve("full"), "");
            }
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }
}
