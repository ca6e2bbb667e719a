package cranedeal.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cranedeal.LoadBalancer.Result;
import cranedeal.node.memory.BufferMemory;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Request bodies and answers that are too large to be buffered are streamed. */
@Timeout(60)
class StreamedBodyTest {

    private static final String BODY = "0123456789abcdef".repeat(20_000);
    private static final int HALF = BODY.length() / 2;
    /** The start of a large answer, which a socket takes in one write. */
    private static final int LARGE_START_BYTES = 1_000;
    /** An answer half a second after its time only earns nothing, and sockets add 50 ms. */
    private static final int GRACE_MS = 550;
    /** So little that an answer of 60 kB is not held. */
    private static final int LITTLE_MEMORY_BYTES = 64 << 10;

    private static String post(String framing) {
        return "POST /credit-spend HTTP/1.1\r\nHost: app.svc\r\nX-Txn: 1\r\nX-Lane: credit-spend\r\n"
                + "X-Remaining: 10\r\n" + framing + "\r\n\r\n";
    }

    private static String readBytes(HttpPeer peer, int count) throws IOException {
        return new String(peer.socket.getInputStream().readNBytes(count), StandardCharsets.ISO_8859_1);
    }

    /** Reads up to and including the empty line that ends a head. */
    private static String readHead(HttpPeer peer) throws IOException {
        InputStream in = peer.socket.getInputStream();
        StringBuilder head = new StringBuilder();
        while (!head.toString().endsWith("\r\n\r\n")) {
            int c = in.read();
            if (c < 0) {
                throw new IOException("the stream ended within a head");
            }
            head.append((char) c);
        }
        return head.toString();
    }

