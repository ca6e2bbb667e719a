package cranedeal.node;

import com.fasterxml.jackson.databind.JsonNode;
import cranedeal.LatencyWeightedBalancer;
import cranedeal.LoadBalancer;
import cranedeal.LoadBalancer.Change;
import cranedeal.LoadBalancer.Outcome;
import cranedeal.LoadBalancer.ReportMode;
import cranedeal.LoadBalancer.Request;
import cranedeal.LoadBalancer.Result;
import cranedeal.LoadBalancer.ServiceClass;
import cranedeal.LoadBalancer.Upstream;
import cranedeal.node.discovery.CallEnd;
import cranedeal.node.discovery.DiscoveryClient;
import cranedeal.node.discovery.StartTimes;
import cranedeal.node.discovery.UpstreamList;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.DefaultEventExecutor;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.channels.FileLock;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * One balancer: owns the decision module, tells it what happens on the sockets and carries out what it asks
 * for. It decides nothing itself. All of it runs on one event loop thread, so nothing is locked.
 */
final class Node implements LoadBalancer.Actions, AdminEndpoint.Operations {

    static final Logger LOG = Logger.getLogger("sablehinge");
    /** Netty's pool of direct memory: one arena, as there is one thread, in chunks of 512 KiB. */
    private static final int PAGE = 8_192;
    private static final int CHUNK_ORDER = 6;
    private static final int CACHED = 32;
    /** How long new connections may still come after SIGTERM, with time to spare. */
    private static final long LATE_CONNECTIONS_MS = 550;
    private static final long DRAIN_CHECK_MS = 10;
    /** How often to look what another process of this balancer does. */
    private static final long LOOK_AROUND_MS = 250;
    private static final long LARGE_CHECK_MS = 1_000;
    private static final double TELL_EVERY_MS = 10_000;
    /** How many upstreams are remembered as listed at some time. */
    private static final int MOST_KNOWN = 10_000;
    /** SIGKILL comes no sooner than the longest deadline, 3 s at most, and 0.7 s more: less is used of it. */
    private static final double LONGEST_DRAIN_MS = 3_000;
    private static final double DRAIN_SLACK_MS = 400;
    /**
     * How long after that the last answers may take to go out and their connections to end in order. As much
     * is left then until SIGKILL may come, since a process may be held up for 150 ms.
     */
    private static final double LAST_WORDS_MS = 150;
    /** How long before that callers are sent away: what comes until then still has time to be served. */
    private static final double SEND_AWAY_MS = 1_200;

