package cranedeal.node;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Reads requests, but none of which two parties could see the end at different places. */
final class RequestDecoder extends HttpRequestDecoder {

    private boolean lineRead;

    /** Whether a request's head has come in part. */
    boolean isInHead() {
        return lineRead || actualReadableBytes() > 0;
    }

    @Override
    protected HttpMessage createMessage(String[] line) throws Exception {
        lineRead = true;
        return super.createMessage(line);
    }

    /** Netty asks once it has the whole head. */
    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        lineRead = false;
        return super.isContentAlwaysEmpty(message);
    }

    /** By default, Netty drops the length: a front that goes by it sees one request where there are two. */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Transfer-Encoding and Content-Length");
    }
}
