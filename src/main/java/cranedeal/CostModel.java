package cranedeal;

import cranedeal.Call.Attempt;
import cranedeal.LoadBalancer.Settings;

/**
 * The cost l of a server for a request of a class: base + p * (1/s - 1), where base is its smoothed served
 * latency, s its windowed success share and p the class's steady time-out. Servers are drawn in proportion
 * to 1/l. What all servers of a {@link ServerGroup} share is a factor of its own, so that a change of it
 * changes no server's weight.
 */
final class CostModel {

    /** Ms in which evidence fades to 1/e: shorter than most troubles, so a sick server is retried. */
    static final double EVIDENCE_FADE = 8_000;
    /** Ms between refreshes of a server's faded evidence; far below the fade, it only saves CPU. */
    static final double FADE_STEP = 200;
    /** Samples that the mean of a server's machine type weighs in its base, as most bases rest on few. */
    private static final double BASE_POOL = 2;
    /** Calls that its machine type's record weighs in s: a type in trouble shows in all its servers. */
    private static final double SUCCESS_POOL = 2;
    /**
     * Calls that a server's record over all classes weighs in s for one class: a server may fail a class
     * and serve the others well, or fail all; which one it is shows in the class's own few calls.
     */
    private static final double CLASS_POOL = 1;
    /** Least s: keeps l finite, so that even a dead server is drawn now and then. */
    private static final double SUCCESS_FLOOR = 0.05;
    /** Growth of l for each own call in flight there: they will be served first. */
    private static final double IN_FLIGHT = 1.4;
    /** Ms added to l per ms that the oldest call there is overdue: a hang shows before it times out. */
    private static final double OVERDUE_WEIGHT = 4;
    /** Growth of l across zones, times the root of the price: a dear crossing must still be possible. */
    private static final double CROSSING = 150;
    /** Growth of l outside the subset while there is no evidence; it shrinks as servers become known. */
    private static final double OUTSIDE = 60;
    /** Growth of l outside it for each point of price on connections: all to all fills every table. */
    private static final double CONNECTION = 200;
    /** Growth of a server's l with the pressure of a class bound there, for those that may go elsewhere. */
    private static final double RELIEF = 40;
    /** Share of l that counts for a server that is owed a call: most of a few draws should find it. */
    private static final double OWED = 0.1;
    /** Share of the aim that the calls in flight at a server may take together; beyond it crowds jam. */
    private static final double ROOM = 0.35;
    /** Own calls in flight that any server may have, also one of which little was seen. */
    private static final int LEAST_ROOM = 3;
    /** Ms over which the calls that a new server has served are taken to have come, at the least. */
    private static final double LEAST_SEEN = 2_000;

    private Settings settings;
    private ClassRecord[] classes;
    private double crossing;
    private double connecting;

    /** From now on goes by these settings. */
    void retune(Settings given, ClassRecord[] records) {
        settings = given;
        classes = records;
        crossing = 1 + CROSSING * Math.sqrt(given.prices().crossZone());
        connecting = CONNECTION * (given.prices().connection() + given.prices().handshake());
    }

    /** The share of its capacity that a server can be trusted to have. */
    double warmth(Server server, double now) {
        return server.cold ? Placement.warmth(server, settings.rules(), now) : 1;
    }

    /** The server's latency relative to the mean of all. */
    static double base(Server server) {
        return server.base(BASE_POOL);
    }

    /** The server's l for a request of this class while it has no call in hand. */
    double atRest(Server server, ClassRecord c, double now) {
        server.fade(now, EVIDENCE_FADE, FADE_STEP);
        double success = server.success(c.index, SUCCESS_POOL, CLASS_POOL);
        return base(server) * c.latency.value()
                + c.type.aim() * (1 / Math.max(SUCCESS_FLOOR, success) - 1);
    }

    /**
     * The l of a server of a machine type of which nothing else is known, relative to the class's latency;
     * what it goes down by, the weights of such servers go up.
     */
    static double unknown(Server.Kind kind, ClassRecord c) {
        double success = Math.max(SUCCESS_FLOOR, kind.served.value());
        return kind.latency.value() + c.type.aim() / c.latency.value() * (1 / success - 1);
    }

    /**
     * The server's weight for a class, but for the factor of its group; relative to the class's latency, so
     * that it stays as it is while all servers become slower or faster.
     */
    double weight(Server server, ClassRecord c, double now) {
        return weight(server, c, atRest(server, c, now), now);
    }

    /** The same where the server's l at rest is known. */
    double weight(Server server, ClassRecord c, double atRest, double now) {
        double l = atRest * (1 + IN_FLIGHT * server.out.size());
        if (!server.out.isEmpty()) {
            Attempt oldest = server.out.peekFirst();
            l += OVERDUE_WEIGHT * Math.max(0, now - oldest.sentAt - oldest.call.slowAfter());
        }
        return c.latency.value() / l * (server.owed ? 1 / OWED : warmth(server, now));
    }

    /** By how much the weight may grow by itself until a later time, as the server warms up. */
    double warming(Server server, double now, double until) {
        return server.cold && !server.owed ? warmth(server, until) / warmth(server, now) : 1;
    }

    /**
     * The part of the weight that all servers of a group share.
     *
     * @param evidence own calls of late for each ready server
     */
    double factor(ServerGroup group, ClassRecord c, double evidence) {
        double l = group.placement.zone == settings.zone() ? 1 : crossing;
        if (!group.preferred) {
            l *= 1 + OUTSIDE / Math.pow(1 + evidence, 2) + connecting;
        }
        // Weights even out latencies, yet only those who are free can make room for those who are bound.
        for (ClassRecord other : classes) {
            if (other.leader == other && other != c.leader && other.isBound()
                    && other.type.admits(group.placement.example)) {
                l *= 1 + RELIEF * (LoadShedding.CALM / 2 + other.pressure);
            }
        }
        return 1 / l;
    }

    /**
     * Whether one call more would be served in good time there. By Little's law the calls in flight over
     * those served in a second are the time that each takes, known before any of them is late.
     */
    static boolean hasRoom(Server server, double aim, double now) {
        // To the moment: what is asked again as soon as an outcome comes must not rest on older evidence.
        server.fade(now, EVIDENCE_FADE, 0);
        double seen = Math.max(LEAST_SEEN, now - server.knownSince);
        double window = EVIDENCE_FADE * (1 - Math.exp(-seen / EVIDENCE_FADE));
        return server.out.size() < Math.max(LEAST_ROOM, server.served / window * ROOM * aim);
    }
}
