package cranedeal.node;

import cranedeal.node.channel.Channels;
import cranedeal.node.memory.BoundedHeadersFactory;
import cranedeal.node.memory.BufferMemory;
import cranedeal.node.memory.MemoryShortException;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
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

/** Accepts callers' connections, reads and validates their HTTP requests, and writes the answers. */
final class Frontend {

    /** Length of the accept queue: two reads of the listening socket empty it even when CPU is scarce. */
    private static final int ACCEPT_BACKLOG = 1_024;
    /** How long to pause accepting after an accept has failed, in ms. */
    private static final long ACCEPT_RETRY_MS = 10;
    /** Callers accepted per read of the listening socket; established connections wait meanwhile. */
    private static final int MAX_ACCEPTS_PER_READ = 512;
    /** How soon to check again if requests that wait for a descriptor can be sent on, in ms. */
    private static final long BLOCKED_RETRY_MS = 1;
    private static final String HEALTH_PATH = "/_health";
    /** Maximum of pipelined requests that wait on a connection behind its current one. */
    private static final int MAX_PIPELINED = 16;
    /** What the heads of all pipelined requests that wait may take on the heap, in bytes. */
    private static final long MAX_PIPELINED_HEADS_BYTES = 4 << 20;
    /** The largest request body that is accepted, in bytes. */
    static final long MAX_BODY_BYTES = 32 << 20;
    /**
     * Time for the first request of a connection to arrive, and for a later request from its first byte to
     * its end. Callers may need 2 s for a head, and a connection that sends no request must be closed within
     * 3 s of being opened.
     */
    private static final double REQUEST_TIMEOUT_MS = 2_500;
    /** Body bytes that extend the request timeout by 1 ms: half the rate of the slowest callers. */
    private static final double MIN_BYTES_PER_MS = 32;
    /** How long a body may make no progress after the request timeout has passed. */
    private static final double BODY_STALL_TIMEOUT_MS = 1_000;
    /** How long a connection that has been served may stay idle. */
    private static final double IDLE_TIMEOUT_MS = 10_000;
    /** How long a served connection must have been idle before it may be evicted for another. */
    private static final double MIN_IDLE_BEFORE_EVICTION_MS = 2_000;
    /** How long a new connection is kept open during a drain, or before eviction, for its first request. */
    private static final double FIRST_REQUEST_GRACE_MS = 250;
    /** Interval between sweeps; a timed-out connection is closed within two of them. */
    private static final long SWEEP_INTERVAL_MS = 250;
    /** Minimum interval between log lines about rejected callers. */
    private static final double LOG_INTERVAL_MS = 10_000;
    /** How long a caller may go on sending after the last answer of its connection. */
    private static final long LINGER_MS = 500;
    /** How long a caller may take to read that answer. */
    private static final long FLUSH_TIMEOUT_MS = 5_000;
    /** How many connections to examine for one that can be evicted. */
    private static final int MAX_EVICTION_CANDIDATES = 16;
    /** How many evicted connections may still be closing gracefully, each holding a descriptor. */
    private static final int MAX_CLOSING_EVICTED = 8;
    /** Advised retry delay for a caller refused because this process is short of CPU or memory, in ms. */
    private static final double OVERLOAD_RETRY_AFTER_MS = 500;
    /** How often, and after how many ms, to look again if the caller of a large request may have left. */
    private static final int MAX_LOOKS = 4;
    private static final long LOOK_AGAIN_MS = 10;
    /** Kernel send buffer for a streamed answer, in bytes. */
    private static final int STREAM_SEND_BUFFER_BYTES = 128 * 1_024;

