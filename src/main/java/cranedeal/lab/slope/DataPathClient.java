package cranedeal.lab.slope;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;

/**
 * An open loop: sends each call when it is due, whatever became of those before, on connections that it
 * keeps. All sockets belong to one loop; the thread that plays only keeps time, as timers of a loop are as
 * coarse as a millisecond.
 */
final class DataPathClient {

    private static final int LARGEST = 64 * 1024;
    private static final double NANOS_PER_S = 1e9;
    private static final long LONGEST_NANOS = 60_000_000_000L;
    private static final long ANSWER_S = 10;
    /** After its patience and half a second more a call is lost; the client hangs up. */
    private static final long GIVE_UP_MS = 2_550;
    /** How far before a call is due the thread stops to sleep: the kernel wakes it some 50 us late. */
    private static final long SPIN_NANOS = 80_000;
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final Map<InetSocketAddress, ArrayDeque<Connection>> idle = new HashMap<>();
    private final int mostConnections;
    private int connections;
    private long lastId;
    private Tally tally;

    /** A client that holds as many connections as its calls need. */
    DataPathClient(EventLoop loop) {
        this(loop, Integer.MAX_VALUE);
    }

    /** A client that holds so many connections at most; calls beyond are not sent. */
    DataPathClient(EventLoop loop, int mostConnections) {
        this.loop = loop;
        this.mostConnections = mostConnections;
        bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true).handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(LARGEST),
                                new Connection(channel));
                    }
                });
    }

    /**
     * What became of the calls of a block.
     *
     * @param calls how many were due; each of them is counted in one of the next four
     * @param refused answered 503: the balancer turned them away
     * @param failed answered otherwise, or their connection broke
     * @param unanswered sent on a connection that was up, without any answer half a second after their time
     * @param unconnected whose connection had not come up by the end: nobody had room for it in the queue
     * @param unsent not sent, as the client held all connections that it may
     * @param ended how many of the failed ones saw their connection end without an answer
     * @param failures the failed ones by cause: a status, the end of a connection, a connect that failed
     * @param refusals the ids of the first refused calls
     * @param latency from a call's writing to its whole answer, of those served, in nanoseconds
     * @param lateness from when a call was due to its writing, in nanoseconds: the generator's own fault
     */
    record Block(long calls, long served, long refused, long failed, long unanswered, long unconnected,
            long unsent, long ended, Map<String, Long> failures, List<String> refusals, Histogram latency,
            Histogram lateness) { }

    private static final class Tally {

        private static final int IDS_KEPT = 20;

        private final long calls;
        private final CountDownLatch open;
        private long served;
        private long refused;
        private long failed;
        private final Map<String, Long> failures = new TreeMap<>();
        private long ended;
        private long unsent;
        private long unanswered;
        private final List<String> refusals = new ArrayList<>();
        private final Histogram latency = new Histogram(LONGEST_NANOS, 3);
        private final Histogram lateness = new Histogram(LONGEST_NANOS, 3);

        Tally(int calls) {
            this.calls = calls;
            open = new CountDownLatch(calls);
        }

        void fail(String cause) {
            failed++;
            failures.merge(cause, 1L, Long::sum);
            open.countDown();
        }

        Block block() {
            return new Block(calls, served, refused, failed, unanswered,
                    calls - served - refused - failed - unanswered - unsent, unsent, ended,
                    Map.copyOf(failures), List.copyOf(refusals), latency.copy(), lateness.copy());
        }
    }

    /**
     * Plays a block of calls and returns when all are answered: Poisson, the same for the same seed. Each
     * goes to a target at random.
     *
     * @param perS calls a second
     */
    Block play(List<InetSocketAddress> targets, double perS, double seconds, long seed)
            throws InterruptedException {
        return play(targets, LoadProfile.constant(perS, seconds), seed);
    }

    /** The same with a load that need not be constant. */
    Block play(List<InetSocketAddress> targets, LoadProfile load, long seed) throws InterruptedException {
        SplittableRandom random = new SplittableRandom(seed);
        List<Double> due = load.arrivals(random);
        Tally block = new Tally(due.size());
        loop.submit(() -> tally = block).sync();
        long start = System.nanoTime();
        for (double at : due) {
            long dueAt = start + (long) (at * NANOS_PER_S);
            InetSocketAddress target = targets.get(random.nextInt(targets.size()));
            awaitTime(dueAt);
            loop.execute(() -> call(block, target, dueAt));
        }
        block.open.await(ANSWER_S, TimeUnit.SECONDS);
        return loop.submit(block::block).sync().getNow();
    }

    private static void awaitTime(long nanos) throws InterruptedException {
        for (long left = nanos - System.nanoTime(); left > 0; left = nanos - System.nanoTime()) {
            if (left > SPIN_NANOS) {
                LockSupport.parkNanos(left - SPIN_NANOS);
            } else {
                Thread.onSpinWait();
            }
            if (Thread.interrupted()) {
                throw new InterruptedException();
            }
        }
    }

    /** Opens connections to be kept, each for one call; how many stand idle at the target in the end. */
    int open(InetSocketAddress target, int connections) throws InterruptedException {
        Tally block = new Tally(connections);
        loop.submit(() -> tally = block).sync();
        for (int i = 0; i < connections; i++) {
            loop.submit(() -> connect(block, target, System.nanoTime())).sync();
            // One after the other: a burst of calls is another thing to measure.
            TimeUnit.MILLISECONDS.sleep(1);
        }
        block.open.await(ANSWER_S, TimeUnit.SECONDS);
        return loop.submit(() -> idle.getOrDefault(target, new ArrayDeque<>()).size()).sync().getNow();
    }

    /** Closes all connections. */
    void close() throws InterruptedException {
        loop.submit(() -> {
            idle.values().stream().flatMap(ArrayDeque::stream).toList()
                    .forEach(connection -> connection.channel.close());
            idle.clear();
        }).sync();
    }

    private void call(Tally block, InetSocketAddress target, long dueAt) {
        ArrayDeque<Connection> kept = idle.computeIfAbsent(target, address -> new ArrayDeque<>());
        for (Connection one = kept.pollLast(); one != null; one = kept.pollLast()) {
            if (one.channel.isActive()) {
                one.send(block, dueAt);
                return;
            }
        }
        connect(block, target, dueAt);
    }

    private void connect(Tally block, InetSocketAddress target, long dueAt) {
        if (connections >= mostConnections) {
            block.unsent++;
            block.open.countDown();
            return;
        }
        connections++;
        bootstrap.connect(target).addListener((ChannelFuture up) -> {
            up.channel().closeFuture().addListener(closed -> connections--);
            if (up.isSuccess()) {
                Connection fresh = up.channel().pipeline().get(Connection.class);
                fresh.target = target;
                fresh.send(block, dueAt);
            } else {
                block.fail("connect: " + up.cause().getMessage());
            }
        });
    }

    /** A connection, and the call that is on it. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {

        private final Channel channel;
        private InetSocketAddress target;
        private Tally block;
        private String id;
        private long sentAt;

        Connection(Channel channel) {
            this.channel = channel;
        }

        void send(Tally to, long dueAt) {
            block = to;
            id = String.format(Locale.ROOT, "%016x", ++lastId);
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
                    "/" + DataPathConfig.CLASS + "/7");
            request.headers().set("Host", "app.svc").set("X-Txn", id).set("X-Lane", DataPathConfig.CLASS)
                    .set("X-Remaining", DataPathConfig.PATIENCE_S);
            sentAt = System.nanoTime();
            String sent = id;
            channel.eventLoop().schedule(() -> giveUp(to, sent), GIVE_UP_MS, TimeUnit.MILLISECONDS);
            block.lateness.recordValue(Math.min(LONGEST_NANOS, Math.max(0, sentAt - dueAt)));
            channel.writeAndFlush(request);
        }

        private void giveUp(Tally to, String waited) {
            if (block == to && waited.equals(id)) {
                block = null;
                to.unanswered++;
                to.open.countDown();
                channel.close();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            long took = System.nanoTime() - sentAt;
            Tally answered = block;
            block = null;
            if (answered == null) {
                ctx.close();
                return;
            }
            int status = response.status().code();
            if (status == OK) {
                answered.served++;
                answered.latency.recordValue(Math.min(LONGEST_NANOS, took));
            } else if (status == UNAVAILABLE) {
                answered.refused++;
                if (answered.refusals.size() < Tally.IDS_KEPT) {
                    answered.refusals.add(id);
                }
            }
            if (HttpUtil.isKeepAlive(response)) {
                idle.computeIfAbsent(target, address -> new ArrayDeque<>()).addLast(this);
            } else {
                ctx.close();
            }
            if (status == OK || status == UNAVAILABLE) {
                answered.open.countDown();
            } else {
                answered.fail("status " + status);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            ArrayDeque<Connection> kept = idle.get(target);
            if (kept != null) {
                kept.remove(this);
            }
            if (block != null) {
                block.ended++;
                block.fail("connection ended");
                block = null;
            }
            ctx.fireChannelInactive();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof IOException)) {
                java.util.logging.Logger.getLogger("sablehinge").log(java.util.logging.Level.WARNING,
                        "a connection of the bench failed", cause);
            }
            ctx.close();
        }
    }
}
