package cranedeal.node.channel;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.nio.AbstractNioChannel;
import java.net.SocketAddress;

/** Operations on Netty's channels that Netty does not offer itself. */
public final class Channels {

    private Channels() {
    }

    /**
     * Opens a connection. If no socket can be opened, Netty's future has no registered channel and notifies
     * its listeners on another thread; this method returns null at once instead.
     *
     * @return null if no socket could be opened
     */
    public static ChannelFuture connect(Bootstrap bootstrap, SocketAddress address) {
        ChannelFuture connect = bootstrap.connect(address);
        boolean noSocket = connect.isDone() && !connect.isSuccess() && !connect.channel().isRegistered();
        return noSocket ? null : connect;
    }

    /**
     * Reads at once what the kernel has for a channel: bytes, the end of the stream, or connections in the
     * accept queue. The state of the channel is then as current as possible.
     */
    public static void readNow(Channel channel) {
        if (channel.isOpen()) {
            ((AbstractNioChannel.NioUnsafe) channel.unsafe()).read();
        }
    }
}
