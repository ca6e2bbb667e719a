package cranedeal.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

/** The balancer program as a child process, with a configuration file that can be replaced. */
final class NodeProcess implements AutoCloseable {

    /** Exit status of a process ended by SIGTERM: 128 plus the signal's number. */
    private static final int TERMINATED = 128 + 15;

    final NodeFixture fixture;
    final InetSocketAddress address;
    final InetSocketAddress adminAddress;
    final Process process;
    final Path file = Files.createTempFile("node", ".json");
    private final String config;
    private final ConcurrentLinkedQueue<String> log = new ConcurrentLinkedQueue<>();

    /** Starts the process with the configuration of a fixture. */
    NodeProcess(NodeFixture fixture) throws Exception {
        this(fixture, fixture.discovery.address());
    }

    /** The same, with another address of discovery. */
    NodeProcess(NodeFixture fixture, String discovery) throws Exception {
        this(fixture, discovery, List.of(), Main.class);
    }

    /** The same with options of the JVM, and perhaps another main class. */
    NodeProcess(NodeFixture fixture, String discovery, List<String> jvmOptions, Class<?> main)
            throws Exception {
        this(fixture, discovery, jvmOptions, main, null, freeAddress());
    }

    /** The same, with the folder that the processes of an upgrade share, and the callers' address. */
    NodeProcess(NodeFixture fixture, String discovery, List<String> jvmOptions, Class<?> main, Path folder,
            InetSocketAddress address) throws Exception {
        this.fixture = fixture;
        this.address = address;
        adminAddress = freeAddress();
        config = fixture.config()
                .replace("\"admin_addr\":\"127.0.0.1:0\"", "\"admin_addr\":\"" + format(adminAddress) + "\"")
                .replace("127.0.0.1:0", format(address));
        Files.writeString(file, config.replace(fixture.discovery.address(), discovery));
        process = DrainTest.start(jvmOptions, main, folder, file, "serve");
        Thread reader = new Thread(this::readLog);
        reader.setDaemon(true);
        reader.start();
    }

    private void readLog() {
        try (BufferedReader lines = process.errorReader()) {
            lines.lines().forEach(log::add);
        } catch (IOException | UncheckedIOException e) {
            // The process has ended.
        }
    }

    /** Returns the lines that the process has logged so far. */
    List<String> log() {
        return List.copyOf(log);
    }

    static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket free = new ServerSocket(0)) {
            return new InetSocketAddress(InetAddress.getLoopbackAddress(), free.getLocalPort());
        }
    }

    private static String format(InetSocketAddress loopback) {
        return "127.0.0.1:" + loopback.getPort();
    }

    /** Returns the process's metrics; it needs an admin endpoint. */
    String stats() throws IOException {
        try (HttpPeer operator = HttpPeer.connect(adminAddress)) {
            operator.write("GET /ops/stats HTTP/1.1\r\nHost: ops\r\n\r\n");
            return operator.read().body();
        }
    }

    /**
     * Sends a small request on a new connection and returns the status, or why there is none in time.
     *
     * @param timeMs the request's time
     * @param graceMs how long after that its answer may come
     */
    String small(int timeMs, int graceMs) {
        try (HttpPeer caller = HttpPeer.connect(address)) {
            caller.socket.setSoTimeout(timeMs + graceMs);
            caller.write(NodeFixture.get("small", String.valueOf(timeMs / 1e3)));
            HttpPeer.Message answer = caller.read();
            return answer == null ? "closed" : String.valueOf(answer.status());
        } catch (IOException e) {
            return e.toString();
        }
    }

    /** Waits until the process takes callers; it needs an admin endpoint. */
    void awaitReady() {
        while (true) {
            assertTrue(process.isAlive(), () -> String.join("\n", log()));
            try (HttpPeer operator = HttpPeer.connect(adminAddress)) {
                operator.write("GET /ops/readiness HTTP/1.1\r\nHost: ops\r\n\r\n");
                if (operator.read().status() == 200) {
                    return;
                }
            } catch (IOException e) {
                Thread.onSpinWait();
            }
        }
    }

    /** Returns the most memory that the process has held so far, in KB. */
    long peakMemoryKb() throws IOException {
        return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                .filter(line -> line.startsWith("VmHWM:"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", ""))).findFirst().orElseThrow();
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
