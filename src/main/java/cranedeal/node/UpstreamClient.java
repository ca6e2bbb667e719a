package cranedeal.node;

import cranedeal.LoadBalancer.Result;
import cranedeal.LoadBalancer.Settings;
import cranedeal.LoadBalancer.State;
import cranedeal.node.discovery.UpstreamList.Member;
import cranedeal.node.channel.Channels;
import cranedeal.node.discovery.UpstreamList;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
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
 * Carries attempts and probes to upstreams, one at a time on a connection, and reports how each ended. It
 * sends nothing twice: what breaks is an outcome.
 */
final class UpstreamClient {

    static final int MAX_BODY = 64 * 1024;
    /** The part of an upstream's idle limit after which a connection is closed from this side. */
    private static final double IDLE_SHARE = 0.7;
    private static final long SWEEP_MS = 1_000;
    /** How long a reset counts as a witness for another, and the limit that it teaches takes to double. */
    private static final double WITNESS_MS = 30_000;
    private static final double TELL_EVERY_MS = 10_000;
    /** How long nothing may move of a large body or answer before its attempt is over. */
    static final double STALL_MS = 10_000;
    private static final int MILLI = 3;
    /** What a caller says of its own connection is not for the next. */
    private static final List<String> HOP_BY_HOP = List.of("Connection", "Keep-Alive", "Proxy-Connection",
            "TE", "Trailer", "Transfer-Encoding", "Upgrade", "Expect");

    /** Who waits for an attempt. */
    interface Listener {

        /**
         * Called once, when the attempt is over; the response, null if none came whole or in one piece, is
         * not to be kept.
         */
        void finished(Result result, FullHttpResponse response);

        /** Whether it may still be begun, asked as its connection is up: that may have taken long. */
        default boolean maySend() {
            return true;
        }

        /**
         * A served answer has begun that is too large to be held; its length is negative if not known.
         * Returns who takes it, null for nobody.
         */
        default ResponseSink streamStarted(Attempt attempt, long length) {
            return null;
        }
    }

    private final EventLoop loop;
    private final Clock clock;
    private final DoubleSupplier lateness;
    private Settings settings;
    private final SocketBudget sockets;
    private final NodeMetrics figures;
    private final Bootstrap bootstrap;
    /** All connections that stand idle, the longest idle first. */
    private final Set<Connection> idle = new LinkedHashSet<>();
    private int listed;
    private final Map<Long, Target> targets = new HashMap<>();
    private final Set<Long> banned = new HashSet<>();
    /** The attempts that move a large body or answer. */
    private final Set<Attempt> moving = new HashSet<>();
    /** How long connections may have been idle for another use, as resets have taught; and when they did. */
    private double taughtIdle = Double.POSITIVE_INFINITY;
    private double taughtAt;
    /** The last reset of a connection that was used again: whose, when, and how long it had been idle. */
    private Target resetBy;
    private double resetAt = Double.NEGATIVE_INFINITY;
    private double resetIdle;
    /** Answers that could not be read since that was last told. */
    private int unreadable;
    private double toldAt = Double.NEGATIVE_INFINITY;

