package cranedeal.node;

import cranedeal.node.memory.BodyBuffer;
import cranedeal.node.memory.HoldLimit;
import cranedeal.node.memory.MemoryShortException;
import cranedeal.node.memory.PieceCollector;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.MessageToMessageDecoder;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpContentException;
import java.util.List;

/**
 * Aggregates requests; one that is too large to be buffered is passed on as a {@link StreamedRequest}. A
 * request whose end is ambiguous, or that exceeds the largest size, is passed on as one that failed to
 * decode; its receiver must not read any further, as what follows may be part of its body.
 */
final class RequestAggregator extends MessageToMessageDecoder<HttpObject> {

    private final int maxBuffered;
    private final long maxBody;
    private final HoldLimit memory;
    /** True while a request's head has arrived and its end has not. */
    private boolean partial;
    /** Bytes of the body that have arrived. */
    private long received;
    /** The head of a valid request, its buffered body, and once that is streamed, the upload. */
    private HttpRequest head;
    private BodyBuffer buffered;
    private Upload upload;
    /** The pieces of a streamed body that the current read has brought; null if none is streamed. */
    private PieceCollector pieces;

    /**
     * Creates an aggregator.
     *
     * @param maxBuffered largest body in bytes that is buffered rather than streamed
     * @param maxBody largest body in bytes that is accepted
     * @param memory limits what is buffered; a request that exceeds it fails to decode, by a
     *         {@link MemoryShortException}
     */
    RequestAggregator(int maxBuffered, long maxBody, HoldLimit memory) {
        this.maxBuffered = maxBuffered;
        this.maxBody = maxBody;
        this.memory = memory;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, HttpObject part, List<Object> out) {
        if (part instanceof HttpRequest request) {
            startRequest(ctx, request, out);
        }
        if (part instanceof HttpContent content) {
            if (head != null) {
                received += content.content().readableBytes();
                accumulate(ctx, content, out);
            }
            partial &= !(part instanceof LastHttpContent);
        }
    }

    private void startRequest(ChannelHandlerContext ctx, HttpRequest request, List<Object> out) {
        received = 0;
        reset();
        Exception fault = request.decoderResult().isSuccess() ? validate(request)
                : new IllegalArgumentException(request.decoderResult().cause());
        if (fault != null) {
            out.add(failedRequest(request, fault));
            return;
        }
        partial = true;
        head = request;
        buffered = new BodyBuffer(ctx.alloc(), memory);
        if (HttpUtil.is100ContinueExpected(request)) {
            ctx.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE,
                    Unpooled.EMPTY_BUFFER));
        }
    }

    private void accumulate(ChannelHandlerContext ctx, HttpContent part, List<Object> out) {
        if (part.decoderResult().isFailure()) {
            fail(new IllegalArgumentException(part.decoderResult().cause()), out);
            return;
        }
        if (received > maxBody) {
            fail(new TooLongHttpContentException("the body is too large"), out);
            return;
        }
        if (upload == null && !buffered.add(part.content())) {
            fail(new MemoryShortException(), out);
            return;
        }
        if (upload != null) {
            pieces.add(part.content());
        } else if (received > maxBuffered) {
            upload = new Upload(ctx.pipeline().get(CallerInput.class),
                    new BodyArrival(HttpUtil.getContentLength(head, -1L)), buffered, memory);
            buffered = null;
            pieces = new PieceCollector(ctx.alloc(), upload::add);
            out.add(new StreamedRequest(head, upload));
        } else if (part instanceof LastHttpContent) {
            out.add(toFullRequest());
        }
        if (part instanceof LastHttpContent) {
            if (upload != null) {
                upload.end(pieces.take());
            }
            reset();
        }
    }

    private void fail(Exception cause, List<Object> out) {
        if (upload == null) {
            out.add(failedRequest(head, cause));
        } else {
            upload.fail(cause);
        }
        reset();
    }

    /** Returns a request that is buffered as a whole, with a length. */
    private HttpRequest toFullRequest() {
        ByteBuf body = buffered.take();
        HttpRequest request = new DefaultFullHttpRequest(head.protocolVersion(), head.method(), head.uri(),
                body, head.headers(), EmptyHttpHeaders.INSTANCE);
        HttpUtil.setTransferEncodingChunked(request, false);
        if (!HttpUtil.isContentLengthSet(request)) {
            HttpUtil.setContentLength(request, body.readableBytes());
        }
        return request;
    }

    private void reset() {
        if (buffered != null) {
            buffered.release();
        }
        if (pieces != null) {
            pieces.release();
        }
        head = null;
        buffered = null;
        upload = null;
        pieces = null;
    }

    boolean isPartial() {
        return partial;
    }

    /** Returns how many bytes of the current request's body have arrived. */
    long received() {
        return partial ? received : 0;
    }

    private static long contentLength(HttpRequest head) {
        return HttpUtil.getContentLength(head, 0L);
    }

    private Exception validate(HttpRequest request) {
        HttpVersion version = request.protocolVersion();
        if (!version.equals(HttpVersion.HTTP_1_1) && !version.equals(HttpVersion.HTTP_1_0)) {
            return new IllegalArgumentException("unsupported HTTP version " + version);
        }
        List<String> codings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean chunked = codings.size() == 1
                && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0).strip());
        if (!codings.isEmpty() && (!chunked || version.equals(HttpVersion.HTTP_1_0))) {
            return new IllegalArgumentException("unsupported Transfer-Encoding");
        }
        // Netty would itself answer an expectation that it cannot meet, and then parse the body as requests.
        List<String> expected = request.headers().getAll(HttpHeaderNames.EXPECT);
        if (!expected.isEmpty() && !HttpUtil.is100ContinueExpected(request)) {
            return new IllegalArgumentException("unsupported Expect header");
        }
        if (contentLength(request) > maxBody) {
            return new TooLongHttpContentException("the body is too large");
        }
        return null;
    }

    /** Returns a request that failed to decode, without the headers and the body of the one that did. */
    static FullHttpRequest failedRequest(HttpRequest head, Exception cause) {
        FullHttpRequest failed = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, head.method(), head.uri(),
                Unpooled.EMPTY_BUFFER);
        failed.setDecoderResult(DecoderResult.failure(cause));
        return failed;
    }

    /** Netty would read on although reading is paused, as the parts of a stream are not its messages. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (pieces != null) {
            pieces.flush();
        }
        ctx.fireChannelReadComplete();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) throws Exception {
        if (upload != null) {
            upload.fail(new PrematureChannelClosureException("the caller disconnected within a body"));
        }
        reset();
        super.channelInactive(ctx);
    }
}
