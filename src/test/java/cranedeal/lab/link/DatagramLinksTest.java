package cranedeal.lab.link;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Three parties that exchange UDP datagrams through their link addresses only, with and without impairments.
 */
class DatagramLinksTest {

    private static final Impairment LOSES_ALL = new Impairment(false, 0, 0, 1, 0, 0, 0);
    private static final Impairment DUPLICATES_ALL = new Impairment(false, 0, 0, 0, 1, 0, 0);

    @Test
    void datagramsComeFromTheSendersLinkAddressAndImpairmentsAreOneWay() throws Exception {
        EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (AddressBlock addresses = AddressBlock.reserve(); DatagramSocket a = socket(addresses, 0);
                DatagramSocket b = socket(addresses, 1); DatagramSocket c = socket(addresses, 2)) {
            DatagramLinks links = new DatagramLinks(loops.next(), new SplittableRandom(1));
            for (int party = 0; party < 3; party++) {
                links.addParty(addresses.listenAddress(party), addresses.linkAddress(0, party)).sync();
            }
            send(a, "to b", addresses.linkAddress(0, 1));
            DatagramPacket received = receive(b);
            assertEquals("to b", text(received));
            assertEquals(addresses.linkAddress(0, 0), received.getSocketAddress());
            send(b, "answer", (InetSocketAddress) received.getSocketAddress());
            assertEquals("answer", text(receive(a)));

            links.impair(addresses.ip(0), addresses.ip(1), LOSES_ALL).sync();
            send(a, "lost", addresses.linkAddress(0, 1));
            send(c, "from c", addresses.linkAddress(0, 1));
            assertEquals("from c", text(receive(b)));
            send(b, "the way back is in order", addresses.linkAddress(0, 0));
            assertEquals("the way back is in order", text(receive(a)));

            links.impair(addresses.ip(0), addresses.ip(1), DUPLICATES_ALL).sync();
            send(a, "twice", addresses.linkAddress(0, 1));
            assertEquals("twice", text(receive(b)));
            assertEquals("twice", text(receive(b)));
            links.close();
        } finally {
            loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    @Test
    void groupImpairmentsAlsoApplyToPairsWithoutEarlierTraffic() throws Exception {
        EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (AddressBlock addresses = AddressBlock.reserve(); DatagramSocket a = socket(addresses, 0);
                DatagramSocket b = socket(addresses, 1); DatagramSocket c = socket(addresses, 2)) {
            DatagramLinks links = new DatagramLinks(loops.next(), new SplittableRandom(1));
            for (int party = 0; party < 3; party++) {
                links.addParty(addresses.listenAddress(party), addresses.linkAddress(0, party), party == 2 ? 1
                        : 0).sync();
            }
            send(a, "a pair that is in use", addresses.linkAddress(0, 2));
            assertEquals("a pair that is in use", text(receive(c)));
            links.impairGroups(0, 1, LOSES_ALL).sync();
            send(a, "lost", addresses.linkAddress(0, 2));
            send(b, "lost", addresses.linkAddress(0, 2));
            send(c, "lost", addresses.linkAddress(0, 1));
            send(a, "within its group", addresses.linkAddress(0, 1));
            assertEquals("within its group", text(receive(b)));
            links.impairGroups(1, 0, Impairment.NONE).sync();
            send(b, "they meet", addresses.linkAddress(0, 2));
            assertEquals("they meet", text(receive(c)));
            send(c, "and back", addresses.linkAddress(0, 1));
            assertEquals("and back", text(receive(b)));
            links.close();
        } finally {
            loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private static DatagramSocket socket(AddressBlock addresses, int party) throws IOException {
        DatagramSocket socket = new DatagramSocket(addresses.listenAddress(party));
        socket.setSoTimeout(60_000);
        return socket;
    }

    private static void send(DatagramSocket from, String text, InetSocketAddress to) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        from.send(new DatagramPacket(bytes, bytes.length, to));
    }

    private static DatagramPacket receive(DatagramSocket at) throws IOException {
        DatagramPacket packet = new DatagramPacket(new byte[1_500], 1_500);
        at.receive(packet);
        return packet;
    }

    private static String text(DatagramPacket packet) {
        return new String(packet.getData(), 0, packet.getLength(), StandardCharsets.UTF_8);
    }
}
