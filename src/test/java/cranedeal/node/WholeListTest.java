package cranedeal.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cranedeal.LatencyWeightedBalancer;
import cranedeal.LoadBalancer.Change;
import cranedeal.LoadBalancer.Result;
import cranedeal.node.discovery.UpstreamList;
import java.io.IOException;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that an upstream missing from a whole list gets no more requests, even if it still answers. */
@Timeout(120)
class WholeListTest {

    private static NodeFixture watching(int upstreams) throws Exception {
        NodeFixture fixture = new NodeFixture(upstreams);
        fixture.connectTimeout = 15_000;
        fixture.balancer.onStart = () -> fixture.balancer.actions.watch(true);
        return fixture.start();
    }

    private static String entry(NodeFixture fixture, int place) {
        return NodeFixture.listEntry(place, fixture.upstreams.get(place).address(), "up");
    }

    @Test
    void aLaterConnectionToARemovedUpstreamCarriesNothing() throws Exception {
        try (NodeFixture fixture = watching(1); FullBacklog full = new FullBacklog()) {
            // The connect timeout is longer than the test, so that only the list can prevent the request.
            String kept = NodeFixture.listEntry(1, fixture.upstreams.get(0).address(), "up");
            HttpPeer watch = fixture.sendList(kept, NodeFixture.listEntry(9, full.address(), "up"));
            fixture.balancer.onRequest = request -> fixture.balancer.sendTo(1, request, 0);
            HttpPeer caller = fixture.caller();
            caller.write(NodeFixture.spend("1", "x"));
            fixture.awaitReads();
            watch.read();
            watch.write(NodeFixture.ok(NodeFixture.listJson(43, true, kept)));
            assertEquals(Change.FULL, ScriptedBalancer.next(fixture.balancer.changes));
            try (HttpPeer late = full.acceptNext()) {
                assertTrue(late.awaitClose(), "the request was written to a removed upstream");
            }
            assertEquals(Result.CONNECT_FAILED, fixture.balancer.nextResult());
            assertEquals(502, caller.read().status());
        }
    }

    @Test
    void aKeptConnectionToARemovedUpstreamIsClosed() throws Exception {
        try (NodeFixture fixture = watching(2)) {
            HttpPeer watch = fixture.sendList(entry(fixture, 0), entry(fixture, 1));
            fixture.balancer.onRequest = request -> fixture.balancer.sendTo(1, request, 0);
            HttpPeer caller = fixture.caller();
            caller.write(NodeFixture.get("1", "10"));
            HttpPeer gone = fixture.upstreams.get(1).accept();
            gone.read();
            gone.write(NodeFixture.ok("served"));
            assertEquals("served", caller.read().body());
            // A second request is in progress there, and may complete.
            caller.write(NodeFixture.get("2", "10"));
            gone.read();
            watch.read();
            watch.write(NodeFixture.ok(NodeFixture.listJson(43, true, entry(fixture, 0))));
            assertEquals(Change.FULL, ScriptedBalancer.next(fixture.balancer.changes));
            gone.write(NodeFixture.ok("its last"));
            assertEquals("its last", caller.read().body());
            assertTrue(gone.awaitClose(), "the connection to a removed upstream was kept");
            assertEquals(0, fixture.upstreams.get(1).pendingConnections());
        }
    }

    /** Uses the program's own module, and a whole list as the first answer to its first watch call. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void theFirstAnswerToAWatchMayBeTheWholeList(boolean pushed) throws Exception {
        try (NodeFixture fixture = new NodeFixture(3)) {
            fixture.pushLists = pushed;
            fixture.start(LatencyWeightedBalancer::new);
            HttpPeer watch = fixture.discovery.accept();
            watch.read();
            watch.write(NodeFixture.ok(NodeFixture.listJson(60, true, entry(fixture, 1))));
            // The next call continues from version 60, so the list was applied.
            assertEquals("GET /catalog/members?index=60&wait=2500 HTTP/1.1", watch.read().firstLine());
            TestServer[] gone = {fixture.upstreams.get(0), fixture.upstreams.get(2)};
            fixture.upstreams.get(1).serveEach(WholeListTest::serve);
            for (int i = 0; i < 30; i++) {
                HttpPeer caller = fixture.caller();
                caller.write(NodeFixture.get("r" + i, "10"));
                assertEquals("served", caller.read().body());
            }
            assertEquals(0, gone[0].pendingConnections() + gone[1].pendingConnections());
        }
    }

    private static void serve(HttpPeer peer) {
        try {
            while (peer.read() != null) {
                peer.write(NodeFixture.ok("served"));
            }
        } catch (IOException e) {
            // The node has closed the connection.
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {
        "HTTP/1.1 200 OK\r\nContent-Length: SIZE\r\n\r\nLIST",
        "HTTP/1.1 200 \r\ncontent-type:application/json\r\nCONTENT-LENGTH:   SIZE  \r\n\r\nLIST",
        "HTTP/1.1 200 OK\r\nX-Note: a,\r\n\tb\r\nContent-Length: SIZE\r\n\r\nLIST",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nCHUNKS0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding:Chunked\r\n\r\nCHUNKS000;last\r\nX-After: 1\r\n\r\n",
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nLISTEND",
        "HTTP/1.0 200 OK\r\n\r\nLISTEND"})
    void aListIsAcceptedInEveryHttpFraming(String form) throws Exception {
        for (long seed = 0; seed < 4; seed++) {
            Random random = new Random(seed);
            try (NodeFixture fixture = watching(2)) {
                String list = NodeConfig.JSON.writerWithDefaultPrettyPrinter().writeValueAsString(
                        NodeConfig.JSON.readTree(NodeFixture.listJson(60, true, entry(fixture, 1))))
                        .replace("\n", random.nextBoolean() ? "\r\n\t" : "\n");
                StringBuilder chunks = new StringBuilder();
                for (int from = 0; from < list.length();) {
                    int to = Math.min(list.length(), from + 1 + random.nextInt(40));
                    chunks.append(Integer.toHexString(to - from))
                            .append(random.nextBoolean() ? ";x=\"y\"" : "").append("\r\n")
                            .append(list, from, to).append("\r\n");
                    from = to;
                }
                assertEquals(Change.CACHED, ScriptedBalancer.next(fixture.balancer.changes));
                HttpPeer watch = fixture.discovery.accept();
                watch.read();
                String answer = form.replace("SIZE", "" + list.length()).replace("CHUNKS", chunks)
                        .replace("LIST", list);
                boolean ends = answer.endsWith("END");
                String text = ends ? answer.substring(0, answer.length() - 3) : answer;
                for (int from = 0; from < text.length();) {
                    int to = seed == 0 ? text.length() : Math.min(text.length(),
                            from + 1 + (seed == 1 ? 0 : random.nextInt(100)));
                    watch.write(text.substring(from, to));
                    from = to;
                }
                if (ends) {
                    watch.close();
                }
                assertEquals(Change.FULL, ScriptedBalancer.next(fixture.balancer.changes));
                assertEquals(1, fixture.balancer.upstreams.size());
                assertEquals(UpstreamList.numericId("s-00000001"), fixture.balancer.upstreams.get(0).id());
                // The next call continues from that version.
                HttpPeer next = ends ? fixture.discovery.accept() : watch;
                assertEquals("GET /catalog/members?index=60&wait=2500 HTTP/1.1", next.read().firstLine());
            }
        }
    }
}
