package cranedeal;

import cranedeal.LoadBalancer.Rules;
import cranedeal.LoadBalancer.Upstream;
import java.util.Comparator;
import java.util.TreeSet;

/**
 * The ready servers of one zone and machine type, which can serve the same classes. Sums over all of them
 * make the work of a request independent of their number: their total warmth, and the send budgets of the
 * cold ones. A cold server's warmth rises linearly, so its earnings over many requests follow from the sum of
 * the parts and the sum of the parts times their arrival times.
 */
final class ServerPool {

    /** Factor on a server's earnings during its trial: siblings run their trials of it at the same time. */
    private static final double TRIAL_RATE = 3;
    /** Tolerance for a whole call, as sums of parts are not exact. */
    private static final double ROUNDING = 1e-9;
    /** Ms of warm-up by which the expected time of a whole call is advanced, so that no check is late. */
    private static final double LOOKAHEAD = 1_000;
    /** Lower bound of the rate at which a server earns; keeps its due point finite. */
    private static final double MIN_RATE = 1e-6;
    private static final Comparator<Server> BY_DUE = Comparator.<Server>comparingDouble(s -> s.dueAtEarned)
            .thenComparingLong(s -> s.sequence);

    final int zone;
    final int machineType;
    /** An upstream of this pool, to check which classes admit it. */
    final Upstream example;
    private final Rules rules;
    /** Origin of the times in the sums, so that these stay exact. */
    private final double origin;
    private int size;
    private int coldCount;
    private double coldStartSum;
    /** Sum of the parts, and sum of the parts times their arrival times. */
    private double earned;
    private double earnedByTime;
    /**
     * Cold servers without a whole call, ordered by the sum of parts at which they are expected to have one.
     */
    private final TreeSet<Server> waiting = new TreeSet<>(BY_DUE);

    ServerPool(Upstream example, Rules rules, double origin) {
        this.zone = example.zone();
        this.machineType = example.machineType();
        this.example = example;
        this.rules = rules;
        this.origin = origin;
    }

    int size() {
        return size;
    }

    /** Returns the share of its capacity that a server is assumed to have: a linear ramp over the warm-up. */
    static double warmth(Server server, Rules rules, double now) {
        double age = now - server.startedAt;
        if (server.startedAt == 0 || age >= rules.warmUp()) {
            return 1;
        }
        double startCapacity = rules.startCapacity();
        return startCapacity + (1 - startCapacity) * Math.max(0, age) / rules.warmUp();
    }

    /** Adds a server. A cold one is out of budget until it has earned a call. */
    void add(Server server, double now) {
        size++;
        server.cold = warmth(server, rules, now) < 1;
        server.outOfBudget = false;
        if (server.cold) {
            coldCount++;
            coldStartSum += server.startedAt - origin;
            rememberSums(server);
            updateBudget(server, now);
        }
    }

    /** Removes a server, which keeps its earnings. */
    void remove(Server server, double now) {
        size--;
        if (server.cold) {
            endCold(server, now);
        }
    }

    /** Ends a cold server's warm-up, also when it is removed; it keeps its earnings. */
    void endCold(Server server, double now) {
        creditEarnings(server, now);
        waiting.remove(server);
        server.cold = false;
        server.outOfBudget = false;
        coldCount--;
        coldStartSum = coldCount == 0 ? 0 : coldStartSum - (server.startedAt - origin);
    }

    /** Returns the sum of the warmth of all servers. */
    double warmth(double now) {
        double startCapacity = rules.startCapacity();
        double ramps = coldCount == 0 ? 0
                : Math.max(0, coldCount * (now - origin) - coldStartSum) / rules.warmUp();
        return size - coldCount + coldCount * startCapacity
                + (1 - startCapacity) * Math.min(coldCount, ramps);
    }

    /** Adds a part, times its warmth, to the budget of each cold server. */
    void earn(double part, double now) {
        earned += part;
        earnedByTime += part * (now - origin);
    }

    /** Returns the next cold server that has earned a whole call by now, or null if there is no more. */
    Server nextWithBudget(double now) {
        while (!waiting.isEmpty() && waiting.first().dueAtEarned <= earned) {
            Server due = waiting.pollFirst();
            creditEarnings(due, now);
            updateBudget(due, now);
            if (!due.outOfBudget) {
                return due;
            }
        }
        return null;
    }

    /** Deducts a sent call from a cold server's budget. */
    void spend(Server server, double now) {
        if (server.cold) {
            creditEarnings(server, now);
            server.coldBudget -= 1;
            updateBudget(server, now);
        }
    }

    /** Recomputes when a server is expected to have earned its next call, as it is warmer now. */
    void refresh(Server server, double now) {
        if (server.outOfBudget) {
            creditEarnings(server, now);
            updateBudget(server, now);
        }
    }

    /** Starts or ends a server's trial, which changes its earnings from now on. */
    void setInTrial(Server server, boolean inTrial, double now) {
        if (server.cold) {
            creditEarnings(server, now);
        }
        server.inTrial = inTrial;
        if (server.cold) {
            updateBudget(server, now);
        }
    }

    private void rememberSums(Server server) {
        server.earnedBefore = earned;
        server.earnedByTimeBefore = earnedByTime;
    }

    /** Adds a server's earnings since the last update to its budget. */
    private void creditEarnings(Server server, double now) {
        double parts = earned - server.earnedBefore;
        double ageWeighted = earnedByTime - server.earnedByTimeBefore - (server.startedAt - origin) * parts;
        double startCapacity = rules.startCapacity();
        double gain = startCapacity * parts + (1 - startCapacity) * Math.max(0, ageWeighted) / rules.warmUp();
        double budget = server.coldBudget + gain * (server.inTrial ? TRIAL_RATE : 1);
        server.coldBudget = budget >= 1 - ROUNDING ? 1 : budget;
        rememberSums(server);
    }

    /** Sets when a server is expected to have earned its next call; it is out of budget until then. */
    private void updateBudget(Server server, double now) {
        waiting.remove(server);
        server.outOfBudget = server.coldBudget < 1;
        if (server.outOfBudget) {
            double rate = warmth(server, rules, now + LOOKAHEAD) * (server.inTrial ? TRIAL_RATE : 1);
            server.dueAtEarned = earned + (1 - server.coldBudget) / Math.max(MIN_RATE, rate);
            waiting.add(server);
        }
    }
}
