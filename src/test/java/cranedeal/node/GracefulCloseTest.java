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
    private static Peer slowCaller(Stage stage) throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(1_024);
        socket.connect(stage.node.address());
        return new Peer(socket);
    }

    private static Peer served(Stage stage, String body) throws Exception {
        Peer upstream = stage.upstreams.get(0).accept();
        upstream.read();
        upstream.write(Stage.ok(body));
        return upstream;
    }

    @Test
    void nothingIsSentOnThatComesBehindTheLastAnswer() throws Exception {
        try (Stage stage = new Stage()) {
            stage.door = true;
            stage.start();
            AtomicInteger taken = new AtomicInteger();
            stage.script.onRequest = request -> {
                taken.incrementAndGet();
                stage.script.sendTo(0, request, 0);
            };
            Peer caller = stage.caller();
            caller.write(Stage.get("1", "10"));
            Peer upstream = stage.upstreams.get(0).accept();
            upstream.read();
            assertEquals(200, stage.order("PUT", "/ops/drain/start"));
            upstream.write(Stage.ok("last"));
            Peer.Message answer = caller.read();
            assertEquals("last", answer.body());
            assertEquals("close", answer.header("Connection"));
            caller.write(Stage.get("2", "10"));
            stage.settle();
            assertNull(caller.read());
            assertEquals(1, taken.get());
        }
    }

    @Test
    void whatIsSentAheadIsAnsweredBeforeADrainEndsItsConnection() throws Exception {
        try (Stage stage = new Stage()) {
            stage.door = true;
            stage.start();
            Peer caller = stage.caller();
            caller.write(Stage.get("1", "10") + Stage.get("2", "10"));
            Peer upstream = stage.upstreams.get(0).accept();
            upstream.read();
            assertEquals(200, stage.order("PUT", "/ops/drain/start"));
            upstream.write(Stage.ok("first"));
            Peer.Message first = caller.read();
            assertEquals("first", first.body());
            assertNull(first.header("Connection"), "the answer to the second one is still to come");
            // The first answer has freed its connection before the next request looks for one.
            assertEquals("2", upstream.read().header("X-Txn"));
            upstream.write(Stage.ok("second"));
            Peer.Message second = caller.read();
            assertEquals("second", second.body());
            assertEquals("close", second.header("Connection"));
            assertNull(caller.read());
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aRequestThatCrossesTheEndDoesNotTakeTheLastAnswerAway(boolean evicted) throws Exception {
        try (Stage stage = new Stage()) {
            // Callers may have ten of them; this one and that which settles the stage are the first two.
            stage.sockets = 64 + 15;
            stage.start();
            try (Peer caller = slowCaller(stage)) {
                caller.write(Stage.get("1", "10"));
                served(stage, BODY);
                stage.script.result();
                stage.settle();
                if (evicted) {
                    takeItsPlace(stage);
                } else {
                    stage.node.closeIdleCallers();
                }
                // It is on its way while the answer still is: a close over it would be a reset.
                caller.write(Stage.get("2", "10"));
                assertEquals(BODY, caller.read().body());
                assertNull(caller.read());
            }
        }
    }

    /** Callers with requests come until there is a place for the ninth: the longest resting has gone. */
    private static void takeItsPlace(Stage stage) throws Exception {
        CountDownLatch taken = new CountDownLatch(9);
        stage.script.onRequest = request -> taken.countDown();
        for (int i = 0; taken.getCount() > 0; i++) {
            try {
                stage.caller().write(Stage.get("more" + i, "10"));
            } catch (IOException e) {
                // There was no place for it yet.
            }
            taken.await(RETRY_MS, TimeUnit.MILLISECONDS);
        }
    }

    @Test
    void aBrokenAnswerThatSaysItsLengthEndsWithoutAReset() throws Exception {
        try (Stage stage = new Stage().start(); Peer caller = slowCaller(stage)) {
            caller.write(Stage.get("1", "10"));
            Peer upstream = stage.upstreams.get(0).accept();
            upstream.read();
            upstream.write("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + BODY);
            Script.next(stage.script.streams);
            upstream.reset();
            stage.script.result();
            InputStream in = caller.socket.getInputStream();
            String came = new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
            assertTrue(came.endsWith(BODY), "came " + came.length());
        }
    }

    @Test
    void whoComesAfterADrainIsRefusedAndNotLeftInTheQueue() throws Exception {
        try (Stage stage = new Stage().start()) {
            stage.node.drain();
            assertThrows(ConnectException.class, stage::caller);
        }
    }
}
