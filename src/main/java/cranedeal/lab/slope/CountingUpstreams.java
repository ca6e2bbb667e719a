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

/** Upstreams on loopback ports that answer at once. Those with an odd index record the time of each call. */
final class CountingUpstreams {

    private static final int MAX_REQUEST_BYTES = 64 * 1024;
    private static final int BACKLOG = 256;

    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private final ConcurrentLinkedQueue<Long> calls = new ConcurrentLinkedQueue<>();

    /** Listens on free loopback ports until the event loops shut down. */
    CountingUpstreams(EventLoopGroup loops, int count) throws InterruptedException {
        for (int i = 0; i < count; i++) {
            boolean noted = isRecorded(i);
            Channel bound = new ServerBootstrap().group(loops).channel(NioServerSocketChannel.class)
                    .option(ChannelOption.SO_BACKLOG, BACKLOG).childOption(ChannelOption.TCP_NODELAY, true)
                    .childHandler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline().addLast(new HttpServerCodec(),
                                    new HttpObjectAggregator(MAX_REQUEST_BYTES), new AnswerHandler(noted));
                        }
                    }).bind("127.0.0.1", 0).sync().channel();
            addresses.add((InetSocketAddress) bound.localAddress());
        }
    }

    /** Returns true if the upstream with this index records its calls. */
    static boolean isRecorded(int place) {
        return place % 2 == 1;
    }

    List<InetSocketAddress> addresses() {
        return addresses;
    }

    /** Returns the arrival times of the recorded calls, in nanoseconds of the monotonic clock. */
    List<Long> calls() {
        return List.copyOf(calls);
    }

    private final class AnswerHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

        private final boolean recorded;

        AnswerHandler(boolean noted) {
            this.recorded = noted;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            if (recorded) {
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
