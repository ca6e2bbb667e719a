package cranedeal.fleet.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Distribution of the configuration from the coordinators to all members, in virtual time. The property
 * {@code config.changes} sets the number of changes in a run, {@code config.cuts} the number of network cuts.
 */
class ConfigFleetTest {

    /** The operators' target for the time until a version is in force on each member. */
    private static final double MAX_DELAY_MS = 15_000;
    private static final int CHANGES = Integer.getInteger("config.changes", 8);
    /** Control traffic that a balancer may cause per second. */
    private static final double MAX_BYTES_PER_S = 18_000;
    private static final int MAX_CUTS = Integer.getInteger("config.cuts", 1);
    private static final int SECTION_BYTES = 6_000;

    private static TreeMap<String, byte[]> document(int[] values) {
        TreeMap<String, byte[]> sections = new TreeMap<>();
        for (int i = 0; i < FleetSimulation.SERVICES; i++) {
            sections.put("s" + i, ("{\"settings\":{\"is\":" + values[i] + "}}" + " ".repeat(SECTION_BYTES))
                    .getBytes(StandardCharsets.UTF_8));
        }
        return sections;
    }

    private static FleetSimulation.SimulatedProcess leader(FleetSimulation fleet) {
        return fleet.coordinators.stream().filter(process -> process.up && process.node.log.isLeader())
                .max(java.util.Comparator.comparingLong(process -> process.node.log.epoch())).orElse(null);
    }

    private static void publish(FleetSimulation fleet, int[] document, String operation) {
        FleetSimulation.SimulatedProcess leader = leader(fleet);
        if (leader != null) {
            fleet.coordinatorSimulation.run(leader.node,
                    () -> leader.node.log.publish(fleet.coordinatorSimulation.now, operation, "me", 1,
                    "", document(document), (result, id, why) -> { }));
        }
    }

    private static void takeOver(FleetSimulation fleet, FleetSimulation.SimulatedProcess process) {
        fleet.coordinatorSimulation.run(process.node,
                () -> process.node.log.takeOver(fleet.coordinatorSimulation.now, (result, id, why) -> { }));
    }

    private static String report(FleetSimulation fleet, String description) {
        List<Double> delays = new ArrayList<>(fleet.delaysMs);
        Collections.sort(delays);
        String line = String.format(Locale.ROOT, "%s: %d versions to %d members, in force after p50 %.0f ms,"
                + " p99 %.0f, most %.0f; most calls to a coordinator in a second %d, sections fetched %d;"
                + " bytes a second and member: %.0f of datagrams sent, %.0f of calls sent and received, %d in"
                + " the worst second of the worst member", description,
                fleet.committed(), fleet.members.size(), delays.get(delays.size() / 2),
                delays.get((int) (delays.size() * 0.99)), delays.get(delays.size() - 1),
                fleet.maxCallsPerSecond(),
                fleet.sectionCalls, fleet.meanDatagramBytes(), fleet.meanCallBytes(),
                fleet.maxCallBytesPerSecond());
        System.out.println(line);
        return line;
    }

    private static double maxDelayMs(FleetSimulation fleet) {
        return fleet.delaysMs.stream().mapToDouble(Double::doubleValue).max().orElse(0);
    }

    private static void assertAllHoldNewest(FleetSimulation fleet, String description) {
        for (FleetSimulation.SimulatedProcess member : fleet.members) {
            assertEquals(fleet.newest(), member.follower.held(), description + ": " + member.name());
        }
    }

    /** Bursts of ten changes a minute, of one service or of all, neither delay nor overload the fleet. */
    @ParameterizedTest
    @CsvSource({"520,false", "520,true", "1040,false", "1040,true"})
    void burstsOfChangesAreInForceOnAllMembersInTime(int size, boolean allServices) {
        FleetSimulation fleet = new FleetSimulation(size, 7L * size);
        fleet.loss = 0.01;
        takeOver(fleet, fleet.coordinators.get(0));
        fleet.coordinatorSimulation.runFor(5_000);
        int[] document = new int[FleetSimulation.SERVICES];
        for (int change = 1; change <= CHANGES; change++) {
            for (int i = 0; i < document.length; i++) {
                document[i] += allServices || i == change % document.length ? 1 : 0;
            }
            publish(fleet, document, "o" + change);
            fleet.coordinatorSimulation.runFor(6_000);
        }
        fleet.coordinatorSimulation.runFor(MAX_DELAY_MS);
        String description = report(fleet, "burst" + (allServices ? " of all services" : ""));
        assertEquals(CHANGES, fleet.committed());
        assertAllHoldNewest(fleet, description);
        assertTrue(maxDelayMs(fleet) <= MAX_DELAY_MS, description);
        assertTrue(fleet.maxCallsPerSecond() <= Coordinator.MAX_CALLS_PER_S * 2, description);
        assertTrue(2 * fleet.meanDatagramBytes() + fleet.meanCallBytes() <= MAX_BYTES_PER_S, description);
    }

