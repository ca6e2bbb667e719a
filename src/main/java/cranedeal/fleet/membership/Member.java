package cranedeal.fleet.membership;

import java.net.InetSocketAddress;
import java.util.regex.Pattern;

/**
 * A member as one process thinks of it.
 *
 * @param name by which the fleet knows it over all its processes
 * @param address where it takes datagrams, and calls over HTTP
 * @param instance drawn by each process at its start, so that two of one name are told apart
 * @param incarnation raised by the member alone, each time it has to contradict what is said of it
 * @param role what it does, such as {@code serve}
 * @param version of the program that it runs
 */
public record Member(String name, InetSocketAddress address, long instance, long incarnation, State state,
        String role, String version) {

    /** The highest incarnation, which JSON's numbers still hold exactly. */
    public static final long MAX_INCARNATION = (1L << 53) - 1;
    private static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9._-]{1,64}");
    private static final Pattern LABEL_PATTERN = Pattern.compile("[A-Za-z0-9._+-]{1,32}");

    /** Throws {@link IllegalArgumentException} for what can't be told in a datagram. */
    public Member {
        requireName(name);
        if (address == null || address.isUnresolved() || address.getPort() == 0) {
            throw new IllegalArgumentException("no address of a member: " + address);
        }
        if (incarnation < 0 || incarnation > MAX_INCARNATION) {
            throw new IllegalArgumentException("an incarnation of " + incarnation);
        }
        if (!LABEL_PATTERN.matcher(role).matches() || !LABEL_PATTERN.matcher(version).matches()) {
            throw new IllegalArgumentException("no role or version: '" + role + "', '" + version + "'");
        }
    }

    /** Throws {@link IllegalArgumentException} for what is no name of a member or a fleet. */
    public static void requireName(String name) {
        if (!NAME_PATTERN.matcher(name).matches()) {
            throw new IllegalArgumentException("'" + name + "' is no name: 1 to 64 letters, digits and ._-");
        }
    }

    /** The same in another state. */
    Member withState(State newState) {
        return new Member(name, address, instance, incarnation, newState, role, version);
    }

    /** The same, alive, in another incarnation. */
    Member aliveWithIncarnation(long newState) {
        return new Member(name, address, instance, newState, State.ALIVE, role, version);
    }

    /**
     * Whether this is to replace what is known of the same name: by incarnation, then state, then instance.
     * As that order is total, views that have heard the same agree in whatever order they heard it.
     */
    boolean overrides(Member known) {
        if (incarnation != known.incarnation) {
            return incarnation > known.incarnation;
        }
        return state == known.state ? Long.compareUnsigned(instance, known.instance) > 0
                : state.compareTo(known.state) > 0;
    }

    /** What this member adds to the digest of a view in which it is present. */
    long fingerprint() {
        long mixed = instance ^ name.hashCode() * 0x9E3779B97F4A7C15L;
        mixed = (mixed ^ mixed >>> 32) * 0xD6E8FEB86659FD93L;
        return mixed ^ mixed >>> 32;
    }
}
