package cranedeal.lab;

import cranedeal.lab.history.Event;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;

/**
 * Reads a history once and says what control cost the balancers, real and hollow, how long views took to be
 * right after each fault, and what the run itself took of the machine. Figures are of the load; what joining
 * cost before that stands apart.
 */
final class ControlAnalysis implements Consumer<Event> {

    /** A second in which more of the cores' time is used is one in which the machine is what is slow. */
    private static final double FULL = 0.9;
    /** A run with a larger share of such seconds shows nothing. */
    private static final double MOST_FULL = 0.1;
    /** Who looks later than this, as the 99th percentile, is kept waiting by the machine. */
    private static final double MOST_LATE_MS = 250;
    /** Half of the memory of the machine that experiments are made for. */
    private static final double MOST_MEMORY_MB = 12 * 1_024;
    /** Within this time of a fault's begin or end its first trace must show, or it has left none. */
    private static final double TRACE_MS = 3_000;
    private static final double MS = 1_000;
    private static final double KB_PER_MB = 1_024;

    private final Scale scale;
    private final Sum joiningReal = new Sum();
    private final Sum joiningHollow = new Sum();
    private final Sum calmReal = new Sum();
    private final Sum calmHollow = new Sum();
    private final Sum allReal = new Sum();
    private final Sum allHollow = new Sum();
    private final List<Event.Host> hosts = new ArrayList<>();
    private final List<Double> loopsLate = new ArrayList<>();
    private final List<Event.Viewed> views = new ArrayList<>();
    private final List<Event.Faulted> faults = new ArrayList<>();
    private double begun = Double.NaN;

    /**
     * What control cost a balancer; shares are of one core.
     *
     * @param balancerSeconds over how much this is the mean
     * @param coreShare of the threads of membership
     * @param processShare of the whole process, whatever it did
     * @param peakBytesPerS the most bytes of one balancer in one second, and whose process it is of
     * @param memoryMb its share of the most resident memory
     */
    record Cost(long balancerSeconds, double datagramsPerS, double bytesPerS, double exchangesPerS,
            double coreShare, double processShare, long peakBytesPerS, String peakOf, double memoryMb) { }

    /**
     * How long after a fault began or ended all members saw what is there.
     *
     * @param atMs since the load began
     * @param settledMs from then on; NaN if they never did
     */
    record Settling(String title, boolean begins, double atMs, double settledMs) { }

    /**
     * What the run itself took: medians and the most, over its seconds.
     *
     * @param loopsLateP99Ms the 99th percentile, over the seconds, of the most that a loop was late which
     *     hollow balancers share: an answer that comes 250 ms late they take for a lost one
     */
    record Machine(double busy, double mostBusy, int fullSeconds, int seconds, double lateP99Ms,
            double loopsLateP99Ms, double labCores, double mostLabMb, double mostMemoryMb) { }

    /**
     * All of it.
     *
     * @param joinedMs when all members first saw one another, since the lab began to look
     * @param alike by which share what a hollow balancer sends differs from what a real one sends, while
     *     nothing is wrong: datagrams, bytes, CPU of membership
     */
    record Control(long real, long hollow, double joinedMs, Cost joiningReal, Cost joiningHollow,
            Cost calmReal, Cost calmHollow, Cost allReal, Cost allHollow, List<Double> alike,
            List<Settling> faults, Machine machine, List<String> voids, List<String> broken) { }

    private static final class Sum {
        private long balancerSeconds;
        private long datagrams;
        private long bytes;
        private long syncs;
        private double controlMs;
        private double processMs;
        private long peak;
        private String peakOf = "";
        private final Map<String, Long> mostRss = new TreeMap<>();
        private final Map<String, Long> mostRunning = new TreeMap<>();

