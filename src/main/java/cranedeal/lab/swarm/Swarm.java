package cranedeal.lab.swarm;

import cranedeal.fleet.membership.Actions;
import cranedeal.fleet.membership.Member;
import cranedeal.fleet.membership.Membership;
import cranedeal.fleet.membership.Message;
import cranedeal.fleet.membership.Settings;
import cranedeal.fleet.membership.State;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;
import java.util.function.Predicate;

/** A simulated fleet in virtual time. The same seed reproduces a run exactly, to the last datagram. */
public final class Swarm {

    private static final int PORT = 9_000;
    private static final int HOSTS = 250;
    /** The duration of a full exchange. */
    private static final double SYNC_MS = 3;
    /** Only a sample of datagrams is encoded; encoding all would take longer than the rest of the run. */
    private static final int SAMPLE = 16;
    /** How long a resumed process takes to read the datagrams that arrived while it was stopped. */
    private static final double WAKING_MS = 0.01;
    private static final String FLEET = "swarm";

    /** An event of a member: a received datagram, or a timer if there is no datagram. */
    private record Event(double at, long number, Node node, int process, Node source, Message message,
            Runnable task) { }

    private final Settings settings;
    private final SplittableRandom random;
    private final PriorityQueue<Event> events = new PriorityQueue<>(
            Comparator.comparingDouble(Event::at).thenComparingLong(Event::number));
    private final List<Node> nodes = new ArrayList<>();
    private final Map<InetSocketAddress, Node> byAddress = new HashMap<>();
    private final Set<String> falseDetections = new HashSet<>();
    private final Map<String, Faulty> deaths = new HashMap<>();
    private Network network;
    /** Returns true if a datagram from the first member can reach the second. */
    private BiPredicate<Integer, Integer> canReach = (from, to) -> true;
    /** One of this many datagrams is encoded to measure its size. */
    private int sampleInterval = SAMPLE;
    private double now;
    private long count;
    private int wrongedHealthy;

    /** Creates a swarm without members. */
    public Swarm(Settings settings, Network network, long seed) {
        this.settings = settings;
        this.network = network;
        random = new SplittableRandom(seed);
    }

    /** The detection of a member's failure: the first and the last detection, since the failure. */
    public static final class Faulty {

        private final double diedAt;
        private final Set<Integer> knowing = new HashSet<>();
        private double firstMs = Double.NaN;
        private double lastMs = Double.NaN;

        Faulty(double diedAt) {
            this.diedAt = diedAt;
        }

        /** Returns when the first member considered it dead. */
        public double firstMs() {
            return firstMs;
        }

        /** Returns when the latest member so far considered it dead. */
        public double lastMs() {
            return lastMs;
        }

        /** Returns how many members consider it dead. */
        public int knowing() {
            return knowing.size();
        }
    }

    /** One member across its restarts. */
    private final class Node implements Actions {

        private final int index;
        private final InetSocketAddress address;
        private final boolean slow;
        private Membership core;
        private boolean up;
        private int process;
        private double wake = Double.POSITIVE_INFINITY;
        private double nextStop;
        private double stoppedUntil;
        private long bytes;
        private long messages;
        private long syncs;

        Node(int index, boolean slow) {
            this.index = index;
            this.slow = slow;
            nextStop = slow ? random.nextDouble(network.stoppedMs() + network.runningMs())
                    : Double.POSITIVE_INFINITY;
            address = address(index);
        }

        String name() {
            return "m" + index;
        }

        void start(List<InetSocketAddress> seeds, List<Member> known, long incarnation) {
            process++;
            up = true;
            core = new Membership(new Member(name(), address, random.nextLong(), incarnation, State.ALIVE,
                    "serve", "1.0"), FLEET, settings, random.nextLong(), this);
            core.start(now, seeds, known);
            schedule();
        }

        /** Returns when a member that is stopped at the given time resumes; that time if it is running. */
        double resumesAt(double time) {
            while (slow && time >= nextStop + network.stoppedMs()) {
                nextStop += network.stoppedMs() + network.runningMs();
            }
            return Math.max(stoppedUntil, time >= nextStop ? nextStop + network.stoppedMs() : time);
        }

