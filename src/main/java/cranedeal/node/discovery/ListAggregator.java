package cranedeal.node.discovery;

import cranedeal.node.memory.BodyBuffer;
import cranedeal.node.memory.HoldLimit;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToMessageDecoder;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpContentException;
import java.util.List;

/**
 * Aggregates discovery's answers on the heap, so that lists, which are far larger than other messages, take
 * no direct memory from callers' requests. An answer over the largest size fails with a
 * {@link TooLongHttpContentException}.
 */
final class ListAggregator extends MessageToMessageDecoder<HttpObject> {

    private static final UnpooledByteBufAllocator HEAP = new UnpooledByteBufAllocator(false);

    private final HoldLimit limit;
    private HttpResponse head;
    private BodyBuffer body;

    /**
     * Creates an aggregator.
     *
     * @param maxBytes largest body in bytes
     */
    ListAggregator(int maxBytes) {
        limit = (held, more) -> held + more <= maxBytes;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, HttpObject part, List<Object> out)
            throws TooLongHttpContentException {
        if (part instanceof HttpResponse response) {
            start(response, out);
        }
        if (part instanceof HttpContent content && head != null) {
            accumulate(content, out);
        }
    }

    private void start(HttpResponse response, List<Object> out) {
        reset();
        if (response.decoderResult().isSuccess()) {
            head = response;
            body = new BodyBuffer(HEAP, limit);
            return;
        }
        // Nothing follows a head that could not be decoded.
        FullHttpResponse failed = new DefaultFullHttpResponse(response.protocolVersion(), response.status());
        failed.setDecoderResult(response.decoderResult());
        out.add(failed);
    }

    private void accumulate(HttpContent part, List<Object> out) throws TooLongHttpContentException {
        if (!body.add(part.content())) {
            reset();
            throw new TooLongHttpContentException("a list is too large");
        }
        if (part instanceof LastHttpContent) {
            ByteBuf whole = body.take();
            FullHttpResponse response = new DefaultFullHttpResponse(head.protocolVersion(), head.status(),
                    whole, head.headers(), EmptyHttpHeaders.INSTANCE);
            response.setDecoderResult(part.decoderResult());
            reset();
            out.add(response);
        }
    }

    private void reset() {
        if (body != null) {
            body.release();
            body = null;
        }
        head = null;
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) throws Exception {
        reset();
        super.channelInactive(ctx);
    }
}
