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
 * Emulates a TCP link: connections to {@link #address()} are relayed to the target. All state belongs to the
 * link's event loop; the methods may be called from any thread and return a future that completes when the
 * change is in force.
 *
 * <p>A blocked link keeps its connections open but silent, and no new connection can be established: the
 * listening socket is replaced by one with the shortest accept queue, which is filled up, so that the kernel
 * drops further SYNs. A link whose target is down refuses connections, as the target would.
 */
public final class StreamLink {

    private static final int BACKLOG = 1_024;
    /** Linux accepts one connection more than the backlog. */
    private static final int SHORTEST_BACKLOG = 1;
    private static final int FILLERS = SHORTEST_BACKLOG + 1;
    private static final int CONNECT_TIMEOUT_MS = 30_000;
    /** How often, and after which delay, to retry binding an address that has just been released. */
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
    /** Counts changes of the listening state, so that a bind that completes late is recognised as stale. */
    private int turn;

    /**
     * Creates a link that does not listen yet.
     *
     * @param address where the link listens
     * @param target where connections are relayed to
     * @param source the address they come from at the target, which identifies the party
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

    /** The address at which the link listens. */
    public InetSocketAddress address() {
        return address;
    }

    /** While the target is down, the link refuses connections. Open connections stay. */
    public Future<Void> setTargetUp(boolean isUp) {
        return change(() -> up = isUp);
    }

    /** Impairs both directions. Data held back by a blocked direction is delivered once that is over. */
    public Future<Void> impair(Impairment there, Impairment andBack) {
        return change(() -> {
            toTarget.impair(there);
            back.impair(andBack);
            List.copyOf(splices).forEach(RelayedConnection::resume);
        });
    }

    /** Resets all open connections at both ends, as after a restart of a machine. */
    public Future<Void> reset() {
        return change(() -> List.copyOf(splices).forEach(RelayedConnection::reset));
    }

    /** Closes the link and resets its connections. */
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

    /** Adjusts the listening socket to the state of the link. */
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
        // A closed socket that is registered with a selector is released only by the selector's next run.
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

    /** Fills the accept queue, one connection at a time. */
    private void stuff(int more, Promise<Void> inForce) {
        if (more == 0 || door != Door.STUFFED) {
            inForce.setSuccess(null);
            return;
        }
        ChannelFuture filler = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        // Only occupies a place in the accept queue.
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
