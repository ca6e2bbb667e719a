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
 * What a balancer that is short of processor time serves of what it is offered, how it ends the rest, and
 * how it does once the load is over. Each rate has a balancer of its own.
 */
@Command(name = "goodput", mixinStandardHelpOptions = true,
        description = "What a balancer on one shared processor serves, by the calls that it is offered.")
final class GoodputStudy extends Study {

    private static final double NANOS_PER_MS = 1e6;
    private static final double US_PER_S = 1e6;
    private static final double AFTER_S = 3;

    @Option(names = "--rates", split = ",", defaultValue = "250,500,1000,2000", paramLabel = "N",
            description = "Calls a second; default ${DEFAULT-VALUE}.")
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
            description = "Busy processes that share it; default ${DEFAULT-VALUE}.")
    private int busy;
    @Option(names = "--sockets", defaultValue = "1024", paramLabel = "N",
            description = "Descriptors that the balancer may hold; default ${DEFAULT-VALUE}.")
    private int sockets;
    @Option(names = "--connections", defaultValue = "341", paramLabel = "N",
            description = "Connections that the clients may hold, a third of the descriptors by the terms; "
                    + "default ${DEFAULT-VALUE}.")
    private int connections;
    @Option(names = "--after-rate", defaultValue = "50", paramLabel = "N",
            description = "Calls a second before the load and after it; default ${DEFAULT-VALUE}.")
    private double afterRate;
    @Option(names = "--work-ms", defaultValue = "0", paramLabel = "N",
            description = "How long each upstream takes for an answer; default ${DEFAULT-VALUE}.")
    private int workMs;
    @Option(names = "--seed", defaultValue = "0", paramLabel = "N",
            description = "The seed of the arrivals; default ${DEFAULT-VALUE}.")
    private long seed;
    @Mixin
    private ProgramUnderTest program;

    @Override
    protected SlopeReport measure() throws CommandException, IOException, InterruptedException {
        if (rates.size() < Line.MIN_SIZES) {
            throw wrong("--rates: " + Line.MIN_SIZES + " or more are wanted for a line");
        }
        if (rates.stream().anyMatch(rate -> !(rate > 0)) || upstreams < 1 || !(seconds > 0) || processor < 0
                || busy < 0 || sockets < 1 || connections < 1 || !(afterRate > 0) || workMs < 0) {
            throw wrong("rates, upstreams, times and descriptors above 0 are wanted");
        }
        Map<Double, OverloadPlay> seen = new TreeMap<>();
        for (double rate : rates) {
            seen.put(rate, play(rate));
        }
        return report(seen);
    }

    private OverloadPlay play(double rate) throws CommandException, IOException, InterruptedException {
        OverloadScenario scenario = new OverloadScenario(busy, LoadProfile.constant(rate, seconds), upstreams,
                workMs, connections, 0, seed);
        return OverloadPlay.play(program.command(), scenario, processor, sockets,
                new OverloadPlay.Calm(afterRate, AFTER_S));
    }

    private SlopeReport report(Map<Double, OverloadPlay> seen) {
        SlopeReport report = report("call a second").with("upstreams", upstreams).with("seconds", seconds)
                .with("busy", busy).with("sockets", sockets).with("connections", connections);
        Map<String, Object> counts = new LinkedHashMap<>();
        seen.forEach((rate, one) -> {
            counts.put("load-at-" + rate.longValue(), DataPathStudy.countsOf(one.load()));
            counts.put("causes-at-" + rate.longValue(), one.causes());
            counts.put("after-" + rate.longValue(), DataPathStudy.countsOf(one.after()));
        });
        add(report, "goodput", "calls/s", seen, one -> one.load().served() / seconds);
        add(report, "refused", "share", seen, one -> share(one.load().refused(), one.load()));
        add(report, "failed", "share", seen, one -> share(one.load().failed(), one.load()));
        add(report, "unanswered", "share", seen, one -> share(one.load().unanswered(), one.load()));
        add(report, "unsent", "share", seen, one -> share(one.load().unsent(), one.load()));
        add(report, "p50", "ms", seen, one -> one.load().latency().getValueAtPercentile(50) / NANOS_PER_MS);
        add(report, "p99", "ms", seen, one -> one.load().latency().getValueAtPercentile(99) / NANOS_PER_MS);
        add(report, "after-served", "share", seen, one -> share(one.after().served(), one.after()));
        add(report, "after-p99", "ms", seen,
                one -> one.after().latency().getValueAtPercentile(99) / NANOS_PER_MS);
        add(report, "cpu", "s", seen, one -> one.cpuUs() / US_PER_S);
        return report.with("counts", counts);
    }

    private static double share(long part, DataPathClient.Results of) {
        return (double) part / Math.max(1, of.calls());
    }

    private static void add(SlopeReport report, String name, String unit, Map<Double, OverloadPlay> seen,
            ToDoubleFunction<OverloadPlay> what) {
        List<Point> points = new ArrayList<>();
        seen.forEach((rate, one) -> points.add(Point.of(rate, what.applyAsDouble(one))));
        report.add(name, unit, Basis.MEASURED, points);
    }
}
