package cranedeal.fleet.membership;

/** What one process knows of another. */
final class MemberEntry {

    Member member;
    /** When it came into this state. */
    double stateSince;
    /** Its place among those that are present, or among the faulty ones. */
    int listIndex;
    /** Not null while it is suspected. */
    Suspicion suspicion;
    /** When it was last heard of by itself; and the digest of its view then. */
    double lastHeardAt = Double.NEGATIVE_INFINITY;
    long digest;
    /** When its view last was the same as this one's. */
    double lastAgreedAt;

    MemberEntry(Member member, double now) {
        this.member = member;
        stateSince = now;
        lastAgreedAt = now;
    }
}
