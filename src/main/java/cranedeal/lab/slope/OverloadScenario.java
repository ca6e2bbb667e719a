package cranedeal.lab.slope;

import java.util.SplittableRandom;

/**
 * An overload that a balancer is to come through.
 *
 * @param competitors busy processes that share the balancer's processor
 * @param load what is offered
 * @param upstreams how many upstreams there are
 * @param workMs how long each takes for an answer
 * @param connections that the clients may hold
 * @param pauseMs how long the balancer is stopped in the middle of the load; 0 for not at all
 * @param seed of the arrivals
 */
record OverloadScenario(int competitors, LoadProfile load, int upstreams, int workMs, int connections,
        int pauseMs, long seed) {

    private static final int MOST_COMPETITORS = 3;
    private static final double LEAST_RATE = 1_000;
    private static final double MOST_RATE = 8_000;
    private static final double SECONDS = 5;
    private static final int MOST_STEPS = 4;
    private static final int[] UPSTREAMS = {25, 25, 25, 3_200};
    private static final int[] WORK_MS = {0, 20, 200};
    private static final int[] CONNECTIONS = {341, 2_000, Integer.MAX_VALUE};
    private static final int LEAST_PAUSE_MS = 100;
    private static final int MOST_PAUSE_MS = 600;

    /** The scenario of a seed: each of its parts is drawn within its bounds. */
    static OverloadScenario of(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int competitors = random.nextInt(1, MOST_COMPETITORS + 1);
        double rate = LEAST_RATE * Math.pow(MOST_RATE / LEAST_RATE, random.nextDouble());
        LoadProfile load = new LoadProfile(Math.rint(rate), SECONDS, random.nextInt(1, MOST_STEPS + 1));
        int pauseMs = random.nextBoolean() ? random.nextInt(LEAST_PAUSE_MS, MOST_PAUSE_MS + 1) : 0;
        return new OverloadScenario(competitors, load, UPSTREAMS[random.nextInt(UPSTREAMS.length)],
                WORK_MS[random.nextInt(WORK_MS.length)], CONNECTIONS[random.nextInt(CONNECTIONS.length)],
                pauseMs, seed);
    }
}
