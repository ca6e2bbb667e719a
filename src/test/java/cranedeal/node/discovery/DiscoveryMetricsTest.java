package cranedeal.node.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the metrics and log lines about the list's age and the calls. */
class DiscoveryMetricsTest {

    private double now = 1_000;
    private final List<String> log = new ArrayList<>();
    private final DiscoveryMetrics metrics = new DiscoveryMetrics(() -> now, 41, log::add);

    private long metric(String name) {
        return metrics.values().get(name);
    }

    @Test
    void anUnconfirmedListIsShownAsStale() {
        now += 6_000;
        assertEquals(0, metric("list_stale"));
        now += 1;
        assertEquals(1, metric("list_stale"));
        metrics.listConfirmed(42, now - 500);
        assertEquals(0, metric("list_stale"));
        assertEquals(500, metric("list_age_ms"));
        assertEquals(6_001, metric("list_age_longest_ms"));
        assertEquals(List.of("discovery list version=42 before=41"), log);
    }

    @Test
    void callsAreLoggedUpToALimit() {
        for (int i = 0; i < 100; i++) {
            metrics.callStarted();
            metrics.callEnded(new CallRecord(i, 41, 250, 0, 1_750.4, CallEnd.TIMED_OUT));
        }
        assertEquals("discovery call id=0 index=41 wait=250 bytes=0 ms=1750 end=TIMED_OUT", log.get(0));
        assertEquals(100, metric("discovery_timed_out"));
        assertEquals(0, metric("discovery_calls_out"));
        assertTrue(log.size() < 50, "the log is bounded");
        now += 10_000;
        metrics.callStarted();
        metrics.callEnded(new CallRecord(100, 41, 250, 0, 1, CallEnd.ANSWERED));
        assertEquals("discovery: 70 log lines were dropped", log.get(log.size() - 2));
    }
}
