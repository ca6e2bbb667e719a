package cranedeal.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cranedeal.node.AnswerLifecycle.State;
import cranedeal.node.AnswerLifecycle.Verdict;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** What is owed to an answer from its head to its last byte, as a table, in virtual time. */
class AnswerLifecycleTest {

    private static final int SIZE = AnswerLifecycle.MAX_SHORT_BYTES;
    private static final double JUDGE_MS = AnswerLifecycle.JUDGE_MS;
    /** By the protocol: an answer half a second after its time only earns nothing; later it is lost. */
    private static final double GRACE_MS = 500;
    /** The slowest pace of the protocol, 64 kB a second. */
    private static final int BYTES_PER_MS = 64;
    private static final double FOREVER_MS = 100_000;

    /** An upstream that writes pieces at a steady pace, up to a total and then no more. */
    private static final class SteadyUpstream {

        private final double pieceBytes;
        private final double everyMs;
        private final int total;
        private double given;
        private double nextAt;

        SteadyUpstream(double startsAt, double pieceBytes, double everyMs, int total) {
            this.pieceBytes = pieceBytes;
            this.everyMs = everyMs;
            this.total = total;
            nextAt = startsAt;
        }

        /** When the next piece comes, in ms; infinity if none does. */
        double nextAt() {
            return given < total ? nextAt : Double.POSITIVE_INFINITY;
        }

        int give() {
            long before = (long) given;
            given = Math.min(total, given + pieceBytes);
            nextAt += everyMs;
            return (int) ((long) given - before);
        }
    }

    /** An answer to a request that is written at 0, whose attempt has all of its time. */
    private static AnswerLifecycle awaited(double timeoutAt, double deadline) {
        AnswerLifecycle answer = new AnswerLifecycle(() -> timeoutAt, () -> deadline, false);
        answer.requestWritten(0);
        return answer;
    }

    /** An answer of which the head and some bytes, in one piece, have come and are passed on. */
    private static AnswerLifecycle passedOn(long length, int held, double deadline) {
        AnswerLifecycle answer = awaited(deadline, deadline);
        answer.headArrived(length, true, 0);
        answer.bodyArrived(held, 1);
        answer.passedOn(1);
        return answer;
    }

    /** Returns when the answer is ended, in ms after the deadline; infinity if never. */
    private static double endedAt(AnswerLifecycle answer, SteadyUpstream upstream, double deadline) {
        answer.headArrived(-1, true, upstream.nextAt());
        while (true) {
            double next = Math.min(upstream.nextAt(), answer.checkAt());
            if (next > FOREVER_MS || upstream.given == upstream.total && upstream.total > SIZE) {
                return Double.POSITIVE_INFINITY;
            }
            Verdict verdict = upstream.nextAt() <= answer.checkAt()
                    ? answer.bodyArrived(upstream.give(), next) : answer.check(next);
            if (verdict == Verdict.TIME_OUT) {
                return next - deadline;
            } else if (verdict == Verdict.PASS_ON) {
                answer.passedOn(next);
            }
        }
    }

    /** What is owed, with {@code TIME_OUT} as {@code OVER}. */
    private static State stateAfterCheck(AnswerLifecycle answer, double now) {
        return answer.check(now) == Verdict.TIME_OUT ? State.OVER : answer.state();
    }

    /** {@code held} bytes come before the answer is passed on, {@code later} 100 ms after the deadline. */
    @ParameterizedTest
    @CsvSource({
        // length, held, later, the state at the end of the grace
        "-1, 5, 0, OVER",
        "-1, 5, 1, OVER",
        "-1, 65536, 0, OVER",
        "-1, 60000, 1, OVER",
        "-1, 65536, 1, LONG",
        "-1, 65537, 0, LONG",
        "-1, 5, 65532, LONG",
        "-1, 5, 8000, OVER",
        "-1, 5, 9600, DUE",
        "-1, 5, 19200, DUE",
        "65536, 5, 0, OVER",
        "65536, 65535, 0, OVER",
        "65536, 5, 19200, OVER",
        "65537, 5, 0, LONG",
        "33554432, 0, 0, LONG",
    })
    void whatIsOwedAtTheEndOfTheGrace(long length, int held, int later, State expected) {
        for (double deadline : new double[] {200, 2_500}) {
            AnswerLifecycle answer = passedOn(length, held, deadline);
            answer.bodyArrived(later, deadline + 100);
            double checkAt = Math.min(answer.checkAt(), deadline + GRACE_MS);
            assertEquals(expected, stateAfterCheck(answer, checkAt));
        }
    }

