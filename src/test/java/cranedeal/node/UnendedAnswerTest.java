package cranedeal.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The program as a process, before upstreams whose answers begin and, some of them, do not end. */
@Timeout(120)
class UnendedAnswerTest {

    private static final int UPSTREAMS = 8;
    private static final int PLAYS = 72;
    private static final int AT_ONCE = 24;
    private static final int[] TIMES_MS = {500, 2_500};
    /** An answer half a second after its time only earns nothing, and sockets add 50 ms. */
    private static final int GRACE_MS = 550;
    private static final int LONG_BYTES = 150_000;
    /** The slowest pace of the protocol, 64 kB a second. */
    private static final int PIECE_BYTES = 3_200;
    private static final int PIECE_EVERY_MS = 50;
    private static final int DRIP_EVERY_MS = 300;
    private static final int BEFORE_SIGTERM_MS = 1_000;
    /** The longest deadline of the fixture's settings and 0.7 s. */
    private static final int KILL_AFTER_MS = 3_200;
    private static final int DRIPS = 40;
    /** Others may be refused, as slow answers look like overload. */
    private static final double MIN_WHOLE = 0.5;

    private enum Framing { CHUNKED, CLOSE }

    /** What an upstream gives behind the head. */
    private enum Body {
        /** Some bytes, and then nothing. */
        START,
        /** Almost as much as a short answer may have, and then nothing. */
        NEARLY_LONG,
        /** A byte now and then. */
        DRIP,
        /** A long answer at the slowest pace, which ends. */
        LONG
    }

    /** A request of a caller, which tells the upstream in its id how to answer. */
    private record Play(int number, Framing framing, Body body, int timeMs, boolean http10) {

        static Play of(int number) {
            int shapes = Framing.values().length * Body.values().length;
            return new Play(number, Framing.values()[number % Framing.values().length],
                    Body.values()[number / Framing.values().length % Body.values().length],
                    TIMES_MS[number / shapes % TIMES_MS.length],
                    number / (shapes * TIMES_MS.length) % 2 == 1);
        }

        String id() {
            return number + "-" + framing + "-" + body;
        }

        String request() {
            String request = NodeFixture.get(id(), String.valueOf(timeMs / 1e3));
            return http10 ? request.replace("HTTP/1.1", "HTTP/1.0") : request;
        }
    }

    private final AtomicInteger longWhole = new AtomicInteger();
    /** Callers that have the start of an answer that does not end. */
    private final AtomicInteger unended = new AtomicInteger();

    /** Answers as the ids ask for, until the connection ends. */
    private static void serve(HttpPeer connection) {
        try (connection) {
            while (true) {
                String[] id = connection.readHead().get("x-txn").split("-");
                Framing framing = Framing.valueOf(id[1]);
                answer(connection, framing, Body.valueOf(id[2]));
                if (framing == Framing.CLOSE) {
                    return;
                }
            }
        } catch (IOException | NullPointerException | InterruptedException e) {
            // The connection has ended.
        }
    }

    private static void answer(HttpPeer connection, Framing framing, Body body)
            throws IOException, InterruptedException {
        connection.write("HTTP/1.1 200 OK\r\n" + (framing == Framing.CHUNKED
                ? "Transfer-Encoding: chunked" : "Connection: close") + "\r\n\r\n");
        switch (body) {
            case START -> write(connection, framing, 5);
            case NEARLY_LONG -> write(connection, framing, AnswerLifecycle.MAX_SHORT_BYTES - 100);
            case DRIP -> {
                for (int i = 0; i < DRIPS; i++) {
                    write(connection, framing, 1);
                    Thread.sleep(DRIP_EVERY_MS);
                }
            }
            case LONG -> {
                for (int left = LONG_BYTES; left > 0; left -= PIECE_BYTES) {
                    write(connection, framing, Math.min(left, PIECE_BYTES));
                    Thread.sleep(PIECE_EVERY_MS);
                }
            }
        }
        if (body != Body.LONG) {
            // Until the balancer closes the connection.
            connection.awaitClose();
        } else if (framing == Framing.CHUNKED) {
            connection.write("0\r\n\r\n");
        }
    }

    private static void write(HttpPeer connection, Framing framing, int bytes) throws IOException {
        String piece = "x".repeat(bytes);
        connection.write(framing == Framing.CHUNKED ? Integer.toHexString(bytes) + "\r\n" + piece + "\r\n"
                : piece);
    }

