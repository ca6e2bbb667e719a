package cranedeal.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests that each metric is counted when its event happens. */
@Timeout(60)
class NodeMetricsTest {

    private static Map<String, Long> read(NodeFixture fixture) {
        return fixture.node.stats().lines().map(line -> line.split("="))
                .collect(Collectors.toMap(pair -> pair[0], pair -> Long.parseLong(pair[1])));
    }

    private static void assertMetric(long expected, NodeFixture fixture, String name) {
        assertEquals(expected, read(fixture).get("edge_proxy." + name), name);
    }

    /** Waits until a metric has a value, as the event may not have reached the node yet. */
    private static void await(long expected, NodeFixture fixture, String name) throws InterruptedException {
        for (int i = 0; i < HttpPeer.TIMEOUT_MS && read(fixture).get("edge_proxy." + name) != expected; i++) {
            Thread.sleep(1);
        }
        assertMetric(expected, fixture, name);
    }

    @Test
    void allMetricsAreShownBeforeTheFirstRequest() throws Exception {
        try (NodeFixture fixture = new NodeFixture(3).start()) {
            Map<String, Long> metrics = read(fixture);
            for (String name : new String[] {"success", "overload", "error"}) {
                assertEquals(0, metrics.get("edge_proxy." + name + ".look-up"));
                assertEquals(0, metrics.get("edge_proxy." + name + ".credit-spend"));
            }
            for (String name : new String[] {"concurrent", "dispatches", "targets_disabled", "reload_success",
                "reload_failure"}) {
                assertEquals(0, metrics.get("edge_proxy." + name), name);
            }
            assertEquals(3, metrics.get("edge_proxy.targets"));
            for (String name : new String[] {"list_stale", "discovery_answered", "discovery_broken",
                "failed_for_unended_answer"}) {
                assertEquals(0, metrics.get("edge_proxy." + name), name);
            }
            assertEquals(92, metrics.size());
        }
    }

    @Test
    void classNamesThatWouldBreakALineAreEscaped() {
        NodeMetrics metrics = new NodeMetrics();
        metrics.registerClasses(List.of("slide=ct.1", "50% off\nnow"));
        assertEquals("edge_proxy.success.50%25%20off%0Anow=0",
                metrics.text().lines().findFirst().orElseThrow());
        assertTrue(metrics.text().contains("edge_proxy.success.slide%3Dct.1=0\n"), metrics.text());
    }

    @Test
    void eachRequestResultIsCountedForItsClass() throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            HttpPeer caller = fixture.caller();
            caller.write(NodeFixture.get("1", "10"));
            HttpPeer upstream = fixture.upstreams.get(0).accept();
            upstream.read();
            assertMetric(1, fixture, "concurrent");
            await(1, fixture, "dispatches");
            upstream.write(NodeFixture.ok("well"));
            assertEquals(200, caller.read().status());
            fixture.balancer.onRequest = request -> fixture.balancer.actions.refuse(request.id(), 0);
            caller.write(NodeFixture.get("2", "10"));
            assertEquals(503, caller.read().status());
            fixture.balancer.onRequest = request -> fixture.balancer.actions.fail(request.id());
            caller.write(NodeFixture.spend("3", "x"));
            assertEquals(502, caller.read().status());
            assertMetric(1, fixture, "success.look-up");
            assertMetric(1, fixture, "overload.look-up");
            assertMetric(0, fixture, "error.look-up");
            assertMetric(1, fixture, "error.credit-spend");
            assertMetric(1, fixture, "dispatches");
            assertMetric(0, fixture, "concurrent");
        }
    }

    @Test
    void aRequestOfADisconnectedCallerIsNoLongerConcurrent() throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            HttpPeer caller = fixture.caller();
            caller.write(NodeFixture.spend("1", "x"));
            fixture.upstreams.get(0).accept().read();
            assertMetric(1, fixture, "concurrent");
            caller.close();
            ScriptedBalancer.next(fixture.balancer.goneClients);
            await(0, fixture, "concurrent");
        }
    }

    @Test
    void anIncompletelyWrittenAttemptIsNotADispatch() throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            fixture.upstreams.get(0).refuseConnections();
            HttpPeer caller = fixture.caller();
            caller.write(NodeFixture.spend("1", "x"));
            assertEquals(502, caller.read().status());
            assertMetric(0, fixture, "dispatches");
        }
    }

    @Test
    void targetsFollowTheList() throws Exception {
        try (NodeFixture fixture = new NodeFixture(2)) {
            fixture.balancer.onStart = () -> fixture.balancer.actions.watch(true);
            fixture.start();
            HttpPeer discovery = fixture.discovery.accept();
            discovery.read();
            discovery.write(NodeFixture.ok(NodeFixture.listJson(42, false,
                    NodeFixture.listEntry(0, fixture.upstreams.get(0).address(), "removed"))));
            await(1, fixture, "targets");
        }
    }
}
