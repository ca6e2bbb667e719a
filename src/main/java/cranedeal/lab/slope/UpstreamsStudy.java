package cranedeal.lab.slope;

import cranedeal.fleet.command.CommandException;
import cranedeal.lab.LabCommand.ProgramUnderTest;
import cranedeal.lab.slope.DataPathBench.Processor;
import cranedeal.lab.slope.SlopeReport.Basis;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * Measures a balancer's resource use by the number of upstreams, under the same traffic. While calls run,
 * half of the upstreams are drained in waves and come back restarted and cold.
 */
@Command(name = "upstreams", mixinStandardHelpOptions = true,
        description = "Resource use of a balancer by the number of upstreams, while half are replaced.")
final class UpstreamsStudy extends Study {

    private static final double US_PER_S = 1e6;
    private static final double WARM_UP_S = 3;
    private static final long WAVE_MS = 200;
    /** Number of waves after which a drained wave is back. */
    private static final int WAVES_AWAY = 5;
    private static final int WAVES = 40;
    private static final long SAMPLE_MS = 50;

    @Option(names = "--lists", split = ",", defaultValue = "200,400,1600,3200", paramLabel = "N",
            description = "How many upstreams there are; default ${DEFAULT-VALUE}.")
    private List<Integer> lists;
    @Option(names = "--rate", defaultValue = "60", paramLabel = "N",
            description = "Calls per second; default ${DEFAULT-VALUE}.")
    private double rate;
    @Option(names = "--seconds", defaultValue = "20",
            description = "How long calls are sent; default ${DEFAULT-VALUE}.")
    private double seconds;
    @Option(names = "--sockets", defaultValue = "1024", paramLabel = "N",
            description = "Descriptors that the balancer may hold; default ${DEFAULT-VALUE}.")
    private int sockets;
    @Option(names = "--repeat", defaultValue = "1", paramLabel = "N",
            description = "Balancers of each size, one after the other; default ${DEFAULT-VALUE}.")
    private int repeat;
    @Mixin
    private ProgramUnderTest program;

    /** The results for one balancer. */
    private record Results(DataPathClient.Results block, double cpuS, double peakMb, double descriptors,
            double connects, double listKb) { }

    @Override
    protected SlopeReport measure() throws CommandException, IOException, InterruptedException {
        if (lists.size() < Line.MIN_SIZES || lists.stream().anyMatch(list -> list < 2 * WAVES)
                || !(rate > 0) || !(seconds > 0) || sockets < 1 || repeat < 1) {
            throw usageError("at least four lists of " + 2 * WAVES
                    + " or more, and numbers above 0, are needed");
        }
        Map<Integer, List<Results>> seen = new TreeMap<>();
        for (int i = 1; i <= repeat; i++) {
            for (int list : lists) {
                seen.computeIfAbsent(list, size -> new ArrayList<>()).add(run(list, i));
            }
        }
        return report(seen);
    }

    private Results run(int list, long seed) throws CommandException, IOException, InterruptedException {
        ScheduledExecutorService clock = Executors.newSingleThreadScheduledExecutor();
        try (DataPathBench bench = new DataPathBench(program.command(), list, 0, sockets,
                Integer.MAX_VALUE, Processor.ANY)) {
            List<InetSocketAddress> balancer = List.of(bench.listen());
            bench.client().run(balancer, rate, WARM_UP_S, 0);
            Waves waves = new Waves(bench, list);
            clock.scheduleAtFixedRate(waves::advance, WAVE_MS, WAVE_MS, TimeUnit.MILLISECONDS);
            int[] maxDescriptors = new int[1];
            clock.scheduleAtFixedRate(() -> maxDescriptors[0] = Math.max(maxDescriptors[0],
                    descriptors(bench)), SAMPLE_MS, SAMPLE_MS, TimeUnit.MILLISECONDS);
            DataPathClient.Results block = bench.client().run(balancer, rate, seconds, seed);
            clock.shutdownNow();
            clock.awaitTermination(1, TimeUnit.MINUTES);
            return new Results(block, bench.cpuUs() / US_PER_S, bench.peakKb() / 1024.0, maxDescriptors[0],
                    bench.metric("connects"), bench.discovery().listBytes() / 1024.0);
        } finally {
            clock.shutdownNow();
        }
    }

    private static int descriptors(DataPathBench bench) {
        try {
            return bench.descriptors();
        } catch (IOException e) {
            return 0;
        }
    }

    /** Drains half of the upstreams in waves and brings each wave back restarted some waves later. */
    private static final class Waves {

        private final DataPathBench bench;
        private final int size;
        private int wave;

        Waves(DataPathBench bench, int list) {
            this.bench = bench;
            size = list / 2 / WAVES;
        }

        void advance() {
            if (wave < WAVES) {
                each(wave, id -> bench.discovery().state(id, "draining"));
            }
            if (wave >= WAVES_AWAY && wave < WAVES + WAVES_AWAY) {
                each(wave - WAVES_AWAY, id -> bench.discovery().started(id, System.currentTimeMillis()));
            }
            wave++;
        }

        private void each(int waveIndex, Consumer<String> change) {
            for (int i = waveIndex * size; i < (waveIndex + 1) * size; i++) {
                change.accept(DataPathConfig.id(i));
            }
        }
    }

    private SlopeReport report(Map<Integer, List<Results>> seen) {
        SlopeReport report = report("upstream").with("rate_per_s", rate).with("seconds", seconds)
                .with("sockets", sockets).with("repeat", repeat);
        Map<String, Object> counts = new LinkedHashMap<>();
        seen.forEach((list, all) -> counts.put("calls-at-" + list,
                all.stream().map(results -> DataPathStudy.countsOf(results.block())).toList()));
        add(report, "cpu", "s", seen, Results::cpuS);
        add(report, "peak", "MB", seen, Results::peakMb);
        add(report, "descriptors", "descriptors", seen, Results::descriptors);
        add(report, "connects", "connections", seen, Results::connects);
        add(report, "lists", "KB", seen, Results::listKb);
        add(report, "served", "share", seen, results -> (double) results.block().served()
                / results.block().calls());
        return report.with("counts", counts);
    }

    private static void add(SlopeReport report, String name, String unit, Map<Integer, List<Results>> seen,
            ToDoubleFunction<Results> what) {
        report.add(name, unit, Basis.MEASURED, seen.entrySet().stream().map(entry -> new Point(
                entry.getKey(), entry.getValue().stream().map(what::applyAsDouble).toList())).toList());
    }
}
