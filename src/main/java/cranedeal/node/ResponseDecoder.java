package cranedeal.node;

import cranedeal.node.memory.BoundedHeadersFactory;
import cranedeal.node.memory.CompactCumulator;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.util.List;

/**
 * Decodes answers strictly. Netty is lenient with servers and repairs malformed answers; passing on a
 * repaired answer would report as served what the upstream has not sent.
 */
final class ResponseDecoder extends HttpResponseDecoder {

    private static final int STATUS_DIGITS = 3;

    /** True while a request waits for its answer; at any other time, bytes belong to no request. */
    private boolean responseExpected;
    private boolean inHead;

    ResponseDecoder() {
        super(BoundedHeadersFactory.decoderConfig());
        setCumulator(CompactCumulator.INSTANCE);
    }

    void setResponseExpected(boolean expected) {
        responseExpected = expected;
    }

    /** Returns true if bytes have arrived after the end of the last answer. */
    boolean hasTrailingBytes() {
        return actualReadableBytes() > 0;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object bytes) throws Exception {
        if (responseExpected) {
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
            throw new IllegalArgumentException("not an HTTP/1 status line");
        }
        inHead = true;
        return message;
    }

    /** Returns true within a head, as Netty rejects whitespace before a header's colon only in requests. */
    @Override
    protected boolean isDecodingRequest() {
        return inHead;
    }

    /** Netty calls this once it has decoded the whole head. */
    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        inHead = false;
        List<String> codings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean chunked = codings.size() == 1
                && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0).strip());
        if (!codings.isEmpty() && (!chunked || message.protocolVersion().equals(HttpVersion.HTTP_1_0))) {
            throw new IllegalArgumentException("unsupported Transfer-Encoding");
        }
        return super.isContentAlwaysEmpty(message);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Transfer-Encoding and Content-Length");
    }
}
