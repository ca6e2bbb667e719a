package cranedeal.lab.slope;

import cranedeal.lab.process.ChildProcess;
import cranedeal.lab.process.ProcessSupervisor;
import cranedeal.lab.standin.DiscoveryServer;
import cranedeal.lab.standin.LabClock;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Runs one balancer process as in production, with its upstreams in a second process and discovery and the
 * clients in this one. All traffic goes over loopback.
 */
final class DataPathBench implements AutoCloseable {

    private static final String ADDRESS = "127.0.0.1";
    private static final long POLL_INTERVAL_MS = 10;
    private static final long START_TIMEOUT_MS = 60_000;
    private static final int CONNECT_MS = 1_000;
    private static final int FIRST_PORT = 10_000;
    private static final int END_OF_PORTS = 32_000;
    private static final int MAX_PORT_ATTEMPTS = 100;
    private static final String GC_LOG_OPTION = "-Xlog:gc,gc+heap:stdout:uptime";
    /** Matches the size of the eden space before a collection in the JVM's GC log. */
    private static final Pattern EDEN_SIZE = Pattern.compile("\\[([0-9.]+)s\\].*Eden: (\\d+)K\\(");
    private static final String METRIC_PREFIX = "edge_proxy.";
    private static final double NANOS_PER_US = 1e3;
    private static final int BYTES_PER_KB = 1_024;

    /** A busy loop at normal priority. */
    private static final List<String> BUSY_LOOP = List.of("sh", "-c", "while :; do :; done");

    /**
     * The processor that the balancer runs on.
     *
     * @param number the kernel's processor number; negative for any processor
     * @param competitors busy processes of normal priority on the same processor
     */
    record Processor(int number, int competitors) {

        /** Any processor, without competing processes. */
        static final Processor ANY = new Processor(-1, 0);

        List<String> bind(List<String> command) {
            List<String> bound = new ArrayList<>(number < 0 ? List.of()
                    : List.of("taskset", "-c", Integer.toString(number)));
            bound.addAll(command);
            return bound;
        }
    }

    private final Path folder;
    private final ProcessSupervisor supervisor;
    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(2,
            new DefaultThreadFactory("data-path", true), NioIoHandler.newFactory());
    private final DiscoveryServer discovery;
    private final DataPathClient client;
    private final List<InetSocketAddress> upstreams;
    private final InetSocketAddress listen;
    private final InetSocketAddress admin;
    private final ChildProcess balancer;

    /**
     * Starts all processes and returns when the balancer accepts connections.
     *
     * @param program the command that runs the program, without its arguments
     * @param workUs how long each upstream takes to answer, in microseconds
     */
    DataPathBench(List<String> program, int count, long workUs) throws IOException, InterruptedException {
        this(program, count, workUs, DataPathConfig.DEFAULT_SOCKETS, Integer.MAX_VALUE, Processor.ANY);
    }

    /**
     * Starts all processes with limited resources for the balancer.
     *
     * @param sockets limit on the balancer's file descriptors
     * @param mostConnections limit on the client's connections
     * @param processor the processor that the balancer runs on
     */
    DataPathBench(List<String> program, int count, long workUs, int sockets, int mostConnections,
            Processor processor) throws IOException, InterruptedException {
        client = new DataPathClient(loops.next(), mostConnections);
        folder = Files.createTempDirectory("data-path");
        supervisor = new ProcessSupervisor();
        Path ports = folder.resolve("ports");
        ChildProcess all = supervisor.start("upstreams", List.of(program.get(0), "-Xmx128m", "-cp",
                System.getProperty("java.class.path"), DataPathUpstreams.class.getName(),
                Integer.toString(count), Long.toString(workUs), ports.toString()), Map.of(),
                folder.resolve("upstreams.txt"));
        await(all, () -> Files.exists(ports));
        upstreams = Files.readAllLines(ports).stream()
                .map(port -> new InetSocketAddress(ADDRESS, Integer.parseInt(port))).toList();
        // Chosen after the upstreams have bound their ports, as thousands of them could take a free port.
        listen = freeAddress();
        admin = freeAddress();
        InetSocketAddress list = freeAddress();
        discovery = new DiscoveryServer(loops.next(), new LabClock(), 0,
                Map.of(InetAddress.getByName(ADDRESS), 0), Map.of(0, "n0"), (to, of) -> upstreams.get(of),
                event -> { });
        discovery.bind(list);
        for (int i = 0; i < count; i++) {
            discovery.list(DataPathConfig.id(i), i, DataPathConfig.ZONE, DataPathConfig.MACHINE_TYPE, 0, 1)
                    .sync();
        }
        Path config = folder.resolve("config.json");
        Files.writeString(config,
                DataPathConfig.of(listen, list, admin, upstreams, sockets).toPrettyString());
        List<String> command = new ArrayList<>(program);
        command.add(1, GC_LOG_OPTION);
        command.add("serve");
        balancer = supervisor.start("balancer", processor.bind(command),
                Map.of("PROXY_CONFIG", config.toString()), log());
        await(balancer, this::acceptsConnections);
        for (int i = 0; i < processor.competitors(); i++) {
            supervisor.start("busy" + i, processor.bind(BUSY_LOOP), Map.of(), folder.resolve("busy.txt"));
        }
    }

    private interface Condition {
        boolean holds() throws IOException;
    }

