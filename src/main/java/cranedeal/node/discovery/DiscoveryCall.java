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
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.io.InputStream;
import java.util.function.DoubleSupplier;
import java.util.logging.Level;

/** One call to discovery. It uses its connection exclusively until it ends, and has no timeout of its own. */
final class DiscoveryCall {

    private static final int MAX_LIST = 4 * 1024 * 1024;

    /** Receives a call's events; one of the last two follows exactly once, unless the call is cancelled. */
    interface Listener {

        /** The first part of the answer has arrived. */
        void answerStarted();

        /** A complete, valid answer has arrived. */
        void answered(UpstreamList list);

        /** The call has failed. */
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
    private boolean done;

    /** Creates a call for changes since version {@code index}, or for the whole list if that is negative. */
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

    /** Adds the handlers for calls to the pipeline of a new connection. */
    static void prepare(ChannelPipeline pipeline) {
        pipeline.addLast(new HttpClientCodec(), new PartHandler(), new ListAggregator(MAX_LIST),
                new AnswerHandler());
    }

    /** Sends the request once a connection is established. */
    void start(ChannelFuture connecting, String host) {
        connecting.addListener((ChannelFuture connected) -> {
            if (done) {
                connected.channel().close();
            } else if (connected.isSuccess()) {
                start(connected.channel(), host);
            } else {
                fail(CallEnd.NOT_CONNECTED);
            }
        });
    }

    /** Sends the request over an established connection. */
    void start(Channel connection, String host) {
        channel = connection;
        channel.pipeline().get(AnswerHandler.class).call = this;
        channel.pipeline().get(PartHandler.class).call = this;
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

    /** Reads and handles data that has arrived but was not read yet. */
    void readNow() {
        if (channel != null && !done) {
            Channels.readNow(channel);
        }
    }

    /** Cancels the call without notifying its listener. */
    void cancel() {
        done = true;
        if (channel != null) {
            channel.close();
        }
    }

    /** Fails the call, unless it has ended. */
    void fail(CallEnd how) {
        if (!done) {
            cancel();
            listener.failed(how);
        }
    }

    /** The connection of the call; null if none was established. */
    Channel channel() {
        return channel;
    }

    /** The record of the call, for the log and the metrics, as it ends. */
    CallRecord record(CallEnd end) {
        return new CallRecord(id, index, waitMs, bytes, clock.getAsDouble() - startedAt, end);
    }

    private void onPart(Object part) {
        if (bytes == 0 && !done) {
            listener.answerStarted();
        }
        if (part instanceof HttpContent content) {
            bytes += content.content().readableBytes();
        }
    }

    private void answered(FullHttpResponse response) {
        if (done) {
            return;
        }
        UpstreamList list;
        try {
            list = parse(response);
        } catch (IOException | IllegalArgumentException e) {
            DiscoveryClient.LOG.warning("invalid answer from discovery: " + e.getMessage());
            fail(CallEnd.BAD_ANSWER);
            return;
        }
        done = true;
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

    /** Notifies a call of each part of its answer. */
    private static final class PartHandler extends ChannelInboundHandlerAdapter {

        private DiscoveryCall call;

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object part) {
            if (call != null) {
                call.onPart(part);
            }
            ctx.fireChannelRead(part);
        }
    }

    /** Passes the complete answer on a connection to the call that waits for it. */
    private static final class AnswerHandler extends SimpleChannelInboundHandler<FullHttpResponse> {

        private DiscoveryCall call;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            DiscoveryCall answeredCall = call;
            call = null;
            if (answeredCall == null || !HttpUtil.isKeepAlive(response)) {
                ctx.close();
            }
            if (answeredCall != null) {
                answeredCall.answered(response);
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
