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

/** What a whole list does not name is gone from that moment, also where it still answers. */
@Timeout(120)
class WholeListTest {

    private static Stage watching(int upstreams) throws Exception {
        Stage stage = new Stage(upstreams);
        stage.connectTimeout = 15_000;
        stage.script.onStart = () -> stage.script.actions.watch(true);
        return stage.start();
    }

    private static String entry(Stage stage, int place) {
        return Stage.entry(place, stage.upstreams.get(place).address(), "up");
    }

    @Test
    void aConnectionToItThatComesUpLaterCarriesNothing() throws Exception {
        try (Stage stage = watching(1); Backlog full = new Backlog()) {
            // Long after the test, so that nothing but the list forbids it.
            String kept = Stage.entry(1, stage.upstreams.get(0).address(), "up");
            Peer watch = stage.tell(kept, Stage.entry(9, full.address(), "up"));
            stage.script.onRequest = request -> stage.script.sendTo(1, request, 0);
            Peer caller = stage.caller();
            caller.write(Stage.spend("1", "x"));
            stage.settle();
            watch.read();
            watch.write(Stage.ok(Stage.roster(43, true, kept)));
            assertEquals(Change.FULL, Script.next(stage.script.changes));
            try (Peer late = full.acceptLast()) {
                assertTrue(late.ended(), "the request was written to who is gone");
            }
            assertEquals(Result.CONNECT_FAILED, stage.script.result());
            assertEquals(502, caller.read().status());
        }
    }

    @Test
    void aKeptConnectionToItIsClosedAndCarriesNothing() throws Exception {
        try (Stage stage = watching(2)) {
            Peer watch = stage.tell(entry(stage, 0), entry(stage, 1));
            stage.script.onRequest = request -> stage.script.sendTo(1, request, 0);
            Peer caller = stage.caller();
            caller.write(Stage.get("1", "10"));
            Peer gone = stage.upstreams.get(1).accept();
            gone.read();
            gone.write(Stage.ok("served"));
            assertEquals("served", caller.read().body());
            // One more is at work there, and may end.
            caller.write(Stage.get("2", "10"));
            gone.read();
            watch.read();
            watch.write(Stage.ok(Stage.roster(43, true, entry(stage, 0))));
            assertEquals(Change.FULL, Script.next(stage.script.changes));
            gone.write(Stage.ok("its last"));
            assertEquals("its last", caller.read().body());
            assertTrue(gone.ended(), "kept although it can carry nothing more");
            assertEquals(0, stage.upstreams.get(1).waiting());
        }
    }

    /** The module that the program runs, told by the first answer to its first watch. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void theFirstAnswerToAWatchMayBeTheWholeList(boolean pushed) throws Exception {
        try (Stage stage = new Stage(3)) {
            stage.pushed = pushed;
            stage.start(LatencyWeightedBalancer::new);
            Peer watch = stage.discovery.accept();
            watch.read();
            watch.write(Stage.ok(Stage.roster(60, true, entry(stage, 1))));
            // It goes on from there, so the list is taken in.
            assertEquals("GET /catalog/members?index=60&wait=2500 HTTP/1.1", watch.read().first());
            Listener[] gone = {stage.upstreams.get(0), stage.upstreams.get(2)};
            stage.upstreams.get(1).each(WholeListTest::serve);
            for (int i = 0; i < 30; i++) {
                Peer caller = stage.caller();
                caller.write(Stage.get("r" + i, "10"));
                assertEquals("served", caller.read().body());
            }
            assertEquals(0, gone[0].waiting() + gone[1].waiting());
        }
    }

    private static void serve(Peer peer) {
        try {
            while (peer.read() != null) {
                peer.write(Stage.ok("served"));
            }
        } catch (IOException e) {
            // The node has closed it.
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
    void aListMeansTheSameInEveryForm(String form) throws Exception {
        for (long seed = 0; seed < 4; seed++) {
            Random random = new Random(seed);
            try (Stage stage = watching(2)) {
                String list = NodeConfig.JSON.writerWithDefaultPrettyPrinter().writeValueAsString(
                        NodeConfig.JSON.readTree(Stage.roster(60, true, entry(stage, 1))))
                        .replace("\n", random.nextBoolean() ? "\r\n\t" : "\n");
                StringBuilder chunks = new StringBuilder();
                for (int from = 0; from < list.length();) {
                    int to = Math.min(list.length(), from + 1 + random.nextInt(40));
                    chunks.append(Integer.toHexString(to - from))
                            .append(random.nextBoolean() ? ";x=\"y\"" : "").append("\r\n")
                            .append(list, from, to).append("\r\n");
                    from = to;
                }
                assertEquals(Change.CACHED, Script.next(stage.script.changes));
                Peer watch = stage.discovery.accept();
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
                assertEquals(Change.FULL, Script.next(stage.script.changes));
                assertEquals(1, stage.script.upstreams.size());
                assertEquals(UpstreamList.numericId("s-00000001"), stage.script.upstreams.get(0).id());
                // The next call goes on from there.
                Peer next = ends ? stage.discovery.accept() : watch;
                assertEquals("GET /catalog/members?index=60&wait=2500 HTTP/1.1", next.read().first());
            }
        }
    }
}
