package cranedeal.lab.hollow;

import cranedeal.lab.link.AddressBlock;
import cranedeal.lab.process.ChildProcess;
import cranedeal.lab.process.ProcessSupervisor;
import java.io.IOException;
import java.net.http.HttpClient;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

/**
 * A trial of hollow balancers that are connected directly, without relays: they join, run idle, a sixth of
 * them is killed at once, and those are started again. Closing the trial ends its processes.
 */
final class HollowTrial implements AutoCloseable {

    static final int MAX_MEMBERS = 5_000;
    private static final int SEEDS = 3;
    /** How many members start per wave; all at once would overload the shared loops while they join. */
    private static final int WAVE = 20;
    private static final long WAVE_MS = 250;
    private static final long POLL_INTERVAL_MS = 100;
    private static final long STEP_TIMEOUT_MS = 30_000;
    private static final long SETTLE_MS = 3_000;
    private static final double MS = 1_000;
    private static final double NANOS_PER_MS = 1e6;

    private final int members;
    private final int periodMs;
    private final AddressBlock addresses = AddressBlock.reserve();
    private final ProcessSupervisor supervisor;
    private final List<HollowGroup> groups = new ArrayList<>();

    /**
     * The average resource use per member and second; CPU shares are of one core.
     *
     * @param lateMs the maximum delay of an event loop, which its members share
     */
    record Spent(int seconds, double datagramsPerS, double bytesSentPerS, double bytesReceivedPerS,
            double syncsPerS, double cpuShare, double peakCpuShare, long peakBytes, double lateMs) {

        private static Spent of(List<Meter.Window> windows) {
            double over = Math.max(1, windows.stream().mapToLong(Meter.Window::balancerSeconds).sum());
            return new Spent(windows.stream().mapToInt(Meter.Window::seconds).max().orElse(0),
                    windows.stream().mapToLong(Meter.Window::datagrams).sum() / over,
                    windows.stream().mapToLong(Meter.Window::bytesSent).sum() / over,
                    windows.stream().mapToLong(Meter.Window::bytesReceived).sum() / over,
                    windows.stream().mapToLong(Meter.Window::syncs).sum() / over,
                    windows.stream().mapToDouble(Meter.Window::cpuMs).sum() / over / MS,
                    windows.stream().mapToDouble(Meter.Window::peakCpuMs).max().orElse(0) / MS,
                    windows.stream().mapToLong(Meter.Window::peakBytes).max().orElse(0),
                    windows.stream().mapToDouble(Meter.Window::lateMs).max().orElse(0));
        }
    }

    /**
     * The result of a trial. A time is NaN if the views were still wrong half a minute after the step.
     *
     * @param joinedMs the time from the start of the first wave until each member saw all
     * @param heapBytesEach the growth of the heap in use after a garbage collection, per member
     * @param residentKb the resident memory of all processes
     * @param killedMs the time from the kill until no view contained a killed member
     * @param backMs the time from their restart until each member saw all
     */
    record Result(int members, int processes, int periodMs, double joinedMs, double heapBytesEach,
            long residentKb, double killedMs, double backMs, Spent joining, Spent atRest, Spent killed,
            Spent back) { }

    /** Starts the processes without running any balancer. */
    HollowTrial(int members, int processes, int periodMs, Path folder)
            throws IOException, InterruptedException {
        this.members = members;
        this.periodMs = periodMs;
        supervisor = new ProcessSupervisor();
        HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        boolean whole = false;
        try {
            for (int i = 0; i < processes; i++) {
                List<HollowConfig.Balancer> its = new ArrayList<>();
                for (int j = i; j < members; j += processes) {
                    its.add(new HollowConfig.Balancer("h" + j, at(j), at(j), null));
                }
                List<String> seeds = new ArrayList<>();
                for (int j = 0; j < Math.min(SEEDS, members); j++) {
                    seeds.add(at(j));
                }
                int loops = Math.max(1, Runtime.getRuntime().availableProcessors() / processes);
                groups.add(HollowGroup.start("hollow-" + i, new HollowConfig(control(members + i), "trial",
                        periodMs, loops, seeds, its), folder, supervisor, http));
            }
            whole = true;
        } finally {
            if (!whole) {
                close();
            }
        }
    }

    private String at(int number) {
        return addresses.ip(number).getHostAddress() + ":" + AddressBlock.MEMBER_PORT;
    }

    private String control(int number) {
        return addresses.ip(number).getHostAddress() + ":" + AddressBlock.ADMIN_PORT;
    }

    /** Runs the trial. */
    Result run(int seconds) throws IOException, InterruptedException {
        Set<String> all = new TreeSet<>();
        groups.forEach(group -> all.addAll(group.names()));
        long before = heap();
        window();
        double joined = after(() -> startInWaves(all), all, members);
        final Spent joining = window();
        TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
        window();
        TimeUnit.SECONDS.sleep(seconds);
        final Spent atRest = window();
        Set<String> dead = new TreeSet<>();
        Set<String> left = new TreeSet<>(all);
        for (int i = 1; i <= members / 6; i++) {
            dead.add("h" + (members - i));
        }
        left.removeAll(dead);
        double killed = after(() -> {
            for (HollowGroup group : groups) {
                group.kill(dead);
            }
        }, left, left.size());
        final Spent killing = window();
        double back = after(() -> startInWaves(dead), all, members);
        Spent coming = window();
        double heapEach = (heap() - before) / (double) members;
        long resident = groups.stream().map(HollowGroup::child).map(ChildProcess::usage)
                .mapToLong(usage -> usage.map(ChildProcess.Usage::rssKb).orElse(0L)).sum();
        return new Result(members, groups.size(), periodMs, joined, heapEach, resident, killed, back,
                joining, atRest, killing, coming);
    }

    private void startInWaves(Set<String> names) throws IOException, InterruptedException {
        List<String> left = new ArrayList<>(names);
        for (int from = 0; from < left.size(); from += WAVE) {
            start(new TreeSet<>(left.subList(from, Math.min(left.size(), from + WAVE))));
            TimeUnit.MILLISECONDS.sleep(WAVE_MS);
        }
    }

    private void start(Set<String> names) throws IOException, InterruptedException {
        for (HollowGroup group : groups) {
            group.startBalancers(names);
        }
    }

    /** An operation on balancers. */
    private interface Step {
        void run() throws IOException, InterruptedException;
    }

    /** Returns the time after a step until all of these see the expected count, in ms; NaN on timeout. */
    private double after(Step step, Set<String> names, int present) throws IOException, InterruptedException {
        long from = System.nanoTime();
        step.run();
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STEP_TIMEOUT_MS);
        while (!agree(names, present)) {
            if (System.nanoTime() > end) {
                return Double.NaN;
            }
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
        }
        return (System.nanoTime() - from) / NANOS_PER_MS;
    }

    private boolean agree(Set<String> names, int present) throws IOException, InterruptedException {
        int running = 0;
        for (HollowGroup group : groups) {
            HollowProcess.Views views = group.views(names);
            if (views.running() > 0 && (views.least() != present || views.most() != present)) {
                return false;
            }
            running += views.running();
        }
        return running == names.size();
    }

    private Spent window() throws IOException, InterruptedException {
        List<Meter.Window> windows = new ArrayList<>();
        for (HollowGroup group : groups) {
            windows.add(group.window());
        }
        return Spent.of(windows);
    }

    private long heap() throws IOException, InterruptedException {
        long sum = 0;
        for (HollowGroup group : groups) {
            sum += group.liveHeap();
        }
        return sum;
    }

    @Override
    public void close() throws IOException {
        supervisor.close();
        addresses.close();
    }
}
