package cranedeal.lab.standin;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import cranedeal.lab.history.Event;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

/**
 * A discovery server that follows the protocol. It processes calls one after another and rejects those that
 * would wait too long. It identifies the caller by the IP address that the caller's link uses. All state is
 * confined to its event loop.
 */
public final class DiscoveryServer {

    private static final JsonMapper JSON = new JsonMapper();
    private static final int MAX_REQUEST_BYTES = 16 * 1024;
    private static final long BYTE_INTERVAL_MS = 100;
    private static final long MAX_WATCH_MS = 60_000;
    private static final double NANOS_PER_MS = 1e6;

    private final EventLoop loop;
    private final LabClock clock;
    private DiscoveryPace pace;
    /** The faults to inject into the next answers, one each, in order. */
    private final Deque<AnswerFault> faults = new ArrayDeque<>();
    private final Map<InetAddress, Integer> callerByAddress;
    private final Map<Integer, String> names;
    private final BiFunction<Integer, Integer, InetSocketAddress> links;
    private final Consumer<Event> history;
    private final Catalog catalog = new Catalog();
    private final List<Watch> watches = new ArrayList<>();
    private final AtomicLong listBytes = new AtomicLong();
    private double busyUntil;
    private Channel listening;

    private record Watch(ChannelHandlerContext from, int asker, long index) { }

    /**
     * Creates a discovery server with an empty list.
     *
     * @param callMs the processing time of one call, in milliseconds
     * @param names the names of the parties that may call, by number; {@code askers} has their IP addresses
     * @param links returns the address at which a party (the first argument) reaches another (the second)
     */
    public DiscoveryServer(EventLoop loop, LabClock clock, double callMs, Map<InetAddress, Integer> askers,
            Map<Integer, String> names, BiFunction<Integer, Integer, InetSocketAddress> links,
            Consumer<Event> history) {
        this.loop = loop;
        this.clock = clock;
        pace = DiscoveryPace.ofCalls(callMs);
        this.callerByAddress = Map.copyOf(askers);
        this.names = Map.copyOf(names);
        this.links = links;
        this.history = history;
    }

