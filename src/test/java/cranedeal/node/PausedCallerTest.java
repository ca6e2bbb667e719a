package cranedeal.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The program as a process, with requests that upstreams don't take as fast as their callers write them:
 * time runs on, and who has left is seen. {@code -Dseed=N} changes the draw.
 */
@Timeout(120)
class PausedCallerTest {

    private static final long SEED = Long.getLong("seed", 1);
    private static final int UPSTREAMS = 8;
    /** Of which so many never come up, where callers leave. */
    private static final int SILENT = 6;
    private static final int REQUESTS = 48;
    private static final int LATE_REQUESTS = 24;
    private static final int AT_ONCE = 24;
    private static final int SMALL_BYTES = 2_000;
    private static final int MIN_BYTES = 90_000;
    private static final int MAX_BYTES = 950_000;
    private static final int[] TIMES_MS = {2_000, 2_500};
    /** An answer half a second after its time only earns nothing, and sockets add 50 ms. */
    private static final int GRACE_MS = 550;
    private static final int MIN_STAY_MS = 40;
    private static final int MAX_STAY_MS = 200;
    /** How long after a caller has left an attempt may still begin. */
    private static final int BEGIN_GRACE_MS = 100;
    private static final int CONNECT_TIMEOUT_MS = 250;

    private static String request(String id, int bytes, int timeMs) {
        return "POST /credit-spend HTTP/1.1\r\nHost: app.svc\r\nX-Txn: " + id + "\r\nX-Lane: credit-spend\r\n"
                + "X-Remaining: " + timeMs / 1e3 + "\r\nContent-Length: " + bytes + "\r\n\r\n"
                + "x".repeat(bytes);
    }

    private static NodeProcess start(NodeFixture fixture, boolean littleMemory) throws Exception {
        return new NodeProcess(fixture, fixture.discovery.address(), List.of(),
                littleMemory ? LittleMemoryNode.class : Main.class);
    }

    private static long msSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }

    /** Writes a request at once; returns null if its final answer comes in time, or else what happened. */
    private static String late(NodeProcess node, String id, int bytes, int timeMs) throws IOException {
        try (HttpPeer caller = HttpPeer.connect(node.address)) {
            caller.write(request(id, bytes, timeMs));
            long writtenAt = System.nanoTime();
            HttpPeer.Message answer = caller.read();
            long took = msSince(writtenAt);
            return answer != null && took <= timeMs + GRACE_MS ? null
                    : id + " of " + bytes + " bytes, " + timeMs + " ms: " + took + " ms, "
                            + (answer == null ? "closed" : answer.status());
        }
    }

    /** Guards against a clock that stands still while a body waits for its upstream. */
    @ParameterizedTest
    @CsvSource({"HEAD, false", "START, false", "SLOWLY, false", "HEAD, true", "START, true", "SLOWLY, true"})
    void aLargeRequestIsAnsweredInItsTimeHoweverItsUpstreamReadsIt(SmallSegmentServer.Reading reading,
            boolean littleMemory) throws Exception {
        List<SmallSegmentServer> servers = new ArrayList<>();
        try (NodeFixture fixture = new NodeFixture(0)) {
            for (int i = 0; i < UPSTREAMS; i++) {
                servers.add(new SmallSegmentServer(reading));
                fixture.furtherUpstreams.add(servers.get(i).address());
            }
            fixture.connectTimeout = CONNECT_TIMEOUT_MS;
            try (NodeProcess node = start(fixture, littleMemory)) {
                HttpPeer.connectWhenServing(node.address, node.process).close();
                Random random = new Random(SEED);
                List<Callable<String>> plays = new ArrayList<>();
                for (int i = 0; i < LATE_REQUESTS; i++) {
                    String id = "late" + i;
                    int bytes = random.nextInt(MIN_BYTES, MAX_BYTES);
                    int timeMs = TIMES_MS[random.nextInt(TIMES_MS.length)];
                    plays.add(() -> late(node, id, bytes, timeMs));
                }
                assertEquals(List.of(), Plays.run(plays, AT_ONCE), () -> String.join("\n", node.log()));
            }
        } finally {
            servers.forEach(SmallSegmentServer::close);
        }
    }

    /** Guards against attempts for callers whose end lies behind bytes that are not read. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void noAttemptBeginsForALargeRequestWhoseCallerHasLeft(boolean littleMemory) throws Exception {
        List<AutoCloseable> servers = new ArrayList<>();
        List<SmallSegmentServer> up = new ArrayList<>();
        try (NodeFixture fixture = new NodeFixture(0)) {
            for (int i = 0; i < UPSTREAMS; i++) {
                if (i < SILENT) {
                    FullBacklog silent = new FullBacklog();
                    servers.add(silent);
                    fixture.furtherUpstreams.add(silent.address());
                } else {
                    SmallSegmentServer server = new SmallSegmentServer(SmallSegmentServer.Reading.ALL);
                    servers.add(server);
                    up.add(server);
                    fixture.furtherUpstreams.add(server.address());
                }
            }
            fixture.connectTimeout = CONNECT_TIMEOUT_MS;
            try (NodeProcess node = start(fixture, littleMemory)) {
                HttpPeer.connectWhenServing(node.address, node.process).close();
                Random random = new Random(SEED);
                Map<String, Long> leftAt = new ConcurrentHashMap<>();
                List<Callable<String>> plays = new ArrayList<>();
                for (int i = 0; i < REQUESTS; i++) {
                    String id = "left" + i;
                    int bytes = i % 2 == 0 ? SMALL_BYTES : random.nextInt(MIN_BYTES, MAX_BYTES);
                    int stayMs = random.nextInt(MIN_STAY_MS, MAX_STAY_MS);
                    plays.add(() -> {
                        HttpPeer caller = HttpPeer.connect(node.address);
                        caller.write(request(id, bytes, TIMES_MS[0]));
                        Thread.sleep(stayMs);
                        caller.close();
                        leftAt.put(id, System.nanoTime());
                        return null;
                    });
                }
                Plays.run(plays, AT_ONCE);
                Thread.sleep(TIMES_MS[0]);
                List<String> wrong = new ArrayList<>();
                up.forEach(server -> server.arrivals().forEach(arrival -> {
                    long after = TimeUnit.NANOSECONDS.toMillis(arrival.at() - leftAt.get(arrival.id()));
                    if (!arrival.whole() && after > BEGIN_GRACE_MS) {
                        wrong.add(arrival.id() + " began " + after + " ms after its caller had left");
                    }
                }));
                assertEquals(List.of(), wrong, () -> String.join("\n", node.log()));
            }
        } finally {
            for (AutoCloseable server : servers) {
                server.close();
            }
        }
    }
}
