package cranedeal.fleet.membership;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToMessageDecoder;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpMessage;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Collects the bodies of a member's calls, as copies on the heap, and bounds each and what all of them hold.
 * It is confined to one event loop.
 */
final class CallBodies {

    private final int maxBodyBytes;
    private final long maxHeldBytes;
    private long heldBytes;

    /**
     * Creates the bounds.
     *
     * @param maxBodyBytes largest body
     * @param maxHeldBytes most that the bodies in progress may hold together
     */
    CallBodies(int maxBodyBytes, long maxHeldBytes) {
        this.maxBodyBytes = maxBodyBytes;
        this.maxHeldBytes = maxHeldBytes;
    }

    /** Returns the bytes that the bodies in progress hold. */
    long heldBytes() {
        return heldBytes;
    }

    /**
     * Returns a handler that passes on whole messages of one connection. A request that exceeds a bound is
     * answered 413 or 503 and its connection is closed; a response that does, or one that fails to decode,
     * closes its connection.
     */
    ChannelHandler newAggregator() {
        return new Aggregator();
    }

    private final class Aggregator extends MessageToMessageDecoder<HttpObject> {

        private HttpMessage head;
        private ByteBuf body;

        @Override
        protected void decode(ChannelHandlerContext ctx, HttpObject part, List<Object> out) {
            if (part instanceof HttpMessage message) {
                start(ctx, message, out);
            }
            if (part instanceof HttpContent content && head != null) {
                accumulate(ctx, content, out);
            }
        }

        private void start(ChannelHandlerContext ctx, HttpMessage message, List<Object> out) {
            reset();
            if (message.decoderResult().isFailure()) {
                // Nothing follows a head that could not be decoded.
                out.add(fullMessage(message, Unpooled.EMPTY_BUFFER, message));
                return;
            }
            head = message;
            body = Unpooled.buffer(0, maxBodyBytes);
            if (HttpUtil.is100ContinueExpected(message)) {
                ctx.writeAndFlush(answer(HttpResponseStatus.CONTINUE));
            }
        }

        private void accumulate(ChannelHandlerContext ctx, HttpContent part, List<Object> out) {
            int length = part.content().readableBytes();
            if (length > maxBodyBytes - body.readableBytes()) {
                turnDown(ctx, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            } else if (length > maxHeldBytes - heldBytes) {
                turnDown(ctx, HttpResponseStatus.SERVICE_UNAVAILABLE);
            } else {
                body.writeBytes(part.content());
                heldBytes += length;
                if (part instanceof LastHttpContent) {
                    out.add(fullMessage(head, body.retain(), part));
                    reset();
                }
            }
        }

        private void turnDown(ChannelHandlerContext ctx, HttpResponseStatus status) {
            boolean isRequest = head instanceof HttpRequest;
            reset();
            if (isRequest) {
                ctx.writeAndFlush(answer(status)).addListener(ChannelFutureListener.CLOSE);
            } else {
                ctx.close();
            }
        }

        private void reset() {
            if (body != null) {
                heldBytes -= body.readableBytes();
                body.release();
                body = null;
            }
            head = null;
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) throws Exception {
            reset();
            super.channelInactive(ctx);
        }
    }

    private static FullHttpResponse answer(HttpResponseStatus status) {
        FullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
                Unpooled.EMPTY_BUFFER);
        if (!status.equals(HttpResponseStatus.CONTINUE)) {
            answer.headers().set("Content-Length", 0).set("Connection", "close");
        }
        return answer;
    }

    /** Returns a head and a body as one message, with the result of decoding the last part of it. */
    private static FullHttpMessage fullMessage(HttpMessage head, ByteBuf body, HttpObject last) {
        FullHttpMessage message = head instanceof HttpRequest request
                ? new DefaultFullHttpRequest(head.protocolVersion(), request.method(), request.uri(), body,
                        head.headers(), EmptyHttpHeaders.INSTANCE)
                : new DefaultFullHttpResponse(head.protocolVersion(), ((HttpResponse) head).status(), body,
                        head.headers(), EmptyHttpHeaders.INSTANCE);
        message.setDecoderResult(last.decoderResult());
        return message;
    }
}
