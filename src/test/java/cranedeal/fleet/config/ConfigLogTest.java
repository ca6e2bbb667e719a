package cranedeal.fleet.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cranedeal.fleet.config.ConfigLog.Result;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The coordinators' log in virtual time. */
class ConfigLogTest {

    /** What came of something that was asked for. */
    private static final class Outcome implements ConfigLog.Reply {

        private Result result;
        private VersionId id;
        private String why;
        private int times;

        @Override
        public void done(Result its, VersionId version, String reason) {
            result = its;
            id = version;
            why = reason;
            times++;
        }
    }

    private static Outcome takeOver(Coordinators world, Coordinators.Node node) {
        Outcome outcome = new Outcome();
        world.run(node, () -> node.log.takeOver(world.now, outcome));
        return outcome;
    }

    private static Outcome publish(Coordinators world, Coordinators.Node node, String operation) {
        Outcome outcome = new Outcome();
        world.run(node, () -> node.log.publish(world.now, operation, "me", 1, "", Coordinators.document(
                operation), outcome));
        return outcome;
    }

    private static Outcome rollback(Coordinators world, Coordinators.Node node, long number,
            String operation) {
        Outcome outcome = new Outcome();
        world.run(node, () -> node.log.rollback(world.now, number, operation, "me", 1, outcome));
        return outcome;
    }

    private static String text(Version version) {
        return new String(version.sections().get("front"), StandardCharsets.UTF_8);
    }

    private static String text(String operation) {
        return new String(Coordinators.document(operation).get("front"), StandardCharsets.UTF_8);
    }

    private static void assertAllHave(Coordinators world, String operation) {
        for (Coordinators.Node node : world.all()) {
            assertEquals(text(operation), text(node.log.current()), node.name);
            assertEquals(world.all().get(0).log.current().id(), node.log.current().id());
        }
    }

    @Test
    void aChangeNeedsALeaderAndIsOnceOnAllThoughItIsRepeated() {
        Coordinators world = new Coordinators(3, 1);
        Outcome none = publish(world, world.all().get(0), "a");
        world.pass(100);
        assertEquals(Result.NOT_LEADER, none.result);
        assertTrue(none.why.contains("no coordinator leads"), none.why);

        Outcome led = takeOver(world, world.all().get(0));
        world.pass(5_000);
        assertEquals(Result.DONE, led.result);
        Outcome first = publish(world, world.all().get(0), "a");
        Outcome again = publish(world, world.all().get(0), "a");
        world.pass(5_000);
        Outcome later = publish(world, world.all().get(0), "a");
        world.pass(5_000);
        assertEquals(new VersionId(1, 1), first.id);
        assertEquals(first.id, again.id);
        assertEquals(first.id, later.id);
        assertEquals(1, first.times + again.times - 1);
        assertAllHave(world, "a");
        Outcome elsewhere = publish(world, world.all().get(1), "b");
        world.pass(100);
        assertEquals(Result.NOT_LEADER, elsewhere.result);
        assertTrue(elsewhere.why.contains("c0 leads with epoch 1"), elsewhere.why);
    }

    @Test
    void aRollbackIsANewVersionAndOneThatIsNotKeptIsRefused() {
        Coordinators world = new Coordinators(3, 2);
        Coordinators.Node leader = world.all().get(0);
        takeOver(world, leader);
        world.pass(5_000);
        publish(world, leader, "a");
        publish(world, leader, "b");
        // Asked for while its change is still on its way.
        Outcome back = rollback(world, leader, 1, "back");
        world.pass(20_000);
        assertEquals(Result.REFUSED, back.result, "1 was not committed by then: " + back.why);
        back = rollback(world, leader, 1, "back");
        Outcome missing = rollback(world, leader, 77, "missing");
        world.pass(5_000);
        assertEquals(new VersionId(1, 3), back.id);
        assertEquals(Result.REFUSED, missing.result);
        assertTrue(missing.why.contains("77 is not kept"), missing.why);
        assertAllHave(world, "a");
    }

