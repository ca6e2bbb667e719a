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
    private static final int MIN_BACKLOG = 1;
    private static final int FILLER_CONNECTIONS = MIN_BACKLOG + 1;
    private static final int CONNECT_TIMEOUT_MS = 30_000;
    /** How often, and after which delay, to retry binding an address that has just been released. */
    private static final int MAX_BIND_ATTEMPTS = 2_000;
    private static final long BIND_RETRY_MS = 1;

    private enum ListenState { OPEN, CLOSED, QUEUE_FULL }

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final InetSocketAddress target;
    private final InetAddress source;
    final Direction toTarget;
    final Direction fromTarget;
    private final Set<RelayedConnection> connections = new LinkedHashSet<>();
    private final List<Channel> fillers = new ArrayList<>();
    private Channel listening;
    private boolean targetUp = true;
    private ListenState listenState = ListenState.CLOSED;
    private boolean closed;
    /** Counts changes of the listening state, so that a bind that completes late is recognised as stale. */
    private int listenGeneration;

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
        fromTarget = new Direction(random);
    }

    /** The address at which the link listens. */
    public InetSocketAddress address() {
        return address;
    }

    /** While the target is down, the link refuses connections. Open connections stay. */
    public Future<Void> setTargetUp(boolean up) {
        return applyOnLoop(() -> targetUp = up);
    }

    /** Impairs both directions. Data held back by a blocked direction is delivered once that is over. */
    public Future<Void> impair(Impairment forward, Impairment reverse) {
        return applyOnLoop(() -> {
            toTarget.impair(forward);
            fromTarget.impair(reverse);
            List.copyOf(connections).forEach(RelayedConnection::resume);
        });
    }

    /** Resets all open connections at both ends, as after a restart of a machine. */
    public Future<Void> reset() {
        return applyOnLoop(() -> List.copyOf(connections).forEach(RelayedConnection::reset));
    }

    /** Closes the link and resets its connections. */
    public Future<Void> close() {
        return applyOnLoop(() -> {
            closed = true;
            List.copyOf(connections).forEach(RelayedConnection::reset);
        });
    }

    private Future<Void> applyOnLoop(Runnable change) {
        Promise<Void> promise = loop.newPromise();
        loop.execute(() -> {
            change.run();
            updateListener(promise);
        });
        return promise;
    }

    /** Adjusts the listening socket to the state of the link. */
    private void updateListener(Promise<Void> promise) {
        boolean blocked = toTarget.isBlocked() || fromTarget.isBlocked();
        ListenState wanted = closed || !targetUp && !blocked ? ListenState.CLOSED
                : blocked ? ListenState.QUEUE_FULL : ListenState.OPEN;
        if (wanted == listenState) {
            promise.setSuccess(null);
            return;
        }
        if (listening != null) {
            listening.close();
            listening = null;
        }
        fillers.forEach(Channel::close);
        fillers.clear();
        listenState = wanted;
        listenGeneration++;
        int generation = listenGeneration;
        // A closed socket that is registered with a selector is released only by the selector's next run.
        loop.schedule(() -> listen(generation, MAX_BIND_ATTEMPTS, promise), BIND_RETRY_MS,
                TimeUnit.MILLISECONDS);
    }

    private void listen(int generation, int attemptsLeft, Promise<Void> promise) {
        if (generation != listenGeneration || listenState == ListenState.CLOSED) {
            promise.setSuccess(null);
            return;
        }
        boolean open = listenState == ListenState.OPEN;
        ChannelFuture bound = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true).option(ChannelOption.AUTO_READ, open)
                .option(ChannelOption.SO_BACKLOG, open ? BACKLOG : MIN_BACKLOG)
                .childOption(ChannelOption.AUTO_READ, false)
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        onAccept(channel);
                    }
                }).bind(address);
        bound.addListener(future -> {
            if (!future.isSuccess() && attemptsLeft > 1) {
                loop.schedule(() -> listen(generation, attemptsLeft - 1, promise), BIND_RETRY_MS,
                        TimeUnit.MILLISECONDS);
            } else if (!future.isSuccess()) {
                promise.setFailure(future.cause());
            } else if (generation != listenGeneration) {
                bound.channel().close();
                promise.setSuccess(null);
            } else {
                listening = bound.channel();
                if (open) {
                    promise.setSuccess(null);
                } else {
                    fillAcceptQueue(FILLER_CONNECTIONS, promise);
                }
            }
        });
    }

    /** Fills the accept queue, one connection at a time. */
    private void fillAcceptQueue(int remaining, Promise<Void> promise) {
        if (remaining == 0 || listenState != ListenState.QUEUE_FULL) {
            promise.setSuccess(null);
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
        filler.addListener(future -> fillAcceptQueue(remaining - 1, promise));
    }

    private void onAccept(SocketChannel party) {
        RelayedConnection connection = new RelayedConnection(this, party);
        connections.add(connection);
        new Bootstrap().group(loop).channel(NioSocketChannel.class).option(ChannelOption.AUTO_READ, false)
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true).option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(connection.targetHandler())
                .connect(target, new InetSocketAddress(source, 0))
                .addListener((ChannelFuture attempt) -> connection.targetConnected(attempt));
    }

    EventLoop loop() {
        return loop;
    }

    void connectionEnded(RelayedConnection connection) {
        connections.remove(connection);
    }
}
