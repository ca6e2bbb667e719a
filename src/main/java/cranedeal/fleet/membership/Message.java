package cranedeal.fleet.membership;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * A datagram between members.
 *
 * @param sequence matches an answer to its ping
 * @param target the member that is probed, or that answers; empty for whoever has the address
 * @param targetAddress the address of that member in {@link Kind#ASK}; otherwise null
 * @param from the sender's own state
 * @param digest the digest of the sender's view
 * @param notice the configuration version that the sender has; null if it announces none
 */
public record Message(Kind kind, long sequence, String target, InetSocketAddress targetAddress, Member from,
        long digest,
        List<MemberUpdate> updates, VersionNotice notice) {

    /** A message without a configuration notice. */
    public Message(Kind kind, long sequence, String target, InetSocketAddress targetAddress, Member from,
            long digest,
            List<MemberUpdate> updates) {
        this(kind, sequence, target, targetAddress, from, digest, updates, null);
    }

    /** The encoded size in bytes, in a fleet of that name. */
    public int encodedSize(String fleet) {
        try {
            return new Codec(fleet).encode(this).length;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The purpose of a datagram. */
    public enum Kind {
        /** Asks for an ACK. */
        PING,
        /** Answers a ping, directly or through a helper. */
        ACK,
        /** Asks a helper to ping a third member (SWIM's ping-req). */
        ASK,
        /** The helper is alive but has no answer from the third member yet. */
        NACK,
        /** Only carries updates. */
        NEWS
    }
}