    /** Guards against an answer of some bytes that holds its request as it never stalls. */
    @ParameterizedTest
    @CsvSource({"1, 300", "1, 50", "1, 1", "100, 100", "1000, 100"})
    void anAnswerThatCannotBeLongInTimeIsEndedWithinTheGrace(int pieceBytes, double everyMs) {
        for (double deadline : new double[] {200, 500, 2_500}) {
            AnswerLifecycle answer = awaited(deadline, deadline);
            SteadyUpstream upstream = new SteadyUpstream(10, pieceBytes, everyMs, SIZE);
            assertTrue(endedAt(answer, upstream, deadline) <= GRACE_MS, () -> "time " + deadline);
        }
    }

    /** Guards against cutting off a long answer that its upstream still gives, whenever it has begun. */
    @ParameterizedTest
    @ValueSource(doubles = {1, 10, 50, 100, 250, 290})
    void aLongAnswerAtTheSlowestPaceIsNeverEnded(double everyMs) {
        for (double deadline = 100; deadline <= 3_000; deadline += 100) {
            for (double startsAt = 0; startsAt <= deadline; startsAt += 20) {
                AnswerLifecycle answer = awaited(deadline, deadline);
                SteadyUpstream upstream =
                        new SteadyUpstream(startsAt, BYTES_PER_MS * everyMs, everyMs, 300_000);
                assertEquals(Double.POSITIVE_INFINITY, endedAt(answer, upstream, deadline),
                        "time " + deadline + ", begun at " + startsAt);
            }
        }
    }

    /** Guards against an answer that is taken for a long one again and again, and never is one. */
    @Test
    void anAnswerIsNotTakenForALongOneForever() {
        double deadline = 1_000;
        double bound = JUDGE_MS + AnswerLifecycle.PROJECTION_MS + JUDGE_MS;
        for (int seed = 1; seed <= 2_000; seed++) {
            Random random = new Random(seed);
            AnswerLifecycle answer = passedOn(-1, random.nextInt(SIZE), deadline);
            double now = deadline;
            for (; answer.state() == State.DUE; now = answer.checkAt()) {
                answer.bodyArrived(random.nextInt(SIZE / 4), now + 1);
                if (answer.state() == State.LONG || answer.check(answer.checkAt()) == Verdict.TIME_OUT) {
                    break;
                }
            }
            assertTrue(now <= deadline + bound, "seed " + seed + " at " + now);
        }
    }

    @Test
    void theTimeInWhichTheCallerReadsNothingIsNotJudged() {
        AnswerLifecycle answer = passedOn(-1, 5, 1_000);
        answer.callerPaused(900);
        assertEquals(Double.POSITIVE_INFINITY, answer.checkAt());
        assertEquals(State.DUE, stateAfterCheck(answer, 5_000));
        answer.callerResumed(6_000);
        assertEquals(6_000 + JUDGE_MS, answer.checkAt());
        answer.bodyArrived(BYTES_PER_MS * 100, 6_100);
        answer.bodyArrived(BYTES_PER_MS * 100, 6_200);
        assertEquals(State.DUE, stateAfterCheck(answer, 6_000 + JUDGE_MS));
        assertEquals(State.OVER, stateAfterCheck(answer, 6_000 + 2 * JUDGE_MS));
    }

    @Test
    void aPauseBeforeTheDeadlineChangesNothing() {
        AnswerLifecycle answer = passedOn(-1, 0, 1_000);
        answer.callerPaused(500);
        answer.callerResumed(600);
        answer.callerResumed(700);
        assertEquals(1_000 + JUDGE_MS, answer.checkAt());
        assertEquals(State.DUE, stateAfterCheck(answer, 999));
        assertEquals(State.OVER, stateAfterCheck(answer, 1_000 + JUDGE_MS));
    }

    /** The bytes that came before the deadline count for the size, and not for the pace after it. */
    @Test
    void aBurstBeforeTheDeadlineIsNoPace() {
        AnswerLifecycle answer = passedOn(-1, 0, 1_000);
        answer.bodyArrived(SIZE - 10, 999);
        assertEquals(State.OVER, stateAfterCheck(answer, 1_000 + JUDGE_MS));
    }

    /** An answer of a streamed class has no deadline once it has started. */
    @ParameterizedTest
    @ValueSource(longs = {-1, 5})
    void anAnswerWithoutADeadlineMayGoOn(long length) {
        AnswerLifecycle answer = new AnswerLifecycle(() -> 1_000, () -> 1_000, true);
        answer.requestWritten(0);
        answer.headArrived(length, true, 0);
        answer.bodyArrived(1, 100);
        answer.passedOn(100);
        assertEquals(State.LONG, answer.state());
        assertEquals(100 + AnswerLifecycle.STALL_TIMEOUT_MS, answer.checkAt());
    }

