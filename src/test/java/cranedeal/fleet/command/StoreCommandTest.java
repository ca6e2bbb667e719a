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

/** What an operator does with a damaged folder, by the command line. */
class StoreCommandTest {

    private static final ReplayHandler NOBODY = new ReplayHandler() {
        @Override
        public void snapshotChunk(byte[] piece) {
            throw new AssertionError("there is none");
        }

        @Override
        public void record(Record record) {
            // Not asked here.
        }
    };

    @TempDir
    Path folder;

    private String said;

    private int fleet(String... arguments) {
        PrintStream before = System.out;
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        System.setOut(new PrintStream(out, true, StandardCharsets.UTF_8));
        try {
            return Program.run(Map.of(), arguments);
        } finally {
            System.setOut(before);
            said = out.toString(StandardCharsets.UTF_8);
        }
    }

    @Test
    void aDamagedFolderIsVerifiedRepairedAndDumped() throws Exception {
        try (Store store = Store.open(new FolderDisk(folder), StoreLimits.DEFAULT, NOBODY)) {
            for (String text : new String[] {"ban u1", "ban u2", "drain n0"}) {
                store.append(7, text.getBytes(StandardCharsets.UTF_8));
                store.force();
            }
        }
        assertEquals(0, fleet("fleet", "store", "verify", folder.toString()));
        assertTrue(said.contains("3 records"), said);
        Path file;
        try (var files = Files.list(folder)) {
            file = files.filter(path -> path.getFileName().toString().startsWith("journal")).findFirst()
                    .orElseThrow();
        }
        byte[] bytes = Files.readAllBytes(file);
        bytes[bytes.length / 2] ^= 1;
        Files.write(file, bytes);
        assertEquals(1, fleet("fleet", "store", "verify", folder.toString()));
        assertEquals(1, fleet("fleet", "store", "dump", folder.toString()));
        assertEquals("{\"sequence\":1,\"type\":7,\"text\":\"ban u1\"}\n", said);
        assertEquals(0, fleet("fleet", "store", "repair", folder.toString(), "--json"));
        assertTrue(said.contains("\"dropped_count\":1,") && said.contains("\"dropped\":[3]"), said);
        assertEquals(0, fleet("fleet", "store", "verify", folder.toString(), "--json"));
        assertTrue(said.contains("\"last\":1,"), said);
        assertEquals(2, fleet("fleet", "store", "verify", folder.resolve("none").toString()));
    }
}