    /** {@code lateness} tells how long what is read now has lain unread, in ms. */
    UpstreamClient(EventLoop loop, Clock clock, DoubleSupplier lateness, Settings settings,
            SocketBudget sockets,
            NodeMetrics figures, ByteBufAllocator memory) {
        this.loop = loop;
        this.clock = clock;
        this.lateness = lateness;
        this.sockets = sockets;
        this.figures = figures;
        bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.ALLOCATOR, memory).option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        ResponseDecoder decoder = new ResponseDecoder();
                        channel.pipeline().addLast(new HttpRequestEncoder(), decoder,
                                new ResponseAggregator(MAX_BODY), new Connection(channel, decoder));
                    }
                });
        settingsChanged(settings);
        sockets.evictUpstreamsWith(new SocketBudget.IdlePool() {
            @Override
            public double idleSince() {
                return idle.isEmpty() ? Double.NaN : idle.iterator().next().idleSince;
            }

            @Override
            public boolean evict() {
                return evictIdle();
            }
        });
        loop.scheduleAtFixedRate(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
    }

    /** From now on goes by these settings; what is under way keeps its times. */
    final void settingsChanged(Settings replaced) {
        settings = replaced;
        bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS,
                (int) Math.max(1, settings.limits().connectTimeout()));
    }

    /** An upstream, its idle connections, the longest idle first, and when it last was told to be ready. */
    private final class Target {
        Member member;
        /** When this balancer was told that it wants nothing new; NaN while it does. */
        double drainingSince = Double.NaN;
        /** Whether it is in the list, ready or not. */
        private boolean listed;
        final ArrayDeque<Connection> idle = new ArrayDeque<>();

        /** Whether it is the process that was listed before, where that listened. */
        boolean isStill(Member before) {
            return member.upstream().startedAt() == before.upstream().startedAt()
                    && member.address().equals(before.address());
        }

        void closeIdle() {
            // Closing may call back and take the connection out of the queue.
            for (Connection c = idle.pollFirst(); c != null; c = idle.pollFirst()) {
                UpstreamClient.this.idle.remove(c);
                c.channel.close();
            }
        }

        void list(boolean now) {
            UpstreamClient.this.listed += (now ? 1 : 0) - (listed ? 1 : 0);
            listed = now;
        }
    }

    /** Takes in a list; what an upstream that left or drains still holds idle is of no more use. */
    void update(UpstreamList list) {
        double now = clock.now();
        Map<Long, Target> left = new HashMap<>(list.full() ? targets : Map.of());
        for (Member member : list.members()) {
            left.remove(member.upstream().id());
            if (member.upstream().state() == State.REMOVED) {
                strike(targets.get(member.upstream().id()), now);
                continue;
            }
            Target target = targets.computeIfAbsent(member.upstream().id(), id -> new Target());
            Member before = target.member;
            target.member = member;
            if (before != null && !target.isStill(before)) {
                target.closeIdle();
            }
            target.list(true);
            if (member.upstream().state() == State.READY && !banned.contains(member.upstream().id())) {
                target.drainingSince = Double.NaN;
            } else {
                startDraining(target, now);
            }
        }
        left.values().forEach(target -> strike(target, now));
    }

    /** Operators have taken an upstream out of use, or have put it back: it drains for as long. */
    void ban(long upstream, boolean out) {
        Target target = targets.get(upstream);
        if (out && banned.add(upstream) && target != null) {
            startDraining(target, clock.now());
        } else if (!out && banned.remove(upstream) && target != null && target.listed
                && target.member.upstream().state() == State.READY) {
            target.drainingSince = Double.NaN;
        }
    }

    private static void strike(Target target, double now) {
        if (target != null) {
            target.list(false);
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
     * Sends a request to an upstream and waits until the given time. Where this process itself holds the
     * attempt up, that is no time of the upstream's, and it waits for so much longer, until {@code latest} at
     * the most. {@code body} and {@code listener} are used until the listener has been called. A body that is
     * still on its way has all its time.
     */
    Attempt send(long upstream, FullHttpRequest request, double until, double latest, Listener listener) {
        return send(upstream, request, false, until, latest, listener);
    }

    private Attempt send(long upstream, FullHttpRequest request, boolean probe, double until, double latest,
            Listener listener) {
        Attempt attempt = new Attempt(request, probe, latest, listener);
        attempt.waitUntil(until);
        attempt.start(targets.get(upstream));
        return attempt;
    }

    /** Asks an upstream how it does; the answer's body holds its load report if the site has any. */
    void probe(long upstream, double until, Listener listener) {
        String path = settings.reportFields().isEmpty() ? "/ping" : "/_load";
        send(upstream, new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path,
                Unpooled.EMPTY_BUFFER), true, until, until, listener);
    }

    void closeIdle(long upstream) {
        Target target = targets.get(upstream);
        if (target != null) {
            target.closeIdle();
        }
    }

    private void sweep() {
        if (unreadable > 0 && clock.now() >= toldAt + TELL_EVERY_MS) {
            Node.LOG.warning(unreadable + " answers of upstreams could not be read");
            toldAt = clock.now();
            unreadable = 0;
        }
        double still = clock.now() - STALL_MS;
        List.copyOf(moving).stream().filter(attempt -> attempt.isStalled(still)).forEach(Attempt::expire);
        double oldest = clock.now() - longestIdle();
        while (!idle.isEmpty() && idle.iterator().next().idleSince < oldest) {
            figures.connectionClosed(NodeMetrics.CloseReason.UPSTREAM_IDLE);
            evictIdle();
        }
        // Whoever left long ago and holds nothing need not be remembered.
        double grace = settings.rules().drainGrace();
        targets.values().removeIf(target -> !target.listed && target.idle.isEmpty()
                && target.drainingSince < clock.now() - 2 * grace);
    }

    boolean isListed(long upstream) {
        Target target = targets.get(upstream);
        return target != null && target.listed;
    }

    /** How many upstreams the list has. */
    int listedCount() {
        return listed;
    }

    /** How many upstreams it knows; for tests. */
    int targetCount() {
        return targets.size();
    }

    /**
     * How long a connection may have been idle for another use. The settings say when upstreams close one at
     * the latest; some do so far sooner, and what crosses that may have run.
     */
    private double longestIdle() {
        double healed = taughtIdle * Math.pow(2, (clock.now() - taughtAt) / WITNESS_MS);
        return Math.min(healed, IDLE_SHARE * settings.limits().connectionIdle());
    }

    /** One upstream that resets connections may have crashed; if two do, it is their way with idle ones. */
    private void wasReset(Target target, double idleFor) {
        double now = clock.now();
        if (target != resetBy && now < resetAt + WITNESS_MS) {
            taughtIdle = Math.min(longestIdle(), Math.max(idleFor, resetIdle) / 2);
            taughtAt = now;
        }
        resetBy = target;
        resetAt = now;
        resetIdle = idleFor;
    }

    /** Closes the connection that has been idle for longest; false if there is none. */
    private boolean evictIdle() {
        if (idle.isEmpty()) {
            return false;
        }
        Connection longest = idle.iterator().next();
        idle.remove(longest);
        longest.home.idle.remove(longest);
        longest.channel.close();
        return true;
    }

    /** One request on its way to one upstream. */
    final class Attempt implements Upload.Sink {

        private final FullHttpRequest request;
        private final boolean probe;
        /** The body if it comes on its own; null for others. */
        private final Upload upload;
        private final Listener listener;
        private double until;
        /** Until when {@link #until} may be put off, and by how many ms this process has held it up. */
        private double latest;
        private double heldUp;
        private Future<?> expiry;
        /** Whether the sockets have been looked at since its time was over. */
        private boolean lookedAgain;
        private Target target;
        /** The process that it was meant for. */
        private Member meant;
        private Channel channel;
        /** How long its connection had been idle; NaN for a new one. */
        private double idleFor = Double.NaN;
        /** When its first byte went out; NaN before. */
        private double begunAt = Double.NaN;
        private boolean neverRan;
        private boolean written;
        private boolean over;
        /** Who takes the answer, once a large one has begun; and when something last moved. */
        private ResponseSink download;
        private double movedAt;

        private Attempt(FullHttpRequest request, boolean probe, double latest, Listener listener) {
            this.request = request;
            this.probe = probe;
            this.latest = latest;
            this.listener = listener;
            upload = request instanceof StreamedRequest large ? large.upload : null;
        }

        /** Sets how long to wait at the most, as a body has come. */
        void setDeadline(double given) {
            latest = given;
            waitUntil(given);
        }

        /** Sets how long to wait; infinity for a body that is on its way. */
        private void waitUntil(double given) {
            until = given;
            if (!over && download == null && until < Double.POSITIVE_INFINITY) {
                expiry = loop.schedule(this::expire, clock.nanosUntil(until), TimeUnit.NANOSECONDS);
            }
        }

        private void start(Target to) {
            target = to;
            if (to == null) {
                end(Result.CONNECT_FAILED, null);
                return;
            }
            meant = to.member;
            Connection kept = takeIdle(to);
            if (kept != null) {
                begin(kept);
            } else if (!sockets.roomForUpstream()) {
                // This process's own want says nothing of the upstream.
                figures.failed(NodeMetrics.ConnectFailure.NO_DESCRIPTOR);
                end(Result.NOT_SENT, null);
            } else {
                connect(to);
            }
        }

        private void connect(Target to) {
            ChannelFuture connect = Channels.connect(bootstrap, to.member.address());
            if (connect == null) {
                figures.failed(NodeMetrics.ConnectFailure.NO_SOCKET);
                end(Result.NOT_SENT, null);
                return;
            }
            channel = connect.channel();
            sockets.count(channel);
            figures.connectionStarted();
            connect.addListener(up -> {
                if (over) {
                    channel.close();
                } else if (up.isSuccess()) {
                    putOff(lateness.getAsDouble());
                    begin(channel.pipeline().get(Connection.class));
                } else {
                    figures.failed(NodeMetrics.ConnectFailure.NOT_UP);
                    end(Result.CONNECT_FAILED, null);
                }
            });
        }

        /** Waits for so many ms longer: its connection stood so long before this process saw that. */
        private void putOff(double ms) {
            heldUp += ms;
            if (ms > 0 && until < latest) {
                expiry.cancel(false);
                waitUntil(Math.min(latest, until + ms));
            }
        }

        /** How long this process has held it up before its request went out, in ms. */
        double localDelay() {
            return heldUp;
        }

        /** Writes the request, unless it has waited too long for its connection. */
        private void begin(Connection connection) {
            channel = connection.channel;
            double now = clock.now();
            // NaN compares false: a ready upstream takes anything. One that is gone takes nothing more.
            boolean drained = !target.listed
                    || now >= target.drainingSince + settings.rules().drainGrace();
            boolean restarted = !target.isStill(meant);
            boolean late = drained || restarted || now >= until || upload != null && !upload.isRepeatable()
                    || !listener.maySend();
            if (over) {
                // Whoever was asked has called it off, and its connection is closed.
                return;
            }
            if (late) {
                if (restarted) {
                    channel.close();
                } else {
                    connection.park(target);
                }
                end(now >= until && heldUp > 0 ? Result.NOT_SENT : Result.CONNECT_FAILED, null);
                return;
            }
            begunAt = now;
            idleFor = now - connection.idleSince;
            connection.carry(this);
            if (upload == null) {
                FullHttpRequest copy = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, request.method(),
                        request.uri(), request.content().retainedDuplicate());
                address(copy.headers(), now);
                channel.writeAndFlush(copy).addListener(this::wroteAll);
                return;
            }
            HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.uri());
            address(head.headers(), now);
            HttpUtil.setTransferEncodingChunked(head, upload.length < 0);
            move();
            channel.config().setWriteBufferWaterMark(Upload.WATER_MARK);
            channel.write(head);
            upload.feed(this);
        }

        private void address(HttpHeaders headers, double now) {
            headers.set(request.headers());
            HOP_BY_HOP.forEach(headers::remove);
            headers.set("Host", target.member.address().getHostString());
            if (until < Double.POSITIVE_INFINITY) {
                // Rounded down: the upstream must not take this balancer to be more patient than it is.
                headers.set("X-Remaining", seconds(until - now));
            }
        }

        private void wroteAll(io.netty.util.concurrent.Future<? super Void> write) {
            written = write.isSuccess();
            if (!written) {
                broke();
            } else if (!probe) {
                figures.attemptSent();
            }
        }

        @Override
        public void piece(ByteBuf piece) {
            channel.writeAndFlush(new DefaultHttpContent(piece)).addListener(write -> {
                move();
                if (!write.isSuccess()) {
                    broke();
                }
            });
        }

        @Override
        public void end() {
            channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(this::wroteAll);
        }

        @Override
        public boolean isWritable() {
            return channel.isWritable();
        }

        private void move() {
            if (!over) {
                movedAt = clock.now();
                moving.add(this);
            }
        }

        /** Whether it is this side that waits, and has since before the given time. */
        private boolean isStalled(double since) {
            return movedAt < since && (download == null ? !written && !channel.isWritable()
                    : download.isWritable());
        }

        /** Takes no more of its answer until {@link #resume}. */
        private void pause() {
            channel.config().setAutoRead(false);
        }

        /** Its answer can be taken on. */
        void resume() {
            if (!over) {
                move();
                channel.config().setAutoRead(true);
            }
        }

        /** A large answer has begun. */
        private boolean begun(HttpResponse head) {
            download = listener.streamStarted(this, HttpUtil.getContentLength(head, -1L));
            if (download == null || over) {
                return false;
            }
            if (expiry != null) {
                expiry.cancel(false);
            }
            move();
            return true;
        }

        private void answer(ByteBuf piece) {
            move();
            download.piece(piece);
            if (!over && !download.isWritable()) {
                pause();
            }
        }

        /** The connection is of no more use: what was not written whole can't have run. */
        private void broke() {
            if (!over && written && !Double.isNaN(idleFor)) {
                wasReset(target, idleFor);
            }
            giveUp(written || download != null ? Result.RESET : Result.CONNECT_FAILED);
        }

        /**
         * Takes its answer if that has come and lies unread: a loop that is late handles timers that are due
         * before it looks at its sockets again, and its own lateness is not the upstream's.
         */
        private void readNow() {
            if (!over && written && download == null) {
                Channels.readNow(channel);
            }
        }

        /**
         * Its time is over. Timers that are due come before the sockets in a loop that is late, so its answer
         * is read first, or its connection looked at, which may long be up.
         */
        private void expire() {
            readNow();
            if (!over && !written && !lookedAgain) {
                lookedAgain = true;
                // What is executed rather than scheduled would run before the sockets are looked at.
                expiry = loop.schedule(this::expire, 1, TimeUnit.NANOSECONDS);
                return;
            }
            giveUp(written ? Result.TIMEOUT : Result.CONNECT_FAILED);
        }

        /** From when it may have run, in ms of the clock; infinity if it can't have, so far or ever. */
        double mayHaveRunFrom() {
            return neverRan || Double.isNaN(begunAt) ? Double.POSITIVE_INFINITY : begunAt;
        }

        /** Stops waiting, and lets the upstream know by closing the connection. */
        void cancel() {
            giveUp(Result.CANCELLED);
        }

        /**
         * Ends the attempt with its connection. That is closed first: what the module sends in answer to the
         * outcome would otherwise overtake it, and be a second copy.
         */
        private void giveUp(Result result) {
            if (close(result)) {
                if (channel != null) {
                    channel.close();
                }
                listener.finished(result, null);
            }
        }

        private void end(Result result, FullHttpResponse response) {
            if (close(result)) {
                listener.finished(result, response);
            }
        }

        /** It is over; false if it was so before. */
        private boolean close(Result result) {
            if (over) {
                return false;
            }
            over = true;
            neverRan = result.neverRan();
            if (expiry != null) {
                expiry.cancel(false);
            }
            moving.remove(this);
            if (upload != null) {
                upload.leave(this);
            }
            return true;
        }
    }

    private static Result result(HttpResponse response) {
        int status = response.status().code();
        boolean turnedAway = (status == 503 || status == 504)
                && "1".equals(response.headers().get("X-Turned-Away"));
        return turnedAway ? Result.FULL : status == 200 ? Result.OK : Result.ERROR;
    }

    private Connection takeIdle(Target target) {
        double oldest = clock.now() - longestIdle();
        for (Connection c = target.idle.pollLast(); c != null; c = target.idle.pollLast()) {
            idle.remove(c);
            // The upstream may have closed it, and what is written to it then would count as run.
            Channels.readNow(c.channel);
            if (c.channel.isActive() && c.idleSince >= oldest) {
                return c;
            }
            c.channel.close();
        }
        return null;
    }

    /** Whole ms as a decimal number of seconds. */
    static String seconds(double millis) {
        return BigDecimal.valueOf((long) millis, MILLI).toPlainString();
    }

    /** A connection to an upstream; it belongs to one attempt at a time. */
    private final class Connection extends SimpleChannelInboundHandler<HttpObject> {

        final Channel channel;
        private final ResponseDecoder decoder;
        double idleSince = Double.NaN;
        private Attempt carried;
        private Target home;
        /** The answer that comes in pieces; null for none. */
        private HttpResponse passing;
        /** Whether the connection broke rather than ended. */
        private boolean broken;

        Connection(Channel channel, ResponseDecoder decoder) {
            this.channel = channel;
            this.decoder = decoder;
        }

        void carry(Attempt attempt) {
            carried = attempt;
            decoder.await(true);
            home = attempt.target;
        }

        /** Keeps the connection for the next attempt. */
        void park(Target target) {
            carried = null;
            decoder.await(false);
            home = target;
            channel.config().setAutoRead(true);
            channel.config().setWriteBufferWaterMark(WriteBufferWaterMark.DEFAULT);
            if (!Double.isNaN(target.drainingSince)) {
                channel.close();
                return;
            }
            idleSince = clock.now();
            target.idle.addLast(this);
            idle.add(this);
            if (idle.size() > sockets.mostIdleUpstreams()) {
                figures.connectionClosed(NodeMetrics.CloseReason.UPSTREAM_FOR_ROOM);
                evictIdle();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
            if (part instanceof FullHttpResponse whole) {
                answered(whole);
            } else if (part instanceof HttpResponse head) {
                begun(head);
            } else if (part instanceof HttpContent content && passing != null) {
                passOn(content);
            }
        }

        /** An answer that is passed on as it comes: a served one. */
        private void begun(HttpResponse head) {
            Attempt attempt = carried;
            boolean early = attempt != null && !attempt.written && head.status().code() == 200;
            unreadable += early ? 1 : 0;
            if (attempt == null) {
                channel.close();
            } else if (early || head.status().code() != 200) {
                carried = null;
                attempt.giveUp(early ? Result.ERROR : result(head));
            } else if (attempt.begun(head)) {
                passing = head;
            } else {
                carried = null;
                attempt.giveUp(Result.ERROR);
            }
        }

        private void passOn(HttpContent content) {
            Attempt attempt = carried;
            if (attempt == null || attempt.over) {
                channel.close();
                return;
            }
            boolean last = content instanceof LastHttpContent;
            if (content.decoderResult().isFailure()) {
                unreadable++;
                carried = null;
                attempt.giveUp(Result.ERROR);
                return;
            }
            if (content.content().isReadable()) {
                attempt.answer(content.content().retain());
            }
            if (last && !isWhole(passing)) {
                attempt.broke();
            } else if (last) {
                boolean keep = HttpUtil.isKeepAlive(passing) && !decoder.hasSurplus();
                carried = null;
                passing = null;
                attempt.end(Result.OK, null);
                keepOrClose(keep);
            }
        }

        /** Whether an answer whose end has come is whole: one may end with its connection if it says so. */
        private boolean isWhole(HttpResponse response) {
            return channel.isActive() || !broken && !HttpUtil.isKeepAlive(response);
        }

        private void keepOrClose(boolean keep) {
            if (keep && channel.isActive()) {
                park(home);
            } else {
                channel.close();
            }
        }

        private void answered(FullHttpResponse response) {
            if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL
                    && response.decoderResult().isSuccess()) {
                return;
            }
            Attempt attempt = carried;
            carried = null;
            if (attempt == null) {
                channel.close();
            } else if (!isWhole(response)) {
                // What the end of the connection completes is no answer: a crash would look like that too.
                attempt.broke();
            } else if (response.decoderResult().isSuccess() && !attempt.written && attempt.upload != null
                    && response.status().code() != 200) {
                // An upstream need not read all of what it turns away.
                attempt.giveUp(result(response));
            } else if (!response.decoderResult().isSuccess() || !attempt.written) {
                // What comes before the request is out as a whole can be no answer to it.
                unreadable++;
                attempt.giveUp(Result.ERROR);
            } else {
                boolean keep = !attempt.over && HttpUtil.isKeepAlive(response) && !decoder.hasSurplus();
                attempt.end(result(response), response);
                // Only now: the module's next send must not read from a connection that is being read.
                keepOrClose(keep);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (idle.remove(this)) {
                home.idle.remove(this);
            }
            if (carried != null) {
                carried.broke();
            }
            ctx.fireChannelInactive();
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            if (carried != null && carried.upload != null) {
                carried.upload.writable();
            }
            ctx.fireChannelWritabilityChanged();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            broken = cause instanceof IOException
                    || cause instanceof PrematureChannelClosureException;
            if (carried != null && !broken) {
                // An answer that is too large or no HTTP: the upstream has had the request.
                unreadable++;
                carried.giveUp(carried.written ? Result.ERROR : Result.CONNECT_FAILED);
            }
            // For a broken connection, the end of the channel tells the attempt.
            channel.close();
        }
    }
}
