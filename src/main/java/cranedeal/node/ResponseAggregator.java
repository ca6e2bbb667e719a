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
 * Puts whole answers together; one that is too large for that goes on part by part, as it came. So does one
 * of unknown length that takes its time, since whoever waits for a large one is to have its start soon.
 */
final class ResponseAggregator extends HttpObjectAggregator {

    private static final long HOLD_MS = 200;

    private final int longest;
    /** An answer that may be large: its head until it has gone on, and what is held of its body. */
    private HttpResponse head;
    private ByteBuf held;
    private boolean passing;
    private Future<?> patience;

    ResponseAggregator(int longest) {
        super(longest);
        this.longest = longest;
    }

    @Override
    public boolean acceptInboundMessage(Object part) throws Exception {
        return super.acceptInboundMessage(part) || (head != null || passing) && part instanceof HttpContent;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, HttpObject part, List<Object> out) throws Exception {
        if (part instanceof HttpResponse response && response.decoderResult().isSuccess()) {
            long length = HttpUtil.getContentLength(response, -1L);
            if (length > longest) {
                out.add(response);
                passing = true;
                return;
            } else if (length < 0) {
                head = response;
                // Copied together: small pieces would each hold on to the buffer that they were read into.
                held = ctx.alloc().buffer();
                patience = ctx.executor().schedule(() -> passOn(ctx), HOLD_MS, TimeUnit.MILLISECONDS);
                return;
            }
        }
        if (passing) {
            out.add(((HttpContent) part).retain());
            passing = !(part instanceof LastHttpContent);
        } else if (head != null) {
            gather(ctx, (HttpContent) part, out);
        } else {
            super.decode(ctx, part, out);
        }
    }

    private void gather(ChannelHandlerContext ctx, HttpContent part, List<Object> out) {
        held.writeBytes(part.content());
        if (part instanceof LastHttpContent) {
            FullHttpResponse whole = new DefaultFullHttpResponse(head.protocolVersion(), head.status(), held);
            whole.headers().set(head.headers());
            whole.setDecoderResult(part.decoderResult());
            held = null;
            forget();
            out.add(whole);
        } else if (held.readableBytes() > longest) {
            passOn(ctx);
        }
    }

    /** Hands on what is held, and from now on what comes. */
    private void passOn(ChannelHandlerContext ctx) {
        if (head == null) {
            return;
        }
        HttpResponse begun = head;
        ByteBuf start = held;
        held = null;
        forget();
        passing = true;
        ctx.fireChannelRead(begun);
        ctx.fireChannelRead(new DefaultHttpContent(start));
    }

    private void forget() {
        if (patience != null) {
            patience.cancel(false);
            patience = null;
        }
        if (held != null) {
            held.release();
            held = null;
        }
        head = null;
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) throws Exception {
        forget();
        super.channelInactive(ctx);
    }
}
