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
 * Three coordinators and many members in virtual time, with the program's own code of membership, log and
 * follower; the same seed plays the same.
 */
final class ConfigFleet {

    static final int SERVICES = 21;
    static final int ZONES = 6;
    private static final String FLEET = "clinics";
    private static final int PORT = 9_000;
    private static final int HOSTS = 250;
    /** One of so many datagrams is encoded, to see how large they are. */
    private static final int SAMPLE = 16;

    /** A version that somebody has not come to yet. */
    private record Due(VersionId id, double since) { }

    /** A process of the fleet, over all its starts. */
    final class Party implements Actions, ConfigFollower.Actions {

        final int index;
        final InetSocketAddress address;
        final int zoneIndex;
        final String zone;
        final String service;
        /** Null for a member. */
        final Coordinators.Node node;
        /** Calls that a coordinator answers, bytes that a member does. */
        private final TokenBucket served;
        private Membership core;
        ConfigFollower follower;
        private FollowerState disk = FollowerState.NOTHING;
        boolean up;
        private int process;
        private long incarnation;
        private double wake = Double.POSITIVE_INFINITY;
        private double pausedUntil;
        private double reachableSince;
        private final Deque<Due> due = new ArrayDeque<>();
        private VersionId highest = VersionId.NONE;
        private VersionId highestInForce = VersionId.NONE;
        /** Of calls, sent and received, by the second. */
        private final Map<Long, long[]> callBytes = new HashMap<>();
        private long messages;
        final Map<Long, Integer> callsBySecond = new HashMap<>();

        Party(int index, Coordinators.Node node) {
            this.index = index;
            this.node = node;
            served = node == null ? ConfigMember.servingBudget() : Coordinator.servingBudget();
            address = addressOf(index);
            // Coordinators in three zones of two regions.
            zoneIndex = node != null ? 2 * index : index % ZONES;
            zone = "z" + zoneIndex;
            service = node != null ? "" : "s" + index % SERVICES;
        }

        String name() {
            return node == null ? "m" + index : node.name;
        }

        boolean runs() {
            return up && world.now >= pausedUntil;
        }

        void start(Collection<Member> known) {
            process++;
            up = true;
            wake = Double.POSITIVE_INFINITY;
            reachableSince = world.now;
            highestInForce = VersionId.NONE;
            core = new Membership(new Member(name(), address, world.random.nextLong(), ++incarnation,
                    State.ALIVE, node == null ? "serve" : "coordinator", "1.0"), FLEET, settings,
                    world.random.nextLong(), this);
            core.start(world.now, parties.stream().filter(party -> party.node != null)
                    .map(party -> party.address).toList(), known);
            if (node == null) {
                follower = new ConfigFollower(ConfigFollower.Settings.defaults(service, zone),
                        world.random.nextLong(), this);
                follower.start(world.now, disk);
            } else {
                advertise(VersionId.NONE);
                node.onCommitted = version -> run(() -> {
                    advertise(version.id());
                    newVersion(version);
                });
            }
            schedule();
        }

        void kill() {
            up = false;
            wake = Double.POSITIVE_INFINITY;
            if (node != null) {
                node.kill();
            }
        }

        void restart() {
            if (node != null && !node.up) {
                node.start();
            }
            start(parties.stream().filter(party -> party.core != null).map(party -> party.core.self())
                    .toList());
        }

        void pause(double ms) {
            pausedUntil = world.now + ms;
            reachableSince = pausedUntil;
            if (node != null) {
                node.pausedUntil = pausedUntil;
            }
        }

        /** Does something in this process, once it is not stopped. */
        private void run(Runnable task) {
            int its = process;
            world.at(Math.max(world.now, pausedUntil), () -> {
                if (!up || its != process) {
                    return;
                }
                if (world.now < pausedUntil) {
                    run(task);
                    return;
                }
                task.run();
                schedule();
                settle();
            });
        }

        private void schedule() {
            double next = Math.min(core.wakeAt(), follower == null ? Double.POSITIVE_INFINITY
                    : follower.wakeAt());
            if (up && next < wake) {
                wake = next;
                int its = process;
                world.at(Math.max(next, world.now), () -> {
                    if (its == process && up) {
                        wake = Double.POSITIVE_INFINITY;
                        run(() -> {
                            core.tick(world.now);
                            if (follower != null) {
                                follower.tick(world.now);
                            }
                        });
                    }
                });
            }
        }

