package cranedeal.lab;

import cranedeal.lab.history.Event;
import cranedeal.lab.link.Impairment;
import cranedeal.lab.process.DiskFault;
import cranedeal.lab.standin.LabClock;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Injects the faults of an experiment, each on its own thread: waits for the fault's time or event, begins
 * the fault, waits for its duration, and ends it.
 */
final class FaultInjector implements AutoCloseable {

    private static final long POLL_INTERVAL_MS = 10;
    /** Suffix of a process's name that denotes its disk. */
    private static final String DISK_SUFFIX = "-disk";

    private final Experiment experiment;
    private final Testbed testbed;
    private final LabClock clock;
    private final Consumer<Event> history;
    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "fault");
        thread.setDaemon(true);
        return thread;
    });
    private final ConcurrentLinkedQueue<String> failures = new ConcurrentLinkedQueue<>();
    private final Map<String, Semaphore> locks = new ConcurrentHashMap<>();
    private double begunAt;

    FaultInjector(Experiment experiment, Testbed world, LabClock clock, Consumer<Event> history) {
        this.experiment = experiment;
        this.testbed = world;
        this.clock = clock;
        this.history = history;
    }

    /** Starts the fault threads; fault times count from the given time on the lab's clock. */
    void start(double begins) {
        begunAt = begins;
        experiment.faults().forEach(fault -> threads.execute(() -> {
            try {
                inject(fault);
            } catch (InterruptedException e) {
                // The experiment is over.
            } catch (IOException | RuntimeException e) {
                failures.add(fault.title() + ": " + e.getMessage());
            }
        }));
    }

    /** Returns the faults that could not be injected; a run with any is void. */
    List<String> failures() {
        return List.copyOf(failures);
    }

    private void inject(Fault fault) throws IOException, InterruptedException {
        await(fault.when());
        List<Testbed.AffectedLink> hits = fault.kind().ofLinks()
                ? Testbed.links(experiment, fault.from(), fault.to())
                : List.of();
        List<String> targets = targets(fault);
        List<String> touched = new ArrayList<>(fault.kind().ofDisk()
                ? targets.stream().map(target -> target + DISK_SUFFIX).toList() : targets);
        hits.forEach(hit -> touched.add(hit.link().toString()));
        if (fault.kind() == Fault.Kind.VANISH) {
            targets.forEach(target -> testbed.linksOf(target).forEach(hit ->
                    touched.add(hit.link().toString())));
        }
        // Faults on the same process or link exclude one another; locks are taken in a fixed order.
        List<Semaphore> heldLocks = new ArrayList<>();
        for (String name : new TreeSet<>(touched)) {
            Semaphore lock = locks.computeIfAbsent(name, absent -> new Semaphore(1));
            lock.acquire();
            heldLocks.add(lock);
        }
        try {
            inject(fault, hits, targets, touched);
        } finally {
            heldLocks.forEach(Semaphore::release);
        }
    }

    private void inject(Fault fault, List<Testbed.AffectedLink> hits, List<String> targets,
            List<String> touched)
            throws IOException, InterruptedException {
        record(fault, touched, true);
        switch (fault.kind()) {
            case CUT, IMPAIR -> testbed.impair(hits, fault.impairment(),
                    fault.oneWay() ? Impairment.NONE : fault.impairment());
            case RESET -> testbed.reset(hits);
            case PART -> testbed.setRegionsPartitioned(true, List.of(fault.from(), fault.to()));
            default -> {
                List<String> hollow = targets.stream().filter(experiment.hollowNames()::contains).toList();
                if (!hollow.isEmpty()) {
                    testbed.hollow().end(hollow, fault.kind() == Fault.Kind.RESTART);
                }
                for (String target : targets) {
                    if (!hollow.contains(target)) {
                        begin(fault, target);
                    }
                }
                if (!hollow.isEmpty() && fault.kind() == Fault.Kind.RESTART) {
                    testbed.hollow().start(hollow);
                }
            }
        }
        if (fault.forMs() > 0) {
            TimeUnit.MICROSECONDS.sleep((long) (fault.forMs() * 1_000));
            if (!hits.isEmpty()) {
                testbed.impair(hits, Impairment.NONE, Impairment.NONE);
            }
            if (fault.kind() == Fault.Kind.PART) {
                testbed.setRegionsPartitioned(false, List.of(fault.from(), fault.to()));
            }
            List<String> hollow = targets.stream().filter(experiment.hollowNames()::contains).toList();
            if (!hollow.isEmpty()) {
                testbed.hollow().start(hollow);
            }
            for (String target : targets) {
                if (!hollow.contains(target)) {
                    end(fault, target);
                }
            }
        }
        if (fault.forMs() > 0 || !fault.kind().lasts()) {
            record(fault, touched, false);
        }
    }

    private void await(Fault.When when) throws IOException, InterruptedException {
        double from = begunAt;
        if (when.process() != null) {
            while (!testbed.balancers().get(when.process()).logContains(when.says())) {
                TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
            }
            from = clock.now();
        }
        double remainingMs = from + when.atMs() - clock.now();
        if (remainingMs > 0) {
            TimeUnit.MICROSECONDS.sleep((long) (remainingMs * 1_000));
        }
    }

    private List<String> targets(Fault fault) {
        Set<String> all = new LinkedHashSet<>();
        if (fault.target() != null && !fault.kind().ofUpstreamsOnly()) {
            all.addAll(fault.kind().ofHollow() ? experiment.memberNames() : experiment.balancerNames());
        }
        if (fault.target() != null && !fault.kind().ofBalancersOnly()) {
            all.addAll(experiment.upstreamNames());
        }
        // A zone's name selects its balancers.
        return all.stream().filter(name -> experiment.upstreamNames().contains(name)
                ? Fault.matches(fault.target(), name) : experiment.names(fault.target(), name)).toList();
    }

    private void record(Fault fault, List<String> touched, boolean begins) {
        // Upgrades, planned restarts and reloads do not excuse losses.
        boolean excuses = fault.kind() != Fault.Kind.UPGRADE && fault.kind() != Fault.Kind.RESTART
                && fault.kind() != Fault.Kind.HANGUP;
        history.accept(new Event.Faulted(clock.now(), fault.number(), fault.title(),
                excuses ? touched : List.of(), begins));
    }

    private void begin(Fault fault, String target) throws IOException, InterruptedException {
        BalancerProcess balancer = testbed.balancers().get(target);
        switch (fault.kind()) {
            case KILL -> {
                if (balancer == null) {
                    testbed.stopUpstream(target);
                } else {
                    balancer.kill();
                    damageDisk(fault, balancer);
                }
            }
            case RESTART -> balancer.restart();
            case UPGRADE -> balancer.upgrade();
            case PAUSE -> balancer.pause();
            case HANGUP -> balancer.hangUp();
            case VANISH -> {
                testbed.impair(testbed.linksOf(target), Impairment.BLOCKED, Impairment.BLOCKED);
                balancer.kill();
            }
            case READ_ONLY -> DiskFault.setReadOnly(balancer.disk(), true);
            case DISK_FULL -> balancer.diskFull(true);
            case SLOW -> Testbed.await(testbed.upstream(target).slow(fault.amount()));
            case FAIL -> Testbed.await(testbed.upstream(target).fail(fault.amount()));
            case REPLACE -> {
                Testbed.await(testbed.upstream(target).drain());
                testbed.setListedState(target, "draining");
            }
            default -> throw new IllegalStateException(fault.title());
        }
    }

    private void damageDisk(Fault fault, BalancerProcess balancer) throws IOException {
        if (fault.damage() != null) {
            fault.damage().apply(balancer.disk(), new SplittableRandom(experiment.seed() + fault.number()));
        }
    }

    private void end(Fault fault, String target) throws IOException, InterruptedException {
        BalancerProcess balancer = testbed.balancers().get(target);
        switch (fault.kind()) {
            case KILL -> {
                if (balancer == null) {
                    testbed.startUpstream(target);
                } else if (fault.keepDisk()) {
                    balancer.startKeepingDisk();
                } else {
                    balancer.start();
                }
            }
            case PAUSE -> balancer.resume();
            case READ_ONLY -> DiskFault.setReadOnly(balancer.disk(), false);
            case DISK_FULL -> balancer.diskFull(false);
            case VANISH -> {
                testbed.reset(testbed.linksOf(target));
                testbed.impair(testbed.linksOf(target), Impairment.NONE, Impairment.NONE);
                balancer.start();
            }
            case SLOW -> Testbed.await(testbed.upstream(target).slow(1));
            case FAIL -> Testbed.await(testbed.upstream(target).fail(0));
            case REPLACE -> {
                testbed.stopUpstream(target);
                testbed.setListedState(target, "removed");
                testbed.startUpstream(target);
            }
            default -> throw new IllegalStateException(fault.title());
        }
    }

    /** Interrupts the fault threads that still run. */
    @Override
    public void close() {
        threads.shutdownNow();
        try {
            threads.awaitTermination(1, TimeUnit.MINUTES);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
