package cranedeal.lab.link;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.UnknownHostException;
import java.util.concurrent.ThreadLocalRandom;

/**
 * A block of loopback addresses, {@code 127.B.0.0/16}, that one lab has for itself: a socket held at its last
 * address keeps other labs out. Connections without an address of their own come from 127.0.0.1, so no port
 * in the block is taken by chance between its choice and its use. Each party has one IP address.
 */
public final class AddressBlock implements AutoCloseable {

    /** Where a party itself listens. */
    public static final int LISTEN_PORT = 8_081;
    /** Where a party's operators' door listens; the next ports are for its further processes. */
    public static final int ADMIN_PORT = 8_090;
    /** Where a member of a fleet listens, and the port of the same by which the others reach it. */
    public static final int MEMBER_PORT = 8_095;
    public static final int MEMBER_LINK_PORT = 8_096;
    /** The first port at which links to a party listen, one for each party that they come from. */
    private static final int LINK_PORT = 10_000;
    private static final int GUARD_PORT = 8_080;
    private static final int FIRST_BLOCK = 32;
    private static final int BLOCKS = 192;
    private static final int HOSTS = 250;
    /** How many parties a block has room for. */
    public static final int MAX_PARTIES = 20_000;

    private final int block;
    private final ServerSocket guard;

    private AddressBlock(int block, ServerSocket guard) {
        this.block = block;
        this.guard = guard;
    }

    /** Takes a block that no other lab has; throws {@link IOException} if there is none. */
    public static AddressBlock reserve() throws IOException {
        int first = ThreadLocalRandom.current().nextInt(BLOCKS);
        for (int i = 0; i < BLOCKS; i++) {
            int block = FIRST_BLOCK + (first + i) % BLOCKS;
            ServerSocket guard = new ServerSocket();
            try {
                guard.bind(new InetSocketAddress(ip(block, 255, 254), GUARD_PORT));
                return new AddressBlock(block, guard);
            } catch (IOException e) {
                guard.close();
            }
        }
        throw new IOException("no free block of loopback addresses");
    }

    /** The IP address of a party. */
    public InetAddress ip(int party) {
        if (party < 0 || party >= MAX_PARTIES) {
            throw new IllegalArgumentException("no address for party " + party);
        }
        return ip(block, party / HOSTS, 1 + party % HOSTS);
    }

    /** Where a party itself listens. */
    public InetSocketAddress listenAddress(int party) {
        return new InetSocketAddress(ip(party), LISTEN_PORT);
    }

    /** Where one party has to connect to reach another through their link. */
    public InetSocketAddress linkAddress(int from, int to) {
        return new InetSocketAddress(ip(to), LINK_PORT + from);
    }

    private static InetAddress ip(int block, int third, int fourth) {
        try {
            return InetAddress.getByAddress(new byte[] {127, (byte) block, (byte) third, (byte) fourth});
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Lets other labs have the block. */
    @Override
    public void close() throws IOException {
        guard.close();
    }
}