    /** Returns null if the final answer comes in its time, and a long one whole, or else what happened. */
    private String wrong(NodeProcess node, Play play) throws IOException {
        try (HttpPeer caller = HttpPeer.connect(node.address)) {
            caller.write(play.request());
            long writtenAt = System.nanoTime();
            String status = caller.readLine();
            caller.readHeaders();
            unended.addAndGet(play.body() == Body.LONG ? 0 : 1);
            long bytes = status != null && status.contains(" 200 ") ? readBody(caller, play.http10()) : 0;
            long took = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - writtenAt);
            longWhole.addAndGet(play.body() == Body.LONG && bytes == LONG_BYTES ? 1 : 0);
            boolean refused = status != null && status.contains(" 503 ");
            boolean tooLate = took > play.timeMs() + GRACE_MS;
            boolean takenForWhole = status != null && status.contains(" 200 ") && bytes >= 0;
            boolean held = refused || (play.body() == Body.LONG ? bytes == LONG_BYTES
                    : !tooLate && !takenForWhole);
            return held ? null : play + ": " + status + ", " + bytes + " bytes after " + took + " ms";
        }
    }

    /** Reads a body of unknown length; returns its bytes, or -1 if it broke off. */
    private static long readBody(HttpPeer caller, boolean http10) {
        try {
            InputStream in = caller.socket.getInputStream();
            if (http10) {
                return in.readAllBytes().length;
            }
            long received = 0;
            while (true) {
                int size = Integer.parseInt(caller.readLine(), 16);
                received += in.readNBytes(size).length;
                caller.readLine();
                if (size == 0) {
                    return received;
                }
            }
        } catch (IOException | NumberFormatException e) {
            return -1;
        }
    }

    /** Guards against an answer that stops the clock by beginning, and against cutting off long ones. */
    @Test
    void anAnswerThatBeginsAndDoesNotEndIsEndedInItsTimeAndALongOneComesWhole() throws Exception {
        try (NodeFixture fixture = new NodeFixture(UPSTREAMS); NodeProcess node = new NodeProcess(fixture)) {
            fixture.upstreams.forEach(upstream -> upstream.serveEach(UnendedAnswerTest::serve));
            HttpPeer.connectWhenServing(node.address, node.process).close();
            List<Callable<String>> plays = new ArrayList<>();
            int longAnswers = 0;
            for (int i = 0; i < PLAYS; i++) {
                Play play = Play.of(i);
                longAnswers += play.body() == Body.LONG ? 1 : 0;
                plays.add(() -> wrong(node, play));
            }
            assertEquals(List.of(), Plays.run(plays, AT_ONCE), () -> String.join("\n", node.log()));
            int wanted = (int) (MIN_WHOLE * longAnswers);
            assertTrue(longWhole.get() >= wanted, longWhole + " of " + longAnswers + " came whole");
        }
    }

    /** Guards against a drain, or an upgrade, that waits for answers that do not end. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void unendedAnswersEndInTheirTimeAlsoInADrainAndAnUpgrade(boolean upgrade, @TempDir Path shared)
            throws Exception {
        NodeFixture fixture = new NodeFixture(UPSTREAMS);
        fixture.adminEnabled = true;
        try (fixture; NodeProcess first = start(fixture, shared, NodeProcess.freeAddress())) {
            fixture.upstreams.forEach(upstream -> upstream.serveEach(UnendedAnswerTest::serve));
            HttpPeer.connectWhenServing(first.address, first.process).close();
            List<Callable<String>> plays = new ArrayList<>();
            for (Body body : new Body[] {Body.START, Body.DRIP}) {
                for (Framing framing : Framing.values()) {
                    Play play = new Play(plays.size(), framing, body, TIMES_MS[1], false);
                    plays.add(() -> wrong(first, play));
                }
            }
            int begun = plays.size();
            plays.add(() -> {
                while (unended.get() < begun) {
                    Thread.sleep(1);
                }
                try (NodeProcess second = upgrade ? start(fixture, shared, first.address) : null) {
                    if (upgrade) {
                        second.awaitReady();
                    }
                    Thread.sleep(BEFORE_SIGTERM_MS);
                    first.signal("TERM");
                    return first.process.waitFor(KILL_AFTER_MS, TimeUnit.MILLISECONDS) ? null
                            : "the process waits on";
                }
            });
            assertEquals(List.of(), Plays.run(plays, plays.size()), () -> String.join("\n", first.log()));
        }
    }

    private static NodeProcess start(NodeFixture fixture, Path shared, InetSocketAddress address)
            throws Exception {
        return new NodeProcess(fixture, fixture.discovery.address(), List.of(), Main.class, shared, address);
    }
}
