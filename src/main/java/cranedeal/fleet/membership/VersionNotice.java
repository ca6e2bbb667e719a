package cranedeal.fleet.membership;

/**
 * What a member says in each datagram of the configuration that it has: the newest version, whose settings it
 * goes by, and where it runs, so that who lacks a version knows whom to ask. Members of the version before
 * look over it.
 *
 * @param epoch of whoever published the version; 0 if it has none
 * @param number of the version; 0 if it has none
 * @param service whose section it has; empty if it has all, as a coordinator does
 * @param zone where it runs; empty if that is not known
 */
public record VersionNotice(long epoch, long number, String service, String zone) {

    /** Throws {@link IllegalArgumentException} for what can't be told in a datagram. */
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

    /** Whether it tells of a later version than another one; any is later than none. */
    boolean isLaterThan(VersionNotice other) {
        return other == null || epoch > other.epoch || epoch == other.epoch && number > other.number;
    }
}
