package cranedeal.node.channel;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.nio.AbstractNioChannel;
import java.net.SocketAddress;

/** What a node does with Netty's channels beyond what Netty offers. */
public final class Channels {

    private Channels() {
    }

    /**
     * Opens a connection. Where there is no socket to be had, Netty's future knows no channel and tells its
     * listeners on a thread of its own; that is told here at once instead.
     *
     * @return null if there is no socket to be had
     */
    public static ChannelFuture connect(Bootstrap bootstrap, SocketAddress address) {
        ChannelFuture connect = bootstrap.connect(address);
        boolean noSocket = connect.isDone() && !connect.isSuccess() && !connect.channel().isRegistered();
        return noSocket ? null : connect;
    }

    /**
     * Handles at once what the kernel holds for a channel: bytes, the peer's end of the stream, callers in
     * the backlog. What it says about a connection is then as fresh as can be.
     */
    public static void readNow(Channel channel) {
        if (channel.isOpen()) {
            ((AbstractNioChannel.NioUnsafe) channel.unsafe()).read();
        }
    }
}
