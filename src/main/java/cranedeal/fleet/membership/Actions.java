package cranedeal.fleet.membership;

import java.net.InetSocketAddress;

/** What a {@link Membership} asks of whoever hosts it. */
public interface Actions {

    /** Sends a datagram, which may be lost. */
    void send(InetSocketAddress to, Message message);

    /** Exchanges all that is known with a member, and hands what comes back to {@link Membership#merge}. */
    void sync(InetSocketAddress address);

    /**
     * The view has changed.
     *
     * @param before null for a member that was not known
     * @param now null for one that is forgotten
     */
    void memberChanged(Member before, Member now);

    /** This member reaches less than half of those it knows, or does again. */
    void isolationChanged(boolean isIsolated);

    /** A member tells, itself, of the configuration that it has; may be called often with the same. */
    default void noticeReceived(Member from, VersionNotice notice) {
        // Who has none of it need not know.
    }

    /** A later process has taken this one's name; it is a member no longer. */
    void superseded(Member successor);
}
