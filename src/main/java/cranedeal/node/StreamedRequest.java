package cranedeal.node;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpRequest;

/** A request that is passed on before its body has arrived; the body follows as an {@link Upload}. */
final class StreamedRequest extends DefaultFullHttpRequest {

    final Upload upload;

    StreamedRequest(HttpRequest head, Upload upload) {
        super(head.protocolVersion(), head.method(), head.uri(), Unpooled.EMPTY_BUFFER, head.headers(),
                new DefaultHttpHeaders());
        this.upload = upload;
    }

    @Override
    public boolean equals(Object other) {
        return this == other;
    }

    @Override
    public int hashCode() {
        return System.identityHashCode(this);
    }
}
