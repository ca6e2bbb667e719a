package cranedeal.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cranedeal.LoadBalancer.Change;
import cranedeal.node.memory.BufferMemory;
import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What a node holds in memory is bounded by what its peers have sent, however they cut it. */
@Timeout(60)
class PeerMemoryTest {

    private static final int BODY_BYTES = 64_000;
    private static final int PIECE_BYTES = 1_000;
    /** Buffers that a node holds beside bodies, such as those of the connections that the test opens. */
    private static final int OTHER_BYTES = 32 << 10;
    /** More than the kernel's socket buffers hold. */
    private static final int LARGE_BYTES = 32_000_000;
    private static final int SMALL_BUFFER_BYTES = 1_024;
    /** More than is buffered as a whole, in chunks of a byte. */
    private static final int CHUNKS = 100_000;
    private static final int MIN_BYTES_A_CHUNK = 100;
    private static final long BLOCKED_AFTER_MS = 300;
    private static final String BODY = "x".repeat(BODY_BYTES);
    private static final String PIECE = "x".repeat(PIECE_BYTES);

    private static void assertHeldAtMost(NodeFixture fixture, long limit) throws Exception {
        long held = fixture.node.heldBufferBytes();
        assertTrue(held <= limit, held + " bytes are held, " + limit + " allowed");
    }

    private static String spendHead(String id, int length) {
        String request = NodeFixture.spend(id, "x".repeat(length));
        return request.substring(0, request.length() - length);
    }

    /** A caller, and the upstream's connection on which its request was served. */
    private record Served(HttpPeer caller, HttpPeer upstream) {

        /** Expects the upstream to receive a body, answers it, and expects the caller to get the answer. */
        void exchange(String body, String answer) throws IOException {
            assertEquals(body, upstream.read().body());
            upstream.write(NodeFixture.ok(answer));
            assertEquals(answer, caller.read().body());
        }
    }

    /** Lets a caller and an upstream exchange large bodies at once, so that the node expects large reads. */
    private static Served exchangeLargeBodies(NodeFixture fixture) throws Exception {
        HttpPeer caller = fixture.caller();
        caller.write(NodeFixture.spend("f1", BODY));
        Served served = new Served(caller, fixture.upstreams.get(0).accept());
        served.exchange(BODY, BODY);
        return served;
    }

