package cranedeal.node;

import cranedeal.node.discovery.CallEnd;
import cranedeal.lab.slope.Point;
import cranedeal.lab.slope.SlopeReport;
import cranedeal.lab.slope.SlopeReport.Basis;
import cranedeal.lab.standin.DiscoveryServer;
import cranedeal.lab.standin.LabClock;
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
 * Calls and bytes of a balancer's watch on discovery, counted on the way between the program's client and the
 * lab's discovery, by the length of the list. No test: run by name.
 */
class DiscoveryBenchmark {

    private static final String COMMAND = "mvn -B test -Dtest=DiscoveryBenchmark";
    private static final int REPEATS = 3;
    private static final int CALM_CALLS = 2;
    private static final int CHANGES = 20;
    /** Between two changes of which each is to have an answer of its own. */
    private static final int APART_MS = 100;
    private static final int RELEASE_MS = 5_000;
    private static final int ZONES = 6;
    /** Until all that was told is told. */
    private static final int QUIET_MS = 500;
    private static final int REPLACED_A_DAY = 42;
    private static final double S = 1_000;
    private static final double NANOS_PER_MS = 1e6;

    @TempDir
    private Path folder;

    /** What passed in some time. */
    private record Passed(long calls, long bytes) {

        Passed since(Passed before) {
            return new Passed(calls - before.calls, bytes - before.bytes);
        }
    }

    /** Passes on what client and discovery send, and counts it. */
    private static final class Counter implements AutoCloseable {

        private final ServerSocket listening = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        private final InetSocketAddress to;
        private final AtomicLong calls = new AtomicLong();
        private final AtomicLong bytes = new AtomicLong();
        private final List<Socket> sockets = new ArrayList<>();

        Counter(InetSocketAddress to) throws IOException {
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
                    daemon(() -> pass(client, server, true));
                    daemon(() -> pass(server, client, false));
                }
            } catch (IOException e) {
                // Closed: there are no more.
            }
        }

        private void pass(Socket from, Socket into, boolean calling) {
            byte[] buffer = new byte[1 << 16];
            try (InputStream in = from.getInputStream(); OutputStream out = into.getOutputStream()) {
                for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                    bytes.addAndGet(read);
                    // A call is written at once, and the next one only after its answer.
                    calls.addAndGet(calling ? 1 : 0);
                    out.write(buffer, 0, read);
                }
            } catch (IOException e) {
                // Its other end is closed.
            }
        }

        Passed passed() {
            return new Passed(calls.get(), bytes.get());
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

    /** What one play showed. */
    private record Seen(Passed whole, Passed calm, double calmMs, Passed changes, Passed release,
            Passed zone) { }

    @Test
    void measure() throws Exception {
        Map<Integer, List<Seen>> runs = new LinkedHashMap<>();
        // Side by side, since all do little but wait.
        ExecutorService threads = Executors.newFixedThreadPool(ListBenchmark.SIZES.length);
        try {
            for (int repeat = 0; repeat < REPEATS; repeat++) {
                Map<Integer, Future<Seen>> plays = new LinkedHashMap<>();
                for (int size : ListBenchmark.SIZES) {
                    plays.put(size, threads.submit(() -> play(size)));
                }
                for (Map.Entry<Integer, Future<Seen>> one : plays.entrySet()) {
                    runs.computeIfAbsent(one.getKey(), absent -> new ArrayList<>()).add(one.getValue().get());
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

    /** What a series takes of a play. */
    private interface Figure {
        double of(int size, Seen seen);
    }

    private static void add(SlopeReport report, String name, String unit, Map<Integer, List<Seen>> runs,
            Figure figure) {
        report.add(name, unit, Basis.MEASURED, runs.entrySet().stream().map(one -> new Point(one.getKey(),
                one.getValue().stream().map(seen -> figure.of(one.getKey(), seen)).toList())).toList());
    }

    private Seen play(int size) throws Exception {
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
            try (Counter counter = new Counter(at)) {
                Path file = folder.resolve("config-" + size + ".json");
                Files.writeString(file, fixture.config().replace(fixture.discovery.address(),
                        "127.0.0.1:" + counter.listening.getLocalPort()));
                return play(size, server, counter, NodeConfig.read(file.toString()),
                        loops.next());
            }
        } finally {
            if (server != null) {
                server.close();
            }
            loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        }
    }

    private Seen play(int size, DiscoveryServer server, Counter counter, NodeConfig config, EventLoop loop)
            throws Exception {
        AtomicLong told = new AtomicLong();
        DiscoveryClient discovery = loop.submit(() -> new DiscoveryClient(loop, new Clock()::now,
                config.discoveryOptions(), config::parseList, UnpooledByteBufAllocator.DEFAULT,
                new DiscoveryClient.Listener() {
                    @Override
                    public void changed(UpstreamList list) {
                        told.incrementAndGet();
                    }

                    @Override
                    public void callFailed(CallEnd how) {
                        told.addAndGet(1_000_000);
                    }
                })).sync().getNow();
        Passed before = counter.passed();
        loop.submit(discovery::fetch).sync();
        // The first call of a process takes long, and half of it would be counted otherwise.
        while (told.get() == 0) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
        final Passed whole = counter.passed().since(before);
        loop.submit(() -> discovery.watch(true)).sync();
        Thread.sleep(QUIET_MS);
        // From call to call, since a time that cuts into a watch counts too many or too few.
        before = nextCall(counter);
        final long calmFrom = System.nanoTime();
        Passed after = before;
        for (int i = 0; i < CALM_CALLS; i++) {
            after = nextCall(counter);
        }
        final double calmMs = (System.nanoTime() - calmFrom) / NANOS_PER_MS;
        final Passed calm = after.since(before);
        before = counter.passed();
        for (int i = 0; i < CHANGES; i++) {
            server.state(ListBenchmark.id(0), i % 2 == 0 ? "draining" : "up").sync();
            Thread.sleep(APART_MS);
        }
        final Passed changes = counter.passed().since(before);
        before = counter.passed();
        long began = System.nanoTime();
        for (int i = 0; i < size; i++) {
            server.state(ListBenchmark.id(i), "draining").sync();
            sleepUntil(began, (2 * i + 1) * (double) RELEASE_MS / (2 * size));
            server.started(ListBenchmark.id(i), 1_764_600_000_000L + i).sync();
            sleepUntil(began, (2 * i + 2) * (double) RELEASE_MS / (2 * size));
        }
        final Passed release = counter.passed().since(before);
        Thread.sleep(QUIET_MS);
        before = counter.passed();
        for (int i = 0; i < size; i += ZONES) {
            server.started(ListBenchmark.id(i), 1_764_600_100_000L);
        }
        Thread.sleep(QUIET_MS);
        Passed zone = counter.passed().since(before);
        loop.submit(() -> discovery.watch(false)).sync();
        if (told.get() >= 1_000_000) {
            throw new AssertionError("a call to discovery failed");
        }
        return new Seen(whole, calm, calmMs, changes, release, zone);
    }

    /** Waits until a further call has come; its answer is yet to come. */
    private static Passed nextCall(Counter counter) throws InterruptedException {
        long calls = counter.passed().calls();
        while (counter.passed().calls() == calls) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
        return counter.passed();
    }

    private static void sleepUntil(long began, double ms) throws InterruptedException {
        long left = began + (long) (ms * NANOS_PER_MS) - System.nanoTime();
        if (left > 0) {
            TimeUnit.NANOSECONDS.sleep(left);
        }
    }
}
