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
 * Configuration from the coordinators to all members, in virtual time. The property {@code config.changes}
 * says how many changes a play has, {@code config.cuts} how many cuts.
 */
class ConfigFleetTest {

    /** The operators' target. */
    private static final double TARGET_MS = 15_000;
    private static final int CHANGES = Integer.getInteger("config.changes", 8);
    /** What a balancer may spend on control in a second. */
    private static final double BUDGET_BYTES = 18_000;
    private static final int MOST_CUTS = Integer.getInteger("config.cuts", 1);
    private static final int SECTION_BYTES = 6_000;

    private static TreeMap<String, byte[]> document(int[] of) {
        TreeMap<String, byte[]> sections = new TreeMap<>();
        for (int i = 0; i < ConfigFleet.SERVICES; i++) {
            sections.put("s" + i, ("{\"settings\":{\"is\":" + of[i] + "}}" + " ".repeat(SECTION_BYTES))
                    .getBytes(StandardCharsets.UTF_8));
        }
        return sections;
    }

    private static ConfigFleet.Party leader(ConfigFleet fleet) {
        return fleet.coordinators.stream().filter(one -> one.up && one.node.log.leads())
                .max(java.util.Comparator.comparingLong(one -> one.node.log.epoch())).orElse(null);
    }

    private static void publish(ConfigFleet fleet, int[] document, String operation) {
        ConfigFleet.Party leader = leader(fleet);
        if (leader != null) {
            fleet.world.run(leader.node, () -> leader.node.log.publish(fleet.world.now, operation, "me", 1,
                    "", document(document), (result, id, why) -> { }));
        }
    }

    private static void takeOver(ConfigFleet fleet, ConfigFleet.Party by) {
        fleet.world.run(by.node, () -> by.node.log.takeOver(fleet.world.now, (result, id, why) -> { }));
    }

    private static String say(ConfigFleet fleet, String what) {
        List<Double> took = new ArrayList<>(fleet.tookMs);
        Collections.sort(took);
        String line = String.format(Locale.ROOT, "%s: %d versions to %d members, in force after p50 %.0f ms,"
                + " p99 %.0f, most %.0f; most calls to a coordinator in a second %d, sections fetched %d;"
                + " bytes a second and member: %.0f of datagrams sent, %.0f of calls sent and received, %d in"
                + " the worst second of the worst member", what,
                fleet.committed(), fleet.members.size(), took.get(took.size() / 2),
                took.get((int) (took.size() * 0.99)), took.get(took.size() - 1), fleet.mostCalls(),
                fleet.sectionCalls, fleet.meanDatagramBytes(), fleet.meanCallBytes(), fleet.mostCallBytes());
        System.out.println(line);
        return line;
    }

    private static double most(ConfigFleet fleet) {
        return fleet.tookMs.stream().mapToDouble(Double::doubleValue).max().orElse(0);
    }

    private static void assertAllGoByTheNewest(ConfigFleet fleet, String what) {
        for (ConfigFleet.Party member : fleet.members) {
            assertEquals(fleet.newest(), member.follower.held(), what + ": " + member.name());
        }
    }

    /** Bursts of ten changes in a minute, of one service, or of all at once. */
    @ParameterizedTest
    @CsvSource({"520,false", "520,true", "1040,false", "1040,true"})
    void burstsAreInForceEverywhereInTime(int size, boolean ofAll) {
        ConfigFleet fleet = new ConfigFleet(size, 7L * size);
        fleet.loss = 0.01;
        takeOver(fleet, fleet.coordinators.get(0));
        fleet.world.pass(5_000);
        int[] document = new int[ConfigFleet.SERVICES];
        for (int change = 1; change <= CHANGES; change++) {
            for (int i = 0; i < document.length; i++) {
                document[i] += ofAll || i == change % document.length ? 1 : 0;
            }
            publish(fleet, document, "o" + change);
            fleet.world.pass(6_000);
        }
        fleet.world.pass(TARGET_MS);
        String what = say(fleet, "burst" + (ofAll ? " of all services" : ""));
        assertEquals(CHANGES, fleet.committed());
        assertAllGoByTheNewest(fleet, what);
        assertTrue(most(fleet) <= TARGET_MS, what);
        assertTrue(fleet.mostCalls() <= Coordinator.MOST_CALLS_PER_S * 2, what);
        assertTrue(2 * fleet.meanDatagramBytes() + fleet.meanCallBytes() <= BUDGET_BYTES, what);
    }

