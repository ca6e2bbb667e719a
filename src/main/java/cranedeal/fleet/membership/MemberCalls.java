package cranedeal.fleet.membership;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

/**
 * HTTP calls between members and from operators: {@code GET /fleet/members} returns the view, {@code POST
 * /fleet/sync} is a full exchange. One call per connection. Runs on the member's event loop.
 */
final class MemberCalls {

    private static final String SYNC = "/fleet/sync";
    /** Limit of concurrent calls made by this member. */
    private static final int MAX_CONCURRENT_CALLS = 16;
    /** How many bodies of the largest size may be in progress, in calls made and answered. */
    private static final int MAX_LARGEST_BODIES = 4;
    /** Full exchanges answered per second; the rest get status 503. */
    private static final int MAX_SYNCS_PER_SECOND = 20;
    private static final double SECOND_MS = 1_000;

    private final FleetMember member;
    private final EventLoop loop;
    private final FleetMember.CallLimits limits;
    /** The bodies of calls in progress, made and answered. */
    private final CallBodies bodies;
    private int openConnections;
    private int callsInFlight;
    private long refusedConnections;
    private boolean syncInFlight;
    private long syncs;
    private long bytesSent;
    private long bytesReceived;
    private int syncsAnswered;
    private double windowStartedAt = Double.NEGATIVE_INFINITY;

    MemberCalls(FleetMember member, EventLoop loop, FleetMember.CallLimits limits) {
        this.member = member;
        this.loop = loop;
        this.limits = limits;
        bodies = new CallBodies(limits.maxBodyBytes(), (long) MAX_LARGEST_BODIES * limits.maxBodyBytes());
    }

    /** Connections closed at once because too many were open. */
    long refused() {
        return refusedConnections;
    }

    long syncs() {
        return syncs;
    }

    /** Body bytes sent in calls and replies; {@link #bytesReceived} likewise. */
    long bytesSent() {
        return bytesSent;
    }

    long bytesReceived() {
        return bytesReceived;
    }

    private void closeAfterTimeout(Channel channel) {
        loop.schedule(() -> {
            channel.close();
        }, limits.timeoutMs(), TimeUnit.MILLISECONDS);
    }

    // ---- Served ------------------------------------------------------------------------------------

