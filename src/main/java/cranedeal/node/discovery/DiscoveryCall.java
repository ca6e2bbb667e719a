package cranedeal.node.discovery;

import cranedeal.node.channel.Channels;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.io.InputStream;
import java.util.function.DoubleSupplier;
import java.util.logging.Level;

/** One call to discovery, over a connection that it has to itself until it ends. It has no time limit. */
final class DiscoveryCall {

    private static final int MAX_LIST = 4 * 1024 * 1024;

    /** What is told of a call; either of the last two comes once, unless the call is given up. */
    interface Listener {

        /** A first part of the answer has come. */
        void begun();

        /** A whole list has come. */
        void answered(UpstreamList list);

        /** Nothing comes any more. */
        void failed(CallEnd how);
    }

    private final long id;
    private final long index;
    private final int waitMs;
    private final DoubleSupplier clock;
    private final ListParser parser;
    private final Listener listener;
    private final double startedAt;
    private Channel channel;
    private long bytes;
    private boolean over;

    /** A call for what is newer than a version, or for the whole list where that is negative. */
    DiscoveryCall(long id, long index, int waitMs, DoubleSupplier clock, ListParser parser,
            Listener listener) {
        this.id = id;
        this.index = index;
        this.waitMs = waitMs;
        this.clock = clock;
        this.parser = parser;
        this.listener = listener;
        startedAt = clock.getAsDouble();
    }

    /** Makes a new connection able to carry calls. */
    static void prepare(ChannelPipeline pipeline) {
        pipeline.addLast(new HttpClientCodec(), new Parts(), new HttpObjectAggregator(MAX_LIST),
                new Answers());
    }

    /** Sends the request once a connection is up. */
    void start(ChannelFuture connect, String host) {
        connect.addListener((ChannelFuture up) -> {
            if (over) {
                up.channel().close();
            } else if (up.isSuccess()) {
                start(up.channel(), host);
            } else {
                fail(CallEnd.NOT_CONNECTED);
            }
        });
    }

    /** Sends the request over a connection that stands. */
    void start(Channel connection, String host) {
        channel = connection;
        channel.pipeline().get(Answers.class).call = this;
        channel.pipeline().get(Parts.class).call = this;
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
                "/catalog/members" + (index < 0 ? "" : "?index=" + index + "&wait=" + waitMs),
                Unpooled.EMPTY_BUFFER);
        request.headers().set("Host", host);
        channel.writeAndFlush(request).addListener(write -> {
            if (!write.isSuccess()) {
                fail(CallEnd.BROKEN);
            }
        });
    }

    /** Handles at once what has come and was not read yet. */
    void readNow() {
        if (channel != null && !over) {
            Channels.readNow(channel);
        }
    }

    /** Ends it without a word to its listener. */
    void giveUp() {
        over = true;
        if (channel != null) {
            channel.close();
        }
    }

    /** Ends it as failed, unless it is over. */
    void fail(CallEnd how) {
        if (!over) {
            giveUp();
            listener.failed(how);
        }
    }

    /** The connection that carried it; null if none came up. */
    Channel channel() {
        return channel;
    }

    /** What is to be logged of it, as it ends. */
    CallRecord record(CallEnd end) {
        return new CallRecord(id, index, waitMs, bytes, clock.getAsDouble() - startedAt, end);
    }

    private void partCame(Object part) {
        if (bytes == 0 && !over) {
            listener.begun();
        }
        if (part instanceof HttpContent content) {
            bytes += content.content().readableBytes();
        }
    }

    private void answered(FullHttpResponse response) {
        if (over) {
            return;
        }
        UpstreamList list;
        try {
            list = parse(response);
        } catch (IOException | IllegalArgumentException e) {
            DiscoveryClient.LOG.warning("discovery's answer is of no use: " + e.getMessage());
            fail(CallEnd.BAD_ANSWER);
            return;
        }
        over = true;
        listener.answered(list);
    }

    private UpstreamList parse(FullHttpResponse response) throws IOException {
        if (!response.decoderResult().isSuccess() || response.status().code() != 200) {
            throw new IOException("status " + response.status().code());
        }
        try (InputStream body = new ByteBufInputStream(response.content())) {
            return parser.parse(body);
        }
    }

    /** Tells a call of each part of its answer. */
    private static final class Parts extends ChannelInboundHandlerAdapter {

        private DiscoveryCall call;

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object part) {
            if (call != null) {
                call.partCame(part);
            }
            ctx.fireChannelRead(part);
        }
    }

    /** Hands the whole answer on a connection to the call that waits for it. */
    private static final class Answers extends SimpleChannelInboundHandler<FullHttpResponse> {

        private DiscoveryCall call;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            DiscoveryCall answered = call;
            call = null;
            if (answered == null || !HttpUtil.isKeepAlive(response)) {
                ctx.close();
            }
            if (answered != null) {
                answered.answered(response);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (call != null) {
                call.fail(CallEnd.BROKEN);
            }
            ctx.fireChannelInactive();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof IOException)) {
                DiscoveryClient.LOG.log(Level.WARNING, "the connection to discovery failed", cause);
            }
            if (call != null) {
                call.fail(CallEnd.BROKEN);
            }
            ctx.close();
        }
    }
}
