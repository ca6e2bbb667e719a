package cranedeal.lab.standin;

import cranedeal.lab.history.Effect;
import cranedeal.lab.history.Event;
import cranedeal.lab.history.Event.End;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
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
import io.netty.util.concurrent.Future;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.HdrHistogram.Histogram;

/**
 * All clients. They send each request when it is due, regardless of the outcome of earlier ones, on
 * connections that the front assigns and that they keep alive for a while. Each try of a request has its own
 * id. All state is confined to one event loop; {@link #lateness()} shows if that loop was too slow.
 */
public final class Clients {

    /** How long to wait beyond the deadline, to distinguish a late answer from none at all. */
    public static final double SLACK_MS = 500;
    /**
     * If a kept connection closes within this time after a write, the balancer may have closed it before the
     * request reached it.
     */
    private static final double STALE_CONNECTION_MS = 50;
    /** The connect timeout. */
    private static final int CONNECT_MS = 1_000;
    private static final int MAX_ANSWER_BYTES = 1024 * 1024;
    private static final double MS_PER_S = 1_000;
    private static final double NANOS_PER_MS = 1e6;
    private static final int OK = 200;
    private static final int TOO_MANY = 429;
    private static final int UNAVAILABLE = 503;
    private static final ByteBuf BODY = Unpooled.unreleasableBuffer(Unpooled.copiedBuffer(
            "{\"slot\":\"2026-12-01T10:20\",\"for\":\"somebody\"}", StandardCharsets.UTF_8));
    private static final int MAX_LATENESS_US = 60_000_000;

    private final EventLoop loop;
    private final Front front;
    private final Load load;
    private final LabClock clock;
    private final RandomGenerator random;
    private final Consumer<Event> history;
    private final Arrivals arrivals;
    private final Histogram lateness = new Histogram(MAX_LATENESS_US, 3);
    private final CompletableFuture<Void> done = new CompletableFuture<>();
    private final ArrayDeque<Connection> idle = new ArrayDeque<>();
    private final Bootstrap bootstrap;
    private Arrivals.Arrival next;
    private double startedAt;
    private int connections;
    private long missed;
    private long open;
    private long tries;

