package cranedeal.node;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.function.IntPredicate;

/**
 * A listening socket that closes connections for which there is no room as soon as the kernel hands them
 * over. To make a channel of each first would cost several times as much, just when there are most of them.
 */
final class CallerListener extends NioServerSocketChannel {

    private final IntPredicate mayTake;
    private final Runnable notTaken;

    /**
     * Listens with a socket that is not bound yet.
     *
     * @param mayTake whether one more connection may be taken besides so many that are on their way
     * @param notTaken run for each connection that was closed
     */
    CallerListener(ServerSocketChannel socket, IntPredicate mayTake, Runnable notTaken) {
        super(socket);
        this.mayTake = mayTake;
        this.notTaken = notTaken;
    }

    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
        if (mayTake.test(accepted.size())) {
            return super.doReadMessages(accepted);
        }
        SocketChannel caller = javaChannel().accept();
        if (caller == null) {
            return 0;
        }
        caller.close();
        notTaken.run();
        return 1;
    }
}
