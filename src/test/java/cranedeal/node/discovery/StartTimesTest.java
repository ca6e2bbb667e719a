package cranedeal.node.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests start times listed in Unix time while the system clock is stepped. */
class StartTimesTest {

    private static final double NOW = 1_700_000_000_000.0;
    private static final double HOUR = 3_600_000;

    @Test
    void withoutAClockStepTheListedTimeIsUsed() {
        StartTimes starts = new StartTimes();
        assertEquals(NOW - 3_000, starts.toNodeClock(1, NOW - 3_000, NOW, NOW + 4));
        assertEquals(0, starts.toNodeClock(2, 0, NOW, NOW));
    }

    @Test
    void afterAClockStepTheAgeIsUsed() {
        for (double step : new double[] {HOUR, -HOUR, 5_000, -5_000}) {
            StartTimes starts = new StartTimes();
            assertEquals(NOW - 3_000, starts.toNodeClock(1, NOW + step - 3_000, NOW, NOW + step));
            assertEquals(0, starts.toNodeClock(2, 0, NOW, NOW + step));
        }
    }

    @Test
    void aTimeListedBeforeAClockStepIsKept() {
        StartTimes starts = new StartTimes();
        double listed = NOW - 3_000;
        assertEquals(listed, starts.toNodeClock(1, listed, NOW, NOW));
        assertEquals(listed, starts.toNodeClock(1, listed, NOW + 1_000, NOW + 1_000 + HOUR));
    }

    @Test
    void nothingStartsInTheFuture() {
        StartTimes starts = new StartTimes();
        assertEquals(NOW, starts.toNodeClock(1, NOW + 2 * HOUR, NOW, NOW + HOUR));
    }
}