    @Test
    void withoutAMajorityNothingIsAnsweredAndOfTwoLeadersTheLowerEpochLosesVisibly() {
        Coordinators world = new Coordinators(3, 3);
        Coordinators.Node old = world.all().get(0);
        takeOver(world, old);
        world.pass(5_000);
        publish(world, old, "a");
        world.pass(5_000);
        world.open = (from, to) -> !from.equals("c0") && !to.equals("c0");
        Outcome lonely = publish(world, old, "lonely");
        Outcome led = takeOver(world, world.all().get(1));
        world.pass(10_000);
        assertEquals(Result.UNKNOWN, lonely.result);
        assertEquals(Result.DONE, led.result);
        assertTrue(old.log.leads(), "it can't know");
        Outcome fresh = publish(world, world.all().get(1), "fresh");
        world.pass(5_000);
        assertEquals(Result.DONE, fresh.result);
        world.open = (from, to) -> true;
        world.pass(10_000);
        assertFalse(old.log.leads());
        Outcome refused = publish(world, old, "late");
        world.pass(5_000);
        assertEquals(Result.NOT_LEADER, refused.result);
        assertTrue(refused.why.contains("c1 leads with epoch 2"), refused.why);
        assertAllHave(world, "fresh");
    }

    @Test
    void whatWasNeverAnsweredMayBeEitherAndIsNeverBoth() {
        // Killed between its write and the answer, and then replaced or started again.
        for (int wayOn = 0; wayOn < 2; wayOn++) {
            Coordinators world = new Coordinators(3, 4);
            Coordinators.Node leader = world.all().get(0);
            takeOver(world, leader);
            world.pass(5_000);
            publish(world, leader, "a");
            world.pass(5_000);
            leader.killedAtWrite = 1;
            Outcome lost = publish(world, leader, "lost");
            world.pass(5_000);
            assertFalse(leader.up);
            assertEquals(0, lost.times);
            if (wayOn == 0) {
                leader.start();
                world.pass(10_000);
                assertAllHave(world, "lost");
                Outcome again = publish(world, leader, "lost");
                world.pass(5_000);
                assertEquals(new VersionId(1, 2), again.id, "repeated without harm");
            } else {
                takeOver(world, world.all().get(1));
                world.pass(5_000);
                leader.start();
                world.pass(10_000);
                assertAllHave(world, "a");
                Outcome again = publish(world, world.all().get(1), "lost");
                world.pass(5_000);
                assertEquals(Result.DONE, again.result);
                assertAllHave(world, "lost");
            }
        }
    }

    @Test
    void aFullDiskRefusesAndLosesNothing() {
        Coordinators world = new Coordinators(3, 5);
        Coordinators.Node leader = world.all().get(0);
        takeOver(world, leader);
        world.pass(5_000);
        publish(world, leader, "a");
        world.pass(5_000);
        leader.full = true;
        Outcome refused = publish(world, leader, "b");
        world.pass(5_000);
        assertEquals(Result.REFUSED, refused.result);
        assertTrue(refused.why.contains("No space left"), refused.why);
        leader.full = false;
        world.all().get(1).full = true;
        Outcome done = publish(world, leader, "c");
        world.pass(5_000);
        assertEquals(Result.DONE, done.result, "two of three are enough");
        world.all().get(1).full = false;
        world.pass(5_000);
        assertAllHave(world, "c");
    }

    @Test
    void aTakeOverThatNeverWonEndsNoLeaderAndIsOvercome() {
        Coordinators world = new Coordinators(3, 7);
        Coordinators.Node leader = world.all().get(0);
        takeOver(world, leader);
        world.pass(5_000);
        world.open = (from, to) -> !from.equals("c2") && !to.equals("c2");
        Outcome lonely = takeOver(world, world.all().get(2));
        world.pass(10_000);
        assertEquals(Result.UNKNOWN, lonely.result);
        assertTrue(lonely.why.contains("only 1 of 3"), lonely.why);
        world.open = (from, to) -> true;
        world.pass(1_500);
        Outcome done = publish(world, leader, "a");
        world.pass(2_000);
        assertEquals(Result.DONE, done.result, done.why);
        world.pass(20_000);
        assertTrue(leader.log.leads() && leader.log.epoch() > 2);
        assertAllHave(world, "a");
    }

    @Test
    void whatIsKeptIsBounded() {
        Coordinators world = new Coordinators(3, 6);
        Coordinators.Node leader = world.all().get(0);
        takeOver(world, leader);
        world.pass(5_000);
        for (int i = 0; i < 2 * ConfigLog.MOST_VERSIONS; i++) {
            publish(world, leader, "o" + i);
            world.pass(5_000);
        }
        assertAllHave(world, "o" + (2 * ConfigLog.MOST_VERSIONS - 1));
        for (Coordinators.Node node : world.all()) {
            assertEquals(ConfigLog.MOST_VERSIONS, node.log.versions().size());
            assertEquals(Coordinators.ids(leader.log), Coordinators.ids(node.log));
        }
    }

    /** A publish or a rollback of the random plays. */
    private record Asked(String operation, double at, Outcome outcome, double[] answeredAt) { }

