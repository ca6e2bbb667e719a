package cranedeal;

import java.util.ArrayDeque;

/** What this instance observed of one server, as sums that decay over time; makes no decisions. */
final class Server {

    /** Observations of a machine type: mean relative latency and share of calls served. */
    static final class MachineTypeStats {
        final MovingAverage latency;
        final MovingAverage served;

        MachineTypeStats(double gain) {
            latency = new MovingAverage(1, gain);
            served = new MovingAverage(1, gain);
        }
    }

    /** Ms after operators enable a server within which it should get its first call (its trial). */
    static final double TRIAL_WINDOW = 5_000;
    /** Marks a server that is in no bin of a class. */
    static final int NO_SLOT = -1;

    LoadBalancer.Upstream listed;
    /** Creation number of this record; unique. */
    final long sequence;
    /** Assumed start time of its process: as listed, or later; 0 for long ago. */
    final double startedAt;
    final MachineTypeStats machineType;
    /** This instance's attempts in flight there, oldest first. */
    final ArrayDeque<Call.Attempt> inFlight = new ArrayDeque<>();
    /** Sum and number of the latencies of served calls, relative to the expected latency. */
    double latencySum;
    double latencyCount;
    /** Calls served and calls ended there, over all classes and by class. */
    double served;
    double attempts;
    double[] servedByClass;
    double[] attemptsByClass;
    /** Consecutive failures of each class since its last success. */
    private int[] failuresByClass;
    /** True if it belongs to the subset that this instance prefers. */
    boolean preferred;
    /** Send budget while it is cold, in calls. */
    double coldBudget;
    /** Until when its connection table is assumed to be full. */
    double tableFullUntil = Double.NEGATIVE_INFINITY;
    /** Start of its trial after operators enabled it; NaN if it has none. */
    double trialFrom = Double.NaN;
    /** Random sort key for the choice of the preferred subset, and scratch for that choice. */
    double shuffleKey;
    boolean selected;
    /** True if it is cold, and if its send budget is below one call; maintained by its pool. */
    boolean cold;
    boolean outOfBudget;
    /** True while its trial lasts. */
    boolean inTrial;
    /** When its trial starts or ends. */
    double trialChangesAt;
    /**
     * The sums of its pool when its own budget was last computed, and the sum at which it has a whole call.
     */
    double earnedBefore;
    double earnedByTimeBefore;
    double dueAtEarned;
    /** Its pool and group among the ready servers; null while it is not ready. */
    ServerPool pool;
    ServerGroup group;
    /** Its bin for each class and its slot there; {@link #NO_SLOT} if it is in none. */
    int[] bins;
    int[] slots;
    /** True if it is queued for a refresh of its weights, and when that is due. */
    boolean refreshQueued;
    double refreshAt;
    /** Its contribution to the total number of attempts, and when that was computed. */
    double countedAttempts;
    double countedAt;
    /** Time of the first observation. */
    double observedSince;
    private double decayedAt;

    Server(LoadBalancer.Upstream listed, long sequence, double startedAt, MachineTypeStats machineType,
            int classes, double now, double coldBudget) {
        this.sequence = sequence;
        this.startedAt = startedAt;
        servedByClass = new double[classes];
        attemptsByClass = new double[classes];
        failuresByClass = new int[classes];
        this.listed = listed;
        this.machineType = machineType;
        this.coldBudget = coldBudget;
        decayedAt = now;
        observedSince = now;
    }

    /** Returns its warm-start state. */
    LoadBalancer.WarmState.UpstreamState warmState(double now) {
        return new LoadBalancer.WarmState.UpstreamState(listed.id(), listed.startedAt(), startedAt,
                now - observedSince, latencySum, latencyCount, served, attempts, servedByClass.clone(),
                attemptsByClass.clone());
    }