    @Test
    void aVersionThatHalfRefusesIsHeldByAllAndTheWayBackIsInForce() {
        ConfigFleet fleet = new ConfigFleet(520, 11);
        takeOver(fleet, fleet.coordinators.get(0));
        fleet.world.pass(5_000);
        int[] document = new int[ConfigFleet.SERVICES];
        publish(fleet, document, "good");
        fleet.world.pass(TARGET_MS);
        VersionId good = fleet.newest();
        fleet.refuses = (party, section) -> party.index % 2 == 0
                && new String(section, StandardCharsets.UTF_8).contains("\"is\":666");
        java.util.Arrays.fill(document, 666);
        publish(fleet, document, "bad");
        fleet.world.pass(TARGET_MS);
        assertAllGoByTheNewest(fleet, "bad");
        for (ConfigFleet.Party member : fleet.members) {
            FollowerState state = member.follower.state();
            assertEquals(member.index % 2 == 0 ? good : fleet.newest(), state.inForce(), member.name());
            assertEquals(member.index % 2 == 0, state.refusal() != null, member.name());
        }
        // Whoever starts anew comes back with the last that it took.
        ConfigFleet.Party one = fleet.members.get(1);
        assertEquals(0, one.index % 2);
        one.kill();
        fleet.world.pass(1_000);
        one.restart();
        fleet.world.pass(TARGET_MS);
        assertEquals(good, one.follower.state().inForce());
        assertTrue(one.follower.state().refusal() != null);

        ConfigFleet.Party leader = leader(fleet);
        fleet.world.run(leader.node, () -> leader.node.log.rollback(fleet.world.now, good.number(), "back",
                "me", 1, (result, id, why) -> { }));
        fleet.world.pass(TARGET_MS);
        for (ConfigFleet.Party member : fleet.members) {
            assertEquals(fleet.newest(), member.follower.state().inForce(), member.name());
            assertEquals(null, member.follower.state().refusal(), member.name());
        }
    }

    @ParameterizedTest
    @CsvSource({"520,1,true", "1040,2,false"})
    void randomFaultsNeverLeadBackAndWhoCanBeReachedHasItInTime(int size, int seed, boolean regions) {
        ConfigFleet fleet = new ConfigFleet(size, 100 + seed);
        SplittableRandom random = new SplittableRandom(seed);
        takeOver(fleet, fleet.coordinators.get(0));
        fleet.world.pass(5_000);
        fleet.damage = 0.02;
        fleet.lossOfCalls = 0.02;
        fleet.refuses = (party, section) -> (party.index + section[18]) % 10 == 0;
        int[] document = new int[ConfigFleet.SERVICES];
        List<ConfigFleet.Party> cutOff = new ArrayList<>();
        int cuts = 0;
        List<ConfigFleet.Party> dead = new ArrayList<>();
        for (int change = 1; change <= CHANGES; change++) {
            fleet.loss = random.nextInt(3) * 0.05;
            for (int i = 0; i < 4; i++) {
                document[random.nextInt(document.length)]++;
            }
            publish(fleet, document, "o" + change);
            switch (random.nextInt(6)) {
                case 0 -> {
                    // What membership does of a cut takes most of the time that a play takes.
                    if (cutOff.isEmpty() && cuts < MOST_CUTS) {
                        boolean region = regions && cuts == 0;
                        cuts++;
                        int zone = random.nextInt(ConfigFleet.ZONES);
                        fleet.parties.stream().filter(one -> region ? ConfigFleet.region(one) == 1
                                : one.zoneIndex == zone).forEach(cutOff::add);
                        fleet.cut((from, to) -> cutOff.contains(from) == cutOff.contains(to));
                    }
                }
                case 1, 2 -> {
                    fleet.join(cutOff);
                    cutOff.clear();
                }
                case 3 -> {
                    // The leader dies, and another takes its place.
                    ConfigFleet.Party leader = leader(fleet);
                    if (leader != null && dead.stream().noneMatch(one -> one.node != null)) {
                        leader.kill();
                        dead.add(leader);
                        takeOver(fleet, fleet.coordinators.get((leader.index + 1) % 3));
                    }
                }
                case 4 -> {
                    // Two that think that they lead.
                    takeOver(fleet, fleet.coordinators.get(random.nextInt(3)));
                    takeOver(fleet, fleet.coordinators.get(random.nextInt(3)));
                }
                default -> {
                    dead.forEach(ConfigFleet.Party::restart);
                    dead.clear();
                }
            }
            for (int i = 0; i < 4; i++) {
                ConfigFleet.Party one = fleet.members.get(random.nextInt(size));
                if (one.up && random.nextBoolean()) {
                    one.pause(random.nextInt(10_000));
                } else if (one.up) {
                    one.kill();
                    dead.add(one);
                }
            }
            for (int second = 0; second < 6; second++) {
                fleet.world.pass(1_000);
                if (cutOff.isEmpty()) {
                    assertTrue(fleet.longestWait() <= TARGET_MS, "seed " + seed + ": " + fleet.longestWait());
                }
            }
        }
        fleet.join(cutOff);
        cutOff.clear();
        dead.forEach(ConfigFleet.Party::restart);
        fleet.loss = 0;
        fleet.lossOfCalls = 0;
        fleet.world.pass(TARGET_MS);
        takeOver(fleet, fleet.coordinators.get(1));
        fleet.world.pass(2 * TARGET_MS);
        String what = say(fleet, "faults, seed " + seed);
        assertAllGoByTheNewest(fleet, what);
        assertTrue(fleet.mostCalls() <= Coordinator.MOST_CALLS_PER_S * 2, what);
    }
}
