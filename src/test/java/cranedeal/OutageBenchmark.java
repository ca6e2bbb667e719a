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
 * Servers that are well, then fail for a while, then are well again, in virtual time: how many calls they
 * get as they fail, and how soon their share is back. Run by hand; the figures stand in adr 9.
 */
final class OutageBenchmark {

    private static final int SEEDS = 20;
    private static final double WELL_MS = 20_000;
    private static final double FAILING_MS = 30_000;
    private static final double AFTER_MS = 60_000;
    private static final double EARLY_MS = 2_000;
    private static final double SLOT_MS = 500;
    private static final int SLOTS = 4;
    /** Every second server is of a kind that takes twice as long. */
    private static final double[] SERVED_MS = {7, 14};

    private record Finish(double at, Bench.Sent sent, boolean fails) { }

    private final int servers;
    private final int bad;
    private final double ratePerS;
    private final double failing;
    private int early;
    private int later;
    private final List<Double> returns = new ArrayList<>();

    private OutageBenchmark(int servers, int bad, double ratePerS, double failing) {
        this.servers = servers;
        this.bad = bad;
        this.ratePerS = ratePerS;
        this.failing = failing;
    }

    public static void main(String[] args) {
        double[][] cases = {{12, 1, 250, 1}, {40, 11, 250, 1}, {40, 1, 100, 1}, {200, 20, 100, 1},
            {12, 1, 250, 0.5}, {12, 1, 250, 0.1}};
        for (double[] one : cases) {
            new OutageBenchmark((int) one[0], (int) one[1], one[2], one[3]).run();
        }
    }

    private void run() {
        for (int seed = 0; seed < SEEDS; seed++) {
            play(seed);
        }
        Collections.sort(returns);
        System.out.printf(Locale.ROOT, "%d of %d fail %.1f of their calls, %.0f requests a second: %.1f calls"
                + " in the first 2 s, %.2f a second in the last 15 s; half of the share after %.0f ms%n", bad,
                servers, failing, ratePerS, (double) early / SEEDS, later / (SEEDS * FAILING_MS / 2_000),
                returns.get(SEEDS / 2));
    }

    private static double exponential(double mean, RandomGenerator random) {
        return -Math.log(1 - random.nextDouble()) * mean;
    }

    private void play(int seed) {
        Bench bench = new Bench(Sites.plain().build(), seed);
        Sites.Server[] list = new Sites.Server[servers];
        for (int i = 0; i < servers; i++) {
            list[i] = Sites.server(i + 1).kind(i % 2);
        }
        bench.list(Change.CACHED, list);
        SplittableRandom random = new SplittableRandom(7L * seed + 1);
        PriorityQueue<Finish> finishes = new PriorityQueue<>(Comparator.comparingDouble(Finish::at));
        double failsFrom = bench.now + WELL_MS;
        double wellFrom = failsFrom + FAILING_MS;
        int[] its = new int[(int) (AFTER_MS / SLOT_MS) + 1];
        int[] all = new int[its.length];
        double next = bench.now;
        int seen = 0;
        for (long id = 0; bench.now < wellFrom + AFTER_MS;) {
            if (!finishes.isEmpty() && finishes.peek().at() <= next) {
                Finish finish = finishes.poll();
                bench.advance(Math.max(0, finish.at() - bench.now));
                bench.finish(finish.sent(), finish.fails() ? Result.ERROR : Result.OK);
            } else {
                bench.advance(Math.max(0, next - bench.now));
                bench.request(id++, random.nextInt(10) < 8 ? 0 : 1);
                next += exponential(1_000 / ratePerS, random);
            }
            for (; seen < bench.sends.size(); seen++) {
                Bench.Sent sent = bench.sends.get(seen);
                double now = bench.now;
                boolean isBad = sent.upstream() <= bad;
                boolean outage = isBad && now >= failsFrom && now < wellFrom;
                early += outage && now < failsFrom + EARLY_MS ? 1 : 0;
                later += outage && now >= wellFrom - FAILING_MS / 2 ? 1 : 0;
                int slot = (int) Math.floor((now - wellFrom) / SLOT_MS);
                if (slot >= 0 && slot < its.length) {
                    all[slot]++;
                    its[slot] += isBad ? 1 : 0;
                }
                boolean fails = outage && random.nextDouble() < failing;
                double served = SERVED_MS[(int) (sent.upstream() - 1) % 2];
                double takes = fails ? 1 : 1 + exponential(served, random);
                finishes.add(new Finish(now + takes, sent, fails));
            }
        }
        returns.add(returned(its, all));
    }

    /** When the bad ones had half of their even share for two seconds; that of the end if they never had. */
    private double returned(int[] its, int[] all) {
        for (int from = 0; from + SLOTS < its.length; from++) {
            double part = 0;
            double whole = 0;
            for (int slot = from; slot < from + SLOTS; slot++) {
                part += its[slot];
                whole += all[slot];
            }
            if (part >= whole * bad / servers / 2) {
                return from * SLOT_MS;
            }
        }
        return AFTER_MS;
    }
}
