package cranedeal.fleet.config;

import cranedeal.fleet.membership.Actions;
import cranedeal.fleet.membership.Member;
import cranedeal.fleet.membership.Membership;
import cranedeal.fleet.membership.Message;
import cranedeal.fleet.membership.Settings;
import cranedeal.fleet.membership.State;
import cranedeal.fleet.membership.VersionNotice;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Simulates three coordinators and many members in virtual time, with the production code of membership, log
 * and follower. Runs are deterministic for a seed.
 */
final class FleetSimulation {

    static final int SERVICES = 21;
    static final int ZONES = 6;
    private static final String FLEET = "clinics";
    private static final int PORT = 9_000;
    private static final int HOSTS_PER_SUBNET = 250;
    /** One of this many datagrams is encoded, to measure its size. */
    private static final int SAMPLE_INTERVAL = 16;

    /** A version that a member has not applied yet. */
    private record PendingVersion(VersionId id, double since) { }

    /** A process of the fleet across its restarts. */
    final class SimulatedProcess implements Actions, ConfigFollower.Actions {

        final int index;
        final InetSocketAddress address;
        final int zoneIndex;
        final String zone;
        final String service;
        /** Null for a member. */
        final CoordinatorSimulation.Node node;
        /** Limits the calls answered by a coordinator, or the bytes served by a member. */
        private final TokenBucket servingBudget;
        private Membership membership;
        ConfigFollower follower;
        private FollowerState disk = FollowerState.EMPTY;
        boolean up;
        private int process;
        private long incarnation;
        private double nextWakeAt = Double.POSITIVE_INFINITY;
        private double pausedUntil;
        private double reachableSince;
        private final Deque<PendingVersion> pendingVersions = new ArrayDeque<>();
        private VersionId highestHeld = VersionId.NONE;
        private VersionId highestInForce = VersionId.NONE;
        /** Bytes of calls, sent and received, by second. */
        private final Map<Long, long[]> callBytes = new HashMap<>();
        private long datagramsSent;
        final Map<Long, Integer> callsBySecond = new HashMap<>();

        SimulatedProcess(int index, CoordinatorSimulation.Node node) {
            this.index = index;
            this.node = node;
            servingBudget = node == null ? ConfigMember.servingBudget() : Coordinator.servingBudget();
            address = addressOf(index);
            // Coordinators in three zones of two regions.
            zoneIndex = node != null ? 2 * index : index % ZONES;
            zone = "z" + zoneIndex;
            service = node != null ? "" : "s" + index % SERVICES;
        }

        String name() {
            return node == null ? "m" + index : node.name;
        }

        boolean isRunning() {
            return up && coordinatorSimulation.now >= pausedUntil;
        }

        void start(Collection<Member> known) {
            process++;
            up = true;
            nextWakeAt = Double.POSITIVE_INFINITY;
            reachableSince = coordinatorSimulation.now;
            highestInForce = VersionId.NONE;
            membership = new Membership(new Member(name(), address, coordinatorSimulation.random.nextLong(),
                    ++incarnation,
                    State.ALIVE, node == null ? "serve" : "coordinator", "1.0"), FLEET, settings,
                    coordinatorSimulation.random.nextLong(), this);
            membership.start(coordinatorSimulation.now, processes.stream()
                    .filter(process -> process.node != null)
                    .map(process -> process.address).toList(), known);
            if (node == null) {
                follower = new ConfigFollower(ConfigFollower.Settings.defaults(service, zone),
                        coordinatorSimulation.random.nextLong(), this);
                follower.start(coordinatorSimulation.now, disk);
            } else {
                advertise(VersionId.NONE);
                node.onCommitted = version -> run(() -> {
                    advertise(version.id());
                    versionCommitted(version);
                });
            }
            schedule();
        }

        void kill() {
            up = false;
            nextWakeAt = Double.POSITIVE_INFINITY;
            if (node != null) {
                node.kill();
            }
        }

        void restart() {
            if (node != null && !node.up) {
                node.start();
            }
            start(processes.stream().filter(process -> process.membership != null)
                    .map(process -> process.membership.self())
                    .toList());
        }

        void pause(double ms) {
            pausedUntil = coordinatorSimulation.now + ms;
            reachableSince = pausedUntil;
            if (node != null) {
                node.pausedUntil = pausedUntil;
            }
        }

