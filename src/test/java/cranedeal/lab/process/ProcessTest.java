package cranedeal.lab.process;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cranedeal.lab.Processes;
import cranedeal.lab.link.AddressBlock;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests child processes: their end together with the lab, signals, disk faults, and damage to their files.
 */
class ProcessTest {

    @TempDir
    Path folder;

    @ParameterizedTest
    @ValueSource(strings = {"KILL", "TERM", "INT"})
    void childrenEndWithTheLabHoweverItEnds(String signal) throws Exception {
        try (ProcessSupervisor supervisor = new ProcessSupervisor();
                AddressBlock addresses = AddressBlock.reserve()) {
            Path log = folder.resolve("nursery.log");
            ChildProcess lab = supervisor.start("nursery", Processes.java(SupervisorMain.class,
                    folder.resolve("children.log").toString(), addresses.ip(1).getHostAddress(), "9001",
                    "9002"), Map.of(), log);
            Processes.awaitCondition(() -> lab.logContains("ready") || !lab.isAlive());
            Matcher ids = Pattern.compile("children (\\d+) (\\d+)").matcher(Files.readString(log));
            assertTrue(ids.find(), Files.readString(log));
            List<ProcessHandle> children = Stream.of(ids.group(1), ids.group(2))
                    .map(id -> ProcessHandle.of(Long.parseLong(id)).orElseThrow()).toList();
            lab.signal(signal);
            for (ProcessHandle child : children) {
                Processes.awaitCondition(() -> !child.isAlive());
            }
        }
    }

    @Test
    void childDoesNotStartIfItsParentIsGone() throws Exception {
        // The guard of ProcessSupervisor, with another process's id in place of the lab's.
        Path marker = folder.resolve("started");
        Process guarded = new ProcessBuilder("sh", "-c", "test \"$PPID\" = \"$0\" && exec \"$@\"", "1",
                "touch", marker.toString()).start();
        assertTrue(guarded.waitFor(1, TimeUnit.MINUTES));
        assertFalse(Files.exists(marker));
    }

    @Test
    void pausedProcessContinuesAndUsageIsReported() throws Exception {
        try (ProcessSupervisor supervisor = new ProcessSupervisor();
                AddressBlock addresses = AddressBlock.reserve()) {
            ChildProcess child = Processes.start(supervisor, cranedeal.lab.Echo.class,
                    addresses.ip(1).getHostAddress(),
                    "9001");
            assertTrue(child.usage().orElseThrow().rssKb() > 1_000);
            child.signal("STOP");
            Path stat = Path.of("/proc", Long.toString(child.pid()), "stat");
            Processes.awaitCondition(() -> Files.readString(stat).contains(") T "));
            child.signal("CONT");
            Processes.awaitCondition(() -> !Files.readString(stat).contains(") T "));
            child.kill();
            assertEquals(137, child.onExit().get(1, TimeUnit.MINUTES));
            assertTrue(child.usage().isEmpty());
        }
    }

    @Test
    void writesFailWhileTheDiskIsFullOrReadOnly() throws Exception {
        try (ProcessSupervisor supervisor = new ProcessSupervisor()) {
            Path written = Files.createDirectory(folder.resolve("disk"));
            ChildProcess child = Processes.start(supervisor, Writer.class, written.toString());
            Processes.awaitCondition(() -> Files.exists(written.resolve("wrote")));
            child.setDiskFull(true);
            Processes.awaitCondition(() -> Files.exists(written.resolve("full")));
            child.setDiskFull(false);
            Files.delete(written.resolve("wrote"));
            Processes.awaitCondition(() -> Files.exists(written.resolve("wrote")));
            DiskFault.setReadOnly(written, true);
            Processes.awaitCondition(() -> child.logContains("AccessDenied"));
            DiskFault.setReadOnly(written, false);
            Files.delete(written.resolve("wrote"));
            Processes.awaitCondition(() -> Files.exists(written.resolve("wrote")));
        }
    }

    @Test
    void eachDiskFaultDamagesOnlyTheNewestFile() throws IOException {
        byte[] old = new byte[2_000];
        byte[] whole = new byte[1_300];
        Arrays.fill(whole, (byte) 7);
        for (DiskFault fault : DiskFault.values()) {
            Path first = folder.resolve("a");
            Path newest = folder.resolve("b");
            Files.write(first, old);
            Files.write(newest, whole);
            Files.setLastModifiedTime(first, FileTime.fromMillis(1_000));
            assertEquals(newest, fault.apply(folder, new SplittableRandom(1)));
            assertArrayEquals(old, Files.readAllBytes(first));
            byte[] now = Files.readAllBytes(newest);
            int differs = 0;
            for (int i = 0; i < now.length; i++) {
                differs += now[i] == whole[i] ? 0 : 1;
            }
            switch (fault) {
                case TORN_TAIL -> assertTrue(now.length < whole.length && differs == 0);
                case FLIPPED_BIT -> assertTrue(now.length == whole.length && differs == 1);
                default -> assertTrue(now.length == whole.length && differs == 1_300 - 1_024);
            }
        }
        assertThrows(IOException.class,
                () -> DiskFault.TORN_TAIL.apply(Files.createDirectory(folder.resolve("c")),
                        new SplittableRandom(1)));
    }
}
