package cranedeal.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A process with the memory of service, beside callers that ask for as much of it as they can. */
@Timeout(120)
class HostileCallersTest {

    private static final int UPSTREAMS = 4;
    /** Callers that hold connections; a third of the descriptors may go to those with requests. */
    private static final int SLOW_CALLERS = 330;
    private static final int LARGE_BYTES = 4_000_000;
    private static final int SHORT_FIELDS = 3_000;
    private static final int REQUESTS = 100;
    private static final int REQUEST_EVERY_MS = 40;
    private static final int TIME_MS = 2_000;
    private static final int GRACE_MS = 550;
    private static final double MIN_SERVED_SHARE = 0.9;
    private static final long MAX_MEMORY_KB = 192 << 10;
    private static final int REQUESTS_A_WRITE = 500;
    private static final int READ_BYTES = 1 << 16;
    private static final String LARGE = "large";

    private volatile boolean ended;
    private final AtomicInteger written = new AtomicInteger();

    /** What one caller sends at full speed. */
    enum Flood {
        HEALTH_CHECKS {
            @Override
            String request(int number) {
                return NodeFixture.HEALTH;
            }
        },
        NEW_NAMES {
            @Override
            String request(int number) {
                return "GET /name" + number + " HTTP/1.1\r\nHost: app.svc\r\nX-Txn: t" + number
                        + "\r\nX-Lane: name" + number + "\r\nX-Org: org" + number
                        + "\r\nX-Remaining: 1\r\n\r\n";
            }
        },
        UNSOUND {
            @Override
            String request(int number) {
                return "GET /look-up/7 HTTP/1.1\r\nHost: app.svc\r\nX-Txn: t" + number
                        + "\r\nX-Lane: look-up\r\nX-Remaining: soon\r\n\r\n";
            }
        },
        MALFORMED {
            @Override
            String request(int number) {
                return "nonsense " + number + "\r\n\r\n";
            }
        };

        abstract String request(int number);
    }

    private static void serve(HttpPeer connection) {
        try {
            while (true) {
                boolean large = LARGE.equals(connection.readHead().get("x-txn"));
                connection.write(NodeFixture.ok(large ? "x".repeat(LARGE_BYTES) : "well"));
            }
        } catch (IOException | NullPointerException e) {
            // The connection has ended.
        }
    }

    private interface Step {
        void run() throws Exception;
    }

    private void startThread(Step step) {
        Thread thread = new Thread(() -> {
            while (!ended) {
                try {
                    step.run();
                } catch (IOException e) {
                    // The process has closed the connection, and takes another.
                } catch (Exception e) {
                    return;
                }
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Sends small requests on new connections beside what others do, and holds the process to its rules. */
    private void assertServesOthers(NodeProcess node) throws Exception {
        Map<String, Integer> ends = new TreeMap<>();
        long longestMs = 0;
        for (int i = 0; i < REQUESTS; i++) {
            Thread.sleep(REQUEST_EVERY_MS);
            long sentAt = System.nanoTime();
            ends.merge(node.small(TIME_MS, GRACE_MS), 1, Integer::sum);
            longestMs = Math.max(longestMs, (System.nanoTime() - sentAt) / 1_000_000);
        }
        ended = true;
        long memoryKb = node.peakMemoryKb();
        System.out.println(ends + ", " + longestMs + " ms at most, " + memoryKb + " KB, " + written
                + " written");
        assertTrue(node.process.isAlive());
        assertEquals(REQUESTS, ends.getOrDefault("200", 0) + ends.getOrDefault("503", 0), ends::toString);
        assertTrue(ends.getOrDefault("200", 0) >= MIN_SERVED_SHARE * REQUESTS, ends::toString);
        assertTrue(memoryKb <= MAX_MEMORY_KB, memoryKb + " KB");
        assertEquals(List.of(), node.log().stream().filter(line -> line.contains("OutOfMemory")).toList());
    }

    private NodeProcess start(NodeFixture fixture) throws Exception {
        NodeProcess node = new NodeProcess(fixture, fixture.discovery.address(), MemorySoakTest.JVM_OPTIONS,
                Main.class);
        fixture.upstreams.forEach(upstream -> upstream.serveEach(HostileCallersTest::serve));
        HttpPeer.connectWhenServing(node.address, node.process).close();
        return node;
    }

    /** Guards against one caller that takes all the time of the process, or fills its memory by new names. */
    @ParameterizedTest
    @EnumSource
    void othersAreServedWhileOneCallerSendsAtFullSpeed(Flood flood) throws Exception {
        try (NodeFixture fixture = new NodeFixture(UPSTREAMS); NodeProcess node = start(fixture)) {
            startThread(() -> {
                try (HttpPeer caller = HttpPeer.connect(node.address)) {
                    Thread reader = new Thread(() -> readAll(caller));
                    reader.setDaemon(true);
                    reader.start();
                    while (!ended) {
                        StringBuilder requests = new StringBuilder();
                        for (int i = 0; i < REQUESTS_A_WRITE; i++) {
                            requests.append(flood.request(written.incrementAndGet()));
                        }
                        caller.write(requests.toString());
                    }
                }
            });
            assertServesOthers(node);
        }
    }

    private static void readAll(HttpPeer caller) {
        try {
            InputStream in = caller.socket.getInputStream();
            byte[] bytes = new byte[READ_BYTES];
            while (in.read(bytes) >= 0) {
                Thread.onSpinWait();
            }
        } catch (IOException e) {
            // The connection has ended.
        }
    }

    /** Guards against memory that grows with callers that are slow, stop, or send many fields. */
    @Test
    void hundredsOfSlowCallersLeaveOthersServedAndTheMemoryBounded() throws Exception {
        try (NodeFixture fixture = new NodeFixture(UPSTREAMS); NodeProcess node = start(fixture)) {
            List<Step> kinds = new ArrayList<>();
            kinds.add(() -> writeSlowly(node, NodeFixture.spend("slow", "x".repeat(LARGE_BYTES / 10))));
            kinds.add(() -> stopHalfWay(node));
            kinds.add(() -> writeSlowly(node, NodeFixture.get("fields", "2").replace("\r\n\r\n",
                    "\r\n" + "a:\r\n".repeat(SHORT_FIELDS) + "\r\n")));
            kinds.add(() -> readSlowly(node));
            for (int i = 0; i < SLOW_CALLERS; i++) {
                startThread(kinds.get(i % kinds.size()));
            }
            assertServesOthers(node);
        }
    }

    private void writeSlowly(NodeProcess node, String request) throws Exception {
        try (HttpPeer caller = HttpPeer.connect(node.address)) {
            int piece = 3_200;
            for (int at = 0; at < request.length() && !ended; at += piece) {
                caller.write(request.substring(at, Math.min(request.length(), at + piece)));
                written.incrementAndGet();
                Thread.sleep(50);
            }
            caller.read();
        }
    }

    private void stopHalfWay(NodeProcess node) throws Exception {
        try (HttpPeer caller = HttpPeer.connect(node.address)) {
            String request = NodeFixture.spend("half", "x".repeat(LARGE_BYTES));
            caller.write(request.substring(0, request.length() / 2));
            caller.awaitClose();
        }
    }

    private void readSlowly(NodeProcess node) throws Exception {
        try (HttpPeer caller = HttpPeer.connect(node.address)) {
            caller.write(NodeFixture.get(LARGE, "2"));
            byte[] bytes = new byte[READ_BYTES / 10];
            while (!ended && caller.socket.getInputStream().read(bytes) >= 0) {
                Thread.sleep(100);
            }
        }
    }
}
