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
import cranedeal.node.memory.BufferMemory;
import cranedeal.node.memory.MemoryShortException;
import io.netty.buffer.ByteBuf;
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
 * One balancer process: owns the decision module, passes socket events to it and carries out the actions
 * that it requests. The node makes no balancing decisions itself. All of its state is confined to one event
 * loop thread, so it needs no locks.
 */
final class Node implements LoadBalancer.Actions, AdminEndpoint.Operations {

    static final Logger LOG = Logger.getLogger("sablehinge");
    /** How long new connections may still arrive after SIGTERM, with a margin. */
    private static final long LATE_CONNECTIONS_MS = 550;
    private static final long DRAIN_CHECK_MS = 10;
    /** How often to check the state of the other process of this balancer. */
    private static final long PROCESS_CHECK_MS = 250;
    /** Minimum interval between checks of a body that is arriving. */
    private static final double MIN_BODY_CHECK_MS = 10;
    private static final double LOG_INTERVAL_MS = 10_000;
    /** Upper bound of the number of upstreams remembered in {@link #everListed}. */
    private static final int MAX_KNOWN_UPSTREAMS = 10_000;
    /**
     * SIGKILL follows no sooner than the longest deadline (at most 3 s) plus 0.7 s; a drain uses less than
     * that.
     */
    private static final double MAX_DRAIN_MS = 3_000;
    private static final double DRAIN_SLACK_MS = 400;
    /**
     * How long after the drain's end the last answers may take to be written and their connections to be
     * closed in order. The same time then remains before SIGKILL, since a process may be paused for 150 ms.
     */
    private static final double FINAL_ANSWERS_MS = 150;
    /**
     * How long before the drain's end the node starts to close callers' connections. Requests that arrive
     * until then still have time to be served.
     */
    private static final double CLOSE_CALLERS_MS = 1_200;

