package cranedeal;

import static org.junit.jupiter.api.Assertions.assertEquals;

import cranedeal.LoadBalancer.Change;
import cranedeal.LoadBalancer.Result;
import org.junit.jupiter.api.Test;

/**
 * Guards against a too high latency estimate that is never corrected. After an overload the expected latency
 * exceeded the deadline, so no request was sent any more, and nothing could lower the estimate: the balancer
 * refused everything from then on (unserved_no_upstream grew with each request, while draws and held stood
 * still).
 */
class SlowEstimateTest {

    private static final int SLOW_CALLS = 200;
    private static final double CALM_MS = 60_000;

    @Test
    void aNewRequestIsSentHoweverLongTheExpectedLatency() {
        Bench bench = new Bench(Sites.plain().build(), 1);
        bench.list(Change.FULL, Sites.server(1));
        for (long id = 1; id <= SLOW_CALLS; id++) {
            int before = bench.sends.size();
            bench.request(id, 0);
            if (bench.sends.size() > before) {
                bench.finishAfter(bench.lastSend(), Result.OK, 10 * Sites.DEADLINE);
            }
        }
        // By then the pressure has decayed.
        bench.now += CALM_MS;
        int sentBefore = bench.sends.size();
        bench.request(SLOW_CALLS + 1, 0);
        assertEquals(sentBefore + 1, bench.sends.size());
    }
}
