package cranedeal.lab;

import cranedeal.lab.history.Event;
import cranedeal.lab.hollow.HollowGroup;
import cranedeal.lab.hollow.HollowProcess;
import cranedeal.lab.hollow.Meter;
import cranedeal.lab.process.ChildProcess;
import cranedeal.lab.standin.LabClock;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Samples the members' views twice a second, and the cost of control traffic and the load of the machine once
 * a second, and records them in the history. It does nothing if the experiment has no hollow balancers.
 */
final class Monitor implements AutoCloseable {

    private static final long SAMPLE_INTERVAL_MS = 500;
    private static final int SAMPLES_PER_SECOND = 2;
    private static final double NANOS_PER_MS = 1e6;
    private static final int PAGE_KB = 4;
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final String METRIC_PREFIX = "edge_proxy.";
    /** Prefix of the names of membership threads, in the program and in hollow processes. */
    private static final String MEMBER_THREAD_PREFIX = "member-";

    private final Experiment experiment;
    private final Testbed testbed;
    private final LabClock clock;
    private final Consumer<Event> history;
    private final HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(TIMEOUT).build();
    private final ConcurrentLinkedQueue<String> failures = new ConcurrentLinkedQueue<>();
    private final Thread thread = new Thread(this::run, "monitor");
    private final Map<String, Double> controlMs = new HashMap<>();
    private final Map<String, Double> processMs = new HashMap<>();
    private final Meter real = new Meter();
    private Map<String, Map<String, Long>> metricsByBalancer = Map.of();
    private long[] host = new long[2];
    private double labMs;

    Monitor(Experiment experiment, Testbed world, LabClock clock, Consumer<Event> history) {
        this.experiment = experiment;
        this.testbed = world;
        this.clock = clock;
        this.history = history;
        thread.setDaemon(true);
    }

    /** Starts sampling. All parties must have started. */
    void start() {
        if (experiment.scale().hollow() > 0) {
            thread.start();
        }
    }

    /** Returns the errors that ended sampling; a run with any is void. */
    List<String> failures() {
        return List.copyOf(failures);
    }

    private void run() {
        try {
            double due = clock.now();
            for (int i = 0;; i++) {
                double late = Math.max(0, clock.now() - due);
                metricsByBalancer = fetchMetrics();
                recordViews();
                if (i % SAMPLES_PER_SECOND == 0) {
                    recordHost(late);
                    recordCosts();
                }
                due = Math.max(due + SAMPLE_INTERVAL_MS, clock.now());
                TimeUnit.MICROSECONDS.sleep((long) ((due - clock.now()) * 1_000));
            }
        } catch (InterruptedException e) {
            // The experiment is over.
        } catch (IOException | RuntimeException e) {
            failures.add("the lab could not sample the members: " + e);
        }
    }

    // ---- Views -------------------------------------------------------------------------------------

    /** Returns the metrics of the real balancers that answer, by their names. */
    private Map<String, Map<String, Long>> fetchMetrics() throws InterruptedException {
        Map<String, Map<String, Long>> all = new HashMap<>();
        for (BalancerProcess balancer : testbed.balancers().values()) {
            try {
                Map<String, Long> figures = new HashMap<>();
                http.send(HttpRequest.newBuilder(
                        URI.create("http:/" + balancer.adminAddress() + "/ops/stats"))
                        .timeout(TIMEOUT).build(), HttpResponse.BodyHandlers.ofString()).body().lines()
                        .filter(line -> line.startsWith(METRIC_PREFIX + "fleet."))
                        .forEach(line -> figures.put(
                                line.substring(METRIC_PREFIX.length(), line.indexOf('=')),
                                Long.parseLong(line.substring(line.indexOf('=') + 1))));
                if (!figures.isEmpty()) {
                    all.put(balancer.name(), figures);
                }
            } catch (IOException e) {
                // The balancer is down or starting.
            }
        }
        return all;
    }

