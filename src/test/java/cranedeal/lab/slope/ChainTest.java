package cranedeal.lab.slope;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cranedeal.lab.slope.Chain.Leaf;
import cranedeal.lab.slope.Chain.Stats;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class ChainTest {

    private static final int WIDTH = 3;
    /** The retry budget's capacity, and the share of a retry that each request adds. */
    private static final double RETRY_CAPACITY = 3;
    private static final double RETRY_SHARE = 0.1;

    private static Stats simulate(int tiers, Leaf leaf, long seed) {
        return Chain.simulate(new Chain.Shape(tiers, WIDTH, 100, 2, 4, 100, 0.1, 50, 4_000, 2_000), leaf,
                seed);
    }

    @ParameterizedTest
    @EnumSource(Leaf.class)
    void everyRequestHasOneEndAndEveryCallItsCause(Leaf leaf) {
        Stats seen = simulate(3, leaf, 1);
        assertEquals(seen.requests(), seen.served() + seen.refused() + seen.failed() + seen.unanswered());
        assertTrue(seen.requests() > WIDTH * 100, "two seconds' worth of requests: " + seen.requests());
        assertEquals(seen.requests(), seen.calls()[0]);
        for (int tier = 1; tier < 3; tier++) {
            assertTrue(seen.calls()[tier] <= seen.attempts()[tier - 1]);
        }
        assertTrue(seen.arrived() <= seen.attempts()[2]);
        for (int tier = 0; tier < 3; tier++) {
            assertTrue(seen.wastedMs()[tier] <= seen.workMs()[tier]);
        }
    }

    @Test
    void theSameSeedGivesTheSameResults() {
        Stats first = simulate(3, Leaf.SLOW, 7);
        Stats second = simulate(3, Leaf.SLOW, 7);
        assertArrayEquals(first.attempts(), second.attempts());
        assertArrayEquals(first.workMs(), second.workMs());
        assertEquals(first.refused(), second.refused());
        assertTrue(simulate(3, Leaf.SLOW, 8).attempts()[2] != first.attempts()[2]);
    }

    @Test
    void aHealthyChainMakesOneAttemptATier() {
        Stats seen = simulate(4, Leaf.HEALTHY, 1);
        assertEquals(seen.requests(), seen.served());
        for (int tier = 0; tier < 4; tier++) {
            assertEquals(seen.requests(), seen.attempts()[tier]);
            assertEquals(0, seen.wastedMs()[tier]);
        }
        assertEquals(seen.requests(), seen.arrived());
    }

    @Test
    void repeatsOfAFailingLeafKeepToTheAllowanceOfEachTier() {
        Stats seen = simulate(4, Leaf.FAILING, 1);
        for (int tier = 0; tier < 4; tier++) {
            assertTrue(seen.attempts()[tier] > seen.calls()[tier], "there is an allowance");
            assertTrue(seen.attempts()[tier] <= (1 + RETRY_SHARE) * seen.calls()[tier]
                    + RETRY_CAPACITY * WIDTH,
                    seen.attempts()[tier] + " attempts for " + seen.calls()[tier] + " calls");
        }
        assertTrue(seen.attempts()[3] > seen.attempts()[0], "each tier multiplies the one above");
        assertTrue(seen.peak() >= (double) seen.attempts()[3] / seen.requests());
    }

    @Test
    void hardlyAnythingComesToALeafThatIsGone() {
        Stats gone = simulate(2, Leaf.GONE, 1);
        assertTrue(gone.arrived() < gone.requests() / 20);
        assertTrue(gone.served() <= gone.arrived());
        assertTrue(gone.attempts()[1] > 0);
        Stats refusing = simulate(2, Leaf.REFUSING, 1);
        assertTrue(refusing.arrived() < refusing.requests() / 20);
        assertTrue(refusing.attempts()[1] > refusing.requests());
    }

    @Test
    void aSlowLeafWorksForCallersWhoHaveGone() {
        Stats seen = simulate(2, Leaf.SLOW, 1);
        assertTrue(seen.wastedMs()[1] > 0);
        assertTrue(seen.served() < seen.requests());
    }
}
