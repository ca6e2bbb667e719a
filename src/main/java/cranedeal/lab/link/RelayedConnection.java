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
    private static final int MAX_QUEUED_BYTES = 256 * 1024;
    private static final double NANOS_PER_MS = 1e6;

    private final StreamLink link;
    private final Forwarder fromParty;
    private final Forwarder fromTarget;
    private boolean finished;

    RelayedConnection(StreamLink link, SocketChannel party) {
        this.link = link;
        fromParty = new Forwarder(link.toTarget);
        fromTarget = new Forwarder(link.fromTarget);
        fromParty.source = party;
        fromTarget.destination = party;
        party.pipeline().addLast(fromParty);
    }

    ChannelInboundHandlerAdapter targetHandler() {
        return fromTarget;
    }

    void targetConnected(ChannelFuture attempt) {
        if (!attempt.isSuccess()) {
            reset();
            return;
        }
        SocketChannel target = (SocketChannel) attempt.channel();
        fromTarget.source = target;
        fromParty.destination = target;
        if (finished) {
            resetSocket(target);
            return;
        }
        fromParty.updateAutoRead();
        fromTarget.updateAutoRead();
    }

    /** Resumes delivery after a change of the link. */
    void resume() {
        fromParty.sendDue();
        fromTarget.sendDue();
    }

    /** Resets both sockets; queued data is lost. */
    void reset() {
        if (!finished) {
            finished = true;
            link.connectionEnded(this);
            fromParty.releaseQueue();
            fromTarget.releaseQueue();
            resetSocket(fromParty.source);
            resetSocket(fromTarget.source);
        }
    }

    private static void resetSocket(Channel channel) {
        if (channel != null && channel.isOpen()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        }
    }

    /** Queued data and its delivery time; null bytes stand for the end of the stream. */
    private record QueuedData(double dueMs, ByteBuf bytes) { }

    /** One direction of the connection, and the handler of the socket that its bytes come from. */
    private final class Forwarder extends ChannelInboundHandlerAdapter {

        private final Direction direction;
        private final ArrayDeque<QueuedData> queue = new ArrayDeque<>();
        private SocketChannel source;
        private SocketChannel destination;
        private int queuedBytes;
        private boolean scheduled;
        private boolean resetPending;
        private boolean outputEnded;

        Forwarder(Direction direction) {
            this.direction = direction;
        }

        void updateAutoRead() {
            boolean mayRead = queuedBytes < MAX_QUEUED_BYTES && !direction.isBlocked();
            if (source != null && destination != null && source.isOpen()
                    && source.config().isAutoRead() != mayRead) {
                source.config().setAutoRead(mayRead);
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            queuedBytes += bytes.readableBytes();
            enqueue(bytes);
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event == ChannelInputShutdownEvent.INSTANCE) {
                enqueue(null);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (direction.isBlocked()) {
                resetPending = true;
            } else {
                reset();
            }
        }

        private void enqueue(ByteBuf bytes) {
            int size = bytes == null ? 0 : bytes.readableBytes();
            queue.add(new QueuedData(direction.streamDelivery(now(), size), bytes));
            sendDue();
        }

        /** Sends everything that is due and schedules the rest. */
        void sendDue() {
            if (finished || destination == null) {
                return;
            }
            if (!direction.isBlocked()) {
                if (resetPending) {
                    reset();
                    return;
                }
                boolean wrote = false;
                while (!queue.isEmpty() && queue.peek().dueMs() <= now()) {
                    wrote |= send(queue.poll());
                }
                if (wrote) {
                    destination.flush();
                }
                if (!queue.isEmpty() && !scheduled) {
                    scheduled = true;
                    long nanos = (long) ((queue.peek().dueMs() - now()) * NANOS_PER_MS);
                    link.loop().schedule(this::onTimer, Math.max(nanos, 1), TimeUnit.NANOSECONDS);
                }
            }
            updateAutoRead();
        }

        private void onTimer() {
            scheduled = false;
            sendDue();
        }

        private boolean send(QueuedData data) {
            if (data.bytes() != null) {
                int size = data.bytes().readableBytes();
                destination.write(data.bytes()).addListener(written -> {
                    queuedBytes -= size;
                    if (!written.isSuccess()) {
                        reset();
                    } else if (!finished) {
                        updateAutoRead();
                    }
                });
                return true;
            }
            // Shutting down the output while earlier bytes are unwritten would discard them.
            destination.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(written -> endOutput());
            return false;
        }

        private void endOutput() {
            if (finished) {
                return;
            }
            outputEnded = true;
            destination.shutdownOutput();
            if (fromParty.outputEnded && fromTarget.outputEnded) {
                closeSockets();
            }
        }

        private void releaseQueue() {
            for (QueuedData data = queue.poll(); data != null; data = queue.poll()) {
                if (data.bytes() != null) {
                    data.bytes().release();
                }
            }
        }
    }

    /** Called when both streams have ended in order. */
    private void closeSockets() {
        finished = true;
        link.connectionEnded(this);
        fromParty.source.close();
        fromTarget.source.close();
    }

    private static double now() {
        return System.nanoTime() / NANOS_PER_MS;
    }
}
