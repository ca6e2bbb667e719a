package cranedeal.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The ends of callers' connections, with bytes that come in just as they end. */
@Timeout(60)
class GracefulCloseTest {

    private static final long RETRY_MS = 50;

    /** More than the caller's side of a connection takes unread, and less than the node's side holds. */
    private static final String BODY = "0123456789abcdef".repeat(3_750);

    /** A caller whose kernel takes next to nothing before it reads. */
    private static HttpPeer slowCaller(NodeFixture fixture) throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(1_024);
        socket.connect(fixture.node.address());
        return new HttpPeer(socket);
    }

    private static HttpPeer served(NodeFixture fixture, String body) throws Exception {
        HttpPeer upstream = fixture.upstreams.get(0).accept();
        upstream.read();
        upstream.write(NodeFixture.ok(body));
        return upstream;
    }

    @Test
    void nothingIsSentOnThatComesBehindTheLastAnswer() throws Exception {
        try (NodeFixture fixture = new NodeFixture()) {
            fixture.adminEnabled = true;
            fixture.start();
            AtomicInteger taken = new AtomicInteger();
            fixture.balancer.onRequest = request -> {
                taken.incrementAndGet();
                fixture.balancer.sendTo(0, request, 0);
            };
            HttpPeer caller = fixture.caller();
            caller.write(NodeFixture.get("1", "10"));
            HttpPeer upstream = fixture.upstreams.get(0).accept();
            upstream.read();
            assertEquals(200, fixture.order("PUT", "/ops/drain/start"));
            upstream.write(NodeFixture.ok("last"));
            HttpPeer.Message answer = caller.read();
            assertEquals("last", answer.body());
            assertEquals("close", answer.header("Connection"));
            caller.write(NodeFixture.get("2", "10"));
            fixture.awaitReads();
            assertNull(caller.read());
            assertEquals(1, taken.get());
        }
    }

    @Test
    void whatIsSentAheadIsAnsweredBeforeADrainEndsItsConnection() throws Exception {
        try (NodeFixture fixture = new NodeFixture()) {
            fixture.adminEnabled = true;
            fixture.start();
            HttpPeer caller = fixture.caller();
            caller.write(NodeFixture.get("1", "10") + NodeFixture.get("2", "10"));
            HttpPeer upstream = fixture.upstreams.get(0).accept();
            upstream.read();
            assertEquals(200, fixture.order("PUT", "/ops/drain/start"));
            upstream.write(NodeFixture.ok("first"));
            HttpPeer.Message first = caller.read();
            assertEquals("first", first.body());
            assertNull(first.header("Connection"), "the answer to the second one is still to come");
            // The first answer has freed its connection before the next request looks for one.
            assertEquals("2", upstream.read().header("X-Txn"));
            upstream.write(NodeFixture.ok("second"));
            HttpPeer.Message second = caller.read();
            assertEquals("second", second.body());
            assertEquals("close", second.header("Connection"));
            assertNull(caller.read());
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aRequestThatCrossesTheEndDoesNotTakeTheLastAnswerAway(boolean evicted) throws Exception {
        try (NodeFixture fixture = new NodeFixture()) {
            // Callers may have ten of them; this one and that which settles the stage are the first two.
            fixture.sockets = 64 + 15;
            fixture.start();
            try (HttpPeer caller = slowCaller(fixture)) {
                caller.write(NodeFixture.get("1", "10"));
                served(fixture, BODY);
                fixture.balancer.nextResult();
                fixture.awaitReads();
                if (evicted) {
                    takeItsPlace(fixture);
                } else {
                    fixture.node.closeIdleCallers();
                }
                // It is on its way while the answer still is: a close over it would be a reset.
                caller.write(NodeFixture.get("2", "10"));
                assertEquals(BODY, caller.read().body());
                assertNull(caller.read());
            }
        }
    }

    /** Callers with requests come until there is a place for the ninth: the longest resting has gone. */
    private static void takeItsPlace(NodeFixture fixture) throws Exception {
        CountDownLatch taken = new CountDownLatch(9);
        fixture.balancer.onRequest = request -> taken.countDown();
        for (int i = 0; taken.getCount() > 0; i++) {
            try {
                fixture.caller().write(NodeFixture.get("more" + i, "10"));
            } catch (IOException e) {
                // There was no place for it yet.
            }
            taken.await(RETRY_MS, TimeUnit.MILLISECONDS);
        }
    }

    @Test
    void aBrokenAnswerThatSaysItsLengthEndsWithoutAReset() throws Exception {
        try (NodeFixture fixture = new NodeFixture().start(); HttpPeer caller = slowCaller(fixture)) {
            caller.write(NodeFixture.get("1", "10"));
            HttpPeer upstream = fixture.upstreams.get(0).accept();
            upstream.read();
            upstream.write("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + BODY);
            ScriptedBalancer.next(fixture.balancer.streams);
            upstream.reset();
            fixture.balancer.nextResult();
            InputStream in = caller.socket.getInputStream();
            String came = new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
            assertTrue(came.endsWith(BODY), "came " + came.length());
        }
    }

    @Test
    void whoComesAfterADrainIsRefusedAndNotLeftInTheQueue() throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            fixture.node.drain();
            assertThrows(ConnectException.class, fixture::caller);
        }
    }
}
