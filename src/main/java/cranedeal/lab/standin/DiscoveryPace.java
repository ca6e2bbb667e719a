package cranedeal.lab.standin;

/**
 * The processing times of discovery, in milliseconds.
 *
 * @param callMs the processing time of each call; calls are processed one after another
 * @param answerMs the extra delay of each answer, independent of the queue of calls
 * @param longestTurnMs a call that would wait longer in the queue is answered with 503
 */
public record DiscoveryPace(double callMs, double answerMs, double longestTurnMs) {

    private static final double MAX_WAIT_MS = 1_000;

    /** The pace that the protocol specifies: a call that would wait too long fails. */
    public static DiscoveryPace ofCalls(double callMs) {
        return new DiscoveryPace(callMs, 0, MAX_WAIT_MS);
    }

    /** Processes every call however long it waits, also if its caller has disconnected. */
    public static DiscoveryPace patient(double callMs, double answerMs) {
        return new DiscoveryPace(callMs, answerMs, Double.POSITIVE_INFINITY);
    }
}
