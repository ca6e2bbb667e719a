package cranedeal.node.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What operators are told of the list's age and of the calls. */
class DiscoveryMetricsTest {

    private double now = 1_000;
    private final List<String> log = new ArrayList<>();
    private final DiscoveryMetrics figures = new DiscoveryMetrics(() -> now, 41, log::add);

    private long figure(String name) {
        return figures.values().get(name);
    }

    @Test
    void aListThatNobodyConfirmsIsShownAsStale() {
        now += 6_000;
        assertEquals(0, figure("list_stale"));
        now += 1;
        assertEquals(1, figure("list_stale"));
        figures.confirmed(42, now - 500);
        assertEquals(0, figure("list_stale"));
        assertEquals(500, figure("list_age_ms"));
        assertEquals(6_001, figure("list_age_longest_ms"));
        assertEquals(List.of("discovery list version=42 before=41"), log);
    }

    @Test
    void eachCallLeavesALineUntilThereAreTooMany() {
        for (int i = 0; i < 100; i++) {
            figures.begun();
            figures.ended(new CallRecord(i, 41, 250, 0, 1_750.4, CallEnd.TIMED_OUT));
        }
        assertEquals("discovery call id=0 index=41 wait=250 bytes=0 ms=1750 end=TIMED_OUT", log.get(0));
        assertEquals(100, figure("discovery_timed_out"));
        assertEquals(0, figure("discovery_calls_out"));
        assertTrue(log.size() < 50, "the log is bounded");
        now += 10_000;
        figures.begun();
        figures.ended(new CallRecord(100, 41, 250, 0, 1, CallEnd.ANSWERED));
        assertEquals("discovery: 70 lines were left out", log.get(log.size() - 2));
    }
}
