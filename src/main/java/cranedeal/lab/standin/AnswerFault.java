package cranedeal.lab.standin;

/**
 * What goes wrong with one answer of discovery.
 *
 * @param afterMs how long after it was due, in milliseconds
 */
public record AnswerFault(Kind kind, double afterMs) {

    /** How an answer goes wrong. */
    public enum Kind {
        /** Nothing is written, and the connection stays. */
        SILENT,
        /** Half is written, and the connection stays. */
        HALF,
        /** Byte after byte is written, and never the last. */
        ENDLESS,
        /** Half is written, and the connection is reset. */
        CUT
    }
}
