package cranedeal.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cranedeal.node.AnswerDeadline.State;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The rule at the end of a request's time, as a table, in virtual time. */
class AnswerDeadlineTest {

    private static final int SIZE = AnswerDeadline.MAX_SHORT_BYTES;
    private static final double JUDGE_MS = AnswerDeadline.JUDGE_MS;
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

    /** Returns when the answer is ended, in ms after the deadline; infinity if never. */
    private static double endedAt(AnswerDeadline answer, SteadyUpstream upstream, double deadline) {
        while (true) {
            double next = Math.min(upstream.nextAt(), answer.checkAt());
            if (next > FOREVER_MS) {
                return Double.POSITIVE_INFINITY;
            }
            if (upstream.nextAt() <= answer.checkAt()) {
                answer.received(upstream.give(), next);
            } else if (answer.check(next) == State.OVERDUE) {
                return next - deadline;
            }
        }
    }

    /** {@code held} bytes come before the answer is passed on, {@code later} 100 ms after the deadline. */
    @ParameterizedTest
    @CsvSource({
        // length, held, later, the state at the end of the grace
        "-1, 5, 0, OVERDUE",
        "-1, 5, 1, OVERDUE",
        "-1, 65536, 0, OVERDUE",
        "-1, 60000, 1, OVERDUE",
        "-1, 65536, 1, LONG",
        "-1, 65537, 0, LONG",
        "-1, 5, 65532, LONG",
        "-1, 5, 8000, OVERDUE",
        "-1, 5, 9600, DUE",
        "-1, 5, 19200, DUE",
        "65536, 5, 0, OVERDUE",
        "65536, 65535, 0, OVERDUE",
        "65536, 5, 19200, OVERDUE",
        "65537, 5, 0, LONG",
        "33554432, 0, 0, LONG",
    })
    void whatIsOwedAtTheEndOfTheGrace(long length, int held, int later, State expected) {
        for (double deadline : new double[] {200, 2_500}) {
            AnswerDeadline answer = new AnswerDeadline(length, deadline);
            answer.startHeld(held);
            answer.received(later, deadline + 100);
            double checkAt = Math.min(answer.checkAt(), deadline + GRACE_MS);
            assertEquals(expected, answer.check(checkAt));
        }
    }

    /** Guards against an answer of some bytes that holds its request as it never stalls. */
    @ParameterizedTest
    @CsvSource({"1, 300", "1, 50", "1, 1", "100, 100", "1000, 100"})
    void anAnswerThatCannotBeLongInTimeIsEndedWithinTheGrace(int pieceBytes, double everyMs) {
        for (double deadline : new double[] {200, 500, 2_500}) {
            AnswerDeadline answer = new AnswerDeadline(-1, deadline);
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
                AnswerDeadline answer = new AnswerDeadline(-1, deadline);
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
        double bound = JUDGE_MS + AnswerDeadline.PROJECTION_MS + JUDGE_MS;
        for (int seed = 1; seed <= 2_000; seed++) {
            Random random = new Random(seed);
            AnswerDeadline answer = new AnswerDeadline(-1, deadline);
            answer.startHeld(random.nextInt(SIZE));
            double now = deadline;
            for (; answer.checkAt() < Double.POSITIVE_INFINITY; now = answer.checkAt()) {
                answer.received(random.nextInt(SIZE / 4), now + 1);
                if (answer.check(answer.checkAt()) == State.OVERDUE) {
                    break;
                }
            }
            assertTrue(now <= deadline + bound, "seed " + seed + " at " + now);
        }
    }

    @Test
    void theTimeInWhichTheCallerReadsNothingIsNotJudged() {
        AnswerDeadline answer = new AnswerDeadline(-1, 1_000);
        answer.startHeld(5);
        answer.callerPaused(900);
        assertEquals(Double.POSITIVE_INFINITY, answer.checkAt());
        assertEquals(State.DUE, answer.check(5_000));
        answer.callerResumed(6_000);
        assertEquals(6_000 + JUDGE_MS, answer.checkAt());
        answer.received(BYTES_PER_MS * 100, 6_100);
        answer.received(BYTES_PER_MS * 100, 6_200);
        assertEquals(State.DUE, answer.check(6_000 + JUDGE_MS));
        assertEquals(State.OVERDUE, answer.check(6_000 + 2 * JUDGE_MS));
    }

    @Test
    void aPauseBeforeTheDeadlineChangesNothing() {
        AnswerDeadline answer = new AnswerDeadline(-1, 1_000);
        answer.callerPaused(500);
        answer.callerResumed(600);
        answer.callerResumed(700);
        assertEquals(1_000 + JUDGE_MS, answer.checkAt());
        assertEquals(State.DUE, answer.check(999));
        assertEquals(State.OVERDUE, answer.check(1_000 + JUDGE_MS));
    }

    /** The bytes that came before the deadline count for the size, and not for the pace after it. */
    @Test
    void aBurstBeforeTheDeadlineIsNoPace() {
        AnswerDeadline answer = new AnswerDeadline(-1, 1_000);
        answer.received(SIZE - 10, 999);
        assertEquals(State.OVERDUE, answer.check(1_000 + JUDGE_MS));
    }

    /** An answer of a streamed class has no deadline once it has started. */
    @ParameterizedTest
    @ValueSource(longs = {-1, 5})
    void anAnswerWithoutADeadlineMayGoOn(long length) {
        AnswerDeadline answer = new AnswerDeadline(length, Double.POSITIVE_INFINITY);
        answer.received(1, 100);
        assertEquals(Double.POSITIVE_INFINITY, answer.checkAt());
        assertEquals(State.LONG, answer.check(FOREVER_MS));
    }

    /** A judgement that comes late, as the loop was busy, goes by the time that has really passed. */
    @ParameterizedTest
    @CsvSource({"5, OVERDUE", "40000, DUE", "65537, LONG"})
    void aLateJudgementGoesByTheTimeThatHasPassed(int bytes, State expected) {
        AnswerDeadline answer = new AnswerDeadline(-1, 1_000);
        answer.received(bytes, 2_200);
        assertEquals(expected, answer.check(2_200));
    }
}
