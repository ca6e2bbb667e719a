package cranedeal.lab.link;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * A link over TCP: a party connects to {@link #address()} and reaches the target as if it were there. All
 * state belongs to the link's loop; the methods may be called from any thread and tell by a future when the
 * change is in force.
 *
 * <p>A cut link keeps its open connections open and silent, and no new ones come up: the listening socket is
 * put back with the shortest accept queue and that is filled, so that the kernel drops what knocks. A link
 * whose target is down refuses, as the target would.
 */
public final class StreamLink {

    private static final int BACKLOG = 1_024;
    /** Linux takes one connection more than the backlog says. */
    private static final int SHORTEST_BACKLOG = 1;
    private static final int FILLERS = SHORTEST_BACKLOG + 1;
    private static final int CONNECT_TIMEOUT_MS = 30_000;
    /** How often, and how soon, to try for an address that is just given back. */
    private static final int BINDS = 2_000;
    private static final long BIND_AGAIN_MS = 1;

    private enum Door { OPEN, CLOSED, STUFFED }

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final InetSocketAddress target;
    private final InetAddress source;
    final Direction toTarget;
    final Direction back;
    private final Set<RelayedConnection> splices = new LinkedHashSet<>();
    private final List<Channel> fillers = new ArrayList<>();
    private Channel listening;
    private boolean up = true;
    private Door door = Door.CLOSED;
    private boolean ended;
    /** Counts the changes of the door, so that a listening socket that comes late is not taken for ours. */
    private int turn;

    /**
     * A link that is not open yet.
     *
     * @param address where the party connects
     * @param target where it is taken to
     * @param source the address it comes from there, by which the target knows the party
     */
    public StreamLink(EventLoop loop, InetSocketAddress address, InetSocketAddress target, InetAddress source,
            RandomGenerator random) {
        this.loop = loop;
        this.address = address;
        this.target = target;
        this.source = source;
        toTarget = new Direction(random);
        back = new Direction(random);
    }

    /** Where the party connects. */
    public InetSocketAddress address() {
        return address;
    }

    /** Whether the target is there; while it is not, the link refuses. What is open stays. */
    public Future<Void> setTargetUp(boolean isUp) {
        return change(() -> up = isUp);
    }

    /** Changes both directions; what was held back by silence goes on its way when that is over. */
    public Future<Void> impair(Impairment there, Impairment andBack) {
        return change(() -> {
            toTarget.impair(there);
            back.impair(andBack);
            List.copyOf(splices).forEach(RelayedConnection::resume);
        });
    }

    /** Resets all open connections at both ends, as a machine does that has forgotten them. */
    public Future<Void> reset() {
        return change(() -> List.copyOf(splices).forEach(RelayedConnection::reset));
    }

    /** Ends the link and all its connections. */
    public Future<Void> close() {
        return change(() -> {
            ended = true;
            List.copyOf(splices).forEach(RelayedConnection::reset);
        });
    }

    private Future<Void> change(Runnable change) {
        Promise<Void> inForce = loop.newPromise();
        loop.execute(() -> {
            change.run();
            settle(inForce);
        });
        return inForce;
    }

    /** Brings the listening socket in line with what the link is to be. */
    private void settle(Promise<Void> inForce) {
        boolean cut = toTarget.isSilent() || back.isSilent();
        Door wanted = ended || !up && !cut ? Door.CLOSED : cut ? Door.STUFFED : Door.OPEN;
        if (wanted == door) {
            inForce.setSuccess(null);
            return;
        }
        if (listening != null) {
            listening.close();
            listening = null;
        }
        fillers.forEach(Channel::close);
        fillers.clear();
        door = wanted;
        turn++;
        int ofThisTurn = turn;
        // A socket that a selector knows is given back to the system only at the next look at the selector.
        loop.schedule(() -> listen(ofThisTurn, BINDS, inForce), BIND_AGAIN_MS, TimeUnit.MILLISECONDS);
    }

    private void listen(int ofTurn, int tries, Promise<Void> inForce) {
        if (ofTurn != turn || door == Door.CLOSED) {
            inForce.setSuccess(null);
            return;
        }
        boolean open = door == Door.OPEN;
        ChannelFuture bound = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true).option(ChannelOption.AUTO_READ, open)
                .option(ChannelOption.SO_BACKLOG, open ? BACKLOG : SHORTEST_BACKLOG)
                .childOption(ChannelOption.AUTO_READ, false)
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        accepted(channel);
                    }
                }).bind(address);
        bound.addListener(done -> {
            if (!done.isSuccess() && tries > 1) {
                loop.schedule(() -> listen(ofTurn, tries - 1, inForce), BIND_AGAIN_MS, TimeUnit.MILLISECONDS);
            } else if (!done.isSuccess()) {
                inForce.setFailure(done.cause());
            } else if (ofTurn != turn) {
                bound.channel().close();
                inForce.setSuccess(null);
            } else {
                listening = bound.channel();
                if (open) {
                    inForce.setSuccess(null);
                } else {
                    stuff(FILLERS, inForce);
                }
            }
        });
    }

    /** Fills the accept queue, one connection after the other. */
    private void stuff(int more, Promise<Void> inForce) {
        if (more == 0 || door != Door.STUFFED) {
            inForce.setSuccess(null);
            return;
        }
        ChannelFuture filler = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        // Only there to take up room.
                    }
                }).connect(address);
        fillers.add(filler.channel());
        filler.addListener(done -> stuff(more - 1, inForce));
    }

    private void accepted(SocketChannel party) {
        RelayedConnection splice = new RelayedConnection(this, party);
        splices.add(splice);
        new Bootstrap().group(loop).channel(NioSocketChannel.class).option(ChannelOption.AUTO_READ, false)
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true).option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(splice.ofTarget())
                .connect(target, new InetSocketAddress(source, 0))
                .addListener((ChannelFuture attempt) -> splice.connected(attempt));
    }

    EventLoop loop() {
        return loop;
    }

    void ended(RelayedConnection splice) {
        splices.remove(splice);
    }
}
