package cranedeal.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Every figure is counted where its event happens. */
@Timeout(60)
class NodeMetricsTest {

    private static Map<String, Long> read(Stage stage) {
        return stage.node.stats().lines().map(line -> line.split("="))
                .collect(Collectors.toMap(pair -> pair[0], pair -> Long.parseLong(pair[1])));
    }

    private static void assertFigure(long expected, Stage stage, String name) {
        assertEquals(expected, read(stage).get("edge_proxy." + name), name);
    }

    /** Waits until the caller's event has reached the node. */
    private static void await(long expected, Stage stage, String name) throws InterruptedException {
        for (int i = 0; i < Peer.PATIENCE_MS && read(stage).get("edge_proxy." + name) != expected; i++) {
            Thread.sleep(1);
        }
        assertFigure(expected, stage, name);
    }

    @Test
    void allAreShownBeforeTheFirstRequest() throws Exception {
        try (Stage stage = new Stage(3).start()) {
            Map<String, Long> figures = read(stage);
            for (String name : new String[] {"success", "overload", "error"}) {
                assertEquals(0, figures.get("edge_proxy." + name + ".look-up"));
                assertEquals(0, figures.get("edge_proxy." + name + ".credit-spend"));
            }
            for (String name : new String[] {"concurrent", "dispatches", "targets_disabled", "reload_success",
                "reload_failure"}) {
                assertEquals(0, figures.get("edge_proxy." + name), name);
            }
            assertEquals(3, figures.get("edge_proxy.targets"));
            for (String name : new String[] {"list_stale", "discovery_answered", "discovery_broken"}) {
                assertEquals(0, figures.get("edge_proxy." + name), name);
            }
            assertEquals(72, figures.size());
        }
    }

    @Test
    void aClassWhoseNameWouldBreakItsLineIsShownAllTheSame() {
        NodeMetrics figures = new NodeMetrics();
        figures.registerClasses(List.of("slide=ct.1", "50% off\nnow"));
        assertEquals("edge_proxy.success.50%25%20off%0Anow=0",
                figures.text().lines().findFirst().orElseThrow());
        assertTrue(figures.text().contains("edge_proxy.success.slide%3Dct.1=0\n"), figures.text());
    }

    @Test
    void eachWayInWhichARequestEndsIsCountedForItsClass() throws Exception {
        try (Stage stage = new Stage().start()) {
            Peer caller = stage.caller();
            caller.write(Stage.get("1", "10"));
            Peer upstream = stage.upstreams.get(0).accept();
            upstream.read();
            assertFigure(1, stage, "concurrent");
            await(1, stage, "dispatches");
            upstream.write(Stage.ok("well"));
            assertEquals(200, caller.read().status());
            stage.script.onRequest = request -> stage.script.actions.refuse(request.id(), 0);
            caller.write(Stage.get("2", "10"));
            assertEquals(503, caller.read().status());
            stage.script.onRequest = request -> stage.script.actions.fail(request.id());
            caller.write(Stage.spend("3", "x"));
            assertEquals(502, caller.read().status());
            assertFigure(1, stage, "success.look-up");
            assertFigure(1, stage, "overload.look-up");
            assertFigure(0, stage, "error.look-up");
            assertFigure(1, stage, "error.credit-spend");
            assertFigure(1, stage, "dispatches");
            assertFigure(0, stage, "concurrent");
        }
    }

    @Test
    void aRequestWhoseCallerLeavesIsNoLongerConcurrent() throws Exception {
        try (Stage stage = new Stage().start()) {
            Peer caller = stage.caller();
            caller.write(Stage.spend("1", "x"));
            stage.upstreams.get(0).accept().read();
            assertFigure(1, stage, "concurrent");
            caller.close();
            Script.next(stage.script.gone);
            await(0, stage, "concurrent");
        }
    }

    @Test
    void whatIsNotWrittenWholeIsNoDispatch() throws Exception {
        try (Stage stage = new Stage().start()) {
            stage.upstreams.get(0).refuse();
            Peer caller = stage.caller();
            caller.write(Stage.spend("1", "x"));
            assertEquals(502, caller.read().status());
            assertFigure(0, stage, "dispatches");
        }
    }

    @Test
    void targetsFollowTheList() throws Exception {
        try (Stage stage = new Stage(2)) {
            stage.script.onStart = () -> stage.script.actions.watch(true);
            stage.start();
            Peer discovery = stage.discovery.accept();
            discovery.read();
            discovery.write(Stage.ok(Stage.roster(42, false,
                    Stage.entry(0, stage.upstreams.get(0).address(), "removed"))));
            await(1, stage, "targets");
        }
    }
}
