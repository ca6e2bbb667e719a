package cranedeal;

import java.util.ArrayDeque;

/** What was seen of one server by this instance: sums of evidence that fade, no decisions. */
final class Server {

    /** What was seen of a machine type: mean relative latency and share of calls served. */
    static final class Kind {
        final Mean latency;
        final Mean served;

        Kind(double gain) {
            latency = new Mean(1, gain);
            served = new Mean(1, gain);
        }
    }

    /** Ms after operators have put a server back until which it is to have its first call. */
    static final double OWED_WITHIN = 5_000;
    /** It is in no bin of a class. */
    static final int NO_SLOT = -1;

    LoadBalancer.Upstream listed;
    /** The place of its process among all that were ever listed; no two have the same. */
    final long order;
    /** When its process is taken to have started last: what the list says, or later; 0 for long ago. */
    final double startedAt;
    final Kind kind;
    /** Own attempts in flight there, oldest first. */
    final ArrayDeque<Call.Attempt> out = new ArrayDeque<>();
    /** Served latencies relative to what was expected, and how many. */
    double latencySum;
    double latencyCount;
    /** Calls served and ended there, of all classes and of each. */
    double served;
    double tries;
    double[] servedOf;
    double[] triesOf;
    /** Calls of each class that it has broken since it last served one of them. */
    private int[] faultsOf;
    /** Whether it belongs to the subset of the fleet that this instance prefers. */
    boolean preferred;
    /** Sends that it has earned while cold. */
    double coldBudget;
    /** Until when it is taken to have a full table of connections. */
    double crowdedUntil = Double.NEGATIVE_INFINITY;
    /** From when it is owed a call, as operators have put it back; NaN if it is not. */
    double owedFrom = Double.NaN;
    /** Where it stands in the order by which the preferred subset is chosen, and scratch for the choice. */
    double shuffled;
    boolean chosen;
    /** Whether it is cold, and then whether it has not earned a call; kept by its placement. */
    boolean cold;
    boolean closed;
    /** Whether it is owed a call now. */
    boolean owed;
    /** When that begins or ends. */
    double owingAt;
    /** The parts that its placement had earned when its own budget was reckoned, and when it is due. */
    double earnedBefore;
    double earnedByTimeBefore;
    double dueAtEarned;
    /** Its placement and group among the ready servers; null while it is not ready. */
    Placement placement;
    ServerGroup group;
    /** Its bin for each class and its place there; {@link #NO_SLOT} if it is in none. */
    int[] bins;
    int[] slots;
    /** Whether it is to be weighed anew, and when. */
    boolean queued;
    double refreshAt;
    /** Its part of the evidence of all, and when that was counted. */
    double countedTries;
    double countedAt;
    /** Since when there is evidence of it. */
    double knownSince;
    private double fadedAt;

    Server(LoadBalancer.Upstream listed, long order, double startedAt, Kind kind, int classes, double now,
            double coldBudget) {
        this.order = order;
        this.startedAt = startedAt;
        servedOf = new double[classes];
        triesOf = new double[classes];
        faultsOf = new int[classes];
        this.listed = listed;
        this.kind = kind;
        this.coldBudget = coldBudget;
        fadedAt = now;
        knownSince = now;
    }

    /** What a later process is to know of it. */
    LoadBalancer.WarmState.UpstreamState learnt(double now) {
        return new LoadBalancer.WarmState.UpstreamState(listed.id(), listed.startedAt(), startedAt,
                now - knownSince, latencySum, latencyCount, served, tries, servedOf.clone(),
                triesOf.clone());
    }

    /** Takes in what was known at a time; for each class its place there, negative for one that is new. */
    void recall(LoadBalancer.WarmState.UpstreamState old, double at, int[] places) {
        latencySum = old.latencySum();
        latencyCount = old.latencyCount();
        served = old.totalServed();
        tries = old.totalAttempts();
        servedOf = old.servedByClass();
        triesOf = old.attemptsByClass();
        retune(places);
        fadedAt = at;
        knownSince = at - old.observedFor();
    }

    /** Shows its machine type what was recalled of it, where that still weighs as much as a call. */
    void tellKind() {
        if (latencyCount >= 1) {
            kind.latency.add(latencySum / latencyCount);
        }
        if (tries >= 1) {
            kind.served.add(served / tries);
        }
    }

    /** Takes new settings in: for each class its place before, negative for one that is new. */
    void retune(int[] before) {
        double[] oldServed = servedOf;
        double[] oldTries = triesOf;
        servedOf = new double[before.length];
        triesOf = new double[before.length];
        faultsOf = new int[before.length];
        for (int i = 0; i < before.length; i++) {
            if (before[i] >= 0) {
                servedOf[i] = oldServed[before[i]];
                triesOf[i] = oldTries[before[i]];
            }
        }
    }

    /** The calls that ended there as they have faded by now, to the moment. */
    double triesBy(double now, double constant) {
        return tries * Math.exp((fadedAt - now) / constant);
    }

    /** Lets all evidence fade with the given time constant, at most once a step. */
    void fade(double now, double constant, double step) {
        if (now - fadedAt < step) {
            return;
        }
        double kept = Math.exp((fadedAt - now) / constant);
        latencySum *= kept;
        latencyCount *= kept;
        served *= kept;
        tries *= kept;
        for (int i = 0; i < triesOf.length; i++) {
            servedOf[i] *= kept;
            triesOf[i] *= kept;
        }
        fadedAt = now;
    }

    /**
     * A call was served or broken, which says nothing of a crowd. Once {@code run} of a class are broken one
     * after the other, those served before are of another time, and once one is served again, those broken:
     * of these the given shares are kept, at each fault and at the return.
     */
    void turn(int serviceClass, boolean wasServed, int run, double servedKept, double brokenKept) {
        if (serviceClass < 0) {
            return;
        }
        int faults = wasServed ? faultsOf[serviceClass] : Math.min(run, faultsOf[serviceClass] + 1);
        faultsOf[serviceClass] = wasServed ? 0 : faults;
        if (faults == run) {
            // The sums over all classes stay: what is served in a second, and so its room, goes by them.
            double broken = (wasServed ? brokenKept : 1) * (triesOf[serviceClass] - servedOf[serviceClass]);
            servedOf[serviceClass] *= wasServed ? 1 : servedKept;
            triesOf[serviceClass] = servedOf[serviceClass] + broken;
        }
    }

    void count(int serviceClass, boolean wasServed) {
        kind.served.add(wasServed ? 1 : 0);
        tries += 1;
        served += wasServed ? 1 : 0;
        if (serviceClass >= 0) {
            triesOf[serviceClass] += 1;
            servedOf[serviceClass] += wasServed ? 1 : 0;
        }
    }

    /** Latency relative to the mean of all servers, pooled with {@code pool} samples of its machine type. */
    double base(double pool) {
        return (latencySum + pool * kind.latency.value()) / (latencyCount + pool);
    }

    /** A class's share of calls served, pooled with that of all classes, and that with its machine type's. */
    double success(int serviceClass, double kindPool, double classPool) {
        double all = (served + kindPool * kind.served.value()) / (tries + kindPool);
        if (serviceClass < 0) {
            return all;
        }
        return (servedOf[serviceClass] + classPool * all) / (triesOf[serviceClass] + classPool);
    }
}
