package cranedeal.lab.standin;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.random.RandomGenerator;

/**
 * A model of one upstream process: cores that each process one request at a time, a bounded queue, and a cold
 * start during which capacity grows linearly. The keys that its cell has seen survive its restart. It has no
 * clock; the caller passes the time in milliseconds.
 */
final class UpstreamCore {

    private final UpstreamKind kind;
    private final RandomGenerator random;
    private final SeenKeys seen;
    private final double startedAt;
    private final boolean cold;
    /** The time at which each core becomes free. */
    private final double[] freeAt;
    /** The times at which the queued requests will start, in order. */
    private final ArrayDeque<Double> waitingStarts = new ArrayDeque<>();
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
     * The outcome of a request.
     *
     * @param taken false if the request was rejected
     * @param failing true if its answer is 500
     * @param doneAt the time at which it is answered
     */
    record Admission(boolean taken, boolean failing, double doneAt) { }

    /** Multiplies the processing time of new requests by a factor; 1 is normal speed. */
    void slow(double times) {
        slowness = times;
    }

    /** Makes this share of the requests fail immediately. */
    void fail(double share) {
        failing = share;
    }

    /** Rejects all new requests from now on. */
    void drain() {
        draining = true;
    }

    boolean isDraining() {
        return draining;
    }

    /**
     * Accepts or rejects a request.
     *
     * @param work how long it occupies a core of speed 1, in milliseconds; ignored for a repeated request
     * @param key the idempotency key that it shares with its repeats; null if it may run again
     */
    Admission arrive(double now, double work, String key) {
        while (!waitingStarts.isEmpty() && waitingStarts.peek() <= now) {
            waitingStarts.poll();
        }
        if (draining || waitingStarts.size() >= kind.queue()) {
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
            waitingStarts.add(begin);
        }
        boolean fails = kind.errorRate() > 0 && random.nextDouble() < kind.errorRate();
        if (key != null && !fails) {
            seen.add(key, now, freeAt[core]);
        }
        return new Admission(true, fails, freeAt[core]);
    }

    /** Returns the share of full capacity that is available at a time. */
    double share(double now) {
        double age = now - startedAt;
        if (!cold || age >= kind.warmMs()) {
            return 1;
        }
        return kind.coldShare() + (1 - kind.coldShare()) * age / kind.warmMs();
    }
}
