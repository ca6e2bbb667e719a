package cranedeal.lab.link;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;

/**
 * Relays TCP connections from a party's link address to its own, as {@link DatagramLinks} does with
 * datagrams. The source address identifies the connecting party. While either direction between the two
 * parties is blocked, new connections stay open without an answer. Other impairments have no effect on these
 * connections.
 */
final class ConnectionRelay {

    private final EventLoop loop;
    private final DatagramLinks links;
    private final InetSocketAddress ownAddress;

    ConnectionRelay(EventLoop loop, DatagramLinks links, InetSocketAddress ownAddress) {
        this.loop = loop;
        this.links = links;
        this.ownAddress = ownAddress;
    }

    ChannelFuture bind(InetSocketAddress linkAddress) {
        return new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true).childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        onAccept(channel);
                    }
                }).bind(linkAddress);
    }

    private void onAccept(Channel caller) {
        InetSocketAddress from = (InetSocketAddress) caller.remoteAddress();
        if (!links.isOpenBothWays(from.getAddress(), ownAddress.getAddress())) {
            return;
        }
        Bootstrap bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.AUTO_READ, false).handler(new ForwardingHandler(caller));
        ChannelFuture connected = bootstrap.connect(ownAddress);
        caller.pipeline().addLast(new ForwardingHandler(connected.channel()));
        connected.addListener(future -> {
            if (future.isSuccess()) {
                caller.config().setAutoRead(true);
                connected.channel().config().setAutoRead(true);
            } else {
                caller.close();
            }
        });
    }

    /** Forwards data and the close. There is no backpressure, since calls between members are short. */
    private static final class ForwardingHandler extends ChannelInboundHandlerAdapter {

        private final Channel destination;

        ForwardingHandler(Channel destination) {
            this.destination = destination;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            destination.writeAndFlush(message);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            destination.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
