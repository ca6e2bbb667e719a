package cranedeal.lab.report;

import cranedeal.lab.history.Checker;
import cranedeal.lab.history.Event;
import cranedeal.lab.history.Event.End;
import cranedeal.lab.history.Event.Life;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;

/** Computes the {@link Summary} of a history in one pass. */
public final class Analysis implements Consumer<Event> {

    /** Length of the time slots by which recovery after a fault is measured. */
    private static final double SLOT_MS = 500;
    private static final int MIN_RECOVERED_SLOTS = 3;
    /** How far a slot may be below the share served before the faults and still count as recovered. */
    private static final double RECOVERY_TOLERANCE = 0.02;
    private static final double FULL_SHARE = 0.9;
    private static final double RETURN_WINDOW_MS = 10_000;
    private static final double MS_PER_S = 1_000;
    private static final double US_PER_MS = 1_000;
    private static final long MAX_LATENCY_US = 600_000_000;

    /** Counts of the requests that were due in one time slot, and of the tries sent in it. */
    private static final class Slot {
        private final Histogram latency = new Histogram(MAX_LATENCY_US, 2);
        private final Map<String, Integer> sent = new LinkedHashMap<>();
        private long requests;
        private long served;
        private long refused;
        private int tries;
    }

    private static final class ClassCounts {
        private long requests;
        private long served;
    }

    private static final class FaultPeriod {
        private final String title;
        private final double begin;
        private double end = Double.NaN;

        FaultPeriod(String title, double begin) {
            this.title = title;
            this.begin = begin;
        }
    }

    private static final class ReturnRecord {
        private final String process;
        private final double start;
        private double ready = Double.NaN;
        private double firstServed = Double.NaN;
        private long metAgain;

        ReturnRecord(String process, double start) {
            this.process = process;
            this.start = start;
        }
    }

    private final Map<String, Double> deadlines;
    private final List<Checker> checkers;
    private final Histogram latency = new Histogram(MAX_LATENCY_US, 3);
    private final TreeMap<Integer, Slot> slots = new TreeMap<>();
    private final Map<String, ClassCounts> classes = new LinkedHashMap<>();
    private final Map<Integer, FaultPeriod> faults = new TreeMap<>();
    private final List<ReturnRecord> returns = new ArrayList<>();
    private final Map<String, ReturnRecord> returning = new LinkedHashMap<>();
    private final Map<String, Summary.Usage> usage = new TreeMap<>();
    /** CPU time that each process had used before its latest start. */
    private final Map<String, Double> cpuBefore = new LinkedHashMap<>();
    private double loadBegan = Double.NaN;
    private long requests;
    private long served;
    private long refused;
    private long lost;
    private long attempts;

    /** Creates an analysis from each class's deadline in milliseconds and the checkers to run. */
    public Analysis(Map<String, Double> deadlines, List<Checker> checkers) {
        this.deadlines = Map.copyOf(deadlines);
        this.checkers = List.copyOf(checkers);
    }

    @Override
    public void accept(Event event) {
        checkers.forEach(checker -> checker.accept(event));
        if (event instanceof Event.LoadChanged loaded && loaded.begins()) {
            loadBegan = loaded.at();
        } else if (Double.isNaN(loadBegan)) {
            // The warm-up and everything before it do not count.
            return;
        } else if (event instanceof Event.Sent sent) {
            Slot slot = slot(sent.at());
            slot.tries++;
            slot.sent.merge(sent.balancer(), 1, Integer::sum);
        } else if (event instanceof Event.Answered answered) {
            answered(answered);
        } else if (event instanceof Event.Ended ended) {
            ended(ended);
        } else if (event instanceof Event.Arrived arrived) {
            arrived(arrived);
        } else if (event instanceof Event.Faulted fault) {
            faulted(fault);
        } else if (event instanceof Event.ProcessChanged lived) {
            lived(lived);
        } else if (event instanceof Event.ProcessUsage used) {
            usage.merge(used.process(), new Summary.Usage(cpuBefore.getOrDefault(used.process(), 0.0)
                    + used.cpuMs(), used.rssKb()), (old, now) -> new Summary.Usage(
                            Math.max(old.cpuMs(), now.cpuMs()), Math.max(old.mostRssKb(), now.mostRssKb())));
        }
    }

    private Slot slot(double at) {
        return slots.computeIfAbsent((int) Math.floor((at - loadBegan) / SLOT_MS), absent -> new Slot());
    }

