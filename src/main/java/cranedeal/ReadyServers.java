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
 * The servers that may be drawn, indexed so that the work of a draw, of an outcome and of a change of one
 * server doesn't grow with their number.
 *
 * <p>Weights change by themselves too, as evidence fades and servers warm up. So whatever may gain much by
 * that is weighed anew every {@link #REFRESH} ms, a few servers at each request; and once a mean on which all
 * weights rest has moved far, all are weighed anew, a few at each request. Meanwhile draws stay in proportion
 * to the exact weights as long as these have not grown by more than {@link WeightBins#SLACK}.
 */
final class ReadyServers {

    /** No zone is asked for in particular. */
    static final int ANY_ZONE = -1;
    /** Ms after which a server is weighed anew that may gain by time: evidence fades by a quarter. */
    private static final double REFRESH = 2_500;
    /** How far a mean may move until all are weighed anew: well within the slack of the bins. */
    private static final double DRIFT = 1.4;
    /** Servers weighed anew at a request because their time has come, and because a mean has moved. */
    private static final int REFRESHED_AT_ONCE = 16;
    private static final int REWEIGHED_AT_ONCE = 64;
    /** Servers whose warm-up or whose time of being owed a call ends that are taken in at a request. */
    private static final int REGROUPED_AT_ONCE = 64;
    /** Different servers that a draw looks at until it is taken that none can be used. */
    private static final int MOST_REJECTED = 64;
    /** Servers that a draw looks at in all; the last is taken as if it were accepted. */
    private static final int MOST_PROPOSED = 512;
    /** A weight so far below its bin's bound is put into another bin. */
    private static final double STALE = 8;

    private final Map<Long, Placement> placements = new LinkedHashMap<>();
    private final Map<Integer, List<Server>> cells = new HashMap<>();
    private final List<ServerGroup> groups = new ArrayList<>();
    private final PreferredSubset subset = new PreferredSubset();
    private final CostModel costs;
    private final Server.Kind[] kinds;
    private final Settings settings;
    private final ClassRecord[] classes;
    /** The greatest prices of each class's unknown servers, and its least latency, since all were weighed. */
    private final double[][] unknownAtMost;
    private final double[] latencyAtLeast;
    /** The next server to be weighed because a mean has moved; the number of servers if none has. */
    private int reweighFrom;
    private final ArrayDeque<Server> refreshes = new ArrayDeque<>();
    private final TreeSet<Server> warming = new TreeSet<>(Comparator.<Server>comparingDouble(s -> s.startedAt)
            .thenComparingLong(s -> s.order));
    /** Servers whose time of being owed a call begins or ends, by when. */
    private final TreeSet<Server> owing = new TreeSet<>(Comparator.<Server>comparingDouble(s -> s.owingAt)
            .thenComparingLong(s -> s.order));
    /** The calls that ended at all ready servers, as they have faded, and until when. */
    private double tries;
    private double triesAt;
    private final double[] weights;
    private final List<Server> rejected = new ArrayList<>();
    /** In the draw at hand, the factor of each group, 0 for one that can't be drawn from. */
    private double[] factors = {};
    /** The shares of the groups in it, each with those before it. */
    private double[] shares = {};
    private final DrawCounts counts;

    ReadyServers(Settings settings, ClassRecord[] classes, Server.Kind[] kinds, CostModel costs,
            DrawCounts counts, double now) {
        this.settings = settings;
        this.classes = classes;
        this.kinds = kinds;
        this.costs = costs;
        this.counts = counts;
        weights = new double[classes.length];
        latencyAtLeast = new double[classes.length];
        unknownAtMost = new double[classes.length][kinds.length];
        triesAt = now;
        rememberMeans();
    }

    int size() {
        return subset.size();
    }

    /** The placements of all servers that are or were ready, without those that have none now. */
    Iterable<Placement> placements() {
        return placements.values();
    }

    // ---- Membership ---------------------------------------------------------------------------------

    /** Adds a server that is not in; {@link #choosePreferred} follows once all changes are made. */
    void add(Server server, double now) {
        Upstream listed = server.listed;
        server.preferred = false;
        server.bins = new int[classes.length];
        server.slots = new int[classes.length];
        Placement placement = placements.computeIfAbsent(
                (long) listed.zone() << Integer.SIZE | listed.machineType(),
                key -> new Placement(listed, settings.rules(), now));
        server.placement = placement;
        placement.add(server, now);
        subset.add(server);
        cells.computeIfAbsent(listed.cell(), cell -> new ArrayList<>(1)).add(server);
        server.countedTries = 0;
        countTries(server, now);
        if (server.cold) {
            warming.add(server);
        }
        awaitOwing(server, now);
        enter(server, now);
    }

    boolean contains(Server server) {
        return server.placement != null;
    }

    /** Takes a server out whose listed entry is as it was when it was added. */
    void remove(Server server, double now) {
        server.group.remove(server);
        warming.remove(server);
        owing.remove(server);
        server.placement.remove(server, now);
        server.placement = null;
        subset.remove(server);
        List<Server> cell = cells.get(server.listed.cell());
        cell.remove(server);
        if (cell.isEmpty()) {
            cells.remove(server.listed.cell());
        }
        fadeTries(now);
        tries = Math.max(0, tries - fadedTries(server, now));
        server.preferred = false;
    }

    /** Chooses the preferred subset anew, once the changes of a list are made. */
    void choosePreferred(double now) {
        for (Server server : subset.choose(settings.position())) {
            if (contains(server)) {
                regroup(server, now);
            }
        }
        reweighFrom = Math.min(reweighFrom, size());
    }

    private void enter(Server server, double now) {
        boolean grows = weigh(server, now);
        groupFor(server).add(server, weights);
        queueRefresh(server, grows, now);
    }

    private ServerGroup groupFor(Server server) {
        boolean preferred = server.preferred || server.owed;
        for (ServerGroup group : groups) {
            if (group.placement == server.placement && group.preferred == preferred
                    && group.closed == server.closed) {
                return group;
            }
        }
        ServerGroup group = new ServerGroup(server.placement, preferred, server.closed, classes);
        groups.add(group);
        return group;
    }

    private void regroup(Server server, double now) {
        server.group.remove(server);
        enter(server, now);
    }

    // ---- Weights ------------------------------------------------------------------------------------

    /**
     * Weighs a server for each class; returns whether its weights may grow much by themselves, which is where
     * it warms up, and where it costs far more than one of which nothing is known: that is what it fades to.
     */
    private boolean weigh(Server server, double now) {
        double warming = costs.warming(server, now, now + REFRESH);
        boolean grows = server.cold;
        for (ClassRecord c : classes) {
            double atRest = costs.atRest(server, c, now);
            grows |= atRest > DRIFT * CostModel.unknown(server.kind, c) * c.latency.value();
            weights[c.index] = costs.weight(server, c, atRest, now) * warming;
        }
        return grows;
    }

    /** Something has happened at a server: its weights are as of now. */
    void touch(Server server, double now) {
        if (!contains(server)) {
            return;
        }
        countTries(server, now);
        boolean grows = weigh(server, now);
        server.group.reweigh(server, weights);
        queueRefresh(server, grows, now);
    }

    private void queueRefresh(Server server, boolean grows, double now) {
        if (grows && !server.queued) {
            server.queued = true;
            server.refreshAt = now + REFRESH;
            refreshes.addLast(server);
        }
    }

    /**
     * Does what time has brought, a few servers of each kind at each event, however many are due at one time:
     * those to be weighed anew, those whose warm-up is over, and those that begin or end to be owed a call.
     */
    void advance(double now) {
        for (int i = 0; i < REFRESHED_AT_ONCE && !refreshes.isEmpty()
                && refreshes.peekFirst().refreshAt <= now; i++) {
            refresh(refreshes.pollFirst(), now);
        }
        for (int i = 0; i < REGROUPED_AT_ONCE && !warming.isEmpty()
                && now - warming.first().startedAt >= settings.rules().warmUp(); i++) {
            Server server = warming.pollFirst();
            server.placement.endCold(server, now);
            regroup(server, now);
        }
        for (int i = 0; i < REGROUPED_AT_ONCE && !owing.isEmpty() && owing.first().owingAt <= now; i++) {
            Server server = owing.pollFirst();
            awaitOwing(server, now);
            regroup(server, now);
        }
        if (haveMeansMoved()) {
            rememberMeans();
            reweighFrom = 0;
        }
        List<Server> all = subset.ordered();
        for (int i = 0; i < REWEIGHED_AT_ONCE && reweighFrom < all.size(); i++) {
            Server server = all.get(reweighFrom++);
            weigh(server, now);
            server.group.reweigh(server, weights);
        }
    }

    private void refresh(Server server, double now) {
        server.queued = false;
        if (!contains(server)) {
            return;
        }
        boolean closed = server.closed;
        server.placement.refresh(server, now);
        if (closed != server.closed) {
            regroup(server, now);
        } else {
            touch(server, now);
        }
    }

    private boolean haveMeansMoved() {
        boolean moved = false;
        for (ClassRecord c : classes) {
            latencyAtLeast[c.index] = Math.min(latencyAtLeast[c.index], c.latency.value());
            moved |= c.latency.value() > DRIFT * latencyAtLeast[c.index];
            for (int i = 0; i < kinds.length; i++) {
                double price = CostModel.unknown(kinds[i], c);
                unknownAtMost[c.index][i] = Math.max(unknownAtMost[c.index][i], price);
                moved |= price * DRIFT < unknownAtMost[c.index][i];
            }
        }
        return moved;
    }

    private void rememberMeans() {
        for (ClassRecord c : classes) {
            latencyAtLeast[c.index] = c.latency.value();
            for (int i = 0; i < kinds.length; i++) {
                unknownAtMost[c.index][i] = CostModel.unknown(kinds[i], c);
            }
        }
    }

    // ---- Evidence of all ------------------------------------------------------------------------------

    private void fadeTries(double now) {
        tries *= Math.exp((triesAt - now) / CostModel.EVIDENCE_FADE);
        triesAt = now;
    }

    private static double fadedTries(Server server, double now) {
        return server.countedTries * Math.exp((server.countedAt - now) / CostModel.EVIDENCE_FADE);
    }

    private void countTries(Server server, double now) {
        fadeTries(now);
        double counted = server.triesBy(now, CostModel.EVIDENCE_FADE);
        tries = Math.max(0, tries - fadedTries(server, now) + counted);
        server.countedTries = counted;
        server.countedAt = now;
    }

    /** Own calls of late for each ready server. */
    double evidence(double now) {
        return tries * Math.exp((triesAt - now) / CostModel.EVIDENCE_FADE) / Math.max(1, size());
    }

    // ---- Cold servers ---------------------------------------------------------------------------------

    /** A call has been sent to a server. */
    void sent(Server server, double now) {
        if (!contains(server)) {
            return;
        }
        server.owedFrom = Double.NaN;
        awaitOwing(server, now);
        boolean closed = server.closed;
        server.placement.spend(server, now);
        if (closed != server.closed || server.group.preferred != (server.preferred || server.owed)) {
            regroup(server, now);
        }
    }

    /** Cold servers of a placement earn a part of a call; whether one is open now that was not before. */
    boolean earn(Placement placement, double part, double now) {
        placement.earn(part, now);
        boolean opened = false;
        for (Server next = placement.nextOpened(now); next != null; next = placement.nextOpened(now)) {
            regroup(next, now);
            opened = true;
        }
        return opened;
    }

    /** A server is owed a call from {@link Server#owedFrom} on. */
    void owe(Server server, double now) {
        if (contains(server)) {
            awaitOwing(server, now);
            regroup(server, now);
        }
    }

    private void awaitOwing(Server server, double now) {
        owing.remove(server);
        double until = server.owedFrom + Server.OWED_WITHIN;
        // NaN compares false.
        boolean owed = now >= server.owedFrom && now < until;
        if (owed != server.owed) {
            server.placement.rateChanges(server, owed, now);
        }
        if (now < until) {
            server.owingAt = owed ? until : server.owedFrom;
            owing.add(server);
        }
    }

    // ---- The draw -------------------------------------------------------------------------------------

    /**
     * Draws a server in proportion to the weights of a class.
     *
     * @param zone the only zone that may be drawn from, or {@link #ANY_ZONE}
     * @param open whether cold servers that have not earned a call are left out
     * @param fits what a server has to fulfil
     * @return null if none fits
     */
    Server draw(ClassRecord c, int zone, boolean open, Predicate<Server> fits, SplittableRandom random,
            double now) {
        counts.draws++;
        weighGroups(c, zone, open, now);
        share(c);
        Server drawn = null;
        for (int i = 1; drawn == null && rejected.size() < MOST_REJECTED; i++) {
            ServerGroup group = group(random);
            if (group == null) {
                break;
            }
            WeightBins bins = group.bins[c.index];
            Server proposed = bins.at(random.nextDouble() * bins.total());
            double bound = WeightBins.bound(proposed.bins[c.index]);
            double weight = costs.weight(proposed, c, now);
            counts.examined++;
            boolean accepted = random.nextDouble() * bound < weight || i >= MOST_PROPOSED;
            if (accepted && fits.test(proposed)) {
                drawn = proposed;
            } else if (accepted) {
                bins.remove(proposed);
                rejected.add(proposed);
                share(c);
            } else if (weight * STALE < bound) {
                touch(proposed, now);
                share(c);
            }
        }
        for (Server server : rejected) {
            server.group.bins[c.index].add(server, costs.weight(server, c, now)
                    * costs.warming(server, now, now + REFRESH));
        }
        rejected.clear();
        return drawn;
    }

    /** Works out the factors of the groups for a draw; they hold for as long as it takes. */
    private void weighGroups(ClassRecord c, int zone, boolean open, double now) {
        if (factors.length < groups.size()) {
            factors = new double[2 * groups.size()];
            shares = new double[2 * groups.size()];
        }
        double evidence = evidence(now);
        for (int i = 0; i < groups.size(); i++) {
            ServerGroup group = groups.get(i);
            boolean may = !group.isEmpty() && group.bins[c.index] != null && !(open && group.closed)
                    && (zone == ANY_ZONE || group.placement.zone == zone);
            factors[i] = may ? costs.factor(group, c, evidence) : 0;
        }
    }

    /** Reckons the share of each group in a draw, as a sum with those before it. */
    private void share(ClassRecord c) {
        double sum = 0;
        for (int i = 0; i < groups.size(); i++) {
            sum += factors[i] == 0 ? 0 : factors[i] * groups.get(i).bins[c.index].total();
            shares[i] = sum;
        }
    }

    private ServerGroup group(SplittableRandom random) {
        double sum = groups.isEmpty() ? 0 : shares[groups.size() - 1];
        if (sum <= 0) {
            return null;
        }
        double point = random.nextDouble() * sum;
        int at = 0;
        while (shares[at] <= point) {
            at++;
        }
        return groups.get(at);
    }

    /** As {@link #draw}, among the handful of servers of a cell. */
    Server drawFromCell(ClassRecord c, int cell, Predicate<Server> fits, SplittableRandom random,
            double now) {
        return drawAmong(cells.getOrDefault(cell, List.of()), c, fits, random, now);
    }

    /** As {@link #draw}, for a class that the settings have no more: only requests under way have one. */
    Server drawFromAll(ClassRecord c, Predicate<Server> fits, SplittableRandom random, double now) {
        return drawAmong(subset.ordered(), c, fits, random, now);
    }

    private Server drawAmong(List<Server> among, ClassRecord c, Predicate<Server> fits,
            SplittableRandom random, double now) {
        counts.draws++;
        counts.examined += among.size();
        double evidence = evidence(now);
        double[] sums = new double[among.size()];
        double sum = 0;
        for (int i = 0; i < sums.length; i++) {
            Server server = among.get(i);
            boolean may = c.type.admits(server.listed) && fits.test(server);
            sum += may ? costs.weight(server, c, now) * costs.factor(server.group, c, evidence) : 0;
            sums[i] = sum;
        }
        double point = random.nextDouble() * sum;
        for (int i = 0; i < sums.length && sum > 0; i++) {
            if (point < sums[i]) {
                return among.get(i);
            }
        }
        return null;
    }
}
