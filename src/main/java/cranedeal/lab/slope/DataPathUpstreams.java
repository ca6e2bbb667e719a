package cranedeal.lab.slope;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * The process that runs all upstreams of a measurement. Each upstream is a loopback port that answers at once
 * or after a fixed delay. Upstreams are never overloaded, so they never cause a refusal.
 */
final class DataPathUpstreams {

    private static final int MAX_REQUEST_BYTES = 64 * 1024;
    private static final int BACKLOG = 1_024;
    private static final ByteBuf BODY = Unpooled.unreleasableBuffer(Unpooled.copiedBuffer(
            "{\"slot\":\"2026-12-01T10:20\",\"free\":true}", StandardCharsets.UTF_8));

    private DataPathUpstreams() {
    }

    /**
     * Listens on free ports and, once all are bound, writes them to a file, one per line.
     *
     * @param args the number of upstreams, the delay of an answer in microseconds, the file
     */
    public static void main(String[] args) throws Exception {
        int count = Integer.parseInt(args[0]);
        long workUs = Long.parseLong(args[1]);
        Path ports = Path.of(args[2]);
        EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("upstreams", true),
                NioIoHandler.newFactory());
        ServerBootstrap server = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG).childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpServerCodec(),
                                new HttpObjectAggregator(MAX_REQUEST_BYTES), new AnswerHandler(workUs));
                    }
                });
        List<String> lines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Channel bound = server.bind("127.0.0.1", 0).sync().channel();
            lines.add(Integer.toString(((InetSocketAddress) bound.localAddress()).getPort()));
        }
        // Moved atomically, so that the waiting process never reads a partial file.
        Path part = ports.resolveSibling(ports.getFileName() + ".part");
        Files.write(part, lines);
        Files.move(part, ports, StandardCopyOption.ATOMIC_MOVE);
        new CountDownLatch(1).await();
    }

    /** Answers the requests on a connection. */
    private static final class AnswerHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

        private final long workUs;

        AnswerHandler(long workUs) {
            this.workUs = workUs;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            if (workUs == 0) {
                answer(ctx);
            } else {
                ctx.executor().schedule(() -> answer(ctx), workUs, TimeUnit.MICROSECONDS);
            }
        }

        private static void answer(ChannelHandlerContext ctx) {
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                    HttpResponseStatus.OK, BODY.duplicate());
            response.headers().set("Content-Length", BODY.readableBytes());
            ctx.writeAndFlush(response);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
