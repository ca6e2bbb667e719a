package cranedeal.node;

import cranedeal.lab.slope.SlopeReport;
import cranedeal.lab.slope.SlopeReport.Basis;
import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Measures how long a new configuration takes to be in force on all of several balancer processes on one
 * machine when a script does it: process by process it writes the file and sends SIGHUP, and each process
 * logs when the configuration is in force. Not a test: run it by name, on an idle machine.
 */
class HangUpBenchmark {

    private static final String COMMAND = "mvn -B test -Dtest=HangUpBenchmark";
    private static final int[] FLEET_SIZES = {4, 8, 16, 24};
    private static final int REPEATS = 5;
    private static final int UPSTREAMS = 25;
    private static final String IN_FORCE_LOG_LINE = "goes by a new configuration";
    private static final long TIMEOUT_S = 60;
    private static final double NANOS_PER_MS = 1e6;
    /** Those of the JVM flags used in service that affect a process's speed. */
    private static final List<String> FLAGS = List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1",
            "-Xms24m", "-Xmx64m", "-XX:-UsePerfData");

    @TempDir
    private Path folder;

    /** A balancer process, and how often it has logged that a new configuration is in force. */
    private static final class Balancer {

        private final Process process;
        private final Path file;
        private final AtomicInteger inForceCount = new AtomicInteger();

        Balancer(Process process, Path file) {
            this.process = process;
            this.file = file;
            Thread reader = new Thread(this::read);
            reader.setDaemon(true);
            reader.start();
        }

        private void read() {
            try (BufferedReader log = process.inputReader(StandardCharsets.UTF_8)) {
                for (String line = log.readLine(); line != null; line = log.readLine()) {
                    if (line.contains(IN_FORCE_LOG_LINE)) {
                        synchronized (inForceCount) {
                            inForceCount.incrementAndGet();
                            inForceCount.notifyAll();
                        }
                    }
                }
            } catch (IOException e) {
                // The process has ended.
            }
        }

        void await(int times) throws InterruptedException {
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
            synchronized (inForceCount) {
                while (inForceCount.get() < times) {
                    if (System.nanoTime() > end || !process.isAlive()) {
                        throw new AssertionError("a configuration did not come into force");
                    }
                    inForceCount.wait(1_000);
                }
            }
        }
    }

    @Test
    void measure() throws Exception {
        SlopeReport report = new SlopeReport("hang-up", COMMAND, "process").with("upstreams", UPSTREAMS)
                .with("flags", FLAGS).with("not_in_it", "the way to other machines, and whoever types it");
        Map<Integer, List<Double>> timesMs = new LinkedHashMap<>();
        try (NodeFixture fixture = new NodeFixture(0)) {
            String config = fixture.config().replace(NodeFixture.listJson(41, true),
                    ListBenchmark.list(UPSTREAMS))
                    .replace("[\"dakar-a\"]", names(ListBenchmark.ZONES))
                    .replace("[\"front-mid\"]", names(ListBenchmark.KINDS));
            for (int size : FLEET_SIZES) {
                timesMs.put(size, run(config, size));
            }
        }
        report.add("in-force-on-all", "ms", Basis.MEASURED, ThreadCost.points(timesMs));
        Map<Integer, List<Double>> steps = new LinkedHashMap<>();
        IntStream.of(FLEET_SIZES).forEach(size -> steps.put(size, List.of(2.0 * size)));
        report.add("steps", "steps", Basis.RECKONED, ThreadCost.points(steps));
        ListBenchmark.write(report, "hang-up");
    }

    private static String names(List<String> names) {
        return "[\"" + String.join("\",\"", names) + "\"]";
    }

    private List<Double> run(String config, int size) throws Exception {
        List<Balancer> balancers = new ArrayList<>();
        List<Double> timesMs = new ArrayList<>();
        try {
            for (int i = 0; i < size; i++) {
                balancers.add(start(config, size + "-" + i));
            }
            // The first one is not counted: it loads classes, and a process reloads hundreds of times a day.
            for (int repeat = 0; repeat <= REPEATS; repeat++) {
                String changed = config.replace("\"worth\":8.0", "\"worth\":" + (9 + repeat) + ".0");
                long began = System.nanoTime();
                for (Balancer balancer : balancers) {
                    Files.writeString(balancer.file, changed.replace("\"127.0.0.1:0\"", port(balancer.file)));
                    new ProcessBuilder("kill", "-HUP",
                            Long.toString(balancer.process.pid())).start().waitFor();
                }
                for (Balancer balancer : balancers) {
                    balancer.await(repeat + 1);
                }
                if (repeat > 0) {
                    timesMs.add((System.nanoTime() - began) / NANOS_PER_MS);
                }
            }
        } finally {
            for (Balancer balancer : balancers) {
                balancer.process.destroyForcibly().waitFor();
            }
        }
        return timesMs;
    }

    /** Returns the JSON text of the listening address; the port stays when the file is replaced. */
    private static String port(Path file) throws IOException {
        return "\"127.0.0.1:" + Files.readString(file.resolveSibling("port")) + "\"";
    }

    private Balancer start(String config, String name) throws Exception {
        Path directory = Files.createDirectory(folder.resolve(name));
        Path temporary = Files.createDirectory(directory.resolve("tmp"));
        Path file = directory.resolve("config.json");
        int port;
        try (ServerSocket free = new ServerSocket(0)) {
            port = free.getLocalPort();
        }
        Files.writeString(directory.resolve("port"), Integer.toString(port));
        Files.writeString(file, config.replace("\"127.0.0.1:0\"", port(file)));
        List<String> command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java")
                .toString()));
        command.addAll(FLAGS);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "cranedeal.node.Main", "serve"));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().put("PROXY_CONFIG", file.toString());
        builder.environment().put("TMPDIR", temporary.toString());
        Balancer balancer = new Balancer(builder.start(), file);
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        while (true) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress("127.0.0.1", port));
                return balancer;
            } catch (IOException e) {
                if (System.nanoTime() > end || !balancer.process.isAlive()) {
                    balancer.process.destroyForcibly();
                    throw e;
                }
                TimeUnit.MILLISECONDS.sleep(20);
            }
        }
    }
}
