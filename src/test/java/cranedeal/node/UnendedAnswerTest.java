package cranedeal.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cranedeal.node.AnswerPlan.Framing;
import cranedeal.node.AnswerPlan.Piece;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
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

    private static final Framing[] FRAMINGS = {Framing.CHUNKED, Framing.CLOSE};

    /** What an upstream gives behind the head. */
    private enum Body {
        /** Some bytes, and then nothing. */
        START,
        /** Almost as much as a short answer may have, and then nothing. */
        NEARLY_LONG,
        /** A byte now and then. */
        DRIP,
        /** A long answer at the slowest pace, which ends. */
        LONG;

        /** The answer as the upstream gives it. */
        AnswerPlan plan(Framing framing) {
            return switch (this) {
                case START -> unended(framing, List.of(new Piece(0, 5)));
                case NEARLY_LONG -> unended(framing, List.of(new Piece(0, AnswerPlan.SHORT_BYTES - 100)));
                case DRIP -> unended(framing, drips());
                case LONG -> AnswerPlan.steady(framing, LONG_BYTES, 0, PIECE_BYTES, PIECE_EVERY_MS);
            };
        }

        private static List<Piece> drips() {
            List<Piece> pieces = new ArrayList<>(Collections.nCopies(DRIPS, new Piece(DRIP_EVERY_MS, 1)));
            pieces.set(0, new Piece(0, 1));
            return pieces;
        }

        private static AnswerPlan unended(Framing framing, List<Piece> pieces) {
            return new AnswerPlan(framing, 0, 0, pieces, AnswerPlan.End.SILENCE);
        }
    }

    /** A request of a caller, which tells the upstream in its id how to answer. */
    private record Play(int number, Framing framing, Body body, int timeMs, boolean http10) {

        static Play of(int number) {
            int shapes = FRAMINGS.length * Body.values().length;
            return new Play(number, FRAMINGS[number % FRAMINGS.length],
                    Body.values()[number / FRAMINGS.length % Body.values().length],
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

    /** The upstreams, which answer as the ids ask for. */
    private final PlannedUpstream upstream = new PlannedUpstream(id -> {
        String[] parts = id.split("-");
        return Body.valueOf(parts[2]).plan(Framing.valueOf(parts[1]));
    }, 0);

    /** Returns null if the final answer comes in its time, and a long one whole, or else what happened. */
    private String wrong(NodeProcess node, Play play) throws IOException {
        try (HttpPeer caller = HttpPeer.connect(node.address)) {
            caller.write(play.request());
            ReceivedAnswer answer = ReceivedAnswer.read(caller, System.nanoTime(), 0,
                    () -> unended.addAndGet(play.body() == Body.LONG ? 0 : 1));
            boolean whole = answer.status() == 200 && answer.whole();
            longWhole.addAndGet(play.body() == Body.LONG && whole && answer.bytes() == LONG_BYTES ? 1 : 0);
            boolean tooLate = answer.lastMs() > play.timeMs() + GRACE_MS;
            boolean held = answer.status() == 503 || (play.body() == Body.LONG
                    ? whole && answer.bytes() == LONG_BYTES : !tooLate && !whole);
            return held ? null : play + ": " + answer;
        }
    }

    /** Guards against an answer that stops the clock by beginning, and against cutting off long ones. */
    @Test
    void anAnswerThatBeginsAndDoesNotEndIsEndedInItsTimeAndALongOneComesWhole() throws Exception {
        try (NodeFixture fixture = new NodeFixture(UPSTREAMS); NodeProcess node = new NodeProcess(fixture)) {
            fixture.upstreams.forEach(server -> server.serveEach(upstream::serve));
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
            fixture.upstreams.forEach(server -> server.serveEach(upstream::serve));
            HttpPeer.connectWhenServing(first.address, first.process).close();
            List<Callable<String>> plays = new ArrayList<>();
            for (Body body : new Body[] {Body.START, Body.DRIP}) {
                for (Framing framing : FRAMINGS) {
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
