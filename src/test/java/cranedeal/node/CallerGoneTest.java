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
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A caller that has closed its connection has gone: no attempt begins for it any more, whatever the node was
 * busy with when it went. Here the node's one thread is held while callers leave, so that what they did waits
 * in the kernel, next to whatever would cause an attempt.
 */
@Timeout(120)
class CallerGoneTest {

    private static final long SURELY_NOT_JUST_SEEN_MS = 5;

    /** Requests that the module keeps, in the order in which they came. */
    private final LinkedBlockingQueue<Request> kept = new LinkedBlockingQueue<>();

    /** The upstream's connections that have a request which is not answered yet. */
    private final LinkedBlockingQueue<HttpPeer> atUpstream = new LinkedBlockingQueue<>();

    /** A way to leave. */
    enum Leaving {
        CLOSE, RESET, END_OF_SENDING;

        void leave(HttpPeer caller) throws IOException {
            switch (this) {
                case CLOSE -> caller.close();
                case RESET -> caller.reset();
                default -> caller.socket.shutdownOutput();
            }
        }
    }

    /** What the test does while the node is busy. */
    private interface Step {
        void run() throws Exception;
    }

    /** Holds the node's one thread in the module meanwhile. */
    private static void whileBusy(NodeFixture fixture, Step step) throws Exception {
        CountDownLatch held = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        var before = fixture.balancer.onRequest;
        fixture.balancer.onRequest = request -> {
            fixture.balancer.onRequest = before;
            fixture.balancer.actions.refuse(request.id(), 0);
            held.countDown();
            try {
                release.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        };
        fixture.caller().write(NodeFixture.get("hold", "10"));
        try {
            assertTrue(held.await(HttpPeer.TIMEOUT_MS, TimeUnit.MILLISECONDS));
            // A caller that was there a ms ago is taken to be there: on a fast machine this takes less.
            TimeUnit.MILLISECONDS.sleep(SURELY_NOT_JUST_SEEN_MS);
            step.run();
        } finally {
            release.countDown();
        }
    }

    /** How many attempts were written whole. */
    private static long dispatches(NodeFixture fixture) throws IOException {
        // What an upstream has read already is counted only once the node's thread goes on.
        fixture.awaitReads();
        return fixture.node.stats().lines().filter(line -> line.contains(".dispatches="))
                .mapToLong(line -> Long.parseLong(line.substring(line.indexOf('=') + 1)))
                .findFirst().orElseThrow();
    }

    /** Has the upstream serve all but requests that are held there. */
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
                // The node has closed it.
            }
        });
    }

    /** The same, with idle connections to it, on which an attempt goes out at once. */
    private void serveOnIdle(NodeFixture fixture) throws Exception {
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

    /** What goes out from here on is what is asked for now. */
    private static void nothingElseIsSentOn(NodeFixture fixture, long before) throws Exception {
        fixture.awaitReads();
        fixture.balancer.onRequest = request -> fixture.balancer.sendTo(0, request, 0);
        HttpPeer caller = fixture.caller();
        caller.write(NodeFixture.get("next", "10"));
        assertEquals("served", caller.read().body());
        assertEquals(before + 1, dispatches(fixture));
    }

    private static HttpPeer resting(NodeFixture fixture) throws IOException {
        HttpPeer caller = fixture.caller();
        caller.write(NodeFixture.HEALTH);
        assertEquals(200, caller.read().status());
        return caller;
    }

    @ParameterizedTest
    @ValueSource(strings = {"CLOSE", "RESET", "END_OF_SENDING"})
    void whatTheModuleKeepsIsOverOnceItsCallerHasLeft(Leaving way) throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            serveOnIdle(fixture);
            long before = dispatches(fixture);
            fixture.balancer.onRequest = kept::add;
            HttpPeer caller = fixture.caller();
            caller.write(NodeFixture.get("kept", "10"));
            Request request = ScriptedBalancer.next(kept);
            way.leave(caller);
            // A close and an end of sending look alike from here: whoever ends its sending has gone.
            assertEquals(request.id(), ScriptedBalancer.next(fixture.balancer.gone));
            assertTrue(caller.socket.isClosed() || caller.awaitClose());
            fixture.balancer.onRequest = other -> {
                fixture.balancer.sendTo(0, request, 0);
                fixture.balancer.actions.refuse(other.id(), 0);
            };
            assertEquals(503, answer(fixture, "now"));
            nothingElseIsSentOn(fixture, before);
        }
    }

    private static int answer(NodeFixture fixture, String id) throws IOException {
        HttpPeer caller = fixture.caller();
        caller.write(NodeFixture.get(id, "10"));
        return caller.read().status();
    }

    @ParameterizedTest
    @ValueSource(strings = {"CLOSE", "RESET", "END_OF_SENDING"})
    void aFirstAttemptDoesNotBeginForWhoHasLeftUnseen(Leaving way) throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            serveOnIdle(fixture);
            long before = dispatches(fixture);
            fixture.balancer.onRequest = kept::add;
            HttpPeer caller = fixture.caller();
            caller.write(NodeFixture.get("kept", "10"));
            Request request = ScriptedBalancer.next(kept);
            fixture.balancer.onRequest = other -> {
                fixture.balancer.sendTo(0, request, 0);
                fixture.balancer.actions.refuse(other.id(), 0);
            };
            HttpPeer other = resting(fixture);
            whileBusy(fixture, () -> {
                // What makes the module send is there before the end that forbids it.
                other.write(NodeFixture.get("cause", "10"));
                way.leave(caller);
            });
            assertEquals(503, other.read().status());
            assertEquals(Result.NOT_SENT, fixture.balancer.nextResult());
            assertEquals(request.id(), ScriptedBalancer.next(fixture.balancer.gone));
            nothingElseIsSentOn(fixture, before);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"CLOSE", "RESET", "END_OF_SENDING"})
    void aRequestThatIsReadOnceItsCallerHasLeftIsNotSentOn(Leaving way) throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            serveOnIdle(fixture);
            long before = dispatches(fixture);
            HttpPeer caller = resting(fixture);
            whileBusy(fixture, () -> {
                caller.write(NodeFixture.get("left", "10"));
                way.leave(caller);
            });
            nothingElseIsSentOn(fixture, before);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"CLOSE", "RESET", "END_OF_SENDING"})
    void whoComesWithoutADescriptorForItIsClosedUnread(Leaving way) throws Exception {
        try (NodeFixture fixture = new NodeFixture()) {
            // Callers may have ten of them; one is that of who has just asked how the node is.
            fixture.sockets = 64 + 15;
            fixture.start();
            serve(fixture);
            long before = dispatches(fixture);
            fixture.balancer.onRequest = kept::add;
            List<HttpPeer> taken = new ArrayList<>();
            for (int i = 0; i < 9; i++) {
                HttpPeer caller = fixture.caller();
                caller.write(NodeFixture.get("taken" + i, "10"));
                taken.add(caller);
                ScriptedBalancer.next(kept);
            }
            fixture.balancer.onRequest = request -> fixture.balancer.sendTo(0, request, 0);
            // All descriptors carry requests: nobody waits for one of them to end, and nothing is read.
            HttpPeer stays = fixture.caller();
            assertTrue(stays.awaitClose());
            HttpPeer left = fixture.caller();
            try {
                left.write(NodeFixture.get("left", "10"));
                way.leave(left);
            } catch (IOException e) {
                // It was closed before.
            }
            for (HttpPeer caller : taken) {
                caller.close();
                ScriptedBalancer.next(fixture.balancer.gone);
            }
            nothingElseIsSentOn(fixture, before);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"CLOSE", "RESET", "END_OF_SENDING"})
    void aFailureIsNotRepeatedForWhoHasLeft(Leaving way) throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            fixture.balancer.sendUntilNotSent(0);
            serveOnIdle(fixture);
            HttpPeer caller = fixture.caller();
            caller.write(NodeFixture.get("held", "10"));
            HttpPeer upstream = ScriptedBalancer.next(atUpstream);
            long before = dispatches(fixture);
            whileBusy(fixture, () -> {
                upstream.write("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
                way.leave(caller);
            });
            assertEquals(Result.ERROR, fixture.balancer.nextResult());
            nothingElseIsSentOn(fixture, before);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"CLOSE", "RESET", "END_OF_SENDING"})
    void noSecondAttemptIsMadeBesideTheFirstForWhoHasLeft(Leaving way) throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            LinkedBlockingQueue<Request> sent = new LinkedBlockingQueue<>();
            fixture.balancer.onRequest = request -> {
                fixture.balancer.sendTo(0, request, 0);
                sent.add(request);
            };
            serveOnIdle(fixture);
            HttpPeer caller = fixture.caller();
            caller.write(NodeFixture.get("held", "10"));
            ScriptedBalancer.next(atUpstream);
            long before = dispatches(fixture);
            Request request = ScriptedBalancer.next(sent);
            fixture.balancer.onRequest = other -> {
                fixture.balancer.sendTo(0, request, 0);
                fixture.balancer.actions.refuse(other.id(), 0);
            };
            HttpPeer other = resting(fixture);
            whileBusy(fixture, () -> {
                other.write(NodeFixture.get("cause", "10"));
                way.leave(caller);
            });
            assertEquals(503, other.read().status());
            nothingElseIsSentOn(fixture, before);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"CLOSE", "RESET", "END_OF_SENDING"})
    void aConnectionThatComesUpAsItsCallerLeavesCarriesNothing(Leaving way) throws Exception {
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
            whileBusy(fixture, () -> {
                // It is up before the caller leaves, and the node sees the one before the other.
                up[0] = full.acceptNext();
                way.leave(caller);
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
    void whatWasSentAheadIsNotSentOnOnceItsCallerHasLeft(Leaving way) throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            serveOnIdle(fixture);
            HttpPeer caller = fixture.caller();
            caller.write(NodeFixture.get("held", "10") + NodeFixture.get("2", "10")
                    + NodeFixture.get("3", "10"));
            HttpPeer upstream = ScriptedBalancer.next(atUpstream);
            fixture.awaitReads();
            long before = dispatches(fixture);
            whileBusy(fixture, () -> {
                upstream.write(NodeFixture.ok("served"));
                way.leave(caller);
            });
            assertEquals(Result.OK, fixture.balancer.nextResult());
            nothingElseIsSentOn(fixture, before);
        }
    }

    @Test
    void aLongQueueOfOneCallerDoesNotHideThatItHasLeft() throws Exception {
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
            // What is beyond the limit of requests sent ahead is thrown away, not left unread before the end.
            ScriptedBalancer.next(fixture.balancer.gone);
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
}
