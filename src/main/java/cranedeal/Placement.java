package cranedeal;

import cranedeal.LoadBalancer.Rules;
import cranedeal.LoadBalancer.Upstream;
import java.util.Comparator;
import java.util.TreeSet;

/**
 * The ready servers of one zone and machine type, which are open to the same classes. Sums over all of them
 * stand ready, so that a request need not visit them: how warm they are together, and what each cold one has
 * earned. A cold server's warmth rises evenly, so what it earns over many requests follows from the sum of
 * the parts and the sum of the parts times when they came.
 */
final class Placement {

    /** How many times the usual a server earns while it is owed a call: siblings owe theirs at one time. */
    private static final double OWED_EARNS = 3;
    /** What may lack of a whole call: sums of parts are not exact. */
    private static final double ROUNDING = 1e-9;
    /** Ms ahead for which a server is taken to be as warm as it will be then: no look comes too late. */
    private static final double AHEAD = 1_000;
    /** The least that a server is taken to earn of a part; keeps its due point finite. */
    private static final double LEAST_RATE = 1e-6;
    private static final Comparator<Server> BY_DUE = Comparator.<Server>comparingDouble(s -> s.dueAtEarned)
            .thenComparingLong(s -> s.order);

    final int zone;
    final int kind;
    /** An upstream of this placement, to ask classes whether they admit it. */
    final Upstream example;
    private final Rules rules;
    /** From when times are counted here, so that sums of them stay exact. */
    private final double origin;
    private int size;
    private int cold;
    private double coldStarts;
    /** The sum of the parts, and that of the parts times when they came. */
    private double earned;
    private double earnedByTime;
    /** Cold servers that have not earned a call, by the sum of parts at which they are to have. */
    private final TreeSet<Server> waiting = new TreeSet<>(BY_DUE);

    Placement(Upstream example, Rules rules, double origin) {
        this.zone = example.zone();
        this.kind = example.machineType();
        this.example = example;
        this.rules = rules;
        this.origin = origin;
    }

    int size() {
        return size;
    }

    /** The share of its capacity that a server can be trusted to have: an even ramp over the warm-up. */
    static double warmth(Server server, Rules rules, double now) {
        double age = now - server.startedAt;
        if (server.startedAt == 0 || age >= rules.warmUp()) {
            return 1;
        }
        double from = rules.startCapacity();
        return from + (1 - from) * Math.max(0, age) / rules.warmUp();
    }

    /** Adds a server; one that is cold is closed until it has earned a call. */
    void add(Server server, double now) {
        size++;
        server.cold = warmth(server, rules, now) < 1;
        server.closed = false;
        if (server.cold) {
            cold++;
            coldStarts += server.startedAt - origin;
            mark(server);
            await(server, now);
        }
    }

    /** Takes a server out; what it has earned stays with it. */
    void remove(Server server, double now) {
        size--;
        if (server.cold) {
            endCold(server, now);
        }
    }

    /** A cold server's warm-up is over, or it leaves; what it has earned stays with it. */
    void endCold(Server server, double now) {
        settle(server, now);
        waiting.remove(server);
        server.cold = false;
        server.closed = false;
        cold--;
        coldStarts = cold == 0 ? 0 : coldStarts - (server.startedAt - origin);
    }

    /** The sum of the warmth of all servers. */
    double warmth(double now) {
        double from = rules.startCapacity();
        double ramps = cold == 0 ? 0 : Math.max(0, cold * (now - origin) - coldStarts) / rules.warmUp();
        return size - cold + cold * from + (1 - from) * Math.min(cold, ramps);
    }

    /** Each cold server earns a part, times its warmth. */
    void earn(double part, double now) {
        earned += part;
        earnedByTime += part * (now - origin);
    }

    /** A cold server that has earned a call by now and is open again; null if there is none (more). */
    Server nextOpened(double now) {
        while (!waiting.isEmpty() && waiting.first().dueAtEarned <= earned) {
            Server due = waiting.pollFirst();
            settle(due, now);
            await(due, now);
            if (!due.closed) {
                return due;
            }
        }
        return null;
    }

    /** A cold server has been sent a call. */
    void spend(Server server, double now) {
        if (server.cold) {
            settle(server, now);
            server.coldBudget -= 1;
            await(server, now);
        }
    }

    /** Reckons anew when a server is to have earned its next call, as it is warmer now. */
    void refresh(Server server, double now) {
        if (server.closed) {
            settle(server, now);
            await(server, now);
        }
    }

    /** What a server earns changes from now on, as it is owed a call or is so no more. */
    void rateChanges(Server server, boolean owed, double now) {
        if (server.cold) {
            settle(server, now);
        }
        server.owed = owed;
        if (server.cold) {
            await(server, now);
        }
    }

    private void mark(Server server) {
        server.earnedBefore = earned;
        server.earnedByTimeBefore = earnedByTime;
    }

    /** Adds what a server has earned since it was last looked at. */
    private void settle(Server server, double now) {
        double parts = earned - server.earnedBefore;
        double aged = earnedByTime - server.earnedByTimeBefore - (server.startedAt - origin) * parts;
        double from = rules.startCapacity();
        double gain = from * parts + (1 - from) * Math.max(0, aged) / rules.warmUp();
        double budget = server.coldBudget + gain * (server.owed ? OWED_EARNS : 1);
        server.coldBudget = budget >= 1 - ROUNDING ? 1 : budget;
        mark(server);
    }

    /** Sets when a server is to have earned its next call; it is closed until then. */
    private void await(Server server, double now) {
        waiting.remove(server);
        server.closed = server.coldBudget < 1;
        if (server.closed) {
            double rate = warmth(server, rules, now + AHEAD) * (server.owed ? OWED_EARNS : 1);
            server.dueAtEarned = earned + (1 - server.coldBudget) / Math.max(LEAST_RATE, rate);
            waiting.add(server);
        }
    }
}
