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
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/**
 * Calls between members, and from operators: {@code GET /fleet/members} shows the view, {@code POST
 * /fleet/sync} is a full exchange. One call a connection. All on the member's loop.
 */
final class MemberCalls {

    private static final String SYNC = "/fleet/sync";
    private static final int MOST_BODY = 1 << 20;
    private static final int MOST_CONNECTIONS = 16;
    private static final long PATIENCE_MS = 2_000;
    /** Full exchanges that are answered in a second; the rest are told to come again. */
    private static final int MOST_SYNCS = 20;
    private static final double SECOND = 1_000;

    private final FleetMember member;
    private final EventLoop loop;
    private int open;
    private boolean syncing;
    private long syncs;
    private long bytesSent;
    private long bytesReceived;
    private int answered;
    private double countedFrom = Double.NEGATIVE_INFINITY;

    MemberCalls(FleetMember member, EventLoop loop) {
        this.member = member;
        this.loop = loop;
    }

    long syncs() {
        return syncs;
    }

    /** Of the bodies of full exchanges, begun here or elsewhere; likewise the next one. */
    long bytesSent() {
        return bytesSent;
    }

    long bytesReceived() {
        return bytesReceived;
    }

    private void limit(Channel channel) {
        loop.schedule(() -> {
            channel.close();
        }, PATIENCE_MS, TimeUnit.MILLISECONDS);
    }

    // ---- Served ------------------------------------------------------------------------------------

    void accepted(Channel channel) {
        if (open >= MOST_CONNECTIONS) {
            channel.close();
            return;
        }
        open++;
        channel.closeFuture().addListener(closed -> open--);
        limit(channel);
        channel.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(MOST_BODY),
                new SimpleChannelInboundHandler<FullHttpRequest>() {

                    @Override
                    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
                        FullHttpResponse answer = answer(request);
                        answer.headers().set("Content-Length", answer.content().readableBytes())
                                .set("Connection", "close");
                        ctx.writeAndFlush(answer).addListener(ChannelFutureListener.CLOSE);
                    }

                    @Override
                    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                        ctx.close();
                    }
                });
    }

    private FullHttpResponse answer(FullHttpRequest request) {
        boolean asks = request.uri().equals(FleetMember.VIEW_PATH);
        if (!request.decoderResult().isSuccess()) {
            return text(HttpResponseStatus.BAD_REQUEST, "malformed HTTP\n");
        }
        if (!asks && !request.uri().equals(SYNC)) {
            return text(HttpResponseStatus.NOT_FOUND, "no such call\n");
        }
        if (!request.method().equals(asks ? HttpMethod.GET : HttpMethod.POST)) {
            return text(HttpResponseStatus.METHOD_NOT_ALLOWED, "another method is wanted\n");
        }
        try {
            return asks ? view() : sync(ByteBufUtil.getBytes(request.content()));
        } catch (IOException e) {
            return text(HttpResponseStatus.BAD_REQUEST, e.getMessage() + "\n");
        }
    }

    private FullHttpResponse view() throws IOException {
        ObjectNode view = member.view();
        return view == null ? later() : json(Codec.JSON.writeValueAsBytes(view));
    }

    private FullHttpResponse sync(byte[] theirs) throws IOException {
        double now = member.now();
        if (now - countedFrom >= SECOND) {
            countedFrom = now;
            answered = 0;
        }
        byte[] known = member.known();
        if (known == null || ++answered > MOST_SYNCS) {
            return later();
        }
        bytesReceived += theirs.length;
        bytesSent += known.length;
        member.merge(theirs);
        return json(known);
    }

    private static FullHttpResponse later() {
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

    /** Exchanges all with a member, one at a time; what comes back is merged. */
    void sync(InetSocketAddress with) {
        if (syncing) {
            return;
        }
        syncing = true;
        syncs++;
        ChannelFuture connected = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) PATIENCE_MS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpClientCodec(),
                                new HttpObjectAggregator(MOST_BODY), new Answer());
                    }
                })
                // From the address by which others know this member.
                .connect(with, new InetSocketAddress(member.own().getAddress(), 0));
        connected.channel().closeFuture().addListener(closed -> syncing = false);
        connected.addListener(done -> {
            byte[] known = done.isSuccess() ? member.known() : null;
            if (known == null) {
                connected.channel().close();
                return;
            }
            limit(connected.channel());
            FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, SYNC,
                    Unpooled.wrappedBuffer(known));
            request.headers().set("Host", Codec.text(with)).set("Content-Type", "application/json")
                    .set("Content-Length", known.length).set("Connection", "close");
            bytesSent += known.length;
            connected.channel().writeAndFlush(request);
        });
    }

    private final class Answer extends SimpleChannelInboundHandler<FullHttpResponse> {

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) throws IOException {
            if (response.status().equals(HttpResponseStatus.OK)) {
                bytesReceived += response.content().readableBytes();
                member.merge(ByteBufUtil.getBytes(response.content()));
            }
            ctx.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
