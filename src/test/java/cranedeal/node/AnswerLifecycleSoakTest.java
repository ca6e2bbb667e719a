package cranedeal.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cranedeal.node.AnswerLifecycle.State;
import cranedeal.node.AnswerLifecycle.Verdict;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Answers drawn by seed in virtual time, against what is owed on both sides: none is cut off that comes
 * whole, and none that does not end keeps its request beyond its time. {@code -Dseed=N} begins elsewhere, and
 * {@code -Danswers=N} draws so many.
 */
class AnswerLifecycleSoakTest {

    private static final long SEED = Long.getLong("seed", 1);
    private static final int ANSWERS = Integer.getInteger("answers", 60_000);
    private static final int SIZE = AnswerLifecycle.MAX_SHORT_BYTES;
    /** By the protocol: an answer half a second after its time only earns nothing; later it is lost. */
    private static final double GRACE_MS = 500;
    /** The protocol: of the answers without a length that come whole, half at least are forwarded. */
    private static final double MIN_FORWARDED = 0.5;
    private static final double[] TIMES_MS = {500, 2_000, 2_500};
    private static final double OWN_TIMEOUT_MS = 550;
    /** Stands for the end of an answer that nothing will end. */
    private static final double NEVER = Double.MAX_VALUE;

    /** How an upstream gives a body. */
    private enum Giving { STEADILY, IN_PIECES, IN_PIECES_WITH_STALLS, BURST, BURST_AND_DRIP }

    /** A part of the body that comes at a time in ms from the request. */
    private record Piece(double at, int bytes) { }

    /** An answer as drawn: whole if {@code ends}, and otherwise without its last bytes. */
    private record Drawn(long length, double headAt, Giving giving, List<Piece> pieces, boolean ends,
            double deadline, double timeoutAt) {

        int bytes() {
            return pieces.stream().mapToInt(Piece::bytes).sum();
        }

        double endsAt() {
            return pieces.isEmpty() ? headAt : pieces.get(pieces.size() - 1).at();
        }

        /** When the whole of it, or the body's first byte of a long one, has come. */
        boolean comesInTime() {
            boolean isLong = Math.max(length, bytes()) > SIZE;
            double due = isLong ? length > SIZE ? headAt : pieces.get(0).at() : endsAt();
            return ends && due < deadline;
        }
    }

    private static Drawn draw(Random random) {
        Giving giving = Giving.values()[random.nextInt(Giving.values().length)];
        double headAt = random.nextInt(100);
        double bodyAt = headAt + (random.nextBoolean() ? 0 : random.nextInt(4_000));
        int bytes = random.nextBoolean() ? random.nextInt(70_000, 470_000) : random.nextInt(1, SIZE);
        List<Piece> pieces = drawPieces(random, giving, bodyAt, bytes);
        boolean ends = giving != Giving.BURST_AND_DRIP && random.nextInt(3) > 0;
        int given = ends ? pieces.size() : random.nextInt(pieces.size());
        double deadline = TIMES_MS[random.nextInt(TIMES_MS.length)];
        return new Drawn(random.nextBoolean() ? bytes : -1, headAt, giving, pieces.subList(0, given), ends,
                deadline, random.nextBoolean() ? deadline : Math.min(deadline, OWN_TIMEOUT_MS));
    }

    private static List<Piece> drawPieces(Random random, Giving giving, double from, int bytes) {
        List<Piece> pieces = new ArrayList<>();
        double at = from;
        for (int left = bytes; left > 0; left -= pieces.get(pieces.size() - 1).bytes()) {
            int size = switch (giving) {
                case STEADILY -> 3_200;
                case IN_PIECES, IN_PIECES_WITH_STALLS -> random.nextInt(500, 40_000);
                case BURST -> bytes;
                case BURST_AND_DRIP -> pieces.isEmpty() ? bytes - Math.min(bytes, 30) : 1;
            };
            pieces.add(new Piece(at, Math.min(left, Math.max(1, size))));
            boolean stall = giving == Giving.IN_PIECES_WITH_STALLS && random.nextInt(8) == 0;
            at += switch (giving) {
                case STEADILY -> 50;
                case IN_PIECES, IN_PIECES_WITH_STALLS -> stall ? random.nextInt(1_500, 3_500)
                        : random.nextInt(200, 700);
                case BURST, BURST_AND_DRIP -> 300;
            };
        }
        return pieces;
    }

