package cranedeal.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cranedeal.node.AnswerPlan.Framing;
import cranedeal.node.AnswerSoakCallers.Call;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Processes with the memory of service, reloads in series, and an upgrade or an end, before upstreams whose
 * answers are drawn: framing, size, when the head, the body and the rest come, and how they end. Two of eight
 * upstreams read large requests slowly. Drawn by {@code -Dseed=N}; {@code -Dseeds=N} plays so many in a row.
 */
@Timeout(3_600)
class AnswerSoakTest {

    private static final long SEED = Long.getLong("seed", 1);
    private static final long SEEDS = Long.getLong("seeds", 2);
    private static final int CALLERS = 16;
    private static final int UPSTREAMS = 6;
    private static final int SLOW_UPSTREAMS = 2;
    private static final int SLOW_READ_PAUSE_MS = 50;
    /** Small, as between machines, so that a body that is not read waits in the balancer. */
    private static final int RECEIVE_BUFFER_BYTES = 16 << 10;
    /** An answer half a second after its time only earns nothing, and sockets add 50 ms. */
    private static final int GRACE_MS = 550;
    /** For a caller that reads 4,350 bytes each 40 ms, and the end. */
    private static final double SLOW_CALLER_BYTES_PER_MS = 100;
    /** A process may be held up for so long between a clock and a socket. */
    private static final int LATENESS_MS = 150;
    /** Before its end a process breaks off what it can't finish. */
    private static final long ENDING_MS = 1_000;
    private static final long MAX_MEMORY_KB = 192 << 10;
    private static final double MIN_SERVED_SHARE = 0.1;
    /** The protocol: of the answers without a length that come whole, half at least are forwarded. */
    private static final double MIN_FORWARDED = 0.5;

    @TempDir
    Path folder;
    private int wholeUnknown;
    private int cutUnknown;
    private int unendedUnknown;
    private int lateUnknown;

    /** Guards against answers cut off that come whole, and against such awaited that do not end. */
    @Test
    void noAnswerIsCutOffAndNoneIsLateHoweverUpstreamsAnswer() throws Exception {
        List<String> wrong = new ArrayList<>();
        for (long seed = SEED; seed < SEED + SEEDS; seed++) {
            wrong.addAll(play(seed, Files.createDirectory(folder.resolve("seed" + seed))));
        }
        System.out.println("without a length: " + cutUnknown + " of " + wholeUnknown
                + " long ones that come whole are cut off, " + lateUnknown + " of them late; "
                + unendedUnknown + " do not end, and none of these is late");
        assertEquals(List.of(), wrong);
        assertTrue(wholeUnknown - cutUnknown >= MIN_FORWARDED * wholeUnknown);
    }

    private List<String> play(long seed, Path shared) throws Exception {
        Map<String, AnswerPlan> plans = new ConcurrentHashMap<>();
        PlannedUpstream prompt = new PlannedUpstream(id -> planOf(plans, seed, id), 0);
        PlannedUpstream slow = new PlannedUpstream(id -> planOf(plans, seed, id), SLOW_READ_PAUSE_MS);
        NodeFixture fixture = new NodeFixture(UPSTREAMS);
        fixture.upstreams.forEach(server -> server.serveEach(prompt::serve));
        for (int i = 0; i < SLOW_UPSTREAMS; i++) {
            TestServer server = new TestServer(RECEIVE_BUFFER_BYTES);
            server.serveEach(slow::serve);
            fixture.upstreams.add(server);
        }
        fixture.adminEnabled = true;
        fixture.parallelAttempts = seed % 4 < 2;
        fixture.discovery.serveEach(LossSoakTest::tellNothingNew);
        try (fixture; SoakSignals signals = new SoakSignals(fixture, shared, seed);
                AnswerSoakCallers callers = new AnswerSoakCallers(signals.address(), seed, CALLERS)) {
            signals.play(new Random(seed), callers::openNoMore);
            List<Call> calls = callers.end();
            List<PlannedUpstream.Arrival> arrivals = new ArrayList<>(prompt.arrivals());
            arrivals.addAll(slow.arrivals());
            List<String> wrong = judge(calls, arrivals, plans, signals);
            long served = calls.stream().filter(call -> call.answer().status() == 200
                    && call.answer().whole()).count();
            System.out.println(signals.name() + ": " + calls.size() + " calls, " + served + " served, "
                    + wrong.size() + " wrong, " + signals.memoryKb() + " KB");
            wrong.replaceAll(line -> signals.name() + ": " + line);
            if (!wrong.isEmpty()) {
                wrong.add(signals.context());
            }
            assertTrue(served >= MIN_SERVED_SHARE * calls.size(), signals::context);
            assertTrue(signals.memoryKb() <= MAX_MEMORY_KB, signals.memoryKb() + " KB at most");
            return wrong;
        }
    }

    private static AnswerPlan planOf(Map<String, AnswerPlan> plans, long seed, String id) {
        return plans.computeIfAbsent(id,
                absent -> AnswerSoakPlans.draw(new Random(31 * seed + id.hashCode())));
    }