    private static long msSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }

    private static String chunked(String body) {
        StringBuilder text = new StringBuilder();
        for (int offset = 0; offset < body.length(); offset += 10_000) {
            String chunk = body.substring(offset, Math.min(body.length(), offset + 10_000));
            text.append(Integer.toHexString(chunk.length())).append(";part=1\r\n");
            text.append(chunk).append("\r\n");
        }
        return text + "0\r\nX-Sum: 7\r\n\r\n";
    }

    private static String okHead(boolean chunked) {
        return "HTTP/1.1 200 OK\r\n" + (chunked ? "Transfer-Encoding: chunked"
                : "Content-Length: " + BODY.length()) + "\r\n\r\n";
    }

    /** Reads the body of a chunked message. */
    private static String readChunkedBody(HttpPeer peer) throws IOException {
        StringBuilder body = new StringBuilder();
        InputStream in = peer.socket.getInputStream();
        while (true) {
            StringBuilder size = new StringBuilder();
            for (int c = in.read(); c != '\n'; c = in.read()) {
                if (c < 0) {
                    throw new IOException("the stream ended within a body");
                }
                size.append((char) c);
            }
            int length = Integer.parseInt(size.toString().strip(), 16);
            body.append(readBytes(peer, length));
            in.readNBytes(2);
            if (length == 0) {
                return body.toString();
            }
        }
    }

    @Test
    void aBodyReachesTheUpstreamWhileItIsStillArriving() throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            HttpPeer caller = fixture.caller();
            caller.write(post("Content-Length: " + BODY.length()));
            caller.write(BODY.substring(0, HALF));
            HttpPeer upstream = fixture.upstreams.get(0).accept();
            assertTrue(readHead(upstream).contains("\r\nContent-Length: " + BODY.length() + "\r\n"));
            assertEquals(BODY.substring(0, HALF), readBytes(upstream, HALF));
            caller.write(BODY.substring(HALF));
            assertEquals(BODY.substring(HALF), readBytes(upstream, BODY.length() - HALF));
            upstream.write(NodeFixture.ok("served"));
            assertEquals("served", caller.read().body());
            assertEquals(Result.OK, fixture.balancer.nextResult());
            // The connection is reused as usual.
            caller.write(NodeFixture.get("2", "10"));
            assertTrue(readHead(upstream).contains("X-Txn: 2"));
            upstream.write(NodeFixture.ok("again"));
            assertEquals("again", caller.read().body());
        }
    }

    @Test
    void aChunkedBodyIsPassedOnUnchanged() throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            HttpPeer caller = fixture.caller();
            caller.write(post("Expect: 100-continue\r\nTransfer-Encoding: chunked"));
            assertEquals(100, caller.read().status());
            caller.write(chunked(BODY));
            HttpPeer upstream = fixture.upstreams.get(0).accept();
            readHead(upstream);
            assertEquals(BODY, readChunkedBody(upstream));
            upstream.write(NodeFixture.ok("served"));
            assertEquals("served", caller.read().body());
        }
    }

    @Test
    void aSmallChunkedBodyIsSentWithItsLength() throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            HttpPeer caller = fixture.caller();
            caller.write(post("Transfer-Encoding: chunked"));
            caller.write("4\r\nbody\r\n0\r\nX-Sum: 7\r\n\r\n");
            assertEquals("body", fixture.upstreams.get(0).accept().read().body());
        }
    }

    @Test
    void aBodyThatNoUpstreamHasReceivedGoesToAnotherUpstream() throws Exception {
        try (NodeFixture fixture = new NodeFixture(2).start()) {
            fixture.upstreams.get(0).refuseConnections();
            fixture.balancer.onOpenOutcome = (actions, outcome) ->
                    actions.send(outcome.requestId(), fixture.balancer.upstreams.get(1).id(), 0);
            HttpPeer caller = fixture.caller();
            caller.write(post("Content-Length: " + BODY.length()));
            caller.write(BODY);
            HttpPeer upstream = fixture.upstreams.get(1).accept();
            readHead(upstream);
            assertEquals(BODY, readBytes(upstream, BODY.length()));
            upstream.write(NodeFixture.ok("served"));
            assertEquals("served", caller.read().body());
        }
    }

    @Test
    void aBodyThatWasPassedOnCannotBeSentAgain() throws Exception {
        try (NodeFixture fixture = new NodeFixture(2).start()) {
            fixture.balancer.sendUntilNotSent(1);
            HttpPeer caller = fixture.caller();
            caller.write(post("Content-Length: " + BODY.length()));
            caller.write(BODY);
            HttpPeer upstream = fixture.upstreams.get(0).accept();
            readHead(upstream);
            readBytes(upstream, BODY.length());
            upstream.write("HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n");
            assertEquals(Result.FULL, fixture.balancer.nextResult());
            assertEquals(Result.NOT_SENT, fixture.balancer.nextResult());
            assertEquals(503, caller.read().status());
            assertEquals(0, fixture.upstreams.get(1).pendingConnections());
        }
    }

    @Test
    void aRefusalWithinABodyIsWrittenAtOnce() throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            fixture.balancer.onRequest = request -> fixture.balancer.actions.refuse(request.id(), 0);
            HttpPeer caller = fixture.caller();
            caller.write(post("Content-Length: " + BODY.length()));
            caller.write(BODY.substring(0, HALF));
            HttpPeer.Message refused = caller.read();
            assertEquals(503, refused.status());
            assertEquals("close", refused.header("Connection"));
            caller.write(BODY.substring(HALF));
            assertTrue(caller.awaitClose());
        }
    }

    @Test
    void aCallerThatLeavesWithinABodyFreesTheUpstream() throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            HttpPeer caller = fixture.caller();
            caller.write(post("Content-Length: " + BODY.length()));
            caller.write(BODY.substring(0, HALF));
            HttpPeer upstream = fixture.upstreams.get(0).accept();
            readHead(upstream);
            readBytes(upstream, HALF);
            caller.close();
            assertTrue(upstream.awaitClose());
            assertEquals(1, ScriptedBalancer.next(fixture.balancer.goneClients));
        }
    }

    @Test
    void aStalledBodyTimesOut() throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            HttpPeer caller = fixture.caller();
            caller.write(post("Content-Length: " + BODY.length()));
            caller.write(BODY.substring(0, HALF));
            assertEquals(408, caller.read().status());
            assertTrue(fixture.node.stats().contains("edge_proxy.concurrent=0\n"));
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"zz\r\n", "5;x\r\nfive!xx\r\n"})
    void aMalformedBodyIsAnsweredWith400(String rest) throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            HttpPeer caller = fixture.caller();
            caller.write(post("Transfer-Encoding: chunked"));
            caller.write(Integer.toHexString(HALF) + "\r\n" + BODY.substring(0, HALF) + "\r\n");
            HttpPeer upstream = fixture.upstreams.get(0).accept();
            upstream.readHead();
            caller.write(rest);
            assertEquals(400, caller.read().status());
            // The attempt that got the start of the body is broken off.
            assertTrue(readBytes(upstream, 2 * BODY.length()).length() < BODY.length());
            fixture.assertServes();
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void anAnswerReachesTheCallerWhileItIsStillArriving(boolean chunked) throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            HttpPeer caller = fixture.caller();
            caller.write(NodeFixture.get("1", "10"));
            HttpPeer upstream = fixture.upstreams.get(0).accept();
            upstream.read();
            String whole = chunked ? chunked(BODY) : BODY;
            upstream.write(okHead(chunked) + whole.substring(0, HALF));
            String head = readHead(caller);
            assertTrue(head.startsWith("HTTP/1.1 200"), head);
            assertEquals(1, ScriptedBalancer.next(fixture.balancer.streams));
            upstream.write(whole.substring(HALF));
            assertEquals(BODY, chunked ? readChunkedBody(caller) : readBytes(caller, BODY.length()));
            assertEquals(Result.OK, fixture.balancer.nextResult());
            assertTrue(fixture.node.stats().contains("edge_proxy.success.look-up=1\n"));
            fixture.balancer.onRequest = request -> fixture.balancer.sendTo(0, request, 0);
            caller.write(NodeFixture.get("2", "10"));
            upstream.read();
            upstream.write(NodeFixture.ok("again"));
            assertEquals("again", caller.read().body());
        }
    }

    @Test
    void theStartOfASlowAnswerIsPassedOnAtOnce() throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            HttpPeer caller = fixture.caller();
            caller.write(NodeFixture.get("1", "10"));
            HttpPeer upstream = fixture.upstreams.get(0).accept();
            upstream.read();
            upstream.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nstart\r\n");
            readHead(caller);
            assertEquals("5\r\nstart\r\n", readBytes(caller, 10));
            upstream.write("3\r\nend\r\n0\r\n\r\n");
            assertEquals("end", readChunkedBody(caller));
        }
    }

    @Test
    void anAnswerDelimitedByTheCloseIsCompleteIfItSaysSoAndWasNotReset() throws Exception {
        for (boolean abruptly : new boolean[] {false, true}) {
            try (NodeFixture fixture = new NodeFixture().start()) {
                HttpPeer caller = fixture.caller();
                caller.write(NodeFixture.get("1", "10"));
                HttpPeer upstream = fixture.upstreams.get(0).accept();
                upstream.read();
                upstream.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nall");
                if (abruptly) {
                    upstream.reset();
                } else {
                    upstream.close();
                }
                assertEquals(abruptly ? Result.RESET : Result.OK, fixture.balancer.nextResult());
                assertEquals(abruptly ? 502 : 200, caller.read().status());
            }
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aCallerCanTellThatAnAnswerIsIncomplete(boolean chunked) throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            HttpPeer caller = fixture.caller();
            caller.write(NodeFixture.get("1", "10"));
            HttpPeer upstream = fixture.upstreams.get(0).accept();
            upstream.read();
            String whole = chunked ? chunked(BODY) : BODY;
            upstream.write(okHead(chunked) + whole.substring(0, HALF));
            readHead(caller);
            upstream.close();
            assertEquals(Result.RESET, fixture.balancer.nextResult());
            assertThrows(IOException.class, () -> {
                if (chunked) {
                    readChunkedBody(caller);
                } else if (readBytes(caller, BODY.length()).length() < BODY.length()) {
                    throw new IOException("the answer ended early");
                }
            });
            assertTrue(fixture.node.stats().contains("edge_proxy.error.look-up=1\n"), fixture.node.stats());
        }
    }

    @Test
    void anUpstreamIsReadNoFasterThanTheCallerReads() throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            HttpPeer caller = fixture.caller();
            caller.write(NodeFixture.get("1", "10"));
            HttpPeer upstream = fixture.upstreams.get(0).accept();
            upstream.read();
            String chunk = "x".repeat(1 << 20);
            CompletableFuture<Void> written = CompletableFuture.runAsync(() -> {
                try {
                    upstream.write("HTTP/1.1 200 OK\r\nContent-Length: " + (32 << 20) + "\r\n\r\n");
                    for (int i = 0; i < 32; i++) {
                        upstream.write(chunk);
                    }
                } catch (IOException e) {
                    throw new IllegalStateException(e);
                }
            });
            // If the node buffered the answer in memory, the upstream would have written it at once.
            assertThrows(TimeoutException.class, () -> written.get(1, TimeUnit.SECONDS));
            caller.close();
            assertTrue(upstream.awaitClose());
        }
    }

    /** Guards against a second attempt whose end ends, or breaks off, the answer of the first. */
    @ParameterizedTest
    @ValueSource(strings = {"small", "large", "500", "reset"})
    void theEndOfAnotherAttemptLeavesAStreamedAnswerAlone(String other) throws Exception {
        try (NodeFixture fixture = new NodeFixture(2).start()) {
            fixture.balancer.onRequest = request -> {
                fixture.balancer.sendTo(0, request, 0);
                fixture.balancer.sendTo(1, request, 0);
            };
            fixture.balancer.onOpenOutcome = (to, outcome) -> { };
            HttpPeer caller = fixture.caller();
            caller.write(NodeFixture.get("1", "10"));
            HttpPeer upstream = fixture.upstreams.get(0).accept();
            upstream.read();
            HttpPeer second = fixture.upstreams.get(1).accept();
            second.read();
            upstream.write(okHead(false) + BODY.substring(0, HALF));
            readHead(caller);
            switch (other) {
                case "small" -> second.write(NodeFixture.ok("other"));
                // Not all of it: the node may close the connection while the rest is being written.
                case "large" -> second.write(okHead(false) + "x".repeat(LARGE_START_BYTES));
                case "500" -> second.write("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
                default -> second.reset();
            }
            fixture.balancer.nextResult();
            upstream.write(BODY.substring(HALF));
            assertEquals(BODY, readBytes(caller, BODY.length()));
            assertEquals(Result.OK, fixture.balancer.nextResult());
            fixture.balancer.onRequest = request -> fixture.balancer.sendTo(0, request, 0);
            caller.write(NodeFixture.get("2", "10"));
            upstream.read();
            upstream.write(NodeFixture.ok("again"));
            assertEquals("again", caller.read().body());
        }
    }

    /** Guards against a head that stops the clock although its body never comes. */
    @ParameterizedTest
    @ValueSource(strings = {"Transfer-Encoding: chunked", "Connection: close", "Content-Length: 65536"})
    void anAnswerThatIsAHeadAndThenNothingTimesOut(String framing) throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            HttpPeer caller = fixture.caller();
            caller.write(NodeFixture.get("1", "1"));
            HttpPeer upstream = fixture.upstreams.get(0).accept();
            upstream.read();
            upstream.write("HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n");
            assertEquals(502, caller.read().status());
            assertEquals(Result.TIMEOUT, fixture.balancer.nextResult());
        }
    }

    /** Guards against holding back, or cutting off, a long answer of which only the head has come. */
    @Test
    void theHeadOfALongAnswerReachesItsCallerInItsTimeAndEndsIfNothingFollows() throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            HttpPeer caller = fixture.caller();
            caller.write(NodeFixture.get("1", "0.5"));
            long writtenAt = System.nanoTime();
            HttpPeer upstream = fixture.upstreams.get(0).accept();
            upstream.read();
            upstream.write(okHead(false));
            assertTrue(readHead(caller).contains("\r\nContent-Length: " + BODY.length() + "\r\n"));
            assertTrue(msSince(writtenAt) <= 500 + GRACE_MS, "its head came after its time");
            assertTrue(caller.awaitClose());
            assertTrue(msSince(writtenAt) >= UpstreamClient.STALL_TIMEOUT_MS, "it had no time to go on");
            assertEquals(Result.TIMEOUT, fixture.balancer.nextResult());
            String stats = fixture.node.stats();
            assertTrue(stats.contains("edge_proxy.failed_for_unended_answer=1\n"), stats);
            assertTrue(stats.contains("edge_proxy.timed_out_long=1\n"), stats);
        }
    }

    /** Guards against an answer that a second attempt keeps from its end, and one that nothing names. */
    @Test
    void anUnendedAnswerEndsWithASecondAttemptOutAndIsNamed() throws Exception {
        try (NodeFixture fixture = new NodeFixture(2).start()) {
            fixture.balancer.onRequest = request -> {
                fixture.balancer.sendTo(0, request, 0);
                fixture.balancer.sendTo(1, request, 0);
            };
            fixture.balancer.onOpenOutcome = (to, outcome) -> { };
            HttpPeer caller = fixture.caller();
            caller.write(NodeFixture.get("1", "1"));
            HttpPeer upstream = fixture.upstreams.get(0).accept();
            upstream.read();
            HttpPeer second = fixture.upstreams.get(1).accept();
            second.read();
            long writtenAt = System.nanoTime();
            upstream.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nbegun\r\n");
            readHead(caller);
            assertEquals("5\r\nbegun\r\n", readBytes(caller, 10));
            assertTrue(caller.awaitClose());
            assertTrue(upstream.awaitClose());
            assertTrue(second.awaitClose());
            assertTrue(msSince(writtenAt) < UpstreamClient.STALL_TIMEOUT_MS, "only its stall ended it");
            assertEquals(Result.TIMEOUT, fixture.balancer.nextResult());
            assertEquals(Result.TIMEOUT, fixture.balancer.nextResult());
            String stats = fixture.node.stats();
            assertTrue(stats.contains("edge_proxy.failed_for_unended_answer=1\n"), stats);
            assertTrue(stats.contains("edge_proxy.error.look-up=1\n"), stats);
            assertTrue(stats.contains("edge_proxy.concurrent=0\n"), stats);
        }
    }

    /** Guards against passing on a held answer, which could still be repeated, as its attempt's time ends. */
    @Test
    void anAnswerIsHeldBeyondItsAttemptsTimeWhileItsRequestHasTime() throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            fixture.balancer.onRequest = request -> fixture.balancer.sendTo(0, request, 20);
            HttpPeer caller = fixture.caller();
            caller.write(NodeFixture.get("1", "10"));
            HttpPeer upstream = fixture.upstreams.get(0).accept();
            upstream.read();
            long writtenAt = System.nanoTime();
            upstream.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nbegun\r\n");
            readHead(caller);
            long heldMs = msSince(writtenAt);
            assertTrue(heldMs >= AnswerLifecycle.MAX_HOLD_MS, "it was held for " + heldMs + " ms");
            upstream.write("3\r\nend\r\n0\r\n\r\n");
            assertEquals("begunend", readChunkedBody(caller));
        }
    }

    /** Guards against an answer whose length is known, streamed for want of memory, that stops the clock. */
    @Test
    void aShortAnswerThatIsStreamedForWantOfMemoryEndsInItsTime() throws Exception {
        NodeFixture fixture = new NodeFixture();
        fixture.memory = new BufferMemory(LITTLE_MEMORY_BYTES);
        try (fixture) {
            fixture.start();
            HttpPeer caller = fixture.caller();
            caller.write(NodeFixture.get("1", "1"));
            HttpPeer upstream = fixture.upstreams.get(0).accept();
            upstream.read();
            long writtenAt = System.nanoTime();
            upstream.write("HTTP/1.1 200 OK\r\nContent-Length: 65000\r\n\r\n" + "x".repeat(60_000));
            readHead(caller);
            assertEquals(60_000, readBytes(caller, 65_000).length());
            assertTrue(msSince(writtenAt) < UpstreamClient.STALL_TIMEOUT_MS, "only its stall ended it");
            assertEquals(Result.TIMEOUT, fixture.balancer.nextResult());
        }
    }

    /** Guards against cutting off a long answer without a length between two of its pieces. */
    @Test
    void aLongAnswerWithoutALengthIsNotCutOffBetweenItsPieces() throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            HttpPeer caller = fixture.caller();
            caller.write(NodeFixture.get("1", "1"));
            HttpPeer upstream = fixture.upstreams.get(0).accept();
            upstream.read();
            AnswerPlan plan = AnswerPlan.steady(AnswerPlan.Framing.CHUNKED, 200_000, 0, 30_000, 700);
            CompletableFuture<Void> written = CompletableFuture.runAsync(() -> writePlan(plan, upstream));
            ReceivedAnswer answer = ReceivedAnswer.read(caller, System.nanoTime(), 0);
            assertEquals(plan.bytes(), answer.bytes());
            assertTrue(answer.whole());
            assertEquals(Result.OK, fixture.balancer.nextResult());
            written.get();
        }
    }

    private static void writePlan(AnswerPlan plan, HttpPeer upstream) {
        try {
            plan.write(upstream);
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Guards against an attempt without a time limit, as its request's body ended during its send. */
    @Test
    void anAttemptDuringWhoseSendTheBodyEndsHasItsRequestsTime() throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            HttpPeer caller = fixture.caller();
            caller.write(NodeFixture.get("0", "10"));
            HttpPeer upstream = fixture.upstreams.get(0).accept();
            upstream.read();
            upstream.write(NodeFixture.ok("served"));
            assertEquals("served", caller.read().body());
            assertEquals(Result.OK, fixture.balancer.nextResult());
            CompletableFuture<Void> decided = new CompletableFuture<>();
            CompletableFuture<Void> bodyWritten = new CompletableFuture<>();
            fixture.balancer.onRequest = request -> {
                decided.complete(null);
                bodyWritten.join();
                fixture.balancer.sendTo(0, request, 0);
            };
            caller.write(post("Content-Length: " + BODY.length())
                    .replace("X-Remaining: 10", "X-Remaining: 1"));
            caller.write(BODY.substring(0, HALF));
            decided.get();
            caller.write(BODY.substring(HALF));
            long writtenAt = System.nanoTime();
            bodyWritten.complete(null);
            readHead(upstream);
            assertEquals(BODY, readBytes(upstream, BODY.length()));
            upstream.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nbegun\r\n");
            readHead(caller);
            assertEquals("5\r\nbegun\r\n", readBytes(caller, 10));
            assertTrue(caller.awaitClose());
            assertTrue(msSince(writtenAt) < UpstreamClient.STALL_TIMEOUT_MS, "only its stall ended it");
            assertEquals(Result.TIMEOUT, fixture.balancer.nextResult());
        }
    }
}
