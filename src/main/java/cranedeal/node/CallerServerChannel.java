package cranedeal.node;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.function.IntPredicate;

/**
 * A listening socket that closes connections for which there is no room as soon as they are accepted.
 * Creating a channel for each first would cost several times as much, just when there are most of them.
 */
final class CallerServerChannel extends NioServerSocketChannel {

    private final IntPredicate mayAccept;
    private final Runnable onRejected;

    /**
     * Creates the channel of a socket that is not bound yet.
     *
     * @param mayAccept returns true if one more connection may be accepted besides the given number that
     *     this read has accepted
     * @param onRejected run for each connection that was closed
     */
    CallerServerChannel(ServerSocketChannel socket, IntPredicate mayAccept, Runnable onRejected) {
        super(socket);
        this.mayAccept = mayAccept;
        this.onRejected = onRejected;
    }

    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
        if (mayAccept.test(accepted.size())) {
            return super.doReadMessages(accepted);
        }
        SocketChannel caller = javaChannel().accept();
        if (caller == null) {
            return 0;
        }
        caller.close();
        onRejected.run();
        return 1;
    }
}
