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
 * Plays the faults of an experiment, each on a thread of its own: waits for its time or its event, does it,
 * waits, and undoes it.
 */
final class Director implements AutoCloseable {

    private static final long LOOK_EVERY_MS = 10;
    /** Behind a process's name: its disk. */
    private static final String DISK = "-disk";

    private final Experiment experiment;
    private final World world;
    private final LabClock clock;
    private final Consumer<Event> history;
    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "fault");
        thread.setDaemon(true);
        return thread;
    });
    private final ConcurrentLinkedQueue<String> failures = new ConcurrentLinkedQueue<>();
    private final Map<String, Semaphore> free = new ConcurrentHashMap<>();
    private double begunAt;

    Director(Experiment experiment, World world, LabClock clock, Consumer<Event> history) {
        this.experiment = experiment;
        this.world = world;
        this.clock = clock;
        this.history = history;
    }

    /** Counts the faults' times from a time on, on the lab's clock. */
    void start(double begins) {
        begunAt = begins;
        experiment.faults().forEach(fault -> threads.execute(() -> {
            try {
                play(fault);
            } catch (InterruptedException e) {
                // The experiment is over.
            } catch (IOException | RuntimeException e) {
                failures.add(fault.title() + ": " + e.getMessage());
            }
        }));
    }

    /** Faults that could not be played; an experiment with any has no verdict. */
    List<String> failures() {
        return List.copyOf(failures);
    }

    private void play(Fault fault) throws IOException, InterruptedException {
        await(fault.when());
        List<World.Hit> hits = fault.kind().ofLinks() ? World.links(experiment, fault.from(), fault.to())
                : List.of();
        List<String> targets = targets(fault);
        List<String> touched = new ArrayList<>(fault.kind().ofDisk()
                ? targets.stream().map(target -> target + DISK).toList() : targets);
        hits.forEach(hit -> touched.add(hit.link().toString()));
        if (fault.kind() == Fault.Kind.VANISH) {
            targets.forEach(target -> world.linksOf(target).forEach(hit ->
                    touched.add(hit.link().toString())));
        }
        // Faults that touch the same process or link wait for one another, taken in one order by all.
        List<Semaphore> held = new ArrayList<>();
        for (String name : new TreeSet<>(touched)) {
            Semaphore one = free.computeIfAbsent(name, absent -> new Semaphore(1));
            one.acquire();
            held.add(one);
        }
        try {
            play(fault, hits, targets, touched);
        } finally {
            held.forEach(Semaphore::release);
        }
    }

    private void play(Fault fault, List<World.Hit> hits, List<String> targets, List<String> touched)
            throws IOException, InterruptedException {
        tell(fault, touched, true);
        switch (fault.kind()) {
            case CUT, IMPAIR -> world.impair(hits, fault.impairment(),
                    fault.oneWay() ? Impairment.NONE : fault.impairment());
            case RESET -> world.reset(hits);
            case PART -> world.part(true, List.of(fault.from(), fault.to()));
            default -> {
                List<String> hollow = targets.stream().filter(experiment.hollowNames()::contains).toList();
                if (!hollow.isEmpty()) {
                    world.hollow().end(hollow, fault.kind() == Fault.Kind.RESTART);
                }
                for (String target : targets) {
                    if (!hollow.contains(target)) {
                        begin(fault, target);
                    }
                }
                if (!hollow.isEmpty() && fault.kind() == Fault.Kind.RESTART) {
                    world.hollow().start(hollow);
                }
            }
        }
        if (fault.forMs() > 0) {
            TimeUnit.MICROSECONDS.sleep((long) (fault.forMs() * 1_000));
            if (!hits.isEmpty()) {
                world.impair(hits, Impairment.NONE, Impairment.NONE);
            }
            if (fault.kind() == Fault.Kind.PART) {
                world.part(false, List.of(fault.from(), fault.to()));
            }
            List<String> hollow = targets.stream().filter(experiment.hollowNames()::contains).toList();
            if (!hollow.isEmpty()) {
                world.hollow().start(hollow);
            }
            for (String target : targets) {
                if (!hollow.contains(target)) {
                    end(fault, target);
                }
            }
        }
        if (fault.forMs() > 0 || !fault.kind().lasts()) {
            tell(fault, touched, false);
        }
    }

    private void await(Fault.When when) throws IOException, InterruptedException {
        double from = begunAt;
        if (when.process() != null) {
            while (!world.balancers().get(when.process()).hasSaid(when.says())) {
                TimeUnit.MILLISECONDS.sleep(LOOK_EVERY_MS);
            }
            from = clock.now();
        }
        double left = from + when.atMs() - clock.now();
        if (left > 0) {
            TimeUnit.MICROSECONDS.sleep((long) (left * 1_000));
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
        // A zone's name stands for its balancers.
        return all.stream().filter(name -> experiment.upstreamNames().contains(name)
                ? Fault.matches(fault.target(), name) : experiment.names(fault.target(), name)).toList();
    }

    private void tell(Fault fault, List<String> touched, boolean begins) {
        // An upgrade or a planned restart is no excuse for what is lost.
        boolean excuses = fault.kind() != Fault.Kind.UPGRADE && fault.kind() != Fault.Kind.RESTART
                && fault.kind() != Fault.Kind.HANGUP;
        history.accept(new Event.Faulted(clock.now(), fault.number(), fault.title(),
                excuses ? touched : List.of(), begins));
    }

    private void begin(Fault fault, String target) throws IOException, InterruptedException {
        BalancerProcess balancer = world.balancers().get(target);
        switch (fault.kind()) {
            case KILL -> {
                if (balancer == null) {
                    world.stopUpstream(target);
                } else {
                    balancer.kill();
                    damage(fault, balancer);
                }
            }
            case RESTART -> balancer.restart();
            case UPGRADE -> balancer.upgrade();
            case PAUSE -> balancer.pause();
            case HANGUP -> balancer.hangUp();
            case VANISH -> {
                world.impair(world.linksOf(target), Impairment.BLOCKED, Impairment.BLOCKED);
                balancer.kill();
            }
            case READ_ONLY -> DiskFault.setReadOnly(balancer.disk(), true);
            case DISK_FULL -> balancer.diskFull(true);
            case SLOW -> World.await(world.upstream(target).slow(fault.amount()));
            case FAIL -> World.await(world.upstream(target).fail(fault.amount()));
            case REPLACE -> {
                World.await(world.upstream(target).drain());
                world.list(target, "draining");
            }
            default -> throw new IllegalStateException(fault.title());
        }
    }

    private void damage(Fault fault, BalancerProcess balancer) throws IOException {
        if (fault.damage() != null) {
            fault.damage().apply(balancer.disk(), new SplittableRandom(experiment.seed() + fault.number()));
        }
    }

    private void end(Fault fault, String target) throws IOException, InterruptedException {
        BalancerProcess balancer = world.balancers().get(target);
        switch (fault.kind()) {
            case KILL -> {
                if (balancer == null) {
                    world.startUpstream(target);
                } else if (fault.keepDisk()) {
                    balancer.startOnWhatIsThere();
                } else {
                    balancer.start();
                }
            }
            case PAUSE -> balancer.resume();
            case READ_ONLY -> DiskFault.setReadOnly(balancer.disk(), false);
            case DISK_FULL -> balancer.diskFull(false);
            case VANISH -> {
                world.reset(world.linksOf(target));
                world.impair(world.linksOf(target), Impairment.NONE, Impairment.NONE);
                balancer.start();
            }
            case SLOW -> World.await(world.upstream(target).slow(1));
            case FAIL -> World.await(world.upstream(target).fail(0));
            case REPLACE -> {
                world.stopUpstream(target);
                world.list(target, "removed");
                world.startUpstream(target);
            }
            default -> throw new IllegalStateException(fault.title());
        }
    }

    /** Ends what is still under way. */
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
