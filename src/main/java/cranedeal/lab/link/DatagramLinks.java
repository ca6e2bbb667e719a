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
 * Emulates UDP links between parties. A party listens at its own address and advertises a second one, its
 * link address, which is bound here. A datagram that arrives at a link address is matched to its sender by
 * source address, passes the link between the two, and leaves from the sender's link address, so that the
 * receiver can answer there. TCP connections to the link address are relayed likewise. All state belongs to
 * one event loop.
 */
public final class DatagramLinks {

    /** How many delayed datagrams are queued at most; further ones are lost, as with a full buffer. */
    private static final int MAX_QUEUED_DATAGRAMS = 65_536;
    private static final double NANOS_PER_MS = 1e6;

    /** A party: its own address, its group, and the channel at its link address. */
    private static final class Party {

        private final InetSocketAddress ownAddress;
        private final int group;
        private Channel linkChannel;

        Party(InetSocketAddress ownAddress, int group) {
            this.ownAddress = ownAddress;
            this.group = group;
        }
    }

    private record Pair(Party from, Party to) { }

    private record Groups(int from, int to) { }

    private final EventLoop loop;
    private final RandomGenerator random;
    private final Map<InetAddress, Party> parties = new HashMap<>();
    /** Created for a pair when it is first used. */
    private final Map<Pair, Direction> directions = new HashMap<>();
    private final Map<Groups, Impairment> groupImpairments = new HashMap<>();
    private final List<Channel> relays = new ArrayList<>();
    private int queuedDatagrams;

    /** Starts without parties. */
    public DatagramLinks(EventLoop loop, RandomGenerator random) {
        this.loop = loop;
        this.random = random;
    }

    /**
     * Adds a party.
     *
     * @param ownAddress where it listens and sends from; no other party may have that IP address
     * @param linkAddress the link address to which the others send
     */
    public Future<?> addParty(InetSocketAddress ownAddress, InetSocketAddress linkAddress) {
        return addParty(ownAddress, linkAddress, 0);
    }

    /** Adds a party to a group; otherwise like {@link #addParty(InetSocketAddress, InetSocketAddress)}. */
    public Future<?> addParty(InetSocketAddress ownAddress, InetSocketAddress linkAddress, int group) {
        Party party = new Party(ownAddress, group);
        loop.execute(() -> parties.put(ownAddress.getAddress(), party));
        relays.add(new ConnectionRelay(loop, this, ownAddress).bind(linkAddress).channel());
        return new Bootstrap().group(loop).channel(NioDatagramChannel.class)
                .handler(new LinkAddressHandler(party))
                .bind(linkAddress).addListener((ChannelFuture bound) -> party.linkChannel = bound.channel());
    }

    /** Impairs the direction from one party to another; not the opposite one. */
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

    /** Impairs both directions between all parties of two groups; replaces earlier impairments. */
    public Future<?> impairGroups(int firstGroup, int secondGroup, Impairment impairment) {
        return loop.submit(() -> {
            Groups forward = new Groups(firstGroup, secondGroup);
            Groups reverse = new Groups(secondGroup, firstGroup);
            groupImpairments.put(forward, impairment);
            groupImpairments.put(reverse, impairment);
            directions.forEach((pair, direction) -> {
                Groups groups = new Groups(pair.from.group, pair.to.group);
                if (groups.equals(forward) || groups.equals(reverse)) {
                    direction.impair(impairment);
                }
            });
        });
    }

    /**
     * Returns true if neither direction between two parties is blocked, or if the first address is no
     * party's. Runs on the event loop.
     */
    boolean isOpenBothWays(InetAddress firstAddress, InetAddress secondAddress) {
        Party first = parties.get(firstAddress);
        Party second = parties.get(secondAddress);
        return first == null || !direction(new Pair(first, second)).isBlocked()
                && !direction(new Pair(second, first)).isBlocked();
    }

    /** Closes all links. */
    public void close() {
        relays.forEach(relay -> relay.close().awaitUninterruptibly());
        List<Channel> open = new ArrayList<>();
        loop.submit(() -> parties.values().forEach(party -> open.add(party.linkChannel)))
                .awaitUninterruptibly();
        open.stream().filter(channel -> channel != null)
                .forEach(channel -> channel.close().awaitUninterruptibly());
    }

    private Direction direction(Pair pair) {
        return directions.computeIfAbsent(pair, absent -> {
            Direction direction = new Direction(random);
            direction.impair(groupImpairments.getOrDefault(new Groups(pair.from.group, pair.to.group),
                    Impairment.NONE));
            return direction;
        });
    }

    /** Handles datagrams that arrive at a party's link address. */
    private final class LinkAddressHandler extends SimpleChannelInboundHandler<DatagramPacket> {

        private final Party to;

        LinkAddressHandler(Party to) {
            this.to = to;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            Party from = parties.get(packet.sender().getAddress());
            if (from == null || from.linkChannel == null) {
                return;
            }
            ByteBuf content = packet.content();
            double now = System.nanoTime() / NANOS_PER_MS;
            for (double due : direction(new Pair(from, to)).datagramDeliveries(now,
                    content.readableBytes())) {
                if (queuedDatagrams < MAX_QUEUED_DATAGRAMS) {
                    queuedDatagrams++;
                    DatagramPacket copy = new DatagramPacket(content.copy(), to.ownAddress);
                    loop.schedule(() -> {
                        queuedDatagrams--;
                        from.linkChannel.writeAndFlush(copy);
                    }, (long) ((due - now) * NANOS_PER_MS), TimeUnit.NANOSECONDS);
                }
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // The kernel reports a port without a listener; this counts as a lost datagram.
        }
    }
}
