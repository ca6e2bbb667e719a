package cranedeal.lab.slope;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cranedeal.lab.LabCommand.ProgramUnderTest;
import java.util.List;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against balancers that keep sending requests to removed upstreams for longer than is allowed. */
@Timeout(180)
class DrainTest {

    private static final double RATE = 100;
    private static final double AFTER_S = 10;

    private static DrainTrial.Results run(int upstreams, int balancers, String trouble) throws Exception {
        DrainTrial.Plan plan = new DrainTrial.Plan(upstreams, balancers, RATE, AFTER_S,
                DiscoveryTrouble.parse(trouble), List.of(), 1);
        return run(plan);
    }

    private static DrainTrial.Results run(DrainTrial.Plan plan) throws Exception {
        try (DrainTrial trial = new DrainTrial(new ProgramUnderTest().command(), plan)) {
            return trial.run();
        }
    }

    @ParameterizedTest
    @CsvSource({"3200,1,slow:2200", "200,1,slow:5000", "3200,4,turn:900", "200,1,endless:3",
        "200,1,cut:8:100"})
    void removedUpstreamsAreDroppedDespiteSlowOrBrokenDiscovery(int upstreams, int balancers,
            String trouble) throws Exception {
        DrainTrial.Results seen = run(upstreams, balancers, trouble);
        assertTrue(seen.requests().served() > 0, seen::toString);
        assertEquals(0, seen.late(), () -> "last after " + seen.lastMs() + " ms");
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void removedUpstreamsAreDroppedDespiteRestartsReloadsAndDiscoveryFaults(long seed) throws Exception {
        DrainTrial.Plan plan = DrainDraw.plan(seed);
        DrainTrial.Results seen = run(plan);
        assertEquals(0, seen.late(), () -> "last after " + seen.lastMs() + " ms: " + plan);
    }
}
