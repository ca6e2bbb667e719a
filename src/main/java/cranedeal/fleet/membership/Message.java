package cranedeal.fleet.membership;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * A datagram between members.
 *
 * @param sequence by which an answer is known
 * @param target the member that is probed, or whose answer this is; empty for whoever it reaches
 * @param targetAddress where that member is, in {@link Kind#ASK}; otherwise null
 * @param from the sender as it thinks of itself
 * @param digest of the sender's view
 * @param notice of the configuration that the sender has; null if it says nothing of any
 */
public record Message(Kind kind, long sequence, String target, InetSocketAddress targetAddress, Member from,
        long digest,
        List<MemberUpdate> updates, VersionNotice notice) {

    /** A message that says nothing of any configuration. */
    public Message(Kind kind, long sequence, String target, InetSocketAddress targetAddress, Member from,
            long digest,
            List<MemberUpdate> updates) {
        this(kind, sequence, target, targetAddress, from, digest, updates, null);
    }

    /** How many bytes it takes, in a fleet of that name. */
    public int encodedSize(String fleet) {
        try {
            return new Codec(fleet).encode(this).length;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** What a datagram is for. */
    public enum Kind {
        /** Asks for an answer. */
        PING,
        /** Answers a ping, also one that went through others. */
        ACK,
        /** Asks a third member to ping another. */
        ASK,
        /** The third member has had no answer yet, but is there itself. */
        NACK,
        /** Only carries news. */
        NEWS
    }
}
