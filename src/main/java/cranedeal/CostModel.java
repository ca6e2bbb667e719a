package cranedeal;

import cranedeal.Call.Attempt;
import cranedeal.LoadBalancer.Settings;

/**
 * The cost l of a server for a request of a class: base + p * (1/s - 1), where base is its smoothed latency
 * of served calls, s its success rate over a recent window and p the class's aim. Servers are drawn in
 * proportion to 1/l. What all servers of a {@link ServerGroup} have in common is a separate factor, so that a
 * change of it does not change the weight of any server.
 */
final class CostModel {

    /**
     * Ms in which observations decay to 1/e: shorter than most incidents, so that a failing server is
     * retried.
     */
    static final double EVIDENCE_DECAY = 8_000;
    /** Min ms between two decays of a server's observations; far below the decay time, it only saves CPU. */
    static final double DECAY_STEP = 200;
    /**
     * Weight of the machine type's mean in a server's base, in samples, as most servers have few of their
     * own.
     */
    private static final double BASE_POOL = 2;
    /** Weight of the machine type in s, in calls: a failing type shows in all its servers. */
    private static final double SUCCESS_POOL = 2;
    /**
     * Weight of a server's success rate over all classes in s for one class, in calls. A server may fail one
     * class and serve the others well, or fail all; the class's own few calls show which.
     */
    private static final double CLASS_POOL = 1;
    /** Lower bound of s: keeps l finite, so that even a dead server is drawn now and then. */
    private static final double MIN_SUCCESS = 0.05;
    /** Relative growth of l for each own call in flight there: those are served first. */
    private static final double IN_FLIGHT_WEIGHT = 1.4;
    /**
     * Ms added to l per ms that the oldest call there is overdue: shows a hung server before its calls time
     * out.
     */
    private static final double OVERDUE_WEIGHT = 4;
    /**
     * Growth of l across zones, per square root of the price: even expensive crossings must remain possible.
     */
    private static final double CROSS_ZONE_WEIGHT = 150;
    /**
     * Growth of l outside the preferred subset without observations; shrinks with the number of observations.
     */
    private static final double OUTSIDE_WEIGHT = 60;
    /**
     * Growth of l outside the subset per point of connection price: connections from all to all fill every
     * table.
     */
    private static final double CONNECTION_WEIGHT = 200;
    /**
     * Growth of a server's l with the pressure of a class restricted to it, for classes that can go
     * elsewhere.
     */
    private static final double RELIEF_WEIGHT = 40;
    /** Share of l that applies to a server in its trial, so that most of a few draws find it. */
    private static final double TRIAL_COST_SHARE = 0.1;
    /** Share of the aim that the calls in flight at a server may take together; more of them form queues. */
    private static final double MAX_IN_FLIGHT_SHARE = 0.35;
    /** Own calls in flight that every server may have, including servers with few observations. */
    private static final int MIN_IN_FLIGHT = 3;
    /** Min observation time in ms for the throughput of a new server. */
    private static final double MIN_OBSERVED = 2_000;

    private Settings settings;
    private ClassStats[] classes;
    private double crossZoneFactor;
    private double connectionFactor;

    /** Applies new settings. */
    void configure(Settings newSettings, ClassStats[] newClasses) {
        settings = newSettings;
        classes = newClasses;
        crossZoneFactor = 1 + CROSS_ZONE_WEIGHT * Math.sqrt(newSettings.prices().crossZone());
        connectionFactor = CONNECTION_WEIGHT * (newSettings.prices().connection()
                + newSettings.prices().handshake());
    }

    /** Returns the share of its capacity that a server is assumed to have. */
    double warmth(Server server, double now) {
        return server.cold ? ServerPool.warmth(server, settings.rules(), now) : 1;
    }

    /** Returns the server's latency relative to the mean of all servers. */
    static double relativeLatency(Server server) {
        return server.relativeLatency(BASE_POOL);
    }

    /** Returns the server's l for a request of this class without calls in flight. */
    double idleCost(Server server, ClassStats c, double now) {
        server.decay(now, EVIDENCE_DECAY, DECAY_STEP);
        double success = server.successRate(c.index, SUCCESS_POOL, CLASS_POOL);
        return relativeLatency(server) * c.latency.value()
                + c.type.aim() * (1 / Math.max(MIN_SUCCESS, success) - 1);
    }

    /**
     * Returns the l of an unobserved server of a machine type, relative to the class's latency. Where it
     * falls, the weights of such servers rise.
     */
    static double unknownCost(Server.MachineTypeStats kind, ClassStats c) {
        double success = Math.max(MIN_SUCCESS, kind.served.value());
        return kind.latency.value() + c.type.aim() / c.latency.value() * (1 / success - 1);
    }

    /**
     * Returns the server's weight for a class without the factor of its group. It is relative to the class's
     * latency, so that it does not change when all servers become slower or faster.
     */
    double weight(Server server, ClassStats c, double now) {
        return weight(server, c, idleCost(server, c, now), now);
    }

    /** Like the method above, for a known l without calls in flight. */
    double weight(Server server, ClassStats c, double idleCost, double now) {
        double l = idleCost * (1 + IN_FLIGHT_WEIGHT * server.inFlight.size());
        if (!server.inFlight.isEmpty()) {
            Attempt oldest = server.inFlight.peekFirst();
            l += OVERDUE_WEIGHT * Math.max(0, now - oldest.sentAt - oldest.call.slowAfter());
        }
        return c.latency.value() / l * (server.inTrial ? 1 / TRIAL_COST_SHARE : warmth(server, now));
    }

    /** Returns the factor by which the weight grows until a later time as the server warms up. */
    double warmupGain(Server server, double now, double until) {
        return server.cold && !server.inTrial ? warmth(server, until) / warmth(server, now) : 1;
    }

    /**
     * Returns the part of the weight that all servers of a group have in common.
     *
     * @param evidence own recent calls per ready server
     */
    double groupFactor(ServerGroup group, ClassStats c, double evidence) {
        double l = group.pool.zone == settings.zone() ? 1 : crossZoneFactor;
        if (!group.preferred) {
            l *= 1 + OUTSIDE_WEIGHT / Math.pow(1 + evidence, 2) + connectionFactor;
        }
        // Weights even out latencies, but only unrestricted classes can make room for restricted ones.
        for (ClassStats other : classes) {
            if (other.leader == other && other != c.leader && other.isRestricted()
                    && other.type.admits(group.pool.example)) {
                l *= 1 + RELIEF_WEIGHT * (LoadShedding.MAX_HEDGING_PRESSURE / 2 + other.pressure);
            }
        }
        return 1 / l;
    }

    /**
     * Returns true if one more call would be served in time. By Little's law the calls in flight divided by
     * the throughput are the time that each call takes, which is known before any of them is late.
     */
    static boolean hasRoom(Server server, double aim, double now) {
        // Decay up to now: this is checked again right after an outcome and must not use older observations.
        server.decay(now, EVIDENCE_DECAY, 0);
        double observed = Math.max(MIN_OBSERVED, now - server.observedSince);
        double window = EVIDENCE_DECAY * (1 - Math.exp(-observed / EVIDENCE_DECAY));
        return server.inFlight.size() < Math.max(MIN_IN_FLIGHT,
                server.served / window * MAX_IN_FLIGHT_SHARE * aim);
    }
}
