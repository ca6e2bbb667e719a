package cranedeal.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** SIGHUP and SIGTERM in one process, one inside the other, and a start that discovery does not help. */
@Timeout(120)
class ReloadAndDrainTest {

    private static void ask(Peer caller, String request) throws IOException {
        caller.write(request);
    }

    private static void serve(Peer upstream, String id, String body) throws IOException {
        assertEquals(id, upstream.read().header("X-Txn"));
        upstream.write(Stage.ok(body));
    }

    private static String up(Stage stage, int place) {
        return Stage.entry(place, stage.upstreams.get(place).address(), "up");
    }

    @Test
    void aReloadDuringADrainIsObeyedAndTheLastAnswersStillCome() throws Exception {
        try (Stage stage = new Stage(2); Listener moved = new Listener();
                Served served = new Served(stage, stage.discovery.address())) {
            Peer caller = Peer.toServing(served.address, served.process);
            Peer other = Peer.toServing(served.address, served.process);
            Peer watch = stage.discovery.accept();
            watch.read();
            // Only the first is known from here on, so that the request below has one place to go to.
            watch.write(Stage.ok(Stage.roster(50, true, up(stage, 0))));
            watch.read();
            ask(caller, Stage.get("taken", "10"));
            Peer first = stage.upstreams.get(0).accept();
            assertEquals("taken", first.read().header("X-Txn"));
            served.signal("TERM");
            served.move(moved.address());
            Peer anew = moved.accept();
            assertEquals("GET /catalog/members?index=50&wait=2500 HTTP/1.1", anew.read().first());
            assertTrue(watch.ended());
            // At the new address the first is gone, and another is there.
            anew.write(Stage.ok(Stage.roster(51, true, up(stage, 1))));
            anew.read();
            ask(other, Stage.get("later", "10"));
            serve(stage.upstreams.get(1).accept(), "later", "by the other");
            Peer.Message answer = other.read();
            assertEquals("by the other", answer.body());
            first.write(Stage.ok("its last"));
            assertEquals("its last", caller.read().body());
            served.endsByItself();
            assertEquals(0, stage.upstreams.get(0).waiting());
        }
    }

    @Test
    void aDrainDuringAReloadThatMovesDiscoveryStillHearsOfIt() throws Exception {
        try (Stage stage = new Stage(2); Listener moved = new Listener();
                Served served = new Served(stage, stage.discovery.address())) {
            Peer caller = Peer.toServing(served.address, served.process);
            Peer watch = stage.discovery.accept();
            watch.read();
            watch.write(Stage.ok(Stage.roster(50, true, up(stage, 0))));
            watch.read();
            served.move(moved.address());
            served.signal("TERM");
            Peer anew = moved.accept();
            anew.read();
            anew.write(Stage.ok(Stage.roster(51, true, up(stage, 1))));
            anew.read();
            ask(caller, Stage.get("1", "10"));
            serve(stage.upstreams.get(1).accept(), "1", "by the other");
            assertEquals("by the other", caller.read().body());
            served.endsByItself();
            assertEquals(0, stage.upstreams.get(0).waiting());
        }
    }

    @Test
    void signalsInAnyNumberAndOrderEndItInOrder() throws Exception {
        try (Stage stage = new Stage(); Listener moved = new Listener();
                Served served = new Served(stage, stage.discovery.address())) {
            Peer caller = Peer.toServing(served.address, served.process);
            ask(caller, Stage.get("taken", "10"));
            Peer upstream = stage.upstreams.get(0).accept();
            upstream.read();
            for (int i = 0; i < 5; i++) {
                served.move(i % 2 == 0 ? moved.address() : stage.discovery.address());
                served.signal("TERM");
            }
            // A file that can't be read, in the middle of the drain.
            Files.writeString(served.file, "{");
            served.signal("HUP");
            upstream.write(Stage.ok("its last"));
            assertEquals("its last", caller.read().body());
            served.endsByItself();
        }
    }

    /** Discovery that takes calls and answers none, that refuses them, and that never lets one connect. */
    @Test
    void itServesByWhatItKnowsThoughDiscoveryNeverAnswers() throws Exception {
        try (Backlog full = new Backlog()) {
            String refusing;
            try (ServerSocket free = new ServerSocket(0)) {
                refusing = "127.0.0.1:" + free.getLocalPort();
            }
            for (String discovery : new String[] {null, refusing, full.address()}) {
                try (Stage stage = new Stage(); Served served = new Served(stage,
                        discovery == null ? stage.discovery.address() : discovery)) {
                    // Nothing is ever answered there, so that a start that waited for it would not end.
                    Peer caller = Peer.toServing(served.address, served.process);
                    ask(caller, Stage.get("1", "10"));
                    serve(stage.upstreams.get(0).accept(), "1", "known");
                    assertEquals("known", caller.read().body());
                }
            }
        }
    }
}
