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

/** A fleet in virtual time. The same seed plays the same, to the last datagram. */
public final class Swarm {

    private static final int PORT = 9_000;
    private static final int HOSTS = 250;
    /** How long a full exchange takes. */
    private static final double SYNC_MS = 3;
    /** Encoding all datagrams would take longer than all the rest. */
    private static final int SAMPLE = 16;
    /** How long a process that goes on takes to see what came for it. */
    private static final double WAKING_MS = 0.01;
    private static final String FLEET = "swarm";

    /** Something that happens to a member: a datagram, or its time has come if there is none. */
    private record Event(double at, long number, Node node, int process, Node source, Message message,
            Runnable task) { }

    private final Settings settings;
    private final SplittableRandom random;
    private final PriorityQueue<Event> events = new PriorityQueue<>(
            Comparator.comparingDouble(Event::at).thenComparingLong(Event::number));
    private final List<Node> nodes = new ArrayList<>();
    private final Map<InetSocketAddress, Node> byAddress = new HashMap<>();
    private final Set<String> wronged = new HashSet<>();
    private final Map<String, Faulty> deaths = new HashMap<>();
    private Network network;
    /** Whether a datagram from the first may reach the second. */
    private BiPredicate<Integer, Integer> open = (from, to) -> true;
    /** One of so many datagrams is encoded, to see how large they are. */
    private int sample = SAMPLE;
    private double now;
    private long count;
    private int wrongedHealthy;

    /** A swarm without members. */
    public Swarm(Settings settings, Network network, long seed) {
        this.settings = settings;
        this.network = network;
        random = new SplittableRandom(seed);
    }

    /** How the death of a member became known: when first, and when to all that live; times since it died. */
    public static final class Faulty {

        private final double diedAt;
        private final Set<Integer> knowing = new HashSet<>();
        private double firstMs = Double.NaN;
        private double lastMs = Double.NaN;

        Faulty(double diedAt) {
            this.diedAt = diedAt;
        }

        /** When the first member took it for dead. */
        public double firstMs() {
            return firstMs;
        }

        /** When the last one did so far. */
        public double lastMs() {
            return lastMs;
        }

        /** How many do. */
        public int knowing() {
            return knowing.size();
        }
    }

    /** One member, over all its processes. */
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

        /** Until when it is stopped at a time; that time if it runs. */
        double runsFrom(double time) {
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
            if (messages % sample == 0) {
                bytes += sample * (long) message.encodedSize(FLEET);
            }
            Node target = byAddress.get(to);
            int copies = random.nextDouble() < network.loss() ? 0
                    : random.nextDouble() < network.duplicate() ? 2 : 1;
            for (int i = 0; i < copies && target != null && open.test(index, target.index); i++) {
                add(now + network.delayMs() + network.jitterMs() * random.nextDouble(), target, this, message,
                        null);
            }
        }

        @Override
        public void sync(InetSocketAddress with) {
            syncs++;
            Node target = byAddress.get(with);
            if (target == null || !open.test(index, target.index) || !open.test(target.index, index)) {
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
            if (target.up && open.test(target.index, index) && open.test(index, target.index)) {
                if (wronged.add(member.name() + "/" + member.incarnation()) && !target.slow) {
                    wrongedHealthy++;
                }
            } else if (!target.up && death != null && death.knowing.add(index)) {
                death.firstMs = Double.isNaN(death.firstMs) ? now - death.diedAt : death.firstMs;
                death.lastMs = now - death.diedAt;
            }
        }

        @Override
        public void isolationChanged(boolean isIsolated) {
            // Asked for where it matters.
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

    /** From now on the size of every datagram counts, not that of a sample: one second shows it then. */
    public void countAll() {
        sample = 1;
    }

    // ---- What is done to it ------------------------------------------------------------------------

    /** Adds members that all know one another from the start, slow ones among them as the network says. */
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

    /** Starts a member that knows some addresses and, from its last run, some members. */
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

    /** A member's process dies without a word. */
    public Faulty kill(int member) {
        nodes.get(member).up = false;
        nodes.get(member).wake = Double.POSITIVE_INFINITY;
        Faulty death = new Faulty(now);
        deaths.put(nodes.get(member).name(), death);
        return death;
    }

    /** A member leaves in order. */
    public void leave(int member) {
        nodes.get(member).core.leave(now);
        nodes.get(member).up = false;
        nodes.get(member).wake = Double.POSITIVE_INFINITY;
    }

    /** A member is stopped for a time, and goes on then as if nothing had been. */
    public void stop(int member, double ms) {
        nodes.get(member).stoppedUntil = now + ms;
    }

    /** From now on only what this allows goes from a first member to a second. */
    public void cut(BiPredicate<Integer, Integer> isOpen) {
        open = isOpen;
    }

    /** From now on the network is another; who is slow stays. */
    public void network(Network other) {
        network = other;
    }

    /** A datagram comes to a member out of nowhere. */
    public void inject(int member, InetSocketAddress source, Message message) {
        Node target = nodes.get(member);
        target.core.received(now, source, message);
        target.schedule();
    }

    /** Lets time pass. */
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
        double from = node.runsFrom(now);
        if (from > now) {
            // What came meanwhile waits in its socket, and a process may see to its timers first.
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

    /** Lets time pass until something is so; how long that took, infinite if it did not come in time. */
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

    // ---- What is seen of it ------------------------------------------------------------------------

    /** Whether all members that live have one view, and each has all of them in it. */
    public boolean agrees() {
        List<Node> up = nodes.stream().filter(node -> node.up).toList();
        return up.stream().allMatch(node -> node.core.digest() == up.get(0).core.digest()
                && node.core.presentCount() == up.size());
    }

    /** What a member thinks of another; null if it knows nothing of it. */
    public State view(int of, int other) {
        return nodes.get(of).core.stateOf(nodes.get(other).name());
    }

    /** A member's core. */
    public Membership core(int member) {
        return nodes.get(member).core;
    }

    /** Whether a member's process lives, and is a member. */
    public boolean isUp(int member) {
        return nodes.get(member).up;
    }

    /** The address of a member. */
    public InetSocketAddress addressOf(int member) {
        return nodes.get(member).address;
    }

    /** How often a member that lived and was reached was taken for dead by any; the healthy ones alone. */
    public int wrongedHealthy() {
        return wrongedHealthy;
    }

    /** The same with the slow ones. */
    public int wronged() {
        return wronged.size();
    }

    /** How many bytes all members have sent in datagrams, by a sample of them or all. */
    public long bytes() {
        return nodes.stream().mapToLong(node -> node.bytes).sum();
    }

    /** How many bytes a member has sent in datagrams, over all its processes. */
    public long bytes(int member) {
        return nodes.get(member).bytes;
    }

    /** How many datagrams all members have sent. */
    public long messages() {
        return nodes.stream().mapToLong(node -> node.messages).sum();
    }

    /** How many full exchanges all members have begun. */
    public long syncs() {
        return nodes.stream().mapToLong(node -> node.syncs).sum();
    }
}
