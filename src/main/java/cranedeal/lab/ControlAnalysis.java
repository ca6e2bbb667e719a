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
 * Computes from one pass over a history the cost of control traffic for the real and hollow balancers, the
 * time until membership views were correct after each fault, and the resources that the run itself used.
 * Figures cover the load; the cost of joining before it is kept apart.
 */
final class ControlAnalysis implements Consumer<Event> {

    /** In a second with a larger share of the cores' time used, the machine is the bottleneck. */
    private static final double SATURATED_SHARE = 0.9;
    /** A run with a larger share of such seconds is void. */
    private static final double MAX_SATURATED_SHARE = 0.1;
    /** A larger 99th percentile of the delay of samples or loops means that the machine is overloaded. */
    private static final double MAX_LATE_MS = 250;
    /** Half of the memory of the machine that experiments are designed for. */
    private static final double MAX_MEMORY_MB = 12 * 1_024;
    /** A fault that changes no view within this time of its begin or end counts as without effect. */
    private static final double EFFECT_WITHIN_MS = 3_000;
    private static final double MS = 1_000;
    private static final double KB_PER_MB = 1_024;

    private final Scale scale;
    private final Sum joiningReal = new Sum();
    private final Sum joiningHollow = new Sum();
    private final Sum calmReal = new Sum();
    private final Sum calmHollow = new Sum();
    private final Sum allReal = new Sum();
    private final Sum allHollow = new Sum();
    private final List<Event.HostUsage> hosts = new ArrayList<>();
    private final List<Double> loopsLate = new ArrayList<>();
    private final List<Event.ViewsSampled> views = new ArrayList<>();
    private final List<Event.Faulted> faults = new ArrayList<>();
    private double loadBegan = Double.NaN;

    /**
     * The mean cost of control traffic per balancer; shares are of one core.
     *
     * @param balancerSeconds the balancer seconds over which the means are taken
     * @param coreShare the share that the membership threads used
     * @param processShare the share that the whole process used
     * @param peakBytesPerS the most bytes of one balancer in one second
     * @param peakOf the balancers or the process with that peak
     * @param memoryMb its share of the peak resident memory
     */
    record Cost(long balancerSeconds, double datagramsPerS, double bytesPerS, double exchangesPerS,
            double coreShare, double processShare, long peakBytesPerS, String peakOf, double memoryMb) { }

    /**
     * The time from the begin or end of a fault until the views of all members were correct.
     *
     * @param atMs the time of the begin or end, since the load began
     * @param settledMs the time from then until all views were correct; NaN if they never were
     */
    record Settling(String title, boolean begins, double atMs, double settledMs) { }

    /**
     * The resources that the run itself used: medians and maxima over its seconds.
     *
     * @param loopsLateP99Ms the 99th percentile, over the seconds, of the largest delay of an event loop that
     *     hollow balancers share; they take an answer that is 250 ms late for a lost one
     */
    record Machine(double busy, double mostBusy, int fullSeconds, int seconds, double lateP99Ms,
            double loopsLateP99Ms, double labCores, double mostLabMb, double mostMemoryMb) { }

    /**
     * All results.
     *
     * @param joinedMs the time from the first sample until all members saw one another
     * @param alike the relative differences between hollow and real balancers before the first fault, in
     *     datagrams, bytes and CPU of membership
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

        void add(Event.ControlCost spent) {
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
        if (event instanceof Event.LoadChanged loaded) {
            loadBegan = loaded.begins() ? loaded.at() : loadBegan;
        } else if (event instanceof Event.ControlCost spent) {
            if (Double.isNaN(loadBegan)) {
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
        } else if (event instanceof Event.HostUsage host && !Double.isNaN(loadBegan)) {
            hosts.add(host);
        } else if (event instanceof Event.ViewsSampled viewed) {
            views.add(viewed);
        } else if (event instanceof Event.Faulted fault) {
            faults.add(fault);
        }
    }

    /** Returns the results. Call it once, after the last event. */
    Control finish() {
        long hollow = scale.hollow();
        long real = allReal.balancerSeconds == 0 ? 0
                : allReal.mostRunning.values().stream().mapToLong(Long::longValue).max().orElse(0);
        List<Settling> settlings = faults.stream().map(fault -> new Settling(fault.kind(), fault.begins(),
                fault.at() - loadBegan, settledMs(fault.at()))).toList();
        double firstSampleAt = views.isEmpty() ? 0 : views.get(0).at();
        Cost calmHollowCost = calmHollow.cost(hollow);
        Cost calmRealCost = calmReal.cost(real);
        List<Double> alike = List.of(
                relativeDifference(calmHollowCost.datagramsPerS, calmRealCost.datagramsPerS),
                relativeDifference(calmHollowCost.bytesPerS, calmRealCost.bytesPerS),
                relativeDifference(calmHollowCost.coreShare, calmRealCost.coreShare));
        Machine machine = machine();
        Cost all = allHollow.cost(hollow);
        Cost allOfReal = allReal.cost(real);
        return new Control(real, hollow, settledAfter(firstSampleAt) - firstSampleAt,
                joiningReal.cost(real), joiningHollow.cost(hollow), calmRealCost, calmHollowCost,
                allOfReal, all, alike,
                settlings, machine, voids(machine), broken(all, allOfReal, alike, settlings));
    }