    /** Starts listening; throws {@link IOException} if the address cannot be bound. */
    public void bind(InetSocketAddress address) throws IOException {
        var bound = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpServerCodec(),
                                new HttpObjectAggregator(MAX_REQUEST_BYTES), new Calls());
                    }
                }).bind(address).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("discovery cannot listen on " + address, bound.cause());
        }
        listening = bound.channel();
    }

    /** Adds an upstream with state {@code up} and start time 0, without answering pending watches. */
    public Future<?> list(String id, int party, String zone, String kind, int cell, double weight) {
        return loop.submit(() -> catalog.put(new Catalog.Entry(id, party, zone, kind, cell, "up", weight,
                0)));
    }

    /** Changes an upstream's state to {@code draining} or {@code removed}. */
    public Future<?> state(String id, String state) {
        return change(id, entry -> entry.withState(state));
    }

    /** Changes an upstream's state to {@code up} with a start time in Unix milliseconds. */
    public Future<?> started(String id, long unixMs) {
        return change(id, entry -> entry.startedAt(unixMs));
    }

    /** Removes upstreams; pending watches are answered once, after all are removed. */
    public Future<?> remove(Collection<String> ids) {
        return change(ids, entry -> entry.withState("removed"));
    }

    /** Changes the processing times from now on. */
    public Future<?> setPace(DiscoveryPace changed) {
        return loop.submit(() -> pace = changed);
    }

    /** Queues faults for the next answers, one each, in order. */
    public Future<?> addFaults(Collection<AnswerFault> next) {
        return loop.submit(() -> faults.addAll(next));
    }

    private Future<?> change(String id, UnaryOperator<Catalog.Entry> to) {
        return change(List.of(id), to);
    }

    private Future<?> change(Collection<String> ids, UnaryOperator<Catalog.Entry> to) {
        return loop.submit(() -> {
            ids.forEach(id -> catalog.put(to.apply(catalog.get(id))));
            List<Watch> waiting = List.copyOf(watches);
            watches.clear();
            waiting.forEach(watch -> answerChanges(watch.from(), watch.asker(), watch.index()));
        });
    }

    /** Returns the whole list as a party receives it, for that party's configuration. */
    public Future<ObjectNode> known(int asker) {
        return loop.submit(() -> list(asker, true, catalog.all()));
    }

    /** Returns the total size of all lists sent so far, in bytes. Safe to call from any thread. */
    public long listBytes() {
        return listBytes.get();
    }

    /** Stops listening. */
    public void close() {
        if (listening != null) {
            listening.close().awaitUninterruptibly();
        }
    }

    private ObjectNode list(int asker, boolean full, List<Catalog.Entry> entries) {
        ObjectNode list = JSON.createObjectNode().put("version", catalog.version()).put("full", full);
        ArrayNode servers = list.putArray("servers");
        for (Catalog.Entry entry : entries) {
            InetSocketAddress address = links.apply(asker, entry.party());
            servers.addObject().put("id", entry.id())
                    .put("addr", address.getAddress().getHostAddress() + ":" + address.getPort())
                    .put("zone", entry.zone()).put("kind", entry.kind()).put("cell", entry.cell())
                    .put("state", entry.state()).put("weight", entry.weight())
                    .put("started_ms", entry.startedMs());
        }
        return list;
    }

    private void answerChanges(ChannelHandlerContext to, int asker, long index) {
        boolean known = catalog.hasChangesSince(index);
        answerList(to, asker, !known, known ? catalog.changesSince(index) : catalog.all());
    }

    private void answerList(ChannelHandlerContext to, int asker, boolean full, List<Catalog.Entry> entries) {
        if (!to.channel().isActive()) {
            return;
        }
        String text = list(asker, full, entries).toString();
        listBytes.addAndGet(text.length());
        answer(to, HttpResponseStatus.OK, text);
        double now = clock.now();
        entries.forEach(entry -> history.accept(new Event.UpstreamNotified(now, names.get(asker), entry.id(),
                entry.state())));
    }

    private void answer(ChannelHandlerContext to, HttpResponseStatus status, String text) {
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
                Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
        response.headers().set("Content-Type", "application/json")
                .set("Content-Length", response.content().readableBytes());
        AnswerFault fault = faults.poll();
        double delayMs = pace.answerMs() + (fault == null ? 0 : fault.afterMs());
        if (delayMs == 0) {
            write(to, response, fault);
        } else {
            loop.schedule(() -> write(to, response, fault), (long) (delayMs * NANOS_PER_MS),
                    TimeUnit.NANOSECONDS);
        }
    }

    private void write(ChannelHandlerContext to, DefaultFullHttpResponse response, AnswerFault fault) {
        if (fault == null) {
            to.writeAndFlush(response);
            return;
        }
        int half = response.content().readableBytes() / 2;
        switch (fault.kind()) {
            case SILENT -> response.release();
            case HALF -> writePart(to, response, half);
            case ENDLESS -> {
                writePart(to, response, 1);
                writePieces(to, half);
            }
            case CUT -> writePart(to, response, half).addListener(written -> {
                to.channel().config().setOption(ChannelOption.SO_LINGER, 0);
                to.close();
            });
        }
    }

    /** Writes the headers and the first bytes of an answer's body. */
    private static ChannelFuture writePart(ChannelHandlerContext to, DefaultFullHttpResponse response,
            int bytes) {
        DefaultHttpResponse head = new DefaultHttpResponse(response.protocolVersion(), response.status(),
                response.headers());
        to.write(head);
        return to.writeAndFlush(new DefaultHttpContent(response.content().readSlice(bytes)));
    }

    private void writePieces(ChannelHandlerContext to, int left) {
        if (left > 0 && to.channel().isActive()) {
            to.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(new byte[] {' '})));
            loop.schedule(() -> writePieces(to, left - 1), BYTE_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Handles the calls of one connection. */
    private final class Calls extends SimpleChannelInboundHandler<FullHttpRequest> {

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            QueryStringDecoder uri = new QueryStringDecoder(request.uri());
            Integer asker = callerByAddress.get(
                    ((InetSocketAddress) ctx.channel().remoteAddress()).getAddress());
            if (!uri.path().equals("/catalog/members") || asker == null) {
                answer(ctx, HttpResponseStatus.NOT_FOUND, "{}");
                return;
            }
            double now = clock.now();
            if (busyUntil > now + pace.longestTurnMs()) {
                answer(ctx, HttpResponseStatus.SERVICE_UNAVAILABLE, "{}");
                return;
            }
            busyUntil = Math.max(busyUntil, now) + pace.callMs();
            String index = uri.parameters().getOrDefault("index", List.of("")).get(0);
            long wait = Long.parseLong(uri.parameters().getOrDefault("wait", List.of("0")).get(0));
            loop.schedule(() -> serve(ctx, asker, index, Math.min(wait, MAX_WATCH_MS)),
                    (long) ((busyUntil - now) * NANOS_PER_MS), TimeUnit.NANOSECONDS);
        }

        private void serve(ChannelHandlerContext ctx, int asker, String index, long wait) {
            if (index.isEmpty()) {
                answerList(ctx, asker, true, catalog.all());
                return;
            }
            long since = Long.parseLong(index);
            if (since != catalog.version() || wait == 0) {
                answerChanges(ctx, asker, since);
                return;
            }
            Watch watch = new Watch(ctx, asker, since);
            watches.add(watch);
            loop.schedule(() -> {
                if (watches.remove(watch)) {
                    answerChanges(ctx, asker, since);
                }
            }, wait, TimeUnit.MILLISECONDS);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            watches.removeIf(watch -> watch.from() == ctx);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
