package cranedeal.fleet.membership;

import java.net.InetSocketAddress;

/** The output of a {@link Membership}, carried out by its host. */
public interface Actions {

    /** Sends a datagram, which may be lost. */
    void send(InetSocketAddress to, Message message);

    /** Exchanges the full view with a member and passes the answer to {@link Membership#merge}. */
    void sync(InetSocketAddress address);

    /**
     * Called when the view has changed.
     *
     * @param before null for a member that was unknown
     * @param now null for a member that was forgotten
     */
    void memberChanged(Member before, Member now);

    /** Called when this member becomes isolated (reaches less than half of the known members) or recovers. */
    void isolationChanged(boolean isIsolated);

    /** Called for the configuration notice in a member's own datagram, often repeatedly with the same one. */
    default void noticeReceived(Member from, VersionNotice notice) {
        // Ignored by hosts that do not follow the configuration.
    }

    /** Called when a newer process has taken this one's name, so this one is no longer a member. */
    void superseded(Member successor);
}
