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
 * One balancer as it runs in service, before upstreams in a process of their own; the clients are this
 * process. Between them there is nothing but loopback.
 */
final class DataPathStage implements AutoCloseable {

    private static final String ADDRESS = "127.0.0.1";
    private static final long LOOK_EVERY_MS = 10;
    private static final long LONGEST_START_MS = 60_000;
    private static final int CONNECT_MS = 1_000;
    private static final int FIRST_PORT = 10_000;
    private static final int END_OF_PORTS = 32_000;
    private static final int PORT_TRIES = 100;
    private static final String OPTION = "-Xlog:gc,gc+heap:stdout:uptime";
    /** What the young generation held before a collection, as the virtual machine logs it. */
    private static final Pattern EDEN = Pattern.compile("\\[([0-9.]+)s\\].*Eden: (\\d+)K\\(");
    private static final String PREFIX = "edge_proxy.";
    private static final double NANOS_PER_US = 1e3;
    private static final int BYTES_PER_KB = 1_024;

    /** Runs on one processor and does nothing else, at normal priority. */
    private static final List<String> BUSY = List.of("sh", "-c", "while :; do :; done");

    /**
     * The processor that the balancer runs on.
     *
     * @param number as the kernel counts them; negative for any
     * @param competitors busy processes of normal priority that share it
     */
    record Processor(int number, int competitors) {

        /** Any, shared with nobody. */
        static final Processor ANY = new Processor(-1, 0);

        List<String> bind(List<String> command) {
            List<String> bound = new ArrayList<>(number < 0 ? List.of()
                    : List.of("taskset", "-c", Integer.toString(number)));
            bound.addAll(command);
            return bound;
        }
    }

    private final Path folder;
    private final ProcessSupervisor warden;
    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(2,
            new DefaultThreadFactory("data-path", true), NioIoHandler.newFactory());
    private final DiscoveryServer discovery;
    private final DataPathClient client;
    private final List<InetSocketAddress> upstreams;
    private final InetSocketAddress listen;
    private final InetSocketAddress admin;
    private final ChildProcess balancer;

    /**
     * Starts all of it, and returns when the balancer serves.
     *
     * @param program the command that runs the program, without its arguments
     * @param workUs how long each upstream takes for an answer, in microseconds
     */
    DataPathStage(List<String> program, int count, long workUs) throws IOException, InterruptedException {
        this(program, count, workUs, DataPathConfig.SOCKETS, Integer.MAX_VALUE, Processor.ANY);
    }

    /**
     * The same with a balancer that is short of something.
     *
     * @param sockets the descriptors that it may hold
     * @param mostConnections that the client may hold
     * @param processor what it runs on
     */
    DataPathStage(List<String> program, int count, long workUs, int sockets, int mostConnections,
            Processor processor) throws IOException, InterruptedException {
        client = new DataPathClient(loops.next(), mostConnections);
        folder = Files.createTempDirectory("data-path");
        warden = new ProcessSupervisor();
        Path ports = folder.resolve("ports");
        ChildProcess all = warden.start("upstreams", List.of(program.get(0), "-Xmx128m", "-cp",
                System.getProperty("java.class.path"), DataPathUpstreams.class.getName(),
                Integer.toString(count), Long.toString(workUs), ports.toString()), Map.of(),
                folder.resolve("upstreams.txt"));
        await(all, () -> Files.exists(ports));
        upstreams = Files.readAllLines(ports).stream()
                .map(port -> new InetSocketAddress(ADDRESS, Integer.parseInt(port))).toList();
        // Only now: thousands of upstreams would take a port that was free before.
        listen = free();
        admin = free();
        InetSocketAddress list = free();
        discovery = new DiscoveryServer(loops.next(), new LabClock(), 0,
                Map.of(InetAddress.getByName(ADDRESS), 0), Map.of(0, "n0"), (to, of) -> upstreams.get(of),
                event -> { });
        discovery.bind(list);
        for (int i = 0; i < count; i++) {
            discovery.list(DataPathConfig.id(i), i, DataPathConfig.ZONE, DataPathConfig.KIND, 0, 1).sync();
        }
        Path config = folder.resolve("config.json");
        Files.writeString(config,
                DataPathConfig.of(listen, list, admin, upstreams, sockets).toPrettyString());
        List<String> command = new ArrayList<>(program);
        command.add(1, OPTION);
        command.add("serve");
        balancer = warden.start("balancer", processor.bind(command),
                Map.of("PROXY_CONFIG", config.toString()), log());
        await(balancer, this::listens);
        for (int i = 0; i < processor.competitors(); i++) {
            warden.start("busy" + i, processor.bind(BUSY), Map.of(), folder.resolve("busy.txt"));
        }
    }

