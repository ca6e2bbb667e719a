package cranedeal.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the operators' endpoint, and the effect of a drain and of disabled upstreams on callers. */
@Timeout(60)
class AdminEndpointTest {

    private static NodeFixture fixture() throws Exception {
        NodeFixture fixture = new NodeFixture();
        fixture.adminEnabled = true;
        return fixture.start();
    }

    private static int health(NodeFixture fixture) throws Exception {
        HttpPeer front = fixture.caller();
        front.write(NodeFixture.HEALTH);
        return front.read().status();
    }

    @ParameterizedTest
    @CsvSource({"GET,/ops/readiness,200", "GET,/ops/stats,200", "PUT,/ops/readiness,405",
        "PUT,/ops/stats,405",
        "GET,/ops/drain/start,405", "POST,/ops/drain/stop,405", "PUT,/ops/drain/stop,200",
        "PUT,/ops/drain,404", "PUT,/ops/drain/start/now,404", "GET,/,404", "GET,/_health,404",
        "GET,/ops/%zz,400"})
    void eachPathAndMethodGetsItsStatus(String method, String path, int status) throws Exception {
        try (NodeFixture fixture = fixture()) {
            assertEquals(status, fixture.adminRequest(method, path));
            assertEquals(200, health(fixture));
            fixture.assertServes();
        }
    }

    @Test
    void statsAreReturnedAsLines() throws Exception {
        try (NodeFixture fixture = fixture();
                HttpPeer operator = HttpPeer.connect(fixture.node.adminAddress())) {
            operator.write("GET /ops/stats HTTP/1.1\r\nHost: ops\r\n\r\n");
            HttpPeer.Message answer = operator.read();
            assertTrue(answer.body().contains("edge_proxy.concurrent=0\n"), answer.body());
            assertEquals("close", answer.header("Connection"));
        }
    }

    @Test
    void malformedHttpIsRejected() throws Exception {
        try (NodeFixture fixture = fixture();
                HttpPeer operator = HttpPeer.connect(fixture.node.adminAddress())) {
            operator.write("drain\r\n\r\n");
            assertEquals(400, operator.read().status());
            assertEquals(200, health(fixture));
        }
    }

    @Test
    void incompleteCallsDoNotBlockOthers() throws Exception {
        List<HttpPeer> silent = new ArrayList<>();
        try (NodeFixture fixture = fixture()) {
            for (int i = 0; i < 3 * AdminEndpoint.MAX_CONNECTIONS; i++) {
                silent.add(HttpPeer.connect(fixture.node.adminAddress()));
                silent.get(i).write("GET /ops/rea");
            }
            assertEquals(200, fixture.adminRequest("GET", "/ops/readiness"));
            // No later connection evicted the last one, so it must have timed out.
            assertTrue(silent.get(silent.size() - 1).awaitClose());
        } finally {
            for (HttpPeer peer : silent) {
                peer.close();
            }
        }
    }

