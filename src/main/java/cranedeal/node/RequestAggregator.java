package cranedeal.node;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpObjectAggregator;
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
final class RequestAggregator extends HttpObjectAggregator {

    private final int maxBuffered;
    private final long maxBody;
    /** True while a request's head has arrived and its end has not. */
    private boolean partial;
    /** Bytes of the body that have arrived. */
    private long received;
    /** A request that may be large: its head, its buffered body, and once it is streamed, the upload. */
    private HttpRequest head;
    private ByteBuf buffered;
    private Upload upload;

    /**
     * Creates an aggregator.
     *
     * @param maxBuffered largest body in bytes that is buffered rather than streamed
     * @param maxBody largest body in bytes that is accepted
     */
    RequestAggregator(int maxBuffered, long maxBody) {
        super(maxBuffered);
        this.maxBuffered = maxBuffered;
        this.maxBody = maxBody;
    }

    @Override
    public boolean acceptInboundMessage(Object part) throws Exception {
        return super.acceptInboundMessage(part) || head != null && part instanceof HttpContent;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, HttpObject part, List<Object> out) throws Exception {
        if (part instanceof HttpRequest request) {
            received = 0;
            if (request.decoderResult().isSuccess()) {
                Exception fault = validate(request);
                if (fault != null) {
                    out.add(failedRequest(request, fault));
                    return;
                }
                if (HttpUtil.isTransferEncodingChunked(request) || contentLength(request) > maxBuffered) {
                    startBuffering(ctx, request);
                    return;
                }
            }
        }
        partial |= part instanceof HttpRequest;
        if (part instanceof HttpContent content) {
            received += content.content().readableBytes();
        }
        if (head != null) {
            accumulate(ctx, (HttpContent) part, out);
        } else {
            super.decode(ctx, part, out);
        }
        partial &= !(part instanceof LastHttpContent);
    }

    private void startBuffering(ChannelHandlerContext ctx, HttpRequest request) {
        partial = true;
        head = request;
        // Copied, because each small chunk would retain the whole buffer that it was read into.
        buffered = ctx.alloc().buffer();
        if (HttpUtil.is100ContinueExpected(request)) {
            ctx.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE,
                    Unpooled.EMPTY_BUFFER));
        }
    }

    private void accumulate(ChannelHandlerContext ctx, HttpContent part, List<Object> out) {
        if (part.decoderResult().isFailure() || received > maxBody) {
            Exception cause = received > maxBody ? new TooLongHttpContentException("the body is too large")
                    : new IllegalArgumentException(part.decoderResult().cause());
            if (upload == null) {
                out.add(failedRequest(head, cause));
            } else {
                upload.fail(cause);
            }
            reset();
            return;
        }
        if (upload != null) {
            upload.add(part.content().retain());
        } else {
            buffered.writeBytes(part.content());
            if (received > maxBuffered) {
                upload = new Upload(ctx.channel(), HttpUtil.getContentLength(head, -1L), buffered);
                buffered = null;
                out.add(new StreamedRequest(head, upload));
            } else if (part instanceof LastHttpContent) {
                out.add(toFullRequest());
            }
        }
        if (part instanceof LastHttpContent) {
            if (upload != null) {
                upload.end();
            }
            reset();
        }
    }

    /** Returns a chunked request that has turned out to be small as a full request with a length. */
    private HttpRequest toFullRequest() {
        ByteBuf body = buffered;
        buffered = null;
        HttpRequest request = new DefaultFullHttpRequest(head.protocolVersion(), head.method(), head.uri(),
                body);
        request.headers().set(head.headers());
        HttpUtil.setTransferEncodingChunked(request, false);
        HttpUtil.setContentLength(request, body.readableBytes());
        return request;
    }

    private void reset() {
        if (buffered != null) {
            buffered.release();
        }
        head = null;
        buffered = null;
        upload = null;
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

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
        ctx.fireChannelRead(failedRequest((HttpRequest) oversized,
                new TooLongHttpContentException("the body is too large")));
    }

    private static HttpRequest failedRequest(HttpRequest head, Exception cause) {
        HttpRequest failed = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, head.method(), head.uri(),
                Unpooled.EMPTY_BUFFER);
        failed.setDecoderResult(DecoderResult.failure(cause));
        return failed;
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