    private void recordViews() throws IOException, InterruptedException {
        int regions = experiment.scale().regions();
        int[] running = new int[regions];
        long[] least = new long[regions];
        long[] most = new long[regions];
        for (int region = 0; region < regions; region++) {
            int viewedRegion = region;
            least[region] = Long.MAX_VALUE;
            List<String> names = experiment.hollowNames().stream()
                    .filter(name -> experiment.region(name) == viewedRegion).toList();
            for (HollowGroup group : testbed.hollow().groups()) {
                HollowProcess.Views views = group.views(names);
                if (views.running() > 0) {
                    running[region] += views.running();
                    least[region] = Math.min(least[region], views.least());
                    most[region] = Math.max(most[region], views.most());
                }
            }
        }
        metricsByBalancer.forEach((name, figures) -> {
            int region = experiment.region(name);
            long present = figures.getOrDefault("fleet.members", 0L);
            running[region]++;
            least[region] = Math.min(least[region], present);
            most[region] = Math.max(most[region], present);
        });
        for (int region = 0; region < regions; region++) {
            int reachable = 0;
            for (int other = 0; other < regions; other++) {
                reachable += other == region || !testbed.isPartitioned(region, other) ? running[other] : 0;
            }
            history.accept(new Event.ViewsSampled(clock.now(), experiment.scale().regionNames().get(region),
                    running[region], reachable, running[region] == 0 ? 0 : least[region], most[region]));
        }
    }

    // ---- Costs -------------------------------------------------------------------------------------

    private void recordCosts() throws IOException, InterruptedException {
        for (HollowGroup group : testbed.hollow().groups()) {
            recordCost(group.child().name(), true, group.window(), List.of(group.child()));
        }
        Map<String, Meter.Reading> readings = new HashMap<>();
        metricsByBalancer.forEach((name, figures) -> readings.put(name, Meter.Reading.of(figures)));
        real.sample(readings, 0, 0);
        List<ChildProcess> children = new ArrayList<>();
        for (BalancerProcess balancer : testbed.balancers().values()) {
            if (metricsByBalancer.containsKey(balancer.name())) {
                children.add(balancer.current());
            }
        }
        recordCost("real", false, real.window(), children);
    }

    private void recordCost(String who, boolean hollow, Meter.Window window, List<ChildProcess> processes) {
        double control = 0;
        double all = 0;
        long rss = 0;
        for (ChildProcess child : processes) {
            String key = child.name() + child.pid();
            control += increase(controlMs, key, child.threadCpuMs(MEMBER_THREAD_PREFIX));
            ChildProcess.Usage usage = child.usage().orElse(new ChildProcess.Usage(0, 0));
            all += increase(processMs, key, usage.cpuMs());
            rss += usage.rssKb();
        }
        history.accept(new Event.ControlCost(clock.now(), who, hollow, window.balancerSeconds(),
                window.datagrams(),
                window.bytesSent() + window.bytesReceived(), window.syncs(), window.peakBytes(), control, all,
                rss, window.lateMs()));
    }

    /** Returns the increase since the last sample; 0 for a new process and for one that is exiting. */
    private static double increase(Map<String, Double> before, String key, double now) {
        Double then = before.put(key, now);
        return then == null ? 0 : Math.max(0, now - then);
    }

    /** Records the load of the cores and of the lab itself since the last sample. */
    private void recordHost(double lateMs) throws IOException {
        String[] fields = Files.readAllLines(Path.of("/proc/stat")).get(0).trim().split("\\s+");
        long whole = 0;
        for (int i = 1; i <= 8; i++) {
            whole += Long.parseLong(fields[i]);
        }
        long idle = Long.parseLong(fields[4]) + Long.parseLong(fields[5]);
        double lab = ((com.sun.management.OperatingSystemMXBean) ManagementFactory
                .getOperatingSystemMXBean()).getProcessCpuTime() / NANOS_PER_MS;
        long rss = Long.parseLong(Files.readString(Path.of("/proc/self/statm")).split(" ")[1]) * PAGE_KB;
        if (host[0] > 0 && whole > host[0]) {
            history.accept(new Event.HostUsage(clock.now(), 1 - (idle - host[1]) / (double) (whole - host[0]),
                    lateMs, lab - labMs, rss));
        }
        host = new long[] {whole, idle};
        labMs = lab;
    }

    @Override
    public void close() {
        thread.interrupt();
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
