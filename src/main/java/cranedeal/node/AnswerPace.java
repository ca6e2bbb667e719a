package cranedeal.node;

/**
 * Estimates at what pace the body of an answer will come, by its pieces so far. Without I/O and clock: all
 * times are in ms of one clock of the caller's, less those in which the answer was not read.
 */
final class AnswerPace {

    /** Bytes that come closer together than this, in ms, are one piece. */
    private static final double MIN_GAP_MS = 20;
    /** An answer that is silent for so many times its longest gap may have stopped. */
    private static final double MAX_SILENCE = 2;
    /** How many times its recent pace an answer is trusted to return to. */
    private static final double MAX_SPEED_UP = 2;

    /** Bytes that came together; {@code before} is when the piece before them began, in ms. */
    private record Piece(double startedAt, double before, long bytes) {

        Piece plus(int more) {
            return new Piece(startedAt, before, bytes + more);
        }
    }

    private double firstAt = Double.NaN;
    private double lastAt;
    private double longestGap;
    /** What came behind the first piece, which says nothing of how long it took. */
    private long bytesBehindFirst;
    /** The last two pieces behind the first one; null if there are fewer. */
    private Piece last;
    private Piece secondLast;

    /** A part of the body has come. */
    void arrived(int bytes, double now) {
        if (bytes == 0) {
            return;
        }
        if (Double.isNaN(firstAt)) {
            firstAt = now;
        } else if (now - lastAt >= MIN_GAP_MS) {
            longestGap = Math.max(longestGap, now - lastAt);
            secondLast = last;
            last = new Piece(now, last == null ? firstAt : last.startedAt(), bytes);
            bytesBehindFirst += bytes;
        } else if (last != null) {
            last = last.plus(bytes);
            bytesBehindFirst += bytes;
        }
        lastAt = now;
    }

    /** Returns the pace to expect in bytes per ms; 0 if it is not known or the answer may have stopped. */
    double expected(double now) {
        if (last == null || now - lastAt > MAX_SILENCE * longestGap) {
            return 0;
        }
        double overall = bytesBehindFirst / (now - firstAt);
        long recentBytes = last.bytes() + (secondLast == null ? 0 : secondLast.bytes());
        double recentSince = secondLast == null ? last.before() : secondLast.before();
        return Math.min(overall, MAX_SPEED_UP * recentBytes / (now - recentSince));
    }
}
