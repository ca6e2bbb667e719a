package cranedeal.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cranedeal.LoadBalancer.Change;
import cranedeal.LoadBalancer.Result;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** When a connection comes up late, changes since the module asked for the attempt are taken into account. */
@Timeout(60)
class SlowConnectTest {

    /** Starts a node with an upstream that connects at once, and a second one whose connections hang. */
    private static HttpPeer start(NodeFixture fixture, FullBacklog full) throws Exception {
        fixture.connectTimeout = 15_000;
        fixture.balancer.onStart = () -> fixture.balancer.actions.watch(true);
        fixture.start();
        return fixture.sendList(NodeFixture.listEntry(1, fixture.upstreams.get(0).address(), "up"),
                NodeFixture.listEntry(9, full.address(), "up"));
    }

    /** Asserts that the first request on the late connection is one that is sent only now. */
    private static void assertNothingWasSent(HttpPeer late, NodeFixture fixture) throws Exception {
        fixture.balancer.onRequest = request -> fixture.balancer.sendTo(1, request, 0);
        HttpPeer caller = fixture.caller();
        caller.write(NodeFixture.get("next", "10"));
        assertEquals("next", late.read().header("X-Txn"));
        late.write(NodeFixture.ok("served"));
        assertEquals("served", caller.read().body());
    }

    @Test
    void aDeduplicatedRequestIsNotRepeatedAfterItsWindow() throws Exception {
        try (NodeFixture fixture = new NodeFixture(); FullBacklog full = new FullBacklog()) {
            fixture.dedupWindowMs = 300;
            start(fixture, full);
            fixture.balancer.onOpenOutcome = (to, outcome) -> {
                if (outcome.result() == Result.RESET) {
                    to.send(outcome.requestId(), fixture.balancer.upstreams.get(1).id(), 0);
                } else {
                    to.fail(outcome.requestId());
                }
            };
            HttpPeer caller = fixture.caller();
            caller.write(NodeFixture.tileOrder("1"));
            HttpPeer first = fixture.upstreams.get(0).accept();
            first.read();
            first.reset();
            assertEquals(Result.RESET, fixture.balancer.nextResult());
            fixture.awaitReads();
            // The kernel retries the connect only after a second, when the window is long over.
            try (HttpPeer late = full.acceptNext()) {
                assertEquals(Result.CONNECT_FAILED, fixture.balancer.nextResult());
                assertEquals(502, caller.read().status());
                assertNothingWasSent(late, fixture);
            }
        }
    }

    @Test
    void anAttemptThatNeverRanDoesNotStartTheWindow() throws Exception {
        try (NodeFixture fixture = new NodeFixture(); FullBacklog full = new FullBacklog()) {
            fixture.dedupWindowMs = 300;
            start(fixture, full);
            fixture.balancer.onOpenOutcome = (to, outcome) ->
                    to.send(outcome.requestId(), fixture.balancer.upstreams.get(1).id(), 0);
            HttpPeer caller = fixture.caller();
            caller.write(NodeFixture.tileOrder("1"));
            HttpPeer first = fixture.upstreams.get(0).accept();
            first.read();
            first.write("HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n");
            assertEquals(Result.FULL, fixture.balancer.nextResult());
            fixture.awaitReads();
            try (HttpPeer late = full.acceptNext()) {
                assertEquals("1", late.read().header("X-Txn"));
                late.write(NodeFixture.ok("late"));
                assertEquals("late", caller.read().body());
            }
        }
    }

    @Test
    void nothingIsSentToAProcessThatHasReplacedTheOneListed() throws Exception {
        try (NodeFixture fixture = new NodeFixture(); FullBacklog full = new FullBacklog()) {
            HttpPeer watch = start(fixture, full);
            fixture.balancer.onRequest = request -> fixture.balancer.sendTo(1, request, 0);
            HttpPeer caller = fixture.caller();
            caller.write(NodeFixture.spend("1", "x"));
            fixture.awaitReads();
            watch.read();
            watch.write(NodeFixture.ok(NodeFixture.listJson(43, false,
                    NodeFixture.listEntry(9, full.address(), "up")
                    .replace("\"started_ms\":0", "\"started_ms\":1700000000000"))));
            assertEquals(Change.DELTA, ScriptedBalancer.next(fixture.balancer.changes));
            try (HttpPeer late = full.acceptNext()) {
                assertTrue(late.awaitClose(), "a cold process got a request that was meant for a warm one");
            }
            assertEquals(Result.CONNECT_FAILED, fixture.balancer.nextResult());
            assertEquals(502, caller.read().status());
        }
    }

    @Test
    void nothingIsSentForACallerThatHasLeft() throws Exception {
        for (boolean abruptly : new boolean[] {false, true}) {
            try (NodeFixture fixture = new NodeFixture(); FullBacklog full = new FullBacklog()) {
                start(fixture, full);
                fixture.balancer.onRequest = request -> fixture.balancer.sendTo(1, request, 0);
                HttpPeer caller = fixture.caller();
                caller.write(NodeFixture.spend("1", "x"));
                fixture.awaitReads();
                if (abruptly) {
                    caller.reset();
                } else {
                    caller.close();
                }
                // The scripted module does not cancel attempts, as with settings that do not allow it.
                ScriptedBalancer.next(fixture.balancer.goneClients);
                try (HttpPeer late = full.acceptNext()) {
                    assertEquals(Result.CONNECT_FAILED, fixture.balancer.nextResult());
                    assertNothingWasSent(late, fixture);
                }
            }
        }
    }
}
