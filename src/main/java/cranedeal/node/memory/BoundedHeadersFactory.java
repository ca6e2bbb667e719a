package cranedeal.node.memory;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import java.util.Map;

/**
 * Makes headers of a bounded number of lines. A line of four bytes costs some 150 on the heap, so that the
 * decoder's bound on the bytes of a head alone allows hundreds of kilobytes for each connection.
 */
public final class BoundedHeadersFactory implements HttpHeadersFactory {

    /** Most lines of a head, and of the trailers of a body. */
    public static final int MAX_LINES = 100;
    /** What a head costs on the heap beside its lines, and a line beside its characters, in bytes. */
    private static final int HEAD_COST_BYTES = 512;
    private static final int LINE_COST_BYTES = 150;

    private final DefaultHttpHeadersFactory unbounded;

    private BoundedHeadersFactory(DefaultHttpHeadersFactory unbounded) {
        this.unbounded = unbounded;
    }

    /** Returns the configuration of a decoder whose heads and trailers are bounded. */
    public static HttpDecoderConfig decoderConfig() {
        return new HttpDecoderConfig()
                .setHeadersFactory(new BoundedHeadersFactory(DefaultHttpHeadersFactory.headersFactory()))
                .setTrailersFactory(new BoundedHeadersFactory(DefaultHttpHeadersFactory.trailersFactory()));
    }

    /** Returns about how many bytes of the heap a head takes. */
    public static int heapBytes(HttpHeaders headers) {
        int bytes = HEAD_COST_BYTES;
        for (Map.Entry<String, String> line : headers) {
            bytes += LINE_COST_BYTES + line.getKey().length() + line.getValue().length();
        }
        return bytes;
    }

    @Override
    public HttpHeaders newHeaders() {
        return new BoundedHeaders();
    }

    @Override
    public HttpHeaders newEmptyHeaders() {
        return unbounded.newEmptyHeaders();
    }

    /** Headers that a decoder adds line by line. */
    private final class BoundedHeaders extends DefaultHttpHeaders {

        BoundedHeaders() {
            super(unbounded.getNameValidator(), unbounded.getValueValidator());
        }

        @Override
        public HttpHeaders add(CharSequence name, Object value) {
            if (size() >= MAX_LINES) {
                throw new TooLongHttpHeaderException("over " + MAX_LINES + " lines in a head");
            }
            return super.add(name, value);
        }
    }
}
