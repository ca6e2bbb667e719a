package cranedeal.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cranedeal.lab.process.ChildProcess;
import cranedeal.lab.process.ProcessSupervisor;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against the loss of acknowledged records. A process with a store is killed repeatedly while it
 * writes, takes snapshots and recovers. The property {@code lab.kills} sets the number of kills, 8 by
 * default.
 */
class KilledStoreTest {

    @TempDir
    Path folder;

    @Test
    void acknowledgedRecordsSurviveKills() throws Exception {
        SplittableRandom random = new SplittableRandom(1);
        int rounds = Integer.getInteger("lab.kills", 8);
        long kept = 0;
        Path store = Files.createDirectory(folder.resolve("store"));
        try (ProcessSupervisor supervisor = new ProcessSupervisor()) {
            for (int round = 0; round < rounds; round++) {
                Path log = folder.resolve("round" + round);
                ChildProcess child = supervisor.start("appender", Processes.java(Appender.class,
                        store.toString()),
                        Map.of(), log);
                // One kill in four comes before or during recovery, the others under load.
                long until = random.nextInt(4) == 0 ? 0 : kept + 1 + random.nextInt(4_000);
                String wanted = until == 0 ? "" : "kept " + until + "\n";
                Processes.awaitCondition(() -> child.logContains(wanted) || !child.isAlive());
                assertTrue(child.isAlive(), () -> "the process exited by itself: " + read(log));
                child.kill();
                child.onExit().join();
                for (String line : Files.readAllLines(log)) {
                    String[] words = line.split(" ");
                    long number = words.length > 1 ? Long.parseLong(words[1]) : 0;
                    if (words[0].equals("recovered")) {
                        assertTrue(number >= kept, line + ", but " + kept + " were acknowledged");
                        assertEquals(number, Long.parseLong(words[2]), "each record counts once");
                    }
                    kept = Math.max(kept, number);
                }
            }
        }
        System.out.println(kept + " records acknowledged over " + rounds + " kills");
        assertTrue(kept > 0);
    }

    private static List<String> read(Path log) {
        try {
            return Files.readAllLines(log);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }
}
