package cranedeal.lab.slope;

import cranedeal.fleet.command.CommandException;
import cranedeal.lab.LabCommand.ProgramUnderTest;
import cranedeal.lab.slope.SlopeReport.Basis;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Measures the balancer's resident memory by the number of idle client connections. */
@Command(name = "connections", mixinStandardHelpOptions = true,
        description = "Memory of a balancer by how many connections its clients keep.")
final class DataPathConnections extends Study {

    private static final double WARM_UP_RATE = 500;

    @Option(names = "--connections", split = ",", defaultValue = "100,200,400,800", paramLabel = "N",
            description = "Numbers of idle connections to measure at; default ${DEFAULT-VALUE}.")
    private List<Integer> sizes;
    @Option(names = "--upstreams", defaultValue = "25", paramLabel = "N",
            description = "How many upstreams there are; default ${DEFAULT-VALUE}.")
    private int upstreams;
    @Option(names = "--repeat", defaultValue = "3", paramLabel = "N",
            description = "How many balancers are measured, one after the other; default ${DEFAULT-VALUE}.")
    private int repeat;
    @Option(names = "--warm-up", defaultValue = "6", paramLabel = "SECONDS",
            description = "How long calls are sent before measuring; default ${DEFAULT-VALUE}.")
    private double warmUp;
    @Mixin
    private ProgramUnderTest program;

    @Override
    protected SlopeReport measure() throws CommandException, IOException, InterruptedException {
        List<Integer> sorted = sizes.stream().sorted().distinct().toList();
        if (sorted.size() < Line.MIN_SIZES || sorted.get(0) < 1 || upstreams < 1 || repeat < 1
                || !(warmUp > 0)) {
            throw usageError("--connections needs at least four sizes, and all numbers must be above 0");
        }
        Map<Integer, List<Double>> rss = new LinkedHashMap<>();
        for (int i = 0; i < repeat; i++) {
            try (DataPathBench bench = new DataPathBench(program.command(), upstreams, 0)) {
                bench.client().run(List.of(bench.listen()), WARM_UP_RATE, warmUp, i);
                bench.client().close();
                int open = 0;
                for (int size : sorted) {
                    if (bench.client().open(bench.listen(), size - open) < size) {
                        throw new IOException("the balancer did not keep " + size + " connections");
                    }
                    open = size;
                    rss.computeIfAbsent(size, absent -> new ArrayList<>()).add((double) bench.rssKb());
                }
            }
        }
        SlopeReport report = report("connection").with("repeat", repeat).with("upstreams", upstreams);
        return report.add("rss", "KB", Basis.MEASURED, rss.entrySet().stream()
                .map(entry -> new Point(entry.getKey(), entry.getValue())).toList());
    }
}
