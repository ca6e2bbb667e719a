package cranedeal.node;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpContentException;
import java.util.List;

/**
 * Puts whole requests together. One whose head leaves in doubt where it ends, or that is too large, goes on
 * as a request that failed to decode, and whoever gets it must read no further: what follows may be the
 * inside of its body.
 */
final class RequestAggregator extends HttpObjectAggregator {

    private final int longest;
    /** Whether a request's head has come and its end has not. */
    private boolean partial;

    RequestAggregator(int longest) {
        super(longest);
        this.longest = longest;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, HttpObject part, List<Object> out) throws Exception {
        if (part instanceof HttpRequest head && head.decoderResult().isSuccess()) {
            Exception amiss = amiss(head);
            if (amiss != null) {
                out.add(failed(head, amiss));
                return;
            }
        }
        partial |= part instanceof HttpRequest;
        super.decode(ctx, part, out);
        partial &= !(part instanceof LastHttpContent);
    }

    boolean isPartial() {
        return partial;
    }

    private Exception amiss(HttpRequest head) {
        HttpVersion version = head.protocolVersion();
        if (!version.equals(HttpVersion.HTTP_1_1) && !version.equals(HttpVersion.HTTP_1_0)) {
            return new IllegalArgumentException("version " + version);
        }
        List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean chunked = codings.size() == 1
                && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0).strip());
        if (!codings.isEmpty() && (!chunked || version.equals(HttpVersion.HTTP_1_0))) {
            return new IllegalArgumentException("a body with unknown coding");
        }
        // Netty would answer for itself what it can't fulfil, and then read the body as requests.
        List<String> expected = head.headers().getAll(HttpHeaderNames.EXPECT);
        if (!expected.isEmpty() && !HttpUtil.is100ContinueExpected(head)) {
            return new IllegalArgumentException("an unknown expectation");
        }
        if (HttpUtil.getContentLength(head, 0L) > longest) {
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
}
