package cranedeal.node;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.epoll.EpollIoHandler;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.unix.IntegerUnixChannelOption;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An upstream whose segments and receive buffer are small, as between machines. On plain loopback sockets the
 * kernel takes megabytes of a body that nobody reads. It serves one request a connection.
 */
final class SmallSegmentServer implements AutoCloseable {

    /** How much of a request a server reads. */
    enum Reading {
        /** The head, with the part of the body that the same read brings. */
        HEAD(0, 0),
        /** The head and the start of the body. */
        START(2_000, 0),
        /** All, 87 kB a second. */
        SLOWLY(Integer.MAX_VALUE, 50),
        /** All, and answers. */
        ALL(Integer.MAX_VALUE, 0);

        private final int bodyBytes;
        private final long pauseMs;

        Reading(int bodyBytes, long pauseMs) {
            this.bodyBytes = bodyBytes;
            this.pauseMs = pauseMs;
        }
    }

    private static final int IPPROTO_TCP = 6;
    private static final int TCP_MAXSEG = 2;
    private static final ChannelOption<Integer> MAX_SEGMENT =
            new IntegerUnixChannelOption("TCP_MAXSEG", IPPROTO_TCP, TCP_MAXSEG);
    private static final int SEGMENT_BYTES = 1_400;
    private static final int RECEIVE_BUFFER_BYTES = 16 << 10;
    private static final int READ_BYTES = 4_350;
    private static final int BACKLOG = 256;
    private static final Pattern ID = Pattern.compile("\r\nx-txn: *(\\S+)", Pattern.CASE_INSENSITIVE);
    private static final Pattern LENGTH =
            Pattern.compile("\r\ncontent-length: *(\\d+)", Pattern.CASE_INSENSITIVE);
    private static final String HEAD_END = "\r\n\r\n";
    private static final EventLoopGroup LOOPS = new MultiThreadIoEventLoopGroup(4, runnable -> {
        Thread thread = new Thread(runnable, "small-segments");
        thread.setDaemon(true);
        return thread;
    }, EpollIoHandler.newFactory());

    private final Reading reading;
    private final Channel listener;
    /** What has arrived of requests, in order. */
    private final Queue<Arrival> arrivals = new ConcurrentLinkedQueue<>();

    /** A part of a request that has arrived: its head, or all of it, at a time in ns. */
    record Arrival(String id, boolean whole, long at) { }

    SmallSegmentServer(Reading reading) throws InterruptedException {
        this.reading = reading;
        listener = new ServerBootstrap().group(LOOPS).channel(EpollServerSocketChannel.class)
                .option(MAX_SEGMENT, SEGMENT_BYTES).option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.AUTO_READ, false)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR,
                        new FixedRecvByteBufAllocator(READ_BYTES).maxMessagesPerRead(1))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new Connection());
                        channel.read();
                    }
                }).bind(InetAddress.getLoopbackAddress(), 0).sync().channel();
    }

    String address() {
        return "127.0.0.1:" + ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /** Returns what has arrived of requests, in order; times are those of {@link System#nanoTime}. */
    List<Arrival> arrivals() {
        return List.copyOf(arrivals);
    }

    /** Reads a request as far as this server does. */
    private final class Connection extends SimpleChannelInboundHandler<ByteBuf> {

        private final StringBuilder head = new StringBuilder();
        private String id;
        private long bodyReceived;
        private long length;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
            if (id == null) {
                readHead(bytes.toString(StandardCharsets.ISO_8859_1));
            } else {
                bodyReceived += bytes.readableBytes();
            }
            if (id == null || bodyReceived < Math.min(length, reading.bodyBytes)) {
                ctx.executor().schedule(ctx::read, reading.pauseMs, TimeUnit.MILLISECONDS);
            } else if (bodyReceived >= length) {
                arrivals.add(new Arrival(id, true, System.nanoTime()));
                ctx.writeAndFlush(ctx.alloc().buffer().writeBytes(
                        NodeFixture.ok(id).getBytes(StandardCharsets.ISO_8859_1)));
                id = null;
                ctx.read();
            }
        }

        private void readHead(String text) {
            long now = System.nanoTime();
            head.append(text);
            int end = head.indexOf(HEAD_END);
            if (end >= 0) {
                id = first(ID);
                arrivals.add(new Arrival(id, false, now));
                length = Long.parseLong(first(LENGTH));
                bodyReceived = head.length() - end - HEAD_END.length();
                head.setLength(0);
            }
        }

        private String first(Pattern pattern) {
            Matcher matcher = pattern.matcher(head);
            return matcher.find() ? matcher.group(1) : "0";
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    @Override
    public void close() {
        listener.close();
    }
}
