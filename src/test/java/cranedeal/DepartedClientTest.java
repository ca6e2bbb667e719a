package cranedeal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cranedeal.LoadBalancer.Change;
import cranedeal.LoadBalancer.Result;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A client that has gone: no attempt begins for it any more, on any path, and it gets no answer. */
class DepartedClientTest {

    private static final long GONE = 1;

    private static void checkUnsent(Bench bench, int sends) {
        bench.advance(5 * Sites.DEADLINE);
        assertEquals(sends, bench.sends.stream().filter(sent -> sent.request() == GONE).count());
        assertTrue(bench.refused.isEmpty() && bench.failed.isEmpty(), "answered");
    }

    @Test
    void whatIsHeldForAServerIsNotSentWhenOneComes() {
        Bench bench = new Bench(Sites.plain().build(), 1);
        bench.list(Change.CACHED);
        bench.request(GONE, 0);
        bench.advance(10);
        bench.clientGone(GONE);
        bench.list(Change.FULL, Sites.server(1));
        checkUnsent(bench, 0);
    }

    @Test
    void whatIsHeldForRoomIsNotSentWhenThereIsSome() {
        Bench bench = new Bench(Sites.plain().build(), 1);
        bench.list(Change.CACHED, Sites.server(1));
        for (int i = 2; bench.sends.size() == i - 2; i++) {
            bench.request(i, 0);
        }
        List<Bench.Sent> out = List.copyOf(bench.sends);
        bench.request(GONE, 0);
        bench.advance(10);
        assertTrue(bench.isOpen(GONE) && bench.sends.size() == out.size(), "held for room");
        bench.clientGone(GONE);
        out.forEach(sent -> bench.finish(sent, Result.OK));
        bench.advance(30);
        Bench.Sent held = bench.lastSend();
        assertEquals(out.size() + 1, bench.sends.size(), "the other that was held");
        bench.finish(held, Result.OK);
        checkUnsent(bench, 0);
    }

    @Test
    void whatWaitsInLineIsPassedOver() {
        Bench bench = new Bench(Sites.plain().inOrder(true).build(), 1);
        bench.list(Change.CACHED, Sites.server(1), Sites.server(2));
        bench.keyed(10, 0, 7);
        bench.keyed(GONE, 0, 7);
        bench.keyed(11, 0, 7);
        bench.clientGone(GONE);
        bench.finish(bench.lastSend(), Result.OK);
        assertEquals(11, bench.lastSend().request());
        bench.finish(bench.lastSend(), Result.OK);
        checkUnsent(bench, 0);
    }

    @Test
    void whatRestsAtTheHeadOfItsLineIsNotSentAgain() {
        Bench bench = new Bench(Sites.plain().inOrder(true).build(), 1);
        bench.list(Change.CACHED, Sites.server(1), Sites.server(2));
        bench.keyed(GONE, 0, 7);
        bench.keyed(10, 0, 7);
        Bench.Sent first = bench.lastSend();
        bench.clientGone(GONE);
        bench.advance(10);
        bench.finishUnclosed(first, Result.RESET);
        bench.advance(200);
        assertEquals(10, bench.lastSend().request());
        bench.finish(bench.lastSend(), Result.OK);
        checkUnsent(bench, 1);
    }

    @Test
    void noSecondCopyFollowsOfACallThatIsStillOut() {
        Bench bench = new Bench(Sites.plain().parallel(true).build(), 1);
        bench.list(Change.CACHED, Sites.server(1), Sites.server(2));
        bench.request(GONE, 0);
        Bench.Sent first = bench.lastSend();
        bench.advance(500);
        bench.clientGone(GONE);
        assertEquals(List.of(first), bench.cancelled);
        bench.advance(1_500);
        assertEquals(1, bench.sends.size());
        bench.finish(first, Result.CANCELLED);
        checkUnsent(bench, 1);
    }

    @Test
    void noFurtherAttemptFollowsHoweverTheFirstEnds() {
        for (Result result : Result.values()) {
            Bench bench = new Bench(Sites.plain().build(), 1);
            bench.list(Change.CACHED, Sites.server(1), Sites.server(2));
            bench.request(GONE, 0);
            bench.advance(10);
            bench.clientGone(GONE);
            bench.advance(10);
            bench.finishUnclosed(bench.lastSend(), result);
            checkUnsent(bench, 1);
        }
    }

    @Test
    void theBodyOfWhatHasGoneBeginsNothing() {
        Bench bench = new Bench(Sites.plain().build(), 1);
        bench.list(Change.CACHED, Sites.server(1), Sites.server(2));
        bench.begin(GONE, 0);
        Bench.Sent first = bench.lastSend();
        bench.clientGone(GONE);
        bench.bodyArrived(GONE, bench.now + Sites.DEADLINE);
        bench.finishUnclosed(first, Result.FULL);
        bench.bodyArrived(GONE, bench.now + Sites.DEADLINE);
        checkUnsent(bench, 1);
    }
}