    @ParameterizedTest
    @ValueSource(ints = {3, 5})
    void nothingAnsweredIsLostWhateverFails(int size) {
        int answered = 0;
        int unanswered = 0;
        int takenOver = 0;
        int plays = Integer.getInteger("config.plays", 300);
        for (int seed = 1; seed <= plays; seed++) {
            Coordinators world = new Coordinators(size, 1_000L * size + seed);
            SplittableRandom random = new SplittableRandom(seed);
            List<Asked> asked = new ArrayList<>();
            List<Outcome> takeOvers = new ArrayList<>();
            world.lossOfCalls = random.nextInt(3) * 0.1;
            for (int step = 0; step < 120; step++) {
                Coordinators.Node any = world.any();
                // Half of all go to one that thinks that it leads, if there is any.
                Coordinators.Node node = random.nextBoolean() ? any : world.all().stream()
                        .filter(one -> one.up && one.log.leads()).findFirst().orElse(any);
                switch (random.nextInt(12)) {
                    case 0 -> takeOvers.add(takeOver(world, node));
                    case 1 -> node.killedAtWrite = 1 + random.nextInt(3);
                    case 2 -> node.kill();
                    case 3 -> node.pausedUntil = world.now + random.nextInt(8_000);
                    case 4 -> {
                        String cut = random.nextBoolean() ? "" : node.name;
                        boolean oneWay = random.nextBoolean();
                        world.open = (from, to) -> !from.equals(cut) && (oneWay || !to.equals(cut));
                    }
                    case 5 -> node.full = random.nextBoolean();
                    case 6, 7 -> world.all().stream().filter(one -> !one.up)
                            .forEach(Coordinators.Node::start);
                    default -> {
                        // Now and then one that was asked for before.
                        String operation = !asked.isEmpty() && random.nextInt(4) == 0
                                ? asked.get(random.nextInt(asked.size())).operation() : "o" + step;
                        Outcome outcome = new Outcome();
                        double[] at = {Double.POSITIVE_INFINITY};
                        asked.add(new Asked(operation, world.now, outcome, at));
                        world.run(node, () -> node.log.publish(world.now, operation, "me", 1, "",
                                Coordinators.document(operation), (result, id, why) -> {
                                    outcome.done(result, id, why);
                                    at[0] = world.now;
                                }));
                    }
                }
                world.pass(random.nextInt(2_500));
            }
            world.heal();
            world.pass(30_000);
            Outcome last = new Outcome();
            for (int i = 0; i < 3 && last.result != Result.DONE; i++) {
                last = takeOver(world, world.any());
                world.pass(10_000);
            }
            assertEquals(Result.DONE, last.result, "seed " + seed + ": " + last.why);
            world.pass(30_000);
            Version current = world.all().get(0).log.current();
            for (Coordinators.Node node : world.all()) {
                assertEquals(current == null ? null : current.id(), node.log.current() == null ? null
                        : node.log.current().id(), "seed " + seed);
            }
            for (Asked one : asked) {
                assertTrue(one.outcome().times <= 1, "seed " + seed + ": told once");
                if (one.outcome().result != Result.DONE) {
                    unanswered++;
                    continue;
                }
                answered++;
                assertTrue(current != null && !one.outcome().id.isAfter(current.id()), "seed " + seed);
                assertTrue(world.allCommitted.containsKey(one.outcome().id), "seed " + seed);
                assertEquals(one.operation(),
                        world.allCommitted.get(one.outcome().id).manifest().operation());
            }
            // What is in force at the end was not overridden by anything that was begun after its answer.
            if (current != null) {
                String operation = current.manifest().operation();
                double begun = asked.stream().filter(one -> one.operation().equals(operation))
                        .mapToDouble(Asked::at).max().orElseThrow();
                double first = asked.stream().filter(one -> one.operation().equals(operation)
                        && one.outcome().result == Result.DONE).mapToDouble(one -> one.answeredAt()[0])
                        .min().orElse(Double.POSITIVE_INFINITY);
                boolean overridden = asked.stream().anyMatch(one -> one.outcome().result == Result.DONE
                        && one.at() > Math.min(first, Double.POSITIVE_INFINITY) && one.at() > begun
                        && asked.stream().noneMatch(earlier -> earlier.operation().equals(one.operation())
                        && earlier.at() < one.at()));
                assertFalse(overridden, "seed " + seed + ": " + operation);
            }
            takenOver += (int) takeOvers.stream().filter(one -> one.result == Result.DONE).count();
        }
        System.out.println(size + " coordinators, " + plays + " plays: " + answered + " changes answered, "
                + unanswered + " not, " + takenOver + " take-overs");
        assertTrue(answered > plays && unanswered > plays && takenOver > plays);
    }
}
