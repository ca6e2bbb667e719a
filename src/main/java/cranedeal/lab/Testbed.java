package cranedeal.lab;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.management.UnixOperatingSystemMXBean;
import cranedeal.lab.history.Event;
import cranedeal.lab.history.Event.Life;
import cranedeal.lab.hollow.HollowConfig;
import cranedeal.lab.link.AddressBlock;
import cranedeal.lab.link.DatagramLinks;
import cranedeal.lab.link.Impairment;
import cranedeal.lab.link.StreamLink;
import cranedeal.lab.process.ChildProcess;
import cranedeal.lab.process.ProcessSupervisor;
import cranedeal.lab.standin.Clients;
import cranedeal.lab.standin.DiscoveryServer;
import cranedeal.lab.standin.Front;
import cranedeal.lab.standin.LabClock;
import cranedeal.lab.standin.SeenKeys;
import cranedeal.lab.standin.UpstreamKind;
import cranedeal.lab.standin.UpstreamServer;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.http.HttpClient;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** All parties of one experiment and the links between them. Closing it stops all of them. */
final class Testbed implements AutoCloseable {

    private static final int CLIENTS_PARTY = 0;
    private static final int DISCOVERY_PARTY = 1;
    private static final int FIRST_BALANCER = 2;
    private static final int EVENT_LOOPS = 4;
    private static final int MAX_SEEDS = 2;
    /** Number of processes that start in parallel. */
    private static final int START_THREADS = 8;
    /** Descriptors per hollow balancer: a relay's two listeners, an exchange, the discovery link, a call. */
    private static final int DESCRIPTORS_PER_HOLLOW = 8;
    /** Above this share of the lab's descriptor limit, its results cannot be trusted. */
    private static final double MAX_DESCRIPTOR_SHARE = 0.9;

