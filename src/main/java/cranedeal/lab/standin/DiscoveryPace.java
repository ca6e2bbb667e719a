package cranedeal.lab.standin;

/**
 * How fast discovery works, in milliseconds.
 *
 * @param callMs the time that each call takes; calls are worked through in turn
 * @param answerMs how long each answer is under way, whatever else goes on
 * @param longestTurnMs a call that would wait longer for its turn is answered 503
 */
public record DiscoveryPace(double callMs, double answerMs, double longestTurnMs) {

    private static final double LONGEST_TURN_MS = 1_000;

    /** As the protocol has it: a call that waits too long fails. */
    public static DiscoveryPace ofCalls(double callMs) {
        return new DiscoveryPace(callMs, 0, LONGEST_TURN_MS);
    }

    /** Works through all calls in turn, however long they wait, also those whose caller has left. */
    public static DiscoveryPace patient(double callMs, double answerMs) {
        return new DiscoveryPace(callMs, answerMs, Double.POSITIVE_INFINITY);
    }
}