    /** Returns when the lifecycle ends the answer, in ms; infinity if it comes whole before that. */
    private static double endedAt(Drawn drawn, AnswerLifecycle answer) {
        answer.requestWritten(0);
        boolean headGiven = false;
        int given = 0;
        while (true) {
            boolean whole = headGiven && drawn.ends() && given == drawn.pieces().size();
            if (whole) {
                return Double.POSITIVE_INFINITY;
            }
            double next = !headGiven ? drawn.headAt() : given < drawn.pieces().size()
                    ? drawn.pieces().get(given).at() : Double.POSITIVE_INFINITY;
            double now = Math.min(next, answer.checkAt());
            if (now == Double.POSITIVE_INFINITY) {
                return NEVER;
            }
            Verdict verdict;
            if (next > answer.checkAt()) {
                verdict = answer.check(now);
            } else if (!headGiven) {
                headGiven = true;
                verdict = answer.headArrived(drawn.length(), true, now);
            } else {
                verdict = answer.bodyArrived(drawn.pieces().get(given++).bytes(), now);
            }
            if (verdict == Verdict.TIME_OUT) {
                return now;
            } else if (verdict == Verdict.PASS_ON) {
                answer.passedOn(now);
            }
        }
    }

    /** Guards against cutting off what comes whole, and against waiting for what does not end. */
    @Test
    void noAnswerIsCutOffThatComesWholeAndNoneIsAwaitedThatDoesNot() {
        int wholeUnknown = 0;
        int cutUnknown = 0;
        int unendedUnknown = 0;
        int lateUnknown = 0;
        List<String> wrong = new ArrayList<>();
        for (long seed = SEED; seed < SEED + ANSWERS; seed++) {
            Drawn drawn = draw(new Random(seed));
            AnswerLifecycle answer = new AnswerLifecycle(drawn::timeoutAt, drawn::deadline, false);
            double endedAt = endedAt(drawn, answer);
            boolean cut = drawn.comesInTime() && endedAt < Double.POSITIVE_INFINITY
                    && Math.max(drawn.length(), drawn.bytes()) > SIZE;
            boolean late = answer.state() != State.LONG && endedAt > drawn.deadline() + GRACE_MS
                    && (endedAt < Double.POSITIVE_INFINITY || drawn.endsAt() > drawn.deadline() + GRACE_MS);
            // Without a length, what comes at a pace and then stops can't be told from a long answer in time.
            boolean canBeTold = drawn.length() >= 0 || drawn.giving() == Giving.BURST
                    || drawn.giving() == Giving.BURST_AND_DRIP;
            boolean isMuchTooLate = endedAt < Double.POSITIVE_INFINITY && endedAt > drawn.deadline()
                    + 2 * AnswerLifecycle.JUDGE_MS + AnswerLifecycle.PROJECTION_MS;
            if (cut && drawn.length() >= 0 || late && (canBeTold || isMuchTooLate)) {
                wrong.add("seed " + seed + " ended at " + endedAt + " in " + answer.state() + ": " + drawn);
            }
            if (drawn.length() < 0) {
                wholeUnknown += drawn.comesInTime() && drawn.bytes() > SIZE ? 1 : 0;
                cutUnknown += cut ? 1 : 0;
                unendedUnknown += drawn.ends() ? 0 : 1;
                lateUnknown += late ? 1 : 0;
            }
        }
        System.out.println("without a length: " + cutUnknown + " of " + wholeUnknown
                + " long ones that come whole are cut off; " + lateUnknown + " are late, " + unendedUnknown
                + " do not end");
        assertEquals(List.of(), wrong.subList(0, Math.min(3, wrong.size())), wrong.size() + " wrong");
        assertTrue(wholeUnknown - cutUnknown >= MIN_FORWARDED * wholeUnknown);
    }
}
