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

/** Simulates coordinators in virtual time, each with a disk, with calls that can be late or lost. */
final class CoordinatorSimulation {

    static final double CALL_MS = 5_000;

    /** Aborts the task of a killed process. */
    static final class ProcessKilled extends Error {

        private static final long serialVersionUID = 1;
    }

    private record Event(double at, long sequence, Runnable task) { }

    /** A coordinator across its restarts. */
    final class Node implements LogStorage, ConfigLog.Actions {

        final String name;
        LogState disk = new LogState();
        ConfigLog log;
        boolean up;
        boolean diskFull;
        int process;
        double pausedUntil;
        /** Dies right after this write: 1 for the next one; 0 for none. */
        int writesUntilKilled;
        final List<VersionId> committed = new ArrayList<>();
        Consumer<Version> onCommitted = version -> { };

        Node(String name) {
            this.name = name;
        }

        void start() {
            process++;
            up = true;
            diskFull = false;
            writesUntilKilled = 0;
            LogState read = new LogState();
            read.promise(disk.promisedEpoch, disk.leader, disk.elected);
            read.versions.putAll(disk.versions);
            read.committed = disk.committed;
            log = new ConfigLog(name, nodes.keySet(), read, this, random.nextLong(), this);
            run(this, () -> log.start(now));
        }

        void kill() {
            up = false;
        }

        private void afterWrite() throws IOException {
            if (writesUntilKilled > 0 && --writesUntilKilled == 0) {
                throw new ProcessKilled();
            }
        }

        private void checkDiskSpace() throws IOException {
            if (diskFull) {
                throw new IOException("No space left on device");
            }
        }

        @Override
        public void promise(long epoch, String leader, boolean elected) throws IOException {
            checkDiskSpace();
            disk.promise(epoch, leader, elected);
            afterWrite();
        }

        @Override
        public void put(Version version) throws IOException {
            checkDiskSpace();
            documents.merge(version.id(), version.manifest().checksum(), (first, other) -> {
                if (!first.equals(other)) {
                    throw new AssertionError("two documents are " + version.id());
                }
                return first;
            });
            disk.versions.put(version.id(), version);
            afterWrite();
        }

        @Override
        public void retain(Set<VersionId> ids, VersionId isCommitted) throws IOException {
            checkDiskSpace();
            disk.retain(ids, isCommitted);
            // This write commits; a process killed right after it may announce it late.
            if (!isCommitted.equals(VersionId.NONE) && allCommitted.putIfAbsent(isCommitted,
                    disk.versions.get(isCommitted)) == null && !allCommitted.lastKey().equals(isCommitted)) {
                throw new AssertionError(isCommitted + " is committed behind " + allCommitted.keySet());
            }
            afterWrite();
        }

        @Override
        public void prepare(String to, Replication.Prepare request) {
            call(this, nodes.get(to), () -> nodes.get(to).log.handlePrepare(now, request),
                    answer -> log.handlePrepareAnswer(now, to, request.epoch(), answer), () -> { });
        }

        @Override
        public void append(String to, Replication.Append request) {
            call(this, nodes.get(to), () -> nodes.get(to).log.handleAppend(now, request),
                    answer -> log.handleAppendAnswer(now, to, answer), () -> log.handleAppendFailure(now,
                    to));
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
            // Log lines are not checked.
        }
    }

    final SplittableRandom random;
    final Map<String, Node> nodes = new TreeMap<>();
    final Map<VersionId, String> documents = new HashMap<>();
    /** Each version that any coordinator has recorded as committed. */
    final TreeMap<VersionId, Version> allCommitted = new TreeMap<>();
    BiPredicate<String, String> canReach = (from, to) -> true;
    double lossOfCalls;
    double delayMs = 1;
    double now;
    private final PriorityQueue<Event> events = new PriorityQueue<>(
            Comparator.comparingDouble(Event::at).thenComparingLong(Event::sequence));
    private long nextSequence;

    CoordinatorSimulation(int number, long seed) {
        random = new SplittableRandom(seed);
        for (int i = 0; i < number; i++) {
            nodes.put("c" + i, new Node("c" + i));
        }
        nodes.values().forEach(Node::start);
    }

    void schedule(double time, Runnable task) {
        events.add(new Event(time, nextSequence++, task));
    }

    /** Runs a task in a coordinator's process, if it is alive, once it is not paused. */
    void run(Node node, Runnable task) {
        int startedProcess = node.process;
        schedule(Math.max(now, node.pausedUntil), () -> {
            if (!node.up || node.process != startedProcess) {
                return;
            }
            if (now < node.pausedUntil) {
                run(node, task);
                return;
            }
            try {
                task.run();
            } catch (ProcessKilled e) {
                node.kill();
            }
        });
    }

    private double delay() {
        return delayMs * (0.2 + random.nextDouble()) * (random.nextInt(20) == 0 ? 200 : 1);
    }

    private interface Question {

        Replication.Answer answer();
    }

    private void call(Node from, Node to, Question request, Consumer<Replication.Answer> answered,
            Runnable failed) {
        boolean[] finished = new boolean[1];
        schedule(now + CALL_MS, () -> run(from, () -> {
            if (!finished[0]) {
                finished[0] = true;
                failed.run();
            }
        }));
        if (!canReach.test(from.name, to.name) || random.nextDouble() < lossOfCalls) {
            return;
        }
        schedule(now + delay(), () -> run(to, () -> {
            Replication.Answer answer = request.answer();
            if (canReach.test(to.name, from.name) && random.nextDouble() >= lossOfCalls) {
                schedule(now + delay(), () -> run(from, () -> {
                    if (!finished[0]) {
                        finished[0] = true;
                        answered.accept(answer);
                    }
                }));
            }
        }));
    }

    /** Advances the virtual time. */
    void runFor(double ms) {
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
                } catch (ProcessKilled e) {
                    due.kill();
                }
            } else {
                events.poll().task().run();
            }
        }
    }

    /** Ends all faults: all coordinators run, reach one another and can write. */
    void heal() {
        canReach = (from, to) -> true;
        lossOfCalls = 0;
        for (Node node : nodes.values()) {
            node.diskFull = false;
            node.writesUntilKilled = 0;
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