    private void await(ChildProcess child, Condition until) throws IOException, InterruptedException {
        for (long waited = 0; !until.holds(); waited += POLL_INTERVAL_MS) {
            if (!child.isAlive() || waited > START_TIMEOUT_MS) {
                close();
                throw new IOException(child.name() + " exited or did not accept connections in time");
            }
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
        }
    }

    private boolean acceptsConnections() {
        try (Socket socket = new Socket()) {
            socket.connect(listen, CONNECT_MS);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /**
     * Finds a port that is free now, below the kernel's ephemeral range, so that an outgoing connection of
     * another process can't take it before it is bound.
     */
    static InetSocketAddress freeAddress() throws IOException {
        for (int i = 0; i < MAX_PORT_ATTEMPTS; i++) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, END_OF_PORTS);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(ADDRESS))) {
                return new InetSocketAddress(ADDRESS, socket.getLocalPort());
            } catch (BindException e) {
                // The port is in use; try another.
                continue;
            }
        }
        throw new IOException("no free port from " + FIRST_PORT + " to " + END_OF_PORTS);
    }

    private Path log() {
        return folder.resolve("balancer.txt");
    }

    List<InetSocketAddress> upstreams() {
        return upstreams;
    }

    InetSocketAddress listen() {
        return listen;
    }

    DataPathClient client() {
        return client;
    }

    /**
     * Returns the processor time that the balancer's live threads have used so far, in microseconds. It sums
     * the per-thread counters, which the kernel keeps in nanoseconds; the process's own counter has a
     * resolution of only 10 ms.
     */
    double cpuUs() throws IOException {
        double nanos = 0;
        try (Stream<Path> threads = Files.list(Path.of("/proc", Long.toString(balancer.pid()), "task"))) {
            for (Path thread : threads.toList()) {
                nanos += Double.parseDouble(Files.readString(thread.resolve("schedstat")).split(" ")[0]);
            }
        }
        return nanos / NANOS_PER_US;
    }

    /** The discovery server, through which a test changes the balancer's upstream list. */
    DiscoveryServer discovery() {
        return discovery;
    }

    /** Returns the number of file descriptors that the balancer has open. */
    int descriptors() throws IOException {
        try (Stream<Path> open = Files.list(Path.of("/proc", Long.toString(balancer.pid()), "fd"))) {
            return (int) open.count();
        }
    }

    /** Returns the balancer's metrics from the admin endpoint, one per line. */
    String metricsText() {
        try (Socket socket = new Socket()) {
            socket.connect(admin, CONNECT_MS);
            socket.getOutputStream().write("GET /ops/stats HTTP/1.1\r\nHost: ops\r\n\r\n"
                    .getBytes(StandardCharsets.ISO_8859_1));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns one metric; throws {@link java.util.NoSuchElementException} if it does not exist. */
    long metric(String name) {
        String line = METRIC_PREFIX + name + "=";
        return metricsText().lines().filter(candidate -> candidate.startsWith(line))
                .mapToLong(match -> Long.parseLong(match.substring(line.length()))).findFirst().orElseThrow();
    }

    /** Returns all metrics by name, without their common prefix. */
    Map<String, Long> allMetrics() {
        Map<String, Long> byName = new LinkedHashMap<>();
        metricsText().lines().filter(line -> line.startsWith(METRIC_PREFIX)).forEach(line -> {
            int equals = line.lastIndexOf('=');
            byName.put(line.substring(METRIC_PREFIX.length(), equals),
                    Long.valueOf(line.substring(equals + 1)));
        });
        return byName;
    }

    /** The balancer's process, for injecting faults into it. */
    ChildProcess balancer() {
        return balancer;
    }

    /** Returns the balancer's peak resident memory in kB. */
    long peakKb() throws IOException {
        return Files.readAllLines(Path.of("/proc", Long.toString(balancer.pid()), "status")).stream()
                .filter(line -> line.startsWith("VmHWM:"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", ""))).findFirst().orElseThrow();
    }

    /** Returns the balancer's resident memory in kB. */
    long rssKb() throws IOException {
        return balancer.usage().orElseThrow(() -> new IOException("the balancer has ended")).rssKb();
    }

    /** Returns the current size of the balancer's log, as a start for {@link #allocatedPerS(long)}. */
    long logPosition() throws IOException {
        return Files.size(log());
    }

    /**
     * Returns the heap bytes that the balancer allocated per second between the first and the last garbage
     * collection logged after the mark; NaN if there were fewer than two collections.
     */
    double allocatedPerS(long mark) throws IOException {
        byte[] all = Files.readAllBytes(log());
        return allocatedPerS(new String(all, (int) mark, all.length - (int) mark,
                StandardCharsets.ISO_8859_1));
    }

    static double allocatedPerS(String log) {
        Matcher matcher = EDEN_SIZE.matcher(log);
        double first = Double.NaN;
        double last = Double.NaN;
        double bytes = 0;
        while (matcher.find()) {
            last = Double.parseDouble(matcher.group(1));
            if (Double.isNaN(first)) {
                first = last;
            } else {
                bytes += Double.parseDouble(matcher.group(2)) * BYTES_PER_KB;
            }
        }
        return last > first ? bytes / (last - first) : Double.NaN;
    }

    @Override
    public void close() throws IOException {
        supervisor.close();
        if (discovery != null) {
            discovery.close();
        }
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
