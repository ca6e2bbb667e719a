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
    private final LinkedBlockingQueue<Peer> atUpstream = new LinkedBlockingQueue<>();

    /** A way to leave. */
    enum Leaving {
        CLOSE, RESET, END_OF_SENDING;

        void leave(Peer caller) throws IOException {
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
    private static void whileBusy(Stage stage, Step step) throws Exception {
        CountDownLatch held = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        var before = stage.script.onRequest;
        stage.script.onRequest = request -> {
            stage.script.onRequest = before;
            stage.script.actions.refuse(request.id(), 0);
            held.countDown();
            try {
                release.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        };
        stage.caller().write(Stage.get("hold", "10"));
        try {
            assertTrue(held.await(Peer.PATIENCE_MS, TimeUnit.MILLISECONDS));
            // A caller that was there a ms ago is taken to be there: on a fast machine this takes less.
            TimeUnit.MILLISECONDS.sleep(SURELY_NOT_JUST_SEEN_MS);
            step.run();
        } finally {
            release.countDown();
        }
    }

    /** How many attempts were written whole. */
    private static long dispatches(Stage stage) throws IOException {
        // What an upstream has read already is counted only once the node's thread goes on.
        stage.settle();
        return stage.node.stats().lines().filter(line -> line.contains(".dispatches="))
                .mapToLong(line -> Long.parseLong(line.substring(line.indexOf('=') + 1)))
                .findFirst().orElseThrow();
    }

    /** Has the upstream serve all but requests that are held there. */
    private void serve(Stage stage) {
        stage.upstreams.get(0).each(peer -> {
            try {
                for (Peer.Message request = peer.read(); request != null; request = peer.read()) {
                    if (request.header("X-Txn").startsWith("held")) {
                        atUpstream.add(peer);
                    } else {
                        peer.write(Stage.ok("served"));
                    }
                }
            } catch (IOException e) {
                // The node has closed it.
            }
        });
    }

    /** The same, with idle connections to it, on which an attempt goes out at once. */
    private void serveOnIdle(Stage stage) throws Exception {
        serve(stage);
        Peer[] callers = {stage.caller(), stage.caller()};
        for (Peer caller : callers) {
            caller.write(Stage.get("held", "10"));
        }
        for (Peer caller : callers) {
            Script.next(atUpstream).write(Stage.ok("served"));
        }
        for (Peer caller : callers) {
            assertEquals("served", caller.read().body());
            assertEquals(Result.OK, stage.script.result());
        }
    }

    /** What goes out from here on is what is asked for now. */
    private static void nothingElseIsSentOn(Stage stage, long before) throws Exception {
        stage.settle();
        stage.script.onRequest = request -> stage.script.sendTo(0, request, 0);
        Peer caller = stage.caller();
        caller.write(Stage.get("next", "10"));
        assertEquals("served", caller.read().body());
        assertEquals(before + 1, dispatches(stage));
    }

    private static Peer resting(Stage stage) throws IOException {
        Peer caller = stage.caller();
        caller.write(Stage.HEALTH);
        assertEquals(200, caller.read().status());
        return caller;
    }

    @ParameterizedTest
    @ValueSource(strings = {"CLOSE", "RESET", "END_OF_SENDING"})
    void whatTheModuleKeepsIsOverOnceItsCallerHasLeft(Leaving way) throws Exception {
        try (Stage stage = new Stage().start()) {
            serveOnIdle(stage);
            long before = dispatches(stage);
            stage.script.onRequest = kept::add;
            Peer caller = stage.caller();
            caller.write(Stage.get("kept", "10"));
            Request request = Script.next(kept);
            way.leave(caller);
            // A close and an end of sending look alike from here: whoever ends its sending has gone.
            assertEquals(request.id(), Script.next(stage.script.gone));
            assertTrue(caller.socket.isClosed() || caller.ended());
            stage.script.onRequest = other -> {
                stage.script.sendTo(0, request, 0);
                stage.script.actions.refuse(other.id(), 0);
            };
            assertEquals(503, answer(stage, "now"));
            nothingElseIsSentOn(stage, before);
        }
    }

    private static int answer(Stage stage, String id) throws IOException {
        Peer caller = stage.caller();
        caller.write(Stage.get(id, "10"));
        return caller.read().status();
    }

    @ParameterizedTest
    @ValueSource(strings = {"CLOSE", "RESET", "END_OF_SENDING"})
    void aFirstAttemptDoesNotBeginForWhoHasLeftUnseen(Leaving way) throws Exception {
        try (Stage stage = new Stage().start()) {
            serveOnIdle(stage);
            long before = dispatches(stage);
            stage.script.onRequest = kept::add;
            Peer caller = stage.caller();
            caller.write(Stage.get("kept", "10"));
            Request request = Script.next(kept);
            stage.script.onRequest = other -> {
                stage.script.sendTo(0, request, 0);
                stage.script.actions.refuse(other.id(), 0);
            };
            Peer other = resting(stage);
            whileBusy(stage, () -> {
                // What makes the module send is there before the end that forbids it.
                other.write(Stage.get("cause", "10"));
                way.leave(caller);
            });
            assertEquals(503, other.read().status());
            assertEquals(Result.NOT_SENT, stage.script.result());
            assertEquals(request.id(), Script.next(stage.script.gone));
            nothingElseIsSentOn(stage, before);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"CLOSE", "RESET", "END_OF_SENDING"})
    void aRequestThatIsReadOnceItsCallerHasLeftIsNotSentOn(Leaving way) throws Exception {
        try (Stage stage = new Stage().start()) {
            serveOnIdle(stage);
            long before = dispatches(stage);
            Peer caller = resting(stage);
            whileBusy(stage, () -> {
                caller.write(Stage.get("left", "10"));
                way.leave(caller);
            });
            nothingElseIsSentOn(stage, before);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"CLOSE", "RESET", "END_OF_SENDING"})
    void whoComesWithoutADescriptorForItIsClosedUnread(Leaving way) throws Exception {
        try (Stage stage = new Stage()) {
            // Callers may have ten of them; one is that of who has just asked how the node is.
            stage.sockets = 64 + 15;
            stage.start();
            serve(stage);
            long before = dispatches(stage);
            stage.script.onRequest = kept::add;
            List<Peer> taken = new ArrayList<>();
            for (int i = 0; i < 9; i++) {
                Peer caller = stage.caller();
                caller.write(Stage.get("taken" + i, "10"));
                taken.add(caller);
                Script.next(kept);
            }
            stage.script.onRequest = request -> stage.script.sendTo(0, request, 0);
            // All descriptors carry requests: nobody waits for one of them to end, and nothing is read.
            Peer stays = stage.caller();
            assertTrue(stays.ended());
            Peer left = stage.caller();
            try {
                left.write(Stage.get("left", "10"));
                way.leave(left);
            } catch (IOException e) {
                // It was closed before.
            }
            for (Peer caller : taken) {
                caller.close();
                Script.next(stage.script.gone);
            }
            nothingElseIsSentOn(stage, before);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"CLOSE", "RESET", "END_OF_SENDING"})
    void aFailureIsNotRepeatedForWhoHasLeft(Leaving way) throws Exception {
        try (Stage stage = new Stage().start()) {
            stage.script.sendUntilNotSent(0);
            serveOnIdle(stage);
            Peer caller = stage.caller();
            caller.write(Stage.get("held", "10"));
            Peer upstream = Script.next(atUpstream);
            long before = dispatches(stage);
            whileBusy(stage, () -> {
                upstream.write("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
                way.leave(caller);
            });
            assertEquals(Result.ERROR, stage.script.result());
            nothingElseIsSentOn(stage, before);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"CLOSE", "RESET", "END_OF_SENDING"})
    void noSecondAttemptIsMadeBesideTheFirstForWhoHasLeft(Leaving way) throws Exception {
        try (Stage stage = new Stage().start()) {
            LinkedBlockingQueue<Request> sent = new LinkedBlockingQueue<>();
            stage.script.onRequest = request -> {
                stage.script.sendTo(0, request, 0);
                sent.add(request);
            };
            serveOnIdle(stage);
            Peer caller = stage.caller();
            caller.write(Stage.get("held", "10"));
            Script.next(atUpstream);
            long before = dispatches(stage);
            Request request = Script.next(sent);
            stage.script.onRequest = other -> {
                stage.script.sendTo(0, request, 0);
                stage.script.actions.refuse(other.id(), 0);
            };
            Peer other = resting(stage);
            whileBusy(stage, () -> {
                other.write(Stage.get("cause", "10"));
                way.leave(caller);
            });
            assertEquals(503, other.read().status());
            nothingElseIsSentOn(stage, before);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"CLOSE", "RESET", "END_OF_SENDING"})
    void aConnectionThatComesUpAsItsCallerLeavesCarriesNothing(Leaving way) throws Exception {
        try (Stage stage = new Stage(); Backlog full = new Backlog()) {
            stage.connectTimeout = 15_000;
            stage.script.onStart = () -> stage.script.actions.watch(true);
            stage.start();
            stage.tell(Stage.entry(1, stage.upstreams.get(0).address(), "up"),
                    Stage.entry(9, full.address(), "up"));
            stage.script.onRequest = request -> stage.script.sendTo(1, request, 0);
            Peer caller = stage.caller();
            caller.write(Stage.spend("1", "x"));
            stage.settle();
            Peer[] up = new Peer[1];
            whileBusy(stage, () -> {
                // It is up before the caller leaves, and the node sees the one before the other.
                up[0] = full.acceptLast();
                way.leave(caller);
            });
            try (Peer late = up[0]) {
                assertTrue(stage.script.result().neverRan());
                stage.script.onRequest = request -> stage.script.sendTo(1, request, 0);
                Peer other = stage.caller();
                other.write(Stage.get("next", "10"));
                assertEquals("next", late.read().header("X-Txn"));
                late.write(Stage.ok("served"));
                assertEquals("served", other.read().body());
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"CLOSE", "RESET", "END_OF_SENDING"})
    void whatWasSentAheadIsNotSentOnOnceItsCallerHasLeft(Leaving way) throws Exception {
        try (Stage stage = new Stage().start()) {
            serveOnIdle(stage);
            Peer caller = stage.caller();
            caller.write(Stage.get("held", "10") + Stage.get("2", "10") + Stage.get("3", "10"));
            Peer upstream = Script.next(atUpstream);
            stage.settle();
            long before = dispatches(stage);
            whileBusy(stage, () -> {
                upstream.write(Stage.ok("served"));
                way.leave(caller);
            });
            assertEquals(Result.OK, stage.script.result());
            nothingElseIsSentOn(stage, before);
        }
    }

    @Test
    void aLongQueueOfOneCallerDoesNotHideThatItHasLeft() throws Exception {
        try (Stage stage = new Stage().start()) {
            Peer caller = stage.caller();
            StringBuilder ahead = new StringBuilder();
            for (int i = 0; i < 200; i++) {
                ahead.append(Stage.get("ahead" + i, "10"));
            }
            caller.write(ahead.toString());
            Peer upstream = stage.upstreams.get(0).accept();
            upstream.read();
            caller.close();
            // What is beyond the limit of requests sent ahead is thrown away, not left unread before the end.
            Script.next(stage.script.gone);
            upstream.write(Stage.ok("nobody waits"));
            assertTrue(Script.next(stage.script.outcomes).requestClosed());
            stage.settle();
            stage.script.onRequest = request -> stage.script.sendTo(0, request, 0);
            Peer other = stage.caller();
            other.write(Stage.get("next", "10"));
            assertEquals("next", upstream.read().header("X-Txn"));
            upstream.write(Stage.ok("served"));
            assertEquals("served", other.read().body());
        }
    }
}
