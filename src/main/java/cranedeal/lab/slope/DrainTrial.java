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
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Real balancers before upstreams of which half leave the list in one change, and go on answering, while
 * discovery is in trouble. Shows how long requests still come to those that have left.
 */
final class DrainTrial implements AutoCloseable {

    /** From the change to the last request: 6 s until it counts as told, the grace of 2 s, and 50 ms. */
    static final double LATEST_MS = 8_050;
    private static final String ADDRESS = "127.0.0.1";
    private static final double WARM_UP_S = 2;
    private static final double TROUBLE_S = 6;
    private static final long LONGEST_START_MS = 60_000;
    private static final long LOOK_EVERY_MS = 10;
    private static final int CONNECT_MS = 1_000;
    private static final double NANOS_PER_MS = 1e6;
    private static final double MS_PER_S = 1e3;

    /**
     * One trial.
     *
     * @param rate requests a second over all balancers
     * @param afterS how long requests go on after the change, in seconds
     * @param faults what happens to balancers before it
     */
    record Plan(int upstreams, int balancers, double rate, double afterS, DiscoveryTrouble trouble,
            List<BalancerFault> faults, long seed) { }

    /**
     * What was seen.
     *
     * @param lastMs from the change to the last request to an upstream that had left; 0 if none came
     * @param late how many came later than {@link #LATEST_MS}
     */
    record Seen(double lastMs, long late, DataPathClient.Results requests, long listBytes) { }

    private final Path folder = Files.createTempDirectory("drain");
    private final ProcessSupervisor warden = new ProcessSupervisor();
    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(2,
            new DefaultThreadFactory("drain", true), NioIoHandler.newFactory());
    private final Plan plan;
    private final CountingUpstreams upstreams;
    private final DiscoveryServer discovery;
    private final List<InetSocketAddress> listening = new ArrayList<>();
    private final List<String> command = new ArrayList<>();
    private final ChildProcess[] balancers;
    private volatile long changedAt;

    /** Starts all balancers side by side, and returns when they serve. */
    DrainTrial(List<String> program, Plan plan) throws IOException, InterruptedException {
        this.plan = plan;
        command.addAll(program);
        command.add("serve");
        balancers = new ChildProcess[plan.balancers()];
        upstreams = new CountingUpstreams(loops, plan.upstreams());
        InetSocketAddress list = DataPathBench.freeAddress();
        discovery = new DiscoveryServer(loops.next(), new LabClock(), 0,
                Map.of(InetAddress.getByName(ADDRESS), 0), Map.of(0, "n0"),
                (to, of) -> upstreams.addresses().get(of), event -> { });
        discovery.bind(list);
        for (int i = 0; i < plan.upstreams(); i++) {
            discovery.list(DataPathConfig.id(i), i, DataPathConfig.ZONE, DataPathConfig.MACHINE_TYPE, 0, 1)
                    .sync();
        }
        for (int i = 0; i < plan.balancers(); i++) {
            configure(list, i);
            start(i);
        }
        for (int i = 0; i < plan.balancers(); i++) {
            awaitListening(balancers[i], listening.get(i));
        }
    }

    private void configure(InetSocketAddress list, int number) throws IOException {
        InetSocketAddress listen = DataPathBench.freeAddress();
        listening.add(listen);
        Files.writeString(config(number), DataPathConfig.of(listen, list, DataPathBench.freeAddress(),
                upstreams.addresses(), DataPathConfig.DEFAULT_SOCKETS).put("seed", "%016x".formatted(
                        plan.seed() * plan.balancers() + number + 1)).toPrettyString());
    }

    private Path config(int number) {
        return folder.resolve("config" + number + ".json");
    }

    private void start(int number) throws IOException, InterruptedException {
        balancers[number] = warden.start("balancer" + number, command,
                Map.of("PROXY_CONFIG", config(number).toString()),
                folder.resolve("balancer" + number + ".txt"));
    }

    private void hit(BalancerFault fault) {
        try {
            if (fault.kind() == BalancerFault.Kind.RELOAD) {
                balancers[fault.balancer()].signal("HUP");
            } else {
                balancers[fault.balancer()].kill();
                balancers[fault.balancer()].onExit().join();
                start(fault.balancer());
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void awaitListening(ChildProcess balancer, InetSocketAddress listen)
            throws IOException, InterruptedException {
        for (long waited = 0; !listens(listen); waited += LOOK_EVERY_MS) {
            if (!balancer.isAlive() || waited > LONGEST_START_MS) {
                close();
                throw new IOException(balancer.name() + " does not serve");
            }
            TimeUnit.MILLISECONDS.sleep(LOOK_EVERY_MS);
        }
    }

    private static boolean listens(InetSocketAddress address) {
        try (Socket socket = new Socket()) {
            socket.connect(address, CONNECT_MS);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Plays it; returns when requests have gone on for long enough after the change. */
    Seen play() throws InterruptedException {
        ScheduledExecutorService clock = Executors.newSingleThreadScheduledExecutor();
        try {
            clock.schedule(() -> discovery.setPace(plan.trouble().pace()), (long) (WARM_UP_S * MS_PER_S),
                    TimeUnit.MILLISECONDS);
            for (BalancerFault fault : plan.faults()) {
                clock.schedule(() -> hit(fault),
                        (long) ((WARM_UP_S + TROUBLE_S - fault.beforeChangeS()) * MS_PER_S),
                        TimeUnit.MILLISECONDS);
            }
            clock.schedule(this::change, (long) ((WARM_UP_S + TROUBLE_S) * MS_PER_S), TimeUnit.MILLISECONDS);
            DataPathClient.Results block = new DataPathClient(loops.next()).run(listening, plan.rate(),
                    WARM_UP_S + TROUBLE_S + plan.afterS(), plan.seed());
            List<Double> after = upstreams.calls().stream().map(at -> (at - changedAt) / NANOS_PER_MS)
                    .filter(ms -> ms > 0).toList();
            return new Seen(after.stream().mapToDouble(ms -> ms).max().orElse(0),
                    after.stream().filter(ms -> ms > LATEST_MS).count(), block, discovery.listBytes());
        } finally {
            clock.shutdownNow();
        }
    }

    private void change() {
        discovery.addFaults(plan.trouble().faults());
        changedAt = System.nanoTime();
        discovery.remove(IntStream.range(0, plan.upstreams()).filter(CountingUpstreams::isRecorded)
                .mapToObj(DataPathConfig::id).toList());
    }

    /** The log of a balancer, by its number. */
    String log(int number) throws IOException {
        return Files.readString(folder.resolve("balancer" + number + ".txt"));
    }

    @Override
    public void close() throws IOException {
        warden.close();
        discovery.close();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