        /** Runs a task in this process, once it is not paused. */
        private void run(Runnable task) {
            int startedProcess = process;
            coordinatorSimulation.schedule(Math.max(coordinatorSimulation.now, pausedUntil), () -> {
                if (!up || startedProcess != process) {
                    return;
                }
                if (coordinatorSimulation.now < pausedUntil) {
                    run(task);
                    return;
                }
                task.run();
                schedule();
                checkProgress();
            });
        }

        private void schedule() {
            double next = Math.min(membership.wakeAt(), follower == null ? Double.POSITIVE_INFINITY
                    : follower.wakeAt());
            if (up && next < nextWakeAt) {
                nextWakeAt = next;
                int startedProcess = process;
                coordinatorSimulation.schedule(Math.max(next, coordinatorSimulation.now), () -> {
                    if (startedProcess == process && up) {
                        nextWakeAt = Double.POSITIVE_INFINITY;
                        run(() -> {
                            membership.tick(coordinatorSimulation.now);
                            if (follower != null) {
                                follower.tick(coordinatorSimulation.now);
                            }
                        });
                    }
                });
            }
        }

        /** Records the delays of applied versions, and fails if a version goes back. */
        private void checkProgress() {
            if (follower == null) {
                return;
            }
            VersionId held = follower.held();
            VersionId inForce = follower.state().inForce();
            if (highestHeld.isAfter(held) || highestInForce.isAfter(inForce)) {
                throw new AssertionError(name() + " goes back from " + highestHeld + " to " + held
                        + ", in force "
                        + highestInForce + " to " + inForce);
            }
            highestHeld = held;
            highestInForce = inForce;
            boolean settled = follower.state().refusal() != null || held.equals(inForce);
            while (settled && !pendingVersions.isEmpty() && !pendingVersions.peek().id().isAfter(held)) {
                delaysMs.add(coordinatorSimulation.now - Math.max(pendingVersions.poll().since(),
                        reachableSince));
            }
        }

        private void countCall(long bytes) {
            callBytes.computeIfAbsent((long) (coordinatorSimulation.now / 1_000),
                    second -> new long[1])[0] += bytes;
        }

        // Actions of the membership.

        @Override
        public void send(InetSocketAddress to, Message message) {
            SimulatedProcess target = processByAddress.get(to);
            if (++datagramsSent % SAMPLE_INTERVAL == 0) {
                int size = message.encodedSize(FLEET);
                if (size > 1_200) {
                    throw new AssertionError("a datagram of " + size + " bytes");
                }
                datagramBytes += (long) SAMPLE_INTERVAL * size;
            }
            if (target != null && canReach.test(this, target) && random.nextDouble() >= loss) {
                coordinatorSimulation.schedule(coordinatorSimulation.now + delay(this, target),
                        () -> target.run(() ->
                        target.membership.received(coordinatorSimulation.now, address, message)));
            }
        }

        @Override
        public void sync(InetSocketAddress with) {
            SimulatedProcess target = processByAddress.get(with);
            if (target != null && canReach.test(this, target) && canReach.test(target, this)) {
                coordinatorSimulation.schedule(coordinatorSimulation.now + 3,
                        () -> target.run(() -> run(() -> {
                    target.membership.merge(coordinatorSimulation.now, membership.members());
                    membership.merge(coordinatorSimulation.now, target.membership.members());
                    target.schedule();
                })));
            }
        }

        @Override
        public void memberChanged(Member before, Member now) {
            // Covered by the tests of membership.
        }

        @Override
        public void isolationChanged(boolean isIsolated) {
            // Likewise.
        }

        @Override
        public void superseded(Member by) {
            throw new AssertionError(name() + " is superseded");
        }

        @Override
        public void noticeReceived(Member from, VersionNotice notice) {
            if (follower != null) {
                follower.noticeReceived(coordinatorSimulation.now, from.address(), notice);
            }
        }

        // Actions of the follower.

