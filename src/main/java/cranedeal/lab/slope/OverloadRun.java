package cranedeal.lab.slope;

import cranedeal.lab.slope.DataPathBench.Processor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Runs an overload against a balancer: a low rate, the load, two seconds at the low rate for the balancer to
 * recover, and the low rate again. The components are the results.
 *
 * @param load the calls under load
 * @param after the calls from two seconds after the load
 * @param cpuUs the processor time that the balancer used under load, in microseconds
 * @param metricsBefore the balancer's metrics before the load
 * @param metrics the balancer's metrics after the last call
 */
record OverloadRun(DataPathClient.Results load, DataPathClient.Results after, double cpuUs,
        Map<String, Long> metricsBefore, Map<String, Long> metrics) {

    private static final double RECOVERY_S = 2;
    private static final long MS_PER_S = 1_000;
    private static final List<String> CAUSES = List.of("refused_for_", "failed_for_", "unserved_",
            "connect_failed_", "closed_", "retried_after_");

    /** The rate and duration of the low load before and after the overload. */
    record LowLoad(double perS, double seconds) { }

    /** Runs a scenario on a new balancer, with the given low load around it. */
    static OverloadRun run(List<String> program, OverloadScenario scenario, int processor, int sockets,
            LowLoad calm) throws IOException, InterruptedException {
        try (DataPathBench bench = new DataPathBench(program, scenario.upstreams(),
                TimeUnit.MILLISECONDS.toMicros(scenario.workMs()), sockets, scenario.connections(),
                new Processor(processor, scenario.competitors()))) {
            List<InetSocketAddress> balancer = List.of(bench.listen());
            DataPathClient client = bench.client();
            long seed = scenario.seed();
            client.run(balancer, LoadProfile.constant(calm.perS(), calm.seconds()), seed);
            Map<String, Long> before = bench.allMetrics();
            double cpuBefore = bench.cpuUs();
            DataPathClient.Results load = runWithPause(bench, balancer, scenario);
            double cpuUs = bench.cpuUs() - cpuBefore;
            client.run(balancer, LoadProfile.constant(calm.perS(), RECOVERY_S), seed + 2);
            DataPathClient.Results after = client.run(balancer,
                    LoadProfile.constant(calm.perS(), calm.seconds()), seed + 3);
            return new OverloadRun(load, after, cpuUs, before, bench.allMetrics());
        }
    }

    private static DataPathClient.Results runWithPause(DataPathBench bench, List<InetSocketAddress> balancer,
            OverloadScenario scenario) throws IOException, InterruptedException {
        ExecutorService pauses = Executors.newSingleThreadExecutor();
        try {
            Future<Void> paused = pauses.submit(() -> {
                pause(bench, scenario);
                return null;
            });
            DataPathClient.Results load = bench.client().run(balancer, scenario.load(), scenario.seed() + 1);
            paused.get();
            return load;
        } catch (ExecutionException e) {
            throw new IOException("the balancer could not be paused", e.getCause());
        } finally {
            pauses.shutdownNow();
        }
    }

    private static void pause(DataPathBench bench, OverloadScenario scenario)
            throws IOException, InterruptedException {
        if (scenario.pauseMs() > 0) {
            TimeUnit.MILLISECONDS.sleep((long) (scenario.load().seconds() * MS_PER_S / 2));
            bench.balancer().signal("STOP");
            TimeUnit.MILLISECONDS.sleep(scenario.pauseMs());
            bench.balancer().signal("CONT");
        }
    }

    /** Returns the non-zero counts by cause of how calls ended since the load began. */
    Map<String, Long> causes() {
        Map<String, Long> causes = new LinkedHashMap<>();
        metrics.forEach((name, count) -> {
            long since = count - metricsBefore.getOrDefault(name, 0L);
            if (since != 0 && CAUSES.stream().anyMatch(name::startsWith)) {
                causes.put(name, since);
            }
        });
        return causes;
    }

    /** Returns how many caller connections the balancer closed or did not accept since the load began. */
    long closedCallers() {
        Map<String, Long> causes = causes();
        return causes.getOrDefault("closed_caller_not_taken", 0L)
                + causes.getOrDefault("closed_caller_for_room", 0L)
                + causes.getOrDefault("closed_silent_caller_for_room", 0L);
    }

    /**
     * Returns the violations: missing answers, failures, closes that no metric counts, and unserved calls
     * after the load.
     */
    List<String> faults() {
        List<String> faults = new ArrayList<>();
        if (load.unanswered() > 0) {
            faults.add(load.unanswered() + " unanswered under load");
        }
        if (load.failed() != load.ended()) {
            faults.add(load.failed() - load.ended() + " failed under load");
        }
        if (load.ended() > closedCallers()) {
            faults.add(load.ended() + " ended, " + closedCallers() + " closed by the balancer");
        }
        if (after.served() != after.calls()) {
            faults.add(after.calls() - after.served() + " of " + after.calls() + " not served after it");
        }
        return faults;
    }
}