    private volatile NodeConfig config;
    private final EventLoop loop;
    /** The processes of an upgrade; null where there are none. */
    private final ProcessHandover succession;
    private final Clock clock;
    private final LoopMonitor monitor;
    private final LoadBalancer balancer;
    private final UpstreamClient upstreams;
    private final DiscoveryClient discovery;
    private final Frontend frontend;
    private final SocketBudget sockets;
    private final NodeMetrics figures = new NodeMetrics();
    /** The operators' door; null if the configuration names none. */
    private final AdminEndpoint door;
    private volatile boolean serving;
    private volatile boolean draining;
    /** Where what operators want is kept on disk; null if the configuration names no folder for it. */
    private final OverrideStore book;
    /** Keeps what the module learns for the next process; null if there is no folder for it. */
    private final WarmStateSaver keeper;
    /** Its place among the members of a fleet; null if it is of none. */
    private volatile MembershipHandle presence;
    /** What the fleet has published for this balancer's service; null if nothing is in force. */
    private JsonNode published;
    /** What operators want. */
    private OperatorOverrides orders = OperatorOverrides.NONE;
    /** Where the orders are kept, with {@link #succession}. */
    private final Path folder;
    /** Whether another process of this balancer lived at the last look. */
    private boolean hadOther;
    /** When it was last told that this could not be seen. */
    private volatile double unknownToldAt = Double.NEGATIVE_INFINITY;
    private final StartTimes startTimes = new StartTimes();
    /** The upstreams that were ever listed, those of late. */
    private final Map<Long, Boolean> everListed = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
            return size() > MOST_KNOWN;
        }
    };
    /** Closes what becomes idle while operators drain this balancer; null while they don't. */
    private Future<?> handDrain;
    /** Whether SIGTERM has come. */
    private boolean ending;
    private final Map<Long, Exchange> exchanges = new HashMap<>();
    private final ArrayDeque<Event> events = new ArrayDeque<>();
    private long lastId;
    private boolean deciding;
    /** The request that the module's present call is about, if it is about one. */
    private Exchange subject;

    /** Something to tell the module, and the request that it is about or null. */
    private record Event(Exchange about, Runnable call) { }

    private Node(NodeConfig config, EventLoop loop, Clock clock, LoopMonitor monitor,
            ProcessHandover succession, Path folder, OverrideStore book,
            Function<LoadBalancer.Actions, LoadBalancer> module) {
        this.config = config;
        this.loop = loop;
        this.clock = clock;
        this.monitor = monitor;
        this.succession = succession;
        this.folder = folder;
        this.book = book;
        keeper = config.stateDir() == null ? null
                : new WarmStateSaver(new WarmStateFile(config.stateDir()), clock);
        PooledByteBufAllocator memory = new PooledByteBufAllocator(true, 0, 1, PAGE, CHUNK_ORDER, CACHED,
                CACHED, false);
        sockets = new SocketBudget(config.maxDescriptors()
                - (config.admin() == null ? 0 : AdminEndpoint.DESCRIPTORS)
                - (config.fleet() == null ? 0 : MembershipHandle.DESCRIPTORS));
        balancer = module.apply(this);
        upstreams = new UpstreamClient(loop, clock, monitor::lag, config.settings(), sockets, figures,
                memory);
        discovery = new DiscoveryClient(loop, clock::now, config.discoveryOptions(), this::parseList, memory,
                new ListUpdates());
        frontend = new Frontend(loop, config, sockets, memory, this, figures, monitor, clock);
        figures.registerClasses(config.classes());
        door = config.admin() == null ? null : new AdminEndpoint(this, loop);
    }

    /**
     * Starts a balancer.
     *
     * @param folder what the processes of an upgrade share; null where there are no upgrades
     */
    static Node start(NodeConfig config, Path folder) throws ConfigException, InterruptedException {
        return start(config, folder, LatencyWeightedBalancer::new);
    }

    /** Starts a balancer with the given module; it serves once this returns. */
    static Node start(NodeConfig config, Path folder, Function<LoadBalancer.Actions, LoadBalancer> module)
            throws ConfigException, InterruptedException {
        Clock clock = new Clock();
        LoopMonitor[] monitor = new LoopMonitor[1];
        EventLoop loop = (EventLoop) new MultiThreadIoEventLoopGroup(1,
                new DefaultThreadFactory("node", true), LoopMonitor.wrap(NioIoHandler.newFactory(),
                        clock::now, made -> monitor[0] = made)).next();
        ProcessHandover succession = folder == null || config.admin() == null ? null : join(folder);
        OverrideStore book = config.stateDir() == null ? null
                : Fleet.overrideStore(config.stateDir(), folder);
        Node node = new Node(config, loop, clock, monitor[0], succession, folder, book,
                module);
        if (node.door != null) {
            node.door.bind(config.admin());
        }
        OperatorOverrides kept = book == null ? OperatorOverrides.NONE : node.kept();
        WarmStateFile.Snapshot learnt = node.keeper == null ? null : node.keeper.read();
        loop.submit(() -> node.begin(kept, learnt)).sync();
        node.frontend.bind(succession != null);
        node.serving = true;
        if (succession != null) {
            node.inSuccession(ProcessHandover::markServing);
        }
        if (config.fleet() != null) {
            node.presence = Fleet.join(config, node::applyPublished);
        }
        return node;
    }

    /** What is kept from before; a disk that can't tell stops no balancer, but is no secret either. */
    private OperatorOverrides kept() {
        try {
            OperatorOverrides kept = book.read();
            figures.overridesKnown(true);
            return kept;
        } catch (IOException | RuntimeException e) {
            LOG.severe("serves without the orders of before: " + e.getMessage());
            figures.overridesKnown(false);
            return OperatorOverrides.NONE;
        }
    }

    private static ProcessHandover join(Path folder) {
        try {
            return ProcessHandover.join(folder);
        } catch (IOException e) {
            LOG.warning("no upgrade of this process is possible: " + e);
            return null;
        }
    }

    /** Something to ask or to tell the other process of this balancer. */
    private interface SuccessionCall {
        void in(ProcessHandover succession) throws IOException;
    }

    private void inSuccession(SuccessionCall call) {
        try {
            call.in(succession);
        } catch (IOException e) {
            unknown("another process of this balancer", e);
        }
    }

    private void unknown(String of, Exception why) {
        double now = clock.now();
        if (now >= unknownToldAt + TELL_EVERY_MS) {
            LOG.warning("nothing is known of " + of + ": " + why);
            unknownToldAt = now;
        }
    }

    private void begin(OperatorOverrides kept, WarmStateFile.Snapshot learnt) {
        UpstreamList known = new UpstreamList(config.knownUpstreams().version(), true,
                config.knownUpstreams().members());
        upstreams.update(known);
        discovery.setPushed(!config.settings().subscribe());
        tell(null, () -> balancer.start(clock.now(), config.settings(), config.seed()));
        if (learnt != null) {
            tell(null, () -> keeper.recall(learnt, balancer));
        }
        tell(null, () -> listChanged(Change.CACHED, entries(known)));
        known.members().forEach(member -> everListed.put(member.upstream().id(), true));
        obey(kept, kept.reloads());
        if (succession != null) {
            hadOther = true;
            lookAround();
            loop.scheduleAtFixedRate(this::lookAround, LOOK_AROUND_MS, LOOK_AROUND_MS, TimeUnit.MILLISECONDS);
        }
        if (keeper != null) {
            Executor writer = door != null ? door.loop()
                    : new DefaultEventExecutor(new DefaultThreadFactory("keeper", true));
            keeper.keep(loop, writer, this::learnt, () -> !hasSuccessor());
        }
    }

    private LoadBalancer.WarmState learnt() {
        try {
            return balancer.warmState(clock.now());
        } catch (RuntimeException e) {
            broken(null, e);
            return LoadBalancer.WarmState.EMPTY;
        }
    }

    /** Whether a later process of this balancer serves. */
    private boolean hasSuccessor() {
        boolean[] has = new boolean[1];
        if (succession != null) {
            inSuccession(processes -> has[0] = processes.hasSuccessor());
        }
        return has[0];
    }

    /** Looks whether another process of this balancer lives, and what operators have ordered there. */
    private void lookAround() {
        inSuccession(processes -> {
            boolean other = processes.hasOtherProcess();
            sockets.setShared(other);
            if ((other || hadOther) && book == null) {
                obey(OperatorOverrides.read(folder), 0);
            } else if (other || hadOther) {
                door.loop().execute(this::obeyBook);
            }
            hadOther = other;
        });
    }

    private List<Upstream> entries(UpstreamList list) {
        double now = clock.now();
        double unix = System.currentTimeMillis();
        List<Upstream> entries = new ArrayList<>(list.members().size());
        for (UpstreamList.Member member : list.members()) {
            Upstream listed = member.upstream();
            double startedAt = startTimes.of(listed.id(), listed.startedAt(), now, unix);
            entries.add(startedAt == listed.startedAt() ? listed : new Upstream(listed.id(), listed.zone(),
                    listed.machineType(), listed.cell(), listed.state(), listed.weight(), startedAt));
        }
        return entries;
    }

    @Override
    public boolean isReady() {
        return serving && !draining;
    }

    @Override
    public String stats() {
        MembershipHandle member = presence;
        return figures.text() + NodeMetrics.text(discovery.figures().values())
                + (member == null ? "" : NodeMetrics.text(member.metrics()));
    }

    /** Sends callers away as SIGTERM does, but goes on: {@link #stopDrain} undoes it. */
    @Override
    public CompletionStage<Boolean> startDrain() {
        return order(given -> given.withDraining(true));
    }

    @Override
    public CompletionStage<Boolean> stopDrain() {
        return order(given -> given.withDraining(false));
    }

    @Override
    public CompletionStage<Boolean> ban(String id, boolean banned) {
        long upstream = UpstreamList.numericId(id);
        if (!everListed.containsKey(upstream) && !upstreams.isListed(upstream)
                && !orders.disabledUpstreams().contains(id)) {
            return CompletableFuture.completedFuture(false);
        }
        return order(given -> given.withUpstream(id, banned));
    }

    /** Changes what operators want, without a wait of this loop for a disk. */
    private CompletionStage<Boolean> order(UnaryOperator<OperatorOverrides> change) {
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        if (book == null) {
            try {
                order(change, 0);
                done.complete(true);
            } catch (IOException e) {
                done.completeExceptionally(e);
            }
            return done;
        }
        door.loop().execute(() -> {
            try {
                OperatorOverrides changed = book.change(change);
                loop.execute(() -> {
                    figures.overridesKnown(true);
                    obey(changed, 0);
                    done.complete(true);
                });
            } catch (IOException | RuntimeException e) {
                done.completeExceptionally(e);
            }
        });
        return done;
    }

    /** Obeys what is kept, which another process of this balancer may have changed. */
    private void obeyBook() {
        try {
            OperatorOverrides kept = book.read();
            loop.execute(() -> obey(kept, 0));
        } catch (IOException | RuntimeException e) {
            unknown("what was ordered at another process of this balancer", e);
        }
    }

    /** Changes what operators want; if that can't be kept, nothing changes. */
    private void order(UnaryOperator<OperatorOverrides> change, int own) throws IOException {
        if (succession == null) {
            obey(change.apply(orders), 0);
            return;
        }
        OperatorOverrides changed;
        FileLock lock = succession.lockShared();
        try {
            changed = change.apply(OperatorOverrides.read(folder));
            changed.write(folder);
        } finally {
            lock.close();
        }
        obey(changed, own);
    }

    /** Does what operators want; {@code own} of the reloads were this process's. */
    private void obey(OperatorOverrides given, long own) {
        OperatorOverrides before = orders;
        orders = given;
        given.disabledUpstreams().stream().filter(id -> !before.disabledUpstreams().contains(id))
                .forEach(id -> use(id, false));
        if (given.reloads() - own > before.reloads()) {
            follow();
        }
        before.disabledUpstreams().stream().filter(id -> !given.disabledUpstreams().contains(id))
                .forEach(id -> use(id, true));
        // What SIGTERM has begun, no order undoes.
        if (given.draining() && !ending) {
            beginHandDrain();
        } else if (!ending) {
            stopHandDrain();
        }
    }

    private void use(String id, boolean used) {
        LOG.info(id + (used ? " is put back to use" : " is taken out of use") + " by hand");
        long upstream = UpstreamList.numericId(id);
        upstreams.ban(upstream, !used);
        tell(null, () -> {
            balancer.upstreamDisabled(clock.now(), upstream, !used);
            figures.upstreamCounts(upstreams.listedCount(), balancer.excludedUpstreams());
        });
    }

    private void beginHandDrain() {
        if (handDrain == null) {
            LOG.info("drains by hand");
            draining = true;
            frontend.startDrain(HttpResponseStatus.SERVICE_UNAVAILABLE);
            handDrain = loop.scheduleAtFixedRate(frontend::closeIdle, LATE_CONNECTIONS_MS, DRAIN_CHECK_MS,
                    TimeUnit.MILLISECONDS);
        }
    }

    private void stopHandDrain() {
        if (handDrain != null) {
            LOG.info("the drain by hand is over");
            handDrain.cancel(false);
            handDrain = null;
            frontend.stopDrain();
            draining = false;
        }
    }

    /** Where operators call; for tests. */
    InetSocketAddress adminAddress() {
        return door.address();
    }

    /** Where it listens. */
    InetSocketAddress address() {
        return frontend.address();
    }

    /**
     * Stops as SIGTERM wants it: goes on serving on the connections that callers have, as there may be nobody
     * else to go to yet, then sends them away until all that was taken is answered. Returns when the process
     * may end.
     */
    void drain() throws InterruptedException {
        double longest = config.settings().classes().stream().mapToDouble(ServiceClass::deadline).max()
                .orElse(0);
        double begun = clock.now();
        double latest = begun + Math.min(longest, LONGEST_DRAIN_MS) + DRAIN_SLACK_MS;
        serving = false;
        // Operators who have sent callers away already gave them the time to find another balancer.
        boolean already = loop.submit(this::endHandDrain).sync().getNow();
        double sendAway = already ? begun : Math.max(begun, latest - DRAIN_SLACK_MS - SEND_AWAY_MS);
        boolean succeeded = handOver();
        if (presence != null && succeeded) {
            presence.handOver();
        } else if (presence != null) {
            presence.leave();
        }
        while (clock.now() < sendAway) {
            Thread.sleep(DRAIN_CHECK_MS);
            succeeded = succeeded || handOver();
        }
        loop.submit(() -> frontend.startDrain(HttpResponseStatus.OK)).sync();
        // Those that come late come to the successor, where there is one.
        double idleFrom = succeeded ? sendAway : sendAway + LATE_CONNECTIONS_MS;
        while (clock.now() < idleFrom) {
            Thread.sleep(DRAIN_CHECK_MS);
        }
        // Who waits in the queue of a socket that ends with its process would be reset.
        loop.submit(frontend::stopListening).sync();
        boolean done = awaitEnd(latest);
        // What SIGKILL found unanswered would be lost; a failure is an answer.
        loop.submit(() -> {
            frontend.refuseQueuedAndCloseIdle();
            List.copyOf(exchanges.values()).stream().filter(Exchange::isOpen)
                    .forEach(exchange -> fail(exchange, HttpResponseStatus.GATEWAY_TIMEOUT,
                            NodeMetrics.FailureReason.ENDING));
        }).sync();
        if (!done) {
            awaitEnd(latest + LAST_WORDS_MS);
        }
    }

    /** Closes what becomes idle until nothing is left or the time has come; whether nothing is left. */
    private boolean awaitEnd(double latest) throws InterruptedException {
        boolean done = false;
        while (!done && clock.now() < latest) {
            Thread.sleep(DRAIN_CHECK_MS);
            done = closeIdleCallers();
        }
        return done;
    }

    /** Leaves callers to another process, if one serves where this one is to end. */
    private boolean handOver() throws InterruptedException {
        boolean succeeded = hasSuccessor();
        if (succeeded) {
            loop.submit(frontend::handOver).sync();
        }
        return succeeded;
    }

    /** Leaves a drain by hand to the one of SIGTERM; whether there was one. */
    private boolean endHandDrain() {
        ending = true;
        boolean drains = handDrain != null;
        if (drains) {
            handDrain.cancel(false);
        }
        return drains;
    }

    /**
     * Reads the configuration again, which may have been replaced, and goes by it from now on, or not at all.
     * Signals come on threads of their own; what was read later must be taken later.
     */
    void reload(String path) throws InterruptedException {
        figures.configReloaded(read(path));
        if (succession != null && book == null) {
            loop.submit(() -> inSuccession(processes -> order(OperatorOverrides::withReload, 1))).sync();
        } else if (succession != null) {
            try {
                OperatorOverrides changed = book.change(OperatorOverrides::withReload);
                loop.submit(() -> obey(changed, 1)).sync();
            } catch (IOException | RuntimeException e) {
                LOG.warning("the other process of this balancer, if there is one, does not hear of this: "
                        + e);
            }
        }
    }

    private synchronized boolean read(String path) throws InterruptedException {
        try {
            NodeConfig replaced = NodeConfig.read(path, config, published);
            loop.submit(() -> retune(replaced)).sync();
            return true;
        } catch (ConfigException e) {
            LOG.warning("the old configuration holds: " + e.getMessage());
            return false;
        }
    }

    /**
     * Lays what the fleet has published for this balancer's service over its own file, as from now on each
     * reload does; null for nothing. Throws {@link ConfigException}, and then all is as before.
     */
    synchronized void applyPublished(JsonNode section) throws ConfigException, InterruptedException {
        NodeConfig replaced = NodeConfig.read(config.path(), config, section);
        loop.submit(() -> retune(replaced)).sync();
        published = section;
    }

    /** The other process of this balancer has heard a signal, and this one may not. */
    private void follow() {
        // Not on the node's loop, which is to serve meanwhile.
        door.loop().execute(() -> {
            try {
                read(config.path());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    private void retune(NodeConfig replaced) {
        config = replaced;
        figures.registerClasses(replaced.classes());
        upstreams.settingsChanged(replaced.settings());
        frontend.settingsChanged(replaced);
        // Before the module, which may begin to ask for itself.
        discovery.setPushed(!replaced.settings().subscribe());
        tell(null, () -> balancer.settingsChanged(clock.now(), replaced.settings()));
        discovery.moveTo(replaced.discovery());
        LOG.info("goes by a new configuration; discovery is at " + replaced.discovery());
    }

    /** Closes callers' connections that are idle; whether none is left. */
    boolean closeIdleCallers() throws InterruptedException {
        return loop.submit(frontend::closeIdle).sync().getNow();
    }

    /** Ends at once, whatever is under way; for tests. */
    void shutdownNow() {
        if (door != null) {
            door.shutdownNow();
        }
        if (presence != null) {
            presence.handOver();
        }
        if (succession != null) {
            inSuccession(ProcessHandover::leave);
        }
        loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    // ---- What happens ------------------------------------------------------------------------------

    /**
     * Tells the module of an event. An action may cause an event at once, such as a connection that is
     * refused; it waits here until the module has returned from the call in which it acted.
     */
    private void tell(Exchange about, Runnable call) {
        events.add(new Event(about, call));
        if (deciding) {
            return;
        }
        deciding = true;
        try {
            for (Event event = events.poll(); event != null; event = events.poll()) {
                subject = event.about();
                try {
                    event.call().run();
                } catch (Throwable e) {
                    broken(event.about(), e);
                }
            }
        } finally {
            subject = null;
            deciding = false;
        }
    }

    /** A call of the module broke off: what it was about fails, as nobody knows what has run. */
    private void broken(Exchange about, Throwable cause) {
        LOG.log(Level.SEVERE, "the decision module failed", cause);
        if (about != null && about.isOpen()) {
            fail(about, HttpResponseStatus.INTERNAL_SERVER_ERROR, NodeMetrics.FailureReason.DECISION_ERROR);
        }
    }

    /** Fails a request over the module's head and tells it that the client waits no more. */
    private void fail(Exchange exchange, HttpResponseStatus status, NodeMetrics.FailureReason why) {
        figures.failed(why);
        exchange.answer(status, Unpooled.EMPTY_BUFFER, 0);
        leave(exchange);
    }

    private UpstreamList parseList(InputStream body) throws IOException {
        return config.parseList(body);
    }

    /** Passes on what discovery tells. */
    private final class ListUpdates implements DiscoveryClient.Listener {

        @Override
        public void changed(UpstreamList list) {
            double arrivedAt = clock.now();
            List<Upstream> entries = entries(list);
            upstreams.update(list);
            list.members().forEach(member -> everListed.put(member.upstream().id(), true));
            tell(null, () -> listChanged(list.full() ? Change.FULL : Change.DELTA, entries));
            figures.listInForce(list.version(), clock.now() - arrivedAt);
        }

        @Override
        public void callFailed(CallEnd how) {
            tell(null, () -> listChanged(Change.FAILED, List.of()));
        }
    }

    private void listChanged(Change change, List<Upstream> entries) {
        balancer.upstreamsChanged(clock.now(), change, entries);
        figures.upstreamCounts(upstreams.listedCount(), balancer.excludedUpstreams());
    }

    /** Takes a request in; the node owns a reference to {@code message} from here on. */
    Exchange acceptRequest(Function<Long, Request> description, FullHttpRequest message,
            Exchange.Caller caller) {
        Request request = description.apply(++lastId);
        Exchange exchange = new Exchange(request.id(), config.classes().get(request.serviceClass()),
                config.settings().classes().get(request.serviceClass()), message, request.deadline(), caller,
                clock.now(), figures);
        exchanges.put(exchange.id, exchange);
        exchange.receivedAt = clock.now();
        if (exchange.upload == null) {
            watch(exchange);
            tell(exchange, () -> balancer.request(clock.now(), request));
        } else {
            receive(exchange, request);
        }
        return exchange;
    }

    /** Takes in a request whose body comes on its own: its client's time counts from the last byte. */
    private void receive(Exchange exchange, Request request) {
        double patience = request.deadline() - exchange.receivedAt;
        watch(exchange);
        exchange.deadline = Double.POSITIVE_INFINITY;
        exchange.receivedAt = Double.NaN;
        tell(exchange, () -> balancer.requestStarted(clock.now(), request));
        exchange.upload.setListener(new Upload.Listener() {
            @Override
            public void onComplete() {
                if (!exchange.isOpen()) {
                    return;
                }
                exchange.receivedAt = clock.now();
                exchange.deadline = clock.now() + patience;
                exchange.deadlineTimer.cancel(false);
                watch(exchange);
                exchange.attempts.stream().filter(Objects::nonNull)
                        .forEach(attempt -> attempt.setDeadline(exchange.deadline));
                tell(exchange, () -> balancer.bodyArrived(clock.now(), exchange.id, exchange.deadline));
            }

            @Override
            public void onError(Exception cause) {
                if (exchange.isOpen() && !exchange.isStreaming()) {
                    frontend.countBadRequest();
                    exchange.reject(Frontend.errorStatus(cause), Unpooled.EMPTY_BUFFER);
                    leave(exchange);
                }
            }
        });
    }

    /** Sees to it that a request has its answer, soon after its time is over at the latest. */
    private void watch(Exchange exchange) {
        double latest = exchange.deadline + config.settings().rules().answerGrace() / 2;
        exchange.deadlineTimer = loop.schedule(() -> overdue(exchange), clock.nanosUntil(latest),
                TimeUnit.NANOSECONDS);
    }

    /** The module has left a request without its answer; it must not stay so. */
    private void overdue(Exchange exchange) {
        if (exchange.isOpen() && Double.isNaN(exchange.receivedAt) && exchange.attemptsInFlight > 0) {
            // An attempt takes its body, and is watched for whether that moves on.
            exchange.deadlineTimer = loop.schedule(() ->
                    overdue(exchange), LARGE_CHECK_MS, TimeUnit.MILLISECONDS);
        } else if (exchange.isOpen()) {
            LOG.warning("a request was left without an answer");
            fail(exchange, HttpResponseStatus.GATEWAY_TIMEOUT, NodeMetrics.FailureReason.DEADLINE);
        }
    }

    /** The client has closed its connection. */
    void clientGone(Exchange exchange) {
        if (exchange.isOpen()) {
            boolean large = exchange.upload != null || exchange.isStreaming();
            exchange.close();
            if (large) {
                leave(exchange);
            } else {
                tell(exchange, () -> balancer.clientGone(clock.now(), exchange.id));
                settle(exchange);
            }
        }
    }

    /** Ends what is under way for a client that waits no more, and tells the module so. */
    private void leave(Exchange exchange) {
        exchange.attempts.forEach(Node::cancel);
        tell(exchange, () -> balancer.clientGone(clock.now(), exchange.id));
        settle(exchange);
    }

    private void finished(Exchange exchange, int number, long upstream, double sentAt, Result result,
            FullHttpResponse response) {
        exchange.attemptsInFlight--;
        exchange.lastResult = result;
        double[] report = response == null || config.settings().reportMode() != ReportMode.PIGGYBACK ? null
                : LoadReport.parse(response.headers().get("X-Pressure"), config.settings().reportFields());
        if (exchange.isStreaming()) {
            if (result == Result.OK) {
                exchange.endStream();
            } else {
                figures.failed(NodeMetrics.FailureReason.BROKEN_ANSWER);
                exchange.answer(HttpResponseStatus.BAD_GATEWAY, Unpooled.EMPTY_BUFFER, 0);
            }
        } else if (result == Result.OK) {
            exchange.answer(HttpResponseStatus.OK, response.content(), 0);
        }
        tell(exchange, () -> balancer.attemptFinished(clock.now(), new Outcome(exchange.id, number, upstream,
                result, !exchange.isOpen(), elapsed(exchange, number, sentAt), report)));
        settle(exchange);
    }

    /**
     * How long an upstream has had a request: it can't begin before it has the whole body. While the loop is
     * late its answer lies unread, and that is no work of the upstream's.
     */
    private double elapsed(Exchange exchange, int number, double sentAt) {
        if (Double.isNaN(exchange.receivedAt)) {
            return 0;
        }
        double since = clock.now() - Math.max(sentAt, exchange.receivedAt);
        return Math.max(0, since - exchange.localDelay(number) - monitor.lag());
    }

    /** An answer too large to be held has begun; null if nobody waits for it. */
    private ResponseSink begun(Exchange exchange, int number, double sentAt, UpstreamClient.Attempt attempt,
            long length) {
        if (!exchange.isOpen() || exchange.isStreaming()) {
            return null;
        }
        ResponseSink download = exchange.startStream(length, attempt::resume);
        tell(exchange, () -> balancer.streamStarted(clock.now(), exchange.id, number,
                elapsed(exchange, number, sentAt)));
        return download;
    }

    /** Forgets a request once nothing more can come of it. */
    private void settle(Exchange exchange) {
        if (!exchange.isOpen() && exchange.attemptsInFlight == 0 && exchanges.remove(exchange.id) != null) {
            exchange.request.release();
            if (exchange.upload != null) {
                exchange.upload.discard();
            }
        }
    }

    double now() {
        return clock.now();
    }

    /** What the module's decisions have cost so far. */
    LoadBalancer.DecisionStats work() {
        return balancer.stats();
    }

    // ---- What the module asks for ------------------------------------------------------------------

    @Override
    public void send(long requestId, long upstream, double timeout) {
        Exchange exchange = exchanges.get(requestId);
        if (exchange == null) {
            return;
        }
        double now = clock.now();
        int number = exchange.attemptsRequested++;
        exchange.attemptsInFlight++;
        if (number > 0) {
            figures.requestRetried(exchange.lastResult);
        }
        if (!exchange.isCallerWaiting(now) || now >= exchange.deadline
                || number >= config.settings().limits().maxAttempts()
                || exchange.upload != null && !exchange.upload.isRepeatable()) {
            exchange.attempts.add(null);
            finished(exchange, number, upstream, now, Result.NOT_SENT, null);
            return;
        }
        double until = timeout == 0 ? exchange.deadline : Math.min(exchange.deadline, now + timeout);
        UpstreamClient.Listener listener = new UpstreamClient.Listener() {
            @Override
            public void finished(Result result, FullHttpResponse response) {
                Node.this.finished(exchange, number, upstream, now, result, response);
            }

            @Override
            public boolean maySend() {
                return exchange.maySend(number, clock.now());
            }

            @Override
            public ResponseSink streamStarted(UpstreamClient.Attempt attempt, long length) {
                return Node.this.begun(exchange, number, now, attempt, length);
            }
        };
        exchange.attempts.add(upstreams.send(upstream, exchange.request, until, exchange.deadline, listener));
    }

    @Override
    public void refuse(long requestId, double retryAfter) {
        answer(requestId, HttpResponseStatus.SERVICE_UNAVAILABLE, retryAfter);
    }

    @Override
    public void fail(long requestId) {
        figures.failed(NodeMetrics.FailureReason.UPSTREAMS);
        answer(requestId, HttpResponseStatus.BAD_GATEWAY, 0);
    }

    private void answer(long requestId, HttpResponseStatus status, double retryAfter) {
        Exchange exchange = exchanges.get(requestId);
        if (exchange != null) {
            exchange.answer(status, Unpooled.EMPTY_BUFFER, retryAfter);
            settle(exchange);
        }
    }

    @Override
    public void cancel(long requestId, int attempt) {
        Exchange exchange = exchanges.get(requestId);
        if (exchange != null && attempt < exchange.attempts.size()) {
            cancel(exchange.attempts.get(attempt));
        }
    }

    @Override
    public double localDelay(long requestId, int attempt) {
        Exchange exchange = exchanges.get(requestId);
        return exchange == null ? 0 : exchange.localDelay(attempt) + monitor.lag();
    }

    @Override
    public double idleTime(double now) {
        return monitor.idleTime();
    }

    private static void cancel(UpstreamClient.Attempt attempt) {
        if (attempt != null) {
            attempt.cancel();
        }
    }

    @Override
    public void probe(long upstream) {
        double sentAt = clock.now();
        double until = sentAt + config.settings().limits().connectTimeout() * 2;
        upstreams.probe(upstream, until, (result, response) -> {
            ByteBuf body = result == Result.OK ? response.content() : Unpooled.EMPTY_BUFFER;
            double[] report = LoadReport.parse(body.toString(StandardCharsets.UTF_8),
                    config.settings().reportFields());
            tell(null, () -> balancer.probeResult(clock.now(), upstream, result, clock.now() - sentAt,
                    report));
        });
    }

    @Override
    public void closeIdle(long upstream) {
        upstreams.closeIdle(upstream);
    }

    @Override
    public void fetch() {
        discovery.fetch();
    }

    @Override
    public void watch(boolean on) {
        discovery.watch(on);
    }

    @Override
    public void setTimer(long token, double at) {
        Exchange about = subject;
        loop.schedule(() -> {
            if (clock.now() > at + LoopMonitor.LATE_THRESHOLD_MS) {
                // The loop is late: the sockets have their turn first, and with them what ends the wait.
                loop.schedule(() -> ring(about, token), 1, TimeUnit.NANOSECONDS);
            } else {
                ring(about, token);
            }
        }, clock.nanosUntil(at), TimeUnit.NANOSECONDS);
    }

    private void ring(Exchange about, long token) {
        tell(about, () -> balancer.timer(clock.now(), token));
    }

    /** Balancers of this deployment have no way to talk to each other. */
    @Override
    public void sendToPeer(int peer, byte[] payload) {
        LOG.warning("the module wants to talk to its peers, which it can't here");
    }

    @Override
    public void log(String text) {
        LOG.info(text);
    }
}
