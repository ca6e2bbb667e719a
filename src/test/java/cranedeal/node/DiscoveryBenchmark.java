package cranedeal.node;

import cranedeal.lab.slope.Point;
import cranedeal.lab.slope.SlopeReport.Basis;
import cranedeal.lab.slope.SlopeReport;
import cranedeal.lab.standin.DiscoveryServer;
import cranedeal.lab.standin.LabClock;
import cranedeal.node.discovery.CallEnd;
import cranedeal.node.discovery.DiscoveryClient;
import cranedeal.node.discovery.UpstreamList;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Measures the calls and bytes of a balancer's watch of discovery by the length of the list. A proxy between
 * the program's client and the lab's discovery counts them. This is not a test; run it by name.
 */
class DiscoveryBenchmark {

    private static final String COMMAND = "mvn -B test -Dtest=DiscoveryBenchmark";
    private static final int REPEATS = 3;
    private static final int IDLE_CALLS = 2;
    private static final int CHANGES = 20;
    /** The interval between two changes, so that each gets its own answer. */
    private static final int CHANGE_INTERVAL_MS = 100;
    private static final int RELEASE_MS = 5_000;
    private static final int ZONES = 6;
    /** The time after which all pending changes have been delivered. */
    private static final int SETTLE_MS = 500;
    private static final int REPLACED_A_DAY = 42;
    private static final double S = 1_000;
    private static final double NANOS_PER_MS = 1e6;

    @TempDir
    private Path folder;

    /** The number of calls and bytes that were forwarded. */
    private record Traffic(long calls, long bytes) {

        Traffic since(Traffic before) {
            return new Traffic(calls - before.calls, bytes - before.bytes);
        }
    }

    /** A proxy between client and discovery that counts the traffic. */
    private static final class CountingProxy implements AutoCloseable {

        private final ServerSocket listening = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        private final InetSocketAddress to;
        private final AtomicLong calls = new AtomicLong();
        private final AtomicLong bytes = new AtomicLong();
        private final List<Socket> sockets = new ArrayList<>();

        CountingProxy(InetSocketAddress to) throws IOException {
            this.to = to;
            daemon(this::accept);
        }

        private static void daemon(Runnable task) {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            thread.start();
        }

        private void accept() {
            try {
                while (true) {
                    Socket client = listening.accept();
                    Socket server = new Socket(to.getAddress(), to.getPort());
                    synchronized (sockets) {
                        sockets.addAll(List.of(client, server));
                    }
                    daemon(() -> forward(client, server, true));
                    daemon(() -> forward(server, client, false));
                }
            } catch (IOException e) {
                // The listening socket was closed.
            }
        }

        private void forward(Socket from, Socket into, boolean calling) {
            byte[] buffer = new byte[1 << 16];
            try (InputStream in = from.getInputStream(); OutputStream out = into.getOutputStream()) {
                for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                    bytes.addAndGet(read);
                    // Each read is one call: it is written at once, and the next one follows its answer.
                    calls.addAndGet(calling ? 1 : 0);
                    out.write(buffer, 0, read);
                }
            } catch (IOException e) {
                // The other end has closed the connection.
            }
        }

        Traffic traffic() {
            return new Traffic(calls.get(), bytes.get());
        }

