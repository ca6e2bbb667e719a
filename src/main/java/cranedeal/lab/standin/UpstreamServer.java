package cranedeal.lab.standin;

import cranedeal.lab.history.Event;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.random.RandomGenerator;

/**
 * An upstream that follows the protocol, inside the lab's process. It keeps listening all the time; the links
 * to it simulate a process that is down. A request's query carries its work ({@code w=}, in milliseconds).
 * All state is confined to its event loop.
 */
public final class UpstreamServer {

    private static final int MAX_REQUEST_BYTES = 128 * 1024;
    private static final int BACKLOG = 1_024;
    private static final double NANOS_PER_MS = 1e6;

    private final String name;
    private final UpstreamKind kind;
    private final EventLoop loop;
    private final LabClock clock;
    private final RandomGenerator random;
    private final Function<InetAddress, String> balancers;
    private final Consumer<Event> history;
    private final SeenKeys seen;
    private final ByteBuf body;
    private UpstreamCore core;
    private int connections;
    private Channel listening;

    /** Creates an upstream that is already warm; {@code seen} is shared by its cell. */
    public UpstreamServer(String name, UpstreamKind kind, EventLoop loop, LabClock clock,
            RandomGenerator random, Function<InetAddress, String> balancers, Consumer<Event> history,
            SeenKeys seen) {
        this.name = name;
        this.kind = kind;
        this.loop = loop;
        this.clock = clock;
        this.random = random;
        this.balancers = balancers;
        this.history = history;
        this.seen = seen;
        body = Unpooled.unreleasableBuffer(Unpooled.copiedBuffer("served by " + name + "\n",
                StandardCharsets.UTF_8));
        core = new UpstreamCore(kind, clock.now(), false, random, seen);
    }

    /** Starts listening; throws {@link IOException} if the address cannot be bound. */
    public void bind(InetSocketAddress address) throws IOException {
        var bound = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpServerCodec(), new RequestStartRecorder(),
                                new HttpObjectAggregator(MAX_REQUEST_BYTES), new Requests());
                    }
                }).bind(address).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException(name + " cannot listen on " + address, bound.cause());
        }
        listening = bound.channel();
        history.accept(new Event.UpstreamStarted(clock.now(), name, kind.capacity(), 1, 0));
    }

    public String name() {
        return name;
    }

    /** Simulates a restart of its process, which is cold afterwards. */
    public Future<?> restart() {
        return loop.submit(() -> {
            core = new UpstreamCore(kind, clock.now(), true, random, seen);
            history.accept(new Event.UpstreamStarted(clock.now(), name, kind.capacity(), kind.coldShare(),
                    kind.warmMs()));
        });
    }

    /** Multiplies the processing time of new requests by a factor; 1 is normal speed. */
    public Future<?> slow(double times) {
        return loop.submit(() -> core.slow(times));
    }

    /** Answers this share of the requests with 500 immediately. */
    public Future<?> fail(double share) {
        return loop.submit(() -> core.fail(share));
    }

    /** Rejects new requests until the next restart. */
    public Future<?> drain() {
        return loop.submit(() -> core.drain());
    }

    /** Stops listening. */
    public void close() {
        if (listening != null) {
            listening.close().awaitUninterruptibly();
        }
    }

    /** Records the time at which a request's headers arrive. */
    private final class RequestStartRecorder extends SimpleChannelInboundHandler<Object> {

        private double begun;

        RequestStartRecorder() {
            super(false);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, Object message) {
            if (message instanceof HttpRequest) {
                begun = clock.now();
            }
            ctx.fireChannelRead(message);
        }
    }

    /** Answers the requests of one connection. */
    private final class Requests extends SimpleChannelInboundHandler<FullHttpRequest> {

        private boolean overLimit;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            connections++;
            overLimit = connections > kind.connections();
            ctx.fireChannelActive();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections--;
            ctx.fireChannelInactive();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            boolean keep = HttpUtil.isKeepAlive(request);
            String id = request.headers().get("X-Txn");
            if (id == null) {
                HttpResponseStatus status = !request.uri().equals("/ping") ? HttpResponseStatus.NOT_FOUND
                        : core.isDraining() ? HttpResponseStatus.SERVICE_UNAVAILABLE : HttpResponseStatus.OK;
                answer(ctx, status, keep, false);
                return;
            }
            QueryStringDecoder uri = new QueryStringDecoder(request.uri());
            double work = Double.parseDouble(uri.parameters().getOrDefault("w", List.of("1")).get(0));
            double now = clock.now();
            UpstreamCore.Admission admission = overLimit ? new UpstreamCore.Admission(false, false, now)
                    : core.arrive(now, work, request.headers().get("Idempotency-Key"));
            InetSocketAddress from = (InetSocketAddress) ctx.channel().remoteAddress();
            String balancer = balancers.apply(from.getAddress());
            history.accept(new Event.Arrived(now, id, balancer, name, uri.path().split("/")[1],
                    ctx.pipeline().get(RequestStartRecorder.class).begun, work, admission.taken(),
                    admission.failing()));
            if (!admission.taken()) {
                answer(ctx, HttpResponseStatus.SERVICE_UNAVAILABLE, keep, true);
                return;
            }
            HttpResponseStatus status = admission.failing() ? HttpResponseStatus.INTERNAL_SERVER_ERROR
                    : HttpResponseStatus.OK;
            loop.schedule(() -> answer(ctx, status, keep, false),
                    (long) ((admission.doneAt() - now) * NANOS_PER_MS), TimeUnit.NANOSECONDS);
        }

        private void answer(ChannelHandlerContext ctx, HttpResponseStatus status, boolean keep,
                boolean turnedAway) {
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
                    body.duplicate());
            response.headers().set("Content-Length", body.readableBytes());
            if (turnedAway) {
                response.headers().set("X-Turned-Away", "1");
            }
            HttpUtil.setKeepAlive(response, keep);
            ctx.writeAndFlush(response).addListener(written -> {
                if (!keep) {
                    ctx.close();
                }
            });
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
