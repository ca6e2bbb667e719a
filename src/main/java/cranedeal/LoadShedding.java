package cranedeal;

import cranedeal.LoadBalancer.Settings;
import java.util.Arrays;
import java.util.Comparator;

/**
 * Refuses a part of the requests under overload, before any work is spent on them, as otherwise all would be
 * late. This happens at the first tier only, as a refusal further down wastes the work done above. The
 * refused share is the pressure, which signs of overload raise and timely answers lower.
 */
final class LoadShedding {

    /** Pressure above which no hedged requests are sent, as these would add to the overload. */
    static final double MAX_HEDGING_PRESSURE = 0.05;
    /** Change of the pressure per second of overload signs, and per second of timely answers. */
    private static final double PRESSURE_UP = 0.9;
    private static final double PRESSURE_DOWN = 0.22;
    /** Max time in ms that one outcome stands for. */
    private static final double MAX_SIGNAL_MS = 250;
    private static final double MAX_PRESSURE = 0.95;
    private static final int PLAN_STEPS = 10;
    private static final double MS_PER_S = 1_000;
    /** A plan may miss its target by one part in this number of all work, because of limited precision. */
    private static final double PLAN_PRECISION = 1_000;
    /** Lower bound of a class's share of requests; keeps ratios finite. */
    private static final double MIN_REQUEST_SHARE = 1e-6;

    private final double shareGain;
    private Settings settings;
    private ClassStats[] classes;

    /** Takes the weight of one request in the classes' shares of the requests. */
    LoadShedding(double shareGain) {
        this.shareGain = shareGain;
    }

    /** Applies new settings. */
    void configure(Settings newSettings, ClassStats[] newClasses) {
        settings = newSettings;
        classes = newClasses;
    }

    /** Counts a new request and returns the probability with which it is to be refused. */
    double refusalProbability(ClassStats serviceClass, double now) {
        for (ClassStats c : classes) {
            c.requestShare += shareGain * ((c == serviceClass ? 1 : 0) - c.requestShare);
        }
        if (serviceClass.leader.decayPressure(now, PRESSURE_DOWN / MS_PER_S) == 0) {
            return 0;
        }
        plan(serviceClass.leader);
        return serviceClass.refusedShare;
    }

    /**
     * Applies a sign of overload or a timely answer. Each stands for the time since the previous one, so the
     * pressure changes as fast under low traffic or when so much is refused that few outcomes arrive, and
     * does not outlast its cause.
     */
    static void signal(ClassStats leader, boolean inTime, double now) {
        double seconds = Math.min(MAX_SIGNAL_MS, now - leader.signalledAt) / MS_PER_S;
        leader.signalledAt = now;
        double changed = leader.pressure + (inTime ? -PRESSURE_DOWN : PRESSURE_UP) * seconds;
        leader.pressure = Math.min(MAX_PRESSURE, Math.max(0, changed));
    }

    /**
     * Plans the refused share of each class so that the pressure's share of the work is refused at the least
     * loss: the classes with the lowest worth per work first, but no class beyond the optimal cap, since the
     * worst class also counts by itself. Classes with the same placement share their pressure, so overload of
     * restricted servers affects only the classes restricted to them.
     */
    private void plan(ClassStats leader) {
        ClassStats[] cheapestFirst = Arrays.stream(classes).filter(c -> c.leader == leader)
                .sorted(Comparator.comparingDouble(c -> worth(c) / work(c))).toArray(ClassStats[]::new);
        double allWork = Arrays.stream(cheapestFirst).mapToDouble(this::work).sum();
        double allWorth = Arrays.stream(cheapestFirst).mapToDouble(this::worth).sum();
        double worstClassWeight = settings.goal().worstClass();
        double[] refusedShares = new double[cheapestFirst.length];
        double minLoss = Double.MAX_VALUE;
        for (int step = 1; step <= PLAN_STEPS; step++) {
            double maxPart = (double) step / PLAN_STEPS;
            double remaining = leader.pressure * allWork;
            double loss = worstClassWeight * maxPart;
            for (int i = 0; i < refusedShares.length; i++) {
                refusedShares[i] = Math.min(maxPart, remaining / work(cheapestFirst[i]));
                remaining -= refusedShares[i] * work(cheapestFirst[i]);
                loss += (1 - worstClassWeight) * refusedShares[i] * worth(cheapestFirst[i]) / allWorth;
            }
            if (remaining < allWork / PLAN_PRECISION && loss < minLoss) {
                minLoss = loss;
                for (int i = 0; i < refusedShares.length; i++) {
                    cheapestFirst[i].refusedShare = refusedShares[i];
                }
            }
        }
    }

    /** Returns a class's part of the requested work, from hints if there are any, else from latencies. */
    private double work(ClassStats serviceClass) {
        return (serviceClass.requestShare + MIN_REQUEST_SHARE)
                * (serviceClass.workHint.value() > 0 ? serviceClass.workHint.value()
                : serviceClass.latency.value());
    }

    private double worth(ClassStats serviceClass) {
        return serviceClass.type.worth() * (settings.worthByWork()
                ? work(serviceClass) : serviceClass.requestShare + MIN_REQUEST_SHARE);
    }
}