        private <T> void call(InetSocketAddress address, long number, Function<SimulatedProcess, T> request,
                Function<T, Integer> size, Consumer<T> answered) {
            SimulatedProcess target = processByAddress.get(address);
            int startedProcess = process;
            if (!canReach.test(this, target) || !canReach.test(target, this)
                    || random.nextDouble() < lossOfCalls) {
                return;
            }
            if (!target.up) {
                run(() -> follower.callFailed(coordinatorSimulation.now, number));
                return;
            }
            coordinatorSimulation.schedule(coordinatorSimulation.now + 2 * delay(this, target),
                    () -> target.run(() -> {
                if (target.node != null) {
                    target.callsBySecond.merge((long) (coordinatorSimulation.now / 1_000), 1, Integer::sum);
                }
                T answer = request.apply(target);
                int body = answer == null ? 0 : size.apply(answer);
                boolean isServed = target.node != null ? target.servingBudget.take(coordinatorSimulation.now)
                        : target.servingBudget.takeWithDebt(coordinatorSimulation.now,
                        ConfigMember.CALL_BYTES + body);
                int bytes = ConfigMember.CALL_BYTES + (isServed ? body : 0);
                target.countCall(bytes);
                countCall(bytes);
                coordinatorSimulation.schedule(coordinatorSimulation.now + delay(target, this), () -> {
                    if (startedProcess == process) {
                        run(() -> {
                            if (isServed) {
                                answered.accept(answer);
                            } else {
                                follower.callFailed(coordinatorSimulation.now, number);
                            }
                        });
                    }
                });
            }));
        }

        @Override
        public void requestManifest(long call, InetSocketAddress address, VersionId after) {
            call(address, call, target -> target.manifest(after), manifest -> manifest.bytes().length,
                    manifest -> follower.manifest(coordinatorSimulation.now, call, manifest));
        }

        private Manifest manifest(VersionId after) {
            Manifest manifest = node != null ? node.log.current() == null ? null
                    : node.log.current().manifest() : follower.state().held();
            return manifest == null || !manifest.id().isAfter(after) ? null : manifest;
        }

        @Override
        public void requestSection(long call, InetSocketAddress address, String checksum) {
            call(address, call, target -> target.node == null ? target.follower.section(checksum)
                    : target.node.log.current() == null ? null : target.node.log.current().section(checksum),
                    bytes -> bytes.length, bytes -> {
                    sectionCalls++;
                    if (bytes == null) {
                        follower.callFailed(coordinatorSimulation.now, call);
                    } else if (random.nextDouble() < damage) {
                        byte[] bad = bytes.clone();
                        bad[random.nextInt(bad.length)] ^= (byte) (1 << random.nextInt(8));
                        follower.section(coordinatorSimulation.now, call, bad);
                    } else {
                        follower.section(coordinatorSimulation.now, call, bytes);
                    }
                });
        }

        @Override
        public void apply(VersionId id, byte[] section) {
            coordinatorSimulation.schedule(coordinatorSimulation.now + 5 + random.nextInt(50),
                    () -> run(() -> follower.applied(coordinatorSimulation.now, id,
                    section != null && refusesSection.test(this, section)
                    ? new FollowerState.Refusal("settings.is", "not that") : null)));
        }

