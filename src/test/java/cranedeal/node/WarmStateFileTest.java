package cranedeal.node;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import cranedeal.LoadBalancer.WarmState;
import cranedeal.LoadBalancer.WarmState.ClassState;
import cranedeal.LoadBalancer.WarmState.UpstreamState;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import java.util.zip.CRC32C;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that warm-start state is read exactly as it was written, or rejected. */
class WarmStateFileTest {

    @TempDir
    private Path folder;

    private static UpstreamState upstream(int id) {
        return new UpstreamState(id - 5L, 17, 18.5, 900, 3.25, 4, id, id + 1, new double[] {1, 2},
                new double[] {id, 0.1});
    }

    private static WarmStateFile.Snapshot snapshot(int upstreams) {
        return new WarmStateFile.Snapshot(1e12 + 0.5,
                new WarmState(List.of(new ClassState("look \"up\"", 7, 0, 2.5),
                new ClassState("book", 1e-9, 3, 10)), IntStream.range(0, upstreams)
                        .mapToObj(WarmStateFileTest::upstream).toList()));
    }

    @Test
    void aFlippedByteOrATruncatedFileIsRejected() throws IOException {
        WarmStateFile file = new WarmStateFile(folder.resolve("made"));
        assertNull(file.read());
        file.write(snapshot(1));
        file.write(snapshot(2));
        WarmStateFile.Snapshot read = file.read();
        assertEquals(snapshot(2).savedAt(), read.savedAt());
        assertEquals(snapshot(2).state().classes(), read.state().classes());
        assertEquals(-4, read.state().upstreams().get(1).id());
        assertEquals(18.5, read.state().upstreams().get(1).startedAt());
        assertArrayEquals(new double[] {1, 0.1}, read.state().upstreams().get(1).attemptsByClass());
        Path path = folder.resolve("made/learnt");
        byte[] whole = Files.readAllBytes(path);
        for (int at = 0; at < whole.length; at++) {
            byte[] flipped = whole.clone();
            flipped[at] ^= (byte) (1 << at % 8);
            Files.write(path, flipped);
            assertThrows(IOException.class, file::read, "byte " + at);
            Files.write(path, Arrays.copyOf(whole, at));
            assertThrows(IOException.class, file::read, "length " + at);
        }
    }

    @Test
    void aNewerFormatAndInvalidNumbersAreRejected() throws IOException {
        WarmStateFile file = new WarmStateFile(folder);
        file.write(snapshot(1));
        String json = Files.readString(folder.resolve("learnt")).substring(9);
        for (String wrong : List.of(json.replace("\"form\":1", "\"form\":2"),
                json.replace("\"known\":900.0", "\"known\":-1"),
                json.replace("\"answers\":4.0", "\"answers\":1e999"),
                json.replace("\"tries\":[0.0,0.1]", "\"tries\":[0.0]"))) {
            CRC32C sum = new CRC32C();
            sum.update(wrong.getBytes(StandardCharsets.UTF_8));
            Files.writeString(folder.resolve("learnt"), String.format("%08x\n", sum.getValue()) + wrong);
            assertThrows(IOException.class, file::read, wrong);
        }
        assertNull(new WarmStateSaver(file, new Clock()).read(), "an invalid file is only logged");
        file.write(new WarmStateFile.Snapshot(new Clock().now() + 1e7, snapshot(1).state()));
        assertNull(new WarmStateSaver(file, new Clock()).read(), "the timestamp is in the future");
    }

    @Test
    void onlyTheUpstreamsWithTheMostAttemptsAreSaved() throws IOException {
        WarmStateFile file = new WarmStateFile(folder);
        file.write(snapshot(100_000));
        List<UpstreamState> read = file.read().state().upstreams();
        assertEquals(WarmStateFile.MAX_UPSTREAMS, read.size());
        assertEquals(100_000 - WarmStateFile.MAX_UPSTREAMS,
                read.stream().mapToDouble(UpstreamState::totalServed).min().orElseThrow());
    }
}
