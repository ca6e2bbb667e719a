package cranedeal.lab.link;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.util.concurrent.Future;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Links over UDP between parties that know one another by one address each. A party listens at its own
 * address and tells others a second one, which is held here. What comes to that is known by the address it
 * comes from, goes through the link between the two, and leaves from the sender's second address, so that
 * the receiver can answer there. Connections to the second address are taken on likewise. All state belongs
 * to one loop.
 */
public final class DatagramLinks {

    /** How many datagrams wait for their time; beyond that they are lost, as in a full buffer. */
    private static final int MOST_WAITING = 65_536;
    private static final double NANOS_PER_MS = 1e6;

    /** One party. */
    private static final class Party {

        private final InetSocketAddress own;
        private final int group;
        private Channel second;

        Party(InetSocketAddress own, int group) {
            this.own = own;
            this.group = group;
        }
    }

    private record Pair(Party from, Party to) { }

    private record Groups(int from, int to) { }

    private final EventLoop loop;
    private final RandomGenerator random;
    private final Map<InetAddress, Party> parties = new HashMap<>();
    /** Only of the pairs between which something has passed. */
    private final Map<Pair, Direction> directions = new HashMap<>();
    private final Map<Groups, Impairment> usual = new HashMap<>();
    private final List<Channel> relays = new ArrayList<>();
    private int waiting;

    /** No parties yet. */
    public DatagramLinks(EventLoop loop, RandomGenerator random) {
        this.loop = loop;
        this.random = random;
    }

    /**
     * Takes in a party.
     *
     * @param own where it listens and sends from; no other party may have that IP address
     * @param second where the others are to send to it
     */
    public Future<?> addParty(InetSocketAddress own, InetSocketAddress second) {
        return addParty(own, second, 0);
    }

    /** Takes in a party of a group; as {@link #addParty(InetSocketAddress, InetSocketAddress)} otherwise. */
    public Future<?> addParty(InetSocketAddress own, InetSocketAddress second, int group) {
        Party party = new Party(own, group);
        loop.execute(() -> parties.put(own.getAddress(), party));
        relays.add(new ConnectionRelay(loop, this, own).bind(second).channel());
        return new Bootstrap().group(loop).channel(NioDatagramChannel.class).handler(new Arrivals(party))
                .bind(second).addListener((ChannelFuture bound) -> party.second = bound.channel());
    }

    /** Changes the way from one party to another; not the way back. */
    public Future<?> impair(InetAddress from, InetAddress to, Impairment impairment) {
        return loop.submit(() -> {
            Party sender = parties.get(from);
            Party receiver = parties.get(to);
            if (sender == null || receiver == null) {
                throw new IllegalArgumentException("no party at " + (sender == null ? from : to));
            }
            direction(new Pair(sender, receiver)).impair(impairment);
        });
    }

    /** Changes all ways between the parties of two groups, there and back, in place of what they were. */
    public Future<?> impairGroups(int one, int other, Impairment impairment) {
        return loop.submit(() -> {
            Groups there = new Groups(one, other);
            Groups back = new Groups(other, one);
            usual.put(there, impairment);
            usual.put(back, impairment);
            directions.forEach((pair, direction) -> {
                Groups its = new Groups(pair.from.group, pair.to.group);
                if (its.equals(there) || its.equals(back)) {
                    direction.impair(impairment);
                }
            });
        });
    }

    /** Whether anything passes both ways, as it always does for who is no party. On the links' loop. */
    boolean isOpen(InetAddress one, InetAddress other) {
        Party first = parties.get(one);
        Party second = parties.get(other);
        return first == null || !direction(new Pair(first, second)).isSilent()
                && !direction(new Pair(second, first)).isSilent();
    }

    /** Ends all links. */
    public void close() {
        relays.forEach(relay -> relay.close().awaitUninterruptibly());
        List<Channel> open = new ArrayList<>();
        loop.submit(() -> parties.values().forEach(party -> open.add(party.second))).awaitUninterruptibly();
        open.stream().filter(channel -> channel != null)
                .forEach(channel -> channel.close().awaitUninterruptibly());
    }

    private Direction direction(Pair pair) {
        return directions.computeIfAbsent(pair, absent -> {
            Direction made = new Direction(random);
            made.impair(usual.getOrDefault(new Groups(pair.from.group, pair.to.group), Impairment.NONE));
            return made;
        });
    }

    /** What comes to a party's second address. */
    private final class Arrivals extends SimpleChannelInboundHandler<DatagramPacket> {

        private final Party to;

        Arrivals(Party to) {
            this.to = to;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            Party from = parties.get(packet.sender().getAddress());
            if (from == null || from.second == null) {
                return;
            }
            ByteBuf content = packet.content();
            double now = System.nanoTime() / NANOS_PER_MS;
            for (double due : direction(new Pair(from, to)).ofDatagram(now, content.readableBytes())) {
                if (waiting < MOST_WAITING) {
                    waiting++;
                    DatagramPacket copy = new DatagramPacket(content.copy(), to.own);
                    loop.schedule(() -> {
                        waiting--;
                        from.second.writeAndFlush(copy);
                    }, (long) ((due - now) * NANOS_PER_MS), TimeUnit.NANOSECONDS);
                }
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // A port where nobody listens is told by the kernel, and is no more than a lost datagram.
        }
    }
}
