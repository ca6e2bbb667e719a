package cranedeal.fleet.config;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BiPredicate;
import java.util.function.Consumer;

/** Some coordinators in virtual time, with a disk each, and calls between them that can be late or lost. */
final class Coordinators {

    static final double CALL_MS = 5_000;

    /** What a process that dies does no more. */
    static final class Killed extends Error {

        private static final long serialVersionUID = 1;
    }

    private record Event(double at, long number, Runnable task) { }

    /** One coordinator over all its processes. */
    final class Node implements LogKeeper, ConfigLog.Actions {

        final String name;
        LogState disk = new LogState();
        ConfigLog log;
        boolean up;
        boolean full;
        int process;
        double pausedUntil;
        /** Dies at this write, once it is done: 1 for the next; 0 for none. */
        int killedAtWrite;
        final List<VersionId> committed = new ArrayList<>();
        Consumer<Version> onCommitted = version -> { };

        Node(String name) {
            this.name = name;
        }

        void start() {
            process++;
            up = true;
            full = false;
            killedAtWrite = 0;
            LogState read = new LogState();
            read.promise(disk.promised, disk.leader, disk.elected);
            read.versions.putAll(disk.versions);
            read.committed = disk.committed;
            log = new ConfigLog(name, nodes.keySet(), read, this, random.nextLong(), this);
            run(this, () -> log.start(now));
        }

        void kill() {
            up = false;
        }

        private void written() throws IOException {
            if (killedAtWrite > 0 && --killedAtWrite == 0) {
                throw new Killed();
            }
        }

        private void writable() throws IOException {
            if (full) {
                throw new IOException("No space left on device");
            }
        }

        @Override
        public void promise(long epoch, String leader, boolean elected) throws IOException {
            writable();
            disk.promise(epoch, leader, elected);
            written();
        }

        @Override
        public void put(Version version) throws IOException {
            writable();
            documents.merge(version.id(), version.manifest().checksum(), (one, other) -> {
                if (!one.equals(other)) {
                    throw new AssertionError("two documents are " + version.id());
                }
                return one;
            });
            disk.versions.put(version.id(), version);
            written();
        }

        @Override
        public void retain(Set<VersionId> ids, VersionId isCommitted) throws IOException {
            writable();
            disk.retain(ids, isCommitted);
            // This write is what commits; it may be told late, by a process that was killed right after it.
            if (!isCommitted.equals(VersionId.NONE) && allCommitted.putIfAbsent(isCommitted,
                    disk.versions.get(isCommitted)) == null && !allCommitted.lastKey().equals(isCommitted)) {
                throw new AssertionError(isCommitted + " is committed behind " + allCommitted.keySet());
            }
            written();
        }

        @Override
        public void prepare(String to, Replication.Prepare question) {
            call(this, nodes.get(to), () -> nodes.get(to).log.prepare(now, question),
                    answer -> log.prepared(now, to, question.epoch(), answer), () -> { });
        }

        @Override
        public void append(String to, Replication.Append question) {
            call(this, nodes.get(to), () -> nodes.get(to).log.append(now, question),
                    answer -> log.appended(now, to, answer), () -> log.unreached(now, to));
        }

        @Override
        public void committed(Version version) {
            if (!committed.isEmpty() && committed.get(committed.size() - 1).isAfter(version.id())) {
                throw new AssertionError(name + " goes back from " + committed.get(committed.size() - 1)
                        + " to " + version.id());
            }
            committed.add(version.id());
            onCommitted.accept(version);
        }

        @Override
        public void log(String line) {
            // What it says is for people.
        }
    }

    final SplittableRandom random;
    final Map<String, Node> nodes = new TreeMap<>();
    final Map<VersionId, String> documents = new HashMap<>();
    /** Each version that any coordinator has called committed. */
    final TreeMap<VersionId, Version> allCommitted = new TreeMap<>();
    BiPredicate<String, String> open = (from, to) -> true;
    double lossOfCalls;
    double delayMs = 1;
    double now;
    private final PriorityQueue<Event> events = new PriorityQueue<>(
            Comparator.comparingDouble(Event::at).thenComparingLong(Event::number));
    private long count;

    Coordinators(int number, long seed) {
        random = new SplittableRandom(seed);
        for (int i = 0; i < number; i++) {
            nodes.put("c" + i, new Node("c" + i));
        }
        nodes.values().forEach(Node::start);
    }

    void at(double time, Runnable task) {
        events.add(new Event(time, count++, task));
    }

    /** Lets a coordinator's process do something, if it lives and is not stopped. */
    void run(Node node, Runnable task) {
        int its = node.process;
        at(Math.max(now, node.pausedUntil), () -> {
            if (!node.up || node.process != its) {
                return;
            }
            if (now < node.pausedUntil) {
                run(node, task);
                return;
            }
            try {
                task.run();
            } catch (Killed e) {
                node.kill();
            }
        });
    }

    private double delay() {
        return delayMs * (0.2 + random.nextDouble()) * (random.nextInt(20) == 0 ? 200 : 1);
    }

    private interface Answering {

        Replication.Answer answer();
    }

    private void call(Node from, Node to, Answering question, Consumer<Replication.Answer> answered,
            Runnable failed) {
        boolean[] over = new boolean[1];
        at(now + CALL_MS, () -> run(from, () -> {
            if (!over[0]) {
                over[0] = true;
                failed.run();
            }
        }));
        if (!open.test(from.name, to.name) || random.nextDouble() < lossOfCalls) {
            return;
        }
        at(now + delay(), () -> run(to, () -> {
            Replication.Answer answer = question.answer();
            if (open.test(to.name, from.name) && random.nextDouble() >= lossOfCalls) {
                at(now + delay(), () -> run(from, () -> {
                    if (!over[0]) {
                        over[0] = true;
                        answered.accept(answer);
                    }
                }));
            }
        }));
    }

    /** Lets time pass. */
    void pass(double ms) {
        double end = now + ms;
        while (true) {
            double next = events.isEmpty() ? Double.POSITIVE_INFINITY : events.peek().at();
            Node due = null;
            for (Node node : nodes.values()) {
                double wake = node.up ? Math.max(node.pausedUntil, node.log.wakeAt())
                        : Double.POSITIVE_INFINITY;
                if (wake < next) {
                    next = wake;
                    due = node;
                }
            }
            if (next > end) {
                now = end;
                return;
            }
            now = Math.max(now, next);
            if (due != null) {
                try {
                    due.log.tick(now);
                } catch (Killed e) {
                    due.kill();
                }
            } else {
                events.poll().task().run();
            }
        }
    }

    /** All that faults did is over: all live, reach one another and can write. */
    void heal() {
        open = (from, to) -> true;
        lossOfCalls = 0;
        for (Node node : nodes.values()) {
            node.full = false;
            node.killedAtWrite = 0;
            node.pausedUntil = 0;
            if (!node.up) {
                node.start();
            }
        }
    }

    List<Node> all() {
        return List.copyOf(nodes.values());
    }

    Node any() {
        return all().get(random.nextInt(nodes.size()));
    }

    static TreeMap<String, byte[]> document(String text) {
        TreeMap<String, byte[]> sections = new TreeMap<>();
        sections.put("front", ("{\"settings\":{\"is\":\"" + text + "\"}}").getBytes(
                java.nio.charset.StandardCharsets.UTF_8));
        return sections;
    }

    static Set<VersionId> ids(ConfigLog log) {
        return new TreeSet<>(log.versions().keySet());
    }
}
