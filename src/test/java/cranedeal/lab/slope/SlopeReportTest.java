package cranedeal.lab.slope;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import cranedeal.fleet.command.Program;
import cranedeal.lab.slope.SlopeReport.Basis;
import java.io.IOException;
import java.net.InetAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import javax.imageio.ImageIO;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SlopeReportTest {

    private static final JsonMapper JSON = new JsonMapper();

    @TempDir
    private Path folder;

    private static SlopeReport report() {
        return new SlopeReport("widgets", "lab slope widgets --repeat 2", "member").with("seconds", 30)
                .add("even", "bytes/s", Basis.SIMULATED, List.of(Point.of(1, 10, 12), Point.of(2, 20, 22),
                        Point.of(3, 30, 32), Point.of(4, 40, 42)))
                .add("bent", "us", Basis.MEASURED, List.of(Point.of(1, 5), Point.of(2, 5), Point.of(3, 5),
                        Point.of(4, 50)));
    }

    @Test
    void theFileHoldsPointsRepeatsAndFits() throws IOException {
        Path file = folder.resolve("widgets.json");
        report().writeJson(file);
        JsonNode root = JSON.readTree(file.toFile());
        assertEquals("widgets", root.path("study").asText());
        assertEquals("lab slope widgets --repeat 2", root.path("command").asText());
        assertEquals(30, root.at("/setup/seconds").asInt());
        JsonNode even = root.at("/series/even");
        assertEquals("bytes/s", even.path("unit").asText());
        assertEquals("simulated", even.path("basis").asText());
        assertEquals(21, even.at("/points/2/median").asDouble(), 1e-9);
        assertEquals(20, even.at("/points/2/values/0").asDouble(), 1e-9);
        assertEquals(22, even.at("/points/2/values/1").asDouble(), 1e-9);
        assertEquals(10, even.at("/fit/slope").asDouble(), 1e-9);
        assertEquals("bytes/s per member", even.at("/fit/slope_unit").asText());
        assertEquals(1, even.at("/fit/intercept").asDouble(), 1e-9);
        assertEquals(1, even.at("/fit/residual").asDouble(), 1e-9);
        assertEquals(4, even.at("/fit/to").asDouble(), 1e-9);
        assertTrue(even.path("straight").asBoolean());
        assertFalse(even.has("pieces"));
        JsonNode bent = root.at("/series/bent");
        assertFalse(bent.path("straight").asBoolean());
        assertTrue(bent.path("cut_straight").asBoolean());
        assertEquals(45, bent.at("/pieces/1/slope").asDouble(), 1e-9);
    }

    @Test
    void theMachineIsDescribedAndNotNamed() throws IOException {
        JsonNode machine = report().json().path("machine");
        assertEquals(Runtime.getRuntime().availableProcessors(), machine.path("cores").asInt());
        assertTrue(machine.path("memory_mb").asInt() > 0);
        assertFalse(machine.path("java").asText().isEmpty());
        String name = InetAddress.getLocalHost().getHostName();
        assertFalse(name.length() > 3 && report().json().toString().contains(name));
    }

    @Test
    void thePlotIsAPicture() throws IOException {
        Path file = folder.resolve("widgets.png");
        report().writePlot(file);
        assertNotNull(ImageIO.read(file.toFile()));
    }

    @Test
    void theTableMarksSeriesThatAreNotStraight() {
        String text = report().text();
        assertTrue(text.contains("even, bytes/s (simulated)"), text);
        assertTrue(text.contains("not straight; piece from 3 to 4"), text);
    }

    @Test
    void aSeriesIsNamedOnceAndPlainly() {
        SlopeReport report = report();
        List<Point> points = List.of(Point.of(1, 1), Point.of(2, 1), Point.of(3, 1), Point.of(4, 1));
        assertThrows(IllegalArgumentException.class, () -> report.add("even", "us", Basis.MEASURED, points));
        assertThrows(IllegalArgumentException.class, () -> report.add("a/b", "us", Basis.MEASURED, points));
    }

    @Test
    void membershipIsMeasuredTheSameTwice() throws IOException {
        String[] files = {"first.json", "second.json"};
        for (String file : files) {
            assertEquals(0, Program.run(Map.of(), "lab", "slope", "membership", "--members", "4,6,8,10",
                    "--loss", "0.1", "--seconds", "3", "--repeat", "2", "--json",
                    folder.resolve(file).toString()));
        }
        JsonNode first = JSON.readTree(Files.readString(folder.resolve(files[0])));
        JsonNode second = JSON.readTree(Files.readString(folder.resolve(files[1])));
        assertEquals(first.path("series"), second.path("series"));
        assertEquals("lab slope membership --members 4,6,8,10 --loss 0.1 --seconds 3 --repeat 2",
                first.path("command").asText());
        JsonNode bytes = first.at("/series/bytes-loss-10/points");
        assertEquals(4, bytes.size());
        bytes.forEach(point -> {
            assertEquals(2, point.path("values").size());
            assertTrue(point.path("least").asDouble() > 0);
        });
        JsonNode peak = first.at("/series/peak-second-loss-10/points/10/median");
        assertTrue(peak.asDouble() >= bytes.at("/10/median").asDouble());
    }

    @Test
    void invalidArgumentsAreUsageErrors() {
        assertEquals(Program.USAGE_ERROR, Program.run(Map.of(), "lab", "slope"));
        assertEquals(Program.USAGE_ERROR, Program.run(Map.of(), "lab", "slope", "membership", "--members",
                "4"));
    }
}
