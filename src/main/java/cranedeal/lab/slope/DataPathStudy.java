package cranedeal.lab.slope;

import cranedeal.fleet.command.CommandException;
import cranedeal.lab.LabCommand.ProgramUnderTest;
import cranedeal.lab.slope.SlopeReport.Basis;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * Measures the latency that a balancer adds to a call. It sends the same calls directly to the upstreams and
 * through one balancer, in pairs of runs one after the other.
 */
@Command(name = "data-path", mixinStandardHelpOptions = true,
        description = "Latency that a balancer adds to a call, and its cost per call, by rate and list size.")
final class DataPathStudy extends Study {

    /** Percentiles by their label in series names. */
    private static final Map<String, Double> QUANTILES = new TreeMap<>(Map.of("p50", 50.0, "p99", 99.0,
            "p999", 99.9));
    private static final double NANOS_PER_US = 1e3;
    /** The seed of the warm-up; pairs use their number, from 1 on, as seed. */
    private static final long WARM_UP = 0;

    @Option(names = "--rates", split = ",", defaultValue = "10,50,231,700,1500", paramLabel = "N",
            description = "Calls per second, 10 for an idle balancer; default ${DEFAULT-VALUE}.")
    private List<Double> rates;
    @Option(names = "--lists", split = ",", defaultValue = "25", paramLabel = "N",
            description = "How many upstreams there are; default ${DEFAULT-VALUE}.")
    private List<Integer> lists;
    @Option(names = "--along", defaultValue = "rates", paramLabel = "rates|lists",
            description = "Which of the two lines are fitted over; default ${DEFAULT-VALUE}.")
    private String along;
    @Option(names = "--seconds", defaultValue = "4",
            description = "How long each half of a pair lasts; default ${DEFAULT-VALUE}.")
    private double seconds;
    @Option(names = "--pairs", defaultValue = "3", paramLabel = "N",
            description = "Pairs at each point; default ${DEFAULT-VALUE}.")
    private int pairs;
    @Option(names = "--warm-up", defaultValue = "8", paramLabel = "SECONDS",
            description = "Warm-up for each list, at the greatest rate, counted separately; "
                    + "default ${DEFAULT-VALUE}.")
    private double warmUp;
    @Option(names = "--work-us", defaultValue = "0", paramLabel = "N",
            description = "Microseconds that an upstream takes to answer; default ${DEFAULT-VALUE}.")
    private long workUs;
    @Mixin
    private ProgramUnderTest program;

    /** One combination of rate and list size. */
    private record GridPoint(double rate, int list) { }

    /** The same calls sent directly and through the balancer; {@code bytes} is NaN if not measured. */
    private record Pair(DataPathClient.Results direct, DataPathClient.Results through, double cpuUs,
            double bytes) {

        double addedUs(double percent) {
            return us(through.latency(), percent) - us(direct.latency(), percent);
        }
    }

    private static double us(Histogram histogram, double percent) {
        return histogram.getValueAtPercentile(percent) / NANOS_PER_US;
    }

    @Override
    protected SlopeReport measure() throws CommandException, IOException, InterruptedException {
        boolean byRate = along.equals("rates");
        if (!byRate && !along.equals("lists")) {
            throw usageError("--along must be rates or lists, not '" + along + "'");
        }
        if ((byRate ? rates.size() : lists.size()) < Line.MIN_SIZES) {
            throw usageError("--" + along + ": " + Line.MIN_SIZES + " or more values are needed for a line");
        }
        if (!rates.stream().allMatch(rate -> rate > 0 && Double.isFinite(rate)) || !(seconds > 0)
                || lists.stream().anyMatch(list -> list < 1) || pairs < 1 || !(warmUp > 0) || workUs < 0) {
            throw usageError("rates, lists, times and pairs must be above 0");
        }
        Map<GridPoint, List<Pair>> seen = new LinkedHashMap<>();
        Map<String, Object> warmUps = new LinkedHashMap<>();
        Map<String, Object> memory = new LinkedHashMap<>();
        for (int list : lists) {
            try (DataPathBench bench = new DataPathBench(program.command(), list, workUs)) {
                warmUps.put(Integer.toString(list), warmUp(bench));
                for (int pair = 1; pair <= pairs; pair++) {
                    for (double rate : rates) {
                        seen.computeIfAbsent(new GridPoint(rate, list), place -> new ArrayList<>())
                                .add(pair(bench, rate, pair));
                    }
                }
                memory.put(Integer.toString(list), bench.rssKb());
            }
        }
        return report(seen, byRate).with("seconds", seconds).with("pairs", pairs).with("work_us", workUs)
                .with("warm_up_s", warmUp).with("warm_up", warmUps).with("rss_kb", memory)
                .with("latency", "from a call's writing to its whole answer; the generator's lateness apart");
    }