    private interface Condition {
        boolean holds() throws IOException;
    }

    private void await(ChildProcess child, Condition until) throws IOException, InterruptedException {
        for (long waited = 0; !until.holds(); waited += LOOK_EVERY_MS) {
            if (!child.isAlive() || waited > LONGEST_START_MS) {
                close();
                throw new IOException(child.name() + " does not serve");
            }
            TimeUnit.MILLISECONDS.sleep(LOOK_EVERY_MS);
        }
    }

    private boolean listens() {
        try (Socket socket = new Socket()) {
            socket.connect(listen, CONNECT_MS);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /**
     * A port that nobody holds now, from below those that the kernel deals out by itself: a connection of
     * somebody else can't have taken it by the time it is bound.
     */
    static InetSocketAddress free() throws IOException {
        for (int i = 0; i < PORT_TRIES; i++) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, END_OF_PORTS);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(ADDRESS))) {
                return new InetSocketAddress(ADDRESS, socket.getLocalPort());
            } catch (BindException e) {
                // Somebody holds it: another one, then.
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
     * The processor time that the balancer has used so far, in microseconds: of its threads as they are, in
     * nanoseconds by the kernel, where the process's own count goes in steps of 10 ms.
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

    /** The list that the balancer has, to be changed by discovery. */
    DiscoveryServer discovery() {
        return discovery;
    }

    /** The descriptors that the balancer holds now. */
    int descriptors() throws IOException {
        try (Stream<Path> open = Files.list(Path.of("/proc", Long.toString(balancer.pid()), "fd"))) {
            return (int) open.count();
        }
    }

    /** All figures that the balancer tells its operators, a line each. */
    String figures() {
        try (Socket socket = new Socket()) {
            socket.connect(admin, CONNECT_MS);
            socket.getOutputStream().write("GET /ops/stats HTTP/1.1\r\nHost: ops\r\n\r\n"
                    .getBytes(StandardCharsets.ISO_8859_1));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** One of these figures; throws {@link java.util.NoSuchElementException} if there is none so named. */
    long figure(String name) {
        String line = PREFIX + name + "=";
        return figures().lines().filter(one -> one.startsWith(line))
                .mapToLong(one -> Long.parseLong(one.substring(line.length()))).findFirst().orElseThrow();
    }

    /** All figures by name, without the prefix that they share. */
    Map<String, Long> allFigures() {
        Map<String, Long> byName = new LinkedHashMap<>();
        figures().lines().filter(line -> line.startsWith(PREFIX)).forEach(line -> {
            int equals = line.lastIndexOf('=');
            byName.put(line.substring(PREFIX.length(), equals), Long.valueOf(line.substring(equals + 1)));
        });
        return byName;
    }

    /** The balancer, for faults of its process. */
    ChildProcess balancer() {
        return balancer;
    }

    /** The most memory that the balancer has had resident so far. */
    long peakKb() throws IOException {
        return Files.readAllLines(Path.of("/proc", Long.toString(balancer.pid()), "status")).stream()
                .filter(line -> line.startsWith("VmHWM:"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", ""))).findFirst().orElseThrow();
    }

    /** The balancer's resident memory. */
    long rssKb() throws IOException {
        return balancer.usage().orElseThrow(() -> new IOException("the balancer has ended")).rssKb();
    }

    /** A mark in the balancer's log, to count from. */
    long mark() throws IOException {
        return Files.size(log());
    }

    /**
     * Bytes that the balancer has allocated a second on its heap since a mark, between the first and the last
     * collection since; NaN where there were not two.
     */
    double allocatedPerS(long mark) throws IOException {
        byte[] all = Files.readAllBytes(log());
        return allocatedPerS(new String(all, (int) mark, all.length - (int) mark,
                StandardCharsets.ISO_8859_1));
    }

    static double allocatedPerS(String log) {
        Matcher matcher = EDEN.matcher(log);
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
        warden.close();
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
