package cranedeal.lab.link;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.UnknownHostException;
import java.util.concurrent.ThreadLocalRandom;

/**
 * A block of loopback addresses, {@code 127.B.0.0/16}, reserved for one lab: a socket bound to its last
 * address keeps other labs out. Connections that are not bound to an address come from 127.0.0.1, so their
 * ephemeral ports can't collide with ports of the block. Each party has one IP address.
 */
public final class AddressBlock implements AutoCloseable {

    /** The port at which a party itself listens. */
    public static final int LISTEN_PORT = 8_081;
    /** The port of a party's admin endpoint; the next ports are for its further processes. */
    public static final int ADMIN_PORT = 8_090;
    /** The port at which a member of a fleet listens, and the one at which the other members reach it. */
    public static final int MEMBER_PORT = 8_095;
    public static final int MEMBER_LINK_PORT = 8_096;
    /** The first port of the links to a party: one port for each party that connects. */
    private static final int FIRST_LINK_PORT = 10_000;
    private static final int GUARD_PORT = 8_080;
    private static final int FIRST_BLOCK = 32;
    private static final int BLOCK_COUNT = 192;
    private static final int HOSTS_PER_SUBNET = 250;
    /** The number of parties that a block has addresses for. */
    public static final int MAX_PARTIES = 20_000;

    private final int block;
    private final ServerSocket guardSocket;

    private AddressBlock(int block, ServerSocket guardSocket) {
        this.block = block;
        this.guardSocket = guardSocket;
    }

    /** Reserves a block that no other lab has; throws {@link IOException} if none is free. */
    public static AddressBlock reserve() throws IOException {
        int first = ThreadLocalRandom.current().nextInt(BLOCK_COUNT);
        for (int i = 0; i < BLOCK_COUNT; i++) {
            int block = FIRST_BLOCK + (first + i) % BLOCK_COUNT;
            ServerSocket guardSocket = new ServerSocket();
            try {
                guardSocket.bind(new InetSocketAddress(ip(block, 255, 254), GUARD_PORT));
                return new AddressBlock(block, guardSocket);
            } catch (IOException e) {
                guardSocket.close();
            }
        }
        throw new IOException("no free block of loopback addresses");
    }

    /** The IP address of a party. */
    public InetAddress ip(int party) {
        if (party < 0 || party >= MAX_PARTIES) {
            throw new IllegalArgumentException("no address for party " + party);
        }
        return ip(block, party / HOSTS_PER_SUBNET, 1 + party % HOSTS_PER_SUBNET);
    }

    /** The address at which a party itself listens. */
    public InetSocketAddress listenAddress(int party) {
        return new InetSocketAddress(ip(party), LISTEN_PORT);
    }

    /** The address at which one party reaches another through their link. */
    public InetSocketAddress linkAddress(int from, int to) {
        return new InetSocketAddress(ip(to), FIRST_LINK_PORT + from);
    }

    private static InetAddress ip(int block, int third, int fourth) {
        try {
            return InetAddress.getByAddress(new byte[] {127, (byte) block, (byte) third, (byte) fourth});
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Releases the block. */
    @Override
    public void close() throws IOException {
        guardSocket.close();
    }
}
