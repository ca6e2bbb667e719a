package cranedeal.fleet.config;

/**
 * The unique, ordered id of a version. Each epoch has one leader, so no two documents share an id.
 *
 * @param epoch the epoch of the leader that published it; from 1
 * @param number increases across epochs; from 1
 */
public record VersionId(long epoch, long number) implements Comparable<VersionId> {

    /** No version; ordered before all versions. */
    public static final VersionId NONE = new VersionId(0, 0);
    /** The largest integer that a JSON number holds exactly. */
    private static final long MAX_VALUE = (1L << 53) - 1;

    /** Throws {@link IllegalArgumentException} for numbers out of range. */
    public VersionId {
        if (epoch < 0 || number < 0 || epoch > MAX_VALUE || number > MAX_VALUE) {
            throw new IllegalArgumentException("no version: " + epoch + "." + number);
        }
    }

    /** Reads what {@link #toString} wrote; throws {@link IllegalArgumentException}. */
    public static VersionId parse(String text) {
        int dot = text.indexOf('.');
        try {
            return new VersionId(Long.parseLong(text.substring(0, Math.max(0, dot))),
                    Long.parseLong(text.substring(dot + 1)));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("'" + text + "' is no version, as EPOCH.NUMBER is", e);
        }
    }

    @Override
    public int compareTo(VersionId other) {
        return epoch != other.epoch ? Long.compare(epoch, other.epoch) : Long.compare(number, other.number);
    }

    boolean isAfter(VersionId other) {
        return compareTo(other) > 0;
    }

    @Override
    public String toString() {
        return epoch + "." + number;
    }
}
