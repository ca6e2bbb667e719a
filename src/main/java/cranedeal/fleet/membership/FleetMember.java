package cranedeal.fleet.membership;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;

/**
 * Runs a {@link Membership} over UDP and HTTP on its own event loop, so that it cannot delay the rest of the
 * process; members that share a process with nothing else may share a loop. While another process holds the
 * address, as during an upgrade, it retries to bind.
 */
public final class FleetMember {

    /** The HTTP path of a member's view. */
    public static final String VIEW_PATH = "/fleet/members";

    private static final Logger LOG = Logger.getLogger(FleetMember.class.getPackageName());
    private static final double NANOS_PER_MS = 1e6;
    private static final long REBIND_DELAY_MS = 100;
    private static final long METRICS_INTERVAL_MS = 500;
    private static final long PERSIST_INTERVAL_MS = 2_000;
    private static final int MAX_PERSISTED_MEMBERS = 200;
    private static final int RECEIVE_BUFFER_BYTES = 2_048;
    /** Log lines about members in a window; further ones are only counted. */
    private static final int MAX_LOG_LINES = 20;
    private static final long LOG_WINDOW_MS = 10_000;

    private final Config config;
    private final PeerStore peerStore;
    private final Codec codec;
    private final EventLoop loop;
    private final Executor diskExecutor;
    /** Shuts down what the member owns; shared resources belong to the caller. */
    private final Runnable releaseResources;
    private final List<Future<?>> periodicTasks = new ArrayList<>();
    private final MemberCalls calls;
    private final long startNanos = System.nanoTime();
    private Extension extension;
    private Membership membership;
    private Channel datagramChannel;
    private Channel serverChannel;
    private double nextTickAt = Double.POSITIVE_INFINITY;
    private boolean ended;
    private boolean waitLogged;
    private boolean persistDue;
    private int arrivalLines;
    private int departureLines;
    private int suppressedLines;
    private long datagramsSent;
    private long datagramsReceived;
    private long bytesSent;
    private long bytesReceived;
    private long dropped;
    private long foreign;
    private volatile Map<String, Long> metrics = Map.of();

    /**
     * The identity and addresses of a member.
     *
     * @param seed the random seed and instance number, which must differ in each process
     */
    public record Config(String fleet, String name, InetSocketAddress listen, InetSocketAddress advertise,
            List<InetSocketAddress> seeds, String role, String version, Settings settings, long seed) { }

    /**
     * Limits of HTTP calls.
     *
     * @param maxConnections that are open to it at a time
     * @param maxBodyBytes the largest body of a call
     * @param timeoutMs the timeout of a call
     */
    public record CallLimits(int maxConnections, int maxBodyBytes, long timeoutMs) {

        /** The default limits. */
        public static final CallLimits DEFAULTS = new CallLimits(16, 1 << 20, 2_000);
    }

    /** A member that has not started, on a loop and a disk's thread of its own. */
    public FleetMember(Config config, PeerStore peerStore) {
        this(config, peerStore, CallLimits.DEFAULTS);
    }

    /** The same with other limits. */
    public FleetMember(Config config, PeerStore peerStore, CallLimits limits) {
        this(config, peerStore, limits, (EventLoop) new MultiThreadIoEventLoopGroup(1,
                new DefaultThreadFactory("member", true), NioIoHandler.newFactory()).next(),
                Executors.newSingleThreadExecutor(new DefaultThreadFactory("member-disk", true)));
    }

    private FleetMember(Config config, PeerStore peerStore, CallLimits limits, EventLoop loop,
            ExecutorService diskExecutor) {
        this(config, peerStore, limits, loop, diskExecutor, diskExecutor::shutdown);
    }

    /**
     * A member that has not started, beside others of its process on one loop. Neither that nor what writes
     * to the disk ends with it.
     */
    public FleetMember(Config config, PeerStore peerStore, EventLoop loop, Executor diskExecutor) {
        this(config, peerStore, CallLimits.DEFAULTS, loop, diskExecutor, () -> { });
    }

    private FleetMember(Config config, PeerStore peerStore, CallLimits limits, EventLoop loop,
            Executor diskExecutor,
            Runnable releaseResources) {
        this.config = config;
        this.peerStore = peerStore;
        this.loop = loop;
        this.diskExecutor = diskExecutor;
        this.releaseResources = releaseResources;
        codec = new Codec(config.fleet());
        calls = new MemberCalls(this, loop, limits);
    }

