package cranedeal.fleet.membership;

/**
 * Something that is said of a member.
 *
 * @param suspectedBy whose suspicion it is; empty where nobody is suspected
 */
public record MemberUpdate(Member member, String suspectedBy) {

    /** What is now said of a member; {@code by} counts only if it is suspected. */
    static MemberUpdate of(Member member, String suspectedBy) {
        return new MemberUpdate(member, member.state() == State.SUSPECT ? suspectedBy : "");
    }
}
