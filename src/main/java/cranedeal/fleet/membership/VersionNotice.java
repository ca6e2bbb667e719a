package cranedeal.fleet.membership;

/**
 * The configuration version that a member announces in each datagram, with its service and zone, so that
 * members that lack the version know whom to ask. The previous release ignores the field.
 *
 * @param epoch the epoch of the leader that published the version; 0 without a version
 * @param number the version's number; 0 without a version
 * @param service whose section it has; empty if it has all, as a coordinator does
 * @param zone where it runs; empty if that is not known
 */
public record VersionNotice(long epoch, long number, String service, String zone) {

    /** Throws {@link IllegalArgumentException} for values that cannot be encoded. */
    public VersionNotice {
        if (epoch < 0 || number < 0 || epoch > Member.MAX_INCARNATION
                || number > Member.MAX_INCARNATION) {
            throw new IllegalArgumentException("no version: " + epoch + "." + number);
        }
        if (!service.isEmpty()) {
            Member.requireName(service);
        }
        if (!zone.isEmpty()) {
            Member.requireName(zone);
        }
    }

    /** Returns true if this version is later than the other; any is later than null. */
    boolean isLaterThan(VersionNotice other) {
        return other == null || epoch > other.epoch || epoch == other.epoch && number > other.number;
    }
}
