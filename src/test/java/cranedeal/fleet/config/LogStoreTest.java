package cranedeal.fleet.config;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cranedeal.fleet.store.FolderDisk;
import cranedeal.fleet.store.StoreLimits;
import cranedeal.fleet.store.Record;
import cranedeal.fleet.store.Repair;
import cranedeal.fleet.store.ReplayHandler;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A coordinator's log on a real disk. */
class LogStoreTest {

    @TempDir
    Path folder;

    private LogStore open() throws IOException {
        return new LogStore(new FolderDisk(folder), warning -> {
            throw new AssertionError(warning);
        });
    }

    private static Version version(long number) {
        TreeMap<String, byte[]> sections = new TreeMap<>(CoordinatorSimulation.document("v" + number));
        byte[] large = new byte[ConfigDocument.MAX_SECTION_BYTES];
        java.util.Arrays.fill(large, (byte) ('a' + number % 3));
        sections.put("large", large);
        return Version.of(new VersionId(1, number), "me", 5, "o" + number, "", sections);
    }

    @Test
    void stateSurvivesReopeningAndSnapshotsKeepItSmall() throws Exception {
        Set<VersionId> ids = new TreeSet<>();
        long written = 0;
        for (int number = 1; number <= 40; number++) {
            try (LogStore store = open()) {
                if (number > 1) {
                    assertEquals(ids, store.state().versions.keySet());
                    assertEquals(new VersionId(1, number - 1), store.state().committed);
                    assertEquals(number - 1, store.state().promisedEpoch);
                    assertArrayEquals(version(number - 1).sections().get("large"),
                            store.state().current().sections().get("large"));
                    assertEquals(version(number - 1).manifest(), store.state().current().manifest());
                }
                store.promise(number, "127.0.0.1:1", number % 2 == 0);
                store.put(version(number));
                ids.add(new VersionId(1, number));
                ids.removeIf(id -> ids.size() > 4);
                store.retain(new TreeSet<>(ids), new VersionId(1, number));
            }
            long size = 0;
            try (var files = Files.list(folder)) {
                for (Path file : files.toList()) {
                    size += Files.size(file);
                }
            }
            written = Math.max(written, size);
        }
        assertTrue(written < 16L * ConfigDocument.MAX_SECTION_BYTES, "40 versions take up " + written);
        // The operators' verify command reads it too.
        Repair.verify(new FolderDisk(folder), StoreLimits.DEFAULT, new ReplayHandler() {

            @Override
            public void snapshotChunk(byte[] piece) {
                // Whole.
            }

            @Override
            public void record(Record record) {
                // Whole.
            }
        });
    }

    @Test
    void damagedJournalCannotBeOpened() throws Exception {
        try (LogStore store = open()) {
            // No snapshot replaces the first record; the second one shows that the first was forced to disk.
            store.put(version(1));
            store.put(version(2));
        }
        Path file;
        try (var files = Files.list(folder)) {
            file = files.filter(path -> path.getFileName().toString().startsWith("journal")).findFirst()
                    .orElseThrow();
        }
        byte[] bytes = Files.readAllBytes(file);
        bytes[bytes.length / 8] ^= 1;
        Files.write(file, bytes);
        assertThrows(IOException.class, this::open);
    }

    @Test
    void sectionOrManifestWithWrongChecksumIsRejected() throws Exception {
        Version version = version(1);
        assertThrows(IOException.class, () -> Version.join(version.manifest(), checksum -> new byte[] {1}));
        assertThrows(IOException.class, () -> Version.join(version.manifest(), checksum -> null));
        String manifest = version.manifest().json().toString();
        assertEquals(version.manifest(), Manifest.parse(Manifest.JSON.readTree(manifest)));
        assertThrows(IOException.class, () -> Manifest.parse(Manifest.JSON.readTree(
                manifest.replace("\"number\":1", "\"number\":2"))));
        assertThrows(IOException.class, () -> Manifest.parse(Manifest.JSON.readTree(
                manifest.replace("\"form\":1", "\"form\":2"))));
        Version back = Version.parse(Manifest.JSON.readTree(version.json().toString()));
        assertEquals(version.manifest(), back.manifest());
        assertArrayEquals(version.sections().get("large"), back.sections().get("large"));
    }
}