        @Override
        public void persist(FollowerState state) {
            try {
                disk = FollowerState.parse(state.bytes());
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        @Override
        public void advertise(VersionId id) {
            membership.advertise(coordinatorSimulation.now, new VersionNotice(id.epoch(), id.number(),
                    service, zone));
        }

        @Override
        public Collection<InetSocketAddress> coordinators() {
            return coordinators.stream().filter(process -> membership.stateOf(process.name()) != null
                    && membership.stateOf(process.name()).isPresent()).map(process -> process.address)
                    .toList();
        }

        @Override
        public void log(String line) {
            // Log lines are not checked.
        }
    }

    final CoordinatorSimulation coordinatorSimulation;
    final List<SimulatedProcess> processes = new ArrayList<>();
    final List<SimulatedProcess> coordinators = new ArrayList<>();
    final List<SimulatedProcess> members = new ArrayList<>();
    private final Map<InetSocketAddress, SimulatedProcess> processByAddress = new HashMap<>();
    private final Settings settings = Settings.DEFAULTS;
    private final SplittableRandom random;
    private VersionId newest = VersionId.NONE;
    private final TreeMap<VersionId, Double> committedAt = new TreeMap<>();
    /** The delay of each version to each member in ms, without the time a member was unreachable. */
    final List<Double> delaysMs = new ArrayList<>();
    long sectionCalls;
    /** Bytes of datagrams sent by all, estimated from a sample. */
    private long datagramBytes;
    double loss;
    double lossOfCalls;
    double damage;
    BiPredicate<SimulatedProcess, SimulatedProcess> canReach = (from, to) -> true;
    BiPredicate<SimulatedProcess, byte[]> refusesSection = (party, section) -> false;

    FleetSimulation(int size, long seed) {
        coordinatorSimulation = new CoordinatorSimulation(3, seed);
        random = new SplittableRandom(seed);
        List<CoordinatorSimulation.Node> nodes = coordinatorSimulation.all();
        for (int i = 0; i < size + nodes.size(); i++) {
            SimulatedProcess party = new SimulatedProcess(i, i < nodes.size() ? nodes.get(i) : null);
            processes.add(party);
            processByAddress.put(party.address, party);
            (party.node == null ? members : coordinators).add(party);
        }
        processes.forEach(process -> process.start(List.of()));
        List<Member> all = processes.stream().map(process -> process.membership.self()).toList();
        processes.forEach(process -> {
            process.membership.addKnownMembers(coordinatorSimulation.now, all);
            process.schedule();
        });
        coordinatorSimulation.canReach = (from, to) -> canReach.test(processOfNode(from), processOfNode(to));
    }

    private SimulatedProcess processOfNode(String name) {
        return coordinators.stream().filter(process -> process.node.name.equals(name)).findFirst()
                .orElseThrow();
    }

    private static InetSocketAddress addressOf(int index) {
        try {
            return new InetSocketAddress(InetAddress.getByAddress(new byte[] {127, 1,
                (byte) (index / HOSTS_PER_SUBNET), (byte) (1 + index % HOSTS_PER_SUBNET)}), PORT);
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Network delay in ms: at least 0.2 within a region, at least 15 between regions. */
    private double delay(SimulatedProcess from, SimulatedProcess to) {
        boolean regions = region(from) != region(to);
        return (regions ? 15 : 0.2) + random.nextDouble() * (regions ? 5 : 1);
    }

    static int region(SimulatedProcess party) {
        return party.zoneIndex / 3;
    }

    private void versionCommitted(Version version) {
        if (version.id().isAfter(newest)) {
            newest = version.id();
            committedAt.put(newest, coordinatorSimulation.now);
            members.forEach(member -> member.pendingVersions.add(new PendingVersion(newest,
                    coordinatorSimulation.now)));
        }
    }

    VersionId newest() {
        return newest;
    }

    int committed() {
        return committedAt.size();
    }

    /** From now on a process reaches another only if the predicate allows it. */
    void cut(BiPredicate<SimulatedProcess, SimulatedProcess> isOpen) {
        canReach = isOpen;
    }

    /** Ends the cut; the delays of processes that were cut off count from now. */
    void heal(Collection<SimulatedProcess> cutOff) {
        canReach = (from, to) -> true;
        cutOff.forEach(process -> process.reachableSince = Math.max(process.reachableSince,
                coordinatorSimulation.now));
    }

    /** The longest wait, in ms, of a running member for a version that it has not applied yet. */
    double longestWait() {
        double longest = 0;
        for (SimulatedProcess member : members) {
            if (member.isRunning() && !member.pendingVersions.isEmpty()) {
                longest = Math.max(longest,
                        coordinatorSimulation.now - Math.max(member.pendingVersions.peek().since(),
                        member.reachableSince));
            }
        }
        return longest;
    }

    /** The maximum number of calls to a coordinator in a second. */
    int maxCallsPerSecond() {
        return coordinators.stream().flatMap(process -> process.callsBySecond.values().stream())
                .mapToInt(Integer::intValue).max().orElse(0);
    }

    /** Bytes of datagrams sent, per second and process. */
    double meanDatagramBytes() {
        return datagramBytes / (coordinatorSimulation.now / 1_000) / processes.size();
    }

    /** Bytes of configuration calls sent and received, per second and member. */
    double meanCallBytes() {
        return members.stream().flatMap(process -> process.callBytes.values().stream())
                .mapToLong(sum -> sum[0])
                .sum() / (coordinatorSimulation.now / 1_000) / members.size();
    }

    /** The maximum of those bytes for any member in any second. */
    long maxCallBytesPerSecond() {
        return members.stream().flatMap(process -> process.callBytes.values().stream())
                .mapToLong(sum -> sum[0])
                .max().orElse(0);
    }
}
