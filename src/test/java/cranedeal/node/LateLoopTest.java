package cranedeal.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cranedeal.LoadBalancer;
import cranedeal.LoadBalancer.Result;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A loop that is late reads what has come before it goes by what a timer says. */
@Timeout(60)
class LateLoopTest {

    /** More than the loop may need between two lines of one call; it is held until this is over. */
    private static final double TIMEOUT_MS = 1_000;
    private static final int PATIENCE_S = 10;
    /** By how much an upstream may be told of too much, by the terms. */
    private static final double TOLD_SLACK_MS = 150;
    /** After that the node looks for answers again. */
    private static final double LOOKED_AT_MS = 50;

    @Test
    void anAnswerThatHasComeIsNoTimeoutHoweverLateItIsRead() throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            HttpPeer caller = fixture.caller();
            HttpPeer upstream = keptConnection(fixture, caller);
            fixture.balancer.onRequest = request -> {
                fixture.balancer.sendTo(0, request, TIMEOUT_MS);
                awaitUnread(fixture.upstreams.get(0), TIMEOUT_MS);
            };
            caller.write(NodeFixture.get("2", "10"));
            upstream.read();
            upstream.write(NodeFixture.ok("second"));
            assertEquals(Result.OK, fixture.balancer.nextResult());
            assertEquals("second", caller.read().body());
        }
    }

    @Test
    void theModuleHearsOfAnAnswerThatHasComeBeforeATimerOfItsRequest() throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            HttpPeer caller = fixture.caller();
            HttpPeer upstream = keptConnection(fixture, caller);
            LinkedBlockingQueue<String> told = new LinkedBlockingQueue<>();
            fixture.balancer.onOutcome = outcome -> told.add("outcome");
            fixture.balancer.onTimer = () -> told.add("timer");
            fixture.balancer.onRequest = request -> {
                fixture.balancer.sendTo(0, request, 0);
                fixture.balancer.actions.setTimer(1, request.deadline() - PATIENCE_S * 1_000 + TIMEOUT_MS);
                awaitUnread(fixture.upstreams.get(0), TIMEOUT_MS);
            };
            caller.write(NodeFixture.get("2", Integer.toString(PATIENCE_S)));
            upstream.read();
            upstream.write(NodeFixture.ok("second"));
            assertEquals("outcome", ScriptedBalancer.next(told));
            assertEquals("timer", ScriptedBalancer.next(told));
            assertEquals("second", caller.read().body());
        }
    }

    @Test
    void answersThatHaveComeAreTakenBeforeTheCallersThatCameMeanwhile() throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            HttpPeer caller = fixture.caller();
            HttpPeer other = fixture.caller();
            fixture.awaitReads();
            HttpPeer upstream = keptConnection(fixture, caller);
            LinkedBlockingQueue<String> told = new LinkedBlockingQueue<>();
            CountDownLatch held = new CountDownLatch(1);
            fixture.balancer.onOutcome = outcome -> told.add("outcome");
            fixture.balancer.onRequest = request -> {
                told.add("request");
                if (held.getCount() == 0) {
                    fixture.balancer.actions.refuse(request.id(), 0);
                    return;
                }
                fixture.balancer.sendTo(0, request, 0);
                held.countDown();
                awaitUnread(fixture.upstreams.get(0), LOOKED_AT_MS);
            };
            caller.write(NodeFixture.get("2", "10"));
            upstream.read();
            held.await();
            // The kernel tells of the second caller first, as that came first.
            other.write(NodeFixture.get("3", "10"));
            awaitUnread(fixture.node.address().getPort(), true);
            upstream.write(NodeFixture.ok("second"));
            assertEquals("request", ScriptedBalancer.next(told));
            assertEquals("outcome", ScriptedBalancer.next(told));
            assertEquals("request", ScriptedBalancer.next(told));
            assertEquals("second", caller.read().body());
            assertEquals(503, other.read().status());
        }
    }

    /**
     * The loop is busy for longer than an attempt may take, and its connection is up in the kernel all that
     * time. The timer that ends the attempt is handled before the sockets are looked at; it ended the attempt
     * as a failed connect, which was charged to the upstream (retried_after_connect_failed in the figures,
     * with no connect_failed at all).
     */
    @Test
    void aConnectionThatHasComeUpIsNoFailedConnectHoweverLateThatIsSeen() throws Exception {
        try (NodeFixture fixture = new NodeFixture(2).start()) {
            HttpPeer caller = fixture.caller();
            HttpPeer upstream = keptConnection(fixture, caller);
            // The second attempt begins, and the loop is busy, within a look at the sockets.
            fixture.balancer.onOpenOutcome = (to, outcome) -> {
                to.send(outcome.requestId(), fixture.balancer.upstreams.get(1).id(), TIMEOUT_MS);
                spin(2 * TIMEOUT_MS);
            };
            caller.write(NodeFixture.get("2", "10"));
            upstream.read();
            upstream.write("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
            assertEquals(Result.ERROR, fixture.balancer.nextResult());
            HttpPeer other = fixture.upstreams.get(1).accept();
            other.read();
            other.write(NodeFixture.ok("second"));
            assertEquals(Result.OK, fixture.balancer.nextResult());
            assertEquals("second", caller.read().body());
        }
    }

    /**
     * A request lies unread while the loop is busy. Its client's time runs meanwhile, so that much less is
     * left of it, and an upstream must not be told of more.
     */
    @Test
    void theTimeThatAnUpstreamIsToldLeavesOutWhatARequestHasLainUnread() throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            HttpPeer caller = fixture.caller();
            HttpPeer other = fixture.caller();
            for (HttpPeer each : new HttpPeer[] {caller, other}) {
                each.write(NodeFixture.HEALTH);
                each.read();
            }
            CountDownLatch held = new CountDownLatch(1);
            fixture.balancer.onRequest = request -> {
                fixture.balancer.actions.refuse(request.id(), 0);
                fixture.balancer.onRequest = next -> fixture.balancer.sendTo(0, next, 0);
                held.countDown();
                awaitUnread(fixture.node.address().getPort(), true);
                spin(TIMEOUT_MS);
            };
            caller.write(NodeFixture.get("1", "10"));
            held.await();
            other.write(NodeFixture.get("2", "3"));
            double told = Double.parseDouble(fixture.upstreams.get(0).accept().read().header("X-Remaining"));
            assertTrue(told * 1_000 <= 3_000 - TIMEOUT_MS + TOLD_SLACK_MS, () -> "told of " + told + " s");
        }
    }

    /**
     * The time of an attempt is over while its answer lies unread, and the loop was busy within a look at the
     * sockets, so that the timer comes before the next look.
     */
    @Test
    void anAnswerThatHasComeIsNoTimeoutWhereTheTimerComesBeforeTheNextLook() throws Exception {
        try (NodeFixture fixture = new NodeFixture(2).start()) {
            CountDownLatch held = new CountDownLatch(1);
            AtomicInteger sent = new AtomicInteger();
            fixture.balancer.onRequest = request -> {
                int place = sent.getAndIncrement();
                fixture.balancer.sendTo(place, request, place == 0 ? 2 * TIMEOUT_MS : 0);
            };
            fixture.balancer.onOutcome = outcome -> {
                if (held.getCount() > 0) {
                    held.countDown();
                    awaitUnread(fixture.upstreams.get(0), 3 * TIMEOUT_MS);
                }
            };
            HttpPeer[] callers = {fixture.caller(), fixture.caller()};
            HttpPeer[] upstreams = new HttpPeer[2];
            for (int i = 0; i < upstreams.length; i++) {
                callers[i].write(NodeFixture.get(Integer.toString(i), Integer.toString(PATIENCE_S)));
                upstreams[i] = fixture.upstreams.get(i).accept();
                upstreams[i].read();
            }
            upstreams[1].write(NodeFixture.ok("second"));
            held.await();
            upstreams[0].write(NodeFixture.ok("first"));
            assertEquals(Result.OK, fixture.balancer.nextResult());
            assertEquals(Result.OK, fixture.balancer.nextResult());
            assertEquals("first", callers[0].read().body());
        }
    }

    /**
     * A timer of one request is due while the answer to another lies unread. That answer may be what the
     * first has waited for, such as room at an upstream; rung first, the timer would have it refused.
     */
    @Test
    void theModuleHearsOfAnswersThatHaveComeBeforeATimerOfAnotherRequest() throws Exception {
        try (NodeFixture fixture = new NodeFixture(2).start()) {
            LinkedBlockingQueue<String> told = new LinkedBlockingQueue<>();
            CountDownLatch held = new CountDownLatch(1);
            List<LoadBalancer.Request> requests = new CopyOnWriteArrayList<>();
            fixture.balancer.onRequest = request -> {
                fixture.balancer.sendTo(requests.size(), request, 0);
                requests.add(request);
            };
            fixture.balancer.onTimer = () -> told.add("timer");
            fixture.balancer.onOutcome = outcome -> {
                told.add("outcome " + outcome.requestId());
                if (held.getCount() > 0) {
                    LoadBalancer.Request second = requests.get(1);
                    fixture.balancer.actions.setTimer(1, second.deadline() - PATIENCE_S * 1_000 + TIMEOUT_MS);
                    held.countDown();
                    awaitUnread(fixture.upstreams.get(0), 2 * TIMEOUT_MS);
                }
            };
            HttpPeer[] upstreams = new HttpPeer[2];
            for (int i = 0; i < upstreams.length; i++) {
                fixture.caller().write(NodeFixture.get(Integer.toString(i), Integer.toString(PATIENCE_S)));
                upstreams[i] = fixture.upstreams.get(i).accept();
                upstreams[i].read();
            }
            upstreams[1].write(NodeFixture.ok("second"));
            held.await();
            upstreams[0].write(NodeFixture.ok("first"));
            assertEquals("outcome " + requests.get(1).id(), ScriptedBalancer.next(told));
            assertEquals("outcome " + requests.get(0).id(), ScriptedBalancer.next(told));
            assertEquals("timer", ScriptedBalancer.next(told));
        }
    }

    private static void spin(double ms) {
        long start = System.nanoTime();
        while (System.nanoTime() - start < ms * 1e6) {
            Thread.onSpinWait();
        }
    }

    /** An answer lies unread while the loop is busy: that is no time of its upstream's. */
    @Test
    void whatAnAnswerHasLainUnreadIsNoTimeOfItsUpstream() throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            HttpPeer caller = fixture.caller();
            HttpPeer upstream = keptConnection(fixture, caller);
            fixture.balancer.onRequest = request -> {
                fixture.balancer.sendTo(0, request, 0);
                awaitUnread(fixture.upstreams.get(0), TIMEOUT_MS);
            };
            caller.write(NodeFixture.get("2", "10"));
            upstream.read();
            upstream.write(NodeFixture.ok("second"));
            double elapsed = ScriptedBalancer.next(fixture.balancer.outcomes).elapsed();
            assertTrue(elapsed < TIMEOUT_MS / 2, () -> elapsed + " ms");
        }
    }

    /** Brings it about that a request is out before the call that sends it returns. */
    private static HttpPeer keptConnection(NodeFixture fixture, HttpPeer caller) throws Exception {
        caller.write(NodeFixture.get("1", "10"));
        HttpPeer upstream = fixture.upstreams.get(0).accept();
        upstream.read();
        upstream.write(NodeFixture.ok("first"));
        assertEquals("first", caller.read().body());
        assertEquals(Result.OK, fixture.balancer.nextResult());
        // The script queues an outcome before it calls what a test may set next.
        fixture.awaitReads();
        return upstream;
    }

    /** Holds the loop until the kernel has bytes of an upstream that nobody has read, and a time is over. */
    private static void awaitUnread(TestServer upstream, double atLeastMs) {
        long start = System.nanoTime();
        String address = upstream.address();
        awaitUnread(Integer.parseInt(address.substring(address.lastIndexOf(':') + 1)), false);
        spin(atLeastMs - (System.nanoTime() - start) / 1e6);
    }

    /** Waits until a connection from or to a port of the node's side holds bytes that it has not read. */
    private static void awaitUnread(int port, boolean local) {
        try {
            while (SocketTable.unread(port, local, SocketTable.State.ESTABLISHED) == 0) {
                Thread.onSpinWait();
            }
        } catch (IOException e) {
            throw new AssertionError("cannot see what is unread", e);
        }
    }
}
