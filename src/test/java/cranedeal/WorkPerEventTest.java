package cranedeal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cranedeal.LoadBalancer.Change;
import cranedeal.LoadBalancer.Result;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The work of an event is bounded, however many upstreams and held requests there are: counted. */
class WorkPerEventTest {

    private static final int MANY = 3_200;
    private static final int REQUESTS = 2_000;
    /** Upstreams that a draw may look at on average; of a list of 25 the whole was looked at. */
    private static final double FEW = 32;
    private static final int HELD = 200;

    private static Sites.Server[] servers(int count) {
        Sites.Server[] servers = new Sites.Server[count];
        Arrays.setAll(servers, i -> Sites.server(i + 1).kind(i % 2).cell(i / 8));
        return servers;
    }

    @Test
    void aDrawLooksAtFewServersHoweverManyThereAre() {
        Bench bench = new Bench(Sites.plain().lateWorth(0).build(), 1);
        bench.list(Change.CACHED, servers(MANY));
        for (int i = 0; i < REQUESTS; i++) {
            bench.request(i, 0);
            bench.advance(2);
            // Some fail, some are slow, as that makes the weights differ.
            Result result = bench.lastSend().upstream() % 10 == 0 ? Result.ERROR : Result.OK;
            bench.finishAfter(bench.lastSend(), result, 10 + bench.lastSend().upstream() % 7 * 20);
        }
        double each = (double) bench.work().examined() / bench.work().draws();
        assertTrue(bench.work().draws() >= REQUESTS && each <= FEW, each + " looked at in a draw");
    }

    @Test
    void aDrawLooksAtFewServersWhereAllAreCold() {
        Bench bench = new Bench(Sites.plain().lateWorth(0).retriesMarked(true).build(), 1);
        Sites.Server[] cold = servers(MANY);
        Arrays.stream(cold).forEach(server -> server.startedAt(bench.now - 1_000));
        bench.list(Change.CACHED, cold);
        for (int i = 0; i < REQUESTS; i++) {
            bench.request(i, 0);
            bench.advance(2);
            if (!bench.sends.isEmpty() && bench.lastSend().request() == i) {
                bench.finish(bench.lastSend(), Result.OK);
            }
        }
        double each = (double) bench.work().examined() / REQUESTS;
        assertTrue(!bench.sends.isEmpty() && each <= 4 * FEW, each + " looked at for a request");
    }

    @Test
    void nothingPollsForEachRequestThatIsHeld() {
        // Not of the first tier, where some would be refused.
        Bench bench = new Bench(Sites.plain().tier(1).lateWorth(0).build(), 1);
        bench.list(Change.CACHED, Sites.server(1));
        int sent = 0;
        for (int i = 0; bench.sends.size() == i; i++) {
            bench.request(i, 0);
            sent = bench.sends.size();
        }
        for (int i = 0; i < HELD; i++) {
            bench.request(1_000 + i, 0);
        }
        // One is held already: the first that found no room.
        assertEquals(HELD + 1, bench.work().queued());
        long alarms = bench.alarmsSet;
        long draws = bench.work().draws();
        bench.advance(400);
        assertEquals(HELD + 1, bench.work().queued());
        assertTrue(bench.alarmsSet - alarms <= HELD, bench.alarmsSet - alarms + " timers were set");
        assertTrue(bench.work().draws() - draws <= HELD, bench.work().draws() - draws + " draws");
        // What they wait for wakes them: each that ends makes room for the next.
        List.copyOf(bench.sends).forEach(out -> bench.finish(out, Result.OK));
        assertTrue(bench.sends.size() >= 2 * sent, bench.sends.size() + " sent, of them " + sent + " before");
    }
}
