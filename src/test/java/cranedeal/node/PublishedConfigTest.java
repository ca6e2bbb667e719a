package cranedeal.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** What the fleet publishes lies over a balancer's own file, whole or not at all. */
@Timeout(60)
class PublishedConfigTest {

    @TempDir
    private Path folder;

    private static JsonNode section(Stage stage, String from, String to) throws Exception {
        JsonNode whole = NodeConfig.JSON.readTree(stage.config().replace(from, to));
        ObjectNode section = NodeConfig.JSON.createObjectNode();
        section.putObject("settings").set("services", whole.path("settings").path("services"));
        return section;
    }

    private static boolean shows(Stage stage, String line) {
        return stage.node.stats().contains("edge_proxy." + line + "\n");
    }

    private Stage stage() throws Exception {
        Stage stage = new Stage();
        Path file = folder.resolve("config.json");
        Files.writeString(file, stage.config());
        stage.node = Node.start(NodeConfig.read(file.toString()), null, stage.script::with);
        return stage;
    }

    @Test
    void aSectionIsInForceUntilItGoesAndAReloadKeepsIt() throws Exception {
        try (Stage stage = stage()) {
            stage.node.applyPublished(section(stage, "tile-order", "tile-view"));
            assertTrue(shows(stage, "success.tile-view=0"), stage.node.stats());
            // The file changes, and what was published still goes before it.
            Path file = folder.resolve("config.json");
            Files.writeString(file, stage.config().replace("look-up", "look-over").replace("credit-spend",
                    "debit"));
            stage.node.reload(file.toString());
            assertTrue(shows(stage, "reload_success=1") && shows(stage, "success.tile-view=0")
                    && shows(stage, "success.look-up=0") && !shows(stage, "success.debit=0"),
                    stage.node.stats());
            stage.node.applyPublished(null);
            assertTrue(shows(stage, "success.look-over=0") && shows(stage, "success.debit=0"),
                    stage.node.stats());
            Files.writeString(file, stage.config());
            stage.node.reload(file.toString());
            stage.servesStill();
        }
    }

    @Test
    void aKeyThatOnlyASectionHasCanGoAgain() throws Exception {
        try (Stage stage = stage()) {
            ObjectNode more = NodeConfig.JSON.createObjectNode();
            more.putObject("settings").putObject("rules").put("maxShare", 0.5);
            stage.node.applyPublished(more);
            stage.node.applyPublished(NodeConfig.JSON.createObjectNode());
            stage.node.applyPublished(null);
            stage.servesStill();
        }
    }

    @Test
    void aSectionThatIsWrongInAnyPartChangesNothing() throws Exception {
        try (Stage stage = stage()) {
            stage.node.applyPublished(section(stage, "tile-order", "tile-view"));
            ObjectNode bad = (ObjectNode) section(stage, "tile-order", "tile-look");
            ((ObjectNode) bad.get("settings")).putObject("limits").put("attemptsCap", 0);
            ConfigException e = assertThrows(ConfigException.class, () -> stage.node.applyPublished(bad));
            assertTrue(e.getMessage().contains("settings.limits.attemptsCap"), e.getMessage());
            ObjectNode fewer = (ObjectNode) section(stage, "tile-order", "tile-look");
            ((ArrayNode) fewer.at("/settings/services")).forEach(one -> ((ObjectNode) one).remove("worth"));
            e = assertThrows(ConfigException.class, () -> stage.node.applyPublished(fewer));
            assertTrue(e.getMessage().contains("worth is missing"), e.getMessage());
            ObjectNode zones = NodeConfig.JSON.createObjectNode();
            zones.putObject("settings").putArray("zones").add("elsewhere");
            assertThrows(ConfigException.class, () -> stage.node.applyPublished(zones));
            assertTrue(shows(stage, "success.tile-view=0"), stage.node.stats());
            stage.servesStill();
            assertEquals(0, stage.node.stats().split("tile-look").length - 1);
        }
    }
}