    /** A judgement that comes late, as the loop was busy, goes by the time that has really passed. */
    @ParameterizedTest
    @CsvSource({"5, OVER", "40000, DUE", "65537, LONG"})
    void aLateJudgementGoesByTheTimeThatHasPassed(int bytes, State expected) {
        AnswerLifecycle answer = passedOn(-1, 0, 1_000);
        answer.bodyArrived(bytes, 2_200);
        assertEquals(expected, stateAfterCheck(answer, 2_200));
    }

    /** {@code length}, what came 50 ms after the head, and when and how the hold ends. */
    @ParameterizedTest
    @CsvSource({
        // attempt's timeout, deadline, length, body, when, what
        "500, 2500, 300000, 0, 210, PASS_ON",
        "100, 2500, 300000, 0, 100, PASS_ON",
        "100, 100, 300000, 0, 100, PASS_ON",
        "500, 2500, -1, 0, 2500, TIME_OUT",
        "2500, 2500, -1, 0, 2500, TIME_OUT",
        "500, 2500, -1, 1, 210, PASS_ON",
        "100, 2500, -1, 1, 210, PASS_ON",
        "100, 100, -1, 1, 100, PASS_ON",
        "500, 2500, 65536, 0, 500, TIME_OUT",
        "500, 2500, 65536, 65535, 500, TIME_OUT",
    })
    void howAHoldEnds(double timeoutAt, double deadline, long length, int body, double at, Verdict expected) {
        AnswerLifecycle answer = awaited(timeoutAt, deadline);
        assertEquals(Verdict.WAIT, answer.headArrived(length, true, 10));
        if (body > 0) {
            assertEquals(Verdict.WAIT, answer.bodyArrived(body, 60));
        }
        assertEquals(at, answer.checkAt());
        assertEquals(Verdict.WAIT, answer.check(at - 1));
        assertEquals(expected, answer.check(at));
    }

    /** Guards against holding back what a caller of a long answer can have. */
    @ParameterizedTest
    @CsvSource({"300000, 1, 20", "-1, 65537, 20", "-1, 1, 210"})
    void theFirstBytesOfALongAnswerPassItOn(long length, int bytes, double at) {
        AnswerLifecycle answer = awaited(500, 2_500);
        answer.headArrived(length, true, 10);
        assertEquals(Verdict.PASS_ON, answer.bodyArrived(bytes, at));
    }

    /** An answer that reports no success is not passed on to a caller, so its head is enough. */
    @Test
    void aFailureIsNotHeldForItsBody() {
        assertEquals(Verdict.PASS_ON, awaited(500, 2_500).headArrived(300_000, false, 10));
        AnswerLifecycle unknown = awaited(500, 2_500);
        assertEquals(Verdict.WAIT, unknown.headArrived(-1, false, 10));
        assertEquals(Verdict.PASS_ON, unknown.check(10 + AnswerLifecycle.MAX_HOLD_MS));
        AnswerLifecycle shortOne = awaited(500, 2_500);
        assertEquals(Verdict.WAIT, shortOne.headArrived(10, false, 10));
        assertEquals(500, shortOne.checkAt());
    }

    /** Guards against a head that stops the clock of a request that its upstream does not take. */
    @ParameterizedTest
    @ValueSource(longs = {-1, 10, 300_000})
    void anAnswerBeforeItsRequestIsWrittenKeepsTheAttemptsTime(long length) {
        AnswerLifecycle answer = new AnswerLifecycle(() -> 500, () -> 2_500, false);
        assertEquals(Verdict.WAIT, answer.headArrived(length, true, 10));
        assertEquals(500, answer.checkAt());
        assertEquals(Verdict.TIME_OUT, answer.check(500));
    }

    /** Guards against a long answer that goes on though nothing comes. */
    @Test
    void aLongAnswerIsEndedOnceItStallsUnlessItsCallerReadsNothing() {
        AnswerLifecycle answer = passedOn(300_000, 1, 1_000);
        answer.bodyArrived(1, 9_000);
        answer.callerPaused(9_500);
        assertEquals(Double.POSITIVE_INFINITY, answer.checkAt());
        answer.callerResumed(30_000);
        double stalledAt = 30_000 + AnswerLifecycle.STALL_TIMEOUT_MS;
        assertEquals(Verdict.WAIT, answer.check(stalledAt - 1));
        assertEquals(Verdict.TIME_OUT, answer.check(stalledAt));
        answer.end();
        assertEquals(Double.POSITIVE_INFINITY, answer.checkAt());
        assertEquals(Verdict.WAIT, answer.bodyArrived(1, stalledAt));
        assertEquals(State.OVER, answer.state());
    }
}
