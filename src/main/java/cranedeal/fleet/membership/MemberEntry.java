package cranedeal.fleet.membership;

/** The local state kept for another member. */
final class MemberEntry {

    Member member;
    /** When it entered its current state. */
    double stateSince;
    /** Its index in the probe ring, or in the list of faulty members. */
    int listIndex;
    /** Non-null while the member is suspected. */
    Suspicion suspicion;
    /** When its own datagram last arrived; {@code digest} is the digest of its view in that datagram. */
    double lastHeardAt = Double.NEGATIVE_INFINITY;
    long digest;
    /** When its view last equalled this one. */
    double lastAgreedAt;

    MemberEntry(Member member, double now) {
        this.member = member;
        stateSince = now;
        lastAgreedAt = now;
    }
}
