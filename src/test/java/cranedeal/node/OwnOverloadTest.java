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
 * A balancer whose own processor is short, before upstreams that are well. Its answers and its connections
 * wait unread, so that calls look late and upstreams look full; taken for pressure at upstreams, that had
 * requests refused for seconds after the load was over (unserved_shed in the figures, thousands).
 */
class OwnOverloadTest {

    private static final int UPSTREAMS = 5;
    private static final double WORK_MS = 5;
    private static final double LEAST_PAUSE_MS = 100;
    private static final double MOST_PAUSE_MS = 600;
    /** How long it may take to read and refuse what lies unread at the end of the load. */
    private static final double LONGEST_QUEUE_MS = 5_000;
    private static final double BETWEEN_PAUSES_MS = 1_000;
    private static final double LOAD_MS = 6_000;
    private static final double STEP_MS = 10;
    private static final double CALM_PER_S = 50;
    private static final double CALM_MS = 2_000;

    private static Settings settings() throws Exception {
        Path file = Files.createTempFile("node", ".json");
        try (NodeFixture fixture = new NodeFixture()) {
            // A call that has taken half of its aim, 100 ms, is a sign of overload.
            Files.writeString(file, fixture.config().replace(
                    "\"aim\":1000.0,\"deadline\":2500.0,\"worth\":1.0,\"lateValue\":0.5",
                    "\"aim\":200.0,\"deadline\":2500.0,\"worth\":1.0,\"lateValue\":0.0"));
            return NodeConfig.read(file.toString()).settings();
        } finally {
            Files.delete(file);
        }
    }

    /** Calls at random times; returns how many. */
    private static int offer(VirtualLoop loop, double perS, double forMs, long firstId,
            SplittableRandom random) {
        int calls = 0;
        double at = loop.now;
        double end = loop.now + forMs;
        for (at -= Math.log(1 - random.nextDouble()) * 1_000 / perS; at < end;
                at -= Math.log(1 - random.nextDouble()) * 1_000 / perS) {
            loop.arrive(firstId + calls, at);
            calls++;
        }
        return calls;
    }

    @ParameterizedTest
    @CsvSource({"0.5, 1", "0.5, 2", "0.8, 3", "1, 1", "1, 2", "1.3, 3", "2, 1", "2, 2", "2, 3", "4, 1",
        "4, 2", "4, 3"})
    void ownLatenessIsNoPressureAtUpstreams(double times, long seed) throws Exception {
        VirtualLoop loop = new VirtualLoop(settings(), UPSTREAMS, WORK_MS, seed);
        SplittableRandom random = new SplittableRandom(seed);
        double end = loop.now + LOAD_MS;
        int calls = offer(loop, times * VirtualLoop.CALLS_PER_S, LOAD_MS, 1, random);
        for (double at = loop.now; at < end; at += BETWEEN_PAUSES_MS) {
            loop.pause(at + random.nextDouble(BETWEEN_PAUSES_MS),
                    random.nextDouble(LEAST_PAUSE_MS, MOST_PAUSE_MS));
        }
        while (loop.now < end) {
            loop.run(loop.now + STEP_MS);
            assertEquals(0, loop.pressure(), () -> "after " + (LOAD_MS - end + loop.now) + " ms of load");
        }
        // What is left of the queue, and nothing else, outlasts the load.
        loop.run(end + LONGEST_QUEUE_MS);
        assertEquals(calls, loop.served + loop.refused);
        int servedBefore = loop.served;
        int calm = offer(loop, CALM_PER_S, CALM_MS, calls + 1, random);
        loop.run(loop.now + CALM_MS + RequestQueue.MAX_WAIT_MS);
        assertEquals(calm, loop.served - servedBefore);
    }

    @Test
    void slowUpstreamsAreStillFelt() throws Exception {
        Settings settings = settings();
        VirtualLoop loop = new VirtualLoop(settings, UPSTREAMS, 2 * settings.classes().get(0).aim(), 1);
        offer(loop, CALM_PER_S, LOAD_MS, 1, new SplittableRandom(1));
        loop.run(loop.now + LOAD_MS);
        assertTrue(loop.pressure() > 0.1, () -> "pressure " + loop.pressure());
    }
}