    @Test
    void itAnswersWhileTheNodeIsBusyAndWithdrawsACommandThatWaitsTooLong() throws Exception {
        try (NodeFixture fixture = fixture()) {
            CountDownLatch busy = new CountDownLatch(1);
            CountDownLatch over = new CountDownLatch(1);
            fixture.balancer.onRequest = request -> {
                busy.countDown();
                try {
                    over.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                fixture.balancer.sendTo(0, request, 0);
            };
            HttpPeer caller = fixture.caller();
            caller.write(NodeFixture.get("1", "30"));
            busy.await();
            assertEquals(200, fixture.adminRequest("GET", "/ops/stats"));
            assertEquals(503, fixture.adminRequest("PUT", "/ops/drain/start"));
            over.countDown();
            fixture.upstreams.get(0).accept();
            assertEquals(200, health(fixture));
        }
    }

    @Test
    void aDrainClosesCallersAndItsEndAcceptsThemAgain() throws Exception {
        try (NodeFixture fixture = fixture()) {
            fixture.balancer.onRequest = request -> fixture.balancer.actions.refuse(request.id(), 0);
            for (int round = 0; round < 2; round++) {
                HttpPeer idle = fixture.caller();
                idle.write(NodeFixture.HEALTH);
                assertEquals(200, idle.read().status());
                HttpPeer kept = fixture.caller();
                kept.write(NodeFixture.HEALTH);
                assertEquals(200, kept.read().status());
                assertEquals(200, fixture.adminRequest("PUT", "/ops/drain/start"));
                assertEquals(200, fixture.adminRequest("PUT", "/ops/drain/start"));
                assertEquals(503, fixture.adminRequest("GET", "/ops/readiness"));
                assertEquals(503, health(fixture));
                // A caller that is still connected is served, and its connection is closed.
                kept.write(NodeFixture.get("1", "10"));
                HttpPeer.Message answer = kept.read();
                assertEquals(503, answer.status());
                assertEquals("close", answer.header("Connection"));
                assertTrue(idle.awaitClose());
                assertEquals(200, fixture.adminRequest("PUT", "/ops/drain/stop"));
                assertEquals(200, fixture.adminRequest("GET", "/ops/readiness"));
                assertEquals(200, health(fixture));
                HttpPeer again = fixture.caller();
                again.write(NodeFixture.HEALTH);
                assertNull(again.read().header("Connection"));
            }
        }
    }

    @Test
    void aDisabledUpstreamGetsNothingUntilItIsEnabled() throws Exception {
        try (NodeFixture fixture = new NodeFixture(2)) {
            fixture.adminEnabled = true;
            fixture.start(cranedeal.LatencyWeightedBalancer::new);
            assertEquals(404, fixture.adminRequest("PUT", "/ops/upstreams/down/s-0000000a"));
            assertEquals(404, fixture.adminRequest("PUT", "/ops/upstreams/up/s-0000000a"));
            assertEquals(404, fixture.adminRequest("PUT", "/ops/upstreams/down/"));
            assertEquals(405, fixture.adminRequest("GET", "/ops/upstreams/down/s-00000000"));
            assertEquals(200, fixture.adminRequest("PUT", "/ops/upstreams/down/s-00000000"));
            assertEquals(200, fixture.adminRequest("PUT", "/ops/upstreams/down/s-00000000"));
            assertTrue(fixture.node.stats().contains("edge_proxy.targets_disabled=1\n"),
                    fixture.node.stats());
            HttpPeer caller = fixture.caller();
            HttpPeer upstream = null;
            for (int i = 0; i < 20; i++) {
                caller.write(NodeFixture.get("r" + i, "10"));
                upstream = upstream == null ? fixture.upstreams.get(1).accept() : upstream;
                upstream.read();
                upstream.write(NodeFixture.ok("well"));
                assertEquals(200, caller.read().status());
            }
            assertEquals(0, fixture.upstreams.get(0).pendingConnections());
            assertEquals(200, fixture.adminRequest("PUT", "/ops/upstreams/up/s-00000000"));
            assertTrue(fixture.node.stats().contains("edge_proxy.targets_disabled=0\n"),
                    fixture.node.stats());
            assertEquals(200, fixture.adminRequest("PUT", "/ops/upstreams/down/s-00000001"));
            // The enabled upstream is cold, so it gets the first request of its share; no other goes
            // elsewhere.
            for (int i = 0; i < 20; i++) {
                fixture.caller().write(NodeFixture.get("back" + i, "10"));
            }
            assertTrue(fixture.upstreams.get(0).accept().read().header("X-Txn").startsWith("back"));
            assertEquals(0, fixture.upstreams.get(1).pendingConnections());
        }
    }

    @Test
    void aDrainDoesNotCutOffAPartiallyReceivedRequest() throws Exception {
        try (NodeFixture fixture = fixture()) {
            fixture.balancer.onRequest = request -> fixture.balancer.actions.refuse(request.id(), 0);
            String request = NodeFixture.get("1", "10");
            List<HttpPeer> callers = new ArrayList<>();
            // Cut within the request line, after it, and within the headers.
            for (int cut : new int[] {3, request.indexOf("\r\n") + 2, request.length() - 5}) {
                HttpPeer caller = fixture.caller();
                caller.write(NodeFixture.HEALTH);
                assertEquals(200, caller.read().status());
                caller.write(request.substring(0, cut));
                callers.add(caller);
            }
            HttpPeer idle = fixture.caller();
            idle.write(NodeFixture.HEALTH);
            assertEquals(200, idle.read().status());
            assertEquals(200, fixture.adminRequest("PUT", "/ops/drain/start"));
            assertTrue(idle.awaitClose());
            int at = 0;
            for (int cut : new int[] {3, request.indexOf("\r\n") + 2, request.length() - 5}) {
                HttpPeer caller = callers.get(at++);
                caller.write(request.substring(cut));
                HttpPeer.Message answer = caller.read();
                assertEquals(503, answer.status());
                assertEquals("close", answer.header("Connection"));
            }
        }
    }

    @Test
    void operatorsCannotUndoTheDrainOfSigterm() throws Exception {
        try (NodeFixture fixture = fixture()) {
            assertEquals(200, fixture.adminRequest("PUT", "/ops/drain/start"));
            HttpPeer caller = fixture.caller();
            caller.write(NodeFixture.get("1", "30"));
            HttpPeer upstream = fixture.upstreams.get(0).accept();
            upstream.read();
            Thread drain = new Thread(() -> {
                try {
                    fixture.node.drain();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            drain.start();
            // Only an operator's drain makes the health check of the front fail.
            while (health(fixture) != 200) {
                Thread.onSpinWait();
            }
            assertEquals(200, fixture.adminRequest("PUT", "/ops/drain/stop"));
            assertEquals(503, fixture.adminRequest("GET", "/ops/readiness"));
            upstream.write(NodeFixture.ok("taken"));
            assertEquals("close", caller.read().header("Connection"));
            drain.join();
        }
    }
}
