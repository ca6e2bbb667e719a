package cranedeal.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cranedeal.node.ArrivalQueue.SliceResult;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Order, time slices and waiting limit of the request queue, in virtual time. */
class ArrivalQueueTest {

    private static final double HANDLING_MS = 1;

    private double now = 1_000;
    private final List<Integer> handled = new ArrayList<>();
    private final List<Integer> refused = new ArrayList<>();
    private boolean canSend = true;
    private final ArrivalQueue<Integer> queue = new ArrivalQueue<>(() -> now, () -> canSend, request -> {
        handled.add(request);
        now += HANDLING_MS;
    }, refused::add);

    private void add(int first, int count) {
        for (int i = first; i < first + count; i++) {
            queue.add(i);
        }
    }

    @Test
    void requestsAreHandledInOrder() {
        assertTrue(queue.add(1));
        assertFalse(queue.add(2));
        assertEquals(SliceResult.NOTHING, queue.handleSlice());
        assertEquals(List.of(1, 2), handled);
        assertTrue(queue.add(3), "the next request needs another slice");
    }

    @Test
    void aSliceLastsAsLongAsTheTimeSinceTheLastSlice() {
        add(0, 500);
        assertEquals(SliceResult.READY, queue.handleSlice());
        assertEquals(5, handled.size());
        now += 20;
        assertEquals(SliceResult.READY, queue.handleSlice());
        assertEquals(25, handled.size());
    }

    @Test
    void aSliceIsBoundedHoweverLongAgoTheLastSliceWas() {
        add(0, 500);
        now += 60;
        assertEquals(SliceResult.READY, queue.handleSlice());
        assertEquals(25, handled.size());
    }

    @Test
    void requestsThatWaitedTooLongAreRefusedAndLaterOnesHandled() {
        add(0, 10);
        now += ArrivalQueue.MAX_WAIT_MS - 1;
        add(10, 10);
        now += 2;
        assertEquals(SliceResult.NOTHING, queue.handleSlice());
        assertEquals(List.of(0, 1, 2, 3, 4, 5, 6, 7, 8, 9), refused);
        assertEquals(List.of(10, 11, 12, 13, 14, 15, 16, 17, 18, 19), handled);
        assertEquals(ArrivalQueue.MAX_WAIT_MS + 1, queue.takeLongestWait(), 1e-9);
        assertEquals(0, queue.takeLongestWait());
    }

    /**
     * On a slow CPU, a request that waits for one poll and one slice has waited too long. When slices were
     * spent on refusals first, 3 of 19,996 calls were served (metric refused_for_processor).
     */
    @Test
    void refusalsTakeNoTimeFromHandling() {
        add(0, 1_000);
        now += ArrivalQueue.MAX_WAIT_MS + 1;
        add(1_000, 1_000);
        assertEquals(SliceResult.READY, queue.handleSlice());
        assertEquals(1_000, handled.get(0));
        assertEquals(25, handled.size());
        assertTrue(refused.size() >= 256, () -> refused.size() + " refused");
    }

    @Test
    void whileBlockedNothingIsHandledButExpiredRequestsAreRefused() {
        canSend = false;
        add(0, 2);
        assertEquals(SliceResult.BLOCKED, queue.handleSlice());
        now += ArrivalQueue.MAX_WAIT_MS / 2;
        add(2, 2);
        now += ArrivalQueue.MAX_WAIT_MS / 2 + 1;
        assertEquals(SliceResult.BLOCKED, queue.handleSlice());
        assertEquals(List.of(0, 1), refused);
        assertEquals(List.of(), handled);
        canSend = true;
        assertEquals(SliceResult.NOTHING, queue.handleSlice());
        assertEquals(List.of(2, 3), handled);
    }

    @Test
    void aPauseCausesNoRefusalOfRequestsReadAfterIt() {
        queue.handleSlice();
        now += 10_000;
        add(0, 20);
        assertEquals(SliceResult.NOTHING, queue.handleSlice());
        assertEquals(20, handled.size());
        assertEquals(List.of(), refused);
    }
}