    private void answered(Event.Answered answered) {
        if (answered.end() == End.BROKEN || answered.end() == End.SILENT) {
            lost++;
        }
        ReturnRecord back = returning.get(answered.balancer());
        if (back != null && answered.end() == End.SERVED && Double.isNaN(back.firstServed)) {
            back.firstServed = answered.at();
        }
    }

    private void ended(Event.Ended ended) {
        if (!(ended.at() - ended.latency() >= loadBegan)) {
            return;
        }
        Slot slot = slot(ended.at() - ended.latency());
        ClassCounts ofClass = classes.computeIfAbsent(ended.serviceClass(), absent -> new ClassCounts());
        requests++;
        slot.requests++;
        ofClass.requests++;
        if (ended.end() == End.SERVED && ended.latency() <= deadlines.get(ended.serviceClass())) {
            long micros = Math.min((long) (ended.latency() * US_PER_MS), MAX_LATENCY_US);
            latency.recordValue(micros);
            slot.latency.recordValue(micros);
            slot.served++;
            ofClass.served++;
            served++;
        } else if (ended.end() == End.REFUSED) {
            slot.refused++;
            refused++;
        }
    }

    private void arrived(Event.Arrived arrived) {
        attempts++;
        ReturnRecord back = returning.get(arrived.balancer());
        if (back != null && arrived.failing() && arrived.at() < back.ready + RETURN_WINDOW_MS) {
            back.metAgain++;
        }
    }

    private void faulted(Event.Faulted fault) {
        if (fault.begins()) {
            faults.put(fault.fault(), new FaultPeriod(fault.kind(), fault.at()));
        } else {
            faults.get(fault.fault()).end = fault.at();
        }
    }

    private void lived(Event.ProcessChanged lived) {
        if (lived.life() == Life.STARTED) {
            ReturnRecord back = new ReturnRecord(lived.process(), lived.at());
            returns.add(back);
            returning.put(lived.process(), back);
            Summary.Usage used = usage.get(lived.process());
            cpuBefore.put(lived.process(), used == null ? 0 : used.cpuMs());
        } else if (lived.life() == Life.READY && returning.containsKey(lived.process())) {
            returning.get(lived.process()).ready = lived.at();
        }
    }

    /**
     * Returns the summary.
     *
     * @param lateMs the 99th percentile of the load generator's lateness
     * @param voids the reasons why the run is void; empty if it is valid
     * @param balancers the number of balancers
     */
    public Summary finish(String experiment, double lateMs, List<String> voids, Bounds must, int balancers) {
        double before = servedBeforeFaults();
        List<Summary.Recovery> recoveries = new ArrayList<>();
        faults.forEach((number, fault) -> recoveries.add(new Summary.Recovery(number, fault.title,
                fault.begin - loadBegan, fault.end - loadBegan, recovery(fault, before))));
        List<Checker.Finding> findings = checkers.stream().map(Checker::finish).toList();
        Map<String, Double> byClass = new TreeMap<>();
        classes.forEach((name, counts) -> byClass.put(name, share(counts.served, counts.requests)));
        Summary figures = new Summary(experiment, Summary.Verdict.HELD, List.of(), requests,
                share(served, requests), share(refused, requests),
                share(requests - served - refused, requests), share(lost, requests), share(attempts, served),
                percentile(latency, 50), percentile(latency, 90), percentile(latency, 99),
                percentile(latency, 100), lateMs, before, byClass, seconds(), recoveries,
                returns.stream().map(back -> summarizeReturn(back, balancers)).toList(), usage, findings);
        return withVerdict(figures, voids, must);
    }

    /**
     * The bounds that a run must keep besides the rules. A bound that was not given is always kept.
     *
     * @param served the minimum share of requests that are served within their deadline
     * @param p99Ms the maximum 99th percentile of their latency
     * @param recoveryMs the maximum time from a fault's end until the share served has recovered
     * @param attempts the maximum number of attempts per served request
     */
    public record Bounds(double served, double p99Ms, double recoveryMs, double attempts) { }

