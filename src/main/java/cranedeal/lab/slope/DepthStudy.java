package cranedeal.lab.slope;

import cranedeal.fleet.command.CommandException;
import cranedeal.lab.slope.SlopeReport.Basis;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import java.util.stream.DoubleStream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Simulates how many attempts reach the last tier for each client request, by the number of tiers. */
@Command(name = "depth", mixinStandardHelpOptions = true,
        description = "Attempts at the last of several tiers per request at the first, while the last"
                + " is faulty; in virtual time.")
final class DepthStudy extends Study {

    private static final double MS_PER_S = 1_000;

    @Option(names = "--tiers", split = ",", defaultValue = "1,2,4,9,18", paramLabel = "N",
            description = "Numbers of tiers; default ${DEFAULT-VALUE}.")
    private List<Integer> tiers;
    @Option(names = "--width", defaultValue = "8", paramLabel = "N",
            description = "Upstreams of each tier, and balancers before the first; default ${DEFAULT-VALUE}.")
    private int width;
    @Option(names = "--rate", defaultValue = "231", paramLabel = "N",
            description = "Requests per second at each balancer; default ${DEFAULT-VALUE}.")
    private double rate;
    @Option(names = "--work-ms", defaultValue = "2", description = "Mean service time of an upstream.")
    private double workMs;
    @Option(names = "--slow-times", defaultValue = "50", description = "Slowdown factor of the slow leaf.")
    private double slowTimes;
    @Option(names = "--trouble-s", defaultValue = "2", description = "How long the leaf is faulty.")
    private double troubleS;
    @Option(names = "--repeat", defaultValue = "5", paramLabel = "N",
            description = "Runs of each size, with seeds 1 to N; default ${DEFAULT-VALUE}.")
    private int repeat;

    @Override
    protected SlopeReport measure() throws CommandException {
        if (tiers.size() < Line.MIN_SIZES
                || tiers.stream().anyMatch(tierCount -> tierCount < 1 || tierCount > 100)
                || width < 1 || width > 1_000 || !(rate > 0) || !(workMs > 0) || !(slowTimes >= 1)
                || !(troubleS > 0) || repeat < 1) {
            throw usageError("at least four numbers of tiers from 1 to 100, a width from 1 to 1000, and a"
                    + " rate, times and repeats above 0 are needed");
        }
        Chain.Shape shape = new Chain.Shape(1, width, rate, workMs, 4, 100, 0.1, slowTimes, 10 * MS_PER_S,
                troubleS * MS_PER_S);
        SlopeReport report = report("tiers").with("width", width).with("rate_per_s", rate)
                .with("work_ms", workMs).with("cores", shape.cores()).with("queue", shape.queue())
                .with("hop_ms", shape.hopMs()).with("slow_times", slowTimes)
                .with("settle_s", shape.settleMs() / MS_PER_S).with("trouble_s", troubleS)
                .with("aim_ms", ChainSettings.AIM_MS).with("deadline_ms", ChainSettings.DEADLINE_MS);
        for (Chain.Leaf leaf : Chain.Leaf.values()) {
            Map<Integer, List<Chain.Stats>> runs = new LinkedHashMap<>();
            for (int depth : tiers) {
                Chain.Shape deep = new Chain.Shape(depth, width, rate, workMs, shape.cores(), shape.queue(),
                        shape.hopMs(), slowTimes, shape.settleMs(), shape.troubleMs());
                for (int seed = 1; seed <= repeat; seed++) {
                    runs.computeIfAbsent(depth, absent -> new ArrayList<>())
                            .add(Chain.simulate(deep, leaf, seed));
                }
            }
            add(report, leaf, runs);
        }
        return report;
    }

    private static void add(SlopeReport report, Chain.Leaf leaf, Map<Integer, List<Chain.Stats>> runs) {
        String name = "-" + leaf.name().toLowerCase(Locale.ROOT);
        add(report, "attempts" + name, "attempts/request", runs, seen -> ratio(last(seen.attempts()),
                seen.requests()));
        add(report, "attempts-admitted" + name, "attempts/request", runs, seen -> ratio(last(seen.attempts()),
                seen.admitted()));
        add(report, "arrived" + name, "attempts/request", runs, seen -> ratio(seen.arrived(),
                seen.requests()));
        add(report, "peak" + name, "attempts/request", runs, Chain.Stats::peak);
        add(report, "repeats-first-tier" + name, "attempts/call", runs, seen -> ratio(seen.attempts()[0],
                seen.calls()[0]));
        add(report, "repeats-last-tier" + name, "attempts/call", runs, seen -> ratio(last(seen.attempts()),
                last(seen.calls())));
        add(report, "served" + name, "share", runs, seen -> ratio(seen.served(), seen.requests()));
        add(report, "refused" + name, "share", runs, seen -> ratio(seen.refused(), seen.requests()));
        add(report, "failed" + name, "share", runs, seen -> ratio(seen.failed(), seen.requests()));
        add(report, "unanswered" + name, "share", runs, seen -> ratio(seen.unanswered(), seen.requests()));
        add(report, "work" + name, "ms/request", runs, seen -> ratio(DoubleStream.of(seen.workMs()).sum(),
                seen.requests()));
        add(report, "wasted" + name, "share", runs, seen -> ratio(DoubleStream.of(seen.wastedMs()).sum(),
                DoubleStream.of(seen.workMs()).sum()));
        add(report, "gone-calls" + name, "calls/request", runs, seen -> ratio(seen.goneCalls(),
                seen.requests()));
    }

    private static void add(SlopeReport report, String name, String unit,
            Map<Integer, List<Chain.Stats>> runs, ToDoubleFunction<Chain.Stats> what) {
        report.add(name, unit, Basis.SIMULATED, runs.entrySet().stream().map(entry -> new Point(
                entry.getKey(), entry.getValue().stream().map(what::applyAsDouble).toList())).toList());
    }

    private static double last(long[] tiers) {
        return tiers[tiers.length - 1];
    }

    private static double ratio(double one, double other) {
        return other == 0 ? 0 : one / other;
    }
}
