package cranedeal.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cranedeal.LoadBalancer;
import cranedeal.LoadBalancer.Result;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** An event loop that is late reads data that has arrived before it acts on a timer. */
@Timeout(60)
class LateEventLoopTest {

    /** Timeout of an attempt, which the tests outlast by blocking the loop; ample for a send by itself. */
    private static final double TIMEOUT_MS = 1_000;
    private static final int REMAINING_S = 10;
    /** By how much the X-Remaining header may exceed the time that is left. */
    private static final double REMAINING_SLACK_MS = 150;
    /** After this time the node polls for answers again. */
    private static final double POLL_INTERVAL_MS = 50;

    @Test
    void anAnswerThatHasArrivedIsNoTimeoutHoweverLateItIsRead() throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            HttpPeer caller = fixture.caller();
            HttpPeer upstream = pooledConnection(fixture, caller);
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

    /** Guards against cutting off an answer of which the start has arrived in time. */
    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 70005\r\n\r\nstart",
        "Transfer-Encoding: chunked\r\n\r\n5\r\nstart"})
    void aStreamedAnswerThatHasBegunIsNoTimeoutHoweverLateItIsRead(String begun) throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            HttpPeer caller = fixture.caller();
            HttpPeer upstream = pooledConnection(fixture, caller);
            fixture.balancer.onRequest = request -> {
                fixture.balancer.sendTo(0, request, TIMEOUT_MS);
                awaitUnread(fixture.upstreams.get(0), TIMEOUT_MS);
            };
            caller.write(NodeFixture.get("2", "10"));
            upstream.read();
            upstream.write("HTTP/1.1 200 OK\r\n" + begun);
            assertEquals("HTTP/1.1 200 OK", caller.readLine());
            caller.readHeaders();
            boolean chunked = begun.contains("chunked");
            upstream.write(chunked ? "\r\n0\r\n\r\n" : "x".repeat(70_000));
            assertEquals(Result.OK, fixture.balancer.nextResult());
            byte[] body = caller.socket.getInputStream().readNBytes(chunked ? 8 : 70_005);
            assertTrue(new String(body, StandardCharsets.ISO_8859_1).contains("start"));
        }
    }

    @Test
    void anAnswerThatHasArrivedIsReportedBeforeATimerOfItsRequest() throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            HttpPeer caller = fixture.caller();
            HttpPeer upstream = pooledConnection(fixture, caller);
            LinkedBlockingQueue<String> events = new LinkedBlockingQueue<>();
            fixture.balancer.onOutcome = outcome -> events.add("outcome");
            fixture.balancer.onTimer = () -> events.add("timer");
            fixture.balancer.onRequest = request -> {
                fixture.balancer.sendTo(0, request, 0);
                fixture.balancer.actions.setTimer(1, request.deadline() - REMAINING_S * 1_000 + TIMEOUT_MS);
                awaitUnread(fixture.upstreams.get(0), TIMEOUT_MS);
            };
            caller.write(NodeFixture.get("2", Integer.toString(REMAINING_S)));
            upstream.read();
            upstream.write(NodeFixture.ok("second"));
            assertEquals("outcome", ScriptedBalancer.next(events));
            assertEquals("timer", ScriptedBalancer.next(events));
            assertEquals("second", caller.read().body());
        }
    }

    @Test
    void answersAreReadBeforeRequestsThatArrivedMeanwhile() throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            HttpPeer caller = fixture.caller();
            HttpPeer other = fixture.caller();
            fixture.awaitReads();
            HttpPeer upstream = pooledConnection(fixture, caller);
            LinkedBlockingQueue<String> events = new LinkedBlockingQueue<>();
            CountDownLatch busy = new CountDownLatch(1);
            fixture.balancer.onOutcome = outcome -> events.add("outcome");
            fixture.balancer.onRequest = request -> {
                events.add("request");
                if (busy.getCount() == 0) {
                    fixture.balancer.actions.refuse(request.id(), 0);
                    return;
                }
                fixture.balancer.sendTo(0, request, 0);
                busy.countDown();
                awaitUnread(fixture.upstreams.get(0), POLL_INTERVAL_MS);
            };
            caller.write(NodeFixture.get("2", "10"));
            upstream.read();
            busy.await();
            // The kernel reports the second caller's request first, as it arrived first.
            other.write(NodeFixture.get("3", "10"));
            awaitUnread(fixture.node.address().getPort(), true);
            upstream.write(NodeFixture.ok("second"));
            assertEquals("request", ScriptedBalancer.next(events));
            assertEquals("outcome", ScriptedBalancer.next(events));
            assertEquals("request", ScriptedBalancer.next(events));
            assertEquals("second", caller.read().body());
            assertEquals(503, other.read().status());
        }
    }

    /**
     * The loop is busy for longer than an attempt's timeout, while the attempt's connection is up in the
     * kernel. The timeout runs before the sockets are polled; it once ended the attempt as a failed connect,
     * which was charged to the upstream (metric retried_after_connect_failed, without any connect_failed).
     */
    @Test
    void aConnectionThatIsUpIsNoFailedConnectHoweverLateThatIsSeen() throws Exception {
        try (NodeFixture fixture = new NodeFixture(2).start()) {
            HttpPeer caller = fixture.caller();
            HttpPeer upstream = pooledConnection(fixture, caller);
            // The second attempt starts, and the loop is busy, while socket events are being handled.
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
     * A request waits unread while the loop is busy. Its deadline counts from its arrival, so the remaining
     * time that is sent to the upstream must not include the time spent unread.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void theRemainingTimeSentToAnUpstreamExcludesTimeSpentUnread(boolean newConnection) throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            HttpPeer caller = fixture.caller();
            HttpPeer kept = fixture.caller();
            for (HttpPeer each : new HttpPeer[] {caller, kept}) {
                each.write(NodeFixture.HEALTH);
                each.read();
            }
            CountDownLatch busy = new CountDownLatch(1);
            fixture.balancer.onRequest = request -> {
                fixture.balancer.actions.refuse(request.id(), 0);
                fixture.balancer.onRequest = next -> fixture.balancer.sendTo(0, next, 0);
                busy.countDown();
                awaitUnread(fixture.node.address().getPort(), true);
                spin(TIMEOUT_MS);
            };
            caller.write(NodeFixture.get("1", "10"));
            busy.await();
            (newConnection ? fixture.caller() : kept).write(NodeFixture.get("2", "3"));
            double remainingS = Double.parseDouble(fixture.upstreams.get(0).accept().read()
                    .header("X-Remaining"));
            assertTrue(remainingS * 1_000 <= 3_000 - TIMEOUT_MS + REMAINING_SLACK_MS,
                    () -> "the upstream was sent " + remainingS + " s");
        }
    }

    /**
     * An attempt times out while its answer waits unread. The loop was busy with another socket event, so the
     * timer runs before the next poll.
     */
    @Test
    void anAnswerThatHasArrivedIsNoTimeoutIfTheTimerRunsBeforeTheNextPoll() throws Exception {
        try (NodeFixture fixture = new NodeFixture(2).start()) {
            CountDownLatch busy = new CountDownLatch(1);
            AtomicInteger sent = new AtomicInteger();
            fixture.balancer.onRequest = request -> {
                int place = sent.getAndIncrement();
                fixture.balancer.sendTo(place, request, place == 0 ? 2 * TIMEOUT_MS : 0);
            };
            fixture.balancer.onOutcome = outcome -> {
                if (busy.getCount() > 0) {
                    busy.countDown();
                    awaitUnread(fixture.upstreams.get(0), 3 * TIMEOUT_MS);
                }
            };
            HttpPeer[] callers = {fixture.caller(), fixture.caller()};
            HttpPeer[] upstreams = new HttpPeer[2];
            for (int i = 0; i < upstreams.length; i++) {
                callers[i].write(NodeFixture.get(Integer.toString(i), Integer.toString(REMAINING_S)));
                upstreams[i] = fixture.upstreams.get(i).accept();
                upstreams[i].read();
            }
            upstreams[1].write(NodeFixture.ok("second"));
            busy.await();
            upstreams[0].write(NodeFixture.ok("first"));
            assertEquals(Result.OK, fixture.balancer.nextResult());
            assertEquals(Result.OK, fixture.balancer.nextResult());
            assertEquals("first", callers[0].read().body());
        }
    }

    /**
     * A timer of one request is due while the answer to another waits unread. That answer may free the
     * capacity that the first request waits for; if the timer ran first, the request would be refused.
     */
    @Test
    void answersThatHaveArrivedAreReportedBeforeATimerOfAnotherRequest() throws Exception {
        try (NodeFixture fixture = new NodeFixture(2).start()) {
            LinkedBlockingQueue<String> events = new LinkedBlockingQueue<>();
            CountDownLatch busy = new CountDownLatch(1);
            List<LoadBalancer.Request> requests = new CopyOnWriteArrayList<>();
            fixture.balancer.onRequest = request -> {
                fixture.balancer.sendTo(requests.size(), request, 0);
                requests.add(request);
            };
            fixture.balancer.onTimer = () -> events.add("timer");
            fixture.balancer.onOutcome = outcome -> {
                events.add("outcome " + outcome.requestId());
                if (busy.getCount() > 0) {
                    LoadBalancer.Request second = requests.get(1);
                    fixture.balancer.actions.setTimer(1, second.deadline() - REMAINING_S * 1_000
                            + TIMEOUT_MS);
                    busy.countDown();
                    awaitUnread(fixture.upstreams.get(0), 2 * TIMEOUT_MS);
                }
            };
            HttpPeer[] upstreams = new HttpPeer[2];
            for (int i = 0; i < upstreams.length; i++) {
                fixture.caller().write(NodeFixture.get(Integer.toString(i), Integer.toString(REMAINING_S)));
                upstreams[i] = fixture.upstreams.get(i).accept();
                upstreams[i].read();
            }
            upstreams[1].write(NodeFixture.ok("second"));
            busy.await();
            upstreams[0].write(NodeFixture.ok("first"));
            assertEquals("outcome " + requests.get(1).id(), ScriptedBalancer.next(events));
            assertEquals("outcome " + requests.get(0).id(), ScriptedBalancer.next(events));
            assertEquals("timer", ScriptedBalancer.next(events));
        }
    }

    private static void spin(double ms) {
        long start = System.nanoTime();
        while (System.nanoTime() - start < ms * 1e6) {
            Thread.onSpinWait();
        }
    }

    /** The time that an answer waits unread while the loop is busy must not count as the upstream's. */
    @Test
    void timeThatAnAnswerSpentUnreadIsNotChargedToItsUpstream() throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            HttpPeer caller = fixture.caller();
            HttpPeer upstream = pooledConnection(fixture, caller);
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

    /** Opens a pooled connection, on which a request is written before the call that sends it returns. */
    private static HttpPeer pooledConnection(NodeFixture fixture, HttpPeer caller) throws Exception {
        caller.write(NodeFixture.get("1", "10"));
        HttpPeer upstream = fixture.upstreams.get(0).accept();
        upstream.read();
        upstream.write(NodeFixture.ok("first"));
        assertEquals("first", caller.read().body());
        assertEquals(Result.OK, fixture.balancer.nextResult());
        // The scripted balancer queues an outcome before it calls a handler that the test may set next.
        fixture.awaitReads();
        return upstream;
    }

    /** Blocks the loop until the kernel holds unread bytes from an upstream and a time has passed. */
    private static void awaitUnread(TestServer upstream, double atLeastMs) {
        long start = System.nanoTime();
        String address = upstream.address();
        awaitUnread(Integer.parseInt(address.substring(address.lastIndexOf(':') + 1)), false);
        spin(atLeastMs - (System.nanoTime() - start) / 1e6);
    }

    /** Waits until a connection of the node from or to a port holds unread bytes. */
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