        void schedule() {
            double next = core.wakeAt();
            if (up && next < wake) {
                wake = next;
                add(next, this, null, null, null);
            }
        }

        @Override
        public void send(InetSocketAddress to, Message message) {
            messages++;
            if (messages % sampleInterval == 0) {
                bytes += sampleInterval * (long) message.encodedSize(FLEET);
            }
            Node target = byAddress.get(to);
            int copies = random.nextDouble() < network.loss() ? 0
                    : random.nextDouble() < network.duplicate() ? 2 : 1;
            for (int i = 0; i < copies && target != null && canReach.test(index, target.index); i++) {
                add(now + network.delayMs() + network.jitterMs() * random.nextDouble(), target, this, message,
                        null);
            }
        }

        @Override
        public void sync(InetSocketAddress with) {
            syncs++;
            Node target = byAddress.get(with);
            if (target == null || !canReach.test(index, target.index)
                    || !canReach.test(target.index, index)) {
                return;
            }
            int its = process;
            add(now + SYNC_MS, target, null, null, () -> {
                if (up && process == its) {
                    target.core.merge(now, core.members());
                    core.merge(now, target.core.members());
                    schedule();
                }
            });
        }

        @Override
        public void memberChanged(Member before, Member member) {
            if (member == null || member.state() != State.FAULTY) {
                return;
            }
            Node target = byAddress.get(member.address());
            Faulty death = deaths.get(member.name());
            if (target.up && canReach.test(target.index, index) && canReach.test(index, target.index)) {
                if (falseDetections.add(member.name() + "/" + member.incarnation()) && !target.slow) {
                    wrongedHealthy++;
                }
            } else if (!target.up && death != null && death.knowing.add(index)) {
                death.firstMs = Double.isNaN(death.firstMs) ? now - death.diedAt : death.firstMs;
                death.lastMs = now - death.diedAt;
            }
        }

        @Override
        public void isolationChanged(boolean isIsolated) {
            // Read where it is needed.
        }

        @Override
        public void superseded(Member by) {
            up = false;
        }
    }

