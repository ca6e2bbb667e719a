package cranedeal.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cranedeal.LoadBalancer.Request;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A node whose loop was held up sends nothing on for callers that left meanwhile. */
@Timeout(60)
class LateLookTest {

    /** Longer than a caller is taken to be there without a look. */
    private static final long HELD_UP_MS = 50;

    private final CountDownLatch held = new CountDownLatch(1);
    private final CountDownLatch goOn = new CountDownLatch(1);

    /** Holds the loop up until the test lets it go on. */
    private void holdUp() {
        held.countDown();
        try {
            assertTrue(goOn.await(Peer.PATIENCE_MS, TimeUnit.MILLISECONDS));
            Thread.sleep(HELD_UP_MS);
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    private void awaitHeldUp() throws InterruptedException {
        assertTrue(held.await(Peer.PATIENCE_MS, TimeUnit.MILLISECONDS));
    }

    @Test
    void aRequestThatIsReadAfterItsCallerHasLeftIsNotSentOn() throws Exception {
        try (Stage stage = new Stage().start()) {
            AtomicBoolean first = new AtomicBoolean(true);
            stage.script.onRequest = request -> {
                if (first.getAndSet(false)) {
                    holdUp();
                }
                stage.script.sendTo(0, request, 0);
            };
            // Both are with the node when it is held up, so it reads them in one round.
            Peer gone = stage.caller();
            Peer after = stage.caller();
            for (Peer caller : List.of(gone, after)) {
                caller.write(Stage.HEALTH);
                assertEquals(200, caller.read().status());
            }
            Peer stays = stage.caller();
            stays.write(Stage.get("holds", "10"));
            awaitHeldUp();
            gone.write(Stage.get("gone", "10"));
            gone.close();
            after.write(Stage.get("after", "10"));
            goOn.countDown();
            serve(stage, "holds");
            assertEquals(200, stays.read().status());
            serve(stage, "after");
            assertEquals(200, after.read().status());
        }
    }

    /** Takes the next request that is sent on, which must be the one given. */
    private static void serve(Stage stage, String id) throws Exception {
        Peer upstream = stage.upstreams.get(0).accept();
        assertEquals(id, upstream.read().header("X-Txn"));
        upstream.write(Stage.ok("done"));
    }

    @Test
    void anAttemptThatFailedIsNotFollowedByAnotherOnceItsCallerHasLeft() throws Exception {
        try (Stage stage = new Stage(2)) {
            Request[] asked = new Request[1];
            stage.script.onRequest = request -> {
                asked[0] = request;
                stage.script.sendTo(0, request, 0);
            };
            stage.script.onOpen = (to, outcome) -> {
                holdUp();
                stage.script.sendTo(1, asked[0], 0);
            };
            stage.start();
            Peer caller = stage.caller();
            caller.write(Stage.get("1", "10"));
            Peer upstream = stage.upstreams.get(0).accept();
            upstream.read();
            upstream.reset();
            awaitHeldUp();
            caller.close();
            goOn.countDown();
            // The second attempt is over without having begun, and nobody waits any more.
            Script.next(stage.script.outcomes);
            assertTrue(Script.next(stage.script.outcomes).requestClosed());
            stage.script.onRequest = request -> stage.script.sendTo(1, request, 0);
            stage.caller().write(Stage.get("2", "10"));
            assertEquals("2", stage.upstreams.get(1).accept().read().header("X-Txn"));
        }
    }
}
