package cranedeal;

import static org.junit.jupiter.api.Assertions.assertTrue;

import cranedeal.ColdFleet.Case;
import cranedeal.ColdFleet.Seen;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Rule 4 over all balancers: what they send together to a cold server stays within what it may get in any
 * window, N + 2 x root of N + 2, though none of them knows of the others.
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
    void coldServersAreNotStarvedForIt() {
        for (int balancers : ColdFleetBenchmark.FLEETS) {
            Case steady = ColdFleetBenchmark.cases(balancers).get(0);
            Seen seen = ColdFleet.play(steady, 1);
            assertTrue(seen.share() > 0.2, balancers + " balancers: " + seen.share() + " of its share");
            assertTrue(seen.served() > 0.97, balancers + " balancers: served " + seen.served());
        }
    }

    /** Plays all cases, so that a failure tells of each that goes over. */
    private static void check(int balancers, int seeds) {
        List<String> over = new ArrayList<>();
        int sent = 0;
        for (Case its : ColdFleetBenchmark.cases(balancers)) {
            for (int seed = 1; seed <= seeds; seed++) {
                Seen seen = ColdFleet.play(its, seed);
                sent += seen.most();
                if (seen.worst() > 1) {
                    over.add(String.format("%s, seed %d: %d of %.0f", its.name(), seed, seen.most(),
                            seen.allowed()));
                }
            }
        }
        assertTrue(over.isEmpty(), over.toString());
        assertTrue(sent > 0, "nothing was sent to cold servers");
    }
}
