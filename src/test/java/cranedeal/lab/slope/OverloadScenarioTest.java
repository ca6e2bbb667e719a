package cranedeal.lab.slope;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cranedeal.lab.LabCommand.ProgramUnderTest;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Runs one drawn overload of {@code lab slope overload}; {@code -Doverload.seed=N} selects another. */
@Timeout(180)
class OverloadScenarioTest {

    /** Draws a pause, three competing busy processes, and no limit on client connections. */
    private static final String USUAL_SEED = "3";
    private static final int SOCKETS = 1_024;
    private static final OverloadRun.LowLoad CALM = new OverloadRun.LowLoad(50, 2);

    @Test
    void theBalancerComesThroughADrawnOverload() throws Exception {
        OverloadScenario scenario = OverloadScenario.of(Long.parseLong(System.getProperty("overload.seed",
                USUAL_SEED)));
        System.out.println("runs " + scenario);
        OverloadRun seen = OverloadRun.run(new ProgramUnderTest().command(), scenario, 0, SOCKETS, CALM);
        assertEquals(List.of(), seen.faults(), () -> scenario + ": " + DataPathStudy.countsOf(seen.load())
                + ", " + DataPathStudy.countsOf(seen.after()) + ", " + seen.causes());
    }

    @Test
    void aLoadRisesAndFallsInEqualSteps() {
        LoadProfile load = new LoadProfile(900, 8, 3);
        assertEquals(300, load.rateAt(0), 1e-9);
        assertEquals(600, load.rateAt(1), 1e-9);
        assertEquals(900, load.rateAt(2), 1e-9);
        assertEquals(900, load.rateAt(5), 1e-9);
        assertEquals(600, load.rateAt(7), 1e-9);
        assertEquals(900, LoadProfile.constant(900, 8).rateAt(0), 1e-9);
        int calls = load.arrivals(new SplittableRandom(1)).size();
        // 900 per second for 4 s, and 600 on average for 4 s.
        assertTrue(calls > 5_700 && calls < 6_300, () -> calls + " calls");
        assertEquals(load.arrivals(new SplittableRandom(1)), load.arrivals(new SplittableRandom(1)));
    }
}