    private final Experiment experiment;
    private final LabClock clock;
    private final Consumer<Event> history;
    private final SplittableRandom random;
    private final AddressBlock addresses = AddressBlock.reserve();
    private final ProcessSupervisor supervisor = new ProcessSupervisor();
    private final EventLoopGroup relays = group("links", EVENT_LOOPS);
    private final EventLoopGroup simulatedServers = group("stand-ins", EVENT_LOOPS);
    private final EventLoopGroup client = group("clients", 1);
    private final HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(1)).build();
    /** Links between balancers that are members of a fleet. */
    private final DatagramLinks members;
    private final Map<LinkName, StreamLink> links = new ConcurrentHashMap<>();
    private final Set<Set<Integer>> partitionedRegions = ConcurrentHashMap.newKeySet();
    private final Map<String, Integer> parties = new LinkedHashMap<>();
    private final Map<String, UpstreamServer> upstreams = new LinkedHashMap<>();
    private final Map<String, BalancerProcess> balancers = new LinkedHashMap<>();
    /** The hollow balancers, which have no data path; null if there are none. */
    private HollowFleet hollow;
    private DiscoveryServer discovery;
    private Front front;
    private Clients clients;

    /** The link by which one party reaches another. */
    record LinkName(String from, String to) {

        @Override
        public String toString() {
            return from + ">" + to;
        }
    }

    /** A link that a fault affects; reversed if the fault names its ends in the opposite order. */
    record AffectedLink(LinkName link, boolean reversed) { }

    /** Creates the parties without starting them; after a failure everything is closed again. */
    Testbed(Experiment experiment, List<String> program, Path folder, LabClock clock, Consumer<Event> history)
            throws IOException, InterruptedException {
        this.experiment = experiment;
        this.clock = clock;
        this.history = history;
        random = new SplittableRandom(experiment.seed());
        members = new DatagramLinks(relays.next(), new SplittableRandom(experiment.seed() + 1));
        boolean complete = false;
        try {
            build(program, folder);
            complete = true;
        } finally {
            if (!complete) {
                close();
            }
        }
    }

    /** Returns the links between the parties that match two patterns. */
    static List<AffectedLink> links(Experiment of, String from, String to) {
        List<LinkName> all = new ArrayList<>();
        for (String balancer : of.balancerNames()) {
            all.add(new LinkName(Experiment.CLIENTS, balancer));
            all.add(new LinkName(balancer, Experiment.DISCOVERY));
            of.upstreamNames().forEach(upstream -> all.add(new LinkName(balancer, upstream)));
            if (of.members()) {
                of.balancerNames().stream().filter(other -> balancer.compareTo(other) < 0)
                        .forEach(other -> all.add(new LinkName(balancer, other)));
            }
        }
        List<AffectedLink> hits = new ArrayList<>();
        for (LinkName link : all) {
            if (Fault.matches(from, link.from()) && Fault.matches(to, link.to())) {
                hits.add(new AffectedLink(link, false));
            } else if (Fault.matches(from, link.to()) && Fault.matches(to, link.from())) {
                hits.add(new AffectedLink(link, true));
            }
        }
        return hits;
    }

    private void build(List<String> program, Path folder) throws IOException, InterruptedException {
        List<String> names = experiment.balancerNames();
        parties.put(Experiment.CLIENTS, CLIENTS_PARTY);
        parties.put(Experiment.DISCOVERY, DISCOVERY_PARTY);
        names.forEach(name -> parties.put(name, FIRST_BALANCER + names.indexOf(name)));
        experiment.upstreamNames().forEach(name -> parties.put(name, parties.size()));
        Map<InetAddress, Integer> askers = new HashMap<>();
        Map<Integer, String> byParty = new HashMap<>();
        Map<InetAddress, String> byAddress = new HashMap<>();
        experiment.hollowNames().forEach(name -> parties.put(name, parties.size()));
        for (String name : experiment.memberNames()) {
            askers.put(addresses.ip(parties.get(name)), parties.get(name));
            byParty.put(parties.get(name), name);
            byAddress.put(addresses.ip(parties.get(name)), name);
        }
        discovery = new DiscoveryServer(simulatedServers.next(), clock, experiment.callMs(), askers, byParty,
                addresses::linkAddress, history);
        discovery.bind(addresses.listenAddress(DISCOVERY_PARTY));
        List<UpstreamKind> kinds = experiment.upstreamKinds();
        Map<String, Integer> cells = experiment.cells();
        Map<Integer, SeenKeys> seen = new HashMap<>();
        for (String name : experiment.upstreamNames()) {
            UpstreamKind kind = kinds.get(upstreams.size());
            UpstreamServer upstream = new UpstreamServer(name, kind, simulatedServers.next(), clock,
                    random.split(),
                    byAddress::get, history, seen.computeIfAbsent(cells.get(name),
                            cell -> new SeenKeys(experiment.longestMemoryMs())));
            upstream.bind(addresses.listenAddress(parties.get(name)));
            upstreams.put(name, upstream);
            await(discovery.list(name, parties.get(name), experiment.zone(name), kind.name(), cells.get(name),
                    1));
        }
        for (AffectedLink hit : links(experiment, "*", "*")) {
            if (!isBetweenMembers(hit.link())) {
                open(hit.link());
            }
        }
        for (String name : experiment.members() ? experiment.memberNames() : List.<String>of()) {
            await(members.addParty(member(name, AddressBlock.MEMBER_PORT), member(name,
                    AddressBlock.MEMBER_LINK_PORT), experiment.region(name)));
        }
        setRegionsPartitioned(false, experiment.scale().regionNames());
        EventLoop loop = client.next();
        front = new Front(loop, names.stream().map(name -> new Front.Backend(name,
                link(Experiment.CLIENTS, name).address())).toList(), experiment.frontEveryMs());
        clients = new Clients(loop, front, experiment.load(), clock, random.split(), history);
        for (String name : names) {
            balancers.put(name, balancer(name, program, folder));
        }
        if (experiment.scale().hollow() > 0) {
            hollow = hollow(folder.resolve("hollow"));
        }
    }

    private HollowFleet hollow(Path folder) throws IOException, InterruptedException {
        if (ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean system) {
            long wanted = system.getOpenFileDescriptorCount()
                    + (long) DESCRIPTORS_PER_HOLLOW * experiment.scale().hollow();
            if (wanted > MAX_DESCRIPTOR_SHARE * system.getMaxFileDescriptorCount()) {
                throw new IOException("the links of " + experiment.scale().hollow() + " hollow balancers may"
                        + " need " + wanted + " descriptors, of " + system.getMaxFileDescriptorCount()
                        + "; raise the limit (ulimit -n) or take fewer");
            }
        }
        Files.createDirectories(folder);
        ObjectNode like = balancers.values().iterator().next().config().deepCopy();
        like.remove(List.of("fleet", "state_dir"));
        List<HollowConfig.Balancer> all = new ArrayList<>();
        for (String name : experiment.hollowNames()) {
            open(new LinkName(name, Experiment.DISCOVERY));
            Path file = folder.resolve(name + ".json").toAbsolutePath();
            like.put("name", name)
                    .put("discovery", BalancerConfig.text(link(name, Experiment.DISCOVERY).address()))
                    .set("known", await(discovery.known(parties.get(name))));
            Files.writeString(file, like.toString());
            all.add(new HollowConfig.Balancer(name, BalancerConfig.text(member(name,
                    AddressBlock.MEMBER_PORT)),
                    BalancerConfig.text(member(name, AddressBlock.MEMBER_LINK_PORT)), file.toString()));
        }
        List<String> seeds = experiment.balancerNames().stream().limit(MAX_SEEDS)
                .map(name -> BalancerConfig.text(member(name, AddressBlock.MEMBER_LINK_PORT))).toList();
        int next = parties.size();
        return new HollowFleet(experiment, all, seeds, number -> addresses.ip(next + number).getHostAddress()
                + ":" + AddressBlock.ADMIN_PORT, folder, supervisor, http);
    }

    /** Partitions regions from one another, or restores the usual links between them. */
    void setRegionsPartitioned(boolean apart, List<String> regions) throws IOException, InterruptedException {
        for (int i = 0; i < regions.size(); i++) {
            for (int j = i + 1; j < regions.size(); j++) {
                int one = experiment.scale().regionNames().indexOf(regions.get(i));
                int other = experiment.scale().regionNames().indexOf(regions.get(j));
                await(members.impairGroups(one, other, apart ? Impairment.BLOCKED
                        : experiment.scale().betweenRegions()));
                if (apart) {
                    partitionedRegions.add(Set.of(one, other));
                } else {
                    partitionedRegions.remove(Set.of(one, other));
                }
            }
        }
    }

    /** Returns true if two regions are partitioned. */
    boolean isPartitioned(int one, int other) {
        return partitionedRegions.contains(Set.of(one, other));
    }

    /** Returns the hollow balancers; null if there are none. */
    HollowFleet hollow() {
        return hollow;
    }

    /** Returns the share of the descriptor limit that is in use; 0 if the system does not report it. */
    private static double openDescriptorShare() {
        return ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean system
                ? system.getOpenFileDescriptorCount() / (double) system.getMaxFileDescriptorCount() : 0;
    }

    private boolean isBetweenMembers(LinkName link) {
        return experiment.balancerNames().contains(link.from())
                && experiment.balancerNames().contains(link.to());
    }

    private InetSocketAddress member(String name, int port) {
        return new InetSocketAddress(addresses.ip(parties.get(name)), port);
    }

    /** Returns the address at which a balancer's membership view is queried. */
    InetSocketAddress member(String name) {
        return member(name, AddressBlock.MEMBER_PORT);
    }

    private void open(LinkName name) throws IOException, InterruptedException {
        int from = parties.get(name.from());
        int to = parties.get(name.to());
        StreamLink link = new StreamLink(relays.next(), addresses.linkAddress(from, to),
                addresses.listenAddress(to),
                addresses.ip(from), random.split());
        links.put(name, link);
        await(link.setTargetUp(!name.from().equals(Experiment.CLIENTS)));
    }

    private BalancerProcess balancer(String name, List<String> program, Path folder)
            throws IOException, InterruptedException {
        int party = parties.get(name);
        Path balancerFolder = Files.createDirectories(folder.resolve(name)).toAbsolutePath();
        var config = BalancerConfig.of(experiment, experiment.balancerNames().indexOf(name),
                addresses.listenAddress(party), link(name, Experiment.DISCOVERY).address(), random.nextLong(),
                await(discovery.known(party)), experiment.balancerNames().stream().limit(MAX_SEEDS)
                        .map(seed -> addresses.listenAddress(parties.get(seed))).toList());
        if (experiment.members()) {
            // Kept over starts, which empty the disk folder, as the disk of a machine would be.
            ((ObjectNode) config.get("fleet")).put("state_dir", balancerFolder.resolve("members").toString());
        }
        if (experiment.state()) {
            config.put("state_dir", balancerFolder.resolve("state").toString());
        }
        return new BalancerProcess(name, party, addresses, config, experiment.door(), balancerFolder, program,
                supervisor,
                http, link(Experiment.CLIENTS, name), front, clock, history);
    }

    /** Starts all balancers; returns when all serve and the front assigns connections. */
    void start() throws IOException, InterruptedException {
        ExecutorService starters = Executors.newFixedThreadPool(START_THREADS);
        try {
            List<java.util.concurrent.Future<?>> started = new ArrayList<>();
            for (BalancerProcess balancer : balancers.values()) {
                started.add(starters.submit(() -> {
                    balancer.start();
                    return null;
                }));
            }
            for (java.util.concurrent.Future<?> one : started) {
                one.get();
            }
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage(), e.getCause());
        } finally {
            starters.shutdownNow();
        }
        if (hollow != null) {
            hollow.start(experiment.hollowNames());
        }
        balancers.keySet().forEach(name -> front.take(name, true));
        front.start();
    }

    Clients clients() {
        return clients;
    }

    Front front() {
        return front;
    }

    Map<String, BalancerProcess> balancers() {
        return balancers;
    }

    UpstreamServer upstream(String name) {
        return upstreams.get(name);
    }

    StreamLink link(String from, String to) {
        return links.get(new LinkName(from, to));
    }

    /** Impairs links; {@code there} applies to the fault's direction, {@code andBack} to the opposite. */
    void impair(List<AffectedLink> hits, Impairment there, Impairment andBack) throws IOException,
            InterruptedException {
        List<Future<?>> changes = new ArrayList<>();
        for (AffectedLink hit : hits) {
            if (isBetweenMembers(hit.link())) {
                InetAddress from = addresses.ip(parties.get(hit.link().from()));
                InetAddress to = addresses.ip(parties.get(hit.link().to()));
                changes.add(members.impair(from, to, hit.reversed() ? andBack : there));
                changes.add(members.impair(to, from, hit.reversed() ? there : andBack));
                continue;
            }
            StreamLink link = links.get(hit.link());
            changes.add(hit.reversed() ? link.impair(andBack, there) : link.impair(there, andBack));
        }
        for (Future<?> change : changes) {
            await(change);
        }
    }

    /** Resets all open connections of links. */
    void reset(List<AffectedLink> hits) throws IOException, InterruptedException {
        for (AffectedLink hit : hits) {
            if (!isBetweenMembers(hit.link())) {
                await(links.get(hit.link()).reset());
            }
        }
    }

    /** Returns all links of a party. */
    List<AffectedLink> linksOf(String party) {
        return links(experiment, party, "*");
    }

    /** Simulates the death of an upstream: resets its connections and refuses new ones. */
    void stopUpstream(String name) throws IOException, InterruptedException {
        history.accept(new Event.ProcessChanged(clock.now(), name, Life.KILLED, 0));
        for (AffectedLink hit : linksOf(name)) {
            await(links.get(hit.link()).setTargetUp(false));
            await(links.get(hit.link()).reset());
        }
    }

    /** Starts an upstream again, cold; discovery lists it after its usual delay. */
    void startUpstream(String name) throws IOException, InterruptedException {
        await(upstreams.get(name).restart());
        long startedAt = System.currentTimeMillis();
        for (AffectedLink hit : linksOf(name)) {
            await(links.get(hit.link()).setTargetUp(true));
        }
        history.accept(new Event.ProcessChanged(clock.now(), name, Life.READY, 0));
        TimeUnit.MILLISECONDS.sleep((long) experiment.listLateMs());
        await(discovery.started(name, startedAt));
    }

    /** Changes an upstream's state in discovery, after its usual delay. */
    void setListedState(String name, String state) throws IOException, InterruptedException {
        TimeUnit.MILLISECONDS.sleep((long) experiment.listLateMs());
        await(discovery.state(name, state));
    }

    /**
     * Records the CPU time and memory of each process; throws {@link IOException} if the lab itself runs out
     * of descriptors.
     */
    void sample() throws IOException {
        if (openDescriptorShare() > MAX_DESCRIPTOR_SHARE) {
            throw new IOException("the lab has no descriptors left for so many links and connections;"
                    + " raise the limit (ulimit -n) or take fewer balancers or upstreams");
        }
        for (BalancerProcess balancer : balancers.values()) {
            ChildProcess child = balancer.current();
            if (child != null) {
                child.usage().ifPresent(usage -> history.accept(new Event.ProcessUsage(clock.now(),
                        balancer.name(),
                        usage.cpuMs(), usage.rssKb())));
            }
        }
    }

    static <T> T await(Future<T> change) throws IOException, InterruptedException {
        if (!change.await().isSuccess()) {
            throw new IOException("the lab itself failed: " + change.cause().getMessage(), change.cause());
        }
        return change.getNow();
    }

    private static EventLoopGroup group(String name, int loops) {
        return new MultiThreadIoEventLoopGroup(loops, new DefaultThreadFactory(name, true),
                NioIoHandler.newFactory());
    }

    @Override
    public void close() throws IOException {
        supervisor.close();
        links.values().forEach(StreamLink::close);
        members.close();
        upstreams.values().forEach(UpstreamServer::close);
        if (discovery != null) {
            discovery.close();
        }
        for (EventLoopGroup group : List.of(client, relays, simulatedServers)) {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        }
        addresses.close();
    }
}
