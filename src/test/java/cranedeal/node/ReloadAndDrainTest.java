package cranedeal.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests SIGHUP and SIGTERM that overlap in one process, and a start while discovery does not answer. */
@Timeout(120)
class ReloadAndDrainTest {

    private static void ask(HttpPeer caller, String request) throws IOException {
        caller.write(request);
    }

    private static void serve(HttpPeer upstream, String id, String body) throws IOException {
        assertEquals(id, upstream.read().header("X-Txn"));
        upstream.write(NodeFixture.ok(body));
    }

    private static String up(NodeFixture fixture, int place) {
        return NodeFixture.listEntry(place, fixture.upstreams.get(place).address(), "up");
    }

    @Test
    void aReloadDuringADrainIsAppliedAndTheLastAnswersStillArrive() throws Exception {
        try (NodeFixture fixture = new NodeFixture(2); TestServer moved = new TestServer();
                NodeProcess node = new NodeProcess(fixture, fixture.discovery.address())) {
            HttpPeer caller = HttpPeer.connectWhenServing(node.address, node.process);
            HttpPeer other = HttpPeer.connectWhenServing(node.address, node.process);
            HttpPeer watch = fixture.discovery.accept();
            watch.read();
            // From here on only the first upstream is listed, so that the request below must go to it.
            watch.write(NodeFixture.ok(NodeFixture.listJson(50, true, up(fixture, 0))));
            watch.read();
            ask(caller, NodeFixture.get("taken", "10"));
            HttpPeer first = fixture.upstreams.get(0).accept();
            assertEquals("taken", first.read().header("X-Txn"));
            node.signal("TERM");
            node.moveDiscovery(moved.address());
            HttpPeer anew = moved.accept();
            assertEquals("GET /catalog/members?index=50&wait=2500 HTTP/1.1", anew.read().firstLine());
            assertTrue(watch.awaitClose());
            // At the new address only the other upstream is listed.
            anew.write(NodeFixture.ok(NodeFixture.listJson(51, true, up(fixture, 1))));
            anew.read();
            ask(other, NodeFixture.get("later", "10"));
            serve(fixture.upstreams.get(1).accept(), "later", "by the other");
            HttpPeer.Message answer = other.read();
            assertEquals("by the other", answer.body());
            first.write(NodeFixture.ok("its last"));
            assertEquals("its last", caller.read().body());
            node.assertTerminated();
            assertEquals(0, fixture.upstreams.get(0).pendingConnections());
        }
    }

    @Test
    void aDrainDuringAMoveOfDiscoveryStillGetsTheNewList() throws Exception {
        try (NodeFixture fixture = new NodeFixture(2); TestServer moved = new TestServer();
                NodeProcess node = new NodeProcess(fixture, fixture.discovery.address())) {
            HttpPeer caller = HttpPeer.connectWhenServing(node.address, node.process);
            HttpPeer watch = fixture.discovery.accept();
            watch.read();
            watch.write(NodeFixture.ok(NodeFixture.listJson(50, true, up(fixture, 0))));
            watch.read();
            node.moveDiscovery(moved.address());
            node.signal("TERM");
            HttpPeer anew = moved.accept();
            anew.read();
            anew.write(NodeFixture.ok(NodeFixture.listJson(51, true, up(fixture, 1))));
            anew.read();
            ask(caller, NodeFixture.get("1", "10"));
            serve(fixture.upstreams.get(1).accept(), "1", "by the other");
            assertEquals("by the other", caller.read().body());
            node.assertTerminated();
            assertEquals(0, fixture.upstreams.get(0).pendingConnections());
        }
    }

    @Test
    void repeatedSignalsStillEndTheProcessGracefully() throws Exception {
        try (NodeFixture fixture = new NodeFixture(); TestServer moved = new TestServer();
                NodeProcess node = new NodeProcess(fixture, fixture.discovery.address())) {
            HttpPeer caller = HttpPeer.connectWhenServing(node.address, node.process);
            ask(caller, NodeFixture.get("taken", "10"));
            HttpPeer upstream = fixture.upstreams.get(0).accept();
            upstream.read();
            for (int i = 0; i < 5; i++) {
                node.moveDiscovery(i % 2 == 0 ? moved.address() : fixture.discovery.address());
                node.signal("TERM");
            }
            // An invalid file in the middle of the drain.
            Files.writeString(node.file, "{");
            node.signal("HUP");
            upstream.write(NodeFixture.ok("its last"));
            assertEquals("its last", caller.read().body());
            node.assertTerminated();
        }
    }

    /** Discovery accepts calls without answering, refuses connections, or lets connects time out. */
    @Test
    void itServesKnownUpstreamsIfDiscoveryNeverAnswers() throws Exception {
        try (FullBacklog full = new FullBacklog()) {
            String refusing;
            try (ServerSocket free = new ServerSocket(0)) {
                refusing = "127.0.0.1:" + free.getLocalPort();
            }
            for (String discovery : new String[] {null, refusing, full.address()}) {
                try (NodeFixture fixture = new NodeFixture(); NodeProcess node = new NodeProcess(fixture,
                        discovery == null ? fixture.discovery.address() : discovery)) {
                    // Discovery never answers, so a start that waited for it would not end.
                    HttpPeer caller = HttpPeer.connectWhenServing(node.address, node.process);
                    ask(caller, NodeFixture.get("1", "10"));
                    serve(fixture.upstreams.get(0).accept(), "1", "known");
                    assertEquals("known", caller.read().body());
                }
            }
        }
    }
}
