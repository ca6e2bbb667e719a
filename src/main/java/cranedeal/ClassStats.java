package cranedeal;

import java.util.Objects;

/** Statistics of a class of requests over all servers. */
final class ClassStats {

    /** Its index in the settings; negative once it was removed from them. */
    int index;
    final LoadBalancer.ServiceClass type;
    /** Latency in ms of served requests, for a request of mean cost on a mean server. */
    final MovingAverage latency;
    /** Hinted cost, in ms of work. */
    final MovingAverage workHint;
    /** Its share of the arriving requests. */
    double requestShare;
    /** The share of its requests to refuse on arrival. */
    double refusedShare;
    /** The first class with the same placement, which holds the next four fields for all of them. */
    ClassStats leader;
    /** Share of the requested work that is refused on arrival, and when it last changed through a sign. */
    double pressure;
    double signalledAt;
    private double decayedAt;
    /** Send time of the latest attempt that was served in time. */
    double timelySentAt = Double.NEGATIVE_INFINITY;
    /**
     * Number of warm servers that its requests were spread over; the maximum since the last time without cold
     * servers.
     */
    double warmServers;
    /** Ratio to the expected latency that only the slowest calls exceed. */
    double slowRatio;

    ClassStats(int index, LoadBalancer.ServiceClass type, double firstLatency, double firstRatio,
            double gain) {
        this.index = index;
        this.type = type;
        latency = new MovingAverage(firstLatency, gain);
        workHint = new MovingAverage(0, gain);
        slowRatio = firstRatio;
    }

    /** Returns the statistics of the same class under new settings; they replace this object. */
    ClassStats withSettings(int newIndex, LoadBalancer.ServiceClass newType) {
        return new ClassStats(this, newIndex, newType);
    }

    private ClassStats(ClassStats previous, int index, LoadBalancer.ServiceClass type) {
        this.index = index;
        this.type = type;
        latency = previous.latency;
        workHint = previous.workHint;
        requestShare = previous.requestShare;
        warmServers = previous.warmServers;
        refusedShare = previous.refusedShare;
        pressure = previous.leader.pressure;
        signalledAt = previous.leader.signalledAt;
        decayedAt = previous.leader.decayedAt;
        slowRatio = previous.slowRatio;
    }

    LoadBalancer.WarmState.ClassState warmState() {
        return new LoadBalancer.WarmState.ClassState(type.name(), latency.value(), workHint.value(),
                slowRatio);
    }

    /** Restores state of an earlier process; {@code kept} is the share of it that still counts. */
    void restore(LoadBalancer.WarmState.ClassState saved, double kept) {
        latency.restore(saved.latency(), kept);
        workHint.restore(saved.hint(), kept);
        slowRatio += kept * (saved.slowRatio() - slowRatio);
    }

    /** Decays the pressure at a rate per ms since the last sign: low traffic brings few signs. */
    double decayPressure(double now, double rate) {
        pressure = pressure < 1e-3 ? 0 : pressure * Math.exp(rate * (Math.max(decayedAt, signalledAt) - now));
        decayedAt = now;
        return pressure;
    }

    boolean sharesPlacement(ClassStats other) {
        return Objects.equals(type.zones(), other.type.zones())
                && Objects.equals(type.machineTypes(), other.type.machineTypes());
    }

    boolean isRestricted() {
        return type.zones() != null || type.machineTypes() != null;
    }
}