        /** Sees what it has come to, and that it goes nowhere back. */
        private void settle() {
            if (follower == null) {
                return;
            }
            VersionId held = follower.held();
            VersionId inForce = follower.state().inForce();
            if (highest.isAfter(held) || highestInForce.isAfter(inForce)) {
                throw new AssertionError(name() + " goes back from " + highest + " to " + held + ", in force "
                        + highestInForce + " to " + inForce);
            }
            highest = held;
            highestInForce = inForce;
            boolean settled = follower.state().refusal() != null || held.equals(inForce);
            while (settled && !due.isEmpty() && !due.peek().id().isAfter(held)) {
                tookMs.add(world.now - Math.max(due.poll().since(), reachableSince));
            }
        }

        private void countCall(long bytes) {
            callBytes.computeIfAbsent((long) (world.now / 1_000), second -> new long[1])[0] += bytes;
        }

        // What membership asks for.

        @Override
        public void send(InetSocketAddress to, Message message) {
            Party target = byAddress.get(to);
            if (++messages % SAMPLE == 0) {
                int size = message.encodedSize(FLEET);
                if (size > 1_200) {
                    throw new AssertionError("a datagram of " + size + " bytes");
                }
                datagramBytes += (long) SAMPLE * size;
            }
            if (target != null && open.test(this, target) && random.nextDouble() >= loss) {
                world.at(world.now + delay(this, target), () -> target.run(() ->
                        target.core.received(world.now, address, message)));
            }
        }

        @Override
        public void sync(InetSocketAddress with) {
            Party target = byAddress.get(with);
            if (target != null && open.test(this, target) && open.test(target, this)) {
                world.at(world.now + 3, () -> target.run(() -> run(() -> {
                    target.core.merge(world.now, core.members());
                    core.merge(world.now, target.core.members());
                    target.schedule();
                })));
            }
        }

        @Override
        public void memberChanged(Member before, Member now) {
            // Membership's own tests look at this.
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
                follower.noticed(world.now, from.address(), notice);
            }
        }

        // What the follower asks for.

        private <T> void call(InetSocketAddress of, long number, Function<Party, T> question,
                Function<T, Integer> size, Consumer<T> answered) {
            Party target = byAddress.get(of);
            int its = process;
            if (!open.test(this, target) || !open.test(target, this) || random.nextDouble() < lossOfCalls) {
                return;
            }
            if (!target.up) {
                run(() -> follower.failed(world.now, number));
                return;
            }
            world.at(world.now + 2 * delay(this, target), () -> target.run(() -> {
                if (target.node != null) {
                    target.callsBySecond.merge((long) (world.now / 1_000), 1, Integer::sum);
                }
                T answer = question.apply(target);
                int body = answer == null ? 0 : size.apply(answer);
                boolean isServed = target.node != null ? target.served.take(world.now)
                        : target.served.takeAll(world.now, ConfigMember.CALL_BYTES + body);
                int bytes = ConfigMember.CALL_BYTES + (isServed ? body : 0);
                target.countCall(bytes);
                countCall(bytes);
                world.at(world.now + delay(target, this), () -> {
                    if (its == process) {
                        run(() -> {
                            if (isServed) {
                                answered.accept(answer);
                            } else {
                                follower.failed(world.now, number);
                            }
                        });
                    }
                });
            }));
        }

        @Override
        public void askManifest(long call, InetSocketAddress of, VersionId after) {
            call(of, call, target -> target.manifest(after), manifest -> manifest.bytes().length,
                    manifest -> follower.manifest(world.now, call, manifest));
        }

        private Manifest manifest(VersionId after) {
            Manifest manifest = node != null ? node.log.current() == null ? null
                    : node.log.current().manifest() : follower.state().held();
            return manifest == null || !manifest.id().isAfter(after) ? null : manifest;
        }

        @Override
        public void askSection(long call, InetSocketAddress of, String checksum) {
            call(of, call, target -> target.node == null ? target.follower.section(checksum)
                    : target.node.log.current() == null ? null : target.node.log.current().section(checksum),
                    bytes -> bytes.length, bytes -> {
                    sectionCalls++;
                    if (bytes == null) {
                        follower.failed(world.now, call);
                    } else if (random.nextDouble() < damage) {
                        byte[] bad = bytes.clone();
                        bad[random.nextInt(bad.length)] ^= (byte) (1 << random.nextInt(8));
                        follower.section(world.now, call, bad);
                    } else {
                        follower.section(world.now, call, bytes);
                    }
                });
        }

        @Override
        public void tryOut(VersionId id, byte[] section) {
            world.at(world.now + 5 + random.nextInt(50), () -> run(() -> follower.tried(world.now, id,
                    section != null && refuses.test(this, section)
                    ? new FollowerState.Refusal("settings.is", "not that") : null)));
        }

