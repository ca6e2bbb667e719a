package cranedeal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cranedeal.LoadBalancer.Change;
import cranedeal.LoadBalancer.DedupScope;
import cranedeal.LoadBalancer.Idempotency;
import cranedeal.LoadBalancer.Result;
import org.junit.jupiter.api.Test;

/** How long an attempt of a keyed request may take where a late answer is worth nothing, and what follows. */
class KeyedAttemptTimeTest {

    /** More than the whole deadline: the key is held all the time. */
    private static final double WINDOW_MS = 5_000;

    private static Bench bench() {
        Bench bench = new Bench(Sites.plain().repeat(Idempotency.DEDUPLICATED).group(DedupScope.CELL)
                .memory(WINDOW_MS).lateWorth(0).build(), 1);
        bench.list(Change.CACHED, Sites.server(1), Sites.server(2), Sites.server(3));
        return bench;
    }

    /** Requests whose attempts fail use up what may be sent beyond first attempts. */
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
