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

/** The balancer program as a child process, with a configuration file that can be replaced. */
final class NodeProcess implements AutoCloseable {

    /** Exit status of a process ended by SIGTERM: 128 plus the signal's number. */
    private static final int TERMINATED = 128 + 15;

    final NodeFixture fixture;
    final InetSocketAddress address;
    final Process process;
    final Path file = Files.createTempFile("node", ".json");
    private final String config;

    /** Starts the process with the configuration of a fixture. */
    NodeProcess(NodeFixture fixture) throws Exception {
        this(fixture, fixture.discovery.address());
    }

    /** The same, with another address of discovery. */
    NodeProcess(NodeFixture fixture, String discovery) throws Exception {
        this.fixture = fixture;
        try (ServerSocket free = new ServerSocket(0)) {
            address = new InetSocketAddress(InetAddress.getLoopbackAddress(), free.getLocalPort());
        }
        config = fixture.config().replace("127.0.0.1:0", "127.0.0.1:" + address.getPort());
        Files.writeString(file, config.replace(fixture.discovery.address(), discovery));
        process = DrainTest.start(file, "serve");
    }

    void moveDiscovery(String discovery) throws Exception {
        Files.writeString(file, config.replace(fixture.discovery.address(), discovery));
        signal("HUP");
    }

    void signal(String name) throws Exception {
        new ProcessBuilder("sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
    }

    void assertTerminated() throws Exception {
        assertTrue(process.waitFor(HttpPeer.TIMEOUT_MS, TimeUnit.MILLISECONDS));
        assertEquals(TERMINATED, process.exitValue());
    }

    @Override
    public void close() throws IOException {
        process.destroyForcibly();
        Files.delete(file);
    }
}
