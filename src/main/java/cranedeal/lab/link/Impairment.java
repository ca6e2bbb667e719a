package cranedeal.lab.link;

/**
 * The faults of one direction of a link.
 *
 * @param blocked nothing passes; streams deliver what was sent once this is over
 * @param delayMs the delay of everything, in milliseconds
 * @param jitterMs the largest additional delay, in milliseconds; uniformly distributed
 * @param loss the share of pieces that are lost; on a stream a lost piece is retransmitted and comes late
 * @param duplicate the share of datagrams that are duplicated; no effect on streams
 * @param reorder the share of datagrams that later ones may overtake; no effect on streams
 * @param bytesPerSecond the rate limit; 0 for none
 */
public record Impairment(boolean blocked, double delayMs, double jitterMs, double loss, double duplicate,
        double reorder, double bytesPerSecond) {

    /** A link without faults. */
    public static final Impairment NONE = new Impairment(false, 0, 0, 0, 0, 0, 0);
    /** A link that lets nothing pass. */
    public static final Impairment BLOCKED = new Impairment(true, 0, 0, 0, 0, 0, 0);

    /** Throws {@link IllegalArgumentException} for values out of range. */
    public Impairment {
        requireNotNegative(delayMs, "a delay");
        requireNotNegative(jitterMs, "a jitter");
        requireNotNegative(bytesPerSecond, "a rate");
        requireShare(loss, "loss");
        requireShare(duplicate, "duplication");
        requireShare(reorder, "reordering");
    }

    private static void requireNotNegative(double value, String name) {
        if (!(value >= 0 && Double.isFinite(value))) {
            throw new IllegalArgumentException(name + " of " + value + " is not allowed");
        }
    }

    private static void requireShare(double value, String name) {
        if (!(value >= 0 && value <= 1)) {
            throw new IllegalArgumentException(name + " of " + value + " is not between 0 and 1");
        }
    }
}
