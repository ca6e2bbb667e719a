package cranedeal.node;

import cranedeal.node.channel.Channels;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpContentException;
import io.netty.handler.timeout.ReadTimeoutException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;

/** Takes callers' requests, checks that they are well formed, and writes each one's answer. */
final class Frontend {

    /** Callers that may wait to be accepted: two looks take them in, also where the processor is short. */
    private static final int BACKLOG = 1_024;
    /** How soon it accepts again after that has failed, in ms. */
    private static final long ACCEPT_AGAIN_MS = 10;
    /** Callers that are taken in at one look at the sockets; those with a connection wait meanwhile. */
    private static final int ACCEPTED_AT_ONCE = 512;
    /** How soon it is looked again whether requests that wait for a descriptor can be sent on, in ms. */
    private static final long BLOCKED_MS = 1;
    private static final String HEALTH_PATH = "/_health";
    /** Requests that a connection may send ahead of their turn. */
    private static final int MAX_AHEAD = 16;
    /** The largest body that is taken. */
    static final long MAX_LARGE = 32 << 20;
    /**
     * How long a connection may take for its first request, and a later request from its head to its end:
     * callers may need 2 s for a head, and whoever sends no request is to be closed 3 s after it came.
     */
    private static final double PATIENCE_MS = 2_500;
    /** The bytes of a body that buy a ms more: half as many as the slowest callers send. */
    private static final double SLOWEST = 32;
    /** How long a body may stand still once its patience is over. */
    private static final double GAP_MS = 1_000;
    /** How long a connection that has been served may stand idle. */
    private static final double IDLE_MS = 10_000;
    /** From when on a connection that has been served may be closed for another. */
    private static final double MAY_CLOSE_MS = 2_000;
    /** How long a connection is left alone in a drain for its first request to come. */
    private static final double FRESH_MS = 250;
    /** Two of these after its patience is over, a connection is surely closed. */
    private static final long SWEEP_MS = 250;
    /** How often it is told that callers were turned down, where any were. */
    private static final double TELL_EVERY_MS = 10_000;
    /** How long a caller that was answered for the last time may go on sending. */
    private static final long LINGER_MS = 500;
    /** How long it may take to read that answer. */
    private static final long UNREAD_MS = 5_000;
    /** Resting connections that are looked at for one that may go. */
    private static final int MOST_LOOKS = 16;
    /** How many connections that had to make room may be on their way out and still hold a descriptor. */
    private static final int MOST_LEAVING = 8;
    /** When a caller that is refused for want of processor time ought to come again, in ms. */
    private static final double RETURN_MS = 500;
    /** What the kernel may hold of a large answer. */
    private static final int SEND_BUFFER = 128 * 1_024;

    private final EventLoop loop;
    private NodeConfig config;
    private final SocketBudget sockets;
    private final ByteBufAllocator memory;
    private final Node node;
    private final NodeMetrics figures;
    private final LoopMonitor monitor;
    /** The connections whose requests have been read and wait to be handled. */
    private final Arrivals<Connection> arrivals;
    private RequestParser parser;
    private final Set<Connection> connections = new LinkedHashSet<>();
    /** Those of them that have been served and rest, the longest first. */
    private final Set<Connection> resting = new LinkedHashSet<>();
    /** Those of them that no whole request has come on, the oldest first. */
    private final Set<Connection> unserved = new LinkedHashSet<>();
    /** Those that had to make room and are not closed yet, the earliest first. */
    private final ArrayDeque<Connection> leaving = new ArrayDeque<>();
    private Channel listening;
    /** The socket of {@link #listening}. */
    private ServerSocketChannel socket;
    private boolean draining;
    /** Whether nobody is accepted any more; the socket is closed soon after. */
    private boolean deaf;
    /** What the front hears when it asks how this balancer does. */
    private HttpResponseStatus health = HttpResponseStatus.OK;
    /** Callers turned down since it was last told: for what they sent, and for what they did not send. */
    private int malformed;
    private int silent;
    private double toldAt = Double.NEGATIVE_INFINITY;

