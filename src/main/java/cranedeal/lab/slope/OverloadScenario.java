package cranedeal.lab.slope;

import java.util.SplittableRandom;

/**
 * An overload that a balancer must handle.
 *
 * @param competitors busy processes on the balancer's processor
 * @param load the offered load
 * @param upstreams how many upstreams there are
 * @param workMs how long each upstream takes to answer
 * @param connections limit on client connections
 * @param pauseMs how long the balancer is stopped in the middle of the load; 0 for no pause
 * @param seed the seed of the arrivals
 */
record OverloadScenario(int competitors, LoadProfile load, int upstreams, int workMs, int connections,
        int pauseMs, long seed) {

    private static final int MAX_COMPETITORS = 3;
    private static final double MIN_RATE = 1_000;
    private static final double MAX_RATE = 8_000;
    private static final double SECONDS = 5;
    private static final int MAX_STEPS = 4;
    private static final int[] UPSTREAMS = {25, 25, 25, 3_200};
    private static final int[] WORK_MS = {0, 20, 200};
    private static final int[] CONNECTIONS = {341, 2_000, Integer.MAX_VALUE};
    private static final int MIN_PAUSE_MS = 100;
    private static final int MAX_PAUSE_MS = 600;

    /** Draws the scenario of a seed, with each value within its bounds. */
    static OverloadScenario of(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int competitors = random.nextInt(1, MAX_COMPETITORS + 1);
        double rate = MIN_RATE * Math.pow(MAX_RATE / MIN_RATE, random.nextDouble());
        LoadProfile load = new LoadProfile(Math.rint(rate), SECONDS, random.nextInt(1, MAX_STEPS + 1));
        int pauseMs = random.nextBoolean() ? random.nextInt(MIN_PAUSE_MS, MAX_PAUSE_MS + 1) : 0;
        return new OverloadScenario(competitors, load, UPSTREAMS[random.nextInt(UPSTREAMS.length)],
                WORK_MS[random.nextInt(WORK_MS.length)], CONNECTIONS[random.nextInt(CONNECTIONS.length)],
                pauseMs, seed);
    }
}
