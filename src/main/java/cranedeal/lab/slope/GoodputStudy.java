package cranedeal.lab.slope;

import cranedeal.fleet.command.CommandException;
import cranedeal.lab.LabCommand.ProgramUnderTest;
import cranedeal.lab.slope.SlopeReport.Basis;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * Measures how much of the offered load a balancer serves when it is short of processor time, how the other
 * calls end, and how it recovers after the load. Each rate uses a new balancer.
 */
@Command(name = "goodput", mixinStandardHelpOptions = true,
        description = "Goodput of a balancer on one shared processor, by the offered rate.")
final class GoodputStudy extends Study {

    private static final double NANOS_PER_MS = 1e6;
    private static final double US_PER_S = 1e6;
    private static final double AFTER_S = 3;

    @Option(names = "--rates", split = ",", defaultValue = "250,500,1000,2000", paramLabel = "N",
            description = "Calls per second; default ${DEFAULT-VALUE}.")
    private List<Double> rates;
    @Option(names = "--upstreams", defaultValue = "25", paramLabel = "N",
            description = "How many upstreams there are; default ${DEFAULT-VALUE}.")
    private int upstreams;
    @Option(names = "--seconds", defaultValue = "10",
            description = "How long each rate is offered; default ${DEFAULT-VALUE}.")
    private double seconds;
    @Option(names = "--processor", defaultValue = "0", paramLabel = "N",
            description = "The processor that the balancer runs on; default ${DEFAULT-VALUE}.")
    private int processor;
    @Option(names = "--busy", defaultValue = "1", paramLabel = "N",
            description = "Busy processes on the same processor; default ${DEFAULT-VALUE}.")
    private int busy;
    @Option(names = "--sockets", defaultValue = "1024", paramLabel = "N",
            description = "Descriptors that the balancer may hold; default ${DEFAULT-VALUE}.")
    private int sockets;
    @Option(names = "--connections", defaultValue = "341", paramLabel = "N",
            description = "Limit on client connections, by default a third of the default descriptors; "
                    + "default ${DEFAULT-VALUE}.")
    private int connections;
    @Option(names = "--after-rate", defaultValue = "50", paramLabel = "N",
            description = "Calls per second before and after the load; default ${DEFAULT-VALUE}.")
    private double afterRate;
    @Option(names = "--work-ms", defaultValue = "0", paramLabel = "N",
            description = "How long each upstream takes to answer; default ${DEFAULT-VALUE}.")
    private int workMs;
    @Option(names = "--seed", defaultValue = "0", paramLabel = "N",
            description = "The seed of the arrivals; default ${DEFAULT-VALUE}.")
    private long seed;
    @Mixin
    private ProgramUnderTest program;

    @Override
    protected SlopeReport measure() throws CommandException, IOException, InterruptedException {
        if (rates.size() < Line.MIN_SIZES) {
            throw usageError("--rates: " + Line.MIN_SIZES + " or more values are needed for a line");
        }
        if (rates.stream().anyMatch(rate -> !(rate > 0)) || upstreams < 1 || !(seconds > 0) || processor < 0
                || busy < 0 || sockets < 1 || connections < 1 || !(afterRate > 0) || workMs < 0) {
            throw usageError("rates, upstreams, times and descriptors must be above 0");
        }
        Map<Double, OverloadRun> seen = new TreeMap<>();
        for (double rate : rates) {
            seen.put(rate, run(rate));
        }
        return report(seen);
    }

    private OverloadRun run(double rate) throws CommandException, IOException, InterruptedException {
        OverloadScenario scenario = new OverloadScenario(busy, LoadProfile.constant(rate, seconds), upstreams,
                workMs, connections, 0, seed);
        return OverloadRun.run(program.command(), scenario, processor, sockets,
                new OverloadRun.LowLoad(afterRate, AFTER_S));
    }

    private SlopeReport report(Map<Double, OverloadRun> seen) {
        SlopeReport report = report("call a second").with("upstreams", upstreams).with("seconds", seconds)
                .with("busy", busy).with("sockets", sockets).with("connections", connections);
        Map<String, Object> counts = new LinkedHashMap<>();
        seen.forEach((rate, run) -> {
            counts.put("load-at-" + rate.longValue(), DataPathStudy.countsOf(run.load()));
            counts.put("causes-at-" + rate.longValue(), run.causes());
            counts.put("after-" + rate.longValue(), DataPathStudy.countsOf(run.after()));
        });
        add(report, "goodput", "calls/s", seen, run -> run.load().served() / seconds);
        add(report, "refused", "share", seen, run -> share(run.load().refused(), run.load()));
        add(report, "failed", "share", seen, run -> share(run.load().failed(), run.load()));
        add(report, "unanswered", "share", seen, run -> share(run.load().unanswered(), run.load()));
        add(report, "unsent", "share", seen, run -> share(run.load().unsent(), run.load()));
        add(report, "p50", "ms", seen, run -> run.load().latency().getValueAtPercentile(50) / NANOS_PER_MS);
        add(report, "p99", "ms", seen, run -> run.load().latency().getValueAtPercentile(99) / NANOS_PER_MS);
        add(report, "after-served", "share", seen, run -> share(run.after().served(), run.after()));
        add(report, "after-p99", "ms", seen,
                run -> run.after().latency().getValueAtPercentile(99) / NANOS_PER_MS);
        add(report, "cpu", "s", seen, run -> run.cpuUs() / US_PER_S);
        return report.with("counts", counts);
    }

    private static double share(long part, DataPathClient.Results of) {
        return (double) part / Math.max(1, of.calls());
    }

    private static void add(SlopeReport report, String name, String unit, Map<Double, OverloadRun> seen,
            ToDoubleFunction<OverloadRun> what) {
        List<Point> points = new ArrayList<>();
        seen.forEach((rate, run) -> points.add(Point.of(rate, what.applyAsDouble(run))));
        report.add(name, unit, Basis.MEASURED, points);
    }
}
