package cranedeal.node;

import cranedeal.node.memory.BodyBuffer;
import cranedeal.node.memory.HoldLimit;
import cranedeal.node.memory.PieceCollector;
import io.netty.buffer.ByteBuf;
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
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Holds an answer until it is whole, or until it is to be passed on, which its {@link Listener} decides; from
 * then on it is streamed. So is one for which memory is short. The body of an answer that reports no success
 * is dropped, as nobody reads it.
 */
final class ResponseAggregator extends MessageToMessageDecoder<HttpObject> {

    /** Is told what arrives of an answer, and decides whether it is held. */
    interface Listener {

        /**
         * The head has come.
         *
         * @param length length of the body in bytes; negative if it is not known
         * @return true if it is to be passed on now
         */
        boolean headArrived(boolean successful, long length);

        /** A part of the body has come; returns true if the answer is to be passed on now. */
        boolean bodyArrived(int bytes);
    }

    /** Holds what no attempt waits for until it is whole. */
    private static final Listener NO_ATTEMPT = new Listener() {
        @Override
        public boolean headArrived(boolean successful, long length) {
            return false;
        }

        @Override
        public boolean bodyArrived(int bytes) {
            return false;
        }
    };

    private final HoldLimit memory;
    private Listener listener = NO_ATTEMPT;
    /** The head and the body of an answer that is held; null if none is. */
    private HttpResponse head;
    private BodyBuffer buffered;
    private ChannelHandlerContext context;
    /** The pieces of a streamed answer that the current read has brought; null if none is streamed. */
    private PieceCollector pieces;

    /**
     * Creates an aggregator.
     *
     * @param memory limits what is held; an answer that exceeds it is streamed
     */
    ResponseAggregator(HoldLimit memory) {
        this.memory = memory;
    }

    /** Sets who is told of the next answer; null if none is expected. */
    void setListener(Listener newListener) {
        listener = newListener == null ? NO_ATTEMPT : newListener;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, HttpObject part, List<Object> out) {
        if (part instanceof HttpResponse response) {
            startAnswer(ctx, response, out);
        }
        if (part instanceof HttpContent content) {
            if (pieces != null) {
                listener.bodyArrived(content.content().readableBytes());
                stream(content, out);
            } else if (head != null) {
                hold(content, out);
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
        head = response;
        buffered = new BodyBuffer(ctx.alloc(), memory);
        boolean informational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        long length = HttpUtil.getContentLength(response, -1L);
        if (!informational && listener.headArrived(isSuccessful(), length)) {
            passOn();
        }
    }

    private boolean isSuccessful() {
        return head.status().equals(HttpResponseStatus.OK);
    }

    private void hold(HttpContent part, List<Object> out) {
        boolean toPassOn = listener.bodyArrived(part.content().readableBytes());
        if (isSuccessful() && !buffered.add(part.content())) {
            passOn();
            stream(part, out);
        } else if (part instanceof LastHttpContent) {
            FullHttpResponse whole = new DefaultFullHttpResponse(head.protocolVersion(), head.status(),
                    buffered.take(), head.headers(), EmptyHttpHeaders.INSTANCE);
            whole.setDecoderResult(part.decoderResult());
            reset();
            out.add(whole);
        } else if (toPassOn) {
            passOn();
        }
    }

    /** Passes on what is held, and from now on each part as it arrives. */
    void passOn() {
        if (head == null) {
            return;
        }
        HttpResponse streamedHead = head;
        ByteBuf start = buffered.take();
        reset();
        pieces = newCollector(context);
        context.fireChannelRead(streamedHead);
        context.fireChannelRead(new DefaultHttpContent(start));
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    private void stream(HttpContent part, List<Object> out) {
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
