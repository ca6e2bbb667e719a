package cranedeal.fleet.membership;

/**
 * A state of a member, as spread by gossip.
 *
 * @param suspectedBy the member that suspects it; empty unless its state is SUSPECT
 */
public record MemberUpdate(Member member, String suspectedBy) {

    /** What is now said of a member; {@code by} counts only if it is suspected. */
    static MemberUpdate of(Member member, String suspectedBy) {
        return new MemberUpdate(member, member.state() == State.SUSPECT ? suspectedBy : "");
    }
}