    /** Returns what broke a rule, and counts what can't be told in time. */
    private List<String> judge(List<Call> calls, List<PlannedUpstream.Arrival> arrivals,
            Map<String, AnswerPlan> plans, SoakSignals signals) {
        Map<String, List<PlannedUpstream.Arrival>> runs = arrivals.stream()
                .collect(Collectors.groupingBy(PlannedUpstream.Arrival::id));
        List<String> wrong = new ArrayList<>();
        for (Call call : calls) {
            List<PlannedUpstream.Arrival> attempts = runs.getOrDefault(call.id(), List.of());
            AnswerPlan plan = attempts.isEmpty() ? null : plans.get(call.id());
            boolean begunInTime = attempts.stream().anyMatch(attempt -> beginsInTime(call, attempt));
            boolean inEnding = call.endedAt() > signals.endedAt() - TimeUnit.MILLISECONDS.toNanos(ENDING_MS)
                    && call.sentAt() < signals.endedAt();
            boolean owed = begunInTime && !inEnding;
            if (plan != null && plan.framing() != Framing.LENGTH) {
                count(plan, owed, call.answer().whole());
            }
            String fault = fault(call, plan, owed, inEnding, signals.crowd);
            if (fault != null) {
                wrong.add(fault + ": " + call + (plan == null ? "" : " " + describe(plan)));
            }
            if (call.bytes() > 0 && attempts.size() > 1) {
                wrong.add("ran twice: " + call);
            }
        }
        return wrong;
    }

    /** Counts an answer without a length. */
    private void count(AnswerPlan plan, boolean owed, boolean whole) {
        wholeUnknown += owed && plan.isWholeAndLong() ? 1 : 0;
        cutUnknown += owed && plan.isWholeAndLong() && !whole ? 1 : 0;
        unendedUnknown += plan.end() == AnswerPlan.End.SILENCE ? 1 : 0;
    }

    /** Returns true if what tells that an answer is a long one comes in the request's time. */
    private static boolean beginsInTime(Call call, PlannedUpstream.Arrival attempt) {
        AnswerPlan plan = attempt.plan();
        int bodyAfterMs = plan.framing() == Framing.LENGTH || plan.pieces().isEmpty() ? 0
                : plan.pieces().get(0).afterMs();
        long sinceSentMs = TimeUnit.NANOSECONDS.toMillis(attempt.at() - call.sentAt());
        return sinceSentMs + plan.headAfterMs() + bodyAfterMs < call.timeMs() - LATENESS_MS;
    }

    private String fault(Call call, AnswerPlan plan, boolean owed, boolean inEnding, boolean crowd) {
        ReceivedAnswer answer = call.answer();
        int due = call.timeMs() + GRACE_MS;
        if (answer.status() == -1 || answer.silent()) {
            return "no end";
        } else if (answer.status() == 0) {
            // Unread requests may cross the close of a kept connection, and a crowd takes all descriptors.
            boolean lost = plan != null || call.onNewConnection() && !crowd;
            return lost && !inEnding ? "closed" : null;
        } else if (answer.firstMs() > due) {
            return "late";
        } else if (answer.status() != 200) {
            return plan != null && owed && isCut(plan) ? "cut off" : null;
        } else if (answer.whole() && (answer.bytes() != plan.bytes() || plan.end() != AnswerPlan.End.WHOLE)) {
            return "spoilt";
        } else if (!answer.whole() && owed && isCut(plan)) {
            return "cut off";
        }
        return isLate(call, plan) ? "late end" : null;
    }

    /** Returns true if an answer that did not come whole should have; without a length that is counted. */
    private static boolean isCut(AnswerPlan plan) {
        return plan.isWholeAndLong() && plan.framing() == Framing.LENGTH;
    }

    /** Returns true if an answer that is not a long one ended too late, unless that can't be told in time. */
    private boolean isLate(Call call, AnswerPlan plan) {
        ReceivedAnswer answer = call.answer();
        boolean declaredLong = plan.framing() == Framing.LENGTH && plan.length() > AnswerPlan.SHORT_BYTES;
        boolean unknown = plan.framing() != Framing.LENGTH;
        double readingMs = call.slowly() ? answer.bytes() / SLOW_CALLER_BYTES_PER_MS : 0;
        boolean late = !declaredLong && answer.bytes() <= AnswerPlan.SHORT_BYTES
                && answer.lastMs() > call.timeMs() + GRACE_MS + readingMs;
        if (late && unknown && plan.isWholeAndLong()) {
            lateUnknown++;
            return false;
        }
        return late;
    }

    private static String describe(AnswerPlan plan) {
        return plan.framing() + " length=" + plan.length() + " head=" + plan.headAfterMs() + " pieces="
                + plan.pieces().subList(0, Math.min(4, plan.pieces().size())) + " of " + plan.pieces().size()
                + " " + plan.end();
    }
}
