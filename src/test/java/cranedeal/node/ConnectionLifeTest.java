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
 * A caller's connection under events in any order: requests whole, in halves and ahead of their turn, its
 * end and its reset, a drain that begins and is undone, an upstream that serves, fails, breaks off or says
 * nothing. Whatever the order, each request has its one answer or a connection that ends, and nothing goes on
 * that should not.
 */
@Timeout(120)
class ConnectionLifeTest {

    private static final int SEEDS = 60;
    private static final int STEPS = 12;

    /** What an upstream's side of the stage has seen and can still answer. */
    private static final class Upstream {
        final Queue<HttpPeer> silent = new ConcurrentLinkedQueue<>();
        final Queue<String> seen = new ConcurrentLinkedQueue<>();

        /** What it does with a request stands in the request's id. */
        private void serve(HttpPeer peer) {
            try {
                for (HttpPeer.Message request = peer.read(); request != null; request = peer.read()) {
                    String id = request.header("X-Txn");
                    seen.add(id);
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
                        silent.add(peer);
                    }
                }
            } catch (IOException e) {
                // The node has closed it, or the test has.
            }
        }
    }

    private static String request(String id, Random random) {
        return random.nextBoolean() ? NodeFixture.spend(id, "x") : NodeFixture.get(id, "10");
    }

    @Test
    void whateverTheOrderOfEventsNothingIsOwedAtTheEnd() throws Exception {
        for (int seed = 1; seed <= SEEDS; seed++) {
            try {
                play(new Random(seed));
            } catch (AssertionError | IOException e) {
                throw new AssertionError("seed " + seed, e);
            }
        }
    }

    private static void play(Random random) throws Exception {
        try (NodeFixture fixture = new NodeFixture()) {
            fixture.adminEnabled = true;
            Upstream upstream = new Upstream();
            fixture.upstreams.get(0).serveEach(upstream::serve);
            fixture.start();
            HttpPeer caller = fixture.caller();
            Queue<String> sent = new ArrayDeque<>();
            String[] fates = {"serve", "serve", "fail", "half", "reset", "hold"};
            boolean open = true;
            for (int step = 0; step < STEPS && open; step++) {
                String id = fates[random.nextInt(fates.length)] + step;
                switch (random.nextInt(8)) {
                    case 0, 1, 2 -> {
                        sent.add(id);
                        open = wrote(caller, request(id, random));
                    }
                    case 3 -> {
                        String later = "serve-" + id;
                        sent.add(id);
                        sent.add(later);
                        open = wrote(caller, request(id, random) + request(later, random));
                    }
                    case 4 -> {
                        String text = request(id, random);
                        sent.add(id);
                        open = wrote(caller, text.substring(0, text.length() / 2));
                        fixture.awaitReads();
                        open = open && wrote(caller, text.substring(text.length() / 2));
                    }
                    case 5 -> fixture.order("PUT", "/ops/drain/start");
                    case 6 -> fixture.order("PUT", "/ops/drain/stop");
                    default -> answerOne(upstream);
                }
            }
            boolean leaves = random.nextBoolean();
            if (leaves) {
                leave(fixture, upstream, caller, random);
            } else {
                readAnswers(fixture, upstream, caller, sent);
            }
            assertEquals(new HashSet<>(upstream.seen).size(), upstream.seen.size(),
                    "sent twice: " + upstream.seen);
            nothingIsLeft(fixture);
        }
    }

    private static boolean wrote(HttpPeer caller, String text) {
        try {
            caller.write(text);
            return true;
        } catch (IOException e) {
            // The node has ended the connection.
            return false;
        }
    }

    private static void answerOne(Upstream upstream) {
        HttpPeer waiting = upstream.silent.poll();
        if (waiting != null) {
            wrote(waiting, "HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n");
        }
    }

    /** A caller that leaves: once the node has seen that, nothing of it is sent on. */
    private static void leave(NodeFixture fixture, Upstream upstream, HttpPeer caller, Random random)
            throws Exception {
        if (random.nextBoolean()) {
            caller.close();
        } else {
            caller.reset();
        }
        // What it wrote before it left has been read once what came after that is answered.
        fixture.awaitReads();
        nothingIsLeft(fixture);
        String before = dispatches(fixture);
        while (!upstream.silent.isEmpty()) {
            answerOne(upstream);
        }
        fixture.awaitReads();
        assertEquals(before, dispatches(fixture));
    }

    /** A caller that stays: the answers come in the order of the requests, each once, up to a clean end. */
    private static void readAnswers(NodeFixture fixture, Upstream upstream, HttpPeer caller,
            Queue<String> sent)
            throws Exception {
        fixture.order("PUT", "/ops/drain/start");
        Thread freeing = new Thread(() -> {
            while (!Thread.currentThread().isInterrupted()) {
                answerOne(upstream);
                Thread.onSpinWait();
            }
        });
        freeing.setDaemon(true);
        freeing.start();
        try {
            List<String> answered = new ArrayList<>();
            HttpPeer.Message answer = caller.read();
            while (answer != null) {
                String id = sent.remove();
                answered.add(id);
                if (answer.status() == 200) {
                    assertEquals("of-" + id, answer.body(), "after " + answered);
                } else {
                    assertTrue(answer.status() >= 500 && answer.body().isEmpty(), answer.toString());
                }
                answer = caller.read();
            }
            // What was never answered was never read either, so it is safe to send it again elsewhere.
            sent.forEach(id -> assertTrue(!upstream.seen.contains(id), id + " was sent on and not answered"));
        } finally {
            freeing.interrupt();
            freeing.join();
        }
    }

    /** How many attempts were written whole. */
    private static String dispatches(NodeFixture fixture) {
        return fixture.node.stats().lines().filter(line -> line.contains(".dispatches=")).findFirst()
                .orElseThrow();
    }

    private static void nothingIsLeft(NodeFixture fixture) throws Exception {
        long giveUpAt = System.nanoTime() + HttpPeer.TIMEOUT_MS * 1_000_000L;
        while (!fixture.node.stats().contains(".concurrent=0\n") && System.nanoTime() < giveUpAt) {
            Thread.sleep(1);
        }
        assertTrue(fixture.node.stats().contains(".concurrent=0\n"), fixture.node.stats());
    }
}