        @Override
        public void close() throws IOException {
            listening.close();
            synchronized (sockets) {
                for (Socket socket : sockets) {
                    socket.close();
                }
            }
        }
    }

    /** The traffic of the phases of one run. */
    private record RunResult(Traffic whole, Traffic calm, double calmMs, Traffic changes, Traffic release,
            Traffic zone) { }

    @Test
    void measure() throws Exception {
        Map<Integer, List<RunResult>> runs = new LinkedHashMap<>();
        // Run in parallel, since all of them mostly wait.
        ExecutorService threads = Executors.newFixedThreadPool(ListBenchmark.SIZES.length);
        try {
            for (int repeat = 0; repeat < REPEATS; repeat++) {
                Map<Integer, Future<RunResult>> futures = new LinkedHashMap<>();
                for (int size : ListBenchmark.SIZES) {
                    futures.put(size, threads.submit(() -> run(size)));
                }
                for (Map.Entry<Integer, Future<RunResult>> entry : futures.entrySet()) {
                    runs.computeIfAbsent(entry.getKey(), absent -> new ArrayList<>())
                            .add(entry.getValue().get());
                }
            }
        } finally {
            threads.shutdownNow();
        }
        SlopeReport report = new SlopeReport("discovery", COMMAND, "upstream")
                .with("watch_ms", DiscoveryClient.MAX_WAIT_MS).with("release_ms", RELEASE_MS)
                .with("zones", ZONES).with("not_in_it", "TCP and IP headers");
        Map<Integer, List<Double>> points = new LinkedHashMap<>();
        add(report, "whole-list", "bytes", runs, (size, seen) -> seen.whole().bytes());
        add(report, "calm-calls", "calls/s", runs, (size, seen) -> seen.calm().calls() * S / seen.calmMs());
        add(report, "calm-bytes", "bytes/s", runs, (size, seen) -> seen.calm().bytes() * S / seen.calmMs());
        add(report, "change-calls", "calls/change", runs,
                (size, seen) -> (double) seen.changes().calls() / CHANGES);
        add(report, "change-bytes", "bytes/change", runs,
                (size, seen) -> (double) seen.changes().bytes() / CHANGES);
        add(report, "release-calls", "calls/s", runs,
                (size, seen) -> seen.release().calls() * S / RELEASE_MS);
        add(report, "release-bytes", "bytes/s", runs,
                (size, seen) -> seen.release().bytes() * S / RELEASE_MS);
        add(report, "zone-calls", "calls", runs, (size, seen) -> seen.zone().calls());
        add(report, "zone-bytes", "bytes", runs, (size, seen) -> seen.zone().bytes());
        for (int size : ListBenchmark.SIZES) {
            points.put(size, runs.get(size).stream().map(seen -> (seen.calm().bytes() * S / seen.calmMs())
                    + 2.0 * REPLACED_A_DAY * seen.changes().bytes() / CHANGES / (24 * 3_600)).toList());
        }
        report.add("ordinary-day-bytes", "bytes/s", Basis.RECKONED, ThreadCost.points(points));
        ListBenchmark.write(report, "discovery");
    }

    /** Computes the value of a series from a run. */
    private interface Measure {
        double of(int size, RunResult seen);
    }

    private static void add(SlopeReport report, String name, String unit, Map<Integer, List<RunResult>> runs,
            Measure measure) {
        report.add(name, unit, Basis.MEASURED, runs.entrySet().stream().map(entry -> new Point(entry.getKey(),
                entry.getValue().stream().map(seen -> measure.of(entry.getKey(), seen)).toList())).toList());
    }

    private RunResult run(int size) throws Exception {
        EventLoopGroup loops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
        DiscoveryServer server = null;
        InetAddress here = InetAddress.getByName("127.0.0.1");
        InetSocketAddress at;
        try (ServerSocket free = new ServerSocket(0)) {
            at = new InetSocketAddress(here, free.getLocalPort());
        }
        try (NodeFixture fixture = new NodeFixture(0)) {
            server = new DiscoveryServer(loops.next(), new LabClock(), 0, Map.of(here, 0),
                    Map.of(0, "n0"), (from, to) -> new InetSocketAddress("127.1." + to / 250 + "."
                    + (1 + to % 250), 8_081), event -> { });
            for (int i = 0; i < size; i++) {
                server.list(ListBenchmark.id(i), i, ListBenchmark.ZONES.get(i % ZONES),
                        ListBenchmark.KINDS.get(i % 2), i / 2, 1).sync();
            }
            server.bind(at);
            try (CountingProxy counter = new CountingProxy(at)) {
                Path file = folder.resolve("config-" + size + ".json");
                Files.writeString(file, fixture.config().replace(fixture.discovery.address(),
                        "127.0.0.1:" + counter.listening.getLocalPort()));
                return run(size, server, counter, NodeConfig.read(file.toString()),
                        loops.next());
            }
        } finally {
            if (server != null) {
                server.close();
            }
            loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        }
    }

    private RunResult run(int size, DiscoveryServer server, CountingProxy counter, NodeConfig config,
            EventLoop loop) throws Exception {
        AtomicLong events = new AtomicLong();
        DiscoveryClient discovery = loop.submit(() -> new DiscoveryClient(loop, new Clock()::now,
                config.discoveryOptions(), config::parseList, UnpooledByteBufAllocator.DEFAULT,
                new DiscoveryClient.Listener() {
                    @Override
                    public void changed(UpstreamList list) {
                        events.incrementAndGet();
                    }

                    @Override
                    public void callFailed(CallEnd how) {
                        events.addAndGet(1_000_000);
                    }
                })).sync().getNow();
        Traffic before = counter.traffic();
        loop.submit(discovery::fetch).sync();
        // The first call of a process takes long; without this wait only a part of it would be counted.
        while (events.get() == 0) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
        final Traffic whole = counter.traffic().since(before);
        loop.submit(() -> discovery.watch(true)).sync();
        Thread.sleep(SETTLE_MS);
        // Measured from call to call, since an interval that splits a watch call would miscount.
        before = nextCall(counter);
        final long calmFrom = System.nanoTime();
        Traffic after = before;
        for (int i = 0; i < IDLE_CALLS; i++) {
            after = nextCall(counter);
        }
        final double calmMs = (System.nanoTime() - calmFrom) / NANOS_PER_MS;
        final Traffic calm = after.since(before);
        before = counter.traffic();
        for (int i = 0; i < CHANGES; i++) {
            server.state(ListBenchmark.id(0), i % 2 == 0 ? "draining" : "up").sync();
            Thread.sleep(CHANGE_INTERVAL_MS);
        }
        final Traffic changes = counter.traffic().since(before);
        before = counter.traffic();
        long began = System.nanoTime();
        for (int i = 0; i < size; i++) {
            server.state(ListBenchmark.id(i), "draining").sync();
            sleepUntil(began, (2 * i + 1) * (double) RELEASE_MS / (2 * size));
            server.started(ListBenchmark.id(i), 1_764_600_000_000L + i).sync();
            sleepUntil(began, (2 * i + 2) * (double) RELEASE_MS / (2 * size));
        }
        final Traffic release = counter.traffic().since(before);
        Thread.sleep(SETTLE_MS);
        before = counter.traffic();
        for (int i = 0; i < size; i += ZONES) {
            server.started(ListBenchmark.id(i), 1_764_600_100_000L);
        }
        Thread.sleep(SETTLE_MS);
        Traffic zone = counter.traffic().since(before);
        loop.submit(() -> discovery.watch(false)).sync();
        if (events.get() >= 1_000_000) {
            throw new AssertionError("a call to discovery failed");
        }
        return new RunResult(whole, calm, calmMs, changes, release, zone);
    }

    /** Waits for the next call, whose answer is still outstanding. */
    private static Traffic nextCall(CountingProxy counter) throws InterruptedException {
        long calls = counter.traffic().calls();
        while (counter.traffic().calls() == calls) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
        return counter.traffic();
    }

    private static void sleepUntil(long began, double ms) throws InterruptedException {
        long left = began + (long) (ms * NANOS_PER_MS) - System.nanoTime();
        if (left > 0) {
            TimeUnit.NANOSECONDS.sleep(left);
        }
    }
}
