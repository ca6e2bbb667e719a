package cranedeal;

import java.util.Objects;

/** What was seen of a class of requests over all servers. */
final class ClassRecord {

    /** Its place in the settings; negative once they lack it. */
    int index;
    final LoadBalancer.ServiceClass type;
    /** Served latency in ms for a request of mean cost on a mean server. */
    final Mean latency;
    /** Hinted cost. */
    final Mean hint;
    /** Its share of the requests that arrive. */
    double share;
    /** The part of them to refuse at once. */
    double refused;
    /** The first class of the same placement: the four below are kept there for all of them. */
    ClassRecord leader;
    /** Share of the work asked for that is refused at once, and when it was last moved. */
    double pressure;
    double feltAt;
    private double easedAt;
    /** When the latest of the attempts went out that were served in good time. */
    double fineSentAt = Double.NEGATIVE_INFINITY;
    /** How many warm servers its requests were spread over: the most since none was cold. */
    double spread;
    /** How many times the expected latency only the slowest calls take. */
    double slowRatio;

    ClassRecord(int index, LoadBalancer.ServiceClass type, double firstLatency, double firstRatio,
            double gain) {
        this.index = index;
        this.type = type;
        latency = new Mean(firstLatency, gain);
        hint = new Mean(0, gain);
        slowRatio = firstRatio;
    }

    /** The same class in new settings, with all that is known of it; it takes the place of this record. */
    ClassRecord retuned(int newIndex, LoadBalancer.ServiceClass newType) {
        return new ClassRecord(this, newIndex, newType);
    }

    private ClassRecord(ClassRecord before, int index, LoadBalancer.ServiceClass type) {
        this.index = index;
        this.type = type;
        latency = before.latency;
        hint = before.hint;
        share = before.share;
        spread = before.spread;
        refused = before.refused;
        pressure = before.leader.pressure;
        feltAt = before.leader.feltAt;
        easedAt = before.leader.easedAt;
        slowRatio = before.slowRatio;
    }

    LoadBalancer.WarmState.ClassState learnt() {
        return new LoadBalancer.WarmState.ClassState(type.name(), latency.value(), hint.value(), slowRatio);
    }

    /** Begins with what an earlier process had learnt; {@code kept} tells how much of that still counts. */
    void recall(LoadBalancer.WarmState.ClassState old, double kept) {
        latency.recall(old.latency(), kept);
        hint.recall(old.hint(), kept);
        slowRatio += kept * (old.slowRatio() - slowRatio);
    }

    /** Lets the pressure go by a share in a ms since the last sign: thin traffic has few that tell. */
    double ease(double now, double rate) {
        pressure = pressure < 1e-3 ? 0 : pressure * Math.exp(rate * (Math.max(easedAt, feltAt) - now));
        easedAt = now;
        return pressure;
    }

    boolean sharesPlacement(ClassRecord other) {
        return Objects.equals(type.zones(), other.type.zones())
                && Objects.equals(type.machineTypes(), other.type.machineTypes());
    }

    boolean isBound() {
        return type.zones() != null || type.machineTypes() != null;
    }
}
