package cranedeal;

import cranedeal.LoadBalancer.Change;
import cranedeal.LoadBalancer.Result;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * Simulates servers that are healthy, then fail for a while, then recover, in virtual time: measures how many
 * calls they get while they fail, and how soon they regain their share. Run by hand; adr 9 holds the results.
 */
final class OutageBenchmark {

    private static final int SEEDS = 20;
    private static final double HEALTHY_MS = 20_000;
    private static final double FAILING_MS = 30_000;
    private static final double AFTER_MS = 60_000;
    private static final double EARLY_MS = 2_000;
    private static final double SLOT_MS = 500;
    private static final int SLOTS = 4;
    /** Every second server is of a machine type that takes twice as long. */
    private static final double[] SERVED_MS = {7, 14};

    private record Finish(double at, Bench.Sent sent, boolean fails) { }

    private final int servers;
    private final int failingServers;
    private final double ratePerS;
    private final double failureShare;
    private int earlyCalls;
    private int laterCalls;
    private final List<Double> recoveryTimes = new ArrayList<>();

    private OutageBenchmark(int servers, int bad, double ratePerS, double failing) {
        this.servers = servers;
        this.failingServers = bad;
        this.ratePerS = ratePerS;
        this.failureShare = failing;
    }

    public static void main(String[] args) {
        double[][] cases = {{12, 1, 250, 1}, {40, 11, 250, 1}, {40, 1, 100, 1}, {200, 20, 100, 1},
            {12, 1, 250, 0.5}, {12, 1, 250, 0.1}};
        for (double[] scenario : cases) {
            new OutageBenchmark((int) scenario[0], (int) scenario[1], scenario[2], scenario[3]).run();
        }
    }

    private void run() {
        for (int seed = 0; seed < SEEDS; seed++) {
            runSeed(seed);
        }
        Collections.sort(recoveryTimes);
        System.out.printf(Locale.ROOT, "%d of %d fail %.1f of their calls, %.0f requests a second: %.1f calls"
                + " in the first 2 s, %.2f a second in the last 15 s; half of the share after %.0f ms%n",
                failingServers, servers, failureShare, ratePerS, (double) earlyCalls / SEEDS,
                laterCalls / (SEEDS * FAILING_MS / 2_000),
                recoveryTimes.get(SEEDS / 2));
    }

    private static double exponential(double mean, RandomGenerator random) {
        return -Math.log(1 - random.nextDouble()) * mean;
    }

    private void runSeed(int seed) {
        Bench bench = new Bench(Sites.plain().build(), seed);
        Sites.Server[] list = new Sites.Server[servers];
        for (int i = 0; i < servers; i++) {
            list[i] = Sites.server(i + 1).machineType(i % 2);
        }
        bench.list(Change.CACHED, list);
        SplittableRandom random = new SplittableRandom(7L * seed + 1);
        PriorityQueue<Finish> finishes = new PriorityQueue<>(Comparator.comparingDouble(Finish::at));
        double failsAt = bench.now + HEALTHY_MS;
        double recoversAt = failsAt + FAILING_MS;
        int[] failingCalls = new int[(int) (AFTER_MS / SLOT_MS) + 1];
        int[] allCalls = new int[failingCalls.length];
        double next = bench.now;
        int checkedSends = 0;
        for (long id = 0; bench.now < recoversAt + AFTER_MS;) {
            if (!finishes.isEmpty() && finishes.peek().at() <= next) {
                Finish finish = finishes.poll();
                bench.advance(Math.max(0, finish.at() - bench.now));
                bench.finish(finish.sent(), finish.fails() ? Result.ERROR : Result.OK);
            } else {
                bench.advance(Math.max(0, next - bench.now));
                bench.request(id++, random.nextInt(10) < 8 ? 0 : 1);
                next += exponential(1_000 / ratePerS, random);
            }
            for (; checkedSends < bench.sends.size(); checkedSends++) {
                Bench.Sent sent = bench.sends.get(checkedSends);
                double now = bench.now;
                boolean toFailing = sent.upstream() <= failingServers;
                boolean outage = toFailing && now >= failsAt && now < recoversAt;
                earlyCalls += outage && now < failsAt + EARLY_MS ? 1 : 0;
                laterCalls += outage && now >= recoversAt - FAILING_MS / 2 ? 1 : 0;
                int slot = (int) Math.floor((now - recoversAt) / SLOT_MS);
                if (slot >= 0 && slot < failingCalls.length) {
                    allCalls[slot]++;
                    failingCalls[slot] += toFailing ? 1 : 0;
                }
                boolean fails = outage && random.nextDouble() < failureShare;
                double served = SERVED_MS[(int) (sent.upstream() - 1) % 2];
                double takes = fails ? 1 : 1 + exponential(served, random);
                finishes.add(new Finish(now + takes, sent, fails));
            }
        }
        recoveryTimes.add(recoveryTime(failingCalls, allCalls));
    }

    /**
     * Returns when the failing servers had regained half of their even share for two seconds, or the end of
     * the run if they never did.
     */
    private double recoveryTime(int[] failingCalls, int[] allCalls) {
        for (int from = 0; from + SLOTS < failingCalls.length; from++) {
            double part = 0;
            double whole = 0;
            for (int slot = from; slot < from + SLOTS; slot++) {
                part += failingCalls[slot];
                whole += allCalls[slot];
            }
            if (part >= whole * failingServers / servers / 2) {
                return from * SLOT_MS;
            }
        }
        return AFTER_MS;
    }
}