    void accept(Channel channel) {
        if (openConnections >= limits.maxConnections()) {
            refusedConnections++;
            channel.close();
            return;
        }
        openConnections++;
        channel.closeFuture().addListener(closed -> openConnections--);
        closeAfterTimeout(channel);
        channel.pipeline().addLast(new HttpServerCodec(), bodies.newAggregator(),
                new SimpleChannelInboundHandler<FullHttpRequest>() {

                    @Override
                    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
                        bytesReceived += request.content().readableBytes();
                        CompletionStage<CallReply> pendingReply = answerByExtension(request);
                        if (pendingReply == null) {
                            write(ctx, answer(request));
                        } else {
                            pendingReply.whenComplete((reply, failure) -> loop.execute(() -> write(ctx,
                                    failure == null ? response(reply) : text(
                                    HttpResponseStatus.INTERNAL_SERVER_ERROR, failure + "\n"))));
                        }
                    }

                    @Override
                    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                        ctx.close();
                    }
                });
    }

    private void write(ChannelHandlerContext ctx, FullHttpResponse answer) {
        bytesSent += answer.content().readableBytes();
        answer.headers().set("Content-Length", answer.content().readableBytes()).set("Connection", "close");
        ctx.writeAndFlush(answer).addListener(ChannelFutureListener.CLOSE);
    }

    /** Lets the extension answer; returns null if it has no such call. */
    private CompletionStage<CallReply> answerByExtension(FullHttpRequest request) {
        return member.extension() == null || !request.decoderResult().isSuccess() ? null
                : member.extension().answer(request.method().name(), request.uri(),
                ByteBufUtil.getBytes(request.content()));
    }

    private static FullHttpResponse response(CallReply reply) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(reply.status()), Unpooled.wrappedBuffer(reply.body()));
        response.headers().set("Content-Type", reply.type());
        return response;
    }

    private FullHttpResponse answer(FullHttpRequest request) {
        boolean isViewRequest = request.uri().equals(FleetMember.VIEW_PATH);
        if (!request.decoderResult().isSuccess()) {
            return text(HttpResponseStatus.BAD_REQUEST, "malformed HTTP\n");
        }
        if (!isViewRequest && !request.uri().equals(SYNC)) {
            return text(HttpResponseStatus.NOT_FOUND, "no such call\n");
        }
        if (!request.method().equals(isViewRequest ? HttpMethod.GET : HttpMethod.POST)) {
            return text(HttpResponseStatus.METHOD_NOT_ALLOWED, "another method is wanted\n");
        }
        try {
            return isViewRequest ? view() : sync(ByteBufUtil.getBytes(request.content()));
        } catch (IOException e) {
            return text(HttpResponseStatus.BAD_REQUEST, e.getMessage() + "\n");
        }
    }

    private FullHttpResponse view() throws IOException {
        ObjectNode view = member.viewJson();
        return view == null ? tryAgain() : json(Codec.JSON.writeValueAsBytes(view));
    }

    private FullHttpResponse sync(byte[] encodedMembers) throws IOException {
        double now = member.now();
        if (now - windowStartedAt >= SECOND_MS) {
            windowStartedAt = now;
            syncsAnswered = 0;
        }
        byte[] known = member.encodeMembers();
        if (known == null || ++syncsAnswered > MAX_SYNCS_PER_SECOND) {
            return tryAgain();
        }
        member.merge(encodedMembers);
        return json(known);
    }

    private static FullHttpResponse tryAgain() {
        FullHttpResponse response = text(HttpResponseStatus.SERVICE_UNAVAILABLE, "try again\n");
        response.headers().set("Retry-After", "1");
        return response;
    }

    private static FullHttpResponse json(byte[] bytes) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK,
                Unpooled.wrappedBuffer(bytes));
        response.headers().set("Content-Type", "application/json");
        return response;
    }

    private static FullHttpResponse text(HttpResponseStatus status, String text) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
                Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
        response.headers().set("Content-Type", "text/plain; charset=utf-8");
        return response;
    }

    // ---- Called ------------------------------------------------------------------------------------

    /** Starts a full exchange unless one is running, and merges the answer. */
    void sync(InetSocketAddress address) {
        if (syncInFlight) {
            return;
        }
        byte[] known;
        try {
            known = member.encodeMembers();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        if (known == null) {
            return;
        }
        syncInFlight = true;
        syncs++;
        CompletableFuture<CallReply> reply = new CompletableFuture<>();
        call(address, "POST", SYNC, known, reply);
        reply.whenComplete((answer, failure) -> {
            syncInFlight = false;
            try {
                if (answer != null && answer.status() == CallReply.OK) {
                    member.merge(answer.body());
                }
            } catch (IOException e) {
                // A malformed answer counts as none.
            }
        });
    }

    /** Calls another process and completes {@code reply} with its answer or a failure. */
    void call(InetSocketAddress to, String method, String uri, byte[] body,
            CompletableFuture<CallReply> reply) {
        if (callsInFlight >= MAX_CONCURRENT_CALLS) {
            reply.completeExceptionally(new IOException(MAX_CONCURRENT_CALLS + " calls are under way"));
            return;
        }
        callsInFlight++;
        ChannelFuture connected = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) limits.timeoutMs())
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpClientCodec(), bodies.newAggregator(),
                                new ReplyHandler(reply));
                    }
                })
                // Binds to this member's own IP address, by which others know it.
                .connect(to, new InetSocketAddress(member.listenAddress().getAddress(), 0));
        connected.channel().closeFuture().addListener(closed -> {
            callsInFlight--;
            reply.completeExceptionally(new IOException("no answer from " + Codec.formatAddress(to)));
        });
        connected.addListener(done -> {
            if (!done.isSuccess()) {
                connected.channel().close();
                return;
            }
            closeAfterTimeout(connected.channel());
            FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1,
                    HttpMethod.valueOf(method), uri, Unpooled.wrappedBuffer(body));
            request.headers().set("Host", Codec.formatAddress(to)).set("Content-Type", "application/json")
                    .set("Content-Length", body.length).set("Connection", "close");
            bytesSent += body.length;
            connected.channel().writeAndFlush(request);
        });
    }

    private final class ReplyHandler extends SimpleChannelInboundHandler<FullHttpResponse> {

        private final CompletableFuture<CallReply> reply;

        ReplyHandler(CompletableFuture<CallReply> reply) {
            this.reply = reply;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            bytesReceived += response.content().readableBytes();
            reply.complete(new CallReply(response.status().code(),
                    response.headers().get("Content-Type", ""), ByteBufUtil.getBytes(response.content())));
            ctx.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
