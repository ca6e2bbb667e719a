package cranedeal.lab.link;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * A connection through a {@link StreamLink}: two sockets, and in each direction a bounded queue of data
 * waiting for its delivery time. The end of a stream is queued behind the data; a reset overtakes them, as it
 * does in a network, unless the link is blocked.
 */
final class RelayedConnection {

    /** Reading from the sender pauses while at least this many bytes are queued in its direction. */
    private static final int MOST_WAITING = 256 * 1024;
    private static final double NANOS_PER_MS = 1e6;

    private final StreamLink link;
    private final Half fromParty;
    private final Half fromTarget;
    private boolean over;

    RelayedConnection(StreamLink link, SocketChannel party) {
        this.link = link;
        fromParty = new Half(link.toTarget);
        fromTarget = new Half(link.back);
        fromParty.in = party;
        fromTarget.out = party;
        party.pipeline().addLast(fromParty);
    }

    ChannelInboundHandlerAdapter ofTarget() {
        return fromTarget;
    }

    void connected(ChannelFuture attempt) {
        if (!attempt.isSuccess()) {
            reset();
            return;
        }
        SocketChannel target = (SocketChannel) attempt.channel();
        fromTarget.in = target;
        fromParty.out = target;
        if (over) {
            resetOne(target);
            return;
        }
        fromParty.read();
        fromTarget.read();
    }

    /** Resumes delivery after a change of the link. */
    void resume() {
        fromParty.pump();
        fromTarget.pump();
    }

    /** Resets both sockets; queued data is lost. */
    void reset() {
        if (!over) {
            over = true;
            link.ended(this);
            fromParty.drop();
            fromTarget.drop();
            resetOne(fromParty.in);
            resetOne(fromTarget.in);
        }
    }

    private static void resetOne(Channel channel) {
        if (channel != null && channel.isOpen()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        }
    }

    /** Queued data and its delivery time; null bytes stand for the end of the stream. */
    private record Piece(double due, ByteBuf bytes) { }

    /** One direction of the connection, and the handler of the socket that its bytes come from. */
    private final class Half extends ChannelInboundHandlerAdapter {

        private final Direction direction;
        private final ArrayDeque<Piece> waiting = new ArrayDeque<>();
        private SocketChannel in;
        private SocketChannel out;
        private int bytesWaiting;
        private boolean scheduled;
        private boolean resetHeld;
        private boolean done;

        Half(Direction direction) {
            this.direction = direction;
        }

        void read() {
            boolean room = bytesWaiting < MOST_WAITING && !direction.isSilent();
            if (in != null && out != null && in.isOpen() && in.config().isAutoRead() != room) {
                in.config().setAutoRead(room);
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            bytesWaiting += bytes.readableBytes();
            queue(bytes);
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event == ChannelInputShutdownEvent.INSTANCE) {
                queue(null);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (direction.isSilent()) {
                resetHeld = true;
            } else {
                reset();
            }
        }

        private void queue(ByteBuf bytes) {
            int size = bytes == null ? 0 : bytes.readableBytes();
            waiting.add(new Piece(direction.ofStream(now(), size), bytes));
            pump();
        }

        /** Sends everything that is due and schedules the rest. */
        void pump() {
            if (over || out == null) {
                return;
            }
            if (!direction.isSilent()) {
                if (resetHeld) {
                    reset();
                    return;
                }
                boolean wrote = false;
                while (!waiting.isEmpty() && waiting.peek().due() <= now()) {
                    wrote |= send(waiting.poll());
                }
                if (wrote) {
                    out.flush();
                }
                if (!waiting.isEmpty() && !scheduled) {
                    scheduled = true;
                    long nanos = (long) ((waiting.peek().due() - now()) * NANOS_PER_MS);
                    link.loop().schedule(this::comeBack, Math.max(nanos, 1), TimeUnit.NANOSECONDS);
                }
            }
            read();
        }

        private void comeBack() {
            scheduled = false;
            pump();
        }

        private boolean send(Piece piece) {
            if (piece.bytes() != null) {
                int size = piece.bytes().readableBytes();
                out.write(piece.bytes()).addListener(written -> {
                    bytesWaiting -= size;
                    if (!written.isSuccess()) {
                        reset();
                    } else if (!over) {
                        read();
                    }
                });
                return true;
            }
            // Shutting down the output while earlier bytes are unwritten would discard them.
            out.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(written -> end());
            return false;
        }

        private void end() {
            if (over) {
                return;
            }
            done = true;
            out.shutdownOutput();
            if (fromParty.done && fromTarget.done) {
                finish();
            }
        }

        private void drop() {
            for (Piece piece = waiting.poll(); piece != null; piece = waiting.poll()) {
                if (piece.bytes() != null) {
                    piece.bytes().release();
                }
            }
        }
    }

    /** Called when both streams have ended in order. */
    private void finish() {
        over = true;
        link.ended(this);
        fromParty.in.close();
        fromTarget.in.close();
    }

    private static double now() {
        return System.nanoTime() / NANOS_PER_MS;
    }
}
