package cranedeal.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import cranedeal.fleet.command.Program;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs a short form of the large-fleet experiment, with 2 real and 40 hollow balancers. */
class SizeTest {

    private static final JsonMapper JSON = new JsonMapper();

    @TempDir
    Path folder;

    private Path shortForm() throws Exception {
        Path file = folder.resolve("size.toml");
        Files.writeString(file, Files.readString(Path.of("lab/experiments/size.toml"))
                .replaceAll("(?s)# Machines that fail.*\\[must]", """
                        [[fault]]
                        kind = "kill"
                        target = "zone-c"
                        at_s = 4
                        for_s = 10

                        [[fault]]
                        kind = "part"
                        from = "region-0"
                        to = "region-1"
                        at_s = 22
                        for_s = 12

                        [[fault]]
                        kind = "restart"
                        target = "h7"
                        at_s = 40

                        [must]""")
                // Bounds are removed, so that the result does not depend on the speed of the machine.
                .replaceAll("(?m)^(core_share|bytes_per_s|peak_bytes_per_s|memory_mb|views_s|alike) = .*\\R",
                        "")
                .replace("balancers = 20", "balancers = 2").replace("balancers = 500", "balancers = 40")
                .replace("processes = 4", "processes = 2").replace("rate_per_s = 200", "rate_per_s = 20")
                .replace("probe_period_ms = 1000", "probe_period_ms = 500")
                .replace("warm_up_s = 30", "warm_up_s = 5").replace("duration_s = 300", "duration_s = 50"));
        return file;
    }

    @Test
    void fleetOfRealAndHollowBalancersLosesAZoneAndARegion() throws Exception {
        Path out = folder.resolve("out");
        Program.run(Map.of(), "lab", "run", shortForm().toString(), "--out", out.toString());
        JsonNode control = JSON.readTree(out.resolve("control.json").toFile());
        assertEquals(2, control.path("real").asInt(), control.toString());
        assertEquals(40, control.path("hollow").asInt());
        for (String who : new String[] {"calmReal", "calmHollow", "allReal", "allHollow"}) {
            JsonNode cost = control.path(who);
            assertTrue(cost.path("datagramsPerS").asDouble() > 0 && cost.path("bytesPerS").asDouble() > 0
                    && cost.path("coreShare").asDouble() > 0 && cost.path("memoryMb").asDouble() > 0,
                    who + cost);
        }
        // Begin and end of each fault: a killed zone, a partition of regions, a restart.
        assertEquals(6, control.path("faults").size(), control.toString());
        for (int i = 0; i < 4; i++) {
            JsonNode fault = control.path("faults").path(i);
            assertTrue(fault.path("settledMs").asDouble() > 0,
                    "the fault changed views, which settled again: " + fault);
        }
        assertTrue(control.path("machine").path("seconds").asInt() > 0);
    }

    @Test
    void errorsNameLineAndKey() throws Exception {
        String good = Files.readString(shortForm());
        assertRejected(good.replace("to = \"region-1\"", "to = \"region-2\""),
                "fault.to: there is no region");
        assertRejected(good.replace("regions = 2", "regions = 4"), "hollow.regions: 6 zones");
        assertRejected(good.replace("members = true", "members = false"),
                "hollow: hollow balancers need members");
        assertRejected(good.replace("target = \"h7\"", "target = \"h40\""),
                "fault.target: there is no 'h40'");
        assertRejected(good.replace("[budget]", "[budget]\nbytes = 1"), "budget.bytes: there is no such key");
        assertFalse(ExperimentReader.read(shortForm()).faults().isEmpty());
    }

    private void assertRejected(String text, String why) throws Exception {
        Path file = folder.resolve("wrong.toml");
        Files.writeString(file, text);
        String told = assertThrows(ExperimentException.class, () -> ExperimentReader.read(file)).getMessage();
        assertTrue(told.contains(why) && told.matches("(?s).*wrong\\.toml:\\d+: .*"), told);
    }
}
