package cranedeal.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A configuration that is read again holds as a whole, or not at all. */
@Timeout(60)
class ReconfigureTest {

    @TempDir
    private Path folder;

    private void reload(Stage stage, String text) throws Exception {
        Path file = folder.resolve("config.json");
        Files.writeString(file, text);
        stage.node.reload(file.toString());
    }

    private static String rename(Stage stage, String from, String to) {
        return stage.config().replace("\"name\":\"" + from + "\"", "\"name\":\"" + to + "\"");
    }

    private static void assertFigure(Stage stage, String line) {
        assertTrue(stage.node.stats().contains("edge_proxy." + line + "\n"), stage.node.stats());
    }

    private static int status(Stage stage, String request) throws Exception {
        Peer caller = stage.caller();
        caller.write(request);
        return caller.read().status();
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "\"deadline\":2500.0|\"deadline\":0",
        "\"deadline\":2500.0|\"deadline\":-5",
        "\"deadline\":2500.0|\"deadline\":\"2500\"",
        "\"deadline\":2500.0|\"deadline\":null",
        "\"deadline\":2500.0|\"deadline\":1e999",
        "\"deadline\":2500.0,|",
        "\"attemptsCap\":4|\"attemptsCap\":0",
        "\"attemptsCap\":4|\"attemptsCap\":\"4\"",
        "\"attemptsCap\":4|\"attemptsCap\":true",
        "\"attemptsCap\":4,|",
        "\"worth\":2.0,|",
        "\"memorySpan\":4000.0,|",
        "\"name\":\"n0\",|",
        "\"seed\":\"8c1f30d27a5be964\",|",
        "\"familyInfo\":{\"passesDeadline\":true},|",
        "\"worthBy\":\"request\",|",
        "\"name\":\"look-up\"|\"name\":\"credit-spend\"",
        "\"zones\":[\"dakar-a\"]|\"zones\":[\"dakar-b\"]",
        "\"settings\"|\"setting\""})
    void aBadFileChangesNothing(String from, String to) throws Exception {
        try (Stage stage = new Stage().start(); Listener moved = new Listener()) {
            String good = stage.config().replace(stage.discovery.address(), moved.address())
                    .replace("\"name\":\"tile-order\"", "\"name\":\"tile-view\"");
            String bad = good.replace(from, to == null ? "" : to);
            assertTrue(!bad.equals(good));
            reload(stage, bad);
            assertFigure(stage, "reload_failure=1");
            assertFigure(stage, "reload_success=0");
            assertTrue(!stage.node.stats().contains("tile-view"));
            stage.servesStill();
        }
    }

    @Test
    void aFileThatIsEmptyOrCutShortChangesNothing() throws Exception {
        try (Stage stage = new Stage().start()) {
            String good = stage.config();
            int tried = 0;
            for (int length = 0; length < good.strip().length(); length += 97) {
                reload(stage, good.substring(0, length));
                tried++;
            }
            reload(stage, good + good);
            assertFigure(stage, "reload_failure=" + (tried + 1));
            stage.servesStill();
        }
    }

    @Test
    void classesComeAndGoAndWhatIsUnderWayEndsByItsOwn() throws Exception {
        try (Stage stage = new Stage().start()) {
            Peer caller = stage.caller();
            caller.write(Stage.spend("1", "x"));
            Peer upstream = stage.upstreams.get(0).accept();
            upstream.read();
            reload(stage, rename(stage, "credit-spend", "debit"));
            assertFigure(stage, "reload_success=1");
            assertFigure(stage, "success.debit=0");
            upstream.write(Stage.ok("served"));
            assertEquals("served", caller.read().body());
            assertFigure(stage, "success.credit-spend=1");
            assertEquals(400, status(stage, Stage.spend("2", "x")));
            stage.script.onRequest = request -> stage.script.actions.refuse(request.id(), 0);
            assertEquals(503, status(stage, Stage.spend("3", "x").replace("credit-spend", "debit")));
            reload(stage, stage.config());
            assertFigure(stage, "success.credit-spend=1");
            assertFigure(stage, "overload.debit=1");
        }
    }

    @Test
    void aStricterEffectAndFewerAttemptsBindWhatComesNext() throws Exception {
        try (Stage stage = new Stage().start()) {
            stage.upstreams.get(0).refuse();
            stage.script.sendUntilNotSent(0);
            reload(stage, stage.config().replace("\"attemptsCap\":4", "\"attemptsCap\":2")
                    .replace("\"idempotency\":\"idempotent\"", "\"idempotency\":\"at_most_once\""));
            assertFigure(stage, "reload_success=1");
            assertEquals(400, status(stage, Stage.get("1", "10")));
            assertEquals(503, status(stage, Stage.spend("2", "x")));
            assertEquals(3, stage.script.outcomes.size());
        }
    }
}