    /** Guards against a body of known length that holds a whole read buffer for each of its pieces. */
    @Test
    void aBodyWrittenInPiecesHoldsNoMoreThanTwiceItsBytes() throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            Served served = exchangeLargeBodies(fixture);
            served.caller.write(spendHead("f2", BODY_BYTES));
            for (int sent = 0; sent < BODY_BYTES - PIECE_BYTES; sent += PIECE_BYTES) {
                served.caller.write(PIECE);
                fixture.awaitReads();
            }
            assertHeldAtMost(fixture, 2 * BODY_BYTES + OTHER_BYTES);
            served.caller.write(PIECE);
            served.exchange(BODY, "served");
        }
    }

    /** Guards against an answer of known length that holds a whole read buffer for each of its pieces. */
    @Test
    void anAnswerWrittenInPiecesHoldsNoMoreThanTwiceItsBytes() throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            Served served = exchangeLargeBodies(fixture);
            served.caller.write(NodeFixture.spend("f2", ""));
            served.upstream.read();
            String answer = NodeFixture.ok(BODY);
            served.upstream.write(answer.substring(0, answer.length() - BODY_BYTES));
            for (int sent = 0; sent < BODY_BYTES - PIECE_BYTES; sent += PIECE_BYTES) {
                served.upstream.write(PIECE);
                fixture.awaitReads();
            }
            assertHeldAtMost(fixture, 2 * BODY_BYTES + OTHER_BYTES);
            served.upstream.write(PIECE);
            assertEquals(BODY, served.caller.read().body());
        }
    }

    /** Guards against reading on while no attempt takes a body, which held all that callers sent. */
    @Test
    void aBodyThatNoAttemptTakesIsReadNoFurtherThanItsBufferedStartIfMemoryIsShort() throws Exception {
        try (NodeFixture fixture = new NodeFixture()) {
            fixture.memory = new BufferMemory(4 * UpstreamClient.MAX_BUFFERED_BODY);
            assertHoldsOfAnUntakenBody(fixture, 2 * UpstreamClient.MAX_BUFFERED_BODY + OTHER_BYTES);
        }
    }

    /** The same, for how much is read to see the end of a caller's connection. */
    @Test
    void aBodyThatNoAttemptTakesIsReadAheadNoFurtherThanItMay() throws Exception {
        try (NodeFixture fixture = new NodeFixture()) {
            assertHoldsOfAnUntakenBody(fixture, BufferMemory.MAX_READ_AHEAD_BYTES + OTHER_BYTES);
        }
    }

    private static void assertHoldsOfAnUntakenBody(NodeFixture fixture, long limit) throws Exception {
        fixture.start();
        fixture.balancer.onRequest = request -> { };
        HttpPeer caller = fixture.caller();
        caller.write(spendHead("f1", LARGE_BYTES));
        writeUntilBlocked(caller, LARGE_BYTES);
        fixture.awaitReads();
        assertHeldAtMost(fixture, limit);
    }

    /** Guards against reading on while the caller reads nothing, which held all that upstreams sent. */
    @Test
    void anAnswerThatItsCallerLeavesUnreadIsReadNoFurther() throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            HttpPeer caller = fixture.caller();
            caller.write(NodeFixture.get("1", "10"));
            HttpPeer upstream = fixture.upstreams.get(0).accept();
            upstream.read();
            upstream.write("HTTP/1.1 200 OK\r\nContent-Length: " + LARGE_BYTES + "\r\n\r\n");
            writeUntilBlocked(upstream, LARGE_BYTES);
            fixture.awaitReads();
            assertHeldAtMost(fixture, 2 * UpstreamClient.MAX_BUFFERED_BODY + OTHER_BYTES);
        }
    }

    /** Writes from another thread, and returns once nothing more has been taken for a while. */
    private static void writeUntilBlocked(HttpPeer peer, int length) throws Exception {
        AtomicInteger taken = new AtomicInteger();
        Thread writer = new Thread(() -> {
            try {
                while (taken.get() < length) {
                    peer.write(PIECE);
                    taken.addAndGet(PIECE_BYTES);
                }
            } catch (IOException e) {
                // The test is over.
            }
        });
        writer.setDaemon(true);
        writer.start();
        for (int before = -1; before < taken.get();) {
            before = taken.get();
            writer.join(BLOCKED_AFTER_MS);
        }
        assertTrue(taken.get() < length, "all was read");
    }

    /** Guards against heads in progress that keep the large buffer into which their first bytes were read. */
    @Test
    void theStartOfAHeadHoldsNoMoreThanItsBytesAfterALargeBody() throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            Served served = exchangeLargeBodies(fixture);
            served.caller.write(NodeFixture.spend("f2", BODY));
            served.exchange(BODY, BODY);
            fixture.awaitReads();
            long before = fixture.node.heldBufferBytes();
            served.caller.write("POST /cre");
            fixture.awaitReads();
            assertHeldAtMost(fixture, before + SMALL_BUFFER_BYTES);
        }
    }

    /** Guards against parts of a few bytes that cost a queue entry each, thousands for one read. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void chunksOfOneByteArePassedOnTogether(boolean answer) throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            HttpPeer caller = fixture.caller();
            String chunks = "1\r\nx\r\n".repeat(CHUNKS);
            String head = "Transfer-Encoding: chunked\r\n\r\n";
            if (answer) {
                caller.write(NodeFixture.get("1", "10"));
                HttpPeer upstream = fixture.upstreams.get(0).accept();
                upstream.read();
                upstream.write("HTTP/1.1 200 OK\r\n" + head + chunks);
                assertPassedOnTogether(caller);
            } else {
                String request = spendHead("f1", 0);
                caller.write(request.replace("Content-Length: 0\r\n\r\n", head) + chunks);
                assertPassedOnTogether(fixture.upstreams.get(0).accept());
            }
        }
    }

    /** Expects {@link #CHUNKS} bytes in far fewer chunks. */
    private static void assertPassedOnTogether(HttpPeer receiver) throws IOException {
        int chunks = 0;
        receiver.readHead();
        for (int bytes = 0; bytes < CHUNKS; chunks++) {
            int length = Integer.parseInt(receiver.readLine(), 16);
            assertEquals("x".repeat(length), receiver.readLine());
            bytes += length;
        }
        assertTrue(chunks <= CHUNKS / MIN_BYTES_A_CHUNK, chunks + " chunks");
    }

    /** Guards against lists that take the direct memory from callers' requests. */
    @Test
    void aListThatArrivesInPiecesTakesNoDirectMemory() throws Exception {
        try (NodeFixture fixture = new NodeFixture()) {
            fixture.balancer.onStart = () -> fixture.balancer.actions.watch(true);
            fixture.start();
            HttpPeer discovery = fixture.discovery.accept();
            discovery.read();
            String entry = NodeFixture.listEntry(0, fixture.upstreams.get(0).address(), "up");
            String list = NodeFixture.listJson(42, true, entry) + " ".repeat(BODY_BYTES);
            String answer = NodeFixture.ok(list);
            int last = answer.length() - 1;
            for (int sent = 0; sent < last; sent += PIECE_BYTES) {
                discovery.write(answer.substring(sent, Math.min(last, sent + PIECE_BYTES)));
                fixture.awaitReads();
            }
            assertHeldAtMost(fixture, OTHER_BYTES);
            assertEquals(Change.CACHED, ScriptedBalancer.next(fixture.balancer.changes));
            discovery.write(answer.substring(last));
            assertEquals(Change.FULL, ScriptedBalancer.next(fixture.balancer.changes));
        }
    }
}
