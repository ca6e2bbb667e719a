package cranedeal.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** The program as a process of its own, with a configuration that can be replaced. */
final class Served implements AutoCloseable {

    /** Status of a process that SIGTERM has ended, by the shell's rule: 128 and the signal's number. */
    private static final int TERMINATED = 128 + 15;

    final Stage stage;
    final InetSocketAddress address;
    final Process process;
    final Path file = Files.createTempFile("node", ".json");
    private final String config;

    /** Starts it with the configuration of a stage. */
    Served(Stage stage) throws Exception {
        this(stage, stage.discovery.address());
    }

    /** The same, but for where discovery is. */
    Served(Stage stage, String discovery) throws Exception {
        this.stage = stage;
        try (ServerSocket free = new ServerSocket(0)) {
            address = new InetSocketAddress(InetAddress.getLoopbackAddress(), free.getLocalPort());
        }
        config = stage.config().replace("127.0.0.1:0", "127.0.0.1:" + address.getPort());
        Files.writeString(file, config.replace(stage.discovery.address(), discovery));
        process = DrainTest.start(file, "serve");
    }

    void move(String discovery) throws Exception {
        Files.writeString(file, config.replace(stage.discovery.address(), discovery));
        signal("HUP");
    }

    void signal(String name) throws Exception {
        new ProcessBuilder("sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
    }

    void endsByItself() throws Exception {
        assertTrue(process.waitFor(Peer.PATIENCE_MS, TimeUnit.MILLISECONDS));
        assertEquals(TERMINATED, process.exitValue());
    }

    @Override
    public void close() throws IOException {
        process.destroyForcibly();
        Files.delete(file);
    }
}
