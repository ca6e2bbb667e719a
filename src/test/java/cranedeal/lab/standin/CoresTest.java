package cranedeal.lab.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cranedeal.lab.history.Effect;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests the stand-ins' logic that needs no sockets: upstream queue, discovery list and arrivals. */
class CoresTest {

    private static final UpstreamKind KIND = new UpstreamKind("k", 1, 2, 0.5, 3, 0.25, 10_000, 0, 100);

    @Test
    void upstreamProcessesQueuesAndRejectsRequests() {
        UpstreamCore core = new UpstreamCore(KIND, 0, false, new SplittableRandom(1), new SeenKeys(5_000));
        double[] done = new double[5];
        for (int i = 0; i < done.length; i++) {
            UpstreamCore.Admission admission = core.arrive(0, 10, null);
            assertTrue(admission.taken());
            done[i] = admission.doneAt();
        }
        // 10 ms of work takes 20 ms at half speed; two cores process in parallel.
        assertEquals(List.of(20.0, 20.0, 40.0, 40.0, 60.0), Arrays.stream(done).boxed().toList());
        assertFalse(core.arrive(0, 10, null).taken(), "the queue of three is full");
        assertTrue(core.arrive(20, 10, null).taken(), "two queued requests have started");
        core.drain();
        assertFalse(core.arrive(1_000, 10, null).taken());
    }

    @Test
    void coldUpstreamWarmsUpAndFailingUpstreamFailsAtOnce() {
        UpstreamCore core = new UpstreamCore(KIND, 1_000, true, new SplittableRandom(1), new SeenKeys(5_000));
        assertEquals(0.25, core.share(1_000));
        assertEquals(0.625, core.share(6_000));
        assertEquals(1, core.share(11_000));
        assertEquals(1_080, core.arrive(1_000, 10, null).doneAt());
        core.slow(3);
        assertEquals(20_060, core.arrive(20_000, 10, null).doneAt());
        core.fail(1);
        UpstreamCore.Admission failed = core.arrive(30_000, 10, null);
        assertTrue(failed.taken() && failed.failing());
        assertEquals(30_000, failed.doneAt());
    }

    @Test
    void cellDeduplicatesRepeatedRequests() {
        SeenKeys cell = new SeenKeys(5_000);
        UpstreamCore core = new UpstreamCore(KIND, 0, false, new SplittableRandom(1), cell);
        UpstreamCore neighbour = new UpstreamCore(KIND, 0, false, new SplittableRandom(1), cell);
        assertEquals(20, core.arrive(0, 10, "k").doneAt());
        assertEquals(20, neighbour.arrive(5, 10, "k").doneAt(), "a repeat does no work of its own");
        assertEquals(30, neighbour.arrive(30, 10, "k").doneAt());
        assertEquals(50, neighbour.arrive(30, 10, "other").doneAt());
        assertEquals(5_020, core.arrive(5_000, 10, "k").doneAt(), "the key has expired");
        core.fail(1);
        assertTrue(core.arrive(6_000, 10, "fails").failing());
        core.fail(0);
        assertEquals(7_020, core.arrive(7_000, 10, "fails").doneAt(), "a failed request's key is not kept");
    }

    @Test
    void catalogReturnsChangesAndDropsOldestRemovals() {
        Catalog catalog = new Catalog();
        Catalog.Entry first = new Catalog.Entry("u0", 1, "a", "k", 0, "up", 1, 0);
        catalog.put(first);
        long version = catalog.version();
        catalog.put(new Catalog.Entry("u1", 2, "a", "k", 0, "up", 1, 0));
        catalog.put(first.withState("draining"));
        assertEquals(List.of("u1", "u0"), catalog.changesSince(version).stream().map(Catalog.Entry::id)
                .toList());
        assertTrue(catalog.changesSince(catalog.version()).isEmpty());
        catalog.put(first.withState("removed"));
        assertEquals(1, catalog.all().size());
        assertTrue(catalog.hasChangesSince(version));
        for (int i = 0; i < 2_000; i++) {
            catalog.put(new Catalog.Entry("gone" + i, 3, "a", "k", 0, "removed", 1, 0));
        }
        assertFalse(catalog.hasChangesSince(version));
        assertFalse(catalog.hasChangesSince(catalog.version() + 1), "a version that was never published");
        assertEquals(1, catalog.all().size());
    }

    @Test
    void arrivalsFollowRateSharesAndSeed() {
        ServiceClass often = new ServiceClass("often", Effect.IDEMPOTENT, 3, 10, 500, 1_000, 1);
        ServiceClass seldom = new ServiceClass("seldom", Effect.AT_MOST_ONCE, 1, 30, 500, 1_000, 1);
        Load load = new Load(1_000, 5_000, 100_000, List.of(often, seldom), Map.of("t", 1.0),
                List.of(new Load.Surge(50_000, 60_000, 3)), 1, 1, 1, 1);
        Arrivals arrivals = new Arrivals(load, new SplittableRandom(5));
        Arrivals again = new Arrivals(load, new SplittableRandom(5));
        int warmUp = 0;
        int surge = 0;
        int other = 0;
        int ofOften = 0;
        double work = 0;
        for (Arrivals.Arrival arrival = arrivals.next(); arrival != null; arrival = arrivals.next()) {
            assertEquals(arrival, again.next());
            boolean surging = arrival.due() >= 50_000 && arrival.due() < 60_000;
            warmUp += arrival.due() < 0 ? 1 : 0;
            surge += surging ? 1 : 0;
            other += arrival.due() >= 0 && !surging ? 1 : 0;
            ofOften += arrival.serviceClass() == often ? 1 : 0;
            work += arrival.serviceClass() == often ? arrival.work() : 0;
        }
        assertNull(again.next());
        assertEquals(5_000, warmUp, 400);
        assertEquals(30_000, surge, 1_000);
        assertEquals(90_000, other, 1_500);
        assertEquals(0.75, ofOften / (double) (warmUp + surge + other), 0.01);
        // Capping an exponential distribution at three times its mean lowers the mean by 5 %.
        assertEquals(9.5, work / ofOften, 0.15);
    }
}
