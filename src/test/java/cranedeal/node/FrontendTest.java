package cranedeal.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Every request gets one answer, whatever mistakes callers or the decision module make. */
@Timeout(60)
class FrontendTest {

    @Test
    void healthChecksSucceedOnceTheNodeListens() throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            HttpPeer caller = fixture.caller();
            caller.write(NodeFixture.HEALTH);
            assertEquals(200, caller.read().status());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {
        "GET /nothing/7 HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: nothing\r\nX-Remaining: 1\r\n\r\n",
        "GET / HTTP/1.1\r\nX-Txn: 1\r\nX-Remaining: 1\r\n\r\n",
        "GET /look-up HTTP/1.1\r\nX-Lane: look-up\r\nX-Remaining: 1\r\n\r\n",
        "GET /look-up HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: look-up\r\n\r\n",
        "GET /look-up HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: look-up\r\nX-Remaining: soon\r\n\r\n",
        "GET /look-up HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: look-up\r\nX-Remaining: -1\r\n\r\n",
        "GET /look-up HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: look-up\r\nX-Remaining: NaN\r\n\r\n",
        "GET /look-up HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: look-up\r\nX-Remaining: 1\r\nX-Estimate: x\r\n\r\n",
        "POST /look-up HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: look-up\r\nX-Remaining: 1\r\n\r\n",
        "GET /credit-spend HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: credit-spend\r\nX-Remaining: 1\r\n\r\n",
        "POST /tile-order HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: tile-order\r\nX-Remaining: 1\r\n\r\n",
        "POST /credit-spend HTTP/1.1\r\nX-Txn: 1\r\nContent-Length: many\r\n\r\n",
        "no request at all\r\n\r\n"})
    void aMalformedRequestIsAnsweredWith400(String request) throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            HttpPeer caller = fixture.caller();
            caller.write(request);
            assertEquals(400, caller.read().status());
            fixture.assertServes();
        }
    }

    @Test
    void aBodyOverTheLimitIsAnsweredWith413() throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            HttpPeer caller = fixture.caller();
            caller.write("POST /credit-spend HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: credit-spend\r\n"
                    + "X-Remaining: 10\r\nContent-Length: " + (Frontend.MAX_BODY_BYTES + 1) + "\r\n\r\n");
            assertEquals(413, caller.read().status());
            fixture.assertServes();
        }
    }

    @Test
    void aCallerThatIsStillSendingGetsItsAnswer() throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            HttpPeer caller = fixture.caller();
            caller.write("no request at all\r\n\r\n");
            // The answer may be written before the rest arrives; it must not be lost to a reset.
            caller.write("x".repeat(200_000));
            assertEquals(400, caller.read().status());
            caller.socket.shutdownOutput();
            assertTrue(caller.awaitClose());
        }
    }

    @Test
    void headersOverTheLimitAreRejected() throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            HttpPeer caller = fixture.caller();
            caller.write("GET /look-up HTTP/1.1\r\nX-Labels: " + "x".repeat(20_000) + "\r\n\r\n");
            int status = caller.read().status();
            assertTrue(status >= 400 && status < 500 && status != 429, "status " + status);
            fixture.assertServes();
        }
    }

    @Test
    void aRefusalAdvisesWhenToRetryAndAFailureHasAnotherStatus() throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            fixture.balancer.onRequest = request -> fixture.balancer.actions.refuse(request.id(), 250);
            HttpPeer caller = fixture.caller();
            caller.write(NodeFixture.get("1", "10"));
            HttpPeer.Message refused = caller.read();
            assertEquals(503, refused.status());
            assertEquals("0.250", refused.header("Retry-After"));
            fixture.balancer.onRequest = request -> fixture.balancer.actions.refuse(request.id(), 0);
            caller.write(NodeFixture.get("2", "10"));
            assertNull(caller.read().header("Retry-After"));
            fixture.balancer.onRequest = request -> fixture.balancer.actions.fail(request.id());
            caller.write(NodeFixture.get("3", "10"));
            assertEquals(502, caller.read().status());
        }
    }

    @Test
    void aRequestIsAnsweredOnlyOnce() throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            fixture.balancer.onRequest = request -> {
                fixture.balancer.actions.fail(request.id());
                fixture.balancer.actions.refuse(request.id(), 0);
                fixture.balancer.actions.fail(request.id());
            };
            HttpPeer caller = fixture.caller();
            caller.write(NodeFixture.get("1", "10"));
            assertEquals(502, caller.read().status());
            caller.write(NodeFixture.HEALTH);
            assertEquals(200, caller.read().status());
        }
    }

    @Test
    void pipelinedRequestsAreAnsweredInOrder() throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            HttpPeer caller = fixture.caller();
            caller.write(NodeFixture.get("1", "10") + NodeFixture.get("2", "10") + NodeFixture.HEALTH);
            HttpPeer upstream = fixture.upstreams.get(0).accept();
            assertEquals("1", upstream.read().header("X-Txn"));
            upstream.write(NodeFixture.ok("first"));
            assertEquals("first", caller.read().body());
            // The first answer returns its connection to the pool before the next request needs one.
            assertEquals("2", upstream.read().header("X-Txn"));
            upstream.write(NodeFixture.ok("second"));
            assertEquals("second", caller.read().body());
            assertEquals(200, caller.read().status());
            assertEquals(0, fixture.upstreams.get(0).pendingConnections());
        }
    }

    @Test
    void aCallerThatLeavesIsReportedOnceAndLaterOutcomesAreDropped() throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            HttpPeer caller = fixture.caller();
            caller.write(NodeFixture.spend("1", "x"));
            HttpPeer upstream = fixture.upstreams.get(0).accept();
            upstream.read();
            caller.close();
            assertEquals(1, ScriptedBalancer.next(fixture.balancer.goneClients));
            upstream.write(NodeFixture.ok("nobody waits"));
            assertTrue(ScriptedBalancer.next(fixture.balancer.outcomes).requestClosed());
            fixture.balancer.onRequest = request -> fixture.balancer.actions.fail(request.id());
            HttpPeer other = fixture.caller();
            other.write(NodeFixture.get("2", "10"));
            other.read();
            assertTrue(fixture.balancer.goneClients.isEmpty());
        }
    }

    @ParameterizedTest
    @CsvSource({"request", "outcome", "timer"})
    void anExceptionInTheModuleFailsThatRequestOnly(String where) throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            ScriptedBalancer script = fixture.balancer;
            Runnable throwing = () -> {
                throw new IllegalStateException("made by a test");
            };
            if (where.equals("request")) {
                script.onRequest = request -> throwing.run();
            } else if (where.equals("outcome")) {
                script.onOpenOutcome = (actions, outcome) -> throwing.run();
            } else {
                script.onRequest = request -> script.actions.setTimer(7, 0);
                script.onTimer = throwing;
            }
            HttpPeer caller = fixture.caller();
            caller.write(NodeFixture.spend("1", "x"));
            if (where.equals("outcome")) {
                HttpPeer upstream = fixture.upstreams.get(0).accept();
                upstream.read();
                upstream.close();
            }
            assertEquals(500, caller.read().status());
            assertEquals(1, ScriptedBalancer.next(script.goneClients));
            script.onRequest = request -> script.sendTo(0, request, 0);
            script.onOpenOutcome = (actions, outcome) -> { };
            fixture.assertServes();
        }
    }

    @Test
    void aRequestThatTheModuleForgetsFailsSoonAfterItsDeadline() throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            fixture.balancer.onRequest = request -> { };
            HttpPeer caller = fixture.caller();
            caller.write(NodeFixture.get("1", "0.1"));
            assertEquals(504, caller.read().status());
            assertEquals(1, ScriptedBalancer.next(fixture.balancer.goneClients));
        }
    }

    @Test
    void anEventThatAnActionCausesWaitsForTheModulesCallToReturn() throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            boolean[] inside = new boolean[1];
            boolean[] nested = new boolean[1];
            fixture.balancer.onOutcome = outcome -> nested[0] |= inside[0];
            fixture.balancer.onRequest = request -> {
                inside[0] = true;
                // There is no such upstream, so the attempt ends before the action returns.
                fixture.balancer.actions.send(request.id(), 12_345, 0);
                inside[0] = false;
            };
            HttpPeer caller = fixture.caller();
            caller.write(NodeFixture.get("1", "10"));
            assertEquals(502, caller.read().status());
            assertFalse(nested[0]);
        }
    }

    @Test
    void anAttemptOverTheLimitIsNotSent() throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            fixture.upstreams.get(0).refuseConnections();
            fixture.balancer.sendUntilNotSent(0);
            HttpPeer caller = fixture.caller();
            caller.write(NodeFixture.get("1", "10"));
            assertEquals(503, caller.read().status());
            assertEquals(5, fixture.balancer.outcomes.size());
        }
    }

    /** Request smuggling: another party may see the following request as part of the body. */
    @ParameterizedTest
    @ValueSource(strings = {
        "HTTP/1.1\r\nContent-Length: 400\r\nTransfer-Encoding: chunked",
        "HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 5",
        "HTTP/1.1\r\nTransfer-Encoding: gzip, chunked",
        "HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: identity",
        "HTTP/1.1\r\nTransfer-Encoding: xchunked\r\nContent-Length: 5",
        "HTTP/1.0\r\nTransfer-Encoding: chunked",
        "HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 400",
        "HTTP/1.1\r\nContent-Length: +5",
        "HTTP/1.1\r\nContent-Length: 5\r\na line with no colon",
        "HTTP/1.1\r\nTransfer-Encoding : chunked",
        "HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 40000000",
        "HTTP/1.1\r\nExpect: a-miracle\r\nContent-Length: 400",
        "HTTP/1.1\r\nContent-Length: 40000000",
        "HTTP/3.1\r\nContent-Length: 5"})
    void nothingAfterARequestWithAnAmbiguousEndIsServed(String framing) throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            HttpPeer caller = fixture.caller();
            caller.write("POST /credit-spend " + framing + "\r\nHost: app.svc\r\nX-Txn: outside\r\n"
                    + "X-Lane: credit-spend\r\nX-Remaining: 10\r\n\r\n0\r\n\r\n"
                    + NodeFixture.get("inside", "10"));
            int status = caller.read().status();
            assertTrue(status == 400 || status == 413, "status " + status);
            caller.socket.shutdownOutput();
            assertTrue(caller.awaitClose());
            fixture.caller().write(NodeFixture.get("after", "10"));
            assertEquals("after", fixture.upstreams.get(0).accept().read().header("X-Txn"));
        }
    }

    @Test
    void nothingIsReadAfterTheLastRequestOfAConnection() throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            HttpPeer caller = fixture.caller();
            caller.write("GET /_health HTTP/1.1\r\nConnection: close\r\n\r\n"
                    + NodeFixture.get("behind", "10"));
            assertEquals(200, caller.read().status());
            caller.socket.shutdownOutput();
            assertTrue(caller.awaitClose());
            fixture.caller().write(NodeFixture.get("after", "10"));
            assertEquals("after", fixture.upstreams.get(0).accept().read().header("X-Txn"));
        }
    }

    @Test
    void aMalformedRequestIsAnsweredInOrderAndEndsTheConnection() throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            HttpPeer caller = fixture.caller();
            caller.write(NodeFixture.get("1", "10") + "no request at all\r\n\r\n"
                    + NodeFixture.get("2", "10"));
            HttpPeer upstream = fixture.upstreams.get(0).accept();
            upstream.read();
            upstream.write(NodeFixture.ok("first"));
            assertEquals("first", caller.read().body());
            assertEquals(400, caller.read().status());
            caller.socket.shutdownOutput();
            assertTrue(caller.awaitClose());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "POST /credit", "POST /credit HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf"})
    void aConnectionWithoutAWholeRequestIsClosed(String part) throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            HttpPeer caller = fixture.caller();
            caller.write(part);
            assertTrue(caller.awaitClose());
            fixture.assertServes();
        }
    }

    @Test
    void aPartialRequestOnAServedConnectionTimesOut() throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            HttpPeer caller = fixture.caller();
            caller.write(NodeFixture.HEALTH);
            assertEquals(200, caller.read().status());
            caller.write("POST /credit-spend HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf");
            assertTrue(caller.awaitClose());
        }
    }

    @Test
    void aConnectionWithARequestInProgressIsNotIdle() throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            HttpPeer caller = fixture.caller();
            caller.write(NodeFixture.spend("1", "x"));
            HttpPeer upstream = fixture.upstreams.get(0).accept();
            upstream.read();
            // Once a silent connection of the same age is closed, an idle one would have been closed as well.
            assertTrue(fixture.caller().awaitClose());
            upstream.write(NodeFixture.ok("late"));
            assertEquals("late", caller.read().body());
        }
    }

    @Test
    void callersLeaveDescriptorsToAttemptsAndAreEvictedWhenIdle() throws Exception {
        try (NodeFixture fixture = new NodeFixture()) {
            fixture.sockets = 64 + 15;
            fixture.start();
            List<HttpPeer> callers = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                callers.add(fixture.caller());
                callers.get(i).write(NodeFixture.HEALTH);
                assertEquals(200, callers.get(i).read().status());
            }
            assertTrue(fixture.caller().awaitClose(), "the other descriptors are reserved for attempts");
            HttpPeer caller = callers.get(9);
            caller.write(NodeFixture.get("1", "10"));
            HttpPeer upstream = fixture.upstreams.get(0).accept();
            upstream.read();
            upstream.write(NodeFixture.ok("served"));
            assertEquals("served", caller.read().body());
            // Connections idle for two seconds may be evicted, the longest idle first.
            HttpPeer.Message answer = null;
            while (answer == null) {
                HttpPeer next = fixture.caller();
                try {
                    next.write(NodeFixture.HEALTH);
                    answer = next.read();
                } catch (IOException e) {
                    // No connection could be evicted for it yet.
                }
                if (answer == null) {
                    // Tens of thousands are rejected meanwhile; this process's descriptors are limited too.
                    next.close();
                }
            }
            assertEquals(200, answer.status());
            assertTrue(callers.get(0).awaitClose());
            caller.write(NodeFixture.HEALTH);
            assertEquals(200, caller.read().status());
        }
    }

    @Test
    void aCallerThatDoesNotReadItsAnswersIsCutOff() throws Exception {
        // More answers than all buffers can hold, as the caller's receive buffer is small.
        int rounds = 400;
        int requestsPerRound = 1_000;
        int answered = 0;
        try (NodeFixture fixture = new NodeFixture().start(); Socket socket = new Socket()) {
            socket.setReceiveBufferSize(32_768);
            socket.connect(fixture.node.address());
            HttpPeer caller = new HttpPeer(socket);
            String requests = NodeFixture.HEALTH.repeat(requestsPerRound);
            try {
                for (int i = 0; i < rounds; i++) {
                    caller.write(requests);
                }
                while (caller.read() != null) {
                    answered++;
                }
            } catch (IOException | RuntimeException e) {
                // The node has closed the connection, possibly within an answer.
            }
            assertTrue(answered < rounds * requestsPerRound, answered + " were answered");
            fixture.assertServes();
        }
    }
}
