package cranedeal.lab.slope;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Upstreams that answer at once, each on a port of loopback. Those of odd places note when a call comes. */
final class CountingUpstreams {

    private static final int LARGEST = 64 * 1024;
    private static final int BACKLOG = 256;

    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private final ConcurrentLinkedQueue<Long> calls = new ConcurrentLinkedQueue<>();

    /** Listens on free ports of loopback; ends with its loops. */
    CountingUpstreams(EventLoopGroup loops, int count) throws InterruptedException {
        for (int i = 0; i < count; i++) {
            boolean noted = isNoted(i);
            Channel bound = new ServerBootstrap().group(loops).channel(NioServerSocketChannel.class)
                    .option(ChannelOption.SO_BACKLOG, BACKLOG).childOption(ChannelOption.TCP_NODELAY, true)
                    .childHandler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline().addLast(new HttpServerCodec(),
                                    new HttpObjectAggregator(LARGEST), new Answering(noted));
                        }
                    }).bind("127.0.0.1", 0).sync().channel();
            addresses.add((InetSocketAddress) bound.localAddress());
        }
    }

    /** Whether an upstream notes its calls, by its place. */
    static boolean isNoted(int place) {
        return place % 2 == 1;
    }

    List<InetSocketAddress> addresses() {
        return addresses;
    }

    /** When the calls came that were noted, in nanoseconds of the monotonic clock. */
    List<Long> calls() {
        return List.copyOf(calls);
    }

    private final class Answering extends SimpleChannelInboundHandler<FullHttpRequest> {

        private final boolean noted;

        Answering(boolean noted) {
            this.noted = noted;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            if (noted) {
                calls.add(System.nanoTime());
            }
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                    HttpResponseStatus.OK, Unpooled.EMPTY_BUFFER);
            response.headers().set("Content-Length", 0);
            ctx.writeAndFlush(response);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
