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
            assertTrue(goOn.await(HttpPeer.TIMEOUT_MS, TimeUnit.MILLISECONDS));
            Thread.sleep(HELD_UP_MS);
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    private void awaitHeldUp() throws InterruptedException {
        assertTrue(held.await(HttpPeer.TIMEOUT_MS, TimeUnit.MILLISECONDS));
    }

    @Test
    void aRequestThatIsReadAfterItsCallerHasLeftIsNotSentOn() throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            AtomicBoolean first = new AtomicBoolean(true);
            fixture.balancer.onRequest = request -> {
                if (first.getAndSet(false)) {
                    holdUp();
                }
                fixture.balancer.sendTo(0, request, 0);
            };
            // Both are with the node when it is held up, so it reads them in one round.
            HttpPeer gone = fixture.caller();
            HttpPeer after = fixture.caller();
            for (HttpPeer caller : List.of(gone, after)) {
                caller.write(NodeFixture.HEALTH);
                assertEquals(200, caller.read().status());
            }
            HttpPeer stays = fixture.caller();
            stays.write(NodeFixture.get("holds", "10"));
            awaitHeldUp();
            gone.write(NodeFixture.get("gone", "10"));
            gone.close();
            after.write(NodeFixture.get("after", "10"));
            goOn.countDown();
            serve(fixture, "holds");
            assertEquals(200, stays.read().status());
            serve(fixture, "after");
            assertEquals(200, after.read().status());
        }
    }

    /** Takes the next request that is sent on, which must be the one given. */
    private static void serve(NodeFixture fixture, String id) throws Exception {
        HttpPeer upstream = fixture.upstreams.get(0).accept();
        assertEquals(id, upstream.read().header("X-Txn"));
        upstream.write(NodeFixture.ok("done"));
    }

    @Test
    void anAttemptThatFailedIsNotFollowedByAnotherOnceItsCallerHasLeft() throws Exception {
        try (NodeFixture fixture = new NodeFixture(2)) {
            Request[] asked = new Request[1];
            fixture.balancer.onRequest = request -> {
                asked[0] = request;
                fixture.balancer.sendTo(0, request, 0);
            };
            fixture.balancer.onOpenOutcome = (to, outcome) -> {
                holdUp();
                fixture.balancer.sendTo(1, asked[0], 0);
            };
            fixture.start();
            HttpPeer caller = fixture.caller();
            caller.write(NodeFixture.get("1", "10"));
            HttpPeer upstream = fixture.upstreams.get(0).accept();
            upstream.read();
            upstream.reset();
            awaitHeldUp();
            caller.close();
            goOn.countDown();
            // The second attempt is over without having begun, and nobody waits any more.
            ScriptedBalancer.next(fixture.balancer.outcomes);
            assertTrue(ScriptedBalancer.next(fixture.balancer.outcomes).requestClosed());
            fixture.balancer.onRequest = request -> fixture.balancer.sendTo(1, request, 0);
            fixture.caller().write(NodeFixture.get("2", "10"));
            assertEquals("2", fixture.upstreams.get(1).accept().read().header("X-Txn"));
        }
    }
}
