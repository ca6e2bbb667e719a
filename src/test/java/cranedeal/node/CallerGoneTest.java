package cranedeal.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cranedeal.LoadBalancer.Request;
import cranedeal.LoadBalancer.Result;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * No attempt is sent for a caller that has closed its connection, whatever the node was busy with at that
 * time. The tests block the node's only thread while callers leave, so that the close is pending in the
 * kernel next to an event that would cause an attempt.
 */
@Timeout(120)
class CallerGoneTest {

    private static final long PAST_CONNECTED_CHECK_MS = 5;
    /** How late a loop may be at most when it begins an attempt, and some more. */
    private static final long LATE_MS = 150;
    /** Too large to be buffered. */
    private static final String LARGE_BODY = "x".repeat(200_000);

    /** Requests that the module has neither sent nor answered, in order of arrival. */
    private final LinkedBlockingQueue<Request> heldRequests = new LinkedBlockingQueue<>();

    /** The upstream's connections with a request that is not answered yet. */
    private final LinkedBlockingQueue<HttpPeer> atUpstream = new LinkedBlockingQueue<>();

    /** How a caller leaves. */
    enum LeaveMode {
        CLOSE, RESET, END_OF_SENDING;

        void leave(HttpPeer caller) throws IOException {
            switch (this) {
                case CLOSE -> caller.close();
                case RESET -> caller.reset();
                default -> caller.socket.shutdownOutput();
            }
        }
    }

    /** What a test does while the node's thread is blocked. */
    private interface Step {
        void run() throws Exception;
    }

