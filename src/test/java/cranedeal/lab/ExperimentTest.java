package cranedeal.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the reading and validation of experiment files, and the drawing and shrinking of faults. */
class ExperimentTest {

    private static final String GOOD = """
            name = "good"
            [fleet]
            balancers = 2
            [[upstreams]]
            kind = "fast"
            count = 4
            [[class]]
            name = "look-up"
            effect = "idempotent"
            work_ms = 10
            [load]
            rate_per_s = 100
            duration_s = 10
            [[fault]]
            kind = "pause"
            target = "n0"
            at_s = 1
            for_s = 2
            [[fault]]
            kind = "cut"
            from = "n*"
            to = "u3"
            at_s = 4
            for_s = 1
            """;

    @TempDir
    Path folder;

    private Experiment read(String text) throws IOException, ExperimentException {
        Path file = folder.resolve("e.toml");
        Files.writeString(file, text);
        return ExperimentReader.read(file);
    }

    @Test
    void missingKeysGetDefaults() throws Exception {
        Experiment read = read(GOOD);
        assertEquals(List.of("u0", "u1", "u2", "u3"), read.upstreamNames());
        assertEquals(2_000, read.faults().get(0).forMs());
        assertEquals(2, Testbed.links(read, "n*", "u3").size());
        assertTrue(Testbed.links(read, "u3", "n1").get(0).reversed());
        assertEquals(2, read.load().tries());
    }

    /** Columns: a line of the good file, its replacement, and the expected error message. */
    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            balancers = 2 | balancers = "two" | 3: fleet.balancers: a whole number is wanted, not "two"
            balancers = 2 | balancers = 0 | 3: fleet.balancers: a number from 1 to 500 is wanted, not 0
            balancers = 2 | balancer = 2 | 3: fleet.balancer: there is no such key
            count = 4 | count = 90000 | 6: upstreams.count: a number from 1 to 10000 is wanted, not 90000
            effect = "idempotent" | effect = "" | 9: class.effect: text is wanted, not ""
            work_ms = 10 | # none | 7: class.work_ms: is missing
            duration_s = 10 | duration_s = 2.5 | 18: fault.for_s: goes on longer than the load
            target = "n0" | target = "n7" | 16: fault.target: there is no 'n7'
            target = "n0" | target = "u0" | 16: fault.target: pause is not for 'u0'
            target = "n0" | to = "n0" | 16: fault.to: does not belong to pause
            kind = "pause" | kind = "sleep" | 15: fault.kind: one of KINDS is wanted, not 'sleep'
            kind = "pause" | kind = "upgrade" | 18: fault.for_s: upgrade has no length
            to = "u3" | to = "u9" | 22: fault.to: there is no link from 'n*' to 'u9'
            at_s = 4 | when = "n5" | 23: fault.when: there is no process 'n5'
            [load] | [load | 11: Newline not permitted here
            """)
    void errorsNameFileLineAndKey(String line, String instead, String said) {
        String changed = GOOD.replaceFirst(Pattern.quote(line),
                Matcher.quoteReplacement(instead));
        assertNotEquals(GOOD, changed);
        ExperimentException told = assertThrows(ExperimentException.class, () -> read(changed));
        String kinds = String.join(", ", Stream.of(Fault.Kind.values()).map(TomlTable::word).toList());
        assertEquals(folder.resolve("e.toml") + ":" + said.replace("KINDS", kinds), told.getMessage());
    }

    @Test
    void allExperimentFilesAreValid() throws Exception {
        try (Stream<Path> files = Files.list(Path.of("lab/experiments"))) {
            List<Path> all = files.toList();
            assertFalse(all.isEmpty());
            for (Path file : all) {
                assertEquals(file.getFileName().toString(), ExperimentReader.read(file).name() + ".toml");
            }
        }
    }

    @Test
    void drawsAreRepeatableAndValid() throws Exception {
        read(GOOD);
        Set<Fault.Kind> wanted = new HashSet<>(List.of(Fault.Kind.values()));
        wanted.remove(Fault.Kind.UPGRADE);
        wanted.remove(Fault.Kind.PART);
        assertEquals(wanted, drawn(TomlTable.read(folder.resolve("e.toml"))),
                "upgrades need admin endpoints, and a partition needs two regions");
    }

    @Test
    void fleetWithAdminEndpointsAndRegionsDrawsAllKinds() throws Exception {
        assertEquals(Set.of(Fault.Kind.values()),
                drawn(TomlTable.read(Path.of("lab/experiments/size.toml"))));
    }

    /** Returns the kinds that are drawn over many seeds. */
    private Set<Fault.Kind> drawn(TomlTable base) throws Exception {
        Experiment experiment = ExperimentReader.read(base);
        Set<Fault.Kind> kinds = new HashSet<>();
        for (long seed = 0; seed < 300; seed++) {
            List<ObjectNode> drawn = FaultDraw.draw(experiment, seed);
            assertEquals(drawn, FaultDraw.draw(experiment, seed));
            Path written = folder.resolve("drawn.toml");
            base.with("fault", drawn).write(written);
            List<Fault> faults = ExperimentReader.read(written).faults();
            assertEquals(ExperimentReader.read(base.with("fault", drawn)).faults(), faults);
            faults.forEach(fault -> kinds.add(fault.kind()));
        }
        return kinds;
    }

    @Test
    void shrinkingKeepsOnlyTheCauses() {
        Random random = new Random(1);
        for (int i = 0; i < 500; i++) {
            List<Integer> whole = IntStream.range(0, 1 + random.nextInt(12)).boxed().toList();
            Set<Integer> culprits = new HashSet<>();
            for (int j = 0; j <= random.nextInt(3); j++) {
                culprits.add(random.nextInt(whole.size()));
            }
            List<List<Integer>> tried = new ArrayList<>();
            List<Integer> small = Shrinker.shrink(whole, 1_000, part -> {
                tried.add(part);
                return part.containsAll(culprits);
            });
            assertEquals(culprits, new HashSet<>(small));
            assertEquals(whole, Shrinker.shrink(whole, 1_000, part -> false), "no part fails");
            int bound = random.nextInt(4);
            int[] count = {0};
            Shrinker.shrink(whole, bound, part -> ++count[0] > 0);
            assertTrue(count[0] <= bound);
        }
    }
}
