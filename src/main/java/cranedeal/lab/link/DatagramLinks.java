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
    private static final int MOST_WAITING = 65_536;
    private static final double NANOS_PER_MS = 1e6;

    /** A party: its own address, its group, and the channel at its link address. */
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
    /** Created for a pair when it is first used. */
    private final Map<Pair, Direction> directions = new HashMap<>();
    private final Map<Groups, Impairment> usual = new HashMap<>();
    private final List<Channel> relays = new ArrayList<>();
    private int waiting;

    /** Starts without parties. */
    public DatagramLinks(EventLoop loop, RandomGenerator random) {
        this.loop = loop;
        this.random = random;
    }

    /**
     * Adds a party.
     *
     * @param own where it listens and sends from; no other party may have that IP address
     * @param second the link address to which the others send
     */
    public Future<?> addParty(InetSocketAddress own, InetSocketAddress second) {
        return addParty(own, second, 0);
    }

    /** Adds a party to a group; otherwise like {@link #addParty(InetSocketAddress, InetSocketAddress)}. */
    public Future<?> addParty(InetSocketAddress own, InetSocketAddress second, int group) {
        Party party = new Party(own, group);
        loop.execute(() -> parties.put(own.getAddress(), party));
        relays.add(new ConnectionRelay(loop, this, own).bind(second).channel());
        return new Bootstrap().group(loop).channel(NioDatagramChannel.class).handler(new Arrivals(party))
                .bind(second).addListener((ChannelFuture bound) -> party.second = bound.channel());
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

    /**
     * Returns true if neither direction between two parties is blocked, or if the first address is no
     * party's. Runs on the event loop.
     */
    boolean isOpen(InetAddress one, InetAddress other) {
        Party first = parties.get(one);
        Party second = parties.get(other);
        return first == null || !direction(new Pair(first, second)).isSilent()
                && !direction(new Pair(second, first)).isSilent();
    }

    /** Closes all links. */
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

    /** Handles datagrams that arrive at a party's link address. */
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
            // The kernel reports a port without a listener; this counts as a lost datagram.
        }
    }
}
