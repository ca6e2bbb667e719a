package cranedeal.node;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Aggregates answers; one that is too large to be buffered is streamed. So is a slow one of unknown length,
 * as the caller of a large answer should receive its start soon.
 */
final class ResponseAggregator extends HttpObjectAggregator {

    private static final long MAX_HOLD_MS = 200;

    private final int maxBuffered;
    /** An answer that may be large: its head, until that is passed on, and its buffered body. */
    private HttpResponse head;
    private ByteBuf buffered;
    private boolean streaming;
    private Future<?> holdTimer;

    ResponseAggregator(int maxBuffered) {
        super(maxBuffered);
        this.maxBuffered = maxBuffered;
    }

    @Override
    public boolean acceptInboundMessage(Object part) throws Exception {
        return super.acceptInboundMessage(part) || (head != null || streaming) && part instanceof HttpContent;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, HttpObject part, List<Object> out) throws Exception {
        if (part instanceof HttpResponse response && response.decoderResult().isSuccess()) {
            long length = HttpUtil.getContentLength(response, -1L);
            if (length > maxBuffered) {
                out.add(response);
                streaming = true;
                return;
            } else if (length < 0) {
                head = response;
                // Copied, because each small chunk would retain the whole buffer that it was read into.
                buffered = ctx.alloc().buffer();
                holdTimer = ctx.executor().schedule(() -> startStreaming(ctx), MAX_HOLD_MS,
                        TimeUnit.MILLISECONDS);
                return;
            }
        }
        if (streaming) {
            out.add(((HttpContent) part).retain());
            streaming = !(part instanceof LastHttpContent);
        } else if (head != null) {
            accumulate(ctx, (HttpContent) part, out);
        } else {
            super.decode(ctx, part, out);
        }
    }

    private void accumulate(ChannelHandlerContext ctx, HttpContent part, List<Object> out) {
        buffered.writeBytes(part.content());
        if (part instanceof LastHttpContent) {
            FullHttpResponse whole = new DefaultFullHttpResponse(head.protocolVersion(), head.status(),
                    buffered);
            whole.headers().set(head.headers());
            whole.setDecoderResult(part.decoderResult());
            buffered = null;
            reset();
            out.add(whole);
        } else if (buffered.readableBytes() > maxBuffered) {
            startStreaming(ctx);
        }
    }

    /** Passes on what is buffered, and from now on each part as it arrives. */
    private void startStreaming(ChannelHandlerContext ctx) {
        if (head == null) {
            return;
        }
        HttpResponse streamedHead = head;
        ByteBuf start = buffered;
        buffered = null;
        reset();
        streaming = true;
        ctx.fireChannelRead(streamedHead);
        ctx.fireChannelRead(new DefaultHttpContent(start));
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
        head = null;
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) throws Exception {
        reset();
        super.channelInactive(ctx);
    }
}
