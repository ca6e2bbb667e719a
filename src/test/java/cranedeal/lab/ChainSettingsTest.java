package cranedeal.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import cranedeal.LoadBalancer.Settings;
import cranedeal.lab.slope.ChainSettings;
import cranedeal.wire.SettingsParser;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.StringJoiner;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against differences between the settings of the depth study and those of the lab. */
class ChainSettingsTest {

    private static final InetSocketAddress ANY = new InetSocketAddress("127.0.0.1", 1);

    @TempDir
    private Path folder;

    @Test
    void chainSettingsEqualTheLabsSettings() throws Exception {
        Path file = folder.resolve("chain.toml");
        Files.writeString(file, """
                name = "chain"
                [fleet]
                balancers = 5
                [[upstreams]]
                kind = "k"
                count = 5
                [[class]]
                name = "look-up"
                effect = "idempotent"
                work_ms = 2
                aim_ms = %s
                deadline_ms = %s
                [load]
                rate_per_s = 1
                duration_s = 1
                """.formatted(ChainSettings.AIM_MS, ChainSettings.DEADLINE_MS));
        ObjectNode written = BalancerConfig.of(ExperimentReader.read(file), 3, ANY, ANY, 1,
                new JsonMapper().createObjectNode(), List.of());
        StringBuilder lines = new StringBuilder();
        flatten("", written.get("settings"), lines);
        Settings lab = SettingsParser.parse(lines.toString().getBytes(StandardCharsets.UTF_8));
        assertEquals(lab, ChainSettings.of(0, 1, 3, 5));
    }

    private static void flatten(String path, JsonNode value, StringBuilder lines) {
        if (value.isArray() && value.size() > 0 && value.get(0).isObject()) {
            lines.append(path).append(".count=").append(value.size()).append('\n');
            for (int i = 0; i < value.size(); i++) {
                flatten(path + "." + i, value.get(i), lines);
            }
        } else if (value.isArray()) {
            StringJoiner items = new StringJoiner(",");
            value.forEach(item -> items.add(item.asText()));
            lines.append(path).append('=').append(items).append('\n');
        } else if (value.isObject()) {
            for (Map.Entry<String, JsonNode> field : value.properties()) {
                String name = path.isEmpty() ? field.getKey() : path + "." + field.getKey();
                flatten(name, field.getValue(), lines);
            }
        } else {
            lines.append(path).append('=').append(value.asText()).append('\n');
        }
    }
}
