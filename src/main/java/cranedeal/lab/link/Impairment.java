package cranedeal.lab.link;

/**
 * What is wrong with one direction of a link.
 *
 * @param blocked nothing passes; what was sent comes through once that is over
 * @param delayMs how long everything takes, in milliseconds
 * @param jitterMs up to how much longer, drawn evenly for each piece
 * @param loss the share of pieces that are lost; on a stream a lost piece is sent again, and comes late
 * @param duplicate the share of datagrams that come twice; a stream shows none of that
 * @param reorder the share of datagrams that may be overtaken; a stream shows none of that
 * @param bytesPerSecond how much passes at most; 0 for no limit
 */
public record Impairment(boolean blocked, double delayMs, double jitterMs, double loss, double duplicate,
        double reorder, double bytesPerSecond) {

    /** A link in order. */
    public static final Impairment NONE = new Impairment(false, 0, 0, 0, 0, 0, 0);
    /** A link that is cut. */
    public static final Impairment BLOCKED = new Impairment(true, 0, 0, 0, 0, 0, 0);

    /** Throws {@link IllegalArgumentException} for what no network does. */
    public Impairment {
        notNegative(delayMs, "a delay");
        notNegative(jitterMs, "a jitter");
        notNegative(bytesPerSecond, "a rate");
        share(loss, "loss");
        share(duplicate, "duplication");
        share(reorder, "reordering");
    }

    private static void notNegative(double value, String name) {
        if (!(value >= 0 && Double.isFinite(value))) {
            throw new IllegalArgumentException(name + " of " + value);
        }
    }

    private static void share(double value, String name) {
        if (!(value >= 0 && value <= 1)) {
            throw new IllegalArgumentException(name + " of " + value + " is no share");
        }
    }
}
