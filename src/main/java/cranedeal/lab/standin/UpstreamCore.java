package cranedeal.lab.standin;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.random.RandomGenerator;

/**
 * One upstream's process: cores that work one request each, a waiting room behind them, and a cold start over
 * which its capacity grows evenly. The keys that its cell has seen outlast it. It has no clock; times are
 * milliseconds.
 */
final class UpstreamCore {

    private final UpstreamKind kind;
    private final RandomGenerator random;
    private final SeenKeys seen;
    private final double startedAt;
    private final boolean cold;
    /** When each core is free. */
    private final double[] freeAt;
    /** When each request that waits will begin, in order. */
    private final ArrayDeque<Double> begins = new ArrayDeque<>();
    private double slowness = 1;
    private double failing;
    private boolean draining;

    UpstreamCore(UpstreamKind kind, double now, boolean cold, RandomGenerator random, SeenKeys seen) {
        this.kind = kind;
        this.seen = seen;
        this.random = random;
        this.cold = cold;
        startedAt = now;
        freeAt = new double[kind.cores()];
        Arrays.fill(freeAt, now);
    }

    /**
     * What becomes of a request.
     *
     * @param taken false if it was turned away
     * @param failing whether its answer is 500
     * @param doneAt when it is answered
     */
    record Admission(boolean taken, boolean failing, double doneAt) { }

    /** Everything takes so many times as long from now on; 1 for in order. */
    void slow(double times) {
        slowness = times;
    }

    /** This share of the requests fails, and at once. */
    void fail(double share) {
        failing = share;
    }

    /** From now on it wants nothing new. */
    void drain() {
        draining = true;
    }

    boolean isDraining() {
        return draining;
    }

    /**
     * Takes a request in or turns it away.
     *
     * @param work how long it occupies a core of speed 1, unless it is a repeat
     * @param key what it has in common with its repeats; null if it may run again
     */
    Admission arrive(double now, double work, String key) {
        while (!begins.isEmpty() && begins.peek() <= now) {
            begins.poll();
        }
        if (draining || begins.size() >= kind.queue()) {
            return new Admission(false, false, now);
        }
        if (failing > 0 && random.nextDouble() < failing) {
            return new Admission(true, true, now);
        }
        double earlier = key == null ? Double.NaN : seen.doneAt(key, now);
        if (!Double.isNaN(earlier)) {
            return new Admission(true, false, Math.max(now, earlier));
        }
        int core = 0;
        for (int i = 1; i < freeAt.length; i++) {
            if (freeAt[i] < freeAt[core]) {
                core = i;
            }
        }
        double begin = Math.max(now, freeAt[core]);
        freeAt[core] = begin + work * slowness / (kind.speed() * share(begin));
        if (begin > now) {
            begins.add(begin);
        }
        boolean fails = kind.errorRate() > 0 && random.nextDouble() < kind.errorRate();
        if (key != null && !fails) {
            seen.add(key, now, freeAt[core]);
        }
        return new Admission(true, fails, freeAt[core]);
    }

    /** The share of its full capacity that it has at a time. */
    double share(double now) {
        double age = now - startedAt;
        if (!cold || age >= kind.warmMs()) {
            return 1;
        }
        return kind.coldShare() + (1 - kind.coldShare()) * age / kind.warmMs();
    }
}