    private static Summary withVerdict(Summary of, List<String> voids, Bounds must) {
        List<String> broken = new ArrayList<>();
        of.rules().stream().filter(rule -> !rule.holds()).forEach(rule -> broken.add("the rule " + rule.rule()
                + " is broken, " + rule.count() + " times; first " + rule.shown().get(0)));
        requireAtMost(broken, "served", must.served(), of.served());
        requireAtMost(broken, "p99 in ms", of.p99Ms(), must.p99Ms());
        requireAtMost(broken, "attempts for each served request", of.attempts(), must.attempts());
        for (Summary.Recovery fault : of.faults()) {
            if (!Double.isNaN(fault.endMs())) {
                requireAtMost(broken, "recovery in ms after " + fault.title(), fault.recoveryMs(),
                        must.recoveryMs());
            }
        }
        Summary.Verdict verdict = !voids.isEmpty() ? Summary.Verdict.VOID
                : broken.isEmpty() ? Summary.Verdict.HELD : Summary.Verdict.BROKEN;
        List<String> complaints = new ArrayList<>(voids);
        complaints.addAll(broken);
        return new Summary(of.experiment(), verdict, complaints, of.requests(), of.served(), of.refused(),
                of.failed(), of.lost(), of.attempts(), of.p50Ms(), of.p90Ms(), of.p99Ms(), of.maxMs(),
                of.lateMs(), of.before(), of.servedByClass(), of.seconds(), of.faults(), of.returns(),
                of.processes(), of.rules());
    }

    /** Records a violation unless the smaller value is at most the larger; NaN is a violation. */
    private static void requireAtMost(List<String> broken, String what, double smaller, double larger) {
        if (larger < Double.POSITIVE_INFINITY && !(smaller <= larger)) {
            broken.add(String.format(Locale.ROOT, "%s: %.4g is over %.4g", what, smaller, larger));
        }
    }

    private double servedBeforeFaults() {
        double first = faults.values().stream().mapToDouble(fault -> fault.begin - loadBegan).min()
                .orElse(Double.POSITIVE_INFINITY);
        long all = 0;
        long well = 0;
        for (Map.Entry<Integer, Slot> slot : slots.entrySet()) {
            if ((slot.getKey() + 1) * SLOT_MS <= first) {
                all += slot.getValue().requests;
                well += slot.getValue().served;
            }
        }
        return share(well, all);
    }

    private double recovery(FaultPeriod fault, double before) {
        double end = fault.end - loadBegan;
        int well = 0;
        double since = Double.NaN;
        for (Map.Entry<Integer, Slot> slot : slots.tailMap((int) Math.ceil(end / SLOT_MS)).entrySet()) {
            Slot counts = slot.getValue();
            if (counts.requests > 0 && share(counts.served, counts.requests) < before - RECOVERY_TOLERANCE) {
                well = 0;
                since = Double.NaN;
            } else if (well < MIN_RECOVERED_SLOTS) {
                since = well == 0 ? Math.max(0, slot.getKey() * SLOT_MS - end) : since;
                well++;
            } else {
                break;
            }
        }
        return since;
    }

    private Summary.Return summarizeReturn(ReturnRecord back, int balancers) {
        double full = Double.NaN;
        int from = (int) Math.floor((back.start - loadBegan) / SLOT_MS);
        for (int i = from; i < slots.lastKey() && Double.isNaN(full); i++) {
            int ownTries = 0;
            int all = 0;
            for (Slot slot : slots.subMap(i, i + 2).values()) {
                ownTries += slot.sent.getOrDefault(back.process, 0);
                all += slot.tries;
            }
            if (all > 0 && ownTries >= FULL_SHARE * all / balancers) {
                full = Math.max(0, i * SLOT_MS + loadBegan - back.start);
            }
        }
        return new Summary.Return(back.process, back.start - loadBegan, back.ready - back.start,
                back.firstServed - back.start, full, back.metAgain);
    }

    private List<Summary.Second> seconds() {
        List<Summary.Second> seconds = new ArrayList<>();
        int perSecond = (int) (MS_PER_S / SLOT_MS);
        if (slots.isEmpty()) {
            return seconds;
        }
        for (int second = 0; second <= slots.lastKey() / perSecond; second++) {
            Histogram merged = new Histogram(MAX_LATENCY_US, 2);
            long all = 0;
            long well = 0;
            long no = 0;
            for (Slot slot : slots.subMap(second * perSecond, (second + 1) * perSecond).values()) {
                merged.add(slot.latency);
                all += slot.requests;
                well += slot.served;
                no += slot.refused;
            }
            // Retries may still be sent after the last request was due.
            if (all > 0) {
                seconds.add(new Summary.Second(second, all, well, no, percentile(merged, 50),
                        percentile(merged, 99)));
            }
        }
        return seconds;
    }

    private static double percentile(Histogram of, double percent) {
        return of.getTotalCount() == 0 ? Double.NaN : of.getValueAtPercentile(percent) / US_PER_MS;
    }

    private static double share(double part, double whole) {
        return whole == 0 ? Double.NaN : part / whole;
    }
}
