package cranedeal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cranedeal.LoadBalancer.Change;
import cranedeal.LoadBalancer.DedupScope;
import cranedeal.LoadBalancer.Idempotency;
import cranedeal.LoadBalancer.Result;
import org.junit.jupiter.api.Test;

/**
 * Checks the timeout of an attempt of a keyed request whose late answers are worthless, with and without a
 * retry left, and what follows the timeout.
 */
class KeyedAttemptTimeTest {

    /** Longer than the whole deadline, so duplicates are dropped all the time. */
    private static final double WINDOW_MS = 5_000;

    private static Bench bench() {
        Bench bench = new Bench(Sites.plain().idempotency(Idempotency.DEDUPLICATED)
                .dedupScope(DedupScope.CELL).dedupWindow(WINDOW_MS).lateWorth(0).build(), 1);
        bench.list(Change.CACHED, Sites.server(1), Sites.server(2), Sites.server(3));
        return bench;
    }

    /** Uses up the retry budget with requests whose attempts fail. */
    private static void spendRetries(Bench bench) {
        for (int id = 1; id <= 3; id++) {
            bench.request(id, 0);
            while (bench.isOpen(id)) {
                bench.finish(bench.lastSend(), Result.ERROR);
            }
        }
    }

    @Test
    void withoutARetryLeftTheOnlyAttemptEndsWithTheAimAndTheRequestFails() {
        Bench bench = bench();
        serveQuickly(bench);
        spendRetries(bench);
        bench.request(9, 0);
        Bench.Sent only = bench.lastSend();
        assertEquals(Sites.AIM, only.timeout(), 1e-6);
        int sent = bench.sends.size();
        bench.advance(Sites.AIM);
        bench.finish(only, Result.TIMEOUT);
        assertEquals(sent, bench.sends.size());
        assertTrue(bench.failed.contains(9L));
    }

    private static void serveQuickly(Bench bench) {
        for (int id = 100; id < 300; id++) {
            bench.request(id, 0);
            bench.advance(10);
            bench.finish(bench.lastSend(), Result.OK);
        }
    }

    @Test
    void withARetryLeftTheAttemptIsGivenUpEarlierAndAnotherGoesOutWhileTheKeyIsHeld() {
        Bench bench = bench();
        serveQuickly(bench);
        bench.request(9, 0);
        Bench.Sent first = bench.lastSend();
        assertTrue(first.timeout() < Sites.AIM, first::toString);
        int sent = bench.sends.size();
        bench.advance(first.timeout());
        bench.finish(first, Result.TIMEOUT);
        assertEquals(sent + 1, bench.sends.size());
        assertTrue(bench.isOpen(9));
    }
}