    private volatile NodeConfig config;
    private final EventLoop loop;
    /**
     * Coordinates this process with the other one during a hot restart; null if hot restart is unavailable.
     */
    private final ProcessHandover handover;
    private final Clock clock;
    private final LoopMonitor monitor;
    private final LoadBalancer balancer;
    private final UpstreamClient upstreams;
    private final DiscoveryClient discovery;
    private final Frontend frontend;
    private final SocketBudget sockets;
    private final BufferMemory memory;
    private final NodeMetrics metrics = new NodeMetrics();
    private final RequestLog requestLog;
    /** The operators' HTTP endpoint; null if none is configured. */
    private final AdminEndpoint admin;
    private volatile boolean serving;
    private volatile boolean draining;
    /** Persists the operators' overrides; null if no state folder is configured. */
    private final OverrideStore overrideStore;
    /** Saves the module's warm-start state for the next process; null if no state folder is configured. */
    private final WarmStateSaver warmStateSaver;
    /** This process's membership of a fleet; null if it belongs to none. */
    private volatile MembershipHandle membership;
    /** The configuration section that the fleet has published for this balancer's service; null if none. */
    private JsonNode published;
    /** The operators' overrides in force. */
    private OperatorOverrides overrides = OperatorOverrides.NONE;
    /** The folder shared by the processes of a hot restart. It holds the overrides if there is no store. */
    private final Path sharedFolder;
    /** Whether another process of this balancer was alive at the last check. */
    private boolean hadOtherProcess;
    /** When the last failure to read the other process's state was logged. */
    private volatile double unknownLoggedAt = Double.NEGATIVE_INFINITY;
    private final StartTimes startTimes = new StartTimes();
    /** The upstreams that were ever listed, bounded to the most recently listed ones. */
    private final Map<Long, Boolean> everListed = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
            return size() > MAX_KNOWN_UPSTREAMS;
        }
    };
    /** Periodically closes idle connections while operators drain this balancer; null otherwise. */
    private Future<?> operatorDrain;
    /** Whether SIGTERM was received. */
    private boolean terminating;
    private final Map<Long, Exchange> exchanges = new HashMap<>();
    private final ArrayDeque<Event> events = new ArrayDeque<>();
    private long lastId;
    private boolean deciding;
    /** The request that the module is handling at present; null if the event concerns none. */
    private Exchange currentExchange;

    /** A queued call of the module, and the request that it concerns or null. */
    private record Event(Exchange about, Runnable call) { }

    private Node(NodeConfig config, EventLoop loop, Clock clock, LoopMonitor monitor,
            ProcessHandover handover, Path sharedFolder, OverrideStore overrideStore,
            Function<LoadBalancer.Actions, LoadBalancer> module, BufferMemory memory) {
        this.config = config;
        this.loop = loop;
        this.clock = clock;
        this.monitor = monitor;
        this.handover = handover;
        this.sharedFolder = sharedFolder;
        this.overrideStore = overrideStore;
        this.memory = memory;
        requestLog = new RequestLog(clock::now, LOG::info);
        warmStateSaver = config.stateDir() == null ? null
                : new WarmStateSaver(new WarmStateFile(config.stateDir()), clock);
        sockets = new SocketBudget(config.maxDescriptors()
                - (config.admin() == null ? 0 : AdminEndpoint.DESCRIPTORS)
                - (config.fleet() == null ? 0 : MembershipHandle.DESCRIPTORS));
        balancer = module.apply(this);
        upstreams = new UpstreamClient(loop, clock, monitor::lag, config.settings(), sockets, metrics,
                memory);
        discovery = new DiscoveryClient(loop, clock::now, config.discoveryOptions(), this::parseList,
                memory.allocator(), new ListUpdates());
        frontend = new Frontend(loop, config, sockets, memory, this, metrics, monitor, clock);
        metrics.registerClasses(config.classes());
        admin = config.admin() == null ? null : new AdminEndpoint(this, loop);
    }

    /**
     * Starts a balancer.
     *
     * @param folder the folder shared by the processes of a hot restart; null if there are no hot restarts
     */
    static Node start(NodeConfig config, Path folder) throws ConfigException, InterruptedException {
        return start(config, folder, LatencyWeightedBalancer::new, new BufferMemory());
    }

    /**
     * Starts a balancer with the given decision module and memory; it is serving when this returns.
     */
    static Node start(NodeConfig config, Path folder, Function<LoadBalancer.Actions, LoadBalancer> module,
            BufferMemory memory) throws ConfigException, InterruptedException {
        Clock clock = new Clock();
        LoopMonitor[] monitor = new LoopMonitor[1];
        EventLoop loop = (EventLoop) new MultiThreadIoEventLoopGroup(1,
                new DefaultThreadFactory("node", true), LoopMonitor.wrap(NioIoHandler.newFactory(),
                        clock::now, made -> monitor[0] = made)).next();
        ProcessHandover handover = folder == null || config.admin() == null ? null : joinHandover(folder);
        OverrideStore overrideStore = config.stateDir() == null ? null
                : Fleet.overrideStore(config.stateDir(), folder);
        Node node = new Node(config, loop, clock, monitor[0], handover, folder, overrideStore,
                module, memory);
        if (node.admin != null) {
            node.admin.bind(config.admin());
        }
        OperatorOverrides overrides = overrideStore == null ? OperatorOverrides.NONE
                : node.readSavedOverrides();
        WarmStateFile.Snapshot warmState = node.warmStateSaver == null ? null : node.warmStateSaver.read();
        loop.submit(() -> node.startModule(overrides, warmState)).sync();
        node.frontend.bind(handover != null);
        node.serving = true;
        if (handover != null) {
            node.withHandover(ProcessHandover::markServing);
        }
        if (config.fleet() != null) {
            node.membership = Fleet.join(config, node::applyPublished);
        }
        return node;
    }

    /**
     * Reads the overrides saved by an earlier process. A failure doesn't keep the balancer from starting; it
     * is logged and shown in the metrics.
     */
    private OperatorOverrides readSavedOverrides() {
        try {
            OperatorOverrides saved = overrideStore.read();
            metrics.overridesKnown(true);
            return saved;
        } catch (IOException | RuntimeException e) {
            LOG.severe("starting without the saved operator overrides: " + e.getMessage());
            metrics.overridesKnown(false);
            return OperatorOverrides.NONE;
        }
    }

    private static ProcessHandover joinHandover(Path folder) {
        try {
            return ProcessHandover.join(folder);
        } catch (IOException e) {
            LOG.warning("hot restart is not available for this process: " + e);
            return null;
        }
    }

    /** An operation on the files shared with the other process of this balancer. */
    private interface HandoverCall {
        void run(ProcessHandover handover) throws IOException;
    }

    private void withHandover(HandoverCall call) {
        try {
            call.run(handover);
        } catch (IOException e) {
            logUnknown("the state of the other process of this balancer", e);
        }
    }

    private void logUnknown(String subject, Exception cause) {
        double now = clock.now();
        if (now >= unknownLoggedAt + LOG_INTERVAL_MS) {
            LOG.warning("cannot determine " + subject + ": " + cause);
            unknownLoggedAt = now;
        }
    }

    private void startModule(OperatorOverrides savedOverrides, WarmStateFile.Snapshot warmState) {
        UpstreamList known = new UpstreamList(config.knownUpstreams().version(), true,
                config.knownUpstreams().members());
        upstreams.update(known);
        discovery.setPushed(!config.settings().subscribe());
        notifyModule(null, () -> balancer.start(clock.now(), config.settings(), config.seed()));
        if (warmState != null) {
            notifyModule(null, () -> warmStateSaver.restore(warmState, balancer));
        }
        notifyModule(null, () -> listChanged(Change.CACHED, entries(known)));
        known.members().forEach(member -> everListed.put(member.upstream().id(), true));
        applyOverrides(savedOverrides, savedOverrides.reloads());
        if (handover != null) {
            hadOtherProcess = true;
            checkOtherProcess();
            loop.scheduleAtFixedRate(this::checkOtherProcess, PROCESS_CHECK_MS, PROCESS_CHECK_MS,
                    TimeUnit.MILLISECONDS);
        }
        if (warmStateSaver != null) {
            Executor writer = admin != null ? admin.loop()
                    : new DefaultEventExecutor(new DefaultThreadFactory("keeper", true));
            warmStateSaver.start(loop, writer, this::exportWarmState, () -> !hasSuccessor());
        }
    }

    private LoadBalancer.WarmState exportWarmState() {
        try {
            return balancer.warmState(clock.now());
        } catch (RuntimeException e) {
            moduleFailed(null, e);
            return LoadBalancer.WarmState.EMPTY;
        }
    }

    /** Returns true if a later process of this balancer is serving. */
    private boolean hasSuccessor() {
        boolean[] found = new boolean[1];
        if (handover != null) {
            withHandover(processes -> found[0] = processes.hasSuccessor());
        }
        return found[0];
    }

    /**
     * Checks whether another process of this balancer is alive, and applies overrides that were set there.
     */
    private void checkOtherProcess() {
        withHandover(processes -> {
            boolean other = processes.hasOtherProcess();
            sockets.setShared(other);
            if ((other || hadOtherProcess) && overrideStore == null) {
                applyOverrides(OperatorOverrides.read(sharedFolder), 0);
            } else if (other || hadOtherProcess) {
                admin.loop().execute(this::applyStoredOverrides);
            }
            hadOtherProcess = other;
        });
    }

    private List<Upstream> entries(UpstreamList list) {
        double now = clock.now();
        double unix = System.currentTimeMillis();
        List<Upstream> entries = new ArrayList<>(list.members().size());
        for (UpstreamList.Member member : list.members()) {
            Upstream listed = member.upstream();
            double startedAt = startTimes.toNodeClock(listed.id(), listed.startedAt(), now, unix);
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
        MembershipHandle current = membership;
        return metrics.text() + NodeMetrics.text(discovery.metrics().values())
                + (current == null ? "" : NodeMetrics.text(current.metrics()));
    }

    /** Closes callers' connections as SIGTERM does, but keeps running: {@link #stopDrain} undoes it. */
    @Override
    public CompletionStage<Boolean> startDrain() {
        return updateOverrides(given -> given.withDraining(true));
    }

    @Override
    public CompletionStage<Boolean> stopDrain() {
        return updateOverrides(given -> given.withDraining(false));
    }

    @Override
    public CompletionStage<Boolean> setDisabled(String id, boolean disabled) {
        long upstream = UpstreamList.numericId(id);
        if (!everListed.containsKey(upstream) && !upstreams.isListed(upstream)
                && !overrides.disabledUpstreams().contains(id)) {
            return CompletableFuture.completedFuture(false);
        }
        return updateOverrides(given -> given.withUpstream(id, disabled));
    }

    /** Changes the overrides without blocking this loop on disk writes. */
    private CompletionStage<Boolean> updateOverrides(UnaryOperator<OperatorOverrides> change) {
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        if (overrideStore == null) {
            try {
                updateOverrides(change, 0);
                done.complete(true);
            } catch (IOException e) {
                done.completeExceptionally(e);
            }
            return done;
        }
        admin.loop().execute(() -> {
            try {
                OperatorOverrides changed = overrideStore.change(change);
                loop.execute(() -> {
                    metrics.overridesKnown(true);
                    applyOverrides(changed, 0);
                    done.complete(true);
                });
            } catch (IOException | RuntimeException e) {
                done.completeExceptionally(e);
            }
        });
        return done;
    }

    /** Applies the stored overrides, which another process of this balancer may have changed. */
    private void applyStoredOverrides() {
        try {
            OperatorOverrides saved = overrideStore.read();
            loop.execute(() -> applyOverrides(saved, 0));
        } catch (IOException | RuntimeException e) {
            logUnknown("the operator overrides set at the other process of this balancer", e);
        }
    }

    /** Changes the overrides; if they can't be written to disk, nothing changes. */
    private void updateOverrides(UnaryOperator<OperatorOverrides> change, int ownReloads) throws IOException {
        if (handover == null) {
            applyOverrides(change.apply(overrides), 0);
            return;
        }
        OperatorOverrides changed;
        FileLock lock = handover.lockShared();
        try {
            changed = change.apply(OperatorOverrides.read(sharedFolder));
            changed.write(sharedFolder);
        } finally {
            lock.close();
        }
        applyOverrides(changed, ownReloads);
    }

    /** Applies overrides; {@code ownReloads} is how many of the counted reloads this process did itself. */
    private void applyOverrides(OperatorOverrides changed, long ownReloads) {
        OperatorOverrides previous = overrides;
        overrides = changed;
        changed.disabledUpstreams().stream().filter(id -> !previous.disabledUpstreams().contains(id))
                .forEach(id -> setInUse(id, false));
        if (changed.reloads() - ownReloads > previous.reloads()) {
            reloadLikeOtherProcess();
        }
        previous.disabledUpstreams().stream().filter(id -> !changed.disabledUpstreams().contains(id))
                .forEach(id -> setInUse(id, true));
        // Operators can't undo the drain that SIGTERM has started.
        if (changed.draining() && !terminating) {
            startOperatorDrain();
        } else if (!terminating) {
            stopOperatorDrain();
        }
    }

    private void setInUse(String id, boolean inUse) {
        LOG.info(id + (inUse ? " was enabled" : " was disabled") + " by an operator");
        long upstream = UpstreamList.numericId(id);
        upstreams.ban(upstream, !inUse);
        notifyModule(null, () -> {
            balancer.upstreamDisabled(clock.now(), upstream, !inUse);
            metrics.upstreamCounts(upstreams.listedCount(), balancer.excludedUpstreams());
        });
    }

    private void startOperatorDrain() {
        if (operatorDrain == null) {
            LOG.info("draining on an operator's request");
            draining = true;
            frontend.startDrain(HttpResponseStatus.SERVICE_UNAVAILABLE);
            operatorDrain = loop.scheduleAtFixedRate(frontend::closeIdle, LATE_CONNECTIONS_MS, DRAIN_CHECK_MS,
                    TimeUnit.MILLISECONDS);
        }
    }

    private void stopOperatorDrain() {
        if (operatorDrain != null) {
            LOG.info("the operator's drain has ended");
            operatorDrain.cancel(false);
            operatorDrain = null;
            frontend.stopDrain();
            draining = false;
        }
    }

    /** Returns the bytes that live buffers of the node hold; for tests. */
    long heldBufferBytes() throws InterruptedException {
        return loop.submit(memory::held).sync().getNow();
    }

    /** The address of the operators' endpoint; for tests. */
    InetSocketAddress adminAddress() {
        return admin.address();
    }

    /** The address that callers connect to. */
    InetSocketAddress address() {
        return frontend.address();
    }

    /**
     * Shuts down gracefully after SIGTERM: keeps serving on the callers' connections at first, as there may
     * be no other balancer to take them yet, then closes them as soon as the accepted requests are answered.
     * Returns when the process may exit.
     */
    void drain() throws InterruptedException {
        double longestDeadline = config.settings().classes().stream().mapToDouble(ServiceClass::deadline)
                .max().orElse(0);
        double startedAt = clock.now();
        double drainEnd = startedAt + Math.min(longestDeadline, MAX_DRAIN_MS) + DRAIN_SLACK_MS;
        serving = false;
        // If an operator's drain was in force, callers have already had the time to find another balancer.
        boolean alreadyDrained = loop.submit(this::supersedeOperatorDrain).sync().getNow();
        double closeCallersAt = alreadyDrained ? startedAt
                : Math.max(startedAt, drainEnd - DRAIN_SLACK_MS - CLOSE_CALLERS_MS);
        boolean handedOver = handOver();
        if (membership != null && handedOver) {
            membership.handOver();
        } else if (membership != null) {
            membership.leave();
        }
        while (clock.now() < closeCallersAt) {
            Thread.sleep(DRAIN_CHECK_MS);
            handedOver = handedOver || handOver();
        }
        loop.submit(() -> frontend.startDrain(HttpResponseStatus.OK)).sync();
        // With a successor, late connections go to it, so there is no need to wait for them.
        double stopListeningAt = handedOver ? closeCallersAt : closeCallersAt + LATE_CONNECTIONS_MS;
        while (clock.now() < stopListeningAt) {
            Thread.sleep(DRAIN_CHECK_MS);
        }
        // Connections left in the accept queue of a socket that closes with its process would be reset.
        loop.submit(frontend::stopListening).sync();
        boolean done = awaitDrained(drainEnd);
        // Requests that are unanswered at SIGKILL would be lost, so they are answered as failed.
        loop.submit(() -> {
            frontend.refuseQueuedAndCloseIdle();
            List.copyOf(exchanges.values()).stream().filter(Exchange::isOpen)
                    .forEach(exchange -> fail(exchange, HttpResponseStatus.GATEWAY_TIMEOUT,
                            NodeMetrics.FailureReason.ENDING));
        }).sync();
        if (!done) {
            awaitDrained(drainEnd + FINAL_ANSWERS_MS);
        }
    }

    /** Closes idle connections until none is left or the time is over; returns true if none is left. */
    private boolean awaitDrained(double until) throws InterruptedException {
        boolean done = false;
        while (!done && clock.now() < until) {
            Thread.sleep(DRAIN_CHECK_MS);
            done = closeIdleCallers();
        }
        return done;
    }

    /** Hands callers over to a later process of this balancer; returns false if none is serving. */
    private boolean handOver() throws InterruptedException {
        boolean successor = hasSuccessor();
        if (successor) {
            loop.submit(frontend::handOver).sync();
        }
        return successor;
    }

    /** Lets the drain of SIGTERM replace an operator's drain; returns true if there was one. */
    private boolean supersedeOperatorDrain() {
        terminating = true;
        boolean wasDraining = operatorDrain != null;
        if (wasDraining) {
            operatorDrain.cancel(false);
        }
        return wasDraining;
    }

    /**
     * Reads the configuration file again and applies it as a whole, or not at all if it is invalid. Each
     * signal arrives on its own thread, so reading and applying is synchronized: a later file is applied
     * later.
     */
    void reload(String path) throws InterruptedException {
        metrics.configReloaded(reloadConfig(path));
        if (handover != null && overrideStore == null) {
            loop.submit(() -> withHandover(
                    processes -> updateOverrides(OperatorOverrides::withReload, 1))).sync();
        } else if (handover != null) {
            try {
                OperatorOverrides changed = overrideStore.change(OperatorOverrides::withReload);
                loop.submit(() -> applyOverrides(changed, 1)).sync();
            } catch (IOException | RuntimeException e) {
                LOG.warning("cannot pass the reload on to the other process of this balancer, if any: "
                        + e);
            }
        }
    }

    private synchronized boolean reloadConfig(String path) throws InterruptedException {
        try {
            NodeConfig replaced = NodeConfig.read(path, config, published);
            loop.submit(() -> applyConfig(replaced)).sync();
            return true;
        } catch (ConfigException e) {
            LOG.warning("keeping the old configuration: " + e.getMessage());
            return false;
        }
    }

    /**
     * Merges the section that the fleet has published for this balancer's service over its own file, now and
     * at each later reload; null removes it. Throws {@link ConfigException} if the result is invalid, and
     * then changes nothing.
     */
    synchronized void applyPublished(JsonNode section) throws ConfigException, InterruptedException {
        NodeConfig replaced = NodeConfig.read(config.path(), config, section);
        loop.submit(() -> applyConfig(replaced)).sync();
        published = section;
    }

    /**
     * Reloads the file because the other process of this balancer got a SIGHUP, which this one may have
     * missed.
     */
    private void reloadLikeOtherProcess() {
        // Not on the node's loop, so that it keeps serving meanwhile.
        admin.loop().execute(() -> {
            try {
                reloadConfig(config.path());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    private void applyConfig(NodeConfig changed) {
        config = changed;
        metrics.registerClasses(changed.classes());
        upstreams.settingsChanged(changed.settings());
        frontend.settingsChanged(changed);
        // Before the module is notified, since it may start its own watch.
        discovery.setPushed(!changed.settings().subscribe());
        notifyModule(null, () -> balancer.settingsChanged(clock.now(), changed.settings()));
        discovery.moveTo(changed.discovery());
        LOG.info("goes by a new configuration; discovery is at " + changed.discovery());
    }

    /** Closes callers' idle connections; returns true if no connection is left. */
    boolean closeIdleCallers() throws InterruptedException {
        return loop.submit(frontend::closeIdle).sync().getNow();
    }

    /** Stops at once, without waiting for requests in progress; for tests. */
    void shutdownNow() {
        if (admin != null) {
            admin.shutdownNow();
        }
        if (membership != null) {
            membership.handOver();
        }
        if (handover != null) {
            withHandover(ProcessHandover::leave);
        }
        loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    // ---- Events for the module ---------------------------------------------------------------------

    /**
     * Passes an event to the module. An action of the module may cause another event at once, such as a
     * refused connection; that event is queued until the module has returned from its current call.
     */
    private void notifyModule(Exchange about, Runnable call) {
        events.add(new Event(about, call));
        if (deciding) {
            return;
        }
        deciding = true;
        try {
            for (Event event = events.poll(); event != null; event = events.poll()) {
                currentExchange = event.about();
                try {
                    event.call().run();
                } catch (Throwable e) {
                    moduleFailed(event.about(), e);
                }
            }
        } finally {
            currentExchange = null;
            deciding = false;
        }
    }

    /** The module threw an exception: the request concerned fails, since its state is unknown. */
    private void moduleFailed(Exchange about, Throwable cause) {
        LOG.log(Level.SEVERE, "the decision module failed", cause);
        if (about != null && about.isOpen()) {
            fail(about, HttpResponseStatus.INTERNAL_SERVER_ERROR, NodeMetrics.FailureReason.DECISION_ERROR);
        }
    }

    /** Fails a request without a decision of the module, then notifies it that the client is gone. */
    private void fail(Exchange exchange, HttpResponseStatus status, NodeMetrics.FailureReason why) {
        metrics.failed(why);
        exchange.answer(status, Unpooled.EMPTY_BUFFER, 0);
        abandon(exchange);
    }

    private UpstreamList parseList(InputStream body) throws IOException {
        return config.parseList(body);
    }

    /** Passes on lists and failures of discovery. */
    private final class ListUpdates implements DiscoveryClient.Listener {

        @Override
        public void changed(UpstreamList list) {
            double arrivedAt = clock.now();
            List<Upstream> entries = entries(list);
            upstreams.update(list);
            list.members().forEach(member -> everListed.put(member.upstream().id(), true));
            notifyModule(null, () -> listChanged(list.full() ? Change.FULL : Change.DELTA, entries));
            metrics.listInForce(list.version(), clock.now() - arrivedAt);
        }

        @Override
        public void callFailed(CallEnd how) {
            notifyModule(null, () -> listChanged(Change.FAILED, List.of()));
        }
    }

    private void listChanged(Change change, List<Upstream> entries) {
        balancer.upstreamsChanged(clock.now(), change, entries);
        metrics.upstreamCounts(upstreams.listedCount(), balancer.excludedUpstreams());
    }

    /**
     * Accepts a request; the node takes over the caller's reference to {@code message}.
     *
     * @param arrivedAt when its head arrived, in ms of the clock
     */
    Exchange acceptRequest(Function<Long, Request> description, FullHttpRequest message,
            Exchange.Caller caller, double arrivedAt) {
        Request request = description.apply(++lastId);
        Exchange exchange = new Exchange(request.id(), config.classes().get(request.serviceClass()),
                config.settings().classes().get(request.serviceClass()), message, request.deadline(), caller,
                clock.now(), metrics, requestLog);
        exchanges.put(exchange.id, exchange);
        exchange.receivedAt = clock.now();
        if (exchange.upload == null) {
            watch(exchange);
            notifyModule(exchange, () -> balancer.request(clock.now(), request));
        } else {
            exchange.upload.startClock(arrivedAt, request.deadline() - arrivedAt);
            new BodyReception(exchange).start(request);
        }
        return exchange;
    }

    /** Receives the streamed body of a request, whose deadline counts from the last byte of the body. */
    private final class BodyReception implements Upload.Listener {

        private final Exchange exchange;

        BodyReception(Exchange exchange) {
            this.exchange = exchange;
        }

        void start(Request request) {
            exchange.deadline = Double.POSITIVE_INFINITY;
            exchange.receivedAt = Double.NaN;
            scheduleCheck();
            // The body may already be complete, or malformed.
            exchange.upload.setListener(this);
            if (!exchange.isOpen()) {
                return;
            }
            notifyModule(exchange, isArriving() ? () -> balancer.requestStarted(clock.now(), request)
                    : () -> balancer.request(clock.now(), request));
        }

        private boolean isArriving() {
            return exchange.isOpen() && Double.isNaN(exchange.receivedAt);
        }

        /** Schedules the check that the body arrives while its caller may wait. */
        private void scheduleCheck() {
            double next = Math.max(exchange.upload.deadline(), clock.now() + MIN_BODY_CHECK_MS);
            exchange.deadlineTimer = loop.schedule(this::check, clock.nanosUntil(next), TimeUnit.NANOSECONDS);
        }

        /**
         * Ends a request whose body was not read to its end in time, since attempts didn't take it: its
         * caller may have written all of it long ago, and waits.
         */
        private void check() {
            exchange.upload.updateDeadline();
            if (isArriving() && clock.now() < exchange.upload.deadline()) {
                scheduleCheck();
            } else if (isArriving()) {
                applyDeadline();
            }
        }

        /** Sets the deadline of the request and of its attempts. */
        private void applyDeadline() {
            exchange.deadline = exchange.upload.deadline();
            exchange.deadlineTimer.cancel(false);
            watch(exchange);
            exchange.attempts.stream().filter(Objects::nonNull)
                    .forEach(UpstreamClient.Attempt::deadlineChanged);
        }

        @Override
        public void onComplete() {
            if (!exchange.isOpen()) {
                return;
            }
            exchange.receivedAt = clock.now();
            applyDeadline();
            notifyModule(exchange, () -> balancer.bodyArrived(clock.now(), exchange.id, exchange.deadline));
        }

        @Override
        public void onError(Exception cause) {
            if (!exchange.isOpen() || exchange.isStreaming()) {
                return;
            }
            if (cause instanceof MemoryShortException) {
                metrics.requestRefused(NodeMetrics.RefusalReason.MEMORY);
                exchange.answer(HttpResponseStatus.SERVICE_UNAVAILABLE, Unpooled.EMPTY_BUFFER,
                        frontend.overloadRetryAfter());
            } else {
                frontend.countBadRequest();
                exchange.reject(Frontend.errorStatus(cause), Unpooled.EMPTY_BUFFER);
            }
            abandon(exchange);
        }
    }

    /** Schedules the check that a request was answered by shortly after its deadline. */
    private void watch(Exchange exchange) {
        double latest = exchange.deadline + config.settings().rules().answerGrace() / 2;
        exchange.deadlineTimer = loop.schedule(() -> overdue(exchange), clock.nanosUntil(latest),
                TimeUnit.NANOSECONDS);
    }

    /** Fails a request that the module has left unanswered past its deadline. */
    private void overdue(Exchange exchange) {
        if (exchange.isOpen()) {
            LOG.warning("the decision module left a request unanswered");
            fail(exchange, HttpResponseStatus.GATEWAY_TIMEOUT, NodeMetrics.FailureReason.DEADLINE);
        }
    }

    /** The client has closed its connection. */
    void clientGone(Exchange exchange) {
        if (exchange.isOpen()) {
            boolean streamed = exchange.upload != null || exchange.isStreaming();
            exchange.callerLeft();
            if (streamed) {
                abandon(exchange);
            } else {
                notifyModule(exchange, () -> balancer.clientGone(clock.now(), exchange.id));
                releaseIfDone(exchange);
            }
        }
    }

    /** Cancels the attempts for a client that no longer waits, and notifies the module. */
    private void abandon(Exchange exchange) {
        exchange.attempts.forEach(Node::cancel);
        notifyModule(exchange, () -> balancer.clientGone(clock.now(), exchange.id));
        releaseIfDone(exchange);
    }

    private void finished(Exchange exchange, int number, long upstream, double sentAt, Result result,
            FullHttpResponse response) {
        exchange.attemptsInFlight--;
        exchange.lastResult = result;
        double[] report = response == null || config.settings().reportMode() != ReportMode.PIGGYBACK ? null
                : LoadReport.parse(response.headers().get("X-Pressure"), config.settings().reportFields());
        if (exchange.isStreamedBy(number) && result == Result.OK) {
            exchange.endStream();
        } else if (exchange.isStreamedBy(number)) {
            exchange.streamFailed(result);
        } else if (result == Result.OK && !exchange.isStreaming()) {
            exchange.answer(HttpResponseStatus.OK, response.content(), 0);
        }
        notifyModule(exchange, () -> balancer.attemptFinished(clock.now(), new Outcome(exchange.id, number,
                upstream, result, !exchange.isOpen(), elapsed(exchange, number, sentAt), report)));
        releaseIfDone(exchange);
    }

    /**
     * How long an upstream took for a request. Its time starts when it has the whole body, and the time for
     * which a late loop left its answer unread is not counted.
     */
    private double elapsed(Exchange exchange, int number, double sentAt) {
        if (Double.isNaN(exchange.receivedAt)) {
            return 0;
        }
        double since = clock.now() - Math.max(sentAt, exchange.receivedAt);
        return Math.max(0, since - exchange.localDelay(number) - monitor.lag());
    }

    /** An answer too large to be buffered has started; returns null if nobody waits for it any more. */
    private ResponseSink startStreaming(Exchange exchange, int number, double sentAt,
            UpstreamClient.Attempt attempt, long length) {
        if (!exchange.isOpen() || exchange.isStreaming()) {
            return null;
        }
        ResponseSink sink = exchange.startStream(number, length, attempt::resume);
        notifyModule(exchange, () -> balancer.streamStarted(clock.now(), exchange.id, number,
                elapsed(exchange, number, sentAt)));
        return sink;
    }

    /** Releases a request once it is answered and no attempt is running. */
    private void releaseIfDone(Exchange exchange) {
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

    /** The cost of the module's decisions so far. */
    LoadBalancer.DecisionStats work() {
        return balancer.stats();
    }

    // ---- Actions of the module ---------------------------------------------------------------------

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
            metrics.requestRetried(exchange.lastResult);
        }
        NodeMetrics.NotBegunReason notBegun = notBegunReason(exchange, number, now);
        if (notBegun != null) {
            metrics.attemptNotBegun(notBegun);
            exchange.attempts.add(null);
            finished(exchange, number, upstream, now, Result.NOT_SENT, null);
            return;
        }
        double until = timeout == 0 ? Double.POSITIVE_INFINITY : now + timeout;
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
                return Node.this.startStreaming(exchange, number, now, attempt, length);
            }

            @Override
            public double deadline() {
                return exchange.deadline;
            }

            @Override
            public boolean isUntimedOnceStarted() {
                return exchange.isUntimedOnceStarted();
            }
        };
        exchange.attempts.add(upstreams.send(upstream, exchange.request, until, listener));
    }

    /** Returns why the next attempt of a request must not begin; null if it may. */
    private NodeMetrics.NotBegunReason notBegunReason(Exchange exchange, int number, double now) {
        if (!exchange.isCallerWaiting(now)) {
            return exchange.isOpen() ? NodeMetrics.NotBegunReason.CALLER_UNSEEN
                    : NodeMetrics.NotBegunReason.CALLER_GONE;
        }
        if (now >= exchange.deadline) {
            return NodeMetrics.NotBegunReason.TIME_OVER;
        }
        if (number >= config.settings().limits().maxAttempts()) {
            return NodeMetrics.NotBegunReason.ATTEMPTS_USED;
        }
        return exchange.upload != null && !exchange.upload.isRepeatable()
                ? NodeMetrics.NotBegunReason.BODY_PASSED_ON : null;
    }

    @Override
    public void refuse(long requestId, double retryAfter) {
        answer(requestId, HttpResponseStatus.SERVICE_UNAVAILABLE, retryAfter);
    }

    @Override
    public void fail(long requestId) {
        metrics.failed(NodeMetrics.FailureReason.UPSTREAMS);
        answer(requestId, HttpResponseStatus.BAD_GATEWAY, 0);
    }

    private void answer(long requestId, HttpResponseStatus status, double retryAfter) {
        Exchange exchange = exchanges.get(requestId);
        if (exchange != null) {
            exchange.answer(status, Unpooled.EMPTY_BUFFER, retryAfter);
            releaseIfDone(exchange);
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
            notifyModule(null, () -> balancer.probeResult(clock.now(), upstream, result, clock.now() - sentAt,
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
        Exchange about = currentExchange;
        loop.schedule(() -> {
            if (clock.now() > at + LoopMonitor.LATE_THRESHOLD_MS) {
                // The loop is late: read the sockets first, as the awaited event may be there already.
                loop.schedule(() -> fireTimer(about, token), 1, TimeUnit.NANOSECONDS);
            } else {
                fireTimer(about, token);
            }
        }, clock.nanosUntil(at), TimeUnit.NANOSECONDS);
    }

    private void fireTimer(Exchange about, long token) {
        notifyModule(about, () -> balancer.timer(clock.now(), token));
    }

    /** Not supported: balancers of this deployment have no channel between each other. */
    @Override
    public void sendToPeer(int peer, byte[] payload) {
        LOG.warning("the module sent a message to a peer, which is not supported here");
    }

    @Override
    public void log(String text) {
        LOG.info(text);
    }
}