    Frontend(EventLoop loop, NodeConfig config, SocketBudget sockets, ByteBufAllocator memory, Node node,
            NodeMetrics figures, LoopMonitor monitor, Clock clock) {
        this.loop = loop;
        this.config = config;
        this.sockets = sockets;
        this.memory = memory;
        this.node = node;
        this.figures = figures;
        this.monitor = monitor;
        arrivals = new Arrivals<>(clock::now, sockets::mayOpenUpstream, Connection::handleWaiting,
                Connection::refuseLate);
        sockets.evictCallersWith(new SocketBudget.IdlePool() {
            @Override
            public double idleSince() {
                double since = resting.isEmpty() ? Double.NaN : resting.iterator().next().since;
                // NaN compares false.
                return node.now() >= since + MAY_CLOSE_MS ? since : Double.NaN;
            }

            @Override
            public boolean evict() {
                return evictIdle();
            }
        });
        settingsChanged(config);
    }

    /** From now on requests are read by these settings. */
    final void settingsChanged(NodeConfig replaced) {
        config = replaced;
        parser = new RequestParser(replaced);
    }

    /** Starts to listen; at an address that another process of this balancer has too if that is so. */
    void bind(boolean shared) throws ConfigException, InterruptedException {
        socket = open();
        ServerBootstrap server = new ServerBootstrap().group(loop)
                .channelFactory(() -> new CallerListener(socket, this::mayTake,
                        () -> figures.connectionClosed(NodeMetrics.CloseReason.CALLER_NOT_TAKEN)))
                .option(ChannelOption.SO_BACKLOG, BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.RECVBUF_ALLOCATOR,
                        new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(ACCEPTED_AT_ONCE))
                .childOption(ChannelOption.ALLOCATOR, memory).childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        RequestAggregator whole = new RequestAggregator(UpstreamClient.MAX_BODY, MAX_LARGE);
                        RequestDecoder decoder = new RequestDecoder();
                        channel.pipeline().addLast(decoder, new HttpResponseEncoder(), whole,
                                new Connection(channel, decoder, whole));
                    }
                });
        server.handler(new AcceptGate());
        if (shared) {
            server.option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true);
        }
        var bound = server.bind(config.listen()).await();
        if (!bound.isSuccess()) {
            throw new ConfigException("cannot listen on " + config.listen() + ": "
                    + bound.cause().getMessage());
        }
        listening = bound.channel();
        loop.scheduleAtFixedRate(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
    }

    /** Whether there may be room for a caller besides so many that are on their way; closes nothing. */
    private boolean mayTake(int others) {
        return sockets.mayTakeCaller(others)
                || !unserved.isEmpty() && unserved.iterator().next().since <= node.now() - FRESH_MS;
    }

    /**
     * Stands before whatever is accepted. Without room for it a caller is closed unread, which costs next to
     * nothing: to close others that may be used again would have these come anew, and to leave it in the
     * queue would have it wait without an answer.
     */
    private final class AcceptGate extends ChannelInboundHandlerAdapter {

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object accepted) {
            if (sockets.roomForCaller() || evictSilent()) {
                ctx.fireChannelRead(accepted);
            } else {
                figures.connectionClosed(NodeMetrics.CloseReason.CALLER_NOT_TAKEN);
                ((Channel) accepted).unsafe().closeForcibly();
            }
        }

        /**
         * An accept has failed: that passes, whether the caller has left, or a descriptor or memory is short.
         * By default Netty accepts nobody for a second then; here somebody makes room, and it goes on soon.
         */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            figures.connectionClosed(NodeMetrics.CloseReason.ACCEPT_FAILED);
            sockets.evictIdle();
            ctx.channel().config().setAutoRead(false);
            loop.schedule(() -> {
                if (!deaf) {
                    ctx.channel().config().setAutoRead(true);
                }
            }, ACCEPT_AGAIN_MS, TimeUnit.MILLISECONDS);
        }
    }

    private static ServerSocketChannel open() throws ConfigException {
        try {
            return ServerSocketChannel.open();
        } catch (IOException e) {
            throw new ConfigException("no socket to listen on: " + e.getMessage());
        }
    }

    /** Closes what has no request and has had its time: whoever sends nothing must not hold a descriptor. */
    private void sweep() {
        double now = node.now();
        for (Connection connection : new ArrayList<>(connections)) {
            connection.checkTransfer(now);
            if (connection.isOverdue(now)) {
                // The request may have come and not been read yet, least of all where the processor is short.
                connection.readNow();
                if (connection.isOverdue(now)) {
                    if (connection.served && !connection.partial()) {
                        connection.shutDown();
                    } else {
                        // Nothing is owed to whoever sent no whole request but that it is over in time.
                        silent++;
                        connection.channel.close();
                    }
                }
            }
        }
        figures.loopDelay(monitor.takeLongestBusy(), arrivals.takeLongestWait(), arrivals.size());
        figures.decisionWork(node.work());
        figures.descriptorUse(connections.size(), resting.size(), sockets.open(), sockets.limit());
        if (malformed + silent > 0 && now >= toldAt + TELL_EVERY_MS) {
            Node.LOG.info("turned down " + malformed + " bad requests and " + silent + " silent callers");
            toldAt = now;
            malformed = 0;
            silent = 0;
        }
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listening.localAddress();
    }

    /** From now on every answer asks its caller to leave, and the front has the given answer. */
    void startDrain(HttpResponseStatus healthMeanwhile) {
        draining = true;
        health = healthMeanwhile;
    }

    /** Leaves new callers to another process that listens at the same address, and sends away who is here. */
    void handOver() {
        startDrain(HttpResponseStatus.OK);
        stopListening();
    }

    /** Takes in who waits to be accepted, and nobody after that. */
    void stopListening() {
        if (deaf) {
            return;
        }
        deaf = true;
        // Only once no selector knows the socket does closing it take effect at once.
        listening.deregister();
        loop.schedule(this::closeListener, 1, TimeUnit.MILLISECONDS);
    }

    /** Closing the socket resets who waits in its queue: nothing is done between the last look and that. */
    private void closeListener() {
        List<java.nio.channels.SocketChannel> last = new ArrayList<>();
        try (ServerSocketChannel closed = socket) {
            for (var caller = closed.accept(); caller != null; caller = closed.accept()) {
                last.add(caller);
            }
        } catch (IOException e) {
            // Out of descriptors, most likely: who is left in the queue has to come again.
            Node.LOG.log(Level.WARNING, "the listening socket was closed in disorder", e);
        }
        last.forEach(caller -> listening.pipeline().fireChannelRead(new NioSocketChannel(listening, caller)));
        listening.close();
    }

    /** Callers may stay again. */
    void stopDrain() {
        draining = false;
        health = HttpResponseStatus.OK;
    }

    /** Closes what is idle; whether nothing is left and nobody can come, so that the process may end. */
    boolean closeIdle() {
        if (listening != null) {
            Channels.readNow(listening);
        }
        for (Connection connection : new ArrayList<>(connections)) {
            // A request that lies unread in the kernel would be lost with its connection.
            connection.readNow();
            // Nor must one be cut off whose request is on its way in; it has its time, like any.
            if (connection.isIdle() && !connection.partial() && !connection.isFresh()) {
                connection.shutDown();
            }
        }
        return connections.isEmpty() && deaf && !socket.isOpen();
    }

    /** Handles a slice of what waits, and goes on with the rest once the sockets have had their turn. */
    private void handleSlice() {
        switch (arrivals.handleSlice()) {
            // What is executed rather than scheduled would run before the sockets are looked at.
            case READY -> loop.schedule(this::handleSlice, 1, TimeUnit.NANOSECONDS);
            case BLOCKED -> loop.schedule(this::handleSlice, BLOCKED_MS, TimeUnit.MILLISECONDS);
            default -> { }
        }
    }

    /** At the end of a drain: nothing that comes from now on is taken, and who waits is refused. */
    void refuseQueuedAndCloseIdle() {
        List.copyOf(connections).forEach(
                connection -> connection.refuseWaiting(NodeMetrics.RefusalReason.ENDING));
        List.copyOf(connections).stream().filter(Connection::isIdle)
                .forEach(connection -> connection.shutDown());
    }

    /** Closes the caller's connection that has been idle for longest, as it may between requests. */
    private boolean evictIdle() {
        for (int looks = Math.min(MOST_LOOKS, resting.size()); looks > 0 && !resting.isEmpty(); looks--) {
            Connection connection = resting.iterator().next();
            if (node.now() < connection.since + MAY_CLOSE_MS) {
                return false;
            }
            // A request may have come that nobody has read yet.
            connection.readNow();
            if (connection.isEvictable()) {
                figures.connectionClosed(NodeMetrics.CloseReason.CALLER_FOR_ROOM);
                connection.shutDown();
                leaving.addLast(connection);
                if (leaving.size() > MOST_LEAVING) {
                    leaving.pollFirst().channel.close();
                }
                return true;
            }
            // It is about to be served, or to end.
            resting.remove(connection);
        }
        return false;
    }

    /** Closes the oldest connection on which nothing has come, once it has had some time. */
    private boolean evictSilent() {
        double latest = node.now() - FRESH_MS;
        for (int looks = MOST_LOOKS; looks > 0 && !unserved.isEmpty(); looks--) {
            Connection connection = unserved.iterator().next();
            if (connection.since > latest) {
                return false;
            }
            connection.readNow();
            // One that has begun to send has its time, like any.
            unserved.remove(connection);
            if (connection.isIdle() && !connection.served && !connection.partial()) {
                figures.connectionClosed(NodeMetrics.CloseReason.SILENT_CALLER_FOR_ROOM);
                silent++;
                connection.channel.close();
                return true;
            }
        }
        return false;
    }

    /** A request, and when it came, in ms of the clock. */
    private record Received(FullHttpRequest request, double at) { }

    /** One caller's connection: one request at a time, those sent ahead wait for their turn. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest>
            implements Exchange.Caller {

        private final Channel channel;
        private final ArrayDeque<Received> ahead = new ArrayDeque<>();
        /** The request at work; the exchange is known once the node has it. */
        private FullHttpRequest current;
        /** When it came, in ms of the clock. */
        private double currentAt;
        private Exchange exchange;
        /** Whether the request at work waits among the {@link #arrivals}. */
        private boolean waits;
        private final RequestDecoder decoder;
        private final RequestAggregator whole;
        /** Since when it has stood without a request; for a request that has begun to come, when that was. */
        private double since = node.now();
        private boolean coming;
        private boolean served;
        /** How much of a body had come at the last look, and when it, or an answer, last moved. */
        private long moved;
        private double movedAt = since;
        /** Run when more of an answer can be taken that is passed on as it comes; null if there is none. */
        private Runnable drained;
        /** Whether nothing more is read as a request: where the last one ends may be in doubt. */
        private boolean ended;
        /** Whether the answer at hand, or the one before, is the last. */
        private boolean closing;
        /** Whether an answer that has begun says where it ends. */
        private boolean framed;

        Connection(Channel channel, RequestDecoder decoder, RequestAggregator whole) {
            this.channel = channel;
            this.decoder = decoder;
            this.whole = whole;
        }

        boolean isIdle() {
            return current == null && !closing;
        }

        boolean isEvictable() {
            return isIdle() && served && !partial() && channel.isActive();
        }

        /** Whether a request has come in part. */
        boolean partial() {
            return whole.isPartial() || decoder.isInHead();
        }

        /** Whether its first request may be just behind it, such as the front's question. */
        boolean isFresh() {
            return !served && node.now() < since + FRESH_MS;
        }

        boolean isOverdue(double now) {
            return isIdle() && (partial() ? comesTooSlowly(now)
                    : now > since + (served ? IDLE_MS : PATIENCE_MS));
        }

        private boolean comesTooSlowly(double now) {
            return now > since + PATIENCE_MS
                    && (now > since + PATIENCE_MS + whole.received() / SLOWEST || now > movedAt + GAP_MS);
        }

        /** Ends what is at work with a body that does not come, or an answer that is not taken. */
        void checkTransfer(double now) {
            if (current instanceof StreamedRequest large && !large.upload.isWhole() && !closing
                    && channel.config().isAutoRead() && comesTooSlowly(now)) {
                silent++;
                large.upload.fail(ReadTimeoutException.INSTANCE);
            } else if (drained != null && !channel.isWritable() && now > movedAt + UpstreamClient.STALL_MS) {
                silent++;
                channel.close();
            }
        }

        /** Reads what the kernel holds, unless that is to wait. */
        void readNow() {
            if (channel.config().isAutoRead()) {
                Channels.readNow(channel);
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            // The first request has its time from the start, however little of it comes.
            if (served && partial() != coming) {
                coming = !coming;
                since = node.now();
            }
            if (whole.received() != moved) {
                moved = whole.received();
                movedAt = node.now();
            }
            ctx.fireChannelReadComplete();
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            sockets.countCaller(channel);
            connections.add(this);
            unserved.add(this);
            ctx.fireChannelActive();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            if (ended) {
                if (request instanceof StreamedRequest large) {
                    large.upload.discard();
                }
                return;
            }
            // An answer to another method may have no body, and is no place to go on from. Answers that pile
            // up unread would take the memory of all.
            ended = !request.decoderResult().isSuccess() || !HttpUtil.isKeepAlive(request)
                    || !RequestParser.isGet(request) && !RequestParser.isPost(request)
                    || ahead.size() == MAX_AHEAD - 1 || !channel.isWritable();
            // Where the loop is late, that may be long ago.
            double arrivedAt = node.now() - monitor.lag();
            Received received = new Received(request.retain(), arrivedAt);
            if (current == null) {
                take(received);
            } else {
                ahead.addLast(received);
            }
        }

        /**
         * Handles a request once it is known that its caller has not left behind it. Where this process was
         * late to read it, the end of its connection may have come with it, and would be seen only after it
         * was sent on; so what the kernel holds is read first, and not from within a read.
         */
        private void take(Received received) {
            current = received.request();
            currentAt = received.at();
            exchange = null;
            resting.remove(this);
            unserved.remove(this);
            if (current instanceof StreamedRequest) {
                // Its body goes on to come, and has to have its owner by then.
                handle(current);
            } else {
                waits = true;
                if (arrivals.add(this)) {
                    loop.execute(Frontend.this::handleSlice);
                }
            }
        }

        /** Its turn has come. Whatever goes wrong with it is its own, as others wait behind it. */
        void handleWaiting() {
            if (!waits) {
                return;
            }
            waits = false;
            try {
                if (isConnected()) {
                    handle(current);
                }
            } catch (RuntimeException e) {
                Node.LOG.log(Level.SEVERE, "a request could not be handled", e);
                if (current != null) {
                    figures.failed(NodeMetrics.FailureReason.HANDLER_ERROR);
                    write(HttpResponseStatus.INTERNAL_SERVER_ERROR, Unpooled.EMPTY_BUFFER, 0);
                }
            }
        }

        /** Its turn has come too late for it to be served. */
        void refuseLate() {
            if (isRefusable()) {
                refuseWaiting(NodeMetrics.RefusalReason.PROCESSOR);
            } else {
                handleWaiting();
            }
        }

        /** Refuses the request that waits for its turn, if there is one. */
        void refuseWaiting(NodeMetrics.RefusalReason why) {
            if (waits) {
                waits = false;
                refuseOverloaded(why);
            }
        }

        /** Whether a refusal is a proper answer to the request at work. */
        private boolean isRefusable() {
            return waits && current.decoderResult().isSuccess() && !current.uri().equals(HEALTH_PATH);
        }

        /** Refuses the request at work before anything is done for it. */
        private void refuseOverloaded(NodeMetrics.RefusalReason why) {
            String name = RequestParser.className(current);
            figures.requestRefused(why);
            if (parser.knows(name)) {
                figures.requestAnswered(name, HttpResponseStatus.SERVICE_UNAVAILABLE);
            }
            double longest = config.settings().limits().maxRetryAfter();
            boolean advised = config.settings().limits().retryAfter();
            write(HttpResponseStatus.SERVICE_UNAVAILABLE, Unpooled.EMPTY_BUFFER,
                    advised ? Math.min(longest, RETURN_MS) : 0);
        }

        @Override
        public boolean isConnected() {
            readNow();
            if (!channel.isActive()) {
                // The loop hears of its end only later.
                leave();
            }
            return channel.isActive();
        }

        /** Ends what is under way for a caller that has left. */
        private void leave() {
            dropAhead();
            Exchange left = exchange;
            exchange = null;
            waits = false;
            if (current != null) {
                drop(current);
                current = null;
            }
            if (left != null) {
                node.clientGone(left);
            }
        }

        private void handle(FullHttpRequest request) {
            if (!request.decoderResult().isSuccess()) {
                reject(errorStatus(request.decoderResult().cause()), "malformed HTTP");
                return;
            }
            if (request.uri().equals(HEALTH_PATH)) {
                write(health, Unpooled.EMPTY_BUFFER, 0);
                return;
            }
            try {
                RequestParser.Template template = parser.parse(request, currentAt);
                Exchange begun = node.acceptRequest(template::withId, request.retain(), this);
                // The answer may have come already, and with it the next request.
                if (begun.isOpen()) {
                    exchange = begun;
                }
            } catch (RequestParser.BadRequestException e) {
                reject(HttpResponseStatus.BAD_REQUEST, e.getMessage());
            }
        }

        private void reject(HttpResponseStatus status, String why) {
            malformed++;
            write(status, Unpooled.copiedBuffer(why + "\n", StandardCharsets.UTF_8), 0);
        }

        @Override
        public void answer(HttpResponseStatus status, ByteBuf body, double retryAfter) {
            write(status, body.retain(), retryAfter);
        }

        @Override
        public void startStream(long length, Runnable writable) {
            HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            framed = length >= 0 || current.protocolVersion().equals(HttpVersion.HTTP_1_1);
            if (length >= 0) {
                response.headers().set("Content-Length", length);
            } else if (framed) {
                HttpUtil.setTransferEncodingChunked(response, true);
            } else {
                // The end of the connection ends it, and nothing can come behind that.
                dropAhead();
                ended = true;
            }
            if (isLast()) {
                response.headers().set("Connection", "close");
            }
            drained = writable;
            movedAt = node.now();
            // What the kernel holds for a slow caller would hide for seconds whether it takes anything.
            channel.config().setOption(ChannelOption.SO_SNDBUF, SEND_BUFFER);
            channel.config().setWriteBufferWaterMark(Upload.WATER_MARK);
            channel.write(response);
        }

        @Override
        public void piece(ByteBuf piece) {
            channel.writeAndFlush(new DefaultHttpContent(piece));
        }

        @Override
        public boolean isWritable() {
            return channel.isWritable();
        }

        @Override
        public void endStream() {
            finish(LastHttpContent.EMPTY_LAST_CONTENT);
        }

        @Override
        public void abort() {
            exchange = null;
            if (!framed) {
                // Where only the end of the connection ends an answer, nothing but a reset tells.
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
                channel.close();
                return;
            }
            drained = null;
            dropAhead();
            drop(current);
            current = null;
            shutDown();
        }

        private void dropAhead() {
            ahead.forEach(received -> drop(received.request()));
            ahead.clear();
        }

        /** Whether the answer at hand is the connection's last; from then on nothing more is read. */
        private boolean isLast() {
            ended |= draining;
            closing |= ended && ahead.isEmpty();
            return closing;
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            movedAt = node.now();
            if (drained != null && channel.isWritable()) {
                drained.run();
            }
            ctx.fireChannelWritabilityChanged();
        }

        /** Writes an answer and goes on to the next request; takes the body over. */
        private void write(HttpResponseStatus status, ByteBuf body, double retryAfter) {
            FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
            response.headers().set("Content-Length", body.readableBytes());
            if (retryAfter > 0) {
                response.headers().set("Retry-After", UpstreamClient.seconds(Math.ceil(retryAfter)));
            }
            boolean early = current instanceof StreamedRequest large && !large.upload.isWhole();
            // The rest of its body is still to come, and may be long.
            ended |= early;
            if (isLast()) {
                response.headers().set("Connection", "close");
            }
            finish(response);
        }

        /** Writes the end of an answer and goes on to the next request. */
        private void finish(HttpObject last) {
            FullHttpRequest request = current;
            boolean early = request instanceof StreamedRequest large && !large.upload.isWhole();
            if (early) {
                ((StreamedRequest) request).upload.discard();
            }
            // Whoever reads a large answer slowly is still to have its end.
            long unread = drained == null ? UNREAD_MS : (long) UpstreamClient.STALL_MS;
            drained = null;
            channel.config().setWriteBufferWaterMark(WriteBufferWaterMark.DEFAULT);
            request.release();
            current = null;
            exchange = null;
            served = true;
            since = node.now();
            unserved.remove(this);
            resting.add(this);
            channel.writeAndFlush(last);
            if (closing) {
                shutDown(unread, early ? unread : LINGER_MS);
                return;
            }
            Received next = ahead.pollFirst();
            if (next != null) {
                take(next);
            }
        }

        /** Ends the connection in order, with the usual times. */
        void shutDown() {
            shutDown(UNREAD_MS, LINGER_MS);
        }

        /**
         * Ends the connection in order, as everything does that has no cause to break it off: what is
         * written goes out, then the sending ends; what still comes is thrown away, and once the caller has
         * ended too, or has had its time, the connection is closed. To close on bytes that still come in
         * would reset it and could take an answer with it. A request among them was not read, and its caller
         * sends it again.
         *
         * @param unread ms that it may take to read what was written
         * @param linger ms for which the caller may go on sending after that
         */
        private void shutDown(long unread, long linger) {
            resting.remove(this);
            unserved.remove(this);
            ended = true;
            closing = true;
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(written -> {
                ((SocketChannel) channel).shutdownOutput();
                loop.schedule(() -> channel.close(), linger, TimeUnit.MILLISECONDS);
            });
            loop.schedule(() -> channel.close(), unread, TimeUnit.MILLISECONDS);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections.remove(this);
            resting.remove(this);
            unserved.remove(this);
            leaving.remove(this);
            drained = null;
            leave();
            ctx.fireChannelInactive();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (cause instanceof PrematureChannelClosureException) {
                malformed++;
            } else if (!(cause instanceof IOException)) {
                Node.LOG.log(Level.WARNING, "a caller's connection failed", cause);
            }
            ctx.close();
        }
    }

    /** Forgets a request that will have no answer. */
    private static void drop(FullHttpRequest request) {
        request.release();
        if (request instanceof StreamedRequest large) {
            large.upload.discard();
        }
    }

    /** How to tell a caller that its request can't be read. */
    static HttpResponseStatus errorStatus(Throwable cause) {
        return cause instanceof TooLongHttpContentException ? HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE
                : cause instanceof ReadTimeoutException ? HttpResponseStatus.REQUEST_TIMEOUT
                : HttpResponseStatus.BAD_REQUEST;
    }

    /** A caller was turned down whose body could not be read. */
    void countBadRequest() {
        malformed++;
    }
}
