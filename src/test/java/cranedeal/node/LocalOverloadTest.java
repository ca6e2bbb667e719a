package cranedeal.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cranedeal.LoadBalancer.Settings;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A balancer that is itself short of CPU, with healthy upstreams. Answers and connections wait unread, so
 * calls look late and upstreams look overloaded. When that was taken for overload of the upstreams, requests
 * were refused for seconds after the load had ended (metric unserved_shed, thousands).
 */
class LocalOverloadTest {

    private static final int UPSTREAMS = 5;
    private static final double WORK_MS = 5;
    private static final double MIN_PAUSE_MS = 100;
    private static final double MAX_PAUSE_MS = 600;
    /** How long it may take to read and refuse the requests that are unread at the end of the load. */
    private static final double MAX_QUEUE_DRAIN_MS = 5_000;
    private static final double PAUSE_INTERVAL_MS = 1_000;
    private static final double LOAD_MS = 6_000;
    private static final double STEP_MS = 10;
    private static final double LIGHT_LOAD_PER_S = 50;
    private static final double LIGHT_LOAD_MS = 2_000;

    private static Settings settings() throws Exception {
        Path file = Files.createTempFile("node", ".json");
        try (NodeFixture fixture = new NodeFixture()) {
            // With this aim, a call that takes half of it, 100 ms, counts as a sign of overload.
            Files.writeString(file, fixture.config().replace(
                    "\"aim\":1000.0,\"deadline\":2500.0,\"worth\":1.0,\"lateValue\":0.5",
                    "\"aim\":200.0,\"deadline\":2500.0,\"worth\":1.0,\"lateValue\":0.0"));
            return NodeConfig.read(file.toString()).settings();
        } finally {
            Files.delete(file);
        }
    }

    /** Schedules calls at random times, and returns their number. */
    private static int scheduleCalls(VirtualLoop loop, double perS, double forMs, long firstId,
            SplittableRandom random) {
        int calls = 0;
        double at = loop.now;
        double end = loop.now + forMs;
        for (at -= Math.log(1 - random.nextDouble()) * 1_000 / perS; at < end;
                at -= Math.log(1 - random.nextDouble()) * 1_000 / perS) {
            loop.scheduleArrival(firstId + calls, at);
            calls++;
        }
        return calls;
    }

    @ParameterizedTest
    @CsvSource({"0.5, 1", "0.5, 2", "0.8, 3", "1, 1", "1, 2", "1.3, 3", "2, 1", "2, 2", "2, 3", "4, 1",
        "4, 2", "4, 3"})
    void localLatenessIsNotTakenForUpstreamOverload(double loadFactor, long seed) throws Exception {
        VirtualLoop loop = new VirtualLoop(settings(), UPSTREAMS, WORK_MS, seed);
        SplittableRandom random = new SplittableRandom(seed);
        double end = loop.now + LOAD_MS;
        int calls = scheduleCalls(loop, loadFactor * VirtualLoop.CALLS_PER_S, LOAD_MS, 1, random);
        for (double at = loop.now; at < end; at += PAUSE_INTERVAL_MS) {
            loop.schedulePause(at + random.nextDouble(PAUSE_INTERVAL_MS),
                    random.nextDouble(MIN_PAUSE_MS, MAX_PAUSE_MS));
        }
        while (loop.now < end) {
            loop.run(loop.now + STEP_MS);
            assertEquals(0, loop.pressure(), () -> "after " + (LOAD_MS - end + loop.now) + " ms of load");
        }
        // Only the requests left in the queue outlast the load.
        loop.run(end + MAX_QUEUE_DRAIN_MS);
        assertEquals(calls, loop.served + loop.refused);
        int servedBefore = loop.served;
        int lightCalls = scheduleCalls(loop, LIGHT_LOAD_PER_S, LIGHT_LOAD_MS, calls + 1, random);
        loop.run(loop.now + LIGHT_LOAD_MS + ArrivalQueue.MAX_WAIT_MS);
        assertEquals(lightCalls, loop.served - servedBefore);
    }

    @Test
    void slowUpstreamsAreStillTakenForOverload() throws Exception {
        Settings settings = settings();
        VirtualLoop loop = new VirtualLoop(settings, UPSTREAMS, 2 * settings.classes().get(0).aim(), 1);
        scheduleCalls(loop, LIGHT_LOAD_PER_S, LOAD_MS, 1, new SplittableRandom(1));
        loop.run(loop.now + LOAD_MS);
        assertTrue(loop.pressure() > 0.1, () -> "pressure " + loop.pressure());
    }
}
