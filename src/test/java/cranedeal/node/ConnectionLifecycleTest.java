package cranedeal.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Runs random sequences of events on a caller's connection: whole, split and pipelined requests, a close or a
 * reset, drains that start and stop, and an upstream that serves, fails, breaks off or stays silent. Whatever
 * the order, each request gets one answer or sees its connection end, none is sent twice, and none is left
 * in progress.
 */
@Timeout(120)
class ConnectionLifecycleTest {

    private static final int SEEDS = 60;
    private static final int STEPS = 12;

    /** The upstream: ids of the requests that it got, and connections that it has not answered. */
    private static final class Upstream {
        final Queue<HttpPeer> unanswered = new ConcurrentLinkedQueue<>();
        final Queue<String> seenIds = new ConcurrentLinkedQueue<>();

        /** Serves a connection; the start of a request's id says how to treat the request. */
        private void serve(HttpPeer peer) {
            try {
                for (HttpPeer.Message request = peer.read(); request != null; request = peer.read()) {
                    String id = request.header("X-Txn");
                    seenIds.add(id);
                    if (id.startsWith("serve")) {
                        peer.write(NodeFixture.ok("of-" + id));
                    } else if (id.startsWith("fail")) {
                        peer.write("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
                    } else if (id.startsWith("half")) {
                        peer.write("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nhalf");
                        peer.close();
                    } else if (id.startsWith("reset")) {
                        peer.reset();
                    } else {
                        unanswered.add(peer);
                    }
                }
            } catch (IOException e) {
                // The node or the test has closed the connection.
            }
        }
    }

    private static String request(String id, Random random) {
        return random.nextBoolean() ? NodeFixture.spend(id, "x") : NodeFixture.get(id, "10");
    }

    @Test
    void noRequestIsLeftOpenWhateverTheOrderOfEvents() throws Exception {
        for (int seed = 1; seed <= SEEDS; seed++) {
            try {
                runSequence(new Random(seed));
            } catch (AssertionError | IOException e) {
                throw new AssertionError("seed " + seed, e);
            }
        }
    }

    private static void runSequence(Random random) throws Exception {
        try (NodeFixture fixture = new NodeFixture()) {
            fixture.adminEnabled = true;
            Upstream upstream = new Upstream();
            fixture.upstreams.get(0).serveEach(upstream::serve);
            fixture.start();
            HttpPeer caller = fixture.caller();
            Queue<String> sentIds = new ArrayDeque<>();
            String[] behaviours = {"serve", "serve", "fail", "half", "reset", "hold"};
            boolean open = true;
            for (int step = 0; step < STEPS && open; step++) {
                String id = behaviours[random.nextInt(behaviours.length)] + step;
                switch (random.nextInt(8)) {
                    case 0, 1, 2 -> {
                        sentIds.add(id);
                        open = tryWrite(caller, request(id, random));
                    }
                    case 3 -> {
                        String later = "serve-" + id;
                        sentIds.add(id);
                        sentIds.add(later);
                        open = tryWrite(caller, request(id, random) + request(later, random));
                    }
                    case 4 -> {
                        String text = request(id, random);
                        sentIds.add(id);
                        open = tryWrite(caller, text.substring(0, text.length() / 2));
                        fixture.awaitReads();
                        open = open && tryWrite(caller, text.substring(text.length() / 2));
                    }
                    case 5 -> fixture.adminRequest("PUT", "/ops/drain/start");
                    case 6 -> fixture.adminRequest("PUT", "/ops/drain/stop");
                    default -> rejectOne(upstream);
                }
            }
            boolean leaves = random.nextBoolean();
            if (leaves) {
                leaveAndAssertNothingSent(fixture, upstream, caller, random);
            } else {
                readAndCheckAnswers(fixture, upstream, caller, sentIds);
            }
            assertEquals(new HashSet<>(upstream.seenIds).size(), upstream.seenIds.size(),
                    "sent twice: " + upstream.seenIds);
            assertNothingInFlight(fixture);
        }
    }

    private static boolean tryWrite(HttpPeer caller, String text) {
        try {
            caller.write(text);
            return true;
        } catch (IOException e) {
            // The node has closed the connection.
            return false;
        }
    }

    private static void rejectOne(Upstream upstream) {
        HttpPeer connection = upstream.unanswered.poll();
        if (connection != null) {
            tryWrite(connection, "HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n");
        }
    }

    /** Makes the caller leave, and asserts that nothing of it is sent on once the node has seen that. */
    private static void leaveAndAssertNothingSent(NodeFixture fixture, Upstream upstream, HttpPeer caller,
            Random random) throws Exception {
        if (random.nextBoolean()) {
            caller.close();
        } else {
            caller.reset();
        }
        // Everything that it wrote has been read once a later health check is answered.
        fixture.awaitReads();
        assertNothingInFlight(fixture);
        String before = dispatches(fixture);
        while (!upstream.unanswered.isEmpty()) {
            rejectOne(upstream);
        }
        fixture.awaitReads();
        assertEquals(before, dispatches(fixture));
    }

    /** Reads the answers: each must come once, in the order of the requests, up to a graceful close. */
    private static void readAndCheckAnswers(NodeFixture fixture, Upstream upstream, HttpPeer caller,
            Queue<String> sentIds)
            throws Exception {
        fixture.adminRequest("PUT", "/ops/drain/start");
        Thread rejecting = new Thread(() -> {
            while (!Thread.currentThread().isInterrupted()) {
                rejectOne(upstream);
                Thread.onSpinWait();
            }
        });
        rejecting.setDaemon(true);
        rejecting.start();
        try {
            List<String> answeredIds = new ArrayList<>();
            HttpPeer.Message answer = caller.read();
            while (answer != null) {
                String id = sentIds.remove();
                answeredIds.add(id);
                if (answer.status() == 200) {
                    assertEquals("of-" + id, answer.body(), "after " + answeredIds);
                } else {
                    assertTrue(answer.status() >= 500 && answer.body().isEmpty(), answer.toString());
                }
                answer = caller.read();
            }
            // An unanswered request was never sent on, so the caller can safely send it again elsewhere.
            sentIds.forEach(id ->
                    assertTrue(!upstream.seenIds.contains(id), id + " was sent on and not answered"));
        } finally {
            rejecting.interrupt();
            rejecting.join();
        }
    }

    /** Returns the metric line with the number of attempts that were fully written. */
    private static String dispatches(NodeFixture fixture) {
        return fixture.node.stats().lines().filter(line -> line.contains(".dispatches=")).findFirst()
                .orElseThrow();
    }

    private static void assertNothingInFlight(NodeFixture fixture) throws Exception {
        long giveUpAt = System.nanoTime() + HttpPeer.TIMEOUT_MS * 1_000_000L;
        while (!fixture.node.stats().contains(".concurrent=0\n") && System.nanoTime() < giveUpAt) {
            Thread.sleep(1);
        }
        assertTrue(fixture.node.stats().contains(".concurrent=0\n"), fixture.node.stats());
    }
}