    private static double relativeDifference(double one, double other) {
        return Math.abs(one / other - 1);
    }

    /** Time from a fault event until all views were correct; 0 if it did not change any view. */
    private double settledMs(double at) {
        double firstEffect = views.stream().filter(view -> view.at() >= at
                && view.at() <= at + EFFECT_WITHIN_MS && !view.settled())
                .mapToDouble(Event.ViewsSampled::at).min().orElse(Double.NaN);
        return Double.isNaN(firstEffect) ? 0 : settledAfter(firstEffect) - at;
    }

    /** Time of the first sample at or after a time in which all views were correct; NaN if there is none. */
    private double settledAfter(double time) {
        for (int i = 0; i + scale.regions() <= views.size(); i += scale.regions()) {
            List<Event.ViewsSampled> sample = views.subList(i, i + scale.regions());
            if (sample.get(0).at() >= time && sample.stream().allMatch(Event.ViewsSampled::settled)) {
                return sample.get(0).at();
            }
        }
        return Double.NaN;
    }

    private Machine machine() {
        return new Machine(spread(Event.HostUsage::busy, 0.5), spread(Event.HostUsage::busy, 1),
                (int) hosts.stream().filter(host -> host.busy() > SATURATED_SHARE).count(), hosts.size(),
                spread(Event.HostUsage::lateMs, 0.99), quantile(loopsLate, 0.99),
                spread(Event.HostUsage::labMs, 0.5) / MS,
                spread(Event.HostUsage::labRssKb, 1) / KB_PER_MB,
                spread(Event.HostUsage::labRssKb, 1) / KB_PER_MB + allReal.memoryMb() + allHollow.memoryMb());
    }

    private double spread(ToDoubleFunction<Event.HostUsage> of, double quantile) {
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
            voids.add("no load of the machine was recorded");
        }
        if (machine.fullSeconds > MAX_SATURATED_SHARE * machine.seconds) {
            voids.add(String.format(Locale.ROOT, "the machine was the bottleneck: its cores were over %.0f%%"
                    + " busy in %d of %d seconds", 100 * SATURATED_SHARE, machine.fullSeconds,
                    machine.seconds));
        }
        if (machine.lateP99Ms > MAX_LATE_MS) {
            voids.add(String.format(Locale.ROOT, "the machine was the bottleneck: the lab looked %.0f ms late"
                    + " (p99)", machine.lateP99Ms));
        }
        if (machine.loopsLateP99Ms > MAX_LATE_MS) {
            voids.add(String.format(Locale.ROOT, "the machine was the bottleneck: loops of hollow balancers"
                    + " were %.0f ms late (p99)", machine.loopsLateP99Ms));
        }
        if (machine.mostMemoryMb > MAX_MEMORY_MB) {
            voids.add(String.format(Locale.ROOT, "the run took %.0f MB, over %.0f", machine.mostMemoryMb,
                    MAX_MEMORY_MB));
        }
        return voids;
    }

    private List<String> broken(Cost hollow, Cost real, List<Double> alike, List<Settling> settlings) {
        Scale.Bounds must = scale.must();
        List<String> broken = new ArrayList<>();
        for (Cost cost : List.of(hollow, real)) {
            String whose = cost == hollow ? "a hollow balancer" : "a real balancer";
            requireAtMost(broken, whose + "'s share of a core for membership", cost.coreShare,
                    must.coreShare());
            requireAtMost(broken, whose + "'s bytes a second for membership", cost.bytesPerS,
                    must.bytesPerS());
            requireAtMost(broken, whose + "'s bytes in its peak second", cost.peakBytesPerS,
                    must.peakBytesPerS());
        }
        requireAtMost(broken, "a hollow balancer's memory in MB", hollow.memoryMb, must.memoryMb());
        List<String> what = List.of("datagrams", "bytes", "CPU");
        for (int i = 0; i < what.size(); i++) {
            requireAtMost(broken, "by how much the " + what.get(i) + " of hollow and real balancers differ",
                    alike.get(i), must.alike());
        }
        for (Settling settling : settlings) {
            requireAtMost(broken, "ms until views were right after " + settling.title
                    + (settling.begins ? " began" : " ended"), settling.settledMs, must.viewsMs());
        }
        return broken;
    }

    /** Records a violation if the value is over its bound; NaN is a violation. */
    private static void requireAtMost(List<String> broken, String what, double value, double bound) {
        if (bound < Double.POSITIVE_INFINITY && !(value <= bound)) {
            broken.add(String.format(Locale.ROOT, "%s: %.4g is over %.4g", what, value, bound));
        }
    }
}
