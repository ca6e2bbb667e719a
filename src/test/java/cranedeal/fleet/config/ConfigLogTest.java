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

    /** The recorded result of a request. */
    private static final class Outcome implements ConfigLog.Reply {

        private Result result;
        private VersionId id;
        private String why;
        private int times;

        @Override
        public void done(Result newResult, VersionId version, String reason) {
            result = newResult;
            id = version;
            why = reason;
            times++;
        }
    }

    private static Outcome takeOver(CoordinatorSimulation simulation, CoordinatorSimulation.Node node) {
        Outcome outcome = new Outcome();
        simulation.run(node, () -> node.log.takeOver(simulation.now, outcome));
        return outcome;
    }

    private static Outcome publish(CoordinatorSimulation simulation, CoordinatorSimulation.Node node,
            String operation) {
        Outcome outcome = new Outcome();
        simulation.run(node, () -> node.log.publish(simulation.now, operation, "me", 1, "",
                CoordinatorSimulation.document(
                operation), outcome));
        return outcome;
    }

    private static Outcome rollback(CoordinatorSimulation simulation, CoordinatorSimulation.Node node,
            long number,
            String operation) {
        Outcome outcome = new Outcome();
        simulation.run(node, () -> node.log.rollback(simulation.now, number, operation, "me", 1, outcome));
        return outcome;
    }

    private static String text(Version version) {
        return new String(version.sections().get("front"), StandardCharsets.UTF_8);
    }

    private static String text(String operation) {
        return new String(CoordinatorSimulation.document(operation).get("front"), StandardCharsets.UTF_8);
    }

    private static void assertCurrentOnAll(CoordinatorSimulation simulation, String operation) {
        for (CoordinatorSimulation.Node node : simulation.all()) {
            assertEquals(text(operation), text(node.log.current()), node.name);
            assertEquals(simulation.all().get(0).log.current().id(), node.log.current().id());
        }
    }

    @Test
    void repeatedChangeIsPublishedOnceAndOnlyByLeader() {
        CoordinatorSimulation simulation = new CoordinatorSimulation(3, 1);
        Outcome none = publish(simulation, simulation.all().get(0), "a");
        simulation.runFor(100);
        assertEquals(Result.NOT_LEADER, none.result);
        assertTrue(none.why.contains("no coordinator leads"), none.why);

        Outcome takenOver = takeOver(simulation, simulation.all().get(0));
        simulation.runFor(5_000);
        assertEquals(Result.DONE, takenOver.result);
        Outcome first = publish(simulation, simulation.all().get(0), "a");
        Outcome again = publish(simulation, simulation.all().get(0), "a");
        simulation.runFor(5_000);
        Outcome later = publish(simulation, simulation.all().get(0), "a");
        simulation.runFor(5_000);
        assertEquals(new VersionId(1, 1), first.id);
        assertEquals(first.id, again.id);
        assertEquals(first.id, later.id);
        assertEquals(1, first.times + again.times - 1);
        assertCurrentOnAll(simulation, "a");
        Outcome elsewhere = publish(simulation, simulation.all().get(1), "b");
        simulation.runFor(100);
        assertEquals(Result.NOT_LEADER, elsewhere.result);
        assertTrue(elsewhere.why.contains("c0 leads with epoch 1"), elsewhere.why);
    }

    @Test
    void rollbackCreatesNewVersionAndUnknownVersionIsRefused() {
        CoordinatorSimulation simulation = new CoordinatorSimulation(3, 2);
        CoordinatorSimulation.Node leader = simulation.all().get(0);
        takeOver(simulation, leader);
        simulation.runFor(5_000);
        publish(simulation, leader, "a");
        publish(simulation, leader, "b");
        // Requested while the change is not committed yet.
        Outcome back = rollback(simulation, leader, 1, "back");
        simulation.runFor(20_000);
        assertEquals(Result.REFUSED, back.result, "1 was not committed by then: " + back.why);
        back = rollback(simulation, leader, 1, "back");
        Outcome missing = rollback(simulation, leader, 77, "missing");
        simulation.runFor(5_000);
        assertEquals(new VersionId(1, 3), back.id);
        assertEquals(Result.REFUSED, missing.result);
        assertTrue(missing.why.contains("77 is not kept"), missing.why);
        assertCurrentOnAll(simulation, "a");
    }

    @Test
    void changeWithoutMajorityIsUnknownAndLeaderOfLowerEpochStepsDown() {
        CoordinatorSimulation simulation = new CoordinatorSimulation(3, 3);
        CoordinatorSimulation.Node old = simulation.all().get(0);
        takeOver(simulation, old);
        simulation.runFor(5_000);
        publish(simulation, old, "a");
        simulation.runFor(5_000);
        simulation.canReach = (from, to) -> !from.equals("c0") && !to.equals("c0");
        Outcome isolatedChange = publish(simulation, old, "lonely");
        Outcome takenOver = takeOver(simulation, simulation.all().get(1));
        simulation.runFor(10_000);
        assertEquals(Result.UNKNOWN, isolatedChange.result);
        assertEquals(Result.DONE, takenOver.result);
        assertTrue(old.log.isLeader(), "it can't know");
        Outcome fresh = publish(simulation, simulation.all().get(1), "fresh");
        simulation.runFor(5_000);
        assertEquals(Result.DONE, fresh.result);
        simulation.canReach = (from, to) -> true;
        simulation.runFor(10_000);
        assertFalse(old.log.isLeader());
        Outcome refused = publish(simulation, old, "late");
        simulation.runFor(5_000);
        assertEquals(Result.NOT_LEADER, refused.result);
        assertTrue(refused.why.contains("c1 leads with epoch 2"), refused.why);
        assertCurrentOnAll(simulation, "fresh");
    }

    @Test
    void unansweredChangeIsEitherCommittedOrDropped() {
        // The leader is killed between its write and the answer, and then restarted or replaced.
        for (int scenario = 0; scenario < 2; scenario++) {
            CoordinatorSimulation simulation = new CoordinatorSimulation(3, 4);
            CoordinatorSimulation.Node leader = simulation.all().get(0);
            takeOver(simulation, leader);
            simulation.runFor(5_000);
            publish(simulation, leader, "a");
            simulation.runFor(5_000);
            leader.writesUntilKilled = 1;
            Outcome lost = publish(simulation, leader, "lost");
            simulation.runFor(5_000);
            assertFalse(leader.up);
            assertEquals(0, lost.times);
            if (scenario == 0) {
                leader.start();
                simulation.runFor(10_000);
                assertCurrentOnAll(simulation, "lost");
                Outcome again = publish(simulation, leader, "lost");
                simulation.runFor(5_000);
                assertEquals(new VersionId(1, 2), again.id, "repeated without harm");
            } else {
                takeOver(simulation, simulation.all().get(1));
                simulation.runFor(5_000);
                leader.start();
                simulation.runFor(10_000);
                assertCurrentOnAll(simulation, "a");
                Outcome again = publish(simulation, simulation.all().get(1), "lost");
                simulation.runFor(5_000);
                assertEquals(Result.DONE, again.result);
                assertCurrentOnAll(simulation, "lost");
            }
        }
    }

    @Test
    void fullDiskRefusesChangeAndLosesNothing() {
        CoordinatorSimulation simulation = new CoordinatorSimulation(3, 5);
        CoordinatorSimulation.Node leader = simulation.all().get(0);
        takeOver(simulation, leader);
        simulation.runFor(5_000);
        publish(simulation, leader, "a");
        simulation.runFor(5_000);
        leader.diskFull = true;
        Outcome refused = publish(simulation, leader, "b");
        simulation.runFor(5_000);
        assertEquals(Result.REFUSED, refused.result);
        assertTrue(refused.why.contains("No space left"), refused.why);
        leader.diskFull = false;
        simulation.all().get(1).diskFull = true;
        Outcome done = publish(simulation, leader, "c");
        simulation.runFor(5_000);
        assertEquals(Result.DONE, done.result, "two of three are enough");
        simulation.all().get(1).diskFull = false;
        simulation.runFor(5_000);
        assertCurrentOnAll(simulation, "c");
    }

    @Test
    void lostTakeOverDoesNotEndLeaderWhichTakesOverAgain() {
        CoordinatorSimulation simulation = new CoordinatorSimulation(3, 7);
        CoordinatorSimulation.Node leader = simulation.all().get(0);
        takeOver(simulation, leader);
        simulation.runFor(5_000);
        simulation.canReach = (from, to) -> !from.equals("c2") && !to.equals("c2");
        Outcome isolatedChange = takeOver(simulation, simulation.all().get(2));
        simulation.runFor(10_000);
        assertEquals(Result.UNKNOWN, isolatedChange.result);
        assertTrue(isolatedChange.why.contains("only 1 of 3"), isolatedChange.why);
        simulation.canReach = (from, to) -> true;
        simulation.runFor(1_500);
        Outcome done = publish(simulation, leader, "a");
        simulation.runFor(2_000);
        assertEquals(Result.DONE, done.result, done.why);
        simulation.runFor(20_000);
        assertTrue(leader.log.isLeader() && leader.log.epoch() > 2);
        assertCurrentOnAll(simulation, "a");
    }

    @Test
    void keptVersionsAreBounded() {
        CoordinatorSimulation simulation = new CoordinatorSimulation(3, 6);
        CoordinatorSimulation.Node leader = simulation.all().get(0);
        takeOver(simulation, leader);
        simulation.runFor(5_000);
        for (int i = 0; i < 2 * ConfigLog.MAX_VERSIONS; i++) {
            publish(simulation, leader, "o" + i);
            simulation.runFor(5_000);
        }
        assertCurrentOnAll(simulation, "o" + (2 * ConfigLog.MAX_VERSIONS - 1));
        for (CoordinatorSimulation.Node node : simulation.all()) {
            assertEquals(ConfigLog.MAX_VERSIONS, node.log.versions().size());
            assertEquals(CoordinatorSimulation.ids(leader.log), CoordinatorSimulation.ids(node.log));
        }
    }

    /** A publish in a random run. */
    private record ChangeRequest(String operation, double requestedAt, Outcome outcome,
            double[] answeredAt) { }

    @ParameterizedTest
    @ValueSource(ints = {3, 5})
    void noAnsweredChangeIsLostUnderRandomFaults(int size) {
        int answered = 0;
        int unanswered = 0;
        int takenOver = 0;
        int plays = Integer.getInteger("config.plays", 300);
        for (int seed = 1; seed <= plays; seed++) {
            CoordinatorSimulation simulation = new CoordinatorSimulation(size, 1_000L * size + seed);
            SplittableRandom random = new SplittableRandom(seed);
            List<ChangeRequest> requests = new ArrayList<>();
            List<Outcome> takeOvers = new ArrayList<>();
            simulation.lossOfCalls = random.nextInt(3) * 0.1;
            for (int step = 0; step < 120; step++) {
                CoordinatorSimulation.Node any = simulation.any();
                // Half of the requests go to a coordinator that believes it leads, if there is one.
                CoordinatorSimulation.Node node = random.nextBoolean() ? any : simulation.all().stream()
                        .filter(request -> request.up && request.log.isLeader()).findFirst().orElse(any);
                switch (random.nextInt(12)) {
                    case 0 -> takeOvers.add(takeOver(simulation, node));
                    case 1 -> node.writesUntilKilled = 1 + random.nextInt(3);
                    case 2 -> node.kill();
                    case 3 -> node.pausedUntil = simulation.now + random.nextInt(8_000);
                    case 4 -> {
                        String cut = random.nextBoolean() ? "" : node.name;
                        boolean oneWay = random.nextBoolean();
                        simulation.canReach = (from, to) -> !from.equals(cut) && (oneWay || !to.equals(cut));
                    }
                    case 5 -> node.diskFull = random.nextBoolean();
                    case 6, 7 -> simulation.all().stream().filter(request -> !request.up)
                            .forEach(CoordinatorSimulation.Node::start);
                    default -> {
                        // Occasionally repeats an earlier operation.
                        String operation = !requests.isEmpty() && random.nextInt(4) == 0
                                ? requests.get(random.nextInt(requests.size())).operation() : "o" + step;
                        Outcome outcome = new Outcome();
                        double[] at = {Double.POSITIVE_INFINITY};
                        requests.add(new ChangeRequest(operation, simulation.now, outcome, at));
                        simulation.run(node, () -> node.log.publish(simulation.now, operation, "me", 1, "",
                                CoordinatorSimulation.document(operation), (result, id, why) -> {
                                    outcome.done(result, id, why);
                                    at[0] = simulation.now;
                                }));
                    }
                }
                simulation.runFor(random.nextInt(2_500));
            }
            simulation.heal();
            simulation.runFor(30_000);
            Outcome last = new Outcome();
            for (int i = 0; i < 3 && last.result != Result.DONE; i++) {
                last = takeOver(simulation, simulation.any());
                simulation.runFor(10_000);
            }
            assertEquals(Result.DONE, last.result, "seed " + seed + ": " + last.why);
            simulation.runFor(30_000);
            Version current = simulation.all().get(0).log.current();
            for (CoordinatorSimulation.Node node : simulation.all()) {
                assertEquals(current == null ? null : current.id(), node.log.current() == null ? null
                        : node.log.current().id(), "seed " + seed);
            }
            for (ChangeRequest request : requests) {
                assertTrue(request.outcome().times <= 1, "seed " + seed + ": told once");
                if (request.outcome().result != Result.DONE) {
                    unanswered++;
                    continue;
                }
                answered++;
                assertTrue(current != null && !request.outcome().id.isAfter(current.id()), "seed " + seed);
                assertTrue(simulation.allCommitted.containsKey(request.outcome().id), "seed " + seed);
                assertEquals(request.operation(),
                        simulation.allCommitted.get(request.outcome().id).manifest().operation());
            }
            // The final version was not overridden by a change that was requested after its answer.
            if (current != null) {
                String operation = current.manifest().operation();
                double begun = requests.stream().filter(request -> request.operation().equals(operation))
                        .mapToDouble(ChangeRequest::requestedAt).max().orElseThrow();
                double first = requests.stream().filter(request -> request.operation().equals(operation)
                        && request.outcome().result == Result.DONE)
                        .mapToDouble(request -> request.answeredAt()[0])
                        .min().orElse(Double.POSITIVE_INFINITY);
                boolean overridden = requests.stream().anyMatch(request -> request.outcome()
                        .result == Result.DONE
                        && request.requestedAt() > Math.min(first, Double.POSITIVE_INFINITY)
                        && request.requestedAt() > begun
                        && requests.stream().noneMatch(earlier -> earlier.operation()
                        .equals(request.operation())
                        && earlier.requestedAt() < request.requestedAt()));
                assertFalse(overridden, "seed " + seed + ": " + operation);
            }
            takenOver += (int) takeOvers.stream().filter(request -> request.result == Result.DONE).count();
        }
        System.out.println(size + " coordinators, " + plays + " plays: " + answered + " changes answered, "
                + unanswered + " not, " + takenOver + " take-overs");
        assertTrue(answered > plays && unanswered > plays && takenOver > plays);
    }
}
