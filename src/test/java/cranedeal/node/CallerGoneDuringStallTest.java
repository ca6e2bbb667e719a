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

/** A node whose event loop has stalled sends nothing on for callers that left meanwhile. */
@Timeout(60)
class CallerGoneDuringStallTest {

    /** Longer than the node assumes a caller to be connected without a check. */
    private static final long STALL_MS = 50;

    private final CountDownLatch stalled = new CountDownLatch(1);
    private final CountDownLatch resume = new CountDownLatch(1);

    /** Blocks the loop until the test resumes it. */
    private void stall() {
        stalled.countDown();
        try {
            assertTrue(resume.await(HttpPeer.TIMEOUT_MS, TimeUnit.MILLISECONDS));
            Thread.sleep(STALL_MS);
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    private void awaitStalled() throws InterruptedException {
        assertTrue(stalled.await(HttpPeer.TIMEOUT_MS, TimeUnit.MILLISECONDS));
    }

    @Test
    void aRequestReadAfterItsCallerHasLeftIsNotSentOn() throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            AtomicBoolean first = new AtomicBoolean(true);
            fixture.balancer.onRequest = request -> {
                if (first.getAndSet(false)) {
                    stall();
                }
                fixture.balancer.sendTo(0, request, 0);
            };
            // Both are connected before the stall, so the node reads them in one iteration of its loop.
            HttpPeer gone = fixture.caller();
            HttpPeer after = fixture.caller();
            for (HttpPeer caller : List.of(gone, after)) {
                caller.write(NodeFixture.HEALTH);
                assertEquals(200, caller.read().status());
            }
            HttpPeer stays = fixture.caller();
            stays.write(NodeFixture.get("holds", "10"));
            awaitStalled();
            gone.write(NodeFixture.get("gone", "10"));
            gone.close();
            after.write(NodeFixture.get("after", "10"));
            resume.countDown();
            serve(fixture, "holds");
            assertEquals(200, stays.read().status());
            serve(fixture, "after");
            assertEquals(200, after.read().status());
        }
    }

    /** Answers the next request that is sent on, which must have the given id. */
    private static void serve(NodeFixture fixture, String id) throws Exception {
        HttpPeer upstream = fixture.upstreams.get(0).accept();
        assertEquals(id, upstream.read().header("X-Txn"));
        upstream.write(NodeFixture.ok("done"));
    }

    @Test
    void aFailedAttemptIsNotRetriedOnceItsCallerHasLeft() throws Exception {
        try (NodeFixture fixture = new NodeFixture(2)) {
            Request[] asked = new Request[1];
            fixture.balancer.onRequest = request -> {
                asked[0] = request;
                fixture.balancer.sendTo(0, request, 0);
            };
            fixture.balancer.onOpenOutcome = (to, outcome) -> {
                stall();
                fixture.balancer.sendTo(1, asked[0], 0);
            };
            fixture.start();
            HttpPeer caller = fixture.caller();
            caller.write(NodeFixture.get("1", "10"));
            HttpPeer upstream = fixture.upstreams.get(0).accept();
            upstream.read();
            upstream.reset();
            awaitStalled();
            caller.close();
            resume.countDown();
            // The second attempt ends without having been sent, and its caller no longer waits.
            ScriptedBalancer.next(fixture.balancer.outcomes);
            assertTrue(ScriptedBalancer.next(fixture.balancer.outcomes).requestClosed());
            fixture.balancer.onRequest = request -> fixture.balancer.sendTo(1, request, 0);
            fixture.caller().write(NodeFixture.get("2", "10"));
            assertEquals("2", fixture.upstreams.get(1).accept().read().header("X-Txn"));
        }
    }
}
