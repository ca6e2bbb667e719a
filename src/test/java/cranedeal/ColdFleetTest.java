package cranedeal;

import static org.junit.jupiter.api.Assertions.assertTrue;

import cranedeal.ColdFleet.Scenario;
import cranedeal.ColdFleet.Observed;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Rule 4 over all balancers: no cold server may receive more than N + 2 * sqrt(N) + 2 calls in any window
 * from all balancers together, though each balancer sees only its own calls.
 */
class ColdFleetTest {

    @Test
    void theSumOfFourBalancersStaysWithinWhatAColdServerMayGet() {
        check(4, 3);
    }

    @Test
    void theSumOfSixteenBalancersStaysWithinWhatAColdServerMayGet() {
        check(16, 2);
    }

    @Test
    void theSumOfThirtyBalancersStaysWithinWhatAColdServerMayGet() {
        check(30, 2);
    }

    @Test
    void theSumOfAHundredBalancersStaysWithinWhatAColdServerMayGet() {
        check(100, 1);
    }

    @Test
    void coldServersStillGetTheirShare() {
        for (int balancers : ColdFleetBenchmark.FLEETS) {
            Scenario steady = ColdFleetBenchmark.cases(balancers).get(0);
            Observed observed = ColdFleet.run(steady, 1);
            assertTrue(observed.coldShare() > 0.2, balancers + " balancers: " + observed.coldShare()
                    + " of its share");
            assertTrue(observed.servedShare() > 0.97, balancers + " balancers: served "
                    + observed.servedShare());
        }
    }

    /** Runs all scenarios, so that a failure lists each that exceeds the limit. */
    private static void check(int balancers, int seeds) {
        List<String> over = new ArrayList<>();
        int sent = 0;
        for (Scenario scenario : ColdFleetBenchmark.cases(balancers)) {
            for (int seed = 1; seed <= seeds; seed++) {
                Observed observed = ColdFleet.run(scenario, seed);
                sent += observed.worstCount();
                if (observed.worstRatio() > 1) {
                    over.add(String.format("%s, seed %d: %d of %.0f", scenario.name(), seed,
                            observed.worstCount(), observed.allowed()));
                }
            }
        }
        assertTrue(over.isEmpty(), over.toString());
        assertTrue(sent > 0, "nothing was sent to cold servers");
    }
}
