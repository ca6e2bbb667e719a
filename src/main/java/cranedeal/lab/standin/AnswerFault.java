package cranedeal.lab.standin;

/**
 * A fault injected into one discovery answer.
 *
 * @param afterMs the delay after the answer was due, in milliseconds
 */
public record AnswerFault(Kind kind, double afterMs) {

    /** The kind of fault. */
    public enum Kind {
        /** Nothing is written, and the connection stays open. */
        SILENT,
        /** Half of the answer is written, and the connection stays open. */
        HALF,
        /** The answer is written byte by byte and never completed. */
        ENDLESS,
        /** Half of the answer is written, and the connection is reset. */
        CUT
    }
}