    /** Runs a step while the node's only thread is blocked in the module. */
    private static void whileNodeBlocked(NodeFixture fixture, Step step) throws Exception {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        var previous = fixture.balancer.onRequest;
        fixture.balancer.onRequest = request -> {
            fixture.balancer.onRequest = previous;
            fixture.balancer.actions.refuse(request.id(), 0);
            blocked.countDown();
            try {
                release.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        };
        fixture.caller().write(NodeFixture.get("hold", "10"));
        try {
            assertTrue(blocked.await(HttpPeer.TIMEOUT_MS, TimeUnit.MILLISECONDS));
            // The node assumes for 1 ms after a check that a caller is connected; wait longer than that.
            TimeUnit.MILLISECONDS.sleep(PAST_CONNECTED_CHECK_MS);
            step.run();
        } finally {
            release.countDown();
        }
    }

    /** Returns the number of attempts that were fully written. */
    private static long dispatches(NodeFixture fixture) throws IOException {
        // An attempt that an upstream has read is counted only once the node's thread goes on.
        fixture.awaitReads();
        return fixture.node.stats().lines().filter(line -> line.contains(".dispatches="))
                .mapToLong(line -> Long.parseLong(line.substring(line.indexOf('=') + 1)))
                .findFirst().orElseThrow();
    }

    /** Makes the upstream answer all requests except those whose id starts with "held". */
    private void serve(NodeFixture fixture) {
        fixture.upstreams.get(0).serveEach(peer -> {
            try {
                for (HttpPeer.Message request = peer.read(); request != null; request = peer.read()) {
                    if (request.header("X-Txn").startsWith("held")) {
                        atUpstream.add(peer);
                    } else {
                        peer.write(NodeFixture.ok("served"));
                    }
                }
            } catch (IOException e) {
                // The node has closed the connection.
            }
        });
    }

    /** The same, with two idle connections to the upstream, on which attempts are written at once. */
    private void serveOnIdleConnections(NodeFixture fixture) throws Exception {
        serve(fixture);
        HttpPeer[] callers = {fixture.caller(), fixture.caller()};
        for (HttpPeer caller : callers) {
            caller.write(NodeFixture.get("held", "10"));
        }
        for (HttpPeer caller : callers) {
            ScriptedBalancer.next(atUpstream).write(NodeFixture.ok("served"));
        }
        for (HttpPeer caller : callers) {
            assertEquals("served", caller.read().body());
            assertEquals(Result.OK, fixture.balancer.nextResult());
        }
    }

    /** Asserts that a new request is the only one that is sent on since {@code before} was counted. */
    private static void assertNothingElseSent(NodeFixture fixture, long before) throws Exception {
        fixture.awaitReads();
        fixture.balancer.onRequest = request -> fixture.balancer.sendTo(0, request, 0);
        HttpPeer caller = fixture.caller();
        caller.write(NodeFixture.get("next", "10"));
        assertEquals("served", caller.read().body());
        assertEquals(before + 1, dispatches(fixture));
    }

    private static HttpPeer idleCaller(NodeFixture fixture) throws IOException {
        HttpPeer caller = fixture.caller();
        caller.write(NodeFixture.HEALTH);
        assertEquals(200, caller.read().status());
        return caller;
    }

    @ParameterizedTest
    @ValueSource(strings = {"CLOSE", "RESET", "END_OF_SENDING"})
    void aRequestHeldByTheModuleIsNotSentOnceItsCallerHasLeft(LeaveMode mode) throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            serveOnIdleConnections(fixture);
            long before = dispatches(fixture);
            fixture.balancer.onRequest = heldRequests::add;
            HttpPeer caller = fixture.caller();
            caller.write(NodeFixture.get("kept", "10"));
            Request request = ScriptedBalancer.next(heldRequests);
            mode.leave(caller);
            // The node cannot tell a half-close from a close: both mean that the caller has left.
            assertEquals(request.id(), ScriptedBalancer.next(fixture.balancer.goneClients));
            assertTrue(caller.socket.isClosed() || caller.awaitClose());
            fixture.balancer.onRequest = other -> {
                fixture.balancer.sendTo(0, request, 0);
                fixture.balancer.actions.refuse(other.id(), 0);
            };
            assertEquals(503, answerStatus(fixture, "now"));
            assertNothingElseSent(fixture, before);
        }
    }

    private static int answerStatus(NodeFixture fixture, String id) throws IOException {
        HttpPeer caller = fixture.caller();
        caller.write(NodeFixture.get(id, "10"));
        return caller.read().status();
    }

    @ParameterizedTest
    @ValueSource(strings = {"CLOSE", "RESET", "END_OF_SENDING"})
    void aFirstAttemptIsNotSentIfTheCallerLeftUnnoticed(LeaveMode mode) throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            serveOnIdleConnections(fixture);
            long before = dispatches(fixture);
            fixture.balancer.onRequest = heldRequests::add;
            HttpPeer caller = fixture.caller();
            caller.write(NodeFixture.get("kept", "10"));
            Request request = ScriptedBalancer.next(heldRequests);
            fixture.balancer.onRequest = other -> {
                fixture.balancer.sendTo(0, request, 0);
                fixture.balancer.actions.refuse(other.id(), 0);
            };
            HttpPeer other = idleCaller(fixture);
            whileNodeBlocked(fixture, () -> {
                // The event that makes the module send arrives before the close that forbids it.
                other.write(NodeFixture.get("cause", "10"));
                mode.leave(caller);
            });
            assertEquals(503, other.read().status());
            assertEquals(Result.NOT_SENT, fixture.balancer.nextResult());
            assertEquals(request.id(), ScriptedBalancer.next(fixture.balancer.goneClients));
            assertNothingElseSent(fixture, before);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"CLOSE", "RESET", "END_OF_SENDING"})
    void aRequestReadAfterItsCallerHasLeftIsNotSentOn(LeaveMode mode) throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            serveOnIdleConnections(fixture);
            long before = dispatches(fixture);
            HttpPeer caller = idleCaller(fixture);
            whileNodeBlocked(fixture, () -> {
                caller.write(NodeFixture.get("left", "10"));
                mode.leave(caller);
            });
            assertNothingElseSent(fixture, before);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"CLOSE", "RESET", "END_OF_SENDING"})
    void aCallerWithoutAFreeDescriptorIsClosedUnread(LeaveMode mode) throws Exception {
        try (NodeFixture fixture = new NodeFixture()) {
            // Callers may use ten descriptors, one of which the health check in dispatches() holds.
            fixture.sockets = 64 + 15;
            fixture.start();
            serve(fixture);
            long before = dispatches(fixture);
            fixture.balancer.onRequest = heldRequests::add;
            List<HttpPeer> taken = new ArrayList<>();
            for (int i = 0; i < 9; i++) {
                HttpPeer caller = fixture.caller();
                caller.write(NodeFixture.get("taken" + i, "10"));
                taken.add(caller);
                ScriptedBalancer.next(heldRequests);
            }
            fixture.balancer.onRequest = request -> fixture.balancer.sendTo(0, request, 0);
            // All descriptors are used by requests: a new caller is closed unread instead of waiting for one.
            HttpPeer stays = fixture.caller();
            assertTrue(stays.awaitClose());
            HttpPeer left = fixture.caller();
            try {
                left.write(NodeFixture.get("left", "10"));
                mode.leave(left);
            } catch (IOException e) {
                // The node has already closed it.
            }
            for (HttpPeer caller : taken) {
                caller.close();
                ScriptedBalancer.next(fixture.balancer.goneClients);
            }
            assertNothingElseSent(fixture, before);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"CLOSE", "RESET", "END_OF_SENDING"})
    void aFailedAttemptIsNotRetriedForACallerThatHasLeft(LeaveMode mode) throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            fixture.balancer.sendUntilNotSent(0);
            serveOnIdleConnections(fixture);
            HttpPeer caller = fixture.caller();
            caller.write(NodeFixture.get("held", "10"));
            HttpPeer upstream = ScriptedBalancer.next(atUpstream);
            long before = dispatches(fixture);
            whileNodeBlocked(fixture, () -> {
                upstream.write("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
                mode.leave(caller);
            });
            assertEquals(Result.ERROR, fixture.balancer.nextResult());
            assertNothingElseSent(fixture, before);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"CLOSE", "RESET", "END_OF_SENDING"})
    void noHedgedAttemptIsSentForACallerThatHasLeft(LeaveMode mode) throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            LinkedBlockingQueue<Request> sent = new LinkedBlockingQueue<>();
            fixture.balancer.onRequest = request -> {
                fixture.balancer.sendTo(0, request, 0);
                sent.add(request);
            };
            serveOnIdleConnections(fixture);
            HttpPeer caller = fixture.caller();
            caller.write(NodeFixture.get("held", "10"));
            ScriptedBalancer.next(atUpstream);
            long before = dispatches(fixture);
            Request request = ScriptedBalancer.next(sent);
            fixture.balancer.onRequest = other -> {
                fixture.balancer.sendTo(0, request, 0);
                fixture.balancer.actions.refuse(other.id(), 0);
            };
            HttpPeer other = idleCaller(fixture);
            whileNodeBlocked(fixture, () -> {
                other.write(NodeFixture.get("cause", "10"));
                mode.leave(caller);
            });
            assertEquals(503, other.read().status());
            assertNothingElseSent(fixture, before);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"CLOSE", "RESET", "END_OF_SENDING"})
    void aConnectionThatComesUpAsTheCallerLeavesCarriesNoRequest(LeaveMode mode) throws Exception {
        try (NodeFixture fixture = new NodeFixture(); FullBacklog full = new FullBacklog()) {
            fixture.connectTimeout = 15_000;
            fixture.balancer.onStart = () -> fixture.balancer.actions.watch(true);
            fixture.start();
            fixture.sendList(NodeFixture.listEntry(1, fixture.upstreams.get(0).address(), "up"),
                    NodeFixture.listEntry(9, full.address(), "up"));
            fixture.balancer.onRequest = request -> fixture.balancer.sendTo(1, request, 0);
            HttpPeer caller = fixture.caller();
            caller.write(NodeFixture.spend("1", "x"));
            fixture.awaitReads();
            HttpPeer[] up = new HttpPeer[1];
            whileNodeBlocked(fixture, () -> {
                // The connection is up before the caller leaves, and the node sees them in this order.
                up[0] = full.acceptNext();
                mode.leave(caller);
            });
            try (HttpPeer late = up[0]) {
                assertTrue(fixture.balancer.nextResult().neverRan());
                fixture.balancer.onRequest = request -> fixture.balancer.sendTo(1, request, 0);
                HttpPeer other = fixture.caller();
                other.write(NodeFixture.get("next", "10"));
                assertEquals("next", late.read().header("X-Txn"));
                late.write(NodeFixture.ok("served"));
                assertEquals("served", other.read().body());
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"CLOSE", "RESET", "END_OF_SENDING"})
    void pipelinedRequestsAreNotSentOnOnceTheirCallerHasLeft(LeaveMode mode) throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            serveOnIdleConnections(fixture);
            HttpPeer caller = fixture.caller();
            caller.write(NodeFixture.get("held", "10") + NodeFixture.get("2", "10")
                    + NodeFixture.get("3", "10"));
            HttpPeer upstream = ScriptedBalancer.next(atUpstream);
            fixture.awaitReads();
            long before = dispatches(fixture);
            whileNodeBlocked(fixture, () -> {
                upstream.write(NodeFixture.ok("served"));
                mode.leave(caller);
            });
            assertEquals(Result.OK, fixture.balancer.nextResult());
            assertNothingElseSent(fixture, before);
        }
    }

    @Test
    void aLongPipelineDoesNotHideThatItsCallerHasLeft() throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            HttpPeer caller = fixture.caller();
            StringBuilder ahead = new StringBuilder();
            for (int i = 0; i < 200; i++) {
                ahead.append(NodeFixture.get("ahead" + i, "10"));
            }
            caller.write(ahead.toString());
            HttpPeer upstream = fixture.upstreams.get(0).accept();
            upstream.read();
            caller.close();
            // Requests over the pipelining limit are discarded; left unread, they would hide the close.
            ScriptedBalancer.next(fixture.balancer.goneClients);
            upstream.write(NodeFixture.ok("nobody waits"));
            assertTrue(ScriptedBalancer.next(fixture.balancer.outcomes).requestClosed());
            fixture.awaitReads();
            fixture.balancer.onRequest = request -> fixture.balancer.sendTo(0, request, 0);
            HttpPeer other = fixture.caller();
            other.write(NodeFixture.get("next", "10"));
            assertEquals("next", upstream.read().header("X-Txn"));
            upstream.write(NodeFixture.ok("served"));
            assertEquals("served", other.read().body());
        }
    }

    /** Guards against a large request that a late loop begins in the middle of reading it. */
    @ParameterizedTest
    @CsvSource({"CLOSE, 200000, false", "END_OF_SENDING, 200000, false", "CLOSE, 200000, true",
        "CLOSE, 3000000, false", "CLOSE, 3000000, true"})
    void aLargeRequestReadAfterItsCallerHasLeftIsNotSent(LeaveMode mode, int bytes, boolean newConnection)
            throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            serve(fixture);
            HttpPeer kept = idleCaller(fixture);
            long before = dispatches(fixture);
            whileNodeBlocked(fixture, () -> {
                HttpPeer caller = newConnection ? fixture.caller() : kept;
                caller.write(NodeFixture.spend("large", "x".repeat(bytes)));
                mode.leave(caller);
                TimeUnit.MILLISECONDS.sleep(LATE_MS);
            });
            assertNothingElseSent(fixture, before);
            // Not even begun: the only connection is that of the request after it.
            assertTrue(fixture.node.stats().contains("edge_proxy.connects=1\n"), fixture.node.stats());
        }
    }

    /** Guards against completing a request, which may run then, although its caller has left. */
    @ParameterizedTest
    @ValueSource(strings = {"CLOSE", "END_OF_SENDING"})
    void theEndOfABodyIsNotSentOnceItsCallerHasLeft(LeaveMode mode) throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            HttpPeer caller = fixture.caller();
            String request = NodeFixture.spend("large", LARGE_BODY);
            int sentFirst = request.length() - 1_000;
            caller.write(request.substring(0, sentFirst));
            HttpPeer upstream = fixture.upstreams.get(0).accept();
            upstream.readHead();
            fixture.awaitReads();
            whileNodeBlocked(fixture, () -> {
                caller.write(request.substring(sentFirst));
                mode.leave(caller);
            });
            assertTrue(upstream.socket.getInputStream().readAllBytes().length < LARGE_BODY.length());
        }
    }
}
