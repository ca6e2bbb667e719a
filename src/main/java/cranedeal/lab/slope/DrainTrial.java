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
 * Runs real balancers and removes half of their upstreams in one change of the list, while discovery is
 * faulty. Removed upstreams keep answering; the trial measures how long they still receive requests.
 */
final class DrainTrial implements AutoCloseable {

    /**
     * Limit from the change to the last request: 6 s until the list counts as known,
     * the drain grace of 2 s, and 50 ms.
     */
    static final double MAX_LAST_REQUEST_MS = 8_050;
    private static final String ADDRESS = "127.0.0.1";
    private static final double WARM_UP_S = 2;
    private static final double TROUBLE_S = 6;
    private static final long START_TIMEOUT_MS = 60_000;
    private static final long POLL_INTERVAL_MS = 10;
    private static final int CONNECT_MS = 1_000;
    private static final double NANOS_PER_MS = 1e6;
    private static final double MS_PER_S = 1e3;

    /**
     * The parameters of a trial.
     *
     * @param rate requests per second over all balancers
     * @param afterS how long requests go on after the change, in seconds
     * @param faults faults of balancers before the change
     */
    record Plan(int upstreams, int balancers, double rate, double afterS, DiscoveryTrouble trouble,
            List<BalancerFault> faults, long seed) { }

    /**
     * The results of a trial.
     *
     * @param lastMs time from the change to the last request to a removed upstream; 0 if there was none
     * @param late how many such requests came later than {@link #MAX_LAST_REQUEST_MS}
     */
    record Results(double lastMs, long late, DataPathClient.Results requests, long listBytes) { }

    private final Path folder = Files.createTempDirectory("drain");
    private final ProcessSupervisor supervisor = new ProcessSupervisor();
    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(2,
            new DefaultThreadFactory("drain", true), NioIoHandler.newFactory());
    private final Plan plan;
    private final CountingUpstreams upstreams;
    private final DiscoveryServer discovery;
    private final List<InetSocketAddress> listening = new ArrayList<>();
    private final List<String> command = new ArrayList<>();
    private final ChildProcess[] balancers;
    private volatile long changedAt;

    /** Starts all balancers in parallel and returns when they accept connections. */
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
        balancers[number] = supervisor.start("balancer" + number, command,
                Map.of("PROXY_CONFIG", config(number).toString()),
                folder.resolve("balancer" + number + ".txt"));
    }

    private void inject(BalancerFault fault) {
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
        for (long waited = 0; !listens(listen); waited += POLL_INTERVAL_MS) {
            if (!balancer.isAlive() || waited > START_TIMEOUT_MS) {
                close();
                throw new IOException(balancer.name() + " exited or did not accept connections in time");
            }
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
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

    /** Runs the trial; returns when the requests after the change have been sent. */
    Results run() throws InterruptedException {
        ScheduledExecutorService clock = Executors.newSingleThreadScheduledExecutor();
        try {
            clock.schedule(() -> discovery.setPace(plan.trouble().pace()), (long) (WARM_UP_S * MS_PER_S),
                    TimeUnit.MILLISECONDS);
            for (BalancerFault fault : plan.faults()) {
                clock.schedule(() -> inject(fault),
                        (long) ((WARM_UP_S + TROUBLE_S - fault.beforeChangeS()) * MS_PER_S),
                        TimeUnit.MILLISECONDS);
            }
            clock.schedule(this::change, (long) ((WARM_UP_S + TROUBLE_S) * MS_PER_S), TimeUnit.MILLISECONDS);
            DataPathClient.Results block = new DataPathClient(loops.next()).run(listening, plan.rate(),
                    WARM_UP_S + TROUBLE_S + plan.afterS(), plan.seed());
            List<Double> after = upstreams.calls().stream().map(at -> (at - changedAt) / NANOS_PER_MS)
                    .filter(ms -> ms > 0).toList();
            return new Results(after.stream().mapToDouble(ms -> ms).max().orElse(0),
                    after.stream().filter(ms -> ms > MAX_LAST_REQUEST_MS).count(), block,
                    discovery.listBytes());
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

    /** Returns the log of a balancer. */
    String log(int number) throws IOException {
        return Files.readString(folder.resolve("balancer" + number + ".txt"));
    }

    @Override
    public void close() throws IOException {
        supervisor.close();
        discovery.close();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
