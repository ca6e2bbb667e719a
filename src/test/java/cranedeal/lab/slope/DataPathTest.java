package cranedeal.lab.slope;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import cranedeal.fleet.command.Program;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests what the data path's bench counts; it asserts no speeds. */
@Timeout(300)
class DataPathTest {

    @TempDir
    Path folder;

    @Test
    void eachCallIsCountedOnceByHowItEnded() throws Exception {
        EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (Answers server = new Answers("200", "503", "500", "gone")) {
            DataPathClient client = new DataPathClient(loops.next());
            DataPathClient.Results block = client.run(List.of(server.address()), 400, 0.5, 7);
            assertEquals(server.taken(), block.calls());
            assertTrue(block.calls() > 100, block.calls() + " calls");
            assertEquals(0, block.unanswered());
            for (long count : new long[] {block.served(), block.refused(), block.failed() / 2}) {
                assertEquals(block.calls() / 4.0, count, 1);
            }
            assertEquals(block.calls(), block.served() + block.refused() + block.failed());
            assertEquals(block.served(), block.latency().getTotalCount());
            assertEquals(block.calls(), block.lateness().getTotalCount());
            // The same seed gives the same calls again.
            assertEquals(block.calls(), client.run(List.of(server.address()), 400, 0.5, 7).calls());
        } finally {
            loops.shutdownGracefully().syncUninterruptibly();
        }
    }

    @Test
    void whatIsAllocatedIsCountedBetweenCollections() {
        String log = """
                [0.500s] GC(0) Eden: 5000K(6656K)->0K(6656K) From: 0K(832K)->832K(832K)
                [1.000s] GC(1) Eden: 6000K(6656K)->0K(6656K) From: 832K(832K)->831K(832K)
                [1.001s] GC(1) Pause Young (Allocation Failure) 9M->3M(24M) 0.866ms
                [2.500s] GC(2) Eden: 6656K(6656K)->0K(6656K) From: 831K(832K)->830K(832K)
                """;
        assertEquals(1_024.0 * (6_000 + 6_656) / 2, DataPathBench.allocatedPerS(log), 1e-6);
        assertTrue(Double.isNaN(DataPathBench.allocatedPerS(log.lines().findFirst().orElseThrow())));
        assertTrue(Double.isNaN(DataPathBench.allocatedPerS("")));
    }

    @Test
    void aShortStudyPlaysPairsOfTheSameCallsThroughARealBalancer() throws Exception {
        Path json = folder.resolve("data-path.json");
        assertEquals(0, Program.run(Map.of(), "lab", "slope", "data-path", "--rates", "20,40,60,80",
                "--lists", "2,3", "--seconds", "0.5", "--pairs", "2", "--warm-up", "0.5", "--json",
                json.toString()));
        JsonNode report = new JsonMapper().readTree(json.toFile());
        for (String list : List.of("list-2", "list-3")) {
            for (int rate : new int[] {20, 40, 60, 80}) {
                String place = "-" + list + "-at-" + rate;
                JsonNode through = report.at("/setup/counts/through" + place);
                JsonNode direct = report.at("/setup/counts/direct" + place);
                assertEquals(2, through.size());
                assertEquals(2, direct.size());
                for (int pair = 0; pair < 2; pair++) {
                    assertEquals(direct.get(pair).get("calls"), through.get(pair).get("calls"));
                    assertEquals(direct.get(pair).get("calls"), direct.get(pair).get("served"));
                    assertWhole(through.get(pair));
                }
            }
            for (String series : List.of("added-p50-", "added-p99-", "added-p999-", "direct-p50-", "cpu-",
                    "generator-late-p99-")) {
                JsonNode points = report.at("/series/" + series + list + "/points");
                assertEquals(4, points.size(), series);
                points.forEach(point -> assertEquals(2, point.get("values").size(), series));
            }
            assertTrue(report.at("/setup/rss_kb/" + list.substring("list-".length())).asLong() > 0);
            assertWhole(report.at("/setup/warm_up/" + list.substring("list-".length())));
        }
    }

    private static void assertWhole(JsonNode counts) {
        long ended = 0;
        for (String end : List.of("served", "refused", "failed", "unanswered")) {
            assertTrue(counts.hasNonNull(end), end);
            ended += counts.get(end).asLong();
        }
        assertEquals(counts.get("calls").asLong(), ended);
    }

    @Test
    void connectionsAreCountedByTheMemoryOfARealBalancer() throws Exception {
        Path json = folder.resolve("connections.json");
        assertEquals(0, Program.run(Map.of(), "lab", "slope", "connections", "--connections", "4,1,2,3",
                "--upstreams", "2", "--repeat", "1", "--warm-up", "0.5", "--json", json.toString()));
        JsonNode points = new JsonMapper().readTree(json.toFile()).at("/series/rss/points");
        assertEquals(List.of("1", "2", "3", "4"), List.copyOf(points.properties().stream()
                .map(Map.Entry::getKey).toList()));
        points.forEach(point -> assertTrue(point.get("median").asDouble() > 0));
    }

    @Test
    void rejectsOptionsThatGiveNoLine() {
        for (String[] wrong : new String[][] {{"data-path", "--rates", "1,2,3"},
            {"data-path", "--along", "lists"}, {"data-path", "--along", "zones"},
            {"data-path", "--rates", "0,1,2,3"}, {"data-path", "--lists", "0"}, {"data-path", "--pairs", "0"},
            {"data-path", "--seconds", "0"}, {"connections", "--connections", "1,2,3"}}) {
            String[] line = new String[wrong.length + 2];
            line[0] = "lab";
            line[1] = "slope";
            System.arraycopy(wrong, 0, line, 2, wrong.length);
            assertEquals(Program.USAGE_ERROR, Program.run(Map.of(), line), String.join(" ", line));
        }
    }

    /** A server that cycles through its answers across all connections. */
    private static final class Answers implements AutoCloseable {

        private final ServerSocket server = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
        private final AtomicInteger taken = new AtomicInteger();

        Answers(String... turns) throws IOException {
            Thread thread = new Thread(() -> {
                try {
                    while (true) {
                        Socket socket = server.accept();
                        Thread answers = new Thread(() -> answer(socket, turns));
                        answers.setDaemon(true);
                        answers.start();
                    }
                } catch (IOException e) {
                    // The test is over.
                }
            });
            thread.setDaemon(true);
            thread.start();
        }

        private void answer(Socket from, String... turns) {
            try (Socket socket = from) {
                BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream(),
                        StandardCharsets.ISO_8859_1));
                for (String line = in.readLine(); line != null; line = in.readLine()) {
                    if (!line.isEmpty()) {
                        continue;
                    }
                    String turn = turns[taken.getAndIncrement() % turns.length];
                    if (turn.equals("gone")) {
                        return;
                    }
                    socket.getOutputStream().write(("HTTP/1.1 " + turn + " Turn\r\nContent-Length: 0\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
                }
            } catch (IOException e) {
                // The client has gone.
            }
        }

        InetSocketAddress address() {
            return (InetSocketAddress) server.getLocalSocketAddress();
        }

        int taken() {
            return taken.get();
        }

        @Override
        public void close() throws IOException {
            assertFalse(server.isClosed());
            server.close();
        }
    }
}
