package cranedeal.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The order, the slices and the bound of what waits to be handled, in virtual time. */
class ArrivalsTest {

    private static final double COST_MS = 1;

    private double now = 1_000;
    private final List<Integer> handled = new ArrayList<>();
    private final Arrivals<Integer> arrivals = new Arrivals<>(() -> now, request -> {
        handled.add(request);
        now += COST_MS;
    });

    private void add(int first, int count) {
        for (int i = first; i < first + count; i++) {
            arrivals.add(i);
        }
    }

    @Test
    void whatComesIsHandledInOrder() {
        assertTrue(arrivals.add(1));
        assertFalse(arrivals.add(2));
        assertFalse(arrivals.handleSlice());
        assertEquals(List.of(1, 2), handled);
        assertTrue(arrivals.add(3), "the next one begins a slice of its own");
    }

    @Test
    void aSliceLastsAsLongAsAllElseHasTaken() {
        add(0, 500);
        assertTrue(arrivals.handleSlice());
        assertEquals(5, handled.size());
        now += 40;
        assertTrue(arrivals.handleSlice());
        assertEquals(45, handled.size());
    }

    @Test
    void itIsOverloadedOnceTheOldestHasWaitedLong() {
        add(0, 10);
        now += Arrivals.MOST_WAIT_MS - 1;
        assertFalse(arrivals.isOverloaded());
        now += 2;
        assertTrue(arrivals.isOverloaded());
        arrivals.handleSlice();
        assertFalse(arrivals.isOverloaded());
        assertEquals(Arrivals.MOST_WAIT_MS + 1 + 9 * COST_MS, arrivals.takeLongestWait(), 1e-9);
        assertEquals(0, arrivals.takeLongestWait());
    }

    @Test
    void aPauseRefusesNothingOfWhatIsReadAfterIt() {
        arrivals.handleSlice();
        now += 10_000;
        add(0, 50);
        assertFalse(arrivals.isOverloaded());
        assertFalse(arrivals.handleSlice());
        assertEquals(50, handled.size());
    }
}
