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
 * Runs a {@link Membership} on datagrams and HTTP, on a loop of its own, so that neither it nor what it waits
 * for can keep the rest of the process waiting; members that have a process to themselves may share a loop.
 * While another process holds its address, as in an upgrade, it waits for that.
 */
public final class FleetMember {

    /** What a member's view is asked for by, over HTTP. */
    public static final String VIEW_PATH = "/fleet/members";

    private static final Logger LOG = Logger.getLogger(FleetMember.class.getPackageName());
    private static final double NANOS_PER_MS = 1e6;
    private static final long BIND_AGAIN_MS = 100;
    private static final long PUBLISH_MS = 500;
    private static final long PERSIST_MS = 2_000;
    private static final int MOST_KEPT = 200;
    private static final int RECEIVED_AT_MOST = 2_048;
    /** Log lines on members in a while; beyond that they are only counted. */
    private static final int MOST_LINES = 20;
    private static final long LINES_MS = 10_000;

    private final Config config;
    private final PeerStore book;
    private final Codec codec;
    private final EventLoop loop;
    private final Executor disk;
    /** What ends once the member has; shared ones are the caller's. */
    private final Runnable release;
    private final List<Future<?>> repeated = new ArrayList<>();
    private final MemberCalls calls;
    private final long origin = System.nanoTime();
    private Extension extension;
    private Membership core;
    private Channel datagrams;
    private Channel listening;
    private double armedFor = Double.POSITIVE_INFINITY;
    private boolean ended;
    private boolean toldWaiting;
    private boolean persistDue;
    private int arrivals;
    private int departures;
    private int untold;
    private long sent;
    private long received;
    private long bytesSent;
    private long bytesReceived;
    private long dropped;
    private long foreign;
    private volatile Map<String, Long> figures = Map.of();

    /**
     * What a member is, and where.
     *
     * @param seed of whatever is drawn, which must be another one in each process
     */
    public record Config(String fleet, String name, InetSocketAddress listen, InetSocketAddress advertise,
            List<InetSocketAddress> seeds, String role, String version, Settings settings, long seed) { }

    /**
     * What a member spends on calls.
     *
     * @param connections that are open to it at a time
     * @param bodyBytes the largest body of a call
     * @param patienceMs how long a call takes at most
     */
    public record CallLimits(int connections, int bodyBytes, long patienceMs) {

        /** Usual limits. */
        public static final CallLimits DEFAULTS = new CallLimits(16, 1 << 20, 2_000);
    }

    /** A member that has not started, on a loop and a disk's thread of its own. */
    public FleetMember(Config config, PeerStore book) {
        this(config, book, CallLimits.DEFAULTS);
    }

    /** The same with other limits. */
    public FleetMember(Config config, PeerStore book, CallLimits limits) {
        this(config, book, limits, (EventLoop) new MultiThreadIoEventLoopGroup(1,
                new DefaultThreadFactory("member", true), NioIoHandler.newFactory()).next(),
                Executors.newSingleThreadExecutor(new DefaultThreadFactory("member-disk", true)));
    }

    private FleetMember(Config config, PeerStore book, CallLimits limits, EventLoop loop,
            ExecutorService disk) {
        this(config, book, limits, loop, disk, disk::shutdown);
    }

    /**
     * A member that has not started, beside others of its process on one loop. Neither that nor what writes
     * to the disk ends with it.
     */
    public FleetMember(Config config, PeerStore book, EventLoop loop, Executor disk) {
        this(config, book, CallLimits.DEFAULTS, loop, disk, () -> { });
    }

    private FleetMember(Config config, PeerStore book, CallLimits limits, EventLoop loop, Executor disk,
            Runnable release) {
        this.config = config;
        this.book = book;
        this.loop = loop;
        this.disk = disk;
        this.release = release;
        codec = new Codec(config.fleet());
        calls = new MemberCalls(this, loop, limits);
    }

    /** Lets it do more than membership; before it starts. */
    public void extend(Extension with) {
        extension = with;
    }

    Extension extension() {
        return extension;
    }

    /** The loop on which all of it runs. */
    public EventExecutor loop() {
        return loop;
    }

    /** The configuration of this member. */
    public Config config() {
        return config;
    }

    /** Tells of the configuration that this member has, from now on; on its loop, once it has begun. */
    public void advertise(VersionNotice notice) {
        if (core != null && !ended) {
            core.advertise(now(), notice);
            arm();
        }
    }

