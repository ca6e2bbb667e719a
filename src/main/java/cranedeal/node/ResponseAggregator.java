package cranedeal.node;

import cranedeal.node.memory.BodyBuffer;
import cranedeal.node.memory.HoldLimit;
import cranedeal.node.memory.PieceCollector;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToMessageDecoder;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Aggregates answers; one that is too large to be buffered, or for which memory is short, is streamed. So is
 * a slow one of unknown length, as the caller of a large answer should receive its start soon. A head alone
 * is no start: until a part of its body has come, an answer can still time out. The body of an answer that
 * reports no success is dropped, as nobody reads it.
 */
final class ResponseAggregator extends MessageToMessageDecoder<HttpObject> {

    /** How long the start of an answer of unknown length is held, in ms. */
    static final long MAX_HOLD_MS = 200;

    private final int maxBuffered;
    private final HoldLimit memory;
    /** An answer that is not streamed: its head, its buffered body, and how much of it has arrived. */
    private HttpResponse head;
    private BodyBuffer buffered;
    private long received;
    /** True if its length is not known, so that it can be streamed however short it turns out to be. */
    private boolean lengthUnknown;
    /** True if it is streamed from the first byte of its body. */
    private boolean streamed;
    private ChannelHandlerContext context;
    /** The pieces of a streamed answer that the current read has brought; null if none is streamed. */
    private PieceCollector pieces;
    private Future<?> holdTimer;

    /**
     * Creates an aggregator.
     *
     * @param maxBuffered largest body in bytes that is buffered rather than streamed
     * @param memory limits what is buffered; an answer that exceeds it is streamed
     */
    ResponseAggregator(int maxBuffered, HoldLimit memory) {
        this.maxBuffered = maxBuffered;
        this.memory = memory;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, HttpObject part, List<Object> out) {
        if (part instanceof HttpResponse response) {
            startAnswer(ctx, response, out);
        }
        if (part instanceof HttpContent content) {
            if (pieces != null) {
                passOn(content, out);
            } else if (head != null) {
                accumulate(ctx, content, out);
            }
        }
    }

    private void startAnswer(ChannelHandlerContext ctx, HttpResponse response, List<Object> out) {
        reset();
        if (response.decoderResult().isFailure()) {
            FullHttpResponse failed = new DefaultFullHttpResponse(response.protocolVersion(),
                    response.status());
            failed.setDecoderResult(response.decoderResult());
            out.add(failed);
            return;
        }
        long length = HttpUtil.getContentLength(response, -1L);
        boolean successful = response.status().equals(HttpResponseStatus.OK);
        if (length > maxBuffered && !successful) {
            out.add(response);
            pieces = newCollector(ctx);
            return;
        }
        head = response;
        received = 0;
        lengthUnknown = length < 0;
        streamed = length > maxBuffered;
        buffered = new BodyBuffer(ctx.alloc(), memory);
        if (length < 0) {
            holdTimer = ctx.executor().schedule(this::endHold, MAX_HOLD_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void accumulate(ChannelHandlerContext ctx, HttpContent part, List<Object> out) {
        received += part.content().readableBytes();
        if (head.status().equals(HttpResponseStatus.OK) && !buffered.add(part.content())) {
            startStreaming(ctx);
            passOn(part, out);
            return;
        }
        if (part instanceof LastHttpContent) {
            FullHttpResponse whole = new DefaultFullHttpResponse(head.protocolVersion(), head.status(),
                    buffered.take(), head.headers(), EmptyHttpHeaders.INSTANCE);
            whole.setDecoderResult(part.decoderResult());
            reset();
            out.add(whole);
        } else if (received > (streamed ? 0 : maxBuffered)) {
            startStreaming(ctx);
        }
    }

    private void endHold() {
        streamed = true;
        if (head.status().equals(HttpResponseStatus.OK)) {
            streamIfBegun();
        } else {
            startStreaming(context);
        }
    }

    /** Starts to stream a successful answer of unknown length of which something has arrived. */
    void streamIfBegun() {
        if (hasBegun()) {
            startStreaming(context);
        }
    }

    /** Returns true if such an answer is still held, and soon comes whole or is streamed. */
    boolean isHolding() {
        return hasBegun() && !streamed;
    }

    private boolean hasBegun() {
        return head != null && lengthUnknown && received > 0 && head.status().equals(HttpResponseStatus.OK);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    /** Passes on what is buffered, and from now on each part as it arrives. */
    private void startStreaming(ChannelHandlerContext ctx) {
        if (head == null) {
            return;
        }
        HttpResponse streamedHead = head;
        BodyBuffer start = buffered;
        buffered = null;
        reset();
        pieces = newCollector(ctx);
        ctx.fireChannelRead(streamedHead);
        ctx.fireChannelRead(new DefaultHttpContent(start.take()));
    }

    private void passOn(HttpContent part, List<Object> out) {
        pieces.add(part.content());
        if (part instanceof LastHttpContent) {
            pieces.flush();
            reset();
            LastHttpContent end = new DefaultLastHttpContent();
            end.setDecoderResult(part.decoderResult());
            out.add(end);
        }
    }

    private static PieceCollector newCollector(ChannelHandlerContext ctx) {
        return new PieceCollector(ctx.alloc(), piece -> ctx.fireChannelRead(new DefaultHttpContent(piece)));
    }

    private void reset() {
        if (holdTimer != null) {
            holdTimer.cancel(false);
            holdTimer = null;
        }
        if (buffered != null) {
            buffered.release();
            buffered = null;
        }
        if (pieces != null) {
            pieces.release();
            pieces = null;
        }
        head = null;
    }

    /** Netty would read on although reading is paused, as the parts of a stream are not its messages. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (pieces != null) {
            pieces.flush();
        }
        ctx.fireChannelReadComplete();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) throws Exception {
        reset();
        super.channelInactive(ctx);
    }
}
