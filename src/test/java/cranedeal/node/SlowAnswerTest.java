package cranedeal.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cranedeal.node.AnswerPlan.Framing;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * The program as a process, with long answers that upstreams write slowly, in all framings. {@code -Dseed=N}
 * changes the draw.
 */
@Timeout(120)
class SlowAnswerTest {

    private static final long SEED = Long.getLong("seed", 1);
    private static final int UPSTREAMS = 8;
    private static final int ANSWERS = 60;
    /** Others may be refused, as slow answers look like overload. */
    private static final int MIN_WHOLE = 30;
    private static final int MIN_BYTES = 70_000;
    private static final int MAX_BYTES = 500_000;
    private static final int PIECE_BYTES = 4_350;
    private static final int PIECE_EVERY_MS = 50;
    /** Some callers read in pieces too, a little faster than upstreams write. */
    private static final int CALLER_PIECE_EVERY_MS = 40;
    /** Shorter than most answers take. */
    private static final String TIME_S = "2.5";

    private final AtomicInteger whole = new AtomicInteger();

    /** Returns null if the whole answer comes or the request is refused, or else what happened. */
    private String cutOff(NodeProcess node, String id, int bytes, boolean slowly) throws Exception {
        try (HttpPeer caller = HttpPeer.connect(node.address)) {
            caller.write(NodeFixture.get(id, TIME_S));
            ReceivedAnswer answer = ReceivedAnswer.read(caller, System.nanoTime(),
                    slowly ? CALLER_PIECE_EVERY_MS : 0);
            if (answer.status() == 503) {
                return null;
            }
            boolean served = answer.status() == 200 && answer.whole();
            whole.addAndGet(served ? 1 : 0);
            return served && answer.bytes() == bytes ? null : id + ": " + answer;
        }
    }

    /** Guards against cutting off an answer that its upstream still writes. */
    @Test
    void aLongAnswerThatIsWrittenSlowlyReachesItsCallerWhole() throws Exception {
        try (NodeFixture fixture = new NodeFixture(UPSTREAMS); NodeProcess node = new NodeProcess(fixture)) {
            Map<String, AnswerPlan> planned = new ConcurrentHashMap<>();
            PlannedUpstream upstream = new PlannedUpstream(planned::get, 0);
            fixture.upstreams.forEach(server -> server.serveEach(upstream::serve));
            HttpPeer.connectWhenServing(node.address, node.process).close();
            Random random = new Random(SEED);
            List<Callable<String>> plays = new ArrayList<>();
            for (int i = 0; i < ANSWERS; i++) {
                Framing framing = Framing.values()[i % Framing.values().length];
                int bytes = random.nextInt(MIN_BYTES, MAX_BYTES);
                boolean slowly = random.nextBoolean();
                String id = i + "-" + framing + "-" + bytes;
                planned.put(id, AnswerPlan.steady(framing, bytes, 0, PIECE_BYTES, PIECE_EVERY_MS));
                plays.add(() -> cutOff(node, id, bytes, slowly));
            }
            assertEquals(List.of(), Plays.run(plays, ANSWERS), () -> String.join("\n", node.log()));
            assertTrue(whole.get() >= MIN_WHOLE, whole + " answers came whole");
        }
    }
}
