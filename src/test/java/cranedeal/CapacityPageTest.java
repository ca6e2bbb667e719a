package cranedeal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.math.BigDecimal;
import java.math.RoundingMode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks that the numbers on the capacity page are those of the runs. Each row of its table of slopes names a
 * series and a place in it, the command, the file, and the value found there, rounded as printed.
 */
class CapacityPageTest {

    private static final JsonMapper JSON = new JsonMapper();
    private static final Path PAGE = Path.of("docs/CAPACITY.md");
    private static final Path SLOPES = Path.of("docs/slopes");
    private static final String SECTION = "## Slopes, measured";
    private static final List<String> HEADER =
            List.of("slope", "command", "file", "value", "unit", "basis");
    private static final Pattern PLACE = Pattern.compile("`(/[^`]+)`");
    private static final int MIN_DIGITS = 2;
    private static final String NOT_STRAIGHT = "not straight";
    private static final String NOR_ITS_PIECES = "nor its pieces";

    private static final String GOOD_PAGE = """
            # Capacity
            ## Slopes, measured
            Some words.

            | slope | command | file | value | unit | basis |
            | --- | --- | --- | --- | --- | --- |
            | at 520 `/bytes/points/520/median` | `lab x` | slopes/x.json | 32,474 | bytes/s | simulated |
            | each `/bytes/fit/slope` | `lab x` | slopes/x.json | 0.0053 | bytes/s per member | simulated |
            | wrong `/wrong/points/520/median` | `lab x` | slopes/x.json | 0 | calls | reckoned |
            | not straight `/wrong/pieces/0/slope` | `lab x` | slopes/x.json | 0.25 | calls each | reckoned |

            ## Another section
            | slope | command |
            """;
    private static final String FILE = """
            {"study":"x","command":"lab x","series":{
             "bytes":{"unit":"bytes/s","basis":"simulated","straight":true,
              "points":{"520":{"median":32473.8}},"fit":{"slope":0.005313,"slope_unit":"bytes/s per member"}},
             "wrong":{"unit":"calls","basis":"reckoned","straight":false,"cut_straight":true,
              "points":{"520":{"median":0.0}},"fit":{"slope":0.4,"slope_unit":"calls each"},
              "pieces":[{"slope":0.25,"slope_unit":"calls each"}]}}}
            """;

    @Test
    void thePageMatchesTheMeasurements() throws IOException {
        Map<String, JsonNode> files = new TreeMap<>();
        try (Stream<Path> all = Files.list(SLOPES)) {
            for (Path file : all.filter(path -> path.toString().endsWith(".json")).toList()) {
                files.put("slopes/" + file.getFileName(), JSON.readTree(file.toFile()));
            }
        }
        assertFalse(files.isEmpty());
        assertEquals(List.of(), complaints(Files.readString(PAGE), files));
    }

    @Test
    void aMatchingPageIsAccepted() throws IOException {
        assertEquals(List.of(), complaints(GOOD_PAGE, Map.of("slopes/x.json", JSON.readTree(FILE))));
    }

    @ParameterizedTest
    @CsvSource(delimiter = ';', value = {
        "32,474;32,473;says 32,473, and the file 32473.8",
        "32,474;32,474.9;says 32,474.9, and the file 32473.8",
        "0.0053;0.005;says 0.005: fewer than 2 digits of 0.005313",
        "0.0053;nearly none;says nearly none, which is no number",
        "0.0053;;says , which is no number",
        "| `lab x` | slopes/x.json | 0 |;|  | slopes/x.json | 0 |;has another command",
        "| `lab x` | slopes/x.json | 0 |;| `lab y` | slopes/x.json | 0 |;has another command",
        "slopes/x.json | 0 |;slopes/y.json | 0 |;has no file slopes/y.json",
        "`/bytes/points/520/median`;`/bytes/points/521/median`;has no number at /bytes/points/521/median",
        "`/bytes/points/520/median`;`/bytes/unit`;has no number at /bytes/unit",
        "`/bytes/points/520/median`;;names no position",
        "bytes/s per member;bytes/s;has the unit bytes/s, and the file bytes/s per member",
        "calls | reckoned;calls | measured;is called measured, and the file says reckoned",
        "`/wrong/pieces/0/slope`;`/wrong/fit/slope`;has one slope for a series that is not straight",
        "| not straight `;| straight `;does not say that it is not straight",
        "| simulated |;| simulated | more |;has 7 cells",
        "| basis |;| grounds |;has another header",
        "## Slopes, measured;## Slopes;has no section"})
    void aDifferingPageIsRejected(String from, String to, String complaint) throws IOException {
        assertFalse(GOOD_PAGE.replace(from, to == null ? "" : to).equals(GOOD_PAGE), "nothing was changed");
        List<String> found = complaints(GOOD_PAGE.replace(from, to == null ? "" : to),
                Map.of("slopes/x.json", JSON.readTree(FILE)));
        assertFalse(found.stream().noneMatch(message -> message.contains(complaint)), found.toString());
    }