    private static InetSocketAddress address(int index) {
        try {
            return new InetSocketAddress(InetAddress.getByAddress(new byte[] {127, 1,
                (byte) (index / HOSTS), (byte) (1 + index % HOSTS)}), PORT);
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e);
        }
    }

    private void add(double at, Node node, Node source, Message message, Runnable task) {
        events.add(new Event(Math.max(at, now), count++, node, node.process, source, message, task));
    }

    /** Measures every datagram from now on instead of a sample, so that one second is enough. */
    public void countAll() {
        sampleInterval = 1;
    }

    // ---- Operations --------------------------------------------------------------------------------

    /** Adds members that all know one another; the network gives the share of slow ones. */
    public void populate(int members) {
        List<Member> known = new ArrayList<>();
        int slow = (int) Math.round(network.slow() * members);
        for (int i = 0; i < members; i++) {
            Node node = new Node(i, i < slow);
            nodes.add(node);
            byAddress.put(node.address, node);
            node.start(List.of(), List.of(), 1);
            known.add(node.core.self());
        }
        for (Node node : nodes) {
            node.core.addKnownMembers(now, known);
            node.schedule();
        }
    }

    /** Starts a member with seed addresses and the members that it knew in its last run. */
    public void start(int member, List<Integer> seeds, List<Integer> known, long incarnation) {
        while (nodes.size() <= member) {
            Node node = new Node(nodes.size(), false);
            nodes.add(node);
            byAddress.put(node.address, node);
        }
        deaths.remove(nodes.get(member).name());
        nodes.get(member).start(seeds.stream().map(Swarm::address).toList(), known.stream()
                .map(one -> nodes.get(one).core.self()).toList(), incarnation);
    }

    /** Kills a member without notifying the others. */
    public Faulty kill(int member) {
        nodes.get(member).up = false;
        nodes.get(member).wake = Double.POSITIVE_INFINITY;
        Faulty death = new Faulty(now);
        deaths.put(nodes.get(member).name(), death);
        return death;
    }

    /** Makes a member leave gracefully. */
    public void leave(int member) {
        nodes.get(member).core.leave(now);
        nodes.get(member).up = false;
        nodes.get(member).wake = Double.POSITIVE_INFINITY;
    }

    /** Suspends a member for a time; it then resumes where it stopped. */
    public void stop(int member, double ms) {
        nodes.get(member).stoppedUntil = now + ms;
    }

    /** Restricts from now on which member can reach which other one. */
    public void cut(BiPredicate<Integer, Integer> isOpen) {
        canReach = isOpen;
    }

    /** Replaces the network's faults from now on; the set of slow members stays. */
    public void network(Network other) {
        network = other;
    }

    /** Delivers a datagram of an unknown sender to a member. */
    public void inject(int member, InetSocketAddress source, Message message) {
        Node target = nodes.get(member);
        target.core.received(now, source, message);
        target.schedule();
    }

    /** Advances virtual time. */
    public void run(double ms) {
        double end = now + ms;
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event event = events.poll();
            now = event.at();
            step(event);
        }
        now = end;
    }

    private void step(Event event) {
        Node node = event.node();
        boolean isWake = event.message() == null && event.task() == null;
        if (!node.up || event.process() != node.process) {
            return;
        }
        double from = node.resumesAt(now);
        if (from > now) {
            // Datagrams that arrived meanwhile wait in the socket; the process may run its timers first.
            add(isWake ? from : from + WAKING_MS, node, event.source(), event.message(), event.task());
            return;
        }
        if (event.task() != null) {
            event.task().run();
        } else if (isWake) {
            node.wake = Double.POSITIVE_INFINITY;
            node.core.tick(now);
        } else {
            node.core.received(now, event.source().address, event.message());
        }
        node.schedule();
    }

    /** Advances time until a condition holds; returns how long that took, infinity on timeout. */
    public double runUntil(Predicate<Swarm> so, double everyMs, double longestMs) {
        double begun = now;
        while (!so.test(this)) {
            if (now - begun >= longestMs) {
                return Double.POSITIVE_INFINITY;
            }
            run(everyMs);
        }
        return now - begun;
    }

    // ---- Measurements ------------------------------------------------------------------------------

    /** Returns true if all live members have the same view, with all of them in it. */
    public boolean agrees() {
        List<Node> up = nodes.stream().filter(node -> node.up).toList();
        return up.stream().allMatch(node -> node.core.digest() == up.get(0).core.digest()
                && node.core.presentCount() == up.size());
    }

    /** Returns a member's view of another one, or null if it does not know it. */
    public State view(int of, int other) {
        return nodes.get(of).core.stateOf(nodes.get(other).name());
    }

    /** Returns a member's core. */
    public Membership core(int member) {
        return nodes.get(member).core;
    }

    /** Returns true if a member's process is running and it is a member. */
    public boolean isUp(int member) {
        return nodes.get(member).up;
    }

    /** Returns the address of a member. */
    public InetSocketAddress addressOf(int member) {
        return nodes.get(member).address;
    }

    /** Returns how often a live, reachable member was considered dead; slow members excluded. */
    public int falseDetectionsOfHealthy() {
        return wrongedHealthy;
    }

    /** Returns the same count with slow members included. */
    public int falseDetections() {
        return falseDetections.size();
    }

    /** Returns the bytes of datagrams that all members have sent, estimated from a sample or exact. */
    public long bytes() {
        return nodes.stream().mapToLong(node -> node.bytes).sum();
    }

    /** Returns the bytes of datagrams that a member has sent, across its restarts. */
    public long bytes(int member) {
        return nodes.get(member).bytes;
    }

    /** Returns how many datagrams all members have sent. */
    public long messages() {
        return nodes.stream().mapToLong(node -> node.messages).sum();
    }

    /** Returns how many full exchanges all members have started. */
    public long syncs() {
        return nodes.stream().mapToLong(node -> node.syncs).sum();
    }
}