    private final EventLoop loop;
    private NodeConfig config;
    private final SocketBudget socketBudget;
    private final BufferMemory memory;
    private final Node node;
    private final NodeMetrics metrics;
    private final LoopMonitor monitor;
    private final Clock clock;
    /** Connections whose current request has been read and waits to be handled. */
    private final ArrivalQueue<Connection> requestQueue;
    private RequestParser parser;
    private final Set<Connection> connections = new LinkedHashSet<>();
    /** Served connections without a request in progress, the longest idle first. */
    private final Set<Connection> idleConnections = new LinkedHashSet<>();
    /** Connections that have not delivered a whole request yet, the oldest first. */
    private final Set<Connection> unserved = new LinkedHashSet<>();
    /** Evicted connections that are not closed yet, the earliest evicted first. */
    private final ArrayDeque<Connection> closingEvicted = new ArrayDeque<>();
    private Channel listenChannel;
    /** The socket of {@link #listenChannel}. */
    private ServerSocketChannel listenSocket;
    /** What the heads of the pipelined requests that wait take on the heap, in bytes. */
    private long pipelinedHeadsBytes;
    private boolean draining;
    /** True once accepting has stopped; the listening socket is closed soon after. */
    private boolean acceptingStopped;
    /** Status of the answers to the front's health checks. */
    private HttpResponseStatus healthStatus = HttpResponseStatus.OK;
    /** Malformed requests, and callers that timed out, since these counts were last logged. */
    private int malformedRequests;
    private int timedOutCallers;
    private double loggedAt = Double.NEGATIVE_INFINITY;

    Frontend(EventLoop loop, NodeConfig config, SocketBudget socketBudget, BufferMemory memory,
            Node node, NodeMetrics metrics, LoopMonitor monitor, Clock clock) {
        this.loop = loop;
        this.config = config;
        this.socketBudget = socketBudget;
        this.memory = memory;
        this.node = node;
        this.metrics = metrics;
        this.monitor = monitor;
        this.clock = clock;
        requestQueue = new ArrivalQueue<>(clock::now, socketBudget::canOpenUpstream, Connection::handleQueued,
                Connection::refuseExpired);
        socketBudget.setCallerPool(new SocketBudget.IdlePool() {
            @Override
            public double idleSince() {
                double oldest = idleConnections.isEmpty() ? Double.NaN
                        : idleConnections.iterator().next().idleSince;
                // Comparing with NaN yields false.
                return node.now() >= oldest + MIN_IDLE_BEFORE_EVICTION_MS ? oldest : Double.NaN;
            }

            @Override
            public boolean evict() {
                return evictIdle();
            }
        });
        settingsChanged(config);
    }

    /** Parses later requests with a new configuration. */
    final void settingsChanged(NodeConfig newConfig) {
        config = newConfig;
        parser = new RequestParser(newConfig);
    }

