package cranedeal;

import cranedeal.LoadBalancer.Settings;
import cranedeal.LoadBalancer.Upstream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * The servers that can be drawn, indexed so that the cost of a draw, an outcome or a change of one server
 * does not grow with their number.
 *
 * <p>Weights also change over time, as observations decay and servers warm up. So servers whose weight may
 * grow much are reweighed every {@link #REFRESH_MS} ms, a few at each request. Once a mean that all weights
 * depend on has moved far, all servers are reweighed, a few at each request. Draws remain in proportion to
 * the exact weights as long as none of these has grown by more than {@link WeightBins#SLACK} meanwhile.
 */
final class ReadyServers {

    /** Stands for any zone. */
    static final int ANY_ZONE = -1;
    /**
     * Ms after which a server whose weight may grow over time is reweighed: observations decay by a quarter.
     */
    private static final double REFRESH_MS = 2_500;
    /** Factor by which a mean may move until all servers are reweighed; well within the slack of the bins. */
    private static final double MAX_DRIFT = 1.4;
    /** Max servers that are reweighed at a request because they are due, and because a mean has moved. */
    private static final int MAX_REFRESHED = 16;
    private static final int MAX_REWEIGHED = 64;
    /** Max servers whose warm-up or trial ends that are regrouped at a request. */
    private static final int MAX_REGROUPED = 64;
    /** Max servers that a draw rejects before it gives up. */
    private static final int MAX_REJECTED = 64;
    /** Max servers that a draw examines; the last one is accepted regardless of its weight. */
    private static final int MAX_PROPOSED = 512;
    /** A server is moved to another bin if its weight is below its bin's bound by this factor. */
    private static final double STALE_RATIO = 8;

    private final Map<Long, ServerPool> pools = new LinkedHashMap<>();
    private final Map<Integer, List<Server>> cells = new HashMap<>();
    private final List<ServerGroup> groups = new ArrayList<>();
    private final PreferredSubset subset = new PreferredSubset();
    private final CostModel costs;
    private final Server.MachineTypeStats[] machineTypes;
    private final Settings settings;
    private final ClassStats[] classes;
    /**
     * Max cost of unobserved servers of each class and machine type, and min latency of each class, since all
     * servers were last reweighed.
     */
    private final double[][] maxUnknownCost;
    private final double[] minLatency;
    /**
     * Index of the next server to reweigh because a mean has moved; the number of servers if none is left.
     */
    private int reweighFrom;
    private final ArrayDeque<Server> refreshes = new ArrayDeque<>();
    private final TreeSet<Server> warming = new TreeSet<>(Comparator.<Server>comparingDouble(s -> s.startedAt)
            .thenComparingLong(s -> s.sequence));
    /** Servers whose trial starts or ends, in order of that time. */
    private final TreeSet<Server> trials = new TreeSet<>(Comparator
            .<Server>comparingDouble(s -> s.trialChangesAt).thenComparingLong(s -> s.sequence));
    /** Calls that ended at all ready servers, decayed up to the time that follows. */
    private double attempts;
    private double attemptsAt;
    private final double[] classWeights;
    private final List<Server> rejected = new ArrayList<>();
    /** Factor of each group in the current draw; 0 for a group that can't be drawn from. */
    private double[] factors = {};
    /** Cumulative shares of the groups in the current draw. */
    private double[] shares = {};
    private final DrawCounts counts;

    ReadyServers(Settings settings, ClassStats[] classes, Server.MachineTypeStats[] machineTypes,
            CostModel costs, DrawCounts counts, double now) {
        this.settings = settings;
        this.classes = classes;
        this.machineTypes = machineTypes;
        this.costs = costs;
        this.counts = counts;
        classWeights = new double[classes.length];
        minLatency = new double[classes.length];
        maxUnknownCost = new double[classes.length][machineTypes.length];
        attemptsAt = now;
        rememberMeans();
    }

    int size() {
        return subset.size();
    }

    /** Returns the pools of all servers that are or were ready, including empty ones. */
    Iterable<ServerPool> pools() {
        return pools.values();
    }

    // ---- Membership ---------------------------------------------------------------------------------

    /**
     * Adds a server that is not contained; {@link #choosePreferred} must follow once all changes are made.
     */
    void add(Server server, double now) {
        Upstream listed = server.listed;
        server.preferred = false;
        server.bins = new int[classes.length];
        server.slots = new int[classes.length];
        ServerPool pool = pools.computeIfAbsent(
                (long) listed.zone() << Integer.SIZE | listed.machineType(),
                key -> new ServerPool(listed, settings.rules(), now));
        server.pool = pool;
        pool.add(server, now);
        subset.add(server);
        cells.computeIfAbsent(listed.cell(), cell -> new ArrayList<>(1)).add(server);
        server.countedAttempts = 0;
        countAttempts(server, now);
        if (server.cold) {
            warming.add(server);
        }
        updateTrial(server, now);
        insert(server, now);
    }

    boolean contains(Server server) {
        return server.pool != null;
    }

    /** Removes a server whose list entry is unchanged since it was added. */
    void remove(Server server, double now) {
        server.group.remove(server);
        warming.remove(server);
        trials.remove(server);
        server.pool.remove(server, now);
        server.pool = null;
        subset.remove(server);
        List<Server> cell = cells.get(server.listed.cell());
        cell.remove(server);
        if (cell.isEmpty()) {
            cells.remove(server.listed.cell());
        }
        decayAttempts(now);
        attempts = Math.max(0, attempts - decayedAttempts(server, now));
        server.preferred = false;
    }

    /** Updates the preferred subset after all changes of a list were made. */
    void choosePreferred(double now) {
        for (Server server : subset.select(settings.position())) {
            if (contains(server)) {
                regroup(server, now);
            }
        }
        reweighFrom = Math.min(reweighFrom, size());
    }

    private void insert(Server server, double now) {
        boolean grows = computeWeights(server, now);
        groupFor(server).add(server, classWeights);
        queueRefresh(server, grows, now);
    }

    private ServerGroup groupFor(Server server) {
        boolean preferred = server.preferred || server.inTrial;
        for (ServerGroup group : groups) {
            if (group.pool == server.pool && group.preferred == preferred
                    && group.outOfBudget == server.outOfBudget) {
                return group;
            }
        }
        ServerGroup group = new ServerGroup(server.pool, preferred, server.outOfBudget, classes);
        groups.add(group);
        return group;
    }

    private void regroup(Server server, double now) {
        server.group.remove(server);
        insert(server, now);
    }

    // ---- Weights ------------------------------------------------------------------------------------

    /**
     * Computes a server's weight for each class. Returns true if its weights may grow much over time: while
     * it warms up, and where it costs far more than an unobserved server, as its cost decays to that.
     */
    private boolean computeWeights(Server server, double now) {
        double warming = costs.warmupGain(server, now, now + REFRESH_MS);
        boolean grows = server.cold;
        for (ClassStats c : classes) {
            double idleCost = costs.idleCost(server, c, now);
            grows |= idleCost > MAX_DRIFT * CostModel.unknownCost(server.machineType, c) * c.latency.value();
            classWeights[c.index] = costs.weight(server, c, idleCost, now) * warming;
        }
        return grows;
    }

    /** Updates the weights of a server after an event at it. */
    void update(Server server, double now) {
        if (!contains(server)) {
            return;
        }
        countAttempts(server, now);
        boolean grows = computeWeights(server, now);
        server.group.reweigh(server, classWeights);
        queueRefresh(server, grows, now);
    }

    private void queueRefresh(Server server, boolean grows, double now) {
        if (grows && !server.refreshQueued) {
            server.refreshQueued = true;
            server.refreshAt = now + REFRESH_MS;
            refreshes.addLast(server);
        }
    }

    /**
     * Applies changes that come with time, to a limited number of servers of each kind at each event, however
     * many are due at once: reweighs servers, ends warm-ups, and starts or ends trials.
     */
    void advance(double now) {
        for (int i = 0; i < MAX_REFRESHED && !refreshes.isEmpty()
                && refreshes.peekFirst().refreshAt <= now; i++) {
            refresh(refreshes.pollFirst(), now);
        }
        for (int i = 0; i < MAX_REGROUPED && !warming.isEmpty()
                && now - warming.first().startedAt >= settings.rules().warmUp(); i++) {
            Server server = warming.pollFirst();
            server.pool.endCold(server, now);
            regroup(server, now);
        }
        for (int i = 0; i < MAX_REGROUPED && !trials.isEmpty() && trials.first().trialChangesAt <= now; i++) {
            Server server = trials.pollFirst();
            updateTrial(server, now);
            regroup(server, now);
        }
        if (haveMeansMoved()) {
            rememberMeans();
            reweighFrom = 0;
        }
        List<Server> all = subset.ordered();
        for (int i = 0; i < MAX_REWEIGHED && reweighFrom < all.size(); i++) {
            Server server = all.get(reweighFrom++);
            computeWeights(server, now);
            server.group.reweigh(server, classWeights);
        }
    }

    private void refresh(Server server, double now) {
        server.refreshQueued = false;
        if (!contains(server)) {
            return;
        }
        boolean wasOutOfBudget = server.outOfBudget;
        server.pool.refresh(server, now);
        if (wasOutOfBudget != server.outOfBudget) {
            regroup(server, now);
        } else {
            update(server, now);
        }
    }

    private boolean haveMeansMoved() {
        boolean moved = false;
        for (ClassStats c : classes) {
            minLatency[c.index] = Math.min(minLatency[c.index], c.latency.value());
            moved |= c.latency.value() > MAX_DRIFT * minLatency[c.index];
            for (int i = 0; i < machineTypes.length; i++) {
                double cost = CostModel.unknownCost(machineTypes[i], c);
                maxUnknownCost[c.index][i] = Math.max(maxUnknownCost[c.index][i], cost);
                moved |= cost * MAX_DRIFT < maxUnknownCost[c.index][i];
            }
        }
        return moved;
    }

    private void rememberMeans() {
        for (ClassStats c : classes) {
            minLatency[c.index] = c.latency.value();
            for (int i = 0; i < machineTypes.length; i++) {
                maxUnknownCost[c.index][i] = CostModel.unknownCost(machineTypes[i], c);
            }
        }
    }

    // ---- Attempts at all servers --------------------------------------------------------------------------

    private void decayAttempts(double now) {
        attempts *= Math.exp((attemptsAt - now) / CostModel.EVIDENCE_DECAY);
        attemptsAt = now;
    }

    private static double decayedAttempts(Server server, double now) {
        return server.countedAttempts * Math.exp((server.countedAt - now) / CostModel.EVIDENCE_DECAY);
    }

    private void countAttempts(Server server, double now) {
        decayAttempts(now);
        double counted = server.decayedAttempts(now, CostModel.EVIDENCE_DECAY);
        attempts = Math.max(0, attempts - decayedAttempts(server, now) + counted);
        server.countedAttempts = counted;
        server.countedAt = now;
    }

    /** Returns this instance's recent calls per ready server. */
    double evidence(double now) {
        return attempts * Math.exp((attemptsAt - now) / CostModel.EVIDENCE_DECAY) / Math.max(1, size());
    }

    // ---- Cold servers ---------------------------------------------------------------------------------

    /** Accounts for a call sent to a server. */
    void sent(Server server, double now) {
        if (!contains(server)) {
            return;
        }
        server.trialFrom = Double.NaN;
        updateTrial(server, now);
        boolean wasOutOfBudget = server.outOfBudget;
        server.pool.spend(server, now);
        if (wasOutOfBudget != server.outOfBudget
                || server.group.preferred != (server.preferred || server.inTrial)) {
            regroup(server, now);
        }
    }

    /**
     * Adds a part of a call to the budgets of a pool's cold servers; returns true if one of them now has a
     * whole call that had not before.
     */
    boolean earn(ServerPool pool, double part, double now) {
        pool.earn(part, now);
        boolean opened = false;
        for (Server next = pool.nextWithBudget(now); next != null; next = pool.nextWithBudget(now)) {
            regroup(next, now);
            opened = true;
        }
        return opened;
    }

    /** Schedules a server's trial, which starts at {@link Server#trialFrom}. */
    void scheduleTrial(Server server, double now) {
        if (contains(server)) {
            updateTrial(server, now);
            regroup(server, now);
        }
    }

    private void updateTrial(Server server, double now) {
        trials.remove(server);
        double until = server.trialFrom + Server.TRIAL_WINDOW;
        // Comparisons with NaN are false.
        boolean inTrial = now >= server.trialFrom && now < until;
        if (inTrial != server.inTrial) {
            server.pool.setInTrial(server, inTrial, now);
        }
        if (now < until) {
            server.trialChangesAt = inTrial ? until : server.trialFrom;
            trials.add(server);
        }
    }

    // ---- The draw -------------------------------------------------------------------------------------

    /**
     * Draws a server in proportion to the weights of a class.
     *
     * @param zone the only zone to draw from, or {@link #ANY_ZONE}
     * @param open true to exclude cold servers without send budget
     * @param fits condition that the server must meet
     * @return null if no server fits
     */
    Server draw(ClassStats c, int zone, boolean open, Predicate<Server> fits, SplittableRandom random,
            double now) {
        counts.draws++;
        computeFactors(c, zone, open, now);
        computeShares(c);
        Server drawn = null;
        for (int i = 1; drawn == null && rejected.size() < MAX_REJECTED; i++) {
            ServerGroup group = pickGroup(random);
            if (group == null) {
                break;
            }
            WeightBins bins = group.bins[c.index];
            Server proposed = bins.memberAt(random.nextDouble() * bins.total());
            double bound = WeightBins.bound(proposed.bins[c.index]);
            double weight = costs.weight(proposed, c, now);
            counts.examined++;
            boolean accepted = random.nextDouble() * bound < weight || i >= MAX_PROPOSED;
            if (accepted && fits.test(proposed)) {
                drawn = proposed;
            } else if (accepted) {
                bins.remove(proposed);
                rejected.add(proposed);
                computeShares(c);
            } else if (weight * STALE_RATIO < bound) {
                update(proposed, now);
                computeShares(c);
            }
        }
        for (Server server : rejected) {
            server.group.bins[c.index].add(server, costs.weight(server, c, now)
                    * costs.warmupGain(server, now, now + REFRESH_MS));
        }
        rejected.clear();
        return drawn;
    }

    /** Computes the factors of the groups for the current draw. */
    private void computeFactors(ClassStats c, int zone, boolean open, double now) {
        if (factors.length < groups.size()) {
            factors = new double[2 * groups.size()];
            shares = new double[2 * groups.size()];
        }
        double evidence = evidence(now);
        for (int i = 0; i < groups.size(); i++) {
            ServerGroup group = groups.get(i);
            boolean drawable = !group.isEmpty() && group.bins[c.index] != null && !(open && group.outOfBudget)
                    && (zone == ANY_ZONE || group.pool.zone == zone);
            factors[i] = drawable ? costs.groupFactor(group, c, evidence) : 0;
        }
    }

    /** Computes the cumulative shares of the groups for the current draw. */
    private void computeShares(ClassStats c) {
        double sum = 0;
        for (int i = 0; i < groups.size(); i++) {
            sum += factors[i] == 0 ? 0 : factors[i] * groups.get(i).bins[c.index].total();
            shares[i] = sum;
        }
    }

    private ServerGroup pickGroup(SplittableRandom random) {
        double sum = groups.isEmpty() ? 0 : shares[groups.size() - 1];
        if (sum <= 0) {
            return null;
        }
        double point = random.nextDouble() * sum;
        int index = 0;
        while (shares[index] <= point) {
            index++;
        }
        return groups.get(index);
    }

    /** Like {@link #draw}, among the servers of a cell. */
    Server drawFromCell(ClassStats c, int cell, Predicate<Server> fits, SplittableRandom random,
            double now) {
        return drawAmong(cells.getOrDefault(cell, List.of()), c, fits, random, now);
    }

    /**
     * Like {@link #draw}, for a class that was removed from the settings; only requests in progress have one.
     */
    Server drawFromAll(ClassStats c, Predicate<Server> fits, SplittableRandom random, double now) {
        return drawAmong(subset.ordered(), c, fits, random, now);
    }

    private Server drawAmong(List<Server> candidates, ClassStats c, Predicate<Server> fits,
            SplittableRandom random, double now) {
        counts.draws++;
        counts.examined += candidates.size();
        double evidence = evidence(now);
        double[] sums = new double[candidates.size()];
        double sum = 0;
        for (int i = 0; i < sums.length; i++) {
            Server server = candidates.get(i);
            boolean drawable = c.type.admits(server.listed) && fits.test(server);
            sum += drawable ? costs.weight(server, c, now) * costs.groupFactor(server.group, c, evidence) : 0;
            sums[i] = sum;
        }
        double point = random.nextDouble() * sum;
        for (int i = 0; i < sums.length && sum > 0; i++) {
            if (point < sums[i]) {
                return candidates.get(i);
            }
        }
        return null;
    }
}
