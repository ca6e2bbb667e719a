package cranedeal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cranedeal.LoadBalancer.Settings;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import org.apache.commons.statistics.inference.ChiSquareTest;
import org.junit.jupiter.api.Test;

/**
 * Checks with a chi-square test over all servers that draws from bins are in proportion to the weights, which
 * the test computes independently from the whole list.
 */
class DrawDistributionTest {

    private static final int DRAWS = 400_000;
    /** With fixed seeds; a correct draw gives a lower p-value for one seed in 1,000. */
    private static final double MIN_P = 1e-3;
    private static final double START = 100_000;

    private final Settings settings = Sites.plain().crossZone(0.001).connection(0.01).retriesMarked(true)
            .build();
    private final ClassStats[] classes = new ClassStats[2];
    private final Server.MachineTypeStats[] machineTypes =
            {new Server.MachineTypeStats(0.02), new Server.MachineTypeStats(0.02)};
    private final CostModel costs = new CostModel();
    private final DrawCounts counts = new DrawCounts();
    private final List<Server> servers = new ArrayList<>();
    private final SplittableRandom random = new SplittableRandom(7);
    private ReadyServers ready;
    private double now = START;

    private void fill(int count) {
        for (int i = 0; i < classes.length; i++) {
            classes[i] = new ClassStats(i, settings.classes().get(i), 200, 3, 0.02);
            classes[i].leader = classes[0];
        }
        costs.configure(settings, classes);
        ready = new ReadyServers(settings, classes, machineTypes, costs, counts, now);
        for (int i = 0; i < count; i++) {
            double startedAt = i % 9 == 0 ? now - 2_000 - i : 0;
            Server server = new Server(Sites.server(i + 1).zone(i % 3 == 0 ? 1 : 0).machineType(i % 2)
                    .cell(i / 8).startedAt(startedAt).listed(), i, startedAt, machineTypes[i % 2], 2, now,
                    random.nextDouble());
            servers.add(server);
            ready.add(server, now);
        }
        ready.choosePreferred(now);
        assertEquals(count, ready.size());
    }

    /** Reports an outcome at a server; some servers fail often, some are slow. */
    private void outcome(Server server, int serviceClass) {
        long id = server.listed.id();
        boolean served = random.nextInt(10) >= (id % 5 == 0 ? 6 : 0);
        server.decay(now, CostModel.EVIDENCE_DECAY, CostModel.DECAY_STEP);
        server.count(serviceClass, served);
        if (served) {
            double relative = id % 7 == 0 ? 4 : 0.8;
            classes[serviceClass].latency.add(50 * relative);
            server.latencySum += relative;
            server.latencyCount += 1;
            server.machineType.latency.add(relative);
        }
        ready.update(server, now);
    }

    /** Sends evenly spaced requests to the servers that are drawn. */
    private void runRequests(int requests, double gapMs) {
        for (int i = 0; i < requests; i++) {
            now += gapMs;
            ready.advance(now);
            ready.pools().forEach(pool -> ready.earn(pool, 0.02, now));
            Server drawn = ready.draw(classes[i % 2], ReadyServers.ANY_ZONE, true, server -> true, random,
                    now);
            ready.sent(drawn, now);
            outcome(drawn, i % 2);
        }
    }

    /** Computes the weight of a server from its definition. */
    private double weight(Server server, ClassStats c) {
        double tries = servers.stream().mapToDouble(s -> {
            s.decay(now, CostModel.EVIDENCE_DECAY, 0);
            return s.attempts;
        }).sum();
        double evidence = tries / servers.size();
        double success = server.successRate(c.index, 2, 1);
        double l = server.relativeLatency(2) * c.latency.value()
                + c.type.aim() * (1 / Math.max(0.05, success) - 1);
        if (server.listed.zone() != settings.zone()) {
            l *= 1 + 150 * Math.sqrt(settings.prices().crossZone());
        }
        if (!server.preferred) {
            l *= 1 + 60 / Math.pow(1 + evidence, 2) + 200 * settings.prices().connection();
        }
        double age = now - server.startedAt;
        double warmth = server.startedAt == 0 || age >= 10_000 ? 1 : 0.2 + 0.8 * Math.max(0, age) / 10_000;
        return warmth / l;
    }

    private void checkDraws(ClassStats c, int zone, boolean open, Predicate<Server> fits, String when) {
        Map<Server, Long> drawn = new HashMap<>();
        for (int i = 0; i < DRAWS; i++) {
            drawn.merge(ready.draw(c, zone, open, fits, random, now), 1L, Long::sum);
        }
        List<Server> possible = servers.stream().filter(s -> fits.test(s) && !(open && s.outOfBudget)
                && (zone == ReadyServers.ANY_ZONE || s.listed.zone() == zone)).toList();
        assertTrue(possible.containsAll(drawn.keySet()), when + ": a server was drawn that is excluded");
        double[] expected = possible.stream().mapToDouble(server -> weight(server, c)).toArray();
        double all = Arrays.stream(expected).sum();
        Arrays.setAll(expected, i -> expected[i] / all * DRAWS);
        long[] observed = possible.stream().mapToLong(s -> drawn.getOrDefault(s, 0L)).toArray();
        // Pools rare servers, as the test needs an expected count of at least five in each class.
        List<double[]> pooled = new ArrayList<>();
        double[] rare = new double[2];
        for (int i = 0; i < expected.length; i++) {
            if (expected[i] >= 5) {
                pooled.add(new double[] {expected[i], observed[i]});
            } else {
                rare[0] += expected[i];
                rare[1] += observed[i];
            }
        }
        if (rare[0] > 0) {
            pooled.add(rare);
        }
        double p = ChiSquareTest.withDefaults().test(pooled.stream().mapToDouble(pair -> pair[0]).toArray(),
                pooled.stream().mapToLong(pair -> (long) pair[1]).toArray()).getPValue();
        assertTrue(p > MIN_P, when + ": p " + p + " over " + pooled.size() + " servers");
    }

    @Test
    void drawsAreInProportionToTheWeights() {
        fill(400);
        checkDraws(classes[0], ReadyServers.ANY_ZONE, false, server -> true, "before any request");
        runRequests(3_000, 4);
        checkDraws(classes[0], ReadyServers.ANY_ZONE, false, server -> true, "after many requests");
        checkDraws(classes[1], ReadyServers.ANY_ZONE, true, server -> true,
                "excluding cold servers without budget");
        checkDraws(classes[1], 1, false, server -> true, "in one zone");
        checkDraws(classes[0], ReadyServers.ANY_ZONE, false, server -> server.listed.id() % 10 != 0,
                "with some that do not meet the condition");
    }

    @Test
    void drawsStayInProportionAsEvidenceFades() {
        fill(400);
        runRequests(3_000, 4);
        for (int quiet = 1; quiet <= 3; quiet++) {
            now += 1_500;
            ready.advance(now);
            checkDraws(classes[0], ReadyServers.ANY_ZONE, false, server -> true, quiet + " pauses");
        }
    }

    @Test
    void drawsFollowMeansThatMoveAtOnce() {
        fill(400);
        runRequests(1_000, 4);
        for (int i = 0; i < 30; i++) {
            classes[0].latency.add(500);
        }
        for (int i = 0; i < 20; i++) {
            runRequests(1, 1);
        }
        checkDraws(classes[0], ReadyServers.ANY_ZONE, false, server -> true, "after a class became slow");
    }
}