    /**
     * Starts to listen.
     *
     * @param shared true if another process of this balancer listens at the same address
     */
    void bind(boolean shared) throws ConfigException, InterruptedException {
        listenSocket = openSocket();
        ServerBootstrap server = new ServerBootstrap().group(loop)
                .channelFactory(() -> new CallerServerChannel(listenSocket, this::mayAccept,
                        () -> metrics.connectionClosed(NodeMetrics.CloseReason.CALLER_NOT_TAKEN)))
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.RECVBUF_ALLOCATOR,
                        new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(MAX_ACCEPTS_PER_READ))
                .childOption(ChannelOption.ALLOCATOR, memory.allocator())
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, memory.readSizes())
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        RequestAggregator aggregator = new RequestAggregator(UpstreamClient.MAX_BUFFERED_BODY,
                                MAX_BODY_BYTES, memory);
                        CallerInput input = new CallerInput(clock::now, monitor);
                        RequestDecoder decoder = new RequestDecoder();
                        channel.pipeline().addLast(input, decoder, new HttpResponseEncoder(), aggregator,
                                new Connection(channel, input, decoder, aggregator));
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
        listenChannel = bound.channel();
        loop.scheduleAtFixedRate(this::sweep, SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Returns true if there may be room for a caller besides {@code others} being accepted; closes none. */
    private boolean mayAccept(int others) {
        return socketBudget.mayAcceptCaller(others)
                || !unserved.isEmpty()
                && unserved.iterator().next().idleSince <= node.now() - FIRST_REQUEST_GRACE_MS;
    }

    /**
     * Admits accepted connections. A caller for whom there is no room is closed unread, which costs next to
     * nothing. Closing connections that are still in use instead would make their callers reconnect, and
     * leaving the caller in the accept queue would make it wait without an answer.
     */
    private final class AcceptGate extends ChannelInboundHandlerAdapter {

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object accepted) {
            if (socketBudget.makeRoomForCaller() || evictSilent()) {
                ctx.fireChannelRead(accepted);
            } else {
                metrics.connectionClosed(NodeMetrics.CloseReason.CALLER_NOT_TAKEN);
                ((Channel) accepted).unsafe().closeForcibly();
            }
        }

        /**
         * Handles a failed accept. The cause is temporary: the caller has left, or descriptors or memory are
         * short. Netty would stop accepting for a second; this evicts an idle connection and resumes sooner.
         */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            metrics.connectionClosed(NodeMetrics.CloseReason.ACCEPT_FAILED);
            socketBudget.evictIdle();
            ctx.channel().config().setAutoRead(false);
            loop.schedule(() -> {
                if (!acceptingStopped) {
                    ctx.channel().config().setAutoRead(true);
                }
            }, ACCEPT_RETRY_MS, TimeUnit.MILLISECONDS);
        }
    }

    private static ServerSocketChannel openSocket() throws ConfigException {
        try {
            return ServerSocketChannel.open();
        } catch (IOException e) {
            throw new ConfigException("cannot open a socket to listen on: " + e.getMessage());
        }
    }

    /** Closes timed-out connections, so that silent callers do not hold descriptors, and reports metrics. */
    private void sweep() {
        double now = node.now();
        int paused = 0;
        double longestPause = 0;
        for (Connection connection : new ArrayList<>(connections)) {
            paused += connection.input.isPaused() ? 1 : 0;
            longestPause = Math.max(longestPause, connection.input.pausedMs());
            connection.checkTransfer(now);
            if (connection.isTimedOut(now)) {
                // When CPU is scarce, the request may have arrived without having been read yet.
                connection.input.read();
                if (connection.isTimedOut(now)) {
                    if (connection.served && !connection.hasPartialRequest()) {
                        metrics.connectionClosed(NodeMetrics.CloseReason.CALLER_IDLE);
                        connection.shutDown();
                    } else {
                        // A caller that sent no whole request needs no graceful close.
                        timedOutCallers++;
                        metrics.connectionClosed(NodeMetrics.CloseReason.CALLER_TOO_SLOW);
                        connection.channel.close();
                    }
                }
            }
        }
        metrics.callerPauses(paused, longestPause);
        metrics.loopDelay(monitor.takeLongestBusy(), requestQueue.takeLongestWait(), requestQueue.size());
        metrics.decisionWork(node.work());
        metrics.descriptorUse(connections.size(), idleConnections.size(), socketBudget.open(),
                socketBudget.limit());
        metrics.bufferUse(memory.held(), memory.reserved());
        if (malformedRequests + timedOutCallers > 0 && now >= loggedAt + LOG_INTERVAL_MS) {
            Node.LOG.info("rejected " + malformedRequests + " malformed requests and closed "
                    + timedOutCallers + " callers that timed out");
            loggedAt = now;
            malformedRequests = 0;
            timedOutCallers = 0;
        }
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listenChannel.localAddress();
    }

    /** Starts a drain: answers carry {@code Connection: close}, and health checks get the given status. */
    void startDrain(HttpResponseStatus newHealthStatus) {
        draining = true;
        healthStatus = newHealthStatus;
    }

    /** Drains and leaves new callers to another process that listens at the same address. */
    void handOver() {
        startDrain(HttpResponseStatus.OK);
        stopListening();
    }

    /** Accepts the connections in the accept queue, and none after that. */
    void stopListening() {
        if (acceptingStopped) {
            return;
        }
        acceptingStopped = true;
        // Closing the socket takes effect at once only when it is registered with no selector.
        listenChannel.deregister();
        loop.schedule(this::closeListener, 1, TimeUnit.MILLISECONDS);
    }

    /**
     * Accepts what is left in the accept queue and closes the listening socket. Closing resets connections
     * that are still queued, so nothing happens between the last accept and the close.
     */
    private void closeListener() {
        List<java.nio.channels.SocketChannel> accepted = new ArrayList<>();
        try (ServerSocketChannel closed = listenSocket) {
            for (var caller = closed.accept(); caller != null; caller = closed.accept()) {
                accepted.add(caller);
            }
        } catch (IOException e) {
            // Most likely out of descriptors; callers left in the queue have to reconnect.
            Node.LOG.log(Level.WARNING, "the listening socket closed before its accept queue was empty", e);
        }
        accepted.forEach(caller -> listenChannel.pipeline().fireChannelRead(
                new NioSocketChannel(listenChannel, caller)));
        listenChannel.close();
    }

    /** Ends a drain: callers may keep their connections again. */
    void stopDrain() {
        draining = false;
        healthStatus = HttpResponseStatus.OK;
    }

    /** Closes idle connections; returns true if none is left and none can come, so the process may exit. */
    boolean closeIdle() {
        if (listenChannel != null) {
            Channels.readNow(listenChannel);
        }
        for (Connection connection : new ArrayList<>(connections)) {
            // A request that is still unread in the kernel would be lost with its connection.
            connection.input.read();
            // A connection whose request is arriving keeps the usual timeouts.
            if (connection.isIdle() && !connection.hasPartialRequest() && !connection.awaitsFirstRequest()) {
                connection.shutDown();
            }
        }
        return connections.isEmpty() && acceptingStopped && !listenSocket.isOpen();
    }

    /** Handles a slice of the queued requests, and schedules the rest for after the next socket poll. */
    private void handleSlice() {
        switch (requestQueue.handleSlice()) {
            // A task passed to execute() would run before the sockets are polled.
            case READY -> loop.schedule(this::handleSlice, 1, TimeUnit.NANOSECONDS);
            case BLOCKED -> loop.schedule(this::handleSlice, BLOCKED_RETRY_MS, TimeUnit.MILLISECONDS);
            default -> { }
        }
    }

    /** Ends a drain: refuses queued requests, and shuts down connections that have no request in progress. */
    void refuseQueuedAndCloseIdle() {
        List.copyOf(connections).forEach(
                connection -> connection.refuseQueued(NodeMetrics.RefusalReason.ENDING));
        List.copyOf(connections).stream().filter(Connection::isIdle)
                .forEach(connection -> connection.shutDown());
    }

    /** Closes the caller's connection that has been idle for longest; returns false if none may be closed. */
    private boolean evictIdle() {
        for (int candidates = Math.min(MAX_EVICTION_CANDIDATES, idleConnections.size());
                candidates > 0 && !idleConnections.isEmpty(); candidates--) {
            Connection connection = idleConnections.iterator().next();
            if (node.now() < connection.idleSince + MIN_IDLE_BEFORE_EVICTION_MS) {
                return false;
            }
            // A request may have arrived that has not been read yet.
            connection.input.read();
            if (connection.isEvictable()) {
                metrics.connectionClosed(NodeMetrics.CloseReason.CALLER_FOR_ROOM);
                connection.shutDown();
                closingEvicted.addLast(connection);
                if (closingEvicted.size() > MAX_CLOSING_EVICTED) {
                    closingEvicted.pollFirst().channel.close();
                }
                return true;
            }
            // It is about to be served or closed.
            idleConnections.remove(connection);
        }
        return false;
    }

    /** Closes the oldest connection that has sent nothing, if it is old enough; returns false if none is. */
    private boolean evictSilent() {
        double latestOpenedAt = node.now() - FIRST_REQUEST_GRACE_MS;
        for (int candidates = MAX_EVICTION_CANDIDATES; candidates > 0 && !unserved.isEmpty(); candidates--) {
            Connection connection = unserved.iterator().next();
            if (connection.idleSince > latestOpenedAt) {
                return false;
            }
            connection.input.read();
            // A connection whose request is arriving keeps the usual timeouts.
            unserved.remove(connection);
            if (connection.isIdle() && !connection.served && !connection.hasPartialRequest()) {
                metrics.connectionClosed(NodeMetrics.CloseReason.SILENT_CALLER_FOR_ROOM);
                timedOutCallers++;
                connection.channel.close();
                return true;
            }
        }
        return false;
    }

    /**
     * A request, its arrival time in ms of the clock, and what its head takes on the heap in bytes, if it
     * waits behind others.
     */
    private record ReceivedRequest(FullHttpRequest request, double arrivedAt, int headBytes) { }

    /** A caller's connection. It has one current request; pipelined ones wait for their turn. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest>
            implements Exchange.Caller {

        private final Channel channel;
        private final ArrayDeque<ReceivedRequest> pipelined = new ArrayDeque<>();
        /** The current request; null if there is none. */
        private FullHttpRequest current;
        /** Arrival time of the current request, in ms of the clock. */
        private double currentArrivedAt;
        private Exchange exchange;
        /** True while the current request waits in the {@link #requestQueue}. */
        private boolean queued;
        /** How often it was put off, as its caller was not known to be connected any more. */
        private int looks;
        private final CallerInput input;
        private final RequestDecoder decoder;
        private final RequestAggregator aggregator;
        /** Start of the time without a request; once a request is arriving, the time of its first bytes. */
        private double idleSince = node.now();
        private boolean receivingRequest;
        private boolean served;
        /** Body bytes received by the last read, and when a body or an answer last made progress. */
        private long lastReceivedBytes;
        private double lastProgressAt = idleSince;
        /** Run when more of a streamed answer can be written; null if no answer is being streamed. */
        private Runnable onWritable;
        /** True if nothing more is parsed as a request, such as when the end of the last one is ambiguous. */
        private boolean parsingStopped;
        /** True if the current answer, or the one before, is the last of the connection. */
        private boolean closing;
        /** True if the streamed answer has a Content-Length or is chunked, rather than ended by the close. */
        private boolean framed;

        Connection(Channel channel, CallerInput input, RequestDecoder decoder,
                RequestAggregator aggregator) {
            this.channel = channel;
            this.input = input;
            this.decoder = decoder;
            this.aggregator = aggregator;
        }

        boolean isIdle() {
            return current == null && !closing;
        }

        boolean isEvictable() {
            return isIdle() && served && !hasPartialRequest() && channel.isActive();
        }

        /** Returns true if a request has arrived in part. */
        boolean hasPartialRequest() {
            return aggregator.isPartial() || decoder.isInHead();
        }

        /** Returns true if the first request, such as the front's health check, may still be on its way. */
        boolean awaitsFirstRequest() {
            return !served && node.now() < idleSince + FIRST_REQUEST_GRACE_MS;
        }

        boolean isTimedOut(double now) {
            return isIdle() && (hasPartialRequest() ? isTooSlow(now, 0)
                    : now > idleSince + (served ? IDLE_TIMEOUT_MS : REQUEST_TIMEOUT_MS));
        }

        /** Returns true if a request arrives too slowly, not counting the ms for which it was not read. */
        private boolean isTooSlow(double now, double pausedMs) {
            double timeoutAt = idleSince + pausedMs + REQUEST_TIMEOUT_MS;
            return now > timeoutAt && (now > timeoutAt + aggregator.received() / MIN_BYTES_PER_MS
                    || now > Math.max(lastProgressAt, input.resumedAt()) + BODY_STALL_TIMEOUT_MS);
        }

        /** Aborts an upload whose body has stalled, or a streamed answer that the caller does not read. */
        void checkTransfer(double now) {
            if (current instanceof StreamedRequest large && !large.upload.isComplete() && !closing
                    && !input.isPaused() && isTooSlow(now, input.pausedMs())) {
                timedOutCallers++;
                metrics.connectionClosed(NodeMetrics.CloseReason.CALLER_TOO_SLOW);
                large.upload.fail(ReadTimeoutException.INSTANCE);
            } else if (onWritable != null && !channel.isWritable()
                    && now > lastProgressAt + UpstreamClient.STALL_TIMEOUT_MS) {
                timedOutCallers++;
                metrics.connectionClosed(NodeMetrics.CloseReason.CALLER_NOT_READING);
                channel.close();
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            input.setInRequest(hasPartialRequest());
            // The timeout of the first request counts from the start of the connection.
            if (served && hasPartialRequest() != receivingRequest) {
                receivingRequest = !receivingRequest;
                idleSince = node.now();
            }
            if (aggregator.received() != lastReceivedBytes) {
                lastReceivedBytes = aggregator.received();
                lastProgressAt = node.now();
            }
            ctx.fireChannelReadComplete();
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            socketBudget.countCaller(channel);
            connections.add(this);
            unserved.add(this);
            ctx.fireChannelActive();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest decoded) {
            if (parsingStopped) {
                discardUpload(decoded);
                return;
            }
            int headBytes = current == null ? 0 : BoundedHeadersFactory.heapBytes(decoded.headers());
            FullHttpRequest request = decoded.retain();
            if (pipelinedHeadsBytes + headBytes > MAX_PIPELINED_HEADS_BYTES) {
                discard(decoded);
                request = RequestAggregator.failedRequest(decoded, new MemoryShortException());
                headBytes = 0;
            }
            // An answer to another method may have no body, which would leave the position of the next answer
            // ambiguous. A caller that does not read its answers must not fill up memory.
            parsingStopped = !request.decoderResult().isSuccess() || !HttpUtil.isKeepAlive(request)
                    || !RequestParser.isGet(request) && !RequestParser.isPost(request)
                    || pipelined.size() == MAX_PIPELINED - 1 || !channel.isWritable();
            // A late loop reads a request long after it has arrived.
            double unreadSince = input.unreadSince();
            double arrivedAt = node.now();
            if (arrivedAt > unreadSince + LoopMonitor.LATE_THRESHOLD_MS) {
                arrivedAt = unreadSince;
            }
            ReceivedRequest received = new ReceivedRequest(request, arrivedAt, headBytes);
            if (current == null) {
                startRequest(received);
            } else {
                pipelined.addLast(received);
                pipelinedHeadsBytes += headBytes;
            }
        }

        /**
         * Makes a request the current one and queues it. If the process was late to read the request, the end
         * of its connection may already be behind it and would be seen only after the request was sent on. So
         * the request is handled later, after another read of the socket, which must not be nested in a read.
         */
        private void startRequest(ReceivedRequest received) {
            current = received.request();
            currentArrivedAt = received.arrivedAt();
            exchange = null;
            idleConnections.remove(this);
            unserved.remove(this);
            queued = true;
            looks = 0;
            if (requestQueue.add(this)) {
                loop.execute(Frontend.this::handleSlice);
            }
        }

        /** Handles the queued request. An exception fails only this request; others are queued behind it. */
        void handleQueued() {
            if (!queued) {
                return;
            }
            if (mayLeaveUnseen() && !input.isKnownOpen() && channel.isActive() && looks++ < MAX_LOOKS) {
                loop.schedule(this::handleQueued, LOOK_AGAIN_MS, TimeUnit.MILLISECONDS);
                return;
            }
            queued = false;
            try {
                if (input.isOpen()) {
                    handle(current);
                } else {
                    // The event loop reports the end of the connection only later.
                    dropRequests();
                }
            } catch (RuntimeException e) {
                Node.LOG.log(Level.SEVERE, "failed to handle a request", e);
                if (current != null) {
                    metrics.failed(NodeMetrics.FailureReason.HANDLER_ERROR);
                    discardUpload(current);
                    writeAnswer(HttpResponseStatus.INTERNAL_SERVER_ERROR, Unpooled.EMPTY_BUFFER, 0);
                }
            }
        }

        /** Refuses the queued request, which has waited too long, if a refusal is a valid answer to it. */
        void refuseExpired() {
            if (isRefusable()) {
                refuseQueued(NodeMetrics.RefusalReason.PROCESSOR);
            } else {
                handleQueued();
            }
        }

        /** Refuses the queued request, if there is one. */
        void refuseQueued(NodeMetrics.RefusalReason reason) {
            if (queued) {
                queued = false;
                refuseOverloaded(reason);
            }
        }

        /** Returns true if a refusal is a valid answer to the queued request. */
        private boolean isRefusable() {
            return queued && current.decoderResult().isSuccess() && !current.uri().equals(HEALTH_PATH);
        }

        /** Refuses the current request before any work is done for it. */
        private void refuseOverloaded(NodeMetrics.RefusalReason reason) {
            String name = RequestParser.className(current);
            metrics.requestRefused(reason);
            discardUpload(current);
            if (parser.hasClass(name)) {
                metrics.requestAnswered(name, HttpResponseStatus.SERVICE_UNAVAILABLE);
            }
            writeAnswer(HttpResponseStatus.SERVICE_UNAVAILABLE, Unpooled.EMPTY_BUFFER, overloadRetryAfter());
        }

        @Override
        public boolean mayLeaveUnseen() {
            return input.isInBody();
        }

        @Override
        public boolean isConnected() {
            boolean known = input.isKnownOpen();
            if (!channel.isActive()) {
                // The event loop reports the end of the connection only later.
                dropRequests();
            }
            return known;
        }

        /** Drops the requests of a caller that has disconnected. */
        private void dropRequests() {
            dropPipelined();
            Exchange abandoned = exchange;
            exchange = null;
            queued = false;
            if (current != null) {
                discard(current);
                current = null;
            }
            if (abandoned != null) {
                node.clientGone(abandoned);
            }
        }

        private void handle(FullHttpRequest request) {
            if (request.decoderResult().cause() instanceof MemoryShortException) {
                refuseOverloaded(NodeMetrics.RefusalReason.MEMORY);
                return;
            }
            if (!request.decoderResult().isSuccess()) {
                reject(errorStatus(request.decoderResult().cause()), "malformed HTTP");
                return;
            }
            if (request.uri().equals(HEALTH_PATH)) {
                writeAnswer(healthStatus, Unpooled.EMPTY_BUFFER, 0);
                return;
            }
            try {
                RequestParser.Template template = parser.parse(request, currentArrivedAt);
                Exchange started = node.acceptRequest(template::withId, request.retain(), this,
                        currentArrivedAt);
                // The request may already be answered, and the next one started.
                if (started.isOpen()) {
                    exchange = started;
                }
            } catch (RequestParser.BadRequestException e) {
                reject(HttpResponseStatus.BAD_REQUEST, e.getMessage());
            }
        }

        private void reject(HttpResponseStatus status, String reason) {
            malformedRequests++;
            discardUpload(current);
            writeAnswer(status, Unpooled.copiedBuffer(reason + "\n", StandardCharsets.UTF_8), 0);
        }

        @Override
        public void answer(HttpResponseStatus status, ByteBuf body, double retryAfter) {
            writeAnswer(status, body.retain(), retryAfter);
        }

        @Override
        public void startStream(long length, Runnable whenWritable) {
            HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            framed = length >= 0 || current.protocolVersion().equals(HttpVersion.HTTP_1_1);
            if (length >= 0) {
                response.headers().set("Content-Length", length);
            } else if (framed) {
                HttpUtil.setTransferEncodingChunked(response, true);
            } else {
                // The close of the connection marks the end of the answer, so no other answer can follow.
                dropPipelined();
                parsingStopped = true;
            }
            if (isLastAnswer()) {
                response.headers().set("Connection", "close");
            }
            onWritable = whenWritable;
            lastProgressAt = node.now();
            // A larger kernel buffer would hide for seconds that a slow caller reads nothing.
            channel.config().setOption(ChannelOption.SO_SNDBUF, STREAM_SEND_BUFFER_BYTES);
            channel.write(response);
        }

        @Override
        public void writeChunk(ByteBuf chunk) {
            channel.config().setWriteBufferWaterMark(memory.streamWaterMark());
            channel.writeAndFlush(new DefaultHttpContent(chunk));
        }

        @Override
        public void flush() {
            channel.flush();
        }

        @Override
        public boolean isWritable() {
            return channel.isWritable();
        }

        @Override
        public void endStream() {
            finishAnswer(LastHttpContent.EMPTY_LAST_CONTENT);
        }

        @Override
        public void abort() {
            exchange = null;
            if (!framed) {
                // If the close marks the end of the answer, only a reset shows that it is incomplete.
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
                channel.close();
                return;
            }
            onWritable = null;
            dropPipelined();
            discard(current);
            current = null;
            shutDown();
        }

        private void dropPipelined() {
            for (ReceivedRequest received = pollPipelined(); received != null; received = pollPipelined()) {
                discard(received.request());
            }
        }

        /** Removes the next pipelined request; returns null if there is none. */
        private ReceivedRequest pollPipelined() {
            ReceivedRequest next = pipelined.pollFirst();
            if (next != null) {
                pipelinedHeadsBytes -= next.headBytes();
            }
            return next;
        }

        /** Returns true if the current answer is the last of the connection; stops reading if so. */
        private boolean isLastAnswer() {
            parsingStopped |= draining;
            closing |= parsingStopped && pipelined.isEmpty();
            return closing;
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            lastProgressAt = node.now();
            if (onWritable != null && channel.isWritable()) {
                onWritable.run();
            }
            ctx.fireChannelWritabilityChanged();
        }

        /** Writes an answer and starts the next request; takes ownership of the body. */
        private void writeAnswer(HttpResponseStatus status, ByteBuf body, double retryAfter) {
            FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
            response.headers().set("Content-Length", body.readableBytes());
            if (retryAfter > 0) {
                response.headers().set("Retry-After", UpstreamClient.formatSeconds(Math.ceil(retryAfter)));
            }
            boolean bodyIncomplete = current instanceof StreamedRequest large && !large.upload.isComplete();
            // The rest of the request's body is still to come, and may be long.
            parsingStopped |= bodyIncomplete;
            if (isLastAnswer()) {
                response.headers().set("Connection", "close");
            }
            finishAnswer(response);
        }

        /** Writes the last part of an answer and starts the next request. */
        private void finishAnswer(HttpObject lastPart) {
            FullHttpRequest request = current;
            boolean bodyIncomplete = request.decoderResult().cause() instanceof MemoryShortException;
            if (request instanceof StreamedRequest large && !large.upload.isComplete()) {
                bodyIncomplete = true;
                large.upload.discard();
            }
            // A caller that reads a streamed answer slowly must still get the end of it.
            long flushTimeout = onWritable == null ? FLUSH_TIMEOUT_MS
                    : (long) UpstreamClient.STALL_TIMEOUT_MS;
            onWritable = null;
            channel.config().setWriteBufferWaterMark(WriteBufferWaterMark.DEFAULT);
            request.release();
            current = null;
            exchange = null;
            served = true;
            idleSince = node.now();
            unserved.remove(this);
            idleConnections.add(this);
            channel.writeAndFlush(lastPart);
            if (closing) {
                shutDown(flushTimeout, bodyIncomplete ? flushTimeout : LINGER_MS);
                return;
            }
            ReceivedRequest next = pollPipelined();
            if (next != null) {
                startRequest(next);
            }
        }

        /** Closes the connection gracefully, with the default timeouts. */
        void shutDown() {
            shutDown(FLUSH_TIMEOUT_MS, LINGER_MS);
        }

        /**
         * Closes the connection gracefully: flushes what is written, then ends the output. Input is
         * discarded, and the connection is closed once the caller has ended it too or a timeout has passed.
         * Closing while bytes still arrive would reset the connection, and an answer could be lost. A request
         * among those bytes was not processed, and its caller sends it again.
         *
         * @param flushTimeout ms that the caller may take to read what was written
         * @param linger ms for which the caller may go on sending after that
         */
        private void shutDown(long flushTimeout, long linger) {
            idleConnections.remove(this);
            unserved.remove(this);
            parsingStopped = true;
            closing = true;
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(written -> {
                ((SocketChannel) channel).shutdownOutput();
                loop.schedule(() -> channel.close(), linger, TimeUnit.MILLISECONDS);
            });
            loop.schedule(() -> channel.close(), flushTimeout, TimeUnit.MILLISECONDS);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections.remove(this);
            idleConnections.remove(this);
            unserved.remove(this);
            closingEvicted.remove(this);
            onWritable = null;
            dropRequests();
            ctx.fireChannelInactive();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (cause instanceof PrematureChannelClosureException) {
                malformedRequests++;
            } else if (!(cause instanceof IOException)) {
                Node.LOG.log(Level.WARNING, "a caller's connection failed", cause);
            }
            ctx.close();
        }
    }

    /** Releases a request that will get no answer. */
    private static void discard(FullHttpRequest request) {
        request.release();
        discardUpload(request);
    }

    private static void discardUpload(FullHttpRequest request) {
        if (request instanceof StreamedRequest large) {
            large.upload.discard();
        }
    }

    /** Returns the advised retry delay in ms for a caller refused by this process; 0 for no advice. */
    double overloadRetryAfter() {
        double maxRetryAfter = config.settings().limits().maxRetryAfter();
        boolean adviseRetry = config.settings().limits().retryAfter();
        return adviseRetry ? Math.min(maxRetryAfter, OVERLOAD_RETRY_AFTER_MS) : 0;
    }

    /** Returns the status of the answer to a request that could not be decoded. */
    static HttpResponseStatus errorStatus(Throwable cause) {
        return cause instanceof TooLongHttpContentException ? HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE
                : cause instanceof ReadTimeoutException ? HttpResponseStatus.REQUEST_TIMEOUT
                : HttpResponseStatus.BAD_REQUEST;
    }

    /** Counts a request that was rejected because its body could not be decoded. */
    void countBadRequest() {
        malformedRequests++;
    }
}
