package cranedeal;

import static org.junit.jupiter.api.Assertions.assertEquals;

import cranedeal.LoadBalancer.Change;
import cranedeal.LoadBalancer.Result;
import org.junit.jupiter.api.Test;

/**
 * A class whose calls are expected to take longer than they may. No request of it was sent any more, so that
 * nothing could show that they take less: a balancer that was overloaded once refused everything from then on
 * (unserved_no_upstream grew with each request, while draws and held stood still).
 */
class SlowEstimateTest {

    private static final int SLOW_CALLS = 200;
    private static final double CALM_MS = 60_000;

    @Test
    void aRequestThatHasJustComeIsSentHoweverLongCallsAreExpectedToTake() {
        Bench bench = new Bench(Sites.plain().build(), 1);
        bench.list(Change.FULL, Sites.server(1));
        for (long id = 1; id <= SLOW_CALLS; id++) {
            int before = bench.sends.size();
            bench.request(id, 0);
            if (bench.sends.size() > before) {
                bench.finishAfter(bench.lastSend(), Result.OK, 10 * Sites.DEADLINE);
            }
        }
        // Whatever pressure these have raised is gone by then.
        bench.now += CALM_MS;
        int sentBefore = bench.sends.size();
        bench.request(SLOW_CALLS + 1, 0);
        assertEquals(sentBefore + 1, bench.sends.size());
    }
}