    /** Creates the clients without starting them. */
    public Clients(EventLoop loop, Front front, Load load, LabClock clock, RandomGenerator random,
            Consumer<Event> history) {
        this.loop = loop;
        this.front = front;
        this.load = load;
        this.clock = clock;
        this.random = random;
        this.history = history;
        arrivals = new Arrivals(load, random);
        bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpClientCodec(),
                                new HttpObjectAggregator(MAX_ANSWER_BYTES), new Connection());
                    }
                });
    }

    /** Starts the warm-up; returns the time on the lab's clock at which it ends and the load counts. */
    public double start() {
        double counts = clock.now() + load.warmUpMs();
        loop.execute(() -> {
            startedAt = counts;
            next = arrivals.next();
            loop.schedule(() -> history.accept(new Event.LoadChanged(counts, true)),
                    (long) (load.warmUpMs() * NANOS_PER_MS), TimeUnit.NANOSECONDS);
            sendDue();
        });
        return counts;
    }

    /** Completes when every request has ended. */
    public CompletableFuture<Void> done() {
        return done;
    }

    /** Returns how late requests were sent, in microseconds. Call it only when the clients are done. */
    public Histogram lateness() {
        return lateness;
    }

    /** Returns how many tries failed because all connections were in use. Call it only when done. */
    public long missed() {
        return missed;
    }

    private void sendDue() {
        double now = clock.now() - startedAt;
        while (next != null && next.due() <= now) {
            if (next.due() >= 0) {
                lateness.recordValue((long) Math.min((now - next.due()) * MS_PER_S, MAX_LATENESS_US));
            }
            open++;
            new Request(next).tryOnce();
            next = arrivals.next();
        }
        if (next != null) {
            loop.schedule(this::sendDue, (long) ((next.due() - now) * NANOS_PER_MS), TimeUnit.NANOSECONDS);
        } else {
            endIfDone();
        }
    }

    private void endIfDone() {
        if (next == null && open == 0) {
            idle.forEach(connection -> connection.channel.close());
            history.accept(new Event.LoadChanged(clock.now(), false));
            done.complete(null);
        }
    }

    /** A request with all its tries. */
    private final class Request {

        private final Arrivals.Arrival arrival;
        private final double dueAt;
        private int tried;

        Request(Arrivals.Arrival arrival) {
            this.arrival = arrival;
            dueAt = startedAt + arrival.due();
        }

        double timeLeft() {
            return dueAt + arrival.serviceClass().deadlineMs() - clock.now();
        }

        void tryOnce() {
            tried++;
            new Try(this).start();
        }

        void ended(End end, double retryAfterMs) {
            // A refused try, or one that reached no balancer, can be retried; any other only if idempotent.
            boolean harmless = end == End.REFUSED || end == End.UNREACHABLE
                    || arrival.serviceClass().effect() == Effect.IDEMPOTENT;
            double wait = Math.max(retryAfterMs, load.backoffMs() * (1L << tried - 1)
                    * (0.5 + random.nextDouble()));
            if (end != End.SERVED && harmless && tried < load.tries() && wait < timeLeft()) {
                loop.schedule(this::tryOnce, (long) (wait * NANOS_PER_MS), TimeUnit.NANOSECONDS);
                return;
            }
            double now = clock.now();
            history.accept(new Event.Ended(now, arrival.number(), arrival.serviceClass().name(), end, tried,
                    now - dueAt));
            open--;
            endIfDone();
        }
    }

    /** One try of a request, with its own id. */
    private final class Try {

        private final Request request;
        private final String id;
        private final double deadline;
        private Front.Backend backend;
        private Connection connection;
        private Future<?> expiry;
        private boolean resent;
        private boolean over;

        Try(Request request) {
            this.request = request;
            tries++;
            id = String.format(Locale.ROOT, "%016x", tries);
            deadline = clock.now() + request.timeLeft();
        }

        void start() {
            Connection kept = keptConnection();
            backend = kept == null ? front.next() : kept.backend;
            history.accept(new Event.Sent(clock.now(), id, request.arrival.number(),
                    backend == null ? "" : backend.name(), request.arrival.serviceClass().name(),
                    request.dueAt, deadline));
            expiry = loop.schedule(() -> end(End.SILENT, 0, 0),
                    (long) ((request.timeLeft() + SLACK_MS) * NANOS_PER_MS), TimeUnit.NANOSECONDS);
            if (kept != null) {
                kept.send(this);
            } else {
                connect();
            }
        }

        private void connect() {
            if (backend == null) {
                end(End.UNREACHABLE, 0, 0);
                return;
            }
            if (connections >= load.connections()) {
                missed++;
                end(End.UNREACHABLE, 0, 0);
                return;
            }
            connections++;
            Front.Backend to = backend;
            bootstrap.connect(to.address()).addListener((ChannelFuture up) -> {
                if (!up.isSuccess()) {
                    connections--;
                    end(End.UNREACHABLE, 0, 0);
                    return;
                }
                Connection fresh = up.channel().pipeline().get(Connection.class);
                fresh.backend = to;
                if (over) {
                    fresh.keep();
                } else {
                    fresh.send(this);
                }
            });
        }

        /** Handles a connection that closed without an answer. */
        void broken(boolean wasKept, double writtenAt) {
            connection = null;
            if (wasKept && !resent && !over && clock.now() < writtenAt + STALE_CONNECTION_MS) {
                resent = true;
                backend = front.next();
                connect();
            } else {
                end(End.BROKEN, 0, 0);
            }
        }

        void end(End end, int status, double retryAfterMs) {
            if (over) {
                return;
            }
            over = true;
            expiry.cancel(false);
            history.accept(new Event.Answered(clock.now(), id, request.arrival.number(),
                    backend == null ? "" : backend.name(), end, status));
            if (end == End.SILENT && connection != null) {
                connection.channel.close();
            }
            request.ended(end, retryAfterMs);
        }

        DefaultFullHttpRequest message() {
            ServiceClass of = request.arrival.serviceClass();
            boolean safe = of.effect() == Effect.IDEMPOTENT;
            DefaultFullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1,
                    safe ? HttpMethod.GET : HttpMethod.POST,
                    String.format(Locale.ROOT, "/%s/%d?w=%.3f", of.name(), request.arrival.number(),
                            request.arrival.work()), safe ? Unpooled.EMPTY_BUFFER : BODY.duplicate());
            message.headers().set("Host", "app.svc").set("X-Txn", id).set("X-Lane", of.name())
                    .set("X-Remaining", String.format(Locale.ROOT, "%.3f",
                            Math.max(0, deadline - clock.now()) / MS_PER_S));
            if (request.arrival.tenant() != null) {
                message.headers().set("X-Org", request.arrival.tenant());
            }
            if (of.effect() == Effect.DEDUPLICATED) {
                message.headers().set("Idempotency-Key", String.format(Locale.ROOT, "%032x",
                        request.arrival.number()));
            }
            if (!safe) {
                message.headers().set("Content-Length", BODY.readableBytes());
            }
            return message;
        }
    }

    private Connection keptConnection() {
        for (Connection kept = idle.poll(); kept != null; kept = idle.poll()) {
            if (kept.channel.isActive() && clock.now() < kept.until) {
                return kept;
            }
            kept.channel.close();
        }
        return null;
    }

    /** A connection to a balancer and the try that it carries. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {

        private final double until = clock.now() + load.connectionLifeMs() * (0.5 + random.nextDouble());
        private Channel channel;
        private Front.Backend backend;
        private Try subject;
        private boolean wasKept;
        private double writtenAt;

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            channel = ctx.channel();
        }

        void send(Try attempt) {
            subject = attempt;
            attempt.connection = this;
            writtenAt = clock.now();
            channel.writeAndFlush(attempt.message());
        }

        void keep() {
            subject = null;
            wasKept = true;
            idle.add(this);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            Try answered = subject;
            subject = null;
            if (HttpUtil.isKeepAlive(response) && answered != null) {
                keep();
            } else {
                ctx.close();
            }
            if (answered != null) {
                int status = response.status().code();
                boolean refused = status == TOO_MANY || status == UNAVAILABLE;
                End end = status == OK ? End.SERVED : refused ? End.REFUSED : End.FAILED;
                answered.end(end, status, retryAfterMs(response));
            }
        }

        private double retryAfterMs(FullHttpResponse response) {
            String text = response.headers().get("Retry-After", "0");
            try {
                return Double.parseDouble(text) * MS_PER_S;
            } catch (NumberFormatException e) {
                return 0;
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections--;
            idle.remove(this);
            Try broken = subject;
            subject = null;
            if (broken != null) {
                broken.broken(wasKept, writtenAt);
            }
            ctx.fireChannelInactive();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
