package cranedeal.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cranedeal.LoadBalancer.Result;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Equivalent forms of an HTTP/1.1 message are handled alike, however the message is split into pieces. */
@Timeout(120)
class MessageFormsTest {

    private static final String LOOK_UP = "\r\nX-Txn: 1\r\nX-Lane: look-up\r\nX-Remaining: 10\r\n";
    private static final String SPEND = "\r\nX-Txn: 1\r\nX-Lane: credit-spend\r\nX-Remaining: 10\r\n";

    /** Writes a message in one piece (seed 0), byte by byte (seed 1), or in random pieces. */
    private static void writeInPieces(HttpPeer peer, String text, long seed) throws IOException {
        Random random = new Random(seed);
        int longest = seed == 0 ? text.length() : seed == 1 ? 1 : 20;
        for (int from = 0; from < text.length();) {
            int to = Math.min(text.length(), from + (longest == text.length() ? longest
                    : 1 + random.nextInt(longest)));
            peer.write(text.substring(from, to));
            from = to;
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {
        "GET /look-up/7?z=3 HTTP/1.1\r\nHost: app.svc\r\nx-txn: 1\r\nx-lane: look-up\r\n"
                + "x-remaining: 10\r\n\r\n",
        "GET /look-up/7?z=3 HTTP/1.1\r\nX-REMAINING: 10\r\nX-LANE: look-up\r\nX-TXN: 1\r\n"
                + "HOST: app.svc\r\n\r\n",
        "GET /look-up/7?z=3 HTTP/1.1\r\nHost:app.svc\r\nX-Txn:1\r\nX-Lane:look-up\r\nX-Remaining:10\r\n\r\n",
        "GET /look-up/7?z=3 HTTP/1.1\r\nHost: \t app.svc \t\r\nX-Txn:\t1\t\r\nX-Lane:   look-up   \r\n"
                + "X-Remaining: 10.000  \r\n\r\n",
        "GET /look-up/7?z=3 HTTP/1.1\r\nHost: app.svc\r\nX-Labels: a=1,\r\n b=2,\r\n\tc=3" + LOOK_UP + "\r\n",
        "\r\n\r\nGET /look-up/7?z=3 HTTP/1.1\r\nHost: app.svc" + LOOK_UP + "\r\n",
        "GET /look-up/7?z=3 HTTP/1.1\r\nHost:\r\nX-Labels:" + LOOK_UP + "X-Labels: b=2\r\n\r\n",
        "GET /look-up/7?z=3 HTTP/1.1\r\nHost: app.svc\r\nConnection: X-Hop, Keep-Alive\r\nX-Hop: 1"
                + LOOK_UP + "\r\n",
        "GET /look-up/7?z=3 HTTP/1.1\r\nHost: app.svc\r\nContent-Length: 0" + LOOK_UP + "\r\n",
        "GET /look-up/7?z=3 HTTP/1.1\r\nHost: app.svc\r\nKeep-Alive: timeout=5" + LOOK_UP + "\r\n"})
    void aRequestMeansTheSameInEveryForm(String request) throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            HttpPeer caller = fixture.caller();
            HttpPeer upstream = null;
            for (long seed = 0; seed < 5; seed++) {
                writeInPieces(caller, request, seed);
                upstream = upstream == null ? fixture.upstreams.get(0).accept() : upstream;
                HttpPeer.Message received = upstream.read();
                assertEquals("GET /look-up/7?z=3 HTTP/1.1", received.firstLine());
                assertEquals("1", received.header("X-Txn"));
                upstream.write(NodeFixture.ok("served" + seed));
                assertEquals("served" + seed, caller.read().body());
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {
        "content-length: 11" + SPEND + "\r\nhello world",
        "CONTENT-LENGTH:   0011  " + SPEND + "\r\nhello world",
        "Transfer-Encoding: chunked" + SPEND + "\r\nb\r\nhello world\r\n0\r\n\r\n",
        "transfer-encoding:Chunked" + SPEND + "\r\nB\r\nhello world\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked" + SPEND + "\r\n0005\r\nhello\r\n6\r\n world\r\n000\r\n\r\n",
        "Transfer-Encoding: chunked" + SPEND + "\r\n5;a=b;c\r\nhello\r\n6;d=\"e;f\"\r\n world\r\n0;g\r\n\r\n",
        "Transfer-Encoding: chunked\r\nTrailer: X-After" + SPEND
                + "\r\nb\r\nhello world\r\n0\r\nX-After: 1\r\nX-More: 2\r\n\r\n",
        "Transfer-Encoding: chunked" + SPEND
                + "\r\n1\r\nh\r\n1\r\ne\r\n1\r\nl\r\n1\r\nl\r\n1\r\no\r\n6\r\n world\r\n0\r\n\r\n"})
    void aBodyMeansTheSameInEveryForm(String rest) throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            HttpPeer caller = fixture.caller();
            HttpPeer upstream = null;
            for (long seed = 0; seed < 5; seed++) {
                writeInPieces(caller, "POST /credit-spend HTTP/1.1\r\nHost: app.svc\r\n" + rest, seed);
                upstream = upstream == null ? fixture.upstreams.get(0).accept() : upstream;
                HttpPeer.Message received = upstream.read();
                assertEquals("11", received.header("Content-Length"));
                assertEquals("hello world", received.body());
                upstream.write(NodeFixture.ok("served" + seed));
                assertEquals("served" + seed, caller.read().body());
            }
        }
    }

    @Test
    void aCallerThatExpects100ContinueGetsIt() throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            for (String framing : new String[] {"Content-Length: 5", "Transfer-Encoding: chunked"}) {
                HttpPeer caller = fixture.caller();
                caller.write("POST /credit-spend HTTP/1.1\r\nHost: app.svc\r\nexpect: 100-Continue\r\n"
                        + framing + SPEND + "\r\n");
                assertEquals(100, caller.read().status());
                caller.write(framing.startsWith("C") ? "hello" : "5\r\nhello\r\n0\r\n\r\n");
                HttpPeer upstream = fixture.upstreams.get(0).accept();
                assertEquals("hello", upstream.read().body());
                upstream.write(NodeFixture.ok("served").replace("200 OK\r\n",
                        "200 OK\r\nConnection: close\r\n"));
                assertEquals("served", caller.read().body());
            }
        }
    }

    @Test
    void pipelinedRequestsCutAnywhereAreAnsweredInOrder() throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            fixture.upstreams.get(0).serveEach(peer -> {
                try {
                    for (HttpPeer.Message request = peer.read(); request != null; request = peer.read()) {
                        peer.write(NodeFixture.ok(request.header("X-Txn") + request.body()));
                    }
                } catch (IOException e) {
                    // The node has closed the connection.
                }
            });
            for (long seed = 0; seed < 12; seed++) {
                HttpPeer caller = fixture.caller();
                List<String> expected = new ArrayList<>();
                StringBuilder all = new StringBuilder();
                for (int i = 0; i < 8; i++) {
                    String id = "s" + seed + "r" + i;
                    all.append(switch (i % 4) {
                        case 0 -> NodeFixture.get(id, "10");
                        case 1 -> NodeFixture.spend(id, "body");
                        case 2 -> "POST /credit-spend HTTP/1.1\r\nhost: app.svc\r\ntransfer-encoding: chunked"
                                + SPEND.replace("X-Txn: 1", "x-txn: " + id) + "\r\n4\r\nbody\r\n0\r\n\r\n";
                        default -> NodeFixture.tileOrder(id);
                    });
                    expected.add(id + (i % 4 == 1 || i % 4 == 2 ? "body" : ""));
                }
                writeInPieces(caller, all.toString(), seed);
                for (String body : expected) {
                    assertEquals(body, caller.read().body());
                }
                caller.close();
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {
        "HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nserved",
        "HTTP/1.1 200 \r\nCONTENT-LENGTH:6\r\n\r\nserved",
        "HTTP/1.1 200 All is well, as it were\r\nX-Note:\r\nContent-Length: \t 6 \r\n\r\nserved",
        "HTTP/1.1 200 OK\r\nX-Note: a,\r\n b\r\nContent-Length: 6\r\n\r\nserved",
        "HTTP/1.1 200 OK\r\nContent-Length: 006\r\n\r\nserved",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nserved\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding:CHUNKED\r\n\r\n003;a=\"b;c\"\r\nser\r\n3\r\nved\r\n"
                + "00;d\r\nX-A: 1\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved",
        "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"
                + "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nserved\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nConnection: Keep-Alive\r\nContent-Length: 6\r\n\r\n"
                + "served"})
    void anAnswerMeansTheSameInEveryForm(String answer) throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            HttpPeer caller = fixture.caller();
            HttpPeer upstream = null;
            for (long seed = 0; seed < 5; seed++) {
                caller.write(NodeFixture.spend("r" + seed, "x"));
                upstream = upstream == null ? fixture.upstreams.get(0).accept() : upstream;
                assertEquals("r" + seed, upstream.read().header("X-Txn"));
                writeInPieces(upstream, answer, seed);
                HttpPeer.Message message = caller.read();
                assertEquals(200, message.status());
                assertEquals("served", message.body());
                assertEquals(Result.OK, fixture.balancer.nextResult());
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {
        "HTTP/1.1 503 Busy\r\nx-turned-away: 1\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 504 \r\nX-TURNED-AWAY:1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
        "HTTP/1.1 503 Busy\r\nX-Note: a,\r\n b\r\nX-Turned-Away: 1\r\nContent-Length: 2\r\n\r\nno",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Busy\r\nX-Turned-Away: \t1 \r\nContent-Length: 0\r\n\r\n"})
    void aRejectionIsRecognizedInEveryForm(String answer) throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            HttpPeer caller = fixture.caller();
            HttpPeer upstream = null;
            for (long seed = 0; seed < 3; seed++) {
                caller.write(NodeFixture.spend("r" + seed, "x"));
                upstream = upstream == null ? fixture.upstreams.get(0).accept() : upstream;
                assertEquals("r" + seed, upstream.read().header("X-Txn"));
                writeInPieces(upstream, answer, seed);
                assertEquals(Result.FULL, fixture.balancer.nextResult());
                assertTrue(caller.read().status() >= 500);
            }
        }
    }
}
