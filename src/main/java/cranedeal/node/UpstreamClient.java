package cranedeal.node;

import cranedeal.LoadBalancer.Result;
import cranedeal.LoadBalancer.Settings;
import cranedeal.LoadBalancer.State;
import cranedeal.node.discovery.UpstreamList.Member;
import cranedeal.node.channel.Channels;
import cranedeal.node.discovery.UpstreamList;
import cranedeal.node.memory.BufferMemory;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.math.BigDecimal;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;

/**
 * Sends attempts and probes to upstreams over pooled HTTP/1.1 connections, one at a time on each, and reports
 * how each ended. It never retries: a broken connection is reported as the attempt's result.
 */
final class UpstreamClient {

    static final int MAX_BUFFERED_BODY = AnswerLifecycle.MAX_SHORT_BYTES;
    private static final long SWEEP_INTERVAL_MS = 1_000;
    private static final double LOG_INTERVAL_MS = 10_000;
    /** How long a streamed body may make no progress before its attempt is ended. */
    static final double STALL_TIMEOUT_MS = AnswerLifecycle.STALL_TIMEOUT_MS;
    private static final int MILLI_SCALE = 3;
    /** Headers that concern only the caller's own connection and are not forwarded. */
    private static final List<String> HOP_BY_HOP = List.of("Connection", "Keep-Alive", "Proxy-Connection",
            "TE", "Trailer", "Transfer-Encoding", "Upgrade", "Expect");

    /** Receives the events of an attempt. */
    interface Listener {

        /**
         * Called once, when the attempt has ended. The response is null if none was received completely, or
         * if it was streamed; it must not be kept.
         */
        void finished(Result result, FullHttpResponse response);

        /** Returns false if the request must not be sent any more; connecting may have taken long. */
        default boolean maySend() {
            return true;
        }

        /**
         * Called when a successful answer starts that is streamed because it is too large to be buffered.
         *
         * @param length negative if not known
         * @return where the body goes; null to abort the attempt
         */
        default ResponseSink streamStarted(Attempt attempt, long length) {
            return null;
        }

        /**
         * Returns the deadline of the request, in ms of the clock; infinity while its body is arriving.
         * {@link Attempt#deadlineChanged} has to be called after a change.
         */
        default double deadline() {
            return Double.POSITIVE_INFINITY;
        }

        /** Returns true if an answer has no deadline once it has started, as in a streamed class. */
        default boolean isUntimedOnceStarted() {
            return false;
        }
    }

    private final EventLoop loop;
    private final Clock clock;
    private final DoubleSupplier loopLateness;
    private Settings settings;
    private final SocketBudget socketBudget;
    private final NodeMetrics metrics;
    private final BufferMemory memory;
    private final Bootstrap bootstrap;
    /** All idle connections, the longest idle first. */
    private final Set<Connection> idleConnections = new LinkedHashSet<>();
    private int listedCount;
    private final Map<Long, Target> targets = new HashMap<>();
    private final Set<Long> banned = new HashSet<>();
    /** The attempts that stream a body. */
    private final Set<Attempt> uploading = new HashSet<>();
    private final IdleLimit idleLimit = new IdleLimit();
    /** Malformed responses since this count was last logged. */
    private int malformedResponses;
    private double loggedAt = Double.NEGATIVE_INFINITY;

