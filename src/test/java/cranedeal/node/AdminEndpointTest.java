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

/** What operators see at their door, and what their drain does to callers. */
@Timeout(60)
class AdminEndpointTest {

    private static Stage stage() throws Exception {
        Stage stage = new Stage();
        stage.door = true;
        return stage.start();
    }

    private static int health(Stage stage) throws Exception {
        Peer front = stage.caller();
        front.write(Stage.HEALTH);
        return front.read().status();
    }

    @ParameterizedTest
    @CsvSource({"GET,/ops/readiness,200", "GET,/ops/stats,200", "PUT,/ops/readiness,405",
        "PUT,/ops/stats,405",
        "GET,/ops/drain/start,405", "POST,/ops/drain/stop,405", "PUT,/ops/drain/stop,200",
        "PUT,/ops/drain,404", "PUT,/ops/drain/start/now,404", "GET,/,404", "GET,/_health,404",
        "GET,/ops/%zz,400"})
    void eachCallHasItsAnswer(String method, String path, int status) throws Exception {
        try (Stage stage = stage()) {
            assertEquals(status, stage.order(method, path));
            assertEquals(200, health(stage));
            stage.servesStill();
        }
    }

    @Test
    void theFiguresComeAsLines() throws Exception {
        try (Stage stage = stage(); Peer operator = Peer.to(stage.node.adminAddress())) {
            operator.write("GET /ops/stats HTTP/1.1\r\nHost: ops\r\n\r\n");
            Peer.Message answer = operator.read();
            assertTrue(answer.body().contains("edge_proxy.concurrent=0\n"), answer.body());
            assertEquals("close", answer.header("Connection"));
        }
    }

    @Test
    void whatIsNoCallIsTurnedDown() throws Exception {
        try (Stage stage = stage(); Peer operator = Peer.to(stage.node.adminAddress())) {
            operator.write("drain\r\n\r\n");
            assertEquals(400, operator.read().status());
            assertEquals(200, health(stage));
        }
    }

    @Test
    void callersThatSendNoWholeCallKeepNobodyOut() throws Exception {
        List<Peer> silent = new ArrayList<>();
        try (Stage stage = stage()) {
            for (int i = 0; i < 3 * AdminEndpoint.CONNECTIONS; i++) {
                silent.add(Peer.to(stage.node.adminAddress()));
                silent.get(i).write("GET /ops/rea");
            }
            assertEquals(200, stage.order("GET", "/ops/readiness"));
            // The last one was evicted by nobody, so its time must have run out.
            assertTrue(silent.get(silent.size() - 1).ended());
        } finally {
            for (Peer peer : silent) {
                peer.close();
            }
        }
    }

