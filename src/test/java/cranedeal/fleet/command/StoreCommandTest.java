package cranedeal.fleet.command;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cranedeal.fleet.store.FolderDisk;
import cranedeal.fleet.store.Record;
import cranedeal.fleet.store.ReplayHandler;
import cranedeal.fleet.store.Store;
import cranedeal.fleet.store.StoreLimits;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs the store commands on a damaged folder: verify finds the damage, repair cuts it out, dump prints
 * records.
 */
class StoreCommandTest {

    private static final ReplayHandler NO_SNAPSHOT_EXPECTED = new ReplayHandler() {
        @Override
        public void snapshotChunk(byte[] piece) {
            throw new AssertionError("unexpected snapshot");
        }

        @Override
        public void record(Record record) {
            // Records are checked through the commands' output.
        }
    };

    @TempDir
    Path folder;

    private String output;

    private int runProgram(String... arguments) {
        PrintStream before = System.out;
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        System.setOut(new PrintStream(out, true, StandardCharsets.UTF_8));
        try {
            return Program.run(Map.of(), arguments);
        } finally {
            System.setOut(before);
            output = out.toString(StandardCharsets.UTF_8);
        }
    }

    @Test
    void verifyDumpAndRepairHandleADamagedFolder() throws Exception {
        try (Store store = Store.open(new FolderDisk(folder), StoreLimits.DEFAULT, NO_SNAPSHOT_EXPECTED)) {
            for (String text : new String[] {"ban u1", "ban u2", "drain n0"}) {
                store.append(7, text.getBytes(StandardCharsets.UTF_8));
                store.force();
            }
        }
        assertEquals(0, runProgram("fleet", "store", "verify", folder.toString()));
        assertTrue(output.contains("3 records"), output);
        Path file;
        try (var files = Files.list(folder)) {
            file = files.filter(path -> path.getFileName().toString().startsWith("journal")).findFirst()
                    .orElseThrow();
        }
        byte[] bytes = Files.readAllBytes(file);
        bytes[bytes.length / 2] ^= 1;
        Files.write(file, bytes);
        assertEquals(1, runProgram("fleet", "store", "verify", folder.toString()));
        assertEquals(1, runProgram("fleet", "store", "dump", folder.toString()));
        assertEquals("{\"sequence\":1,\"type\":7,\"text\":\"ban u1\"}\n", output);
        assertEquals(0, runProgram("fleet", "store", "repair", folder.toString(), "--json"));
        assertTrue(output.contains("\"dropped_count\":1,") && output.contains("\"dropped\":[3]"), output);
        assertEquals(0, runProgram("fleet", "store", "verify", folder.toString(), "--json"));
        assertTrue(output.contains("\"last\":1,"), output);
        assertEquals(2, runProgram("fleet", "store", "verify", folder.resolve("none").toString()));
    }
}