    /**
     * Restores state saved at the given time. {@code oldIndices} holds for each class its index in that
     * state, negative for a new class.
     */
    void restore(LoadBalancer.WarmState.UpstreamState saved, double savedAt, int[] oldIndices) {
        latencySum = saved.latencySum();
        latencyCount = saved.latencyCount();
        served = saved.totalServed();
        attempts = saved.totalAttempts();
        servedByClass = saved.servedByClass();
        attemptsByClass = saved.attemptsByClass();
        remapClasses(oldIndices);
        decayedAt = savedAt;
        observedSince = savedAt - saved.observedFor();
    }

    /** Adds restored observations to its machine type, where they still weigh as much as a call. */
    void updateMachineType() {
        if (latencyCount >= 1) {
            machineType.latency.add(latencySum / latencyCount);
        }
        if (attempts >= 1) {
            machineType.served.add(served / attempts);
        }
    }

    /** Reorders the classes for new settings: for each class its previous index, negative for a new class. */
    void remapClasses(int[] oldIndices) {
        double[] oldServed = servedByClass;
        double[] oldTries = attemptsByClass;
        servedByClass = new double[oldIndices.length];
        attemptsByClass = new double[oldIndices.length];
        failuresByClass = new int[oldIndices.length];
        for (int i = 0; i < oldIndices.length; i++) {
            if (oldIndices[i] >= 0) {
                servedByClass[i] = oldServed[oldIndices[i]];
                attemptsByClass[i] = oldTries[oldIndices[i]];
            }
        }
    }

    /** Returns the number of ended calls, decayed up to now. */
    double decayedAttempts(double now, double timeConstant) {
        return attempts * Math.exp((decayedAt - now) / timeConstant);
    }

    /** Decays all observations with the given time constant, at most once per step. */
    void decay(double now, double timeConstant, double step) {
        if (now - decayedAt < step) {
            return;
        }
        double kept = Math.exp((decayedAt - now) / timeConstant);
        latencySum *= kept;
        latencyCount *= kept;
        served *= kept;
        attempts *= kept;
        for (int i = 0; i < attemptsByClass.length; i++) {
            servedByClass[i] *= kept;
            attemptsByClass[i] *= kept;
        }
        decayedAt = now;
    }

    /**
     * Detects outages from served and failed calls that do not indicate overload. After {@code
     * outageFailures} consecutive failures of a class, the earlier successes are outdated, and after the next
     * success so are the failures: the given shares of them are kept, at each further failure and at the
     * recovery.
     */
    void updateOutage(int serviceClass, boolean wasServed, int outageFailures, double servedKept,
            double failedKept) {
        if (serviceClass < 0) {
            return;
        }
        int failures = wasServed ? failuresByClass[serviceClass]
                : Math.min(outageFailures, failuresByClass[serviceClass] + 1);
        failuresByClass[serviceClass] = wasServed ? 0 : failures;
        if (failures == outageFailures) {
            // The sums over all classes stay, as they measure throughput and thereby the room of the server.
            double failed = (wasServed ? failedKept : 1)
                    * (attemptsByClass[serviceClass] - servedByClass[serviceClass]);
            servedByClass[serviceClass] *= wasServed ? 1 : servedKept;
            attemptsByClass[serviceClass] = servedByClass[serviceClass] + failed;
        }
    }

    void count(int serviceClass, boolean wasServed) {
        machineType.served.add(wasServed ? 1 : 0);
        attempts += 1;
        served += wasServed ? 1 : 0;
        if (serviceClass >= 0) {
            attemptsByClass[serviceClass] += 1;
            servedByClass[serviceClass] += wasServed ? 1 : 0;
        }
    }

    /**
     * Returns the latency relative to the mean of all servers, pooled with {@code pool} samples of its
     * machine type.
     */
    double relativeLatency(double pool) {
        return (latencySum + pool * machineType.latency.value()) / (latencyCount + pool);
    }

    /**
     * Returns the success rate of a class, pooled with that of all classes, which is pooled with that of its
     * machine type.
     */
    double successRate(int serviceClass, double machineTypePool, double classPool) {
        double overall = (served + machineTypePool * machineType.served.value())
                / (attempts + machineTypePool);
        if (serviceClass < 0) {
            return overall;
        }
        return (servedByClass[serviceClass] + classPool * overall)
                / (attemptsByClass[serviceClass] + classPool);
    }
}