    @Test
    void itAnswersWhileTheNodeIsBusyAndTakesBackAnOrderThatHasToWait() throws Exception {
        try (Stage stage = stage()) {
            CountDownLatch busy = new CountDownLatch(1);
            CountDownLatch over = new CountDownLatch(1);
            stage.script.onRequest = request -> {
                busy.countDown();
                try {
                    over.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                stage.script.sendTo(0, request, 0);
            };
            Peer caller = stage.caller();
            caller.write(Stage.get("1", "30"));
            busy.await();
            assertEquals(200, stage.order("GET", "/ops/stats"));
            assertEquals(503, stage.order("PUT", "/ops/drain/start"));
            over.countDown();
            stage.upstreams.get(0).accept();
            assertEquals(200, health(stage));
        }
    }

    @Test
    void aDrainSendsCallersAwayAndItsEndTakesThemBack() throws Exception {
        try (Stage stage = stage()) {
            stage.script.onRequest = request -> stage.script.actions.refuse(request.id(), 0);
            for (int round = 0; round < 2; round++) {
                Peer idle = stage.caller();
                idle.write(Stage.HEALTH);
                assertEquals(200, idle.read().status());
                Peer kept = stage.caller();
                kept.write(Stage.HEALTH);
                assertEquals(200, kept.read().status());
                assertEquals(200, stage.order("PUT", "/ops/drain/start"));
                assertEquals(200, stage.order("PUT", "/ops/drain/start"));
                assertEquals(503, stage.order("GET", "/ops/readiness"));
                assertEquals(503, health(stage));
                // Who is still there is served, and told to leave.
                kept.write(Stage.get("1", "10"));
                Peer.Message answer = kept.read();
                assertEquals(503, answer.status());
                assertEquals("close", answer.header("Connection"));
                assertTrue(idle.ended());
                assertEquals(200, stage.order("PUT", "/ops/drain/stop"));
                assertEquals(200, stage.order("GET", "/ops/readiness"));
                assertEquals(200, health(stage));
                Peer again = stage.caller();
                again.write(Stage.HEALTH);
                assertNull(again.read().header("Connection"));
            }
        }
    }

    @Test
    void anUpstreamThatIsOutGetsNothingUntilItIsBack() throws Exception {
        try (Stage stage = new Stage(2)) {
            stage.door = true;
            stage.start(cranedeal.LatencyWeightedBalancer::new);
            assertEquals(404, stage.order("PUT", "/ops/upstreams/down/s-0000000a"));
            assertEquals(404, stage.order("PUT", "/ops/upstreams/up/s-0000000a"));
            assertEquals(404, stage.order("PUT", "/ops/upstreams/down/"));
            assertEquals(405, stage.order("GET", "/ops/upstreams/down/s-00000000"));
            assertEquals(200, stage.order("PUT", "/ops/upstreams/down/s-00000000"));
            assertEquals(200, stage.order("PUT", "/ops/upstreams/down/s-00000000"));
            assertTrue(stage.node.stats().contains("edge_proxy.targets_disabled=1\n"), stage.node.stats());
            Peer caller = stage.caller();
            Peer upstream = null;
            for (int i = 0; i < 20; i++) {
                caller.write(Stage.get("r" + i, "10"));
                upstream = upstream == null ? stage.upstreams.get(1).accept() : upstream;
                upstream.read();
                upstream.write(Stage.ok("well"));
                assertEquals(200, caller.read().status());
            }
            assertEquals(0, stage.upstreams.get(0).waiting());
            assertEquals(200, stage.order("PUT", "/ops/upstreams/up/s-00000000"));
            assertTrue(stage.node.stats().contains("edge_proxy.targets_disabled=0\n"), stage.node.stats());
            assertEquals(200, stage.order("PUT", "/ops/upstreams/down/s-00000001"));
            // It is cold, and the first of some requests that it has earned goes there; none goes elsewhere.
            for (int i = 0; i < 20; i++) {
                stage.caller().write(Stage.get("back" + i, "10"));
            }
            assertTrue(stage.upstreams.get(0).accept().read().header("X-Txn").startsWith("back"));
            assertEquals(0, stage.upstreams.get(1).waiting());
        }
    }

    @Test
    void aDrainCutsOffNoRequestThatIsOnItsWayIn() throws Exception {
        try (Stage stage = stage()) {
            stage.script.onRequest = request -> stage.script.actions.refuse(request.id(), 0);
            String request = Stage.get("1", "10");
            List<Peer> callers = new ArrayList<>();
            // Cut within the first line, behind it, and within the head.
            for (int cut : new int[] {3, request.indexOf("\r\n") + 2, request.length() - 5}) {
                Peer caller = stage.caller();
                caller.write(Stage.HEALTH);
                assertEquals(200, caller.read().status());
                caller.write(request.substring(0, cut));
                callers.add(caller);
            }
            Peer idle = stage.caller();
            idle.write(Stage.HEALTH);
            assertEquals(200, idle.read().status());
            assertEquals(200, stage.order("PUT", "/ops/drain/start"));
            assertTrue(idle.ended());
            int at = 0;
            for (int cut : new int[] {3, request.indexOf("\r\n") + 2, request.length() - 5}) {
                Peer caller = callers.get(at++);
                caller.write(request.substring(cut));
                Peer.Message answer = caller.read();
                assertEquals(503, answer.status());
                assertEquals("close", answer.header("Connection"));
            }
        }
    }

    @Test
    void noOrderUndoesTheDrainOfSigterm() throws Exception {
        try (Stage stage = stage()) {
            assertEquals(200, stage.order("PUT", "/ops/drain/start"));
            Peer caller = stage.caller();
            caller.write(Stage.get("1", "30"));
            Peer upstream = stage.upstreams.get(0).accept();
            upstream.read();
            Thread drain = new Thread(() -> {
                try {
                    stage.node.drain();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            drain.start();
            // Only a drain by hand says no to the front.
            while (health(stage) != 200) {
                Thread.onSpinWait();
            }
            assertEquals(200, stage.order("PUT", "/ops/drain/stop"));
            assertEquals(503, stage.order("GET", "/ops/readiness"));
            upstream.write(Stage.ok("taken"));
            assertEquals("close", caller.read().header("Connection"));
            drain.join();
        }
    }
}
