package cranedeal.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cranedeal.LoadBalancer.Change;
import cranedeal.LoadBalancer.Result;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A connection that comes up late: what has changed since the module asked for its attempt counts. */
@Timeout(60)
class LateConnectionTest {

    /** A stage whose node has one upstream that connects at once, and then the one whose connections wait. */
    private static Peer start(Stage stage, Backlog full) throws Exception {
        stage.connectTimeout = 15_000;
        stage.script.onStart = () -> stage.script.actions.watch(true);
        stage.start();
        return stage.tell(Stage.entry(1, stage.upstreams.get(0).address(), "up"),
                Stage.entry(9, full.address(), "up"));
    }

    /** What comes first on the connection is the request that goes out after all that happened. */
    private static void nothingWasSentOn(Peer late, Stage stage) throws Exception {
        stage.script.onRequest = request -> stage.script.sendTo(1, request, 0);
        Peer caller = stage.caller();
        caller.write(Stage.get("next", "10"));
        assertEquals("next", late.read().header("X-Txn"));
        late.write(Stage.ok("served"));
        assertEquals("served", caller.read().body());
    }

    @Test
    void aKeyedRequestIsNotRepeatedOnceItsWindowIsOver() throws Exception {
        try (Stage stage = new Stage(); Backlog full = new Backlog()) {
            stage.memory = 300;
            start(stage, full);
            stage.script.onOpen = (to, outcome) -> {
                if (outcome.result() == Result.RESET) {
                    to.send(outcome.requestId(), stage.script.upstreams.get(1).id(), 0);
                } else {
                    to.fail(outcome.requestId());
                }
            };
            Peer caller = stage.caller();
            caller.write(Stage.order("1"));
            Peer first = stage.upstreams.get(0).accept();
            first.read();
            first.reset();
            assertEquals(Result.RESET, stage.script.result());
            stage.settle();
            // The kernel tries to connect again only after a second, when the window is long over.
            try (Peer late = full.acceptLast()) {
                assertEquals(Result.CONNECT_FAILED, stage.script.result());
                assertEquals(502, caller.read().status());
                nothingWasSentOn(late, stage);
            }
        }
    }

    @Test
    void anAttemptThatNeverRanOpensNoWindow() throws Exception {
        try (Stage stage = new Stage(); Backlog full = new Backlog()) {
            stage.memory = 300;
            start(stage, full);
            stage.script.onOpen = (to, outcome) ->
                    to.send(outcome.requestId(), stage.script.upstreams.get(1).id(), 0);
            Peer caller = stage.caller();
            caller.write(Stage.order("1"));
            Peer first = stage.upstreams.get(0).accept();
            first.read();
            first.write("HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n");
            assertEquals(Result.FULL, stage.script.result());
            stage.settle();
            try (Peer late = full.acceptLast()) {
                assertEquals("1", late.read().header("X-Txn"));
                late.write(Stage.ok("late"));
                assertEquals("late", caller.read().body());
            }
        }
    }

    @Test
    void nothingGoesToAProcessThatHasBeenReplacedMeanwhile() throws Exception {
        try (Stage stage = new Stage(); Backlog full = new Backlog()) {
            Peer watch = start(stage, full);
            stage.script.onRequest = request -> stage.script.sendTo(1, request, 0);
            Peer caller = stage.caller();
            caller.write(Stage.spend("1", "x"));
            stage.settle();
            watch.read();
            watch.write(Stage.ok(Stage.roster(43, false, Stage.entry(9, full.address(), "up")
                    .replace("\"started_ms\":0", "\"started_ms\":1700000000000"))));
            assertEquals(Change.DELTA, Script.next(stage.script.changes));
            try (Peer late = full.acceptLast()) {
                assertTrue(late.ended(), "a process that is cold got what was meant for a warm one");
            }
            assertEquals(Result.CONNECT_FAILED, stage.script.result());
            assertEquals(502, caller.read().status());
        }
    }

    @Test
    void nothingIsSentForACallerThatHasLeft() throws Exception {
        for (boolean abruptly : new boolean[] {false, true}) {
            try (Stage stage = new Stage(); Backlog full = new Backlog()) {
                start(stage, full);
                stage.script.onRequest = request -> stage.script.sendTo(1, request, 0);
                Peer caller = stage.caller();
                caller.write(Stage.spend("1", "x"));
                stage.settle();
                if (abruptly) {
                    caller.reset();
                } else {
                    caller.close();
                }
                // This module calls nothing off, as where the settings do not allow that.
                Script.next(stage.script.gone);
                try (Peer late = full.acceptLast()) {
                    assertEquals(Result.CONNECT_FAILED, stage.script.result());
                    nothingWasSentOn(late, stage);
                }
            }
        }
    }
}