        @Override
        public void keep(FollowerState state) {
            try {
                disk = FollowerState.parse(state.bytes());
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        @Override
        public void advertise(VersionId id) {
            core.advertise(world.now, new VersionNotice(id.epoch(), id.number(), service, zone));
        }

        @Override
        public Collection<InetSocketAddress> coordinators() {
            return coordinators.stream().filter(one -> core.stateOf(one.name()) != null
                    && core.stateOf(one.name()).isPresent()).map(one -> one.address).toList();
        }

        @Override
        public void log(String line) {
            // What it says is for people.
        }
    }

    final Coordinators world;
    final List<Party> parties = new ArrayList<>();
    final List<Party> coordinators = new ArrayList<>();
    final List<Party> members = new ArrayList<>();
    private final Map<InetSocketAddress, Party> byAddress = new HashMap<>();
    private final Settings settings = Settings.DEFAULTS;
    private final SplittableRandom random;
    private VersionId newest = VersionId.NONE;
    private final TreeMap<VersionId, Double> committedAt = new TreeMap<>();
    /** How long each version took to each member, in milliseconds, without what it could not be reached. */
    final List<Double> tookMs = new ArrayList<>();
    long sectionCalls;
    /** Sent by all, by a sample. */
    private long datagramBytes;
    double loss;
    double lossOfCalls;
    double damage;
    BiPredicate<Party, Party> open = (from, to) -> true;
    BiPredicate<Party, byte[]> refuses = (party, section) -> false;

    ConfigFleet(int size, long seed) {
        world = new Coordinators(3, seed);
        random = new SplittableRandom(seed);
        List<Coordinators.Node> nodes = world.all();
        for (int i = 0; i < size + nodes.size(); i++) {
            Party party = new Party(i, i < nodes.size() ? nodes.get(i) : null);
            parties.add(party);
            byAddress.put(party.address, party);
            (party.node == null ? members : coordinators).add(party);
        }
        parties.forEach(party -> party.start(List.of()));
        List<Member> all = parties.stream().map(party -> party.core.self()).toList();
        parties.forEach(party -> {
            party.core.addKnownMembers(world.now, all);
            party.schedule();
        });
        world.open = (from, to) -> open.test(byNode(from), byNode(to));
    }

    private Party byNode(String name) {
        return coordinators.stream().filter(one -> one.node.name.equals(name)).findFirst().orElseThrow();
    }

    private static InetSocketAddress addressOf(int index) {
        try {
            return new InetSocketAddress(InetAddress.getByAddress(new byte[] {127, 1,
                (byte) (index / HOSTS), (byte) (1 + index % HOSTS)}), PORT);
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Within a zone a fifth of a millisecond and more, between regions 15 and more. */
    private double delay(Party from, Party to) {
        boolean regions = region(from) != region(to);
        return (regions ? 15 : 0.2) + random.nextDouble() * (regions ? 5 : 1);
    }

    static int region(Party party) {
        return party.zoneIndex / 3;
    }

    private void newVersion(Version version) {
        if (version.id().isAfter(newest)) {
            newest = version.id();
            committedAt.put(newest, world.now);
            members.forEach(member -> member.due.add(new Due(newest, world.now)));
        }
    }

    VersionId newest() {
        return newest;
    }

    int committed() {
        return committedAt.size();
    }

    /** From now on only what this allows goes from a first party to a second. */
    void cut(BiPredicate<Party, Party> isOpen) {
        open = isOpen;
    }

    /** All can be reached again, from now on; those that were not before count from here. */
    void join(Collection<Party> cutOff) {
        open = (from, to) -> true;
        cutOff.forEach(party -> party.reachableSince = Math.max(party.reachableSince, world.now));
    }

    /** How long the longest wait is of those that can be reached and have not come to the newest version. */
    double longestWait() {
        double longest = 0;
        for (Party member : members) {
            if (member.runs() && !member.due.isEmpty()) {
                longest = Math.max(longest, world.now - Math.max(member.due.peek().since(),
                        member.reachableSince));
            }
        }
        return longest;
    }

    /** The most calls that a coordinator got in a second. */
    int mostCalls() {
        return coordinators.stream().flatMap(one -> one.callsBySecond.values().stream())
                .mapToInt(Integer::intValue).max().orElse(0);
    }

    /** Bytes of datagrams sent, a second and process. */
    double meanDatagramBytes() {
        return datagramBytes / (world.now / 1_000) / parties.size();
    }

    /** Bytes of calls about configuration that a member sent and received, a second and member. */
    double meanCallBytes() {
        return members.stream().flatMap(one -> one.callBytes.values().stream()).mapToLong(sum -> sum[0])
                .sum() / (world.now / 1_000) / members.size();
    }

    /** The same of the worst second of the worst member. */
    long mostCallBytes() {
        return members.stream().flatMap(one -> one.callBytes.values().stream()).mapToLong(sum -> sum[0])
                .max().orElse(0);
    }
}
