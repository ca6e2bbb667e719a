package cranedeal.node;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.function.DoubleSupplier;

/** The reading side of a caller's connection, which is paused while a body's receiver takes no more. */
final class CallerInput extends ChannelInboundHandlerAdapter {

    private final DoubleSupplier clock;
    private Channel channel;
    /** When reading was paused, in ms of the clock; NaN while the connection is read. */
    private double pausedAt = Double.NaN;
    /** For how many ms reading was paused before, since the last {@link #resetPauses}. */
    private double pausedMs;

    /** Creates the input of the connection whose pipeline it is added to; the clock is in ms. */
    CallerInput(DoubleSupplier clock) {
        this.clock = clock;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    void pause() {
        if (!isPaused()) {
            pausedAt = clock.getAsDouble();
        }
        channel.config().setAutoRead(false);
    }

    void resume() {
        pausedMs = pausedMs();
        pausedAt = Double.NaN;
        channel.config().setAutoRead(true);
    }

    boolean isPaused() {
        return !Double.isNaN(pausedAt);
    }

    /** Returns for how many ms reading has been paused since the last {@link #resetPauses}. */
    double pausedMs() {
        return pausedMs + (isPaused() ? clock.getAsDouble() - pausedAt : 0);
    }

    /** Counts pauses anew, from the start of a body. */
    void resetPauses() {
        pausedMs = 0;
    }
}