    @Test
    void versionRefusedByHalfIsHeldByAllAndRollbackIsInForce() {
        FleetSimulation fleet = new FleetSimulation(520, 11);
        takeOver(fleet, fleet.coordinators.get(0));
        fleet.coordinatorSimulation.runFor(5_000);
        int[] document = new int[FleetSimulation.SERVICES];
        publish(fleet, document, "good");
        fleet.coordinatorSimulation.runFor(MAX_DELAY_MS);
        VersionId good = fleet.newest();
        fleet.refusesSection = (party, section) -> party.index % 2 == 0
                && new String(section, StandardCharsets.UTF_8).contains("\"is\":666");
        java.util.Arrays.fill(document, 666);
        publish(fleet, document, "bad");
        fleet.coordinatorSimulation.runFor(MAX_DELAY_MS);
        assertAllHoldNewest(fleet, "bad");
        for (FleetSimulation.SimulatedProcess member : fleet.members) {
            FollowerState state = member.follower.state();
            assertEquals(member.index % 2 == 0 ? good : fleet.newest(), state.inForce(), member.name());
            assertEquals(member.index % 2 == 0, state.refusal() != null, member.name());
        }
        // A restarted member comes back with the last version that it accepted.
        FleetSimulation.SimulatedProcess process = fleet.members.get(1);
        assertEquals(0, process.index % 2);
        process.kill();
        fleet.coordinatorSimulation.runFor(1_000);
        process.restart();
        fleet.coordinatorSimulation.runFor(MAX_DELAY_MS);
        assertEquals(good, process.follower.state().inForce());
        assertTrue(process.follower.state().refusal() != null);

        FleetSimulation.SimulatedProcess leader = leader(fleet);
        fleet.coordinatorSimulation.run(leader.node,
                () -> leader.node.log.rollback(fleet.coordinatorSimulation.now, good.number(), "back",
                "me", 1, (result, id, why) -> { }));
        fleet.coordinatorSimulation.runFor(MAX_DELAY_MS);
        for (FleetSimulation.SimulatedProcess member : fleet.members) {
            assertEquals(fleet.newest(), member.follower.state().inForce(), member.name());
            assertEquals(null, member.follower.state().refusal(), member.name());
        }
    }

    @ParameterizedTest
    @CsvSource({"520,1,true", "1040,2,false"})
    void membersNeverGoBackAndReachableOnesAreInTimeUnderRandomFaults(int size, int seed, boolean regions) {
        FleetSimulation fleet = new FleetSimulation(size, 100 + seed);
        SplittableRandom random = new SplittableRandom(seed);
        takeOver(fleet, fleet.coordinators.get(0));
        fleet.coordinatorSimulation.runFor(5_000);
        fleet.damage = 0.02;
        fleet.lossOfCalls = 0.02;
        fleet.refusesSection = (party, section) -> (party.index + section[18]) % 10 == 0;
        int[] document = new int[FleetSimulation.SERVICES];
        List<FleetSimulation.SimulatedProcess> cutOff = new ArrayList<>();
        int cuts = 0;
        List<FleetSimulation.SimulatedProcess> dead = new ArrayList<>();
        for (int change = 1; change <= CHANGES; change++) {
            fleet.loss = random.nextInt(3) * 0.05;
            for (int i = 0; i < 4; i++) {
                document[random.nextInt(document.length)]++;
            }
            publish(fleet, document, "o" + change);
            switch (random.nextInt(6)) {
                case 0 -> {
                    // Membership's work during a cut takes most of the time of a run.
                    if (cutOff.isEmpty() && cuts < MAX_CUTS) {
                        boolean region = regions && cuts == 0;
                        cuts++;
                        int zone = random.nextInt(FleetSimulation.ZONES);
                        fleet.processes.stream().filter(process -> region
                                ? FleetSimulation.region(process) == 1
                                : process.zoneIndex == zone).forEach(cutOff::add);
                        fleet.cut((from, to) -> cutOff.contains(from) == cutOff.contains(to));
                    }
                }
                case 1, 2 -> {
                    fleet.heal(cutOff);
                    cutOff.clear();
                }
                case 3 -> {
                    // The leader dies, and another one takes over.
                    FleetSimulation.SimulatedProcess leader = leader(fleet);
                    if (leader != null && dead.stream().noneMatch(process -> process.node != null)) {
                        leader.kill();
                        dead.add(leader);
                        takeOver(fleet, fleet.coordinators.get((leader.index + 1) % 3));
                    }
                }
                case 4 -> {
                    // Two coordinators that both believe they lead.
                    takeOver(fleet, fleet.coordinators.get(random.nextInt(3)));
                    takeOver(fleet, fleet.coordinators.get(random.nextInt(3)));
                }
                default -> {
                    dead.forEach(FleetSimulation.SimulatedProcess::restart);
                    dead.clear();
                }
            }
            for (int i = 0; i < 4; i++) {
                FleetSimulation.SimulatedProcess process = fleet.members.get(random.nextInt(size));
                if (process.up && random.nextBoolean()) {
                    process.pause(random.nextInt(10_000));
                } else if (process.up) {
                    process.kill();
                    dead.add(process);
                }
            }
            for (int second = 0; second < 6; second++) {
                fleet.coordinatorSimulation.runFor(1_000);
                if (cutOff.isEmpty()) {
                    assertTrue(fleet.longestWait() <= MAX_DELAY_MS,
                            "seed " + seed + ": " + fleet.longestWait());
                }
            }
        }
        fleet.heal(cutOff);
        cutOff.clear();
        dead.forEach(FleetSimulation.SimulatedProcess::restart);
        fleet.loss = 0;
        fleet.lossOfCalls = 0;
        fleet.coordinatorSimulation.runFor(MAX_DELAY_MS);
        takeOver(fleet, fleet.coordinators.get(1));
        fleet.coordinatorSimulation.runFor(2 * MAX_DELAY_MS);
        String description = report(fleet, "faults, seed " + seed);
        assertAllHoldNewest(fleet, description);
        assertTrue(fleet.maxCallsPerSecond() <= Coordinator.MAX_CALLS_PER_S * 2, description);
    }
}