    /**
     * Creates a client without upstreams.
     *
     * @param loopLateness returns for how many ms the data being read now may have waited unread
     */
    UpstreamClient(EventLoop loop, Clock clock, DoubleSupplier loopLateness, Settings settings,
            SocketBudget socketBudget, NodeMetrics metrics, BufferMemory memory) {
        this.loop = loop;
        this.clock = clock;
        this.loopLateness = loopLateness;
        this.socketBudget = socketBudget;
        this.metrics = metrics;
        this.memory = memory;
        bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.ALLOCATOR, memory.allocator())
                .option(ChannelOption.RECVBUF_ALLOCATOR, memory.readSizes())
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        ResponseDecoder decoder = new ResponseDecoder();
                        ResponseAggregator aggregator = new ResponseAggregator(memory);
                        channel.pipeline().addLast(new HttpRequestEncoder(), decoder,
                                aggregator,
                                new Connection(channel, decoder, aggregator));
                    }
                });
        settingsChanged(settings);
        socketBudget.setUpstreamPool(new SocketBudget.IdlePool() {
            @Override
            public double idleSince() {
                return idleConnections.isEmpty() ? Double.NaN : idleConnections.iterator().next().idleSince;
            }

            @Override
            public boolean evict() {
                return evictIdle();
            }
        });
        loop.scheduleAtFixedRate(this::sweep, SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Applies new settings to later attempts; those in flight keep their timeouts. */
    final void settingsChanged(Settings newSettings) {
        settings = newSettings;
        idleLimit.configure(settings.limits().connectionIdle());
        bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS,
                (int) Math.max(1, settings.limits().connectTimeout()));
    }

    /** An upstream with its idle connections, the longest idle first. */
    private final class Target {
        Member member;
        /** When the upstream left the list, was drained or was banned; NaN while it takes new requests. */
        double drainingSince = Double.NaN;
        /** True if it is in the list, whatever its state. */
        private boolean listed;
        final ArrayDeque<Connection> idleConnections = new ArrayDeque<>();

        /** Returns true if this is still the same process at the same address. */
        boolean isSameProcess(Member previous) {
            return member.upstream().startedAt() == previous.upstream().startedAt()
                    && member.address().equals(previous.address());
        }

        void closeIdle() {
            // close() may call back and remove the connection from the queue.
            for (Connection c = idleConnections.pollFirst(); c != null; c = idleConnections.pollFirst()) {
                UpstreamClient.this.idleConnections.remove(c);
                c.channel.close();
            }
        }

        void setListed(boolean nowListed) {
            UpstreamClient.this.listedCount += (nowListed ? 1 : 0) - (listed ? 1 : 0);
            listed = nowListed;
        }
    }

    /** Applies a list of upstreams; closes idle connections to those that have left or are draining. */
    void update(UpstreamList list) {
        double now = clock.now();
        Map<Long, Target> missing = new HashMap<>(list.full() ? targets : Map.of());
        for (Member member : list.members()) {
            missing.remove(member.upstream().id());
            if (member.upstream().state() == State.REMOVED) {
                unlist(targets.get(member.upstream().id()), now);
                continue;
            }
            Target target = targets.computeIfAbsent(member.upstream().id(), id -> new Target());
            Member previous = target.member;
            target.member = member;
            if (previous != null && !target.isSameProcess(previous)) {
                target.closeIdle();
            }
            target.setListed(true);
            if (member.upstream().state() == State.READY && !banned.contains(member.upstream().id())) {
                target.drainingSince = Double.NaN;
            } else {
                startDraining(target, now);
            }
        }
        missing.values().forEach(target -> unlist(target, now));
    }

    /** Bans an upstream on behalf of operators, or lifts the ban; it drains while it is banned. */
    void ban(long upstream, boolean disabled) {
        Target target = targets.get(upstream);
        if (disabled && banned.add(upstream) && target != null) {
            startDraining(target, clock.now());
        } else if (!disabled && banned.remove(upstream) && target != null && target.listed
                && target.member.upstream().state() == State.READY) {
            target.drainingSince = Double.NaN;
        }
    }

    private static void unlist(Target target, double now) {
        if (target != null) {
            target.setListed(false);
            startDraining(target, now);
        }
    }

    private static void startDraining(Target target, double now) {
        if (Double.isNaN(target.drainingSince)) {
            target.drainingSince = now;
            target.closeIdle();
        }
    }

    /**
     * Sends a request to an upstream. Time by which this process itself delays the attempt does not count
     * against the upstream and extends the timeout. The request and the listener are used until
     * {@link Listener#finished} has been called.
     *
     * @param timeoutAt when the attempt times out, in ms of the clock, if its request's deadline is not
     *     earlier
     */
    Attempt send(long upstream, FullHttpRequest request, double timeoutAt, Listener listener) {
        return send(upstream, request, false, timeoutAt, listener);
    }

    private Attempt send(long upstream, FullHttpRequest request, boolean probe, double timeoutAt,
            Listener listener) {
        Attempt attempt = new Attempt(request, probe, timeoutAt, listener);
        attempt.start(targets.get(upstream));
        attempt.scheduleCheck();
        return attempt;
    }

    /** Probes an upstream; the body of the answer holds its load report if upstreams report their load. */
    void probe(long upstream, double timeoutAt, Listener listener) {
        String path = settings.reportFields().isEmpty() ? "/ping" : "/_load";
        send(upstream, new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path,
                Unpooled.EMPTY_BUFFER), true, timeoutAt, listener);
    }

    void closeIdle(long upstream) {
        Target target = targets.get(upstream);
        if (target != null) {
            target.closeIdle();
        }
    }

    private void sweep() {
        if (malformedResponses > 0 && clock.now() >= loggedAt + LOG_INTERVAL_MS) {
            Node.LOG.warning(malformedResponses + " upstream responses were malformed");
            loggedAt = clock.now();
            malformedResponses = 0;
        }
        double stalledSince = clock.now() - STALL_TIMEOUT_MS;
        List.copyOf(uploading).stream().filter(attempt -> attempt.isStalled(stalledSince))
                .forEach(Attempt::endStalled);
        double oldestAllowed = clock.now() - idleLimit.maxIdleMs(clock.now());
        while (!idleConnections.isEmpty() && idleConnections.iterator().next().idleSince < oldestAllowed) {
            metrics.connectionClosed(NodeMetrics.CloseReason.UPSTREAM_IDLE);
            evictIdle();
        }
        // Forget upstreams that left the list long ago and have no idle connections.
        double grace = settings.rules().drainGrace();
        targets.values().removeIf(target -> !target.listed && target.idleConnections.isEmpty()
                && target.drainingSince < clock.now() - 2 * grace);
    }

    boolean isListed(long upstream) {
        Target target = targets.get(upstream);
        return target != null && target.listed;
    }

    /** Returns the number of upstreams in the list. */
    int listedCount() {
        return listedCount;
    }

    /** Returns the number of upstreams that are remembered, listed or not; for tests. */
    int targetCount() {
        return targets.size();
    }

    /** Closes the connection that has been idle for longest; returns false if there is none. */
    private boolean evictIdle() {
        if (idleConnections.isEmpty()) {
            return false;
        }
        Connection longest = idleConnections.iterator().next();
        idleConnections.remove(longest);
        longest.upstream.idleConnections.remove(longest);
        longest.channel.close();
        return true;
    }

    /** One request sent to one upstream. */
    final class Attempt implements Upload.Sink, ResponseAggregator.Listener {

        private final FullHttpRequest request;
        private final boolean probe;
        /** The body if it is streamed; otherwise null. */
        private final Upload upload;
        private final Listener listener;
        /** When it times out unless the deadline is earlier, in ms of the clock. */
        private double ownTimeoutAt;
        /** Deadline of a probe, in ms of the clock; infinity for a request, which has its own. */
        private final double probeDeadline;
        /** For how many ms this process delayed it. */
        private double localDelay;
        /** The timer of the next check, and when it fires, in ms of the clock; infinity if there is none. */
        private Future<?> checkTimer;
        private double checkTimerAt = Double.POSITIVE_INFINITY;
        /** True if the sockets have been polled once more since the timeout. */
        private boolean polledAgain;
        private Target target;
        /** The upstream's list entry when the attempt started, to detect that the process was replaced. */
        private Member intendedMember;
        private Channel channel;
        /** How long the connection had been idle, in ms; NaN for a new one. */
        private double connectionIdleMs = Double.NaN;
        /** When its first byte was written; NaN before that. */
        private double firstByteAt = Double.NaN;
        private boolean neverRan;
        private boolean fullyWritten;
        private boolean ended;
        /** When it started and ended, in ms of the clock, and its result. */
        private double startedAt;
        private double endedAt = Double.NaN;
        private Result result;
        private final AnswerLifecycle answer;
        /** The answer while it is passed on; null before that. */
        private AnswerStream stream;
        /** When data of a streamed body last moved. */
        private double lastProgressAt;
        /** Chunks of a streamed body that the kernel has not taken yet. */
        private int unwrittenChunks;

        private Attempt(FullHttpRequest request, boolean probe, double timeoutAt, Listener listener) {
            this.request = request;
            this.probe = probe;
            this.ownTimeoutAt = timeoutAt;
            this.probeDeadline = probe ? timeoutAt : Double.POSITIVE_INFINITY;
            this.listener = listener;
            upload = request instanceof StreamedRequest large ? large.upload : null;
            answer = new AnswerLifecycle(this::timeoutAt, this::deadline, listener.isUntimedOnceStarted());
        }

        /** The deadline of its request has changed. */
        void deadlineChanged() {
            scheduleCheck();
        }

        /** Returns when it times out, in ms of the clock; infinity if it does not. */
        private double timeoutAt() {
            return Math.min(ownTimeoutAt, deadline());
        }

        private double deadline() {
            return Math.min(probeDeadline, listener.deadline());
        }

        /** Schedules the next check of its answer; a timer that fires too early only schedules the next. */
        private void scheduleCheck() {
            double at = answer.checkAt();
            if (at < checkTimerAt) {
                cancelCheck();
                checkTimerAt = at;
                checkTimer = loop.schedule(this::check, clock.nanosUntil(at), TimeUnit.NANOSECONDS);
            }
        }

        private void cancelCheck() {
            if (checkTimer != null) {
                checkTimer.cancel(false);
            }
        }

        /** A late loop runs its timers before it polls its sockets, so this first reads what has arrived. */
        private void check() {
            checkTimerAt = Double.POSITIVE_INFINITY;
            if (clock.now() >= answer.checkAt() && fullyWritten && channel.config().isAutoRead()) {
                Channels.readNow(channel);
            }
            switch (answer.check(clock.now())) {
                case PASS_ON -> passOn();
                case TIME_OUT -> timeOut();
                default -> scheduleCheck();
            }
        }

        private void passOn() {
            channel.pipeline().get(ResponseAggregator.class).passOn();
            if (stream != null) {
                stream.flush();
            }
        }

        @Override
        public boolean headArrived(boolean successful, long length) {
            boolean passOn = answer.headArrived(length, successful, clock.now())
                    == AnswerLifecycle.Verdict.PASS_ON;
            scheduleCheck();
            return passOn;
        }

        @Override
        public boolean bodyArrived(int bytes) {
            boolean passOn = answer.bodyArrived(bytes, clock.now()) == AnswerLifecycle.Verdict.PASS_ON;
            scheduleCheck();
            return passOn;
        }

        private void start(Target upstream) {
            startedAt = clock.now();
            target = upstream;
            if (upstream == null) {
                end(Result.CONNECT_FAILED, null);
                return;
            }
            intendedMember = upstream.member;
            Connection pooled = takeIdle(upstream);
            if (pooled != null) {
                writeRequest(pooled);
            } else if (!socketBudget.makeRoomForUpstream()) {
                // A lack of descriptors here must not count as a failure of the upstream.
                metrics.failed(NodeMetrics.ConnectFailure.NO_DESCRIPTOR);
                end(Result.NOT_SENT, null);
            } else {
                connect(upstream);
            }
        }

        private void connect(Target upstream) {
            ChannelFuture connect = Channels.connect(bootstrap, upstream.member.address());
            if (connect == null) {
                metrics.failed(NodeMetrics.ConnectFailure.NO_SOCKET);
                end(Result.NOT_SENT, null);
                return;
            }
            channel = connect.channel();
            socketBudget.count(channel);
            metrics.connectionStarted();
            connect.addListener(connected -> {
                if (ended) {
                    channel.close();
                } else if (connected.isSuccess()) {
                    extendTimeout(loopLateness.getAsDouble());
                    writeRequest(channel.pipeline().get(Connection.class));
                } else {
                    metrics.failed(NodeMetrics.ConnectFailure.NOT_UP);
                    end(Result.CONNECT_FAILED, null);
                }
            });
        }

        /** Extends the timeout by the ms for which its connection was up before this process noticed. */
        private void extendTimeout(double ms) {
            localDelay += ms;
            ownTimeoutAt += ms;
            scheduleCheck();
        }

        /** Returns by how many ms this process delayed the attempt before its request was written. */
        double localDelay() {
            return localDelay;
        }

        /** Writes the request, unless connecting took so long that it must not be sent any more. */
        private void writeRequest(Connection connection) {
            channel = connection.channel;
            double now = clock.now();
            // Comparing with NaN yields false: a ready upstream takes requests. An unlisted one takes none.
            boolean graceOver = !target.listed
                    || now >= target.drainingSince + settings.rules().drainGrace();
            boolean restarted = !target.isSameProcess(intendedMember);
            boolean obsolete = graceOver || restarted || now >= timeoutAt()
                    || upload != null && !upload.isRepeatable() || !listener.maySend();
            if (ended) {
                // The listener has cancelled the attempt from maySend, which closed the connection.
                return;
            }
            if (obsolete) {
                if (restarted) {
                    channel.close();
                } else {
                    connection.returnToPool(target);
                }
                end(now >= timeoutAt() && localDelay > 0 ? Result.NOT_SENT : Result.CONNECT_FAILED, null);
                return;
            }
            firstByteAt = now;
            connectionIdleMs = now - connection.idleSince;
            connection.assign(this);
            if (upload == null) {
                FullHttpRequest copy = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, request.method(),
                        request.uri(), request.content().retainedDuplicate());
                setHeaders(copy.headers(), now);
                channel.writeAndFlush(copy).addListener(this::onFullyWritten);
                return;
            }
            HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.uri());
            setHeaders(head.headers(), now);
            HttpUtil.setTransferEncodingChunked(head, upload.length() < 0);
            recordProgress();
            channel.write(head);
            upload.attach(this);
        }

        private void setHeaders(HttpHeaders headers, double now) {
            headers.set(request.headers());
            HOP_BY_HOP.forEach(headers::remove);
            headers.set("Host", target.member.address().getHostString());
            double waitsUntil = upload == null ? timeoutAt() : Math.min(timeoutAt(), upload.deadline());
            if (waitsUntil < Double.POSITIVE_INFINITY) {
                // Rounded down, so that the upstream never sees more time than is left.
                headers.set("X-Remaining", formatSeconds(Math.max(0, waitsUntil - now)));
            }
        }

        private void onFullyWritten(io.netty.util.concurrent.Future<? super Void> write) {
            fullyWritten = write.isSuccess();
            if (!fullyWritten) {
                connectionLost();
                return;
            }
            answer.requestWritten(clock.now());
            scheduleCheck();
            if (!probe) {
                metrics.attemptSent();
            }
        }

        @Override
        public void writeChunk(ByteBuf chunk) {
            channel.config().setWriteBufferWaterMark(memory.bodyWaterMark());
            if (unwrittenChunks++ == 0) {
                recordProgress();
            }
            channel.writeAndFlush(new DefaultHttpContent(chunk)).addListener(write -> {
                unwrittenChunks--;
                recordProgress();
                if (!write.isSuccess()) {
                    connectionLost();
                }
            });
        }

        @Override
        public void endBody() {
            channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(this::onFullyWritten);
        }

        @Override
        public boolean isWritable() {
            return channel.isWritable();
        }

        private void recordProgress() {
            if (!ended) {
                lastProgressAt = clock.now();
                uploading.add(this);
            }
        }

        /** Returns true if this side has waited for the upstream to take data since before the given time. */
        private boolean isStalled(double since) {
            return lastProgressAt < since && !fullyWritten && unwrittenChunks > 0;
        }

        /** Reads on, as the sink of the answer is writable again. */
        void resume() {
            if (!ended && stream != null) {
                stream.resume();
                scheduleCheck();
            }
        }

        /** Starts a streamed answer; returns false if it is not wanted. */
        private boolean startStream(HttpResponse head) {
            long length = HttpUtil.getContentLength(head, -1L);
            ResponseSink sink = listener.streamStarted(this, length);
            if (sink == null || ended) {
                return false;
            }
            answer.passedOn(clock.now());
            stream = new AnswerStream(clock, channel, sink, answer);
            scheduleCheck();
            return true;
        }

        /** Ends the attempt because its connection broke; a request not fully written cannot have run. */
        private void connectionLost() {
            if (!ended && fullyWritten && !Double.isNaN(connectionIdleMs)) {
                idleLimit.recordReset(target, connectionIdleMs, clock.now());
            }
            closeAndEnd(fullyWritten || stream != null ? Result.RESET : Result.CONNECT_FAILED);
        }

        /**
         * Ends the attempt because of its time. A late loop runs its timers before it polls its sockets, so
         * this first polls once more for the connection, which may have been up for long.
         */
        private void timeOut() {
            if (!fullyWritten && !polledAgain) {
                polledAgain = true;
                // A task passed to execute() would run before the sockets are polled.
                checkTimerAt = Double.NEGATIVE_INFINITY;
                checkTimer = loop.schedule(this::check, 1, TimeUnit.NANOSECONDS);
                return;
            }
            metrics.attemptTimedOut(answer.state());
            closeAndEnd(fullyWritten ? Result.TIMEOUT : Result.CONNECT_FAILED);
        }

        /** Ends the attempt because this side has waited too long for the upstream to take more. */
        private void endStalled() {
            closeAndEnd(fullyWritten ? Result.TIMEOUT : Result.CONNECT_FAILED);
        }

        /** Returns since when the request may have run, in ms of the clock; infinity if it cannot have. */
        double mayHaveRunSince() {
            return neverRan || Double.isNaN(firstByteAt) ? Double.POSITIVE_INFINITY : firstByteAt;
        }

        /** Describes the attempt for the log, with times in ms since a given one. */
        String describe(double since) {
            return (target == null ? "unknown" : target.member.address().toString())
                    + " start=" + Math.round(startedAt - since)
                    + (Double.isNaN(firstByteAt) ? "" : " first_byte=" + Math.round(firstByteAt - since))
                    + (Double.isNaN(connectionIdleMs) ? "" : " reused")
                    + (fullyWritten ? " written" : "") + (stream == null ? "" : " streaming")
                    + answer.describe(since)
                    + (ended ? " " + result + "=" + Math.round(endedAt - since) : " out");
        }

        /** Cancels the attempt by closing its connection, which lets the upstream know. */
        void cancel() {
            closeAndEnd(Result.CANCELLED);
        }

        /**
         * Closes the connection and ends the attempt, in this order: a retry that the decision module sends
         * in response to the outcome could otherwise overtake the close and run as a second copy.
         */
        private void closeAndEnd(Result endResult) {
            if (markEnded(endResult)) {
                if (channel != null) {
                    channel.close();
                }
                listener.finished(endResult, null);
            }
        }

        private void end(Result endResult, FullHttpResponse response) {
            if (markEnded(endResult)) {
                listener.finished(endResult, response);
            }
        }

        /** Marks the attempt as ended; returns false if it had ended before. */
        private boolean markEnded(Result endResult) {
            if (ended) {
                return false;
            }
            ended = true;
            endedAt = clock.now();
            result = endResult;
            neverRan = result.neverRan();
            answer.end();
            cancelCheck();
            uploading.remove(this);
            if (upload != null) {
                upload.detach(this);
            }
            return true;
        }
    }

    private static Result resultOf(HttpResponse response) {
        int status = response.status().code();
        boolean turnedAway = (status == 503 || status == 504)
                && "1".equals(response.headers().get("X-Turned-Away"));
        return turnedAway ? Result.FULL : status == 200 ? Result.OK : Result.ERROR;
    }

    private Connection takeIdle(Target target) {
        double oldestAllowed = clock.now() - idleLimit.maxIdleMs(clock.now());
        for (Connection c = target.idleConnections.pollLast(); c != null;
                c = target.idleConnections.pollLast()) {
            idleConnections.remove(c);
            // If the upstream has closed it, a request written to it would have to count as run.
            Channels.readNow(c.channel);
            if (c.channel.isActive() && c.idleSince >= oldestAllowed) {
                return c;
            }
            c.channel.close();
        }
        return null;
    }

    /** Formats whole ms as a decimal number of seconds. */
    static String formatSeconds(double millis) {
        return BigDecimal.valueOf((long) millis, MILLI_SCALE).toPlainString();
    }

    /** A connection to an upstream; it serves one attempt at a time. */
    private final class Connection extends SimpleChannelInboundHandler<HttpObject> {

        final Channel channel;
        private final ResponseDecoder decoder;
        private final ResponseAggregator aggregator;
        double idleSince = Double.NaN;
        private Attempt currentAttempt;
        private Target upstream;
        /** Head of the answer being streamed; null if there is none. */
        private HttpResponse streamedHead;
        /** True if the connection broke rather than being closed in order. */
        private boolean broken;

        Connection(Channel channel, ResponseDecoder decoder, ResponseAggregator aggregator) {
            this.channel = channel;
            this.decoder = decoder;
            this.aggregator = aggregator;
        }

        void assign(Attempt attempt) {
            currentAttempt = attempt;
            decoder.setResponseExpected(true);
            aggregator.setListener(attempt);
            upstream = attempt.target;
        }

        /** Returns the connection to the pool for the next attempt. */
        void returnToPool(Target target) {
            currentAttempt = null;
            decoder.setResponseExpected(false);
            aggregator.setListener(null);
            upstream = target;
            channel.config().setAutoRead(true);
            channel.config().setWriteBufferWaterMark(WriteBufferWaterMark.DEFAULT);
            if (!Double.isNaN(target.drainingSince)) {
                channel.close();
                return;
            }
            idleSince = clock.now();
            target.idleConnections.addLast(this);
            idleConnections.add(this);
            if (idleConnections.size() > socketBudget.maxIdleUpstreams()) {
                metrics.connectionClosed(NodeMetrics.CloseReason.UPSTREAM_FOR_ROOM);
                evictIdle();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
            if (part instanceof FullHttpResponse whole) {
                onFullResponse(whole);
            } else if (part instanceof HttpResponse head) {
                onStreamedHead(head);
            } else if (part instanceof HttpContent content && streamedHead != null) {
                onStreamedContent(content);
            }
        }

        /** Handles the head of an answer that is streamed; only a successful one is passed on. */
        private void onStreamedHead(HttpResponse head) {
            Attempt attempt = currentAttempt;
            boolean beforeRequestEnd = attempt != null && !attempt.fullyWritten
                    && head.status().code() == 200;
            malformedResponses += beforeRequestEnd ? 1 : 0;
            if (attempt == null) {
                channel.close();
            } else if (beforeRequestEnd || head.status().code() != 200) {
                currentAttempt = null;
                attempt.closeAndEnd(beforeRequestEnd ? Result.ERROR : resultOf(head));
            } else if (attempt.startStream(head)) {
                streamedHead = head;
            } else {
                // Nobody waits for this answer, or another attempt's is being passed on.
                currentAttempt = null;
                attempt.closeAndEnd(Result.CANCELLED);
            }
        }

        private void onStreamedContent(HttpContent content) {
            Attempt attempt = currentAttempt;
            if (attempt == null || attempt.ended) {
                channel.close();
                return;
            }
            boolean last = content instanceof LastHttpContent;
            if (content.decoderResult().isFailure()) {
                malformedResponses++;
                currentAttempt = null;
                attempt.closeAndEnd(Result.ERROR);
                return;
            }
            if (content.content().isReadable()) {
                attempt.stream.writeChunk(content.content().retain());
            }
            if (last && !isComplete(streamedHead)) {
                attempt.connectionLost();
            } else if (last) {
                boolean keep = HttpUtil.isKeepAlive(streamedHead) && !decoder.hasTrailingBytes();
                currentAttempt = null;
                streamedHead = null;
                attempt.end(Result.OK, null);
                keepOrClose(keep);
            }
        }

        /**
         * Returns true if an answer that has ended is complete. The close of the connection may mark its end
         * only if its headers say so.
         */
        private boolean isComplete(HttpResponse response) {
            return channel.isActive() || !broken && !HttpUtil.isKeepAlive(response);
        }

        private void keepOrClose(boolean keep) {
            if (keep && channel.isActive()) {
                returnToPool(upstream);
            } else {
                channel.close();
            }
        }

        private void onFullResponse(FullHttpResponse response) {
            if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL
                    && response.decoderResult().isSuccess()) {
                return;
            }
            Attempt attempt = currentAttempt;
            currentAttempt = null;
            if (attempt == null) {
                channel.close();
            } else if (!isComplete(response)) {
                // An answer completed only by an unannounced close is not trusted: a crash looks the same.
                attempt.connectionLost();
            } else if (response.decoderResult().isSuccess() && !attempt.fullyWritten && attempt.upload != null
                    && response.status().code() != 200) {
                // An upstream may reject a request without reading all of its body.
                attempt.closeAndEnd(resultOf(response));
            } else if (!response.decoderResult().isSuccess() || !attempt.fullyWritten) {
                // A response that precedes the end of the request cannot be the answer to it.
                malformedResponses++;
                attempt.closeAndEnd(Result.ERROR);
            } else {
                boolean keep = !attempt.ended && HttpUtil.isKeepAlive(response)
                        && !decoder.hasTrailingBytes();
                attempt.end(resultOf(response), response);
                // Pooled only now: the module's next send must not read from a connection being read.
                keepOrClose(keep);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (idleConnections.remove(this)) {
                upstream.idleConnections.remove(this);
            }
            if (currentAttempt != null) {
                currentAttempt.connectionLost();
            }
            ctx.fireChannelInactive();
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            if (currentAttempt != null && currentAttempt.upload != null) {
                currentAttempt.upload.sinkWritable();
            }
            ctx.fireChannelWritabilityChanged();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            broken = cause instanceof IOException
                    || cause instanceof PrematureChannelClosureException;
            if (currentAttempt != null && !broken) {
                // The answer is too large or not HTTP; a fully written request has reached the upstream.
                malformedResponses++;
                currentAttempt.closeAndEnd(currentAttempt.fullyWritten ? Result.ERROR
                        : Result.CONNECT_FAILED);
            }
            // If the connection broke, channelInactive ends the attempt.
            channel.close();
        }
    }
}
