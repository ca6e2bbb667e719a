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
 * Takes connections to a party's second address on to its own, as {@link DatagramLinks} does with datagrams.
 * Who connects is known by its address. While the way between the two is silent in either direction nothing
 * passes: a connection stays open and without an answer. Other faults of the way don't show on connections.
 */
final class ConnectionRelay {

    private final EventLoop loop;
    private final DatagramLinks links;
    private final InetSocketAddress own;

    ConnectionRelay(EventLoop loop, DatagramLinks links, InetSocketAddress own) {
        this.loop = loop;
        this.links = links;
        this.own = own;
    }

    ChannelFuture bind(InetSocketAddress second) {
        return new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true).childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        accepted(channel);
                    }
                }).bind(second);
    }

    private void accepted(Channel caller) {
        InetSocketAddress from = (InetSocketAddress) caller.remoteAddress();
        if (!links.isOpen(from.getAddress(), own.getAddress())) {
            return;
        }
        Bootstrap on = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.AUTO_READ, false).handler(new Pass(caller));
        ChannelFuture connected = on.connect(own);
        caller.pipeline().addLast(new Pass(connected.channel()));
        connected.addListener(done -> {
            if (done.isSuccess()) {
                caller.config().setAutoRead(true);
                connected.channel().config().setAutoRead(true);
            } else {
                caller.close();
            }
        });
    }

    /** Passes on what comes, and the end; calls between members are short. */
    private static final class Pass extends ChannelInboundHandlerAdapter {

        private final Channel to;

        Pass(Channel to) {
            this.to = to;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            to.writeAndFlush(message);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            to.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