    /** Sets the extension; call before {@link #start}. */
    public void setExtension(Extension address) {
        extension = address;
    }

    Extension extension() {
        return extension;
    }

    /** The event loop on which the member runs. */
    public EventExecutor loop() {
        return loop;
    }

    /** The configuration of this member. */
    public Config config() {
        return config;
    }

    /** Announces this configuration version from now on; call on the loop. No effect before the start. */
    public void advertise(VersionNotice notice) {
        if (membership != null && !ended) {
            membership.advertise(now(), notice);
            scheduleTick();
        }
    }

    /** The present members of a role; call on the loop. */
    public List<Member> presentMembers(String role) {
        return membership == null ? List.of()
                : membership.memberStatuses(now()).stream().map(Membership.MemberStatus::member)
                .filter(member -> member.role().equals(role) && member.state().isPresent()).toList();
    }

    /**
     * Calls another process of the fleet; from any thread. Fails with an {@link IOException} if no answer
     * comes in time.
     */
    public CompletableFuture<CallReply> call(InetSocketAddress to, String method, String uri, byte[] body) {
        CompletableFuture<CallReply> reply = new CompletableFuture<>();
        loop.execute(() -> calls.call(to, method, uri, body, reply));
        return reply;
    }

    /** Starts the member asynchronously. */
    public void start() {
        loop.execute(() -> {
            if (extension != null) {
                extension.starting();
            }
            schedulePeriodic(this::publishMetrics, 0, METRICS_INTERVAL_MS);
            schedulePeriodic(this::persist, PERSIST_INTERVAL_MS, PERSIST_INTERVAL_MS);
            schedulePeriodic(this::logSuppressedLines, LOG_WINDOW_MS, LOG_WINDOW_MS);
            bind();
        });
    }

    private void schedulePeriodic(Runnable task, long firstMs, long everyMs) {
        if (!ended) {
            periodicTasks.add(loop.scheduleAtFixedRate(task, firstMs, everyMs, TimeUnit.MILLISECONDS));
        }
    }

    /** Stops without announcing it, as another process continues as this member; frees the address. */
    public void handOver() {
        end(() -> membership.stop());
    }

    /** Announces that it leaves, and stops. */
    public void leave() {
        end(() -> membership.leave(now()));
    }

    private void end(Runnable finalAction) {
        loop.submit(() -> {
            if (!ended && membership != null) {
                finalAction.run();
            }
            ended = true;
            // On a shared loop they would run forever.
            periodicTasks.forEach(task -> task.cancel(false));
            closeChannels();
        }).awaitUninterruptibly(1, TimeUnit.SECONDS);
        releaseResources.run();
    }

    /** The metric values by name, at most half a second old. */
    public Map<String, Long> metrics() {
        return metrics;
    }

    /** Monotonic time in milliseconds since an arbitrary origin. */
    public double now() {
        return (System.nanoTime() - startNanos) / NANOS_PER_MS;
    }

    // ---- Start -------------------------------------------------------------------------------------

