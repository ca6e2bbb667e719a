package cranedeal.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that operators' overrides are read as they were written, and that a damaged file is no error. */
class OperatorOverridesTest {

    @TempDir
    private Path folder;

    @Test
    void overridesAreReadAsWritten() throws Exception {
        assertEquals(OperatorOverrides.NONE, OperatorOverrides.read(folder));
        OperatorOverrides overrides = OperatorOverrides.NONE.withUpstream("s-1", true)
                .withUpstream("a b\nc\u0905", true).withDraining(true).withReload();
        overrides.write(folder);
        assertEquals(overrides, OperatorOverrides.read(folder));
        OperatorOverrides fewer = overrides.withUpstream("s-1", false).withDraining(false);
        fewer.write(folder);
        assertEquals(new OperatorOverrides(Set.of("a b\nc\u0905"), false, 1), OperatorOverrides.read(folder));
        try (var files = Files.list(folder)) {
            assertEquals(1, files.count());
        }
    }

    @Test
    void validLinesOfADamagedFileAreRead() throws Exception {
        Files.write(folder.resolve("orders"), new byte[] {'o', 'u', 't', ' ', 's', '\n', -1, 0, '\n',
            'o', 'u', 't', ' ', '%', 'z', '\n', 'd', 'r', '\n', 'r', 'e', 'l', 'o', 'a', 'd', 's', ' ', 'x'});
        assertEquals(new OperatorOverrides(Set.of("s", "%z"), false, 0), OperatorOverrides.read(folder));
        Files.write(folder.resolve("orders"), new byte[2 << 20]);
        assertEquals(OperatorOverrides.NONE, OperatorOverrides.read(folder));
    }
}
