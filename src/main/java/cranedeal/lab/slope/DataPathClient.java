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
 * An open-loop load generator: it sends each call when it is due, whether or not earlier calls have ended,
 * and reuses its connections. All sockets belong to one event loop. The calling thread only keeps time,
 * because the event loop's timers are no finer than a millisecond.
 */
final class DataPathClient {

    private static final int MAX_RESPONSE_BYTES = 64 * 1024;
    private static final double NANOS_PER_S = 1e9;
    private static final long MAX_RECORDED_NANOS = 60_000_000_000L;
    private static final long ANSWER_TIMEOUT_S = 10;
    /** After its deadline and about half a second more a call counts as unanswered, and the client closes. */
    private static final long GIVE_UP_MS = 2_550;
    /** The thread spins for this long before a call is due, as the kernel wakes it about 50 us late. */
    private static final long SPIN_NANOS = 80_000;
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final Map<InetSocketAddress, ArrayDeque<Connection>> idle = new HashMap<>();
    private final int maxConnections;
    private int connections;
    private long lastId;
    private Counters counters;

    /** Creates a client with no limit on its connections. */
    DataPathClient(EventLoop loop) {
        this(loop, Integer.MAX_VALUE);
    }

    /** Creates a client with a connection limit; calls that would need more connections are not sent. */
    DataPathClient(EventLoop loop, int mostConnections) {
        this.loop = loop;
        this.maxConnections = mostConnections;
        bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true).handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpClientCodec(),
                                new HttpObjectAggregator(MAX_RESPONSE_BYTES), new Connection(channel));
                    }
                });
    }

    /**
     * The results of a block of calls.
     *
     * @param calls how many were due; each is counted in exactly one of {@code served}, {@code refused},
     *     {@code failed}, {@code unanswered}, {@code unconnected} and {@code unsent}
     * @param refused answered 503: the balancer shed them
     * @param failed answered with another status, or their connection broke
     * @param unanswered sent on an established connection, without an answer half a second after the deadline
     * @param unconnected their connection was not established by the end, as the accept queue was full
     * @param unsent not sent, as the client had reached its connection limit
     * @param ended how many of the failed calls had their connection closed without an answer
     * @param failures the failed calls by cause: a status, a closed connection, a failed connect
     * @param refusals the ids of the first refused calls
     * @param latency from writing a call to its complete answer, for served calls, in nanoseconds
     * @param lateness from when a call was due to writing it, in nanoseconds: the generator's own delay
     */
    record Results(long calls, long served, long refused, long failed, long unanswered, long unconnected,
            long unsent, long ended, Map<String, Long> failures, List<String> refusals, Histogram latency,
            Histogram lateness) { }

    private static final class Counters {

        private static final int MAX_REFUSAL_IDS = 20;

        private final long calls;
        private final CountDownLatch pending;
        private long served;
        private long refused;
        private long failed;
        private final Map<String, Long> failures = new TreeMap<>();
        private long ended;
        private long unsent;
        private long unanswered;
        private final List<String> refusals = new ArrayList<>();
        private final Histogram latency = new Histogram(MAX_RECORDED_NANOS, 3);
        private final Histogram lateness = new Histogram(MAX_RECORDED_NANOS, 3);

        Counters(int calls) {
            this.calls = calls;
            pending = new CountDownLatch(calls);
        }

        void fail(String cause) {
            failed++;
            failures.merge(cause, 1L, Long::sum);
            pending.countDown();
        }

        Results results() {
            return new Results(calls, served, refused, failed, unanswered,
                    calls - served - refused - failed - unanswered - unsent, unsent, ended,
                    Map.copyOf(failures), List.copyOf(refusals), latency.copy(), lateness.copy());
        }
    }

    /**
     * Sends a block of calls with Poisson arrivals and waits up to 10 s for the answers that are still
     * missing. Each call goes to a random target; the same seed gives the same calls.
     *
     * @param perS calls per second
     */
    Results run(List<InetSocketAddress> targets, double perS, double seconds, long seed)
            throws InterruptedException {
        return run(targets, LoadProfile.constant(perS, seconds), seed);
    }

    /** Sends a block of calls with a load that may vary. */
    Results run(List<InetSocketAddress> targets, LoadProfile load, long seed) throws InterruptedException {
        SplittableRandom random = new SplittableRandom(seed);
        List<Double> due = load.arrivals(random);
        Counters counted = new Counters(due.size());
        loop.submit(() -> counters = counted).sync();
        long start = System.nanoTime();
        for (double at : due) {
            long dueAt = start + (long) (at * NANOS_PER_S);
            InetSocketAddress target = targets.get(random.nextInt(targets.size()));
            awaitTime(dueAt);
            loop.execute(() -> call(counted, target, dueAt));
        }
        counted.pending.await(ANSWER_TIMEOUT_S, TimeUnit.SECONDS);
        return loop.submit(counted::results).sync().getNow();
    }

    private static void awaitTime(long nanos) throws InterruptedException {
        for (long remaining = nanos - System.nanoTime(); remaining > 0;
                remaining = nanos - System.nanoTime()) {
            if (remaining > SPIN_NANOS) {
                LockSupport.parkNanos(remaining - SPIN_NANOS);
            } else {
                Thread.onSpinWait();
            }
            if (Thread.interrupted()) {
                throw new InterruptedException();
            }
        }
    }

    /** Opens connections to the target with one call on each, and returns how many are idle at the end. */
    int open(InetSocketAddress target, int connections) throws InterruptedException {
        Counters counted = new Counters(connections);
        loop.submit(() -> counters = counted).sync();
        for (int i = 0; i < connections; i++) {
            loop.submit(() -> connect(counted, target, System.nanoTime())).sync();
            // Spaced out, as this measures idle connections and not a burst of calls.
            TimeUnit.MILLISECONDS.sleep(1);
        }
        counted.pending.await(ANSWER_TIMEOUT_S, TimeUnit.SECONDS);
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

    private void call(Counters counted, InetSocketAddress target, long dueAt) {
        ArrayDeque<Connection> idleConnections = idle.computeIfAbsent(target, address -> new ArrayDeque<>());
        for (Connection connection = idleConnections.pollLast(); connection != null;
                connection = idleConnections.pollLast()) {
            if (connection.channel.isActive()) {
                connection.send(counted, dueAt);
                return;
            }
        }
        connect(counted, target, dueAt);
    }

    private void connect(Counters counted, InetSocketAddress target, long dueAt) {
        if (connections >= maxConnections) {
            counted.unsent++;
            counted.pending.countDown();
            return;
        }
        connections++;
        bootstrap.connect(target).addListener((ChannelFuture connected) -> {
            connected.channel().closeFuture().addListener(closed -> connections--);
            if (connected.isSuccess()) {
                Connection fresh = connected.channel().pipeline().get(Connection.class);
                fresh.target = target;
                fresh.send(counted, dueAt);
            } else {
                counted.fail("connect: " + connected.cause().getMessage());
            }
        });
    }

    /** A connection and the call in flight on it. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {

        private final Channel channel;
        private InetSocketAddress target;
        private Counters counters;
        private String id;
        private long sentAt;

        Connection(Channel channel) {
            this.channel = channel;
        }

        void send(Counters callCounters, long dueAt) {
            counters = callCounters;
            id = String.format(Locale.ROOT, "%016x", ++lastId);
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
                    "/" + DataPathConfig.CLASS + "/7");
            request.headers().set("Host", "app.svc").set("X-Txn", id).set("X-Lane", DataPathConfig.CLASS)
                    .set("X-Remaining", DataPathConfig.TIME_LIMIT_S);
            sentAt = System.nanoTime();
            String sent = id;
            channel.eventLoop().schedule(() -> giveUp(callCounters, sent), GIVE_UP_MS, TimeUnit.MILLISECONDS);
            counters.lateness.recordValue(Math.min(MAX_RECORDED_NANOS, Math.max(0, sentAt - dueAt)));
            channel.writeAndFlush(request);
        }

        private void giveUp(Counters waiting, String waited) {
            if (counters == waiting && waited.equals(id)) {
                counters = null;
                waiting.unanswered++;
                waiting.pending.countDown();
                channel.close();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            long took = System.nanoTime() - sentAt;
            Counters answered = counters;
            counters = null;
            if (answered == null) {
                ctx.close();
                return;
            }
            int status = response.status().code();
            if (status == OK) {
                answered.served++;
                answered.latency.recordValue(Math.min(MAX_RECORDED_NANOS, took));
            } else if (status == UNAVAILABLE) {
                answered.refused++;
                if (answered.refusals.size() < Counters.MAX_REFUSAL_IDS) {
                    answered.refusals.add(id);
                }
            }
            if (HttpUtil.isKeepAlive(response)) {
                idle.computeIfAbsent(target, address -> new ArrayDeque<>()).addLast(this);
            } else {
                ctx.close();
            }
            if (status == OK || status == UNAVAILABLE) {
                answered.pending.countDown();
            } else {
                answered.fail("status " + status);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            ArrayDeque<Connection> idleConnections = idle.get(target);
            if (idleConnections != null) {
                idleConnections.remove(this);
            }
            if (counters != null) {
                counters.ended++;
                counters.fail("connection ended");
                counters = null;
            }
            ctx.fireChannelInactive();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof IOException)) {
                java.util.logging.Logger.getLogger("sablehinge").log(java.util.logging.Level.WARNING,
                        "load generator: a connection failed", cause);
            }
            ctx.close();
        }
    }
}
