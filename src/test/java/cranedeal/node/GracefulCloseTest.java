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

/** Graceful closes of callers' connections, also while more bytes arrive on them. */
@Timeout(60)
class GracefulCloseTest {

    private static final long RETRY_INTERVAL_MS = 50;

    /** More bytes than the caller's receive buffer holds, and fewer than the node's send buffer does. */
    private static final String BODY = "0123456789abcdef".repeat(3_750);

    /** Connects a caller with a very small receive buffer. */
    private static HttpPeer slowCaller(NodeFixture fixture) throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(1_024);
        socket.connect(fixture.node.address());
        return new HttpPeer(socket);
    }

    private static HttpPeer serveOne(NodeFixture fixture, String body) throws Exception {
        HttpPeer upstream = fixture.upstreams.get(0).accept();
        upstream.read();
        upstream.write(NodeFixture.ok(body));
        return upstream;
    }

    @Test
    void requestsAfterTheLastAnswerAreNotSentOn() throws Exception {
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
            assertEquals(200, fixture.adminRequest("PUT", "/ops/drain/start"));
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
    void pipelinedRequestsAreAnsweredBeforeADrainClosesTheConnection() throws Exception {
        try (NodeFixture fixture = new NodeFixture()) {
            fixture.adminEnabled = true;
            fixture.start();
            HttpPeer caller = fixture.caller();
            caller.write(NodeFixture.get("1", "10") + NodeFixture.get("2", "10"));
            HttpPeer upstream = fixture.upstreams.get(0).accept();
            upstream.read();
            assertEquals(200, fixture.adminRequest("PUT", "/ops/drain/start"));
            upstream.write(NodeFixture.ok("first"));
            HttpPeer.Message first = caller.read();
            assertEquals("first", first.body());
            assertNull(first.header("Connection"), "the answer to the second request is still to come");
            // The first answer returns its connection to the pool before the next request needs one.
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
    void aRequestThatCrossesTheCloseDoesNotLoseTheLastAnswer(boolean evicted) throws Exception {
        try (NodeFixture fixture = new NodeFixture()) {
            // Callers may use ten descriptors; this one and that of awaitReads() are the first two.
            fixture.sockets = 64 + 15;
            fixture.start();
            try (HttpPeer caller = slowCaller(fixture)) {
                caller.write(NodeFixture.get("1", "10"));
                serveOne(fixture, BODY);
                fixture.balancer.nextResult();
                fixture.awaitReads();
                if (evicted) {
                    evictByNewCallers(fixture);
                } else {
                    fixture.node.closeIdleCallers();
                }
                // It arrives while the answer is still being read: closing now would reset the connection.
                caller.write(NodeFixture.get("2", "10"));
                assertEquals(BODY, caller.read().body());
                assertNull(caller.read());
            }
        }
    }

    /** Connects callers with requests until nine are accepted, which evicts the longest idle connection. */
    private static void evictByNewCallers(NodeFixture fixture) throws Exception {
        CountDownLatch taken = new CountDownLatch(9);
        fixture.balancer.onRequest = request -> taken.countDown();
        for (int i = 0; taken.getCount() > 0; i++) {
            try {
                fixture.caller().write(NodeFixture.get("more" + i, "10"));
            } catch (IOException e) {
                // No connection could be evicted for it yet.
            }
            taken.await(RETRY_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    @Test
    void aBrokenAnswerWithAContentLengthEndsWithoutAReset() throws Exception {
        try (NodeFixture fixture = new NodeFixture().start(); HttpPeer caller = slowCaller(fixture)) {
            caller.write(NodeFixture.get("1", "10"));
            HttpPeer upstream = fixture.upstreams.get(0).accept();
            upstream.read();
            upstream.write("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + BODY);
            ScriptedBalancer.next(fixture.balancer.streams);
            upstream.reset();
            fixture.balancer.nextResult();
            InputStream in = caller.socket.getInputStream();
            String received = new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
            assertTrue(received.endsWith(BODY), "received " + received.length());
        }
    }

    @Test
    void aCallerAfterADrainIsRefusedAndNotLeftInTheAcceptQueue() throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            fixture.node.drain();
            assertThrows(ConnectException.class, fixture::caller);
        }
    }
}
