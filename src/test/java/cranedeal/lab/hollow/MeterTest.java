package cranedeal.lab.hollow;

import static org.junit.jupiter.api.Assertions.assertEquals;

import cranedeal.lab.hollow.Meter.Reading;
import java.util.Map;
import org.junit.jupiter.api.Test;

class MeterTest {

    private final Meter meter = new Meter();

    @Test
    void sumsIncreasesAndKeepsPeakSecond() {
        meter.sample(Map.of("a", new Reading(10, 100, 50, 1), "b", new Reading(1, 10, 5, 0)), 40, 3);
        meter.sample(Map.of("a", new Reading(12, 120, 60, 1), "b", new Reading(9, 400, 105, 2)), 60, 3);
        Meter.Window window = meter.window();
        assertEquals(2, window.seconds());
        assertEquals(4, window.balancerSeconds());
        assertEquals(21, window.datagrams());
        assertEquals(520, window.bytesSent());
        assertEquals(165, window.bytesReceived());
        assertEquals(3, window.syncs());
        assertEquals(490, window.peakBytes());
        assertEquals("b", window.peakBalancer());
        assertEquals(60, window.cpuMs(), 1e-9);
        assertEquals(3, window.lateMs());
        assertEquals(20, window.peakCpuMs(), 1e-9, "40 ms of two balancers");
    }

    @Test
    void windowStartsAtEndOfPrevious() {
        meter.sample(Map.of("a", new Reading(10, 100, 50, 0)), 10, 3);
        meter.window();
        meter.sample(Map.of("a", new Reading(13, 130, 51, 0)), 12, 3);
        Meter.Window window = meter.window();
        assertEquals(3, window.datagrams());
        assertEquals(31, window.peakBytes());
        assertEquals(2, window.cpuMs(), 1e-9);
        assertEquals(0, meter.window().datagrams());
    }

    @Test
    void restartedBalancerCountsFromZero() {
        meter.sample(Map.of("a", new Reading(10, 100, 50, 2)), 0, 3);
        meter.sample(Map.of("a", new Reading(4, 40, 20, 1)), 0, 3);
        meter.sample(Map.of(), 0, 3);
        meter.sample(Map.of("a", new Reading(30, 300, 90, 1)), 0, 3);
        assertEquals(44, meter.window().datagrams());
    }
}