        void add(Event.Spent spent) {
            balancerSeconds += spent.balancerSeconds();
            datagrams += spent.datagrams();
            bytes += spent.bytes();
            syncs += spent.syncs();
            controlMs += spent.controlMs();
            processMs += spent.processMs();
            if (spent.peakBytes() > peak) {
                peak = spent.peakBytes();
                peakOf = spent.who();
            }
            mostRss.merge(spent.who(), spent.rssKb(), Math::max);
            mostRunning.merge(spent.who(), spent.balancerSeconds(), Math::max);
        }

        double memoryMb() {
            return mostRss.values().stream().mapToLong(Long::longValue).sum() / KB_PER_MB;
        }

        Cost cost(long running) {
            double over = Math.max(1, balancerSeconds);
            return new Cost(balancerSeconds, datagrams / over, bytes / over, syncs / over,
                    controlMs / over / MS, processMs / over / MS, peak, peakOf,
                    memoryMb() / Math.max(1, running));
        }
    }

    ControlAnalysis(Scale scale) {
        this.scale = scale;
    }

    @Override
    public void accept(Event event) {
        if (event instanceof Event.Loaded loaded) {
            begun = loaded.begins() ? loaded.at() : begun;
        } else if (event instanceof Event.Spent spent) {
            if (Double.isNaN(begun)) {
                (spent.hollow() ? joiningHollow : joiningReal).add(spent);
                return;
            }
            (spent.hollow() ? allHollow : allReal).add(spent);
            if (spent.hollow()) {
                loopsLate.add(spent.lateMs());
            }
            if (faults.isEmpty()) {
                (spent.hollow() ? calmHollow : calmReal).add(spent);
            }
        } else if (event instanceof Event.Host host && !Double.isNaN(begun)) {
            hosts.add(host);
        } else if (event instanceof Event.Viewed viewed) {
            views.add(viewed);
        } else if (event instanceof Event.Faulted fault) {
            faults.add(fault);
        }
    }

    /** The figures; asked once, after the last event. */
    Control finish() {
        long hollow = scale.hollow();
        long real = allReal.balancerSeconds == 0 ? 0
                : allReal.mostRunning.values().stream().mapToLong(Long::longValue).max().orElse(0);
        List<Settling> settlings = faults.stream().map(fault -> new Settling(fault.kind(), fault.begins(),
                fault.at() - begun, settledMs(fault.at()))).toList();
        double lookedAt = views.isEmpty() ? 0 : views.get(0).at();
        Cost its = calmHollow.cost(hollow);
        Cost theirs = calmReal.cost(real);
        List<Double> alike = List.of(apart(its.datagramsPerS, theirs.datagramsPerS),
                apart(its.bytesPerS, theirs.bytesPerS), apart(its.coreShare, theirs.coreShare));
        Machine machine = machine();
        Cost all = allHollow.cost(hollow);
        Cost allOfReal = allReal.cost(real);
        return new Control(real, hollow, settledAfter(lookedAt) - lookedAt,
                joiningReal.cost(real), joiningHollow.cost(hollow), theirs, its, allOfReal, all, alike,
                settlings, machine, voids(machine), broken(all, allOfReal, alike, settlings));
    }

    private static double apart(double one, double other) {
        return Math.abs(one / other - 1);
    }

    /** How long after a time views were right again; 0 if that time has left no trace in them. */
    private double settledMs(double at) {
        double trace = views.stream().filter(view -> view.at() >= at && view.at() <= at + TRACE_MS
                && !view.settled()).mapToDouble(Event.Viewed::at).min().orElse(Double.NaN);
        return Double.isNaN(trace) ? 0 : settledAfter(trace) - at;
    }

    /** When the first look at or after a time began in which all regions saw what is there; NaN if none. */
    private double settledAfter(double time) {
        for (int i = 0; i + scale.regions() <= views.size(); i += scale.regions()) {
            List<Event.Viewed> look = views.subList(i, i + scale.regions());
            if (look.get(0).at() >= time && look.stream().allMatch(Event.Viewed::settled)) {
                return look.get(0).at();
            }
        }
        return Double.NaN;
    }