    @Test
    void piecesThatAreNotStraightMustBeLabelledSo() throws IOException {
        JsonNode file = JSON.readTree(FILE.replace("\"cut_straight\":true", "\"cut_straight\":false"));
        assertEquals(1, complaints(GOOD_PAGE, Map.of("slopes/x.json", file)).size());
        String said = GOOD_PAGE.replace("| not straight `", "| not straight, nor its pieces `");
        assertEquals(List.of(), complaints(said, Map.of("slopes/x.json", file)));
    }

    @Test
    void aFileMissingFromThePageIsReported() throws IOException {
        JsonNode file = JSON.readTree(FILE);
        assertEquals(List.of("slopes/z.json is not on the page"),
                complaints(GOOD_PAGE, Map.of("slopes/x.json", file, "slopes/z.json", file)));
    }

    private static List<String> complaints(String page, Map<String, JsonNode> files) {
        List<String> complaints = new ArrayList<>();
        Set<String> named = new HashSet<>();
        boolean headed = false;
        for (String line : section(page)) {
            if (!line.startsWith("|") || line.startsWith("| ---")) {
                continue;
            }
            List<String> cells = Stream.of(line.substring(1, line.lastIndexOf('|')).split("\\|", -1))
                    .map(String::strip).toList();
            if (!headed) {
                headed = true;
                if (!cells.equals(HEADER)) {
                    complaints.add("the table has another header: " + cells);
                }
            } else if (cells.size() != HEADER.size()) {
                complaints.add(line + " has " + cells.size() + " cells");
            } else {
                named.add(cells.get(2));
                checkRow(cells, files.get(cells.get(2)), complaints);
            }
        }
        if (!headed) {
            complaints.add("the page has no section '" + SECTION + "' with a table");
        }
        files.keySet().stream().filter(file -> !named.contains(file)).sorted()
                .forEach(file -> complaints.add(file + " is not on the page"));
        return complaints;
    }

    private static List<String> section(String page) {
        return page.lines().dropWhile(line -> !line.equals(SECTION)).skip(1)
                .takeWhile(line -> !line.startsWith("## ")).toList();
    }

    private static void checkRow(List<String> cells, JsonNode file, List<String> complaints) {
        String slope = "'" + cells.get(0) + "' ";
        Matcher place = PLACE.matcher(cells.get(0));
        if (file == null) {
            complaints.add(slope + "has no file " + cells.get(2));
        } else if (!place.find()) {
            complaints.add(slope + "names no position in its file");
        } else {
            if (!cells.get(1).equals("`" + file.path("command").asText() + "`")) {
                complaints.add(slope + "has another command than the file: " + file.path("command"));
            }
            checkNumber(slope, place.group(1), cells, file.path("series"), complaints);
        }
    }

    private static void checkNumber(String slope, String place, List<String> cells, JsonNode all,
            List<String> complaints) {
        JsonNode number = all.at(place);
        String name = place.substring(1).replaceAll("/.*", "");
        JsonNode series = all.path(name);
        if (!number.isNumber()) {
            complaints.add(slope + "has no number at " + place);
            return;
        }
        if (place.startsWith("/" + name + "/fit/") && !series.path("straight").asBoolean()) {
            complaints.add(slope + "has one slope for a series that is not straight");
        }
        if (place.contains("/pieces/") && !slope.contains(NOT_STRAIGHT)) {
            complaints.add(slope + "does not say that it is " + NOT_STRAIGHT);
        }
        if (place.contains("/pieces/") && !series.path("cut_straight").asBoolean()
                && !slope.contains(NOR_ITS_PIECES)) {
            complaints.add(slope + "does not say that its pieces are not straight either");
        }
        String unit = place.endsWith("/slope")
                ? all.at(place.substring(0, place.lastIndexOf('/'))).path("slope_unit").asText()
                : place.endsWith("/worst") ? "share" : series.path("unit").asText();
        if (!cells.get(4).equals(unit)) {
            complaints.add(slope + "has the unit " + cells.get(4) + ", and the file " + unit);
        }
        if (!cells.get(5).equals(series.path("basis").asText())) {
            complaints.add(slope + "is called " + cells.get(5) + ", and the file says "
                    + series.path("basis").asText());
        }
        compare(slope + "says " + cells.get(3), cells.get(3), number.decimalValue(), complaints);
    }

    private static void compare(String says, String printed, BigDecimal number, List<String> complaints) {
        BigDecimal value;
        try {
            value = new BigDecimal(printed.replace(",", ""));
        } catch (NumberFormatException e) {
            complaints.add(says + ", which is no number");
            return;
        }
        if (value.compareTo(number.setScale(value.scale(), RoundingMode.HALF_UP)) != 0) {
            complaints.add(says + ", and the file " + number);
        } else if (value.compareTo(number) != 0 && value.precision() < MIN_DIGITS) {
            complaints.add(says + ": fewer than " + MIN_DIGITS + " digits of " + number);
        }
    }
}
