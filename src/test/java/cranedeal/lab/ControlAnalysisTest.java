package cranedeal.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cranedeal.lab.history.Event;
import java.util.List;
import org.junit.jupiter.api.Test;

class ControlAnalysisTest {

    private static final Scale.Bounds BUDGET = new Scale.Bounds(0.029, 18_000, 18_000, 64, 15_000, 0.1);

    private final ControlAnalysis analysis = new ControlAnalysis(new Scale(40, 1, 2, 1_000, 0, 0, 0, BUDGET));

    /** Adds a second of ten real and forty hollow balancers, each with the given bytes. */
    private void second(double at, long realBytes, long hollowBytes, long peak, double busy) {
        analysis.accept(new Event.HostUsage(at, busy, 1, 200, 300 * 1_024));
        analysis.accept(new Event.ControlCost(at, "real", false, 10, 20, 10 * realBytes, 0, peak, 20, 400,
                10 * 70 * 1_024, 0));
        analysis.accept(new Event.ControlCost(at, "hollow-0", true, 40, 80, 40 * hollowBytes, 1, peak, 80,
                100,
                40 * 2 * 1_024, late));
    }

    /** Delay of an event loop of hollow balancers in milliseconds. */
    private double late;

    private void view(double at, int running, long least, long most) {
        for (String region : List.of("region-0", "region-1")) {
            analysis.accept(new Event.ViewsSampled(at, region, running / 2, running, least, most));
        }
    }

    @Test
    void costsArePerBalancerSecondAndExcludeJoining() {
        view(0, 50, 2, 9);
        second(500, 90_000, 90_000, 90_000, 1);
        view(900, 50, 50, 50);
        analysis.accept(new Event.LoadChanged(1_000, true));
        second(1_500, 600, 620, 900, 0.5);
        view(1_600, 50, 50, 50);
        second(2_500, 600, 620, 900, 0.4);
        ControlAnalysis.Control control = analysis.finish();
        assertEquals(10, control.real());
        assertEquals(40, control.hollow());
        assertEquals(900, control.joinedMs());
        assertEquals(90_000, control.joiningHollow().bytesPerS());
        assertEquals(620, control.allHollow().bytesPerS());
        assertEquals(600, control.calmReal().bytesPerS());
        assertEquals(2, control.allHollow().datagramsPerS());
        assertEquals(0.002, control.allHollow().coreShare(), 1e-9);
        assertEquals(0.04, control.allReal().processShare(), 1e-9);
        assertEquals(2, control.allHollow().memoryMb(), 1e-9);
        assertEquals(620.0 / 600 - 1, control.alike().get(1), 1e-9);
        assertEquals(300 + 700 + 80, control.machine().mostMemoryMb(), 1e-9);
        assertEquals(List.of(), control.broken());
        assertEquals(List.of(), control.voids());
    }

    @Test
    void everyBrokenBoundIsReported() {
        analysis.accept(new Event.LoadChanged(0, true));
        second(1_000, 600, 19_000, 40_000, 0.5);
        List<String> broken = analysis.finish().broken();
        assertTrue(broken.stream().anyMatch(why -> why.startsWith("a hollow balancer's bytes a second")));
        assertTrue(broken.stream().noneMatch(why -> why.startsWith("a real balancer's bytes a second")));
        assertTrue(broken.stream().anyMatch(why -> why.startsWith("a real balancer's bytes in its peak")));
        assertTrue(broken.stream().anyMatch(why -> why.contains("the bytes of hollow and real")));
        assertEquals(4, broken.size(), broken.toString());
    }

    @Test
    void viewsAreSettledWhenAllRegionsAreCorrect() {
        analysis.accept(new Event.LoadChanged(0, true));
        second(1_000, 600, 600, 900, 0.5);
        view(1_500, 50, 50, 50);
        analysis.accept(new Event.Faulted(2_000, 0, "kill zone-c", List.of(), true));
        view(2_000, 50, 50, 50);
        view(2_500, 42, 50, 50);
        view(6_000, 42, 42, 44);
        analysis.accept(new Event.ViewsSampled(6_500, "region-0", 21, 42, 42, 42));
        analysis.accept(new Event.ViewsSampled(6_500, "region-1", 21, 42, 42, 43));
        view(7_000, 42, 42, 42);
        analysis.accept(new Event.Faulted(9_000, 0, "kill zone-c", List.of(), false));
        view(9_500, 50, 42, 50);
        view(40_000, 50, 49, 50);
        ControlAnalysis.Control control = analysis.finish();
        assertEquals(5_000, control.faults().get(0).settledMs(), "the last region counts");
        assertTrue(Double.isNaN(control.faults().get(1).settledMs()), "the views never settled");
        assertEquals(1, control.broken().size(), control.broken().toString());
    }

    @Test
    void faultWithoutEffectOnViewsIsSettledAtOnce() {
        analysis.accept(new Event.LoadChanged(0, true));
        second(1_000, 600, 600, 900, 0.5);
        analysis.accept(new Event.Faulted(2_000, 0, "restart h1", List.of(), true));
        view(2_500, 50, 50, 50);
        assertEquals(0, analysis.finish().faults().get(0).settledMs());
    }

    @Test
    void runOnASaturatedMachineIsVoid() {
        analysis.accept(new Event.LoadChanged(0, true));
        for (int i = 0; i < 10; i++) {
            second(1_000 + i * 1_000, 600, 600, 900, i < 2 ? 0.95 : 0.5);
        }
        List<String> voids = analysis.finish().voids();
        assertEquals(1, voids.size());
        assertTrue(voids.get(0).contains("over 90% busy in 2 of 10 seconds"), voids.toString());
    }

    @Test
    void runWithLateHollowLoopsIsVoid() {
        analysis.accept(new Event.LoadChanged(0, true));
        late = 300;
        second(1_000, 600, 600, 900, 0.5);
        assertEquals(List.of("the machine was the bottleneck: loops of hollow balancers were 300 ms late"
                + " (p99)"), analysis.finish().voids());
    }
}
