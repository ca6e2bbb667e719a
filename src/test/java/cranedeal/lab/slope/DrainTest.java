package cranedeal.lab.slope;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cranedeal.lab.LabCommand.ProgramUnderTest;
import java.util.List;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Real balancers do not use upstreams that have left the list for longer than the terms allow. */
@Timeout(180)
class DrainTest {

    private static final double RATE = 100;
    private static final double AFTER_S = 10;

    private static DrainTrial.Seen play(int upstreams, int balancers, String trouble) throws Exception {
        DrainTrial.Plan plan = new DrainTrial.Plan(upstreams, balancers, RATE, AFTER_S,
                DiscoveryTrouble.parse(trouble), List.of(), 1);
        return play(plan);
    }

    private static DrainTrial.Seen play(DrainTrial.Plan plan) throws Exception {
        try (DrainTrial trial = new DrainTrial(new ProgramUnderTest().command(), plan)) {
            return trial.play();
        }
    }

    @ParameterizedTest
    @CsvSource({"3200,1,slow:2200", "200,1,slow:5000", "3200,4,turn:900", "200,1,endless:3",
        "200,1,cut:8:100"})
    void aSlowOrBrokenDiscoveryKeepsNoUpstreamInUseAfterItHasLeft(int upstreams, int balancers,
            String trouble) throws Exception {
        DrainTrial.Seen seen = play(upstreams, balancers, trouble);
        assertTrue(seen.requests().served() > 0, seen::toString);
        assertEquals(0, seen.late(), () -> "last after " + seen.lastMs() + " ms");
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void norDoRestartsAndReloadsBesideADrawnTroubleOfDiscovery(long seed) throws Exception {
        DrainTrial.Plan plan = DrainDraw.plan(seed);
        DrainTrial.Seen seen = play(plan);
        assertEquals(0, seen.late(), () -> "last after " + seen.lastMs() + " ms: " + plan);
    }
}