    private void bind() {
        if (ended) {
            return;
        }
        ChannelFuture udp = new Bootstrap().group(loop).channel(NioDatagramChannel.class)
                .option(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(RECEIVE_BUFFER_BYTES))
                .handler(new DatagramHandler()).bind(config.listen());
        udp.addListener(done -> {
            if (!done.isSuccess()) {
                scheduleRebind(done.cause());
                return;
            }
            datagramChannel = udp.channel();
            ChannelFuture tcp = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                    .option(ChannelOption.SO_REUSEADDR, true)
                    .childOption(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
                    .childHandler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            calls.accept(channel);
                        }
                    }).bind(config.listen());
            tcp.addListener(bound -> {
                serverChannel = tcp.channel();
                if (ended) {
                    // It was stopped while it was binding.
                    closeChannels();
                } else if (bound.isSuccess()) {
                    diskExecutor.execute(this::startMembership);
                } else {
                    closeChannels();
                    scheduleRebind(bound.cause());
                }
            });
        });
    }

    private void scheduleRebind(Throwable cause) {
        if (!waitLogged) {
            waitLogged = true;
            LOG.info("waits for " + Codec.formatAddress(config.listen()) + " to be a member of "
                    + config.fleet()
                    + ": " + cause.getMessage());
        }
        loop.schedule(this::bind, REBIND_DELAY_MS, TimeUnit.MILLISECONDS);
    }

    private void closeChannels() {
        if (datagramChannel != null) {
            datagramChannel.close();
        }
        if (serverChannel != null) {
            serverChannel.close();
        }
    }

    /** Runs on the disk thread. */
    private void startMembership() {
        List<Member> known = List.of();
        try {
            byte[] persisted = peerStore.read();
            known = persisted == null ? known : codec.decodeMembers(persisted);
        } catch (IOException | RuntimeException e) {
            LOG.warning("cannot read the stored members, so only seeds are contacted: " + e.getMessage());
        }
        List<Member> before = known;
        loop.execute(() -> startMembership(before));
    }

    private void startMembership(List<Member> before) {
        if (ended) {
            return;
        }
        long incarnation = 1 + before.stream().filter(member -> member.name().equals(config.name()))
                .mapToLong(Member::incarnation).max().orElse(0);
        membership = new Membership(new Member(config.name(), config.advertise(), config.seed(),
                Math.min(incarnation, Member.MAX_INCARNATION / 2), State.ALIVE, config.role(),
                config.version()), config.fleet(), config.settings(), config.seed(), new MembershipActions());
        membership.start(now(), config.seeds(), before);
        LOG.info("is " + config.name() + " of the fleet " + config.fleet() + " at "
                + Codec.formatAddress(config.advertise()));
        scheduleTick();
        if (extension != null) {
            extension.started();
        }
    }

    // ---- Events ------------------------------------------------------------------------------------

    /** Schedules the next tick of the membership. */
    private void scheduleTick() {
        double next = membership.wakeAt();
        if (!ended && next < nextTickAt) {
            nextTickAt = next;
            loop.schedule(this::tick, Math.max(0, (long) ((next - now()) * NANOS_PER_MS)),
                    TimeUnit.NANOSECONDS);
        }
    }

    private void tick() {
        nextTickAt = Double.POSITIVE_INFINITY;
        if (!ended) {
            membership.tick(now());
            scheduleTick();
        }
    }

    private final class DatagramHandler extends SimpleChannelInboundHandler<DatagramPacket> {

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            ByteBuf content = packet.content();
            datagramsReceived++;
            bytesReceived += content.readableBytes();
            if (membership == null || ended) {
                return;
            }
            if (content.readableBytes() > Codec.MAX_DATAGRAM_BYTES) {
                dropped++;
                return;
            }
            try {
                membership.received(now(), packet.sender(), codec.decode(ByteBufUtil.getBytes(content)));
                scheduleTick();
            } catch (Codec.ForeignException e) {
                if (foreign++ == 0) {
                    LOG.warning("a datagram from " + packet.sender() + " is " + e.getMessage()
                            + "; such ones are counted and dropped");
                }
            } catch (IOException e) {
                dropped++;
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // The kernel reports a closed port; treated as a lost datagram.
        }
    }

    private final class MembershipActions implements Actions {

        @Override
        public void send(InetSocketAddress to, Message message) {
            try {
                byte[] bytes = codec.encode(message);
                datagramsSent++;
                bytesSent += bytes.length;
                datagramChannel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), to));
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }

        @Override
        public void sync(InetSocketAddress address) {
            calls.sync(address);
        }

        @Override
        public void memberChanged(Member before, Member now) {
            if (before == null || now == null || before.state() != now.state()) {
                persistDue = true;
                boolean suspicion = now != null && before != null && before.state().isPresent()
                        && now.state().isPresent();
                if (!suspicion) {
                    logMemberChange(now == null ? before.name() + " is forgotten" : now.name() + " at "
                            + Codec.formatAddress(now.address()) + " is " + now.state().label(),
                            now != null && now.state().isPresent());
                }
            }
        }

        @Override
        public void isolationChanged(boolean isIsolated) {
            if (isIsolated) {
                LOG.warning("is isolated: reaches less than half of the members it knows; serves on, and"
                        + " starts nothing new");
            } else {
                LOG.info("is no longer isolated");
            }
        }

        @Override
        public void noticeReceived(Member from, VersionNotice notice) {
            if (extension != null) {
                extension.noticeReceived(from, notice);
            }
        }

        @Override
        public void superseded(Member successor) {
            LOG.warning("another process, at " + Codec.formatAddress(successor.address()) + ", has the name "
                    + successor.name()
                    + " now; this one is a member no longer, and serves on");
        }
    }

    /** Counts arrivals and departures separately, so that arrivals cannot use up the limit of departures. */
    private void logMemberChange(String line, boolean comes) {
        if ((comes ? arrivalLines++ : departureLines++) < MAX_LOG_LINES) {
            LOG.info(line);
        } else {
            suppressedLines++;
        }
    }

    private void logSuppressedLines() {
        arrivalLines = 0;
        departureLines = 0;
        if (suppressedLines > 0) {
            LOG.info("and " + suppressedLines + " further member changes");
            suppressedLines = 0;
        }
    }

    // ---- What is kept, shown and exchanged ---------------------------------------------------------

    private void persist() {
        if (!persistDue || ended || membership == null) {
            return;
        }
        persistDue = false;
        List<Member> persisted = new ArrayList<>();
        for (Member member : membership.members()) {
            if (member.state().isPresent() && persisted.size() < MAX_PERSISTED_MEMBERS) {
                persisted.add(member);
            }
        }
        diskExecutor.execute(() -> {
            try {
                peerStore.write(codec.encode(persisted));
            } catch (IOException | RuntimeException e) {
                LOG.warning("cannot store the known members: " + e.getMessage());
            }
        });
    }

    private void publishMetrics() {
        Map<String, Long> now = new LinkedHashMap<>();
        if (membership != null) {
            Membership.Stats stats = membership.stats();
            now.put("fleet.members", (long) stats.members());
            now.put("fleet.suspect", (long) stats.suspects());
            now.put("fleet.faulty", (long) stats.faulty());
            now.put("fleet.agreeing", (long) stats.agreeing());
            now.put("fleet.isolated", stats.isolated() ? 1L : 0L);
            now.put("fleet.health", (long) stats.health());
            now.put("fleet.refused", stats.refused());
        }
        now.put("fleet.datagrams_sent", datagramsSent);
        now.put("fleet.datagrams_received", datagramsReceived);
        now.put("fleet.bytes_sent", bytesSent);
        now.put("fleet.bytes_received", bytesReceived);
        now.put("fleet.dropped", dropped);
        now.put("fleet.foreign", foreign);
        now.put("fleet.syncs", calls.syncs());
        now.put("fleet.calls_refused", calls.refused());
        if (extension != null) {
            now.putAll(extension.metrics());
        }
        now.put("fleet.call_bytes_sent", calls.bytesSent());
        now.put("fleet.call_bytes_received", calls.bytesReceived());
        metrics = now;
    }

    /** The view for operators; null before the start. */
    ObjectNode viewJson() {
        if (membership == null || ended) {
            return null;
        }
        ObjectNode view = Codec.JSON.createObjectNode().put("fleet", config.fleet())
                .put("name", config.name()).put("digest", Long.toHexString(membership.digest()))
                .put("isolated", membership.isIsolated());
        var members = view.putArray("members");
        addMember(members.addObject(), new Membership.MemberStatus(membership.self(), now(), 0));
        membership.memberStatuses(now()).forEach(seen -> addMember(members.addObject(), seen));
        return view;
    }

    private static void addMember(ObjectNode to, Membership.MemberStatus seen) {
        Member member = seen.member();
        to.put("name", member.name()).put("address", Codec.formatAddress(member.address())).put("role",
                member.role())
                .put("version", member.version()).put("incarnation", member.incarnation())
                .put("instance", Long.toHexString(member.instance()))
                .put("state", member.state().label())
                .put("since_ms", Math.round(seen.sinceMs())).put("differs_ms", Math.round(seen.differsMs()));
    }

    /** All known members for a full exchange; null before the start. */
    byte[] encodeMembers() throws IOException {
        return membership == null || ended ? null : codec.encode(membership.members());
    }

    /** Merges another member's encoded view. */
    void merge(byte[] encodedMembers) throws IOException {
        List<Member> members = codec.decodeMembers(encodedMembers);
        if (membership != null && !ended) {
            membership.merge(now(), members);
            scheduleTick();
        }
    }

    InetSocketAddress listenAddress() {
        return config.listen();
    }
}
