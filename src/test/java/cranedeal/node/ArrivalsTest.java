package cranedeal.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cranedeal.node.RequestQueue.SliceResult;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The order, the slices and the bound of what waits to be handled, in virtual time. */
class ArrivalsTest {

    private static final double COST_MS = 1;

    private double now = 1_000;
    private final List<Integer> handled = new ArrayList<>();
    private final List<Integer> refused = new ArrayList<>();
    private boolean canSend = true;
    private final RequestQueue<Integer> arrivals = new RequestQueue<>(() -> now, () -> canSend, request -> {
        handled.add(request);
        now += COST_MS;
    }, refused::add);

    private void add(int first, int count) {
        for (int i = first; i < first + count; i++) {
            arrivals.add(i);
        }
    }

    @Test
    void whatComesIsHandledInOrder() {
        assertTrue(arrivals.add(1));
        assertFalse(arrivals.add(2));
        assertEquals(SliceResult.NOTHING, arrivals.handleSlice());
        assertEquals(List.of(1, 2), handled);
        assertTrue(arrivals.add(3), "the next one begins a slice of its own");
    }

    @Test
    void aSliceLastsAsLongAsAllElseHasTaken() {
        add(0, 500);
        assertEquals(SliceResult.READY, arrivals.handleSlice());
        assertEquals(5, handled.size());
        now += 20;
        assertEquals(SliceResult.READY, arrivals.handleSlice());
        assertEquals(25, handled.size());
    }

    @Test
    void aSliceIsBoundedHoweverLongAllElseHasTaken() {
        add(0, 500);
        now += 60;
        assertEquals(SliceResult.READY, arrivals.handleSlice());
        assertEquals(25, handled.size());
    }

    @Test
    void whatHasWaitedLongIsRefusedAndWhatCameLaterIsHandled() {
        add(0, 10);
        now += RequestQueue.MAX_WAIT_MS - 1;
        add(10, 10);
        now += 2;
        assertEquals(SliceResult.NOTHING, arrivals.handleSlice());
        assertEquals(List.of(0, 1, 2, 3, 4, 5, 6, 7, 8, 9), refused);
        assertEquals(List.of(10, 11, 12, 13, 14, 15, 16, 17, 18, 19), handled);
        assertEquals(RequestQueue.MAX_WAIT_MS + 1, arrivals.takeLongestWait(), 1e-9);
        assertEquals(0, arrivals.takeLongestWait());
    }

    /**
     * On a slow processor whatever waits for one look and one slice is late. All slices were spent on
     * refusals then, and nothing was served: 3 of 19,996 calls, refused_for_processor in the figures.
     */
    @Test
    void whatIsToBeRefusedTakesNoTimeOfWhatIsToBeHandled() {
        add(0, 1_000);
        now += RequestQueue.MAX_WAIT_MS + 1;
        add(1_000, 1_000);
        assertEquals(SliceResult.READY, arrivals.handleSlice());
        assertEquals(1_000, handled.get(0));
        assertEquals(25, handled.size());
        assertTrue(refused.size() >= 256, () -> refused.size() + " refused");
    }

    @Test
    void nothingIsHandledWhileNothingCanBeSentOnAndWhatWaitsTooLongIsRefusedEvenSo() {
        canSend = false;
        add(0, 2);
        assertEquals(SliceResult.BLOCKED, arrivals.handleSlice());
        now += RequestQueue.MAX_WAIT_MS / 2;
        add(2, 2);
        now += RequestQueue.MAX_WAIT_MS / 2 + 1;
        assertEquals(SliceResult.BLOCKED, arrivals.handleSlice());
        assertEquals(List.of(0, 1), refused);
        assertEquals(List.of(), handled);
        canSend = true;
        assertEquals(SliceResult.NOTHING, arrivals.handleSlice());
        assertEquals(List.of(2, 3), handled);
    }

    @Test
    void aPauseRefusesNothingOfWhatIsReadAfterIt() {
        arrivals.handleSlice();
        now += 10_000;
        add(0, 20);
        assertEquals(SliceResult.NOTHING, arrivals.handleSlice());
        assertEquals(20, handled.size());
        assertEquals(List.of(), refused);
    }
}
