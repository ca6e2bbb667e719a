package cranedeal.node;

import cranedeal.node.memory.HoldLimit;
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
 * The operators' HTTP endpoint. It has its own thread, so that it answers even while the node's loop is busy:
 * it reads metrics that the node publishes, and posts commands to the node's loop.
 */
final class AdminEndpoint {

    /** The maximum number of open connections; descriptors are reserved for them. */
    static final int MAX_CONNECTIONS = 16;
    /** Reserved for the connections, one that was just accepted, the listening socket and the selector. */
    static final int DESCRIPTORS = MAX_CONNECTIONS + 8;
    /** How long an operator's client may take to send its request, and again to read the answer. */
    private static final long CALL_TIMEOUT_MS = 2_000;
    /** Answers are due within 1 s: a command that the node has not started by then is withdrawn. */
    private static final long COMMAND_TIMEOUT_MS = 900;
    private static final int MAX_BODY = 4_096;
    private static final String OPS_PREFIX = "/ops/";
    private static final String DISABLE_PREFIX = "upstreams/down/";
    private static final String ENABLE_PREFIX = "upstreams/up/";

    /** The operations of a balancer; commands run on the node's loop, the others on the endpoint's. */
    interface Operations {

        /** Returns true if the balancer accepts clients. */
        boolean isReady();

        /** All metrics, one per line. */
        String stats();

        /** A command completes with true once it is in force; it fails if it could not be saved. */
        CompletionStage<Boolean> startDrain();

        CompletionStage<Boolean> stopDrain();

        /** Disables or enables an upstream; completes with false for an id that was never listed. */
        CompletionStage<Boolean> setDisabled(String id, boolean disabled);
    }

    private final Operations operations;
    /** The node's loop, on which commands run. */
    private final EventLoop nodeLoop;
    private final EventLoop loop = (EventLoop) new MultiThreadIoEventLoopGroup(1,
            new DefaultThreadFactory("door", true), NioIoHandler.newFactory()).next();
    /** The connections without a call in progress, the oldest first; evicted from when there are too many. */
    private final Set<Channel> idleConnections = new LinkedHashSet<>();
    private int openConnections;
    private Channel serverChannel;

    AdminEndpoint(Operations operations, EventLoop node) {
        this.operations = operations;
        this.nodeLoop = node;
    }

    void bind(InetSocketAddress address) throws ConfigException, InterruptedException {
        ServerBootstrap server = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                // Not the node's pool, which is confined to the node's thread.
                .childOption(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new RequestDecoder(), new HttpResponseEncoder(),
                                new RequestAggregator(MAX_BODY, MAX_BODY, HoldLimit.NONE),
                                new ConnectionHandler((SocketChannel) channel));
                    }
                });
        var bind = server.bind(address).await();
        if (!bind.isSuccess()) {
            throw new ConfigException("cannot listen on " + address + " for operators: "
                    + bind.cause().getMessage());
        }
        serverChannel = bind.channel();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) serverChannel.localAddress();
    }

    /** The endpoint's loop, which also runs tasks that would block the node's loop. */
    EventLoop loop() {
        return loop;
    }

    /** Stops at once; for tests. */
    void shutdownNow() {
        loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    /** Handles a connection and the single request on it. */
    private final class ConnectionHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

        private final SocketChannel channel;
        private boolean requestReceived;

        ConnectionHandler(SocketChannel channel) {
            this.channel = channel;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            openConnections++;
            idleConnections.add(channel);
            if (openConnections > MAX_CONNECTIONS) {
                idleConnections.iterator().next().close();
            }
            loop.schedule(() -> {
                if (!requestReceived) {
                    channel.close();
                }
            }, CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            ctx.fireChannelActive();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            openConnections--;
            idleConnections.remove(channel);
            ctx.fireChannelInactive();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            if (requestReceived) {
                return;
            }
            requestReceived = true;
            idleConnections.remove(channel);
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
            if (path.startsWith(OPS_PREFIX)) {
                route(path.substring(OPS_PREFIX.length()), request.method());
            } else {
                answer(HttpResponseStatus.NOT_FOUND, "no such call\n");
            }
        }

        private void route(String call, HttpMethod method) {
            boolean isQuery = call.equals("readiness") || call.equals("stats");
            String disabledId = idAfter(DISABLE_PREFIX, call);
            String enabledId = idAfter(ENABLE_PREFIX, call);
            boolean isDrain = call.equals("drain/start") || call.equals("drain/stop");
            if (!isQuery && !isDrain && disabledId == null && enabledId == null) {
                answer(HttpResponseStatus.NOT_FOUND, "no such call\n");
            } else if (!method.equals(isQuery ? HttpMethod.GET : HttpMethod.PUT)) {
                answer(HttpResponseStatus.METHOD_NOT_ALLOWED, "another method is wanted\n");
            } else if (call.equals("readiness")) {
                boolean ready = operations.isReady();
                answer(ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                        ready ? "takes clients\n" : "takes no clients\n");
            } else if (call.equals("stats")) {
                answer(HttpResponseStatus.OK, operations.stats());
            } else if (isDrain) {
                runOnNode(call.equals("drain/start") ? operations::startDrain : operations::stopDrain);
            } else {
                runOnNode(() -> operations.setDisabled(disabledId == null ? enabledId : disabledId,
                        disabledId != null));
            }
        }

        /** The id that follows a prefix; null if there is none. */
        private String idAfter(String prefix, String call) {
            return call.startsWith(prefix) && call.length() > prefix.length()
                    ? call.substring(prefix.length()) : null;
        }

        /** Runs a command on the node's loop and answers when it completes; false means an unknown id. */
        private void runOnNode(Supplier<CompletionStage<Boolean>> command) {
            AtomicBoolean startedOrExpired = new AtomicBoolean();
            nodeLoop.execute(() -> {
                if (startedOrExpired.compareAndSet(false, true)) {
                    execute(command).handle(this::status)
                            .thenAccept(status -> loop.execute(
                                    () -> answer(status, status.reasonPhrase() + "\n")));
                }
            });
            loop.schedule(() -> {
                if (startedOrExpired.compareAndSet(false, true)) {
                    answer(HttpResponseStatus.SERVICE_UNAVAILABLE, "too busy, nothing was changed\n");
                }
            }, COMMAND_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }

        private CompletionStage<Boolean> execute(Supplier<CompletionStage<Boolean>> command) {
            try {
                return command.get();
            } catch (RuntimeException e) {
                return CompletableFuture.failedFuture(e);
            }
        }

        private HttpResponseStatus status(Boolean known, Throwable failure) {
            if (failure != null) {
                Node.LOG.log(Level.WARNING, "an operator's command failed", failure);
                return HttpResponseStatus.INTERNAL_SERVER_ERROR;
            }
            return known ? HttpResponseStatus.OK : HttpResponseStatus.NOT_FOUND;
        }

        private void answer(HttpResponseStatus status, String text) {
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
                    Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
            response.headers().set("Content-Type", "text/plain; charset=utf-8")
                    .set("Content-Length", response.content().readableBytes()).set("Connection", "close");
            // Closing while bytes still arrive would reset the connection before the answer is read.
            channel.writeAndFlush(response).addListener(written -> channel.shutdownOutput());
            idleConnections.add(channel);
            loop.schedule(() -> channel.close(), CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
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
