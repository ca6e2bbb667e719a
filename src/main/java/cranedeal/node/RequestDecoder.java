package cranedeal.node;

import cranedeal.node.memory.BoundedHeadersFactory;
import cranedeal.node.memory.CompactCumulator;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Decodes requests, and rejects those whose end two parties could see differently (request smuggling). */
final class RequestDecoder extends HttpRequestDecoder {

    private boolean inHead;

    RequestDecoder() {
        super(BoundedHeadersFactory.decoderConfig());
        setCumulator(CompactCumulator.INSTANCE);
    }

    /** Returns true if a request's head has arrived in part. */
    boolean isInHead() {
        return inHead || actualReadableBytes() > 0;
    }

    @Override
    protected HttpMessage createMessage(String[] line) throws Exception {
        inHead = true;
        return super.createMessage(line);
    }

    /** Netty calls this once it has decoded the whole head. */
    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        inHead = false;
        return super.isContentAlwaysEmpty(message);
    }

    /** By default, Netty drops Content-Length; a front that trusts it would see one request, not two. */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Transfer-Encoding and Content-Length");
    }
}
