package cranedeal.fleet.membership;

import java.net.InetSocketAddress;
import java.util.regex.Pattern;

/**
 * A member as one process knows it.
 *
 * @param name unique in the fleet and kept across restarts
 * @param address where it receives datagrams and HTTP calls
 * @param instance a random number per process start, which tells processes of the same name apart
 * @param incarnation raised only by the member itself, each time it refutes an update about itself
 * @param role the kind of process, such as {@code serve}
 * @param version the version of its program
 */
public record Member(String name, InetSocketAddress address, long instance, long incarnation, State state,
        String role, String version) {

    /** The highest incarnation: the largest integer that a JSON number holds exactly. */
    public static final long MAX_INCARNATION = (1L << 53) - 1;
    private static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9._-]{1,64}");
    private static final Pattern LABEL_PATTERN = Pattern.compile("[A-Za-z0-9._+-]{1,32}");

    /** Throws {@link IllegalArgumentException} for values that cannot be encoded. */
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

    /** Throws {@link IllegalArgumentException} if this is not a valid member or fleet name. */
    public static void requireName(String name) {
        if (!NAME_PATTERN.matcher(name).matches()) {
            throw new IllegalArgumentException("'" + name + "' is no name: 1 to 64 letters, digits and ._-");
        }
    }

    /** A copy in another state. */
    Member withState(State newState) {
        return new Member(name, address, instance, incarnation, newState, role, version);
    }

    /** A copy that is alive, with another incarnation. */
    Member aliveWithIncarnation(long newState) {
        return new Member(name, address, instance, newState, State.ALIVE, role, version);
    }

    /**
     * Returns true if this replaces the known entry of the same name: by incarnation, then state, then
     * instance. The order is total, so views converge regardless of the order in which updates arrive.
     */
    boolean overrides(Member known) {
        if (incarnation != known.incarnation) {
            return incarnation > known.incarnation;
        }
        return state == known.state ? Long.compareUnsigned(instance, known.instance) > 0
                : state.compareTo(known.state) > 0;
    }

    /** The summand of this member in the digest of a view in which it is present. */
    long fingerprint() {
        long mixed = instance ^ name.hashCode() * 0x9E3779B97F4A7C15L;
        mixed = (mixed ^ mixed >>> 32) * 0xD6E8FEB86659FD93L;
        return mixed ^ mixed >>> 32;
    }
}
