package cranedeal.node;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Reads requests, but none of which two parties could see the end at different places. */
final class RequestDecoder extends HttpRequestDecoder {

    /** By default, Netty drops the length: a front that goes by it sees one request where there are two. */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Transfer-Encoding and Content-Length");
    }
}
