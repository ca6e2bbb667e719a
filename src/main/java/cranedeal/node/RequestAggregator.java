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
 * Puts whole requests together; one that is too large for that goes on as a {@link StreamedRequest}. One
 * whose
 * head leaves in doubt where it ends, or that is larger than any may be, goes on as a request that failed to
 * decode, and whoever gets it must read no further: what follows may be the inside of its body.
 */
final class RequestAggregator extends HttpObjectAggregator {

    private final int longest;
    private final long largest;
    /** Whether a request's head has come and its end has not. */
    private boolean partial;
    /** How much of the body has come. */
    private long received;
    /** A request that may be large: its head, what is held of its body, and once it is, the rest. */
    private HttpRequest head;
    private ByteBuf held;
    private Upload upload;

    /** With the size of what is put together, and of what is taken at all. */
    RequestAggregator(int longest, long largest) {
        super(longest);
        this.longest = longest;
        this.largest = largest;
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
                Exception amiss = amiss(request);
                if (amiss != null) {
                    out.add(failed(request, amiss));
                    return;
                }
                if (HttpUtil.isTransferEncodingChunked(request) || length(request) > longest) {
                    begin(ctx, request);
                    return;
                }
            }
        }
        partial |= part instanceof HttpRequest;
        if (part instanceof HttpContent content) {
            received += content.content().readableBytes();
        }
        if (head != null) {
            gather(ctx, (HttpContent) part, out);
        } else {
            super.decode(ctx, part, out);
        }
        partial &= !(part instanceof LastHttpContent);
    }

    private void begin(ChannelHandlerContext ctx, HttpRequest request) {
        partial = true;
        head = request;
        // Copied together: small pieces would each hold on to the buffer that they were read into.
        held = ctx.alloc().buffer();
        if (HttpUtil.is100ContinueExpected(request)) {
            ctx.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE,
                    Unpooled.EMPTY_BUFFER));
        }
    }

    private void gather(ChannelHandlerContext ctx, HttpContent part, List<Object> out) {
        if (part.decoderResult().isFailure() || received > largest) {
            Exception cause = received > largest ? new TooLongHttpContentException("a body over the limit")
                    : new IllegalArgumentException(part.decoderResult().cause());
            if (upload == null) {
                out.add(failed(head, cause));
            } else {
                upload.fail(cause);
            }
            forget();
            return;
        }
        if (upload != null) {
            upload.add(part.content().retain());
        } else {
            held.writeBytes(part.content());
            if (received > longest) {
                upload = new Upload(ctx.channel(), HttpUtil.getContentLength(head, -1L), held);
                held = null;
                out.add(new StreamedRequest(head, upload));
            } else if (part instanceof LastHttpContent) {
                out.add(whole());
            }
        }
        if (part instanceof LastHttpContent) {
            if (upload != null) {
                upload.end();
            }
            forget();
        }
    }

    /** A chunked request that has turned out to be small. */
    private HttpRequest whole() {
        ByteBuf body = held;
        held = null;
        HttpRequest request = new DefaultFullHttpRequest(head.protocolVersion(), head.method(), head.uri(),
                body);
        request.headers().set(head.headers());
        HttpUtil.setTransferEncodingChunked(request, false);
        HttpUtil.setContentLength(request, body.readableBytes());
        return request;
    }

    private void forget() {
        if (held != null) {
            held.release();
        }
        head = null;
        held = null;
        upload = null;
    }

    boolean isPartial() {
        return partial;
    }

    /** How much of the present request's body has come. */
    long received() {
        return partial ? received : 0;
    }

    private static long length(HttpRequest head) {
        return HttpUtil.getContentLength(head, 0L);
    }

    private Exception amiss(HttpRequest request) {
        HttpVersion version = request.protocolVersion();
        if (!version.equals(HttpVersion.HTTP_1_1) && !version.equals(HttpVersion.HTTP_1_0)) {
            return new IllegalArgumentException("version " + version);
        }
        List<String> codings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean chunked = codings.size() == 1
                && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0).strip());
        if (!codings.isEmpty() && (!chunked || version.equals(HttpVersion.HTTP_1_0))) {
            return new IllegalArgumentException("a body with unknown coding");
        }
        // Netty would answer for itself what it can't fulfil, and then read the body as requests.
        List<String> expected = request.headers().getAll(HttpHeaderNames.EXPECT);
        if (!expected.isEmpty() && !HttpUtil.is100ContinueExpected(request)) {
            return new IllegalArgumentException("an unknown expectation");
        }
        if (length(request) > largest) {
            return new TooLongHttpContentException("a body over the limit");
        }
        return null;
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
        ctx.fireChannelRead(failed((HttpRequest) oversized,
                new TooLongHttpContentException("a body over the limit")));
    }

    private static HttpRequest failed(HttpRequest head, Exception amiss) {
        HttpRequest failed = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, head.method(), head.uri(),
                Unpooled.EMPTY_BUFFER);
        failed.setDecoderResult(DecoderResult.failure(amiss));
        return failed;
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) throws Exception {
        if (upload != null) {
            upload.fail(new PrematureChannelClosureException("the caller left in the middle of a body"));
        }
        forget();
        super.channelInactive(ctx);
    }
}
