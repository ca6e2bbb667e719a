package cranedeal.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The program as a process, before upstreams that write the head of an answer long before its body. */
@Timeout(120)
class LateBodyTest {

    private static final int UPSTREAMS = 8;
    private static final int ANSWERS = 60;
    private static final int EVERY_MS = 100;
    private static final int TIME_MS = 2_500;
    private static final int BYTES = 300_000;
    /** 70 kB a second. */
    private static final int PIECE_BYTES = 3_500;
    private static final int PIECE_EVERY_MS = 50;
    /** Others may be refused, as slow answers look like overload. */
    private static final int MIN_WHOLE = 30;

    private final AtomicInteger whole = new AtomicInteger();

    /** Returns null if the whole answer comes or the request is refused unsent, or else what happened. */
    private String cutOff(NodeProcess node, PlannedUpstream upstream, int number) throws Exception {
        Thread.sleep((long) number * EVERY_MS);
        String id = "r" + number;
        try (HttpPeer caller = HttpPeer.connect(node.address)) {
            caller.write(NodeFixture.get(id, String.valueOf(TIME_MS / 1e3)));
            ReceivedAnswer answer = ReceivedAnswer.read(caller, System.nanoTime(), 0);
            boolean served = answer.status() == 200 && answer.whole() && answer.bytes() == BYTES;
            whole.addAndGet(served ? 1 : 0);
            boolean unsent = upstream.arrivals().stream().noneMatch(arrival -> arrival.id().equals(id));
            return served || answer.status() == 503 && unsent ? null : id + ": " + answer;
        }
    }

    /** Guards against cutting off an answer whose head came in time, while its upstream still gives it. */
    @ParameterizedTest
    @CsvSource({"LENGTH, 1600, 6", "LENGTH, 3200, 6", "CHUNKED, 1600, 6", "CLOSE, 1600, 6",
        "LENGTH, 1000, 1", "LENGTH, 3200, 1"})
    void aLongAnswerWhoseBodyComesLongAfterItsHeadReachesItsCallerWhole(AnswerPlan.Framing framing,
            int bodyAfterMs, int oneLateIn) throws Exception {
        // So that attempts have a time of their own, after which the next one is sent.
        play(framing, bodyAfterMs, oneLateIn, false);
    }

    /** Guards against refusing requests as all answers, without a length, come late behind their heads. */
    @ParameterizedTest
    @CsvSource({"CHUNKED, 1000", "CLOSE, 1000"})
    void longAnswersWithoutALengthAreServedThoughEachBodyIsLate(AnswerPlan.Framing framing, int bodyAfterMs)
            throws Exception {
        play(framing, bodyAfterMs, 1, true);
    }

    private void play(AnswerPlan.Framing framing, int bodyAfterMs, int oneLateIn, boolean parallelAttempts)
            throws Exception {
        AnswerPlan late = AnswerPlan.steady(framing, BYTES, bodyAfterMs, PIECE_BYTES, PIECE_EVERY_MS);
        AnswerPlan prompt = AnswerPlan.steady(framing, BYTES, 0, PIECE_BYTES, PIECE_EVERY_MS);
        NodeFixture fixture = new NodeFixture(UPSTREAMS);
        fixture.parallelAttempts = parallelAttempts;
        try (fixture; NodeProcess node = new NodeProcess(fixture)) {
            PlannedUpstream upstream = new PlannedUpstream(
                    id -> Integer.parseInt(id.substring(1)) % oneLateIn == 0 ? late : prompt, 0);
            fixture.upstreams.forEach(server -> server.serveEach(upstream::serve));
            HttpPeer.connectWhenServing(node.address, node.process).close();
            List<Callable<String>> plays = new ArrayList<>();
            for (int i = 0; i < ANSWERS; i++) {
                int number = i;
                plays.add(() -> cutOff(node, upstream, number));
            }
            assertEquals(List.of(), Plays.run(plays, ANSWERS), () -> String.join("\n", node.log()));
            assertTrue(whole.get() >= MIN_WHOLE, () -> whole + " answers came whole\n"
                    + String.join("\n", node.log()));
        }
    }
}
