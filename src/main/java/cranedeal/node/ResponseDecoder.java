package cranedeal.node;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.util.List;

/**
 * Reads answers by the letter. Netty is lenient with servers and mends what it can; an answer so mended is
 * none that an upstream made, and whoever passes it on says that it was served.
 */
final class ResponseDecoder extends HttpResponseDecoder {

    private static final int STATUS_DIGITS = 3;

    /** Whether a request waits for its answer: what comes at any other time belongs to none. */
    private boolean awaited;
    private boolean inHead;

    void await(boolean answer) {
        awaited = answer;
    }

    /** Whether something has come behind the answer that was read last. */
    boolean hasSurplus() {
        return actualReadableBytes() > 0;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object bytes) throws Exception {
        if (awaited) {
            super.channelRead(ctx, bytes);
        } else {
            ReferenceCountUtil.release(bytes);
            ctx.close();
        }
    }

    @Override
    protected HttpMessage createMessage(String[] line) {
        HttpMessage message = super.createMessage(line);
        HttpVersion version = message.protocolVersion();
        if (line[1].length() != STATUS_DIGITS
                || !version.equals(HttpVersion.HTTP_1_1) && !version.equals(HttpVersion.HTTP_1_0)) {
            throw new IllegalArgumentException("no status line of HTTP/1");
        }
        inHead = true;
        return message;
    }

    /** Netty wants a colon right behind each name only in the head of a request. */
    @Override
    protected boolean isDecodingRequest() {
        return inHead;
    }

    /** Netty asks once it has the whole head. */
    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        inHead = false;
        List<String> codings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean chunked = codings.size() == 1
                && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0).strip());
        if (!codings.isEmpty() && (!chunked || message.protocolVersion().equals(HttpVersion.HTTP_1_0))) {
            throw new IllegalArgumentException("a body with unknown coding");
        }
        return super.isContentAlwaysEmpty(message);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Transfer-Encoding and Content-Length");
    }
}