    /** Sends calls directly and through the balancer until code is compiled and connections are open. */
    private Map<String, Object> warmUp(DataPathBench bench) throws InterruptedException {
        double maxRate = rates.stream().mapToDouble(Double::doubleValue).max().orElseThrow();
        bench.client().run(bench.upstreams(), maxRate, warmUp, WARM_UP);
        return countsOf(bench.client().run(List.of(bench.listen()), maxRate, warmUp, WARM_UP));
    }

    private Pair pair(DataPathBench bench, double rate, int number) throws IOException,
            InterruptedException {
        // The order alternates between pairs, so that a drift of the machine's speed favours neither half.
        boolean directFirst = number % 2 == 1;
        DataPathClient.Results direct = directFirst ? direct(bench, rate, number) : null;
        double before = bench.cpuUs();
        long mark = bench.logPosition();
        DataPathClient.Results through = bench.client().run(List.of(bench.listen()), rate, seconds, number);
        double cpu = (bench.cpuUs() - before) / Math.max(1, through.calls());
        double bytes = bench.allocatedPerS(mark) * seconds / Math.max(1, through.calls());
        return new Pair(directFirst ? direct : direct(bench, rate, number), through, cpu, bytes);
    }

    private DataPathClient.Results direct(DataPathBench bench, double rate, int number)
            throws InterruptedException {
        return bench.client().run(bench.upstreams(), rate, seconds, number);
    }

    static Map<String, Object> countsOf(DataPathClient.Results block) {
        Map<String, Object> counts = new LinkedHashMap<>();
        counts.put("calls", block.calls());
        counts.put("served", block.served());
        counts.put("refused", block.refused());
        counts.put("failed", block.failed());
        counts.put("unanswered", block.unanswered());
        counts.put("unconnected", block.unconnected());
        counts.put("unsent", block.unsent());
        counts.put("ended", block.ended());
        if (!block.failures().isEmpty()) {
            counts.put("failures", block.failures());
        }
        if (!block.refusals().isEmpty()) {
            counts.put("refusals", block.refusals());
        }
        return counts;
    }

    private SlopeReport report(Map<GridPoint, List<Pair>> seen, boolean byRate) {
        SlopeReport report = report(byRate ? "call a second" : "upstream");
        Map<String, Object> counts = new LinkedHashMap<>();
        List<String> missing = new ArrayList<>();
        for (Number fixed : byRate ? lists : rates) {
            String name = (byRate ? "-list-" : "-rate-") + plain(fixed.doubleValue());
            Map<Double, List<Pair>> line = new TreeMap<>();
            seen.forEach((place, all) -> {
                if ((byRate ? place.list() : place.rate()) == fixed.doubleValue()) {
                    line.put(byRate ? place.rate() : place.list(), all);
                }
            });
            QUANTILES.forEach((label, percent) -> {
                add(report, "added-" + label + name, "us", line, pair -> pair.addedUs(percent));
                add(report, "direct-" + label + name, "us", line, pair -> us(pair.direct().latency(),
                        percent));
            });
            add(report, "generator-late-p99" + name, "us", line, pair -> us(pair.through().lateness(), 99));
            add(report, "cpu" + name, "us", line, Pair::cpuUs);
            if (line.values().stream().flatMap(List::stream).mapToDouble(Pair::bytes)
                    .allMatch(Double::isFinite)) {
                add(report, "allocated" + name, "bytes", line, Pair::bytes);
            } else {
                missing.add("allocated" + name + ": a half with fewer than two collections");
                line.forEach((at, all) -> all.stream().mapToDouble(Pair::bytes).filter(Double::isFinite)
                        .average().ifPresent(mean -> counts.put("allocated_bytes" + name + "-at-" + plain(at),
                                Math.round(mean))));
            }
            line.forEach((at, all) -> {
                counts.put("through" + name + "-at-" + plain(at), all.stream()
                        .map(pair -> countsOf(pair.through())).toList());
                counts.put("direct" + name + "-at-" + plain(at), all.stream()
                        .map(pair -> countsOf(pair.direct())).toList());
            });
        }
        return report.with("counts", counts).with("not_measured", missing);
    }

    private static void add(SlopeReport report, String name, String unit, Map<Double, List<Pair>> line,
            ToDoubleFunction<Pair> value) {
        report.add(name, unit, Basis.MEASURED, line.entrySet().stream()
                .map(entry -> new Point(entry.getKey(), entry.getValue().stream()
                        .map(value::applyAsDouble).toList())).toList());
    }

    private static String plain(double size) {
        return size == Math.rint(size) ? Long.toString((long) size) : String.format(Locale.ROOT, "%s", size);
    }
}