    private Machine machine() {
        return new Machine(spread(Event.Host::busy, 0.5), spread(Event.Host::busy, 1),
                (int) hosts.stream().filter(host -> host.busy() > FULL).count(), hosts.size(),
                spread(Event.Host::lateMs, 0.99), quantile(loopsLate, 0.99),
                spread(Event.Host::labMs, 0.5) / MS,
                spread(Event.Host::labRssKb, 1) / KB_PER_MB,
                spread(Event.Host::labRssKb, 1) / KB_PER_MB + allReal.memoryMb() + allHollow.memoryMb());
    }

    private double spread(ToDoubleFunction<Event.Host> of, double quantile) {
        return quantile(hosts.stream().mapToDouble(of).boxed().toList(), quantile);
    }

    private static double quantile(List<Double> of, double quantile) {
        List<Double> sorted = of.stream().sorted().toList();
        return sorted.isEmpty() ? Double.NaN
                : sorted.get(Math.min(sorted.size() - 1, (int) (quantile * sorted.size())));
    }

    private static List<String> voids(Machine machine) {
        List<String> voids = new ArrayList<>();
        if (machine.seconds == 0) {
            voids.add("nothing was noted of the machine");
        }
        if (machine.fullSeconds > MOST_FULL * machine.seconds) {
            voids.add(String.format(Locale.ROOT, "the machine was the bottleneck: its cores were over %.0f%%"
                    + " busy in %d of %d seconds", 100 * FULL, machine.fullSeconds, machine.seconds));
        }
        if (machine.lateP99Ms > MOST_LATE_MS) {
            voids.add(String.format(Locale.ROOT, "the machine was the bottleneck: the lab looked %.0f ms late"
                    + " (p99)", machine.lateP99Ms));
        }
        if (machine.loopsLateP99Ms > MOST_LATE_MS) {
            voids.add(String.format(Locale.ROOT, "the machine was the bottleneck: loops of hollow balancers"
                    + " were %.0f ms late (p99)", machine.loopsLateP99Ms));
        }
        if (machine.mostMemoryMb > MOST_MEMORY_MB) {
            voids.add(String.format(Locale.ROOT, "the run took %.0f MB, over %.0f", machine.mostMemoryMb,
                    MOST_MEMORY_MB));
        }
        return voids;
    }

    private List<String> broken(Cost hollow, Cost real, List<Double> alike, List<Settling> settlings) {
        Scale.Bounds must = scale.must();
        List<String> broken = new ArrayList<>();
        for (Cost cost : List.of(hollow, real)) {
            String whose = cost == hollow ? "a hollow balancer" : "a real balancer";
            over(broken, whose + "'s share of a core for membership", cost.coreShare, must.coreShare());
            over(broken, whose + "'s bytes a second for membership", cost.bytesPerS, must.bytesPerS());
            over(broken, whose + "'s bytes in its peak second", cost.peakBytesPerS, must.peakBytesPerS());
        }
        over(broken, "a hollow balancer's memory in MB", hollow.memoryMb, must.memoryMb());
        List<String> what = List.of("datagrams", "bytes", "CPU");
        for (int i = 0; i < what.size(); i++) {
            over(broken, "by how much the " + what.get(i) + " of hollow and real balancers differ",
                    alike.get(i), must.alike());
        }
        for (Settling settling : settlings) {
            over(broken, "ms until views were right after " + settling.title
                    + (settling.begins ? " began" : " ended"), settling.settledMs, must.viewsMs());
        }
        return broken;
    }

    /** Notes a figure that is over its bound; one that is none is. */
    private static void over(List<String> broken, String what, double value, double bound) {
        if (bound < Double.POSITIVE_INFINITY && !(value <= bound)) {
            broken.add(String.format(Locale.ROOT, "%s: %.4g is over %.4g", what, value, bound));
        }
    }
}