    /** Those of a role that are present in its view; on its loop. */
    public List<Member> presentMembers(String role) {
        return core == null ? List.of() : core.seen(now()).stream().map(Membership.Seen::member)
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

    /** Starts it; what it takes goes on after this returns. */
    public void start() {
        loop.execute(() -> {
            if (extension != null) {
                extension.starting();
            }
            repeat(this::publish, 0, PUBLISH_MS);
            repeat(this::persist, PERSIST_MS, PERSIST_MS);
            repeat(this::tellUntold, LINES_MS, LINES_MS);
            bind();
        });
    }

    private void repeat(Runnable task, long firstMs, long everyMs) {
        if (!ended) {
            repeated.add(loop.scheduleAtFixedRate(task, firstMs, everyMs, TimeUnit.MILLISECONDS));
        }
    }

    /** Goes without a word, as another process goes on as this member; returns once the address is free. */
    public void handOver() {
        end(() -> core.stop());
    }

    /** Tells the others that it leaves, and goes. */
    public void leave() {
        end(() -> core.leave(now()));
    }

    private void end(Runnable last) {
        loop.submit(() -> {
            if (!ended && core != null) {
                last.run();
            }
            ended = true;
            // On a loop that others share they would go on for ever.
            repeated.forEach(task -> task.cancel(false));
            closeChannels();
        }).awaitUninterruptibly(1, TimeUnit.SECONDS);
        release.run();
    }

    /** The figures by their names, at most half a second old. */
    public Map<String, Long> metrics() {
        return figures;
    }

    /** Milliseconds since some moment of this process. */
    public double now() {
        return (System.nanoTime() - origin) / NANOS_PER_MS;
    }

    // ---- Start -------------------------------------------------------------------------------------

    private void bind() {
        if (ended) {
            return;
        }
        ChannelFuture udp = new Bootstrap().group(loop).channel(NioDatagramChannel.class)
                .option(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(RECEIVED_AT_MOST))
                .handler(new Arrivals()).bind(config.listen());
        udp.addListener(done -> {
            if (!done.isSuccess()) {
                bindAgain(done.cause());
                return;
            }
            datagrams = udp.channel();
            ChannelFuture tcp = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                    .option(ChannelOption.SO_REUSEADDR, true)
                    .childOption(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
                    .childHandler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            calls.accepted(channel);
                        }
                    }).bind(config.listen());
            tcp.addListener(bound -> {
                listening = tcp.channel();
                if (ended) {
                    // It was told to go while it took its address.
                    closeChannels();
                } else if (bound.isSuccess()) {
                    disk.execute(this::begin);
                } else {
                    closeChannels();
                    bindAgain(bound.cause());
                }
            });
        });
    }

    private void bindAgain(Throwable why) {
        if (!toldWaiting) {
            toldWaiting = true;
            LOG.info("waits for " + Codec.text(config.listen()) + " to be a member of " + config.fleet()
                    + ": " + why.getMessage());
        }
        loop.schedule(this::bind, BIND_AGAIN_MS, TimeUnit.MILLISECONDS);
    }

    private void closeChannels() {
        if (datagrams != null) {
            datagrams.close();
        }
        if (listening != null) {
            listening.close();
        }
    }

    /** On the disk's thread. */
    private void begin() {
        List<Member> known = List.of();
        try {
            byte[] kept = book.read();
            known = kept == null ? known : codec.decodeMembers(kept);
        } catch (IOException | RuntimeException e) {
            LOG.warning("the members of before can't be read, so only seeds are tried: " + e.getMessage());
        }
        List<Member> before = known;
        loop.execute(() -> begin(before));
    }

    private void begin(List<Member> before) {
        if (ended) {
            return;
        }
        long incarnation = 1 + before.stream().filter(member -> member.name().equals(config.name()))
                .mapToLong(Member::incarnation).max().orElse(0);
        core = new Membership(new Member(config.name(), config.advertise(), config.seed(),
                Math.min(incarnation, Member.MAX_INCARNATION / 2), State.ALIVE, config.role(),
                config.version()), config.fleet(), config.settings(), config.seed(), new Sending());
        core.start(now(), config.seeds(), before);
        LOG.info("is " + config.name() + " of the fleet " + config.fleet() + " at "
                + Codec.text(config.advertise()));
        arm();
        if (extension != null) {
            extension.started();
        }
    }

    // ---- Events ------------------------------------------------------------------------------------

    /** Sees to it that the core is woken when it wants to be. */
    private void arm() {
        double next = core.wakeAt();
        if (!ended && next < armedFor) {
            armedFor = next;
            loop.schedule(this::tick, Math.max(0, (long) ((next - now()) * NANOS_PER_MS)),
                    TimeUnit.NANOSECONDS);
        }
    }

    private void tick() {
        armedFor = Double.POSITIVE_INFINITY;
        if (!ended) {
            core.tick(now());
            arm();
        }
    }

    private final class Arrivals extends SimpleChannelInboundHandler<DatagramPacket> {

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            ByteBuf content = packet.content();
            received++;
            bytesReceived += content.readableBytes();
            if (core == null || ended) {
                return;
            }
            if (content.readableBytes() > Codec.LARGEST) {
                dropped++;
                return;
            }
            try {
                core.received(now(), packet.sender(), codec.decode(ByteBufUtil.getBytes(content)));
                arm();
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
            // A port where nobody listens is told by the kernel, and is no more than a lost datagram.
        }
    }

    private final class Sending implements Actions {

        @Override
        public void send(InetSocketAddress to, Message message) {
            try {
                byte[] bytes = codec.encode(message);
                sent++;
                bytesSent += bytes.length;
                datagrams.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), to));
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }

        @Override
        public void sync(InetSocketAddress with) {
            calls.sync(with);
        }

        @Override
        public void memberChanged(Member before, Member now) {
            if (before == null || now == null || before.state() != now.state()) {
                persistDue = true;
                boolean suspicion = now != null && before != null && before.state().isPresent()
                        && now.state().isPresent();
                if (!suspicion) {
                    tell(now == null ? before.name() + " is forgotten" : now.name() + " at "
                            + Codec.text(now.address()) + " is " + now.state().word(),
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
                LOG.info("is isolated no longer");
            }
        }

        @Override
        public void noticeReceived(Member from, VersionNotice notice) {
            if (extension != null) {
                extension.noticeReceived(from, notice);
            }
        }

        @Override
        public void superseded(Member by) {
            LOG.warning("another process, at " + Codec.text(by.address()) + ", has the name " + by.name()
                    + " now; this one is a member no longer, and serves on");
        }
    }

    /** Who comes must not use up the room for who goes. */
    private void tell(String line, boolean comes) {
        if ((comes ? arrivals++ : departures++) < MOST_LINES) {
            LOG.info(line);
        } else {
            untold++;
        }
    }

    private void tellUntold() {
        arrivals = 0;
        departures = 0;
        if (untold > 0) {
            LOG.info("and " + untold + " further changes of members");
            untold = 0;
        }
    }

    // ---- What is kept, shown and exchanged ---------------------------------------------------------

    private void persist() {
        if (!persistDue || ended || core == null) {
            return;
        }
        persistDue = false;
        List<Member> kept = new ArrayList<>();
        for (Member member : core.members()) {
            if (member.state().isPresent() && kept.size() < MOST_KEPT) {
                kept.add(member);
            }
        }
        disk.execute(() -> {
            try {
                book.write(codec.encode(kept));
            } catch (IOException | RuntimeException e) {
                LOG.warning("the known members can't be kept: " + e.getMessage());
            }
        });
    }

    private void publish() {
        Map<String, Long> now = new LinkedHashMap<>();
        if (core != null) {
            Membership.Stats of = core.stats();
            now.put("fleet.members", (long) of.members());
            now.put("fleet.suspect", (long) of.suspects());
            now.put("fleet.faulty", (long) of.faulty());
            now.put("fleet.agreeing", (long) of.agreeing());
            now.put("fleet.isolated", of.isolated() ? 1L : 0L);
            now.put("fleet.health", (long) of.health());
            now.put("fleet.refused", of.refused());
        }
        now.put("fleet.datagrams_sent", sent);
        now.put("fleet.datagrams_received", received);
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
        figures = now;
    }

    /** The view, for operators; null before it has begun. */
    ObjectNode view() {
        if (core == null || ended) {
            return null;
        }
        ObjectNode view = Codec.JSON.createObjectNode().put("fleet", config.fleet())
                .put("name", config.name()).put("digest", Long.toHexString(core.digest()))
                .put("isolated", core.isIsolated());
        var members = view.putArray("members");
        add(members.addObject(), new Membership.Seen(core.self(), now(), 0));
        core.seen(now()).forEach(seen -> add(members.addObject(), seen));
        return view;
    }

    private static void add(ObjectNode to, Membership.Seen seen) {
        Member member = seen.member();
        to.put("name", member.name()).put("address", Codec.text(member.address())).put("role", member.role())
                .put("version", member.version()).put("incarnation", member.incarnation())
                .put("instance", Long.toHexString(member.instance()))
                .put("state", member.state().word())
                .put("since_ms", Math.round(seen.sinceMs())).put("differs_ms", Math.round(seen.differsMs()));
    }

    /** All that is known, for a full exchange; null before it has begun. */
    byte[] known() throws IOException {
        return core == null || ended ? null : codec.encode(core.members());
    }

    /** Takes what another member knows. */
    void merge(byte[] theirs) throws IOException {
        List<Member> members = codec.decodeMembers(theirs);
        if (core != null && !ended) {
            core.merge(now(), members);
            arm();
        }
    }

    InetSocketAddress own() {
        return config.listen();
    }
}
