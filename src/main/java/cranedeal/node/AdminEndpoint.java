package cranedeal.node;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import java.util.logging.Level;

/**
 * The operators' address. It has a thread of its own, so that it answers whatever the node is busy with: it
 * reads what the node publishes, and posts orders to the node's loop.
 */
final class AdminEndpoint {

    /** Connections at a time; the descriptors for them are set aside. */
    static final int CONNECTIONS = 16;
    /** These, the one that is just accepted, the listening socket and the selector. */
    static final int DESCRIPTORS = CONNECTIONS + 8;
    /** How long a caller has for its call, and how long it may take to read the answer. */
    private static final long PATIENCE_MS = 2_000;
    /** Answers are owed in 1 s: an order that the node has not begun by then is withdrawn. */
    private static final long ORDER_MS = 900;
    private static final int LONGEST_BODY = 4_096;
    private static final String OPS = "/ops/";
    private static final String DOWN = "upstreams/down/";
    private static final String UP = "upstreams/up/";

    /** What operators can ask of a balancer; the orders run on its loop, the rest on the door's. */
    interface Operations {

        /** Whether it takes clients. */
        boolean isReady();

        /** The figures, a line each. */
        String stats();

        /** Each order's result is true once it is in force; it fails if it could not be kept. */
        CompletionStage<Boolean> startDrain();

        CompletionStage<Boolean> stopDrain();

        /** Takes an upstream out of use or puts it back; the result is false for an id never listed. */
        CompletionStage<Boolean> ban(String id, boolean banned);
    }

    private final Operations operations;
    /** Where orders run. */
    private final EventLoop node;
    private final EventLoop loop = (EventLoop) new MultiThreadIoEventLoopGroup(1,
            new DefaultThreadFactory("door", true), NioIoHandler.newFactory()).next();
    /** The connections that no call is at work on, the oldest first. */
    private final Set<Channel> waiting = new LinkedHashSet<>();
    private int open;
    private Channel listening;

    AdminEndpoint(Operations operations, EventLoop node) {
        this.operations = operations;
        this.node = node;
    }

    void bind(InetSocketAddress address) throws ConfigException, InterruptedException {
        ServerBootstrap server = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                // Apart from the node's pool, which belongs to one thread.
                .childOption(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new RequestDecoder(), new HttpResponseEncoder(),
                                new RequestAggregator(LONGEST_BODY, LONGEST_BODY),
                                new Call((SocketChannel) channel));
                    }
                });
        var bound = server.bind(address).await();
        if (!bound.isSuccess()) {
            throw new ConfigException("cannot listen on " + address + " for operators: "
                    + bound.cause().getMessage());
        }
        listening = bound.channel();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listening.localAddress();
    }

    /** Where what must not keep the node's loop waiting may run. */
    EventLoop loop() {
        return loop;
    }

    /** Ends at once; for tests. */
    void shutdownNow() {
        loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    /** A connection, and the one call on it. */
    private final class Call extends SimpleChannelInboundHandler<FullHttpRequest> {

        private final SocketChannel channel;
        private boolean called;

        Call(SocketChannel channel) {
            this.channel = channel;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            open++;
            waiting.add(channel);
            if (open > CONNECTIONS) {
                waiting.iterator().next().close();
            }
            loop.schedule(() -> {
                if (!called) {
                    channel.close();
                }
            }, PATIENCE_MS, TimeUnit.MILLISECONDS);
            ctx.fireChannelActive();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            open--;
            waiting.remove(channel);
            ctx.fireChannelInactive();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            if (called) {
                return;
            }
            called = true;
            waiting.remove(channel);
            if (!request.decoderResult().isSuccess()) {
                answer(HttpResponseStatus.BAD_REQUEST, "malformed HTTP\n");
                return;
            }
            String path;
            try {
                path = new QueryStringDecoder(request.uri()).path();
            } catch (IllegalArgumentException e) {
                answer(HttpResponseStatus.BAD_REQUEST, "malformed path\n");
                return;
            }
            if (path.startsWith(OPS)) {
                serve(path.substring(OPS.length()), request.method());
            } else {
                answer(HttpResponseStatus.NOT_FOUND, "no such call\n");
            }
        }

        private void serve(String call, HttpMethod method) {
            boolean asks = call.equals("readiness") || call.equals("stats");
            String down = after(DOWN, call);
            String up = after(UP, call);
            boolean drains = call.equals("drain/start") || call.equals("drain/stop");
            if (!asks && !drains && down == null && up == null) {
                answer(HttpResponseStatus.NOT_FOUND, "no such call\n");
            } else if (!method.equals(asks ? HttpMethod.GET : HttpMethod.PUT)) {
                answer(HttpResponseStatus.METHOD_NOT_ALLOWED, "another method is wanted\n");
            } else if (call.equals("readiness")) {
                boolean taking = operations.isReady();
                answer(taking ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                        taking ? "takes clients\n" : "takes no clients\n");
            } else if (call.equals("stats")) {
                answer(HttpResponseStatus.OK, operations.stats());
            } else if (drains) {
                order(call.equals("drain/start") ? operations::startDrain : operations::stopDrain);
            } else {
                order(() -> operations.ban(down == null ? up : down, down != null));
            }
        }

        /** The id that follows a prefix; null if there is none. */
        private String after(String prefix, String call) {
            return call.startsWith(prefix) && call.length() > prefix.length()
                    ? call.substring(prefix.length()) : null;
        }

        /** Has the node carry out an order, and answers once it has; a false result is a no to the id. */
        private void order(Supplier<CompletionStage<Boolean>> order) {
            AtomicBoolean settled = new AtomicBoolean();
            node.execute(() -> {
                if (settled.compareAndSet(false, true)) {
                    carryOut(order).handle(this::status)
                            .thenAccept(status -> loop.execute(
                                    () -> answer(status, status.reasonPhrase() + "\n")));
                }
            });
            loop.schedule(() -> {
                if (settled.compareAndSet(false, true)) {
                    answer(HttpResponseStatus.SERVICE_UNAVAILABLE, "too busy, nothing was changed\n");
                }
            }, ORDER_MS, TimeUnit.MILLISECONDS);
        }

        private CompletionStage<Boolean> carryOut(Supplier<CompletionStage<Boolean>> order) {
            try {
                return order.get();
            } catch (RuntimeException e) {
                return CompletableFuture.failedFuture(e);
            }
        }

        private HttpResponseStatus status(Boolean known, Throwable failure) {
            if (failure != null) {
                Node.LOG.log(Level.WARNING, "an operator's order failed", failure);
                return HttpResponseStatus.INTERNAL_SERVER_ERROR;
            }
            return known ? HttpResponseStatus.OK : HttpResponseStatus.NOT_FOUND;
        }

        private void answer(HttpResponseStatus status, String text) {
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
                    Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
            response.headers().set("Content-Type", "text/plain; charset=utf-8")
                    .set("Content-Length", response.content().readableBytes()).set("Connection", "close");
            // To close on bytes that are still coming in would reset the connection under the answer.
            channel.writeAndFlush(response).addListener(written -> channel.shutdownOutput());
            waiting.add(channel);
            loop.schedule(() -> channel.close(), PATIENCE_MS, TimeUnit.MILLISECONDS);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof IOException)) {
                Node.LOG.log(Level.FINE, "an operator's connection failed", cause);
            }
            ctx.close();
        }
    }
}
