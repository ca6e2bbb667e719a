package cranedeal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cranedeal.LoadBalancer.Change;
import cranedeal.LoadBalancer.Result;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * After a client has disconnected, its request must get no further attempt and no answer, whether it was
 * queued, waiting for its key, being retried or hedged.
 */
class DepartedClientTest {

    private static final long GONE_ID = 1;

    private static void assertNotSentAgain(Bench bench, int sends) {
        bench.advance(5 * Sites.DEADLINE);
        assertEquals(sends, bench.sends.stream().filter(sent -> sent.request() == GONE_ID).count());
        assertTrue(bench.refused.isEmpty() && bench.failed.isEmpty(), "answered");
    }

    @Test
    void aRequestQueuedForAServerIsNotSentWhenOneAppears() {
        Bench bench = new Bench(Sites.plain().build(), 1);
        bench.list(Change.CACHED);
        bench.request(GONE_ID, 0);
        bench.advance(10);
        bench.clientGone(GONE_ID);
        bench.list(Change.FULL, Sites.server(1));
        assertNotSentAgain(bench, 0);
    }

    @Test
    void aRequestQueuedForRoomIsNotSentWhenThereIsSome() {
        Bench bench = new Bench(Sites.plain().build(), 1);
        bench.list(Change.CACHED, Sites.server(1));
        for (int i = 2; bench.sends.size() == i - 2; i++) {
            bench.request(i, 0);
        }
        List<Bench.Sent> inFlight = List.copyOf(bench.sends);
        bench.request(GONE_ID, 0);
        bench.advance(10);
        assertTrue(bench.isOpen(GONE_ID) && bench.sends.size() == inFlight.size(), "queued for room");
        bench.clientGone(GONE_ID);
        inFlight.forEach(sent -> bench.finish(sent, Result.OK));
        bench.advance(30);
        Bench.Sent queued = bench.lastSend();
        assertEquals(inFlight.size() + 1, bench.sends.size(), "the other queued request");
        bench.finish(queued, Result.OK);
        assertNotSentAgain(bench, 0);
    }

    @Test
    void aRequestInAKeyQueueIsSkipped() {
        Bench bench = new Bench(Sites.plain().inOrder(true).build(), 1);
        bench.list(Change.CACHED, Sites.server(1), Sites.server(2));
        bench.requestWithKey(10, 0, 7);
        bench.requestWithKey(GONE_ID, 0, 7);
        bench.requestWithKey(11, 0, 7);
        bench.clientGone(GONE_ID);
        bench.finish(bench.lastSend(), Result.OK);
        assertEquals(11, bench.lastSend().request());
        bench.finish(bench.lastSend(), Result.OK);
        assertNotSentAgain(bench, 0);
    }

    @Test
    void theFirstRequestOfAKeyQueueIsNotSentAgain() {
        Bench bench = new Bench(Sites.plain().inOrder(true).build(), 1);
        bench.list(Change.CACHED, Sites.server(1), Sites.server(2));
        bench.requestWithKey(GONE_ID, 0, 7);
        bench.requestWithKey(10, 0, 7);
        Bench.Sent first = bench.lastSend();
        bench.clientGone(GONE_ID);
        bench.advance(10);
        bench.finishUnclosed(first, Result.RESET);
        bench.advance(200);
        assertEquals(10, bench.lastSend().request());
        bench.finish(bench.lastSend(), Result.OK);
        assertNotSentAgain(bench, 1);
    }

    @Test
    void aCallInFlightIsNotHedged() {
        Bench bench = new Bench(Sites.plain().parallel(true).build(), 1);
        bench.list(Change.CACHED, Sites.server(1), Sites.server(2));
        bench.request(GONE_ID, 0);
        Bench.Sent first = bench.lastSend();
        bench.advance(500);
        bench.clientGone(GONE_ID);
        assertEquals(List.of(first), bench.cancelled);
        bench.advance(1_500);
        assertEquals(1, bench.sends.size());
        bench.finish(first, Result.CANCELLED);
        assertNotSentAgain(bench, 1);
    }

    @Test
    void noFurtherAttemptFollowsHoweverTheFirstEnds() {
        for (Result result : Result.values()) {
            Bench bench = new Bench(Sites.plain().build(), 1);
            bench.list(Change.CACHED, Sites.server(1), Sites.server(2));
            bench.request(GONE_ID, 0);
            bench.advance(10);
            bench.clientGone(GONE_ID);
            bench.advance(10);
            bench.finishUnclosed(bench.lastSend(), result);
            assertNotSentAgain(bench, 1);
        }
    }

    @Test
    void theEndOfTheBodyStartsNothing() {
        Bench bench = new Bench(Sites.plain().build(), 1);
        bench.list(Change.CACHED, Sites.server(1), Sites.server(2));
        bench.startRequest(GONE_ID, 0);
        Bench.Sent first = bench.lastSend();
        bench.clientGone(GONE_ID);
        bench.bodyArrived(GONE_ID, bench.now + Sites.DEADLINE);
        bench.finishUnclosed(first, Result.FULL);
        bench.bodyArrived(GONE_ID, bench.now + Sites.DEADLINE);
        assertNotSentAgain(bench, 1);
    }
}
