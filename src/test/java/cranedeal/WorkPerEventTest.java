package cranedeal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cranedeal.LoadBalancer.Change;
import cranedeal.LoadBalancer.Result;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Checks with counters that the work of an event is bounded, however many upstreams and queued requests there
 * are.
 */
class WorkPerEventTest {

    private static final int SERVERS = 3_200;
    private static final int REQUESTS = 2_000;
    /** Max upstreams that a draw examines on average; with a list of 25, all were examined. */
    private static final double MAX_EXAMINED = 32;
    private static final int QUEUED = 200;

    private static Sites.Server[] servers(int count) {
        Sites.Server[] servers = new Sites.Server[count];
        Arrays.setAll(servers, i -> Sites.server(i + 1).machineType(i % 2).cell(i / 8));
        return servers;
    }

    @Test
    void aDrawExaminesFewServersHoweverManyThereAre() {
        Bench bench = new Bench(Sites.plain().lateWorth(0).build(), 1);
        bench.list(Change.CACHED, servers(SERVERS));
        for (int i = 0; i < REQUESTS; i++) {
            bench.request(i, 0);
            bench.advance(2);
            // Some servers fail and some are slow, so that the weights differ.
            Result result = bench.lastSend().upstream() % 10 == 0 ? Result.ERROR : Result.OK;
            bench.finishAfter(bench.lastSend(), result, 10 + bench.lastSend().upstream() % 7 * 20);
        }
        double perDraw = (double) bench.stats().examined() / bench.stats().draws();
        assertTrue(bench.stats().draws() >= REQUESTS && perDraw <= MAX_EXAMINED,
                perDraw + " examined per draw");
    }

    @Test
    void aDrawExaminesFewServersWhereAllAreCold() {
        Bench bench = new Bench(Sites.plain().lateWorth(0).retriesMarked(true).build(), 1);
        Sites.Server[] cold = servers(SERVERS);
        Arrays.stream(cold).forEach(server -> server.startedAt(bench.now - 1_000));
        bench.list(Change.CACHED, cold);
        for (int i = 0; i < REQUESTS; i++) {
            bench.request(i, 0);
            bench.advance(2);
            if (!bench.sends.isEmpty() && bench.lastSend().request() == i) {
                bench.finish(bench.lastSend(), Result.OK);
            }
        }
        double perRequest = (double) bench.stats().examined() / REQUESTS;
        assertTrue(!bench.sends.isEmpty() && perRequest <= 4 * MAX_EXAMINED,
                perRequest + " examined per request");
    }

    @Test
    void noTimerPollsForEachQueuedRequest() {
        // Not the first tier, which would refuse some.
        Bench bench = new Bench(Sites.plain().tier(1).lateWorth(0).build(), 1);
        bench.list(Change.CACHED, Sites.server(1));
        int sent = 0;
        for (int i = 0; bench.sends.size() == i; i++) {
            bench.request(i, 0);
            sent = bench.sends.size();
        }
        for (int i = 0; i < QUEUED; i++) {
            bench.request(1_000 + i, 0);
        }
        // One is queued already: the first that found no room.
        assertEquals(QUEUED + 1, bench.stats().queued());
        long timersBefore = bench.timersSet;
        long draws = bench.stats().draws();
        bench.advance(400);
        assertEquals(QUEUED + 1, bench.stats().queued());
        assertTrue(bench.timersSet - timersBefore <= QUEUED,
                bench.timersSet - timersBefore + " timers were set");
        assertTrue(bench.stats().draws() - draws <= QUEUED, bench.stats().draws() - draws + " draws");
        // Each call that ends makes room for the next queued request and wakes it.
        List.copyOf(bench.sends).forEach(call -> bench.finish(call, Result.OK));
        assertTrue(bench.sends.size() >= 2 * sent, bench.sends.size() + " sent, of them " + sent + " before");
    }
}
