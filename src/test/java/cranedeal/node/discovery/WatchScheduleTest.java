package cranedeal.node.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cranedeal.node.discovery.VirtualDiscovery.Outcome;
import cranedeal.node.discovery.VirtualDiscovery.Speed;
import cranedeal.node.discovery.VirtualDiscovery.Watcher;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against lists that become too old, with random faults and delays of discovery in virtual time, and
 * against a discovery that is overloaded with calls.
 */
class WatchScheduleTest {

    /** The time within which a change must be in force. */
    private static final double MAX_UPDATE_DELAY_MS = 6_000;
    private static final int SEEDS = Integer.getInteger("seeds", 300);

    private static void assertInForce(VirtualDiscovery discovery, double from, double limitMs,
            String context) {
        for (Watcher watcher : discovery.watchers) {
            for (long version = 42; version <= discovery.version(); version++) {
                double changedAt = discovery.changedAt(version);
                double latest = Math.max(Math.max(from, changedAt), watcher.startedAt) + limitMs;
                double at = watcher.inForce.getOrDefault(version, Double.POSITIVE_INFINITY);
                assertTrue(at <= latest || discovery.now() < latest, context + ": version " + version + " of "
                        + changedAt + " in force at " + at + ", process from " + watcher.startedAt);
            }
            assertTrue(watcher.maxInFlight <= WatchSchedule.MAX_CONCURRENT_CALLS, context);
        }
    }

    /** A period of faults, and the outcomes of calls in it. */
    private record FaultPeriod(double from, double until, List<Outcome> outcomes) {

        static FaultPeriod draw(double after, SplittableRandom random) {
            double from = after + random.nextDouble(10_000);
            List<Outcome> fates = new ArrayList<>();
            for (int i = random.nextInt(1, 4); i > 0; i--) {
                fates.add(Outcome.values()[random.nextInt(Outcome.values().length)]);
            }
            return new FaultPeriod(from, from + random.nextDouble(40_000), fates);
        }

        boolean isAt(double time) {
            return time >= from && time < until;
        }
    }

    /** Two periods of random faults, and fast answers between and after them. */
    @Test
    void eachProcessHasTheListInTimeOnceDiscoveryCanBeHeard() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            FaultPeriod first = FaultPeriod.draw(0, random);
            FaultPeriod second = FaultPeriod.draw(first.until(), random);
            VirtualDiscovery discovery = new VirtualDiscovery(new Speed(false, random.nextDouble(200)),
                    at -> {
                FaultPeriod now = first.isAt(at) ? first : second;
                return now.isAt(at) ? now.outcomes().get(random.nextInt(now.outcomes().size()))
                        : Outcome.ANSWERED;
            });
            discovery.heldUntil = first.until();
            discovery.schedule(first.until(), () -> discovery.heldUntil = second.until());
            discovery.start(random.nextInt(1, 31), 3_000, i -> random.nextLong());
            for (int i = random.nextInt(1, 10); i > 0; i--) {
                discovery.schedule(random.nextDouble(second.until() + 10_000), discovery::change);
            }
            discovery.run(second.until() + 40_000);
            assertInForce(discovery, second.until(), MAX_UPDATE_DELAY_MS,
                    "seed " + seed + " " + first + " " + second);
        }
    }

    /** Runs with changes from {@code changesFrom} on, at least {@code apart} ms after one another. */
    private static VirtualDiscovery run(Speed pace, int processes, double startWithin, double changesFrom,
            double apart, SplittableRandom random) {
        VirtualDiscovery discovery = new VirtualDiscovery(pace, at -> Outcome.ANSWERED);
        discovery.start(processes, startWithin, i -> random.nextLong());
        double at = changesFrom;
        for (int i = random.nextInt(1, 10); i > 0; i--) {
            at += apart + random.nextDouble(10_000);
            discovery.schedule(at, discovery::change);
        }
        discovery.run(at + 30_000);
        return discovery;
    }

    private static void assertInForceThoughLate(double answerS, double apartS) {
        for (long seed = 1; seed <= SEEDS / 4; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            VirtualDiscovery discovery = run(new Speed(false, answerS * 1_000), random.nextInt(1, 31), 3_000,
                    30_000, apartS * 1_000, random);
            assertInForce(discovery, 0, MAX_UPDATE_DELAY_MS, "answers of " + answerS + " s, seed " + seed);
        }
    }

    /** There are no other faults, and the schedule has seen the answer time before the change. */
    @ParameterizedTest
    @CsvSource({"0.1,0", "0.5,0", "1,0", "1.7,0", "2.2,0", "3,0", "4,12", "5,12"})
    void aListIsInForceInTimeIfEachAnswerIsLate(double answerS, double apartS) {
        assertInForceThoughLate(answerS, apartS);
    }

    @ParameterizedTest
    @CsvSource({"4", "5"})
    void aChangeRightBehindAnotherIsInForceInTimeThoughEachAnswerIsVeryLate(double answerS) {
        assertInForceThoughLate(answerS, 0);
    }

    private static void assertUpdatedBySerialDiscovery(int processes, double callS) {
        for (long seed = 1; seed <= SEEDS / 4; seed++) {
            VirtualDiscovery discovery = run(new Speed(true, callS * 1_000), processes,
                    seed % 2 == 0 ? 1 : 3_000, 0, 0, new SplittableRandom(seed));
            assertInForce(discovery, 0, MAX_UPDATE_DELAY_MS,
                    processes + " processes, " + callS + " s, seed " + seed);
        }
    }

    /** From the start on; serving one call of every process takes up to 3.6 s. */
    @ParameterizedTest
    @CsvSource({"1,0.1", "1,3", "4,0.6", "4,0.9", "10,0.36", "30,0.01", "30,0.12"})
    void aSerialDiscoveryUpdatesAllInTime(int processes, double callS) {
        assertUpdatedBySerialDiscovery(processes, callS);
    }

    /** Serving one call of every process takes nearly as long as a change may take to be in force. */
    @ParameterizedTest
    @CsvSource({"1,5", "4,1.4", "10,0.5", "30,0.18"})
    void aDiscoveryThatHardlyKeepsUpIsHeardInTimeByAll(int processes, double callS) {
        assertUpdatedBySerialDiscovery(processes, callS);
    }

    /**
     * Discovery is far too slow and also serves cancelled calls; still each process gets answers regularly.
     */
    @ParameterizedTest
    @CsvSource({"8,2", "30,0.5", "30,1", "30,5"})
    void noProcessStarvesIfDiscoveryIsMuchTooSlow(int processes, double callS) {
        double roundMs = processes * callS * 1_000;
        int rounds = 400;
        for (long seed = 1; seed <= SEEDS / 30; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            VirtualDiscovery discovery = new VirtualDiscovery(new Speed(true, callS * 1_000),
                    at -> Outcome.ANSWERED);
            discovery.start(processes, 1, i -> random.nextLong());
            for (int i = 1; i < rounds; i++) {
                discovery.schedule(i * roundMs, discovery::change);
            }
            discovery.run(rounds * roundMs);
            double steadyFrom = rounds * roundMs / 2;
            for (Watcher watcher : discovery.watchers) {
                double last = steadyFrom;
                double longest = 0;
                for (double at : watcher.answeredAt) {
                    longest = at < steadyFrom ? 0 : Math.max(longest, at - last);
                    last = Math.max(steadyFrom, at);
                }
                longest = Math.max(longest, discovery.now() - last) / roundMs;
                assertTrue(longest <= WatchSchedule.MAX_CONCURRENT_CALLS,
                        processes + " processes, " + callS + " s, seed "
                        + seed + ": no answer for " + longest + " rounds");
            }
        }
    }

    @ParameterizedTest
    @CsvSource({"false,1", "false,2.2", "false,3", "false,5", "true,0.9", "true,2"})
    void aSlowDiscoveryGetsNoMoreCallsThanAFastOne(boolean inTurn, double answerS) {
        long[] calls = new long[2];
        for (int i = 0; i < 2; i++) {
            VirtualDiscovery discovery = new VirtualDiscovery(new Speed(inTurn, i * answerS * 1_000),
                    at -> Outcome.ANSWERED);
            discovery.start(4, 1_000, seed -> seed);
            discovery.run(300_000);
            calls[i] = discovery.calls;
        }
        assertTrue(calls[1] <= calls[0], calls[1] + " calls, " + calls[0] + " to a fast one");
    }

    /** Discovery is not overloaded by processes that got no answer for long. */
    @ParameterizedTest
    @CsvSource({"SILENT,1", "HALF,1", "REFUSED,5", "CUT,5", "NOT_CONNECTED,2"})
    void aFaultyDiscoveryIsNotOverloadedWithCalls(Outcome fate, int times) {
        long[] calls = new long[2];
        for (int i = 0; i < 2; i++) {
            Outcome all = i == 0 ? Outcome.ANSWERED : fate;
            VirtualDiscovery discovery = new VirtualDiscovery(new Speed(false, 0), at -> all);
            discovery.start(4, 1_000, seed -> seed);
            discovery.run(300_000);
            calls[i] = discovery.calls;
        }
        assertTrue(calls[1] <= times * calls[0], calls[1] + " calls, " + calls[0] + " to a fast one");
    }

    /** Records actions, for tests that pass events in by themselves. */
    private static final class Recorder implements WatchSchedule.Actions {

        private final List<String> actions = new ArrayList<>();

        @Override
        public void call(long id, long index, int waitMs) {
            actions.add("call " + id + " " + index + " " + waitMs);
        }

        @Override
        public void cancel(long id, CallEnd why) {
            actions.add("cancel " + id + " " + why);
        }

        @Override
        public void wakeAt(double at) {
            // Each test sets the time itself.
        }
    }

    private final Recorder recorder = new Recorder();
    private final WatchSchedule schedule = new WatchSchedule(recorder, 2_500, 41, 1);

    @Test
    void aCallIsKeptBesideAnExtraCallAndItsLateAnswerIsAccepted() {
        schedule.watch(0, true);
        schedule.timer(4_500);
        assertEquals(List.of("call 1 41 2500", "call 2 41 250"), recorder.actions);
        assertTrue(schedule.accepts(1, 50, false));
        schedule.answered(4_600, 1, 50, true);
        assertEquals(50, schedule.version());
        assertEquals(2, recorder.actions.size());
    }

    @Test
    void anOlderListNeverReplacesANewerOne() {
        schedule.watch(0, true);
        schedule.timer(4_500);
        schedule.answered(4_600, 1, 50, true);
        assertFalse(schedule.accepts(2, 49, false), "changes up to version 49");
        assertFalse(schedule.accepts(2, 49, true), "an older whole list");
        assertTrue(schedule.accepts(2, 51, false));
    }

    @Test
    void aRestartedDiscoveryWithLowerVersionsIsAskedForTheWholeList() {
        schedule.watch(0, true);
        schedule.answered(100, 1, 50, true);
        assertTrue(schedule.accepts(2, 3, true));
        assertFalse(schedule.accepts(2, 3, false), "changes since 50 can't end at 3");
        schedule.outdated(200, 2);
        schedule.timer(300);
        assertEquals("call 3 0 2500", recorder.actions.get(2));
        assertTrue(schedule.accepts(3, 3, true));
        schedule.answered(400, 3, 3, true);
        assertEquals("call 4 3 2500", recorder.actions.get(3));
    }

    @Test
    void aDiscoveryThatDoesNotWaitForChangesIsNotCalledInATightLoop() {
        schedule.watch(0, true);
        schedule.answered(1, 1, 41, false);
        assertEquals(1, recorder.actions.size());
        schedule.timer(101);
        assertEquals("call 2 41 2500", recorder.actions.get(1));
    }

    @Test
    void anAnswerToALaterCallEndsTheEarlierOnes() {
        schedule.watch(0, true);
        schedule.timer(4_500);
        schedule.answered(4_600, 2, 50, true);
        assertEquals(List.of("call 1 41 2500", "call 2 41 250", "cancel 1 SUPERSEDED", "call 3 50 2500"),
                recorder.actions);
    }

    @Test
    void retriesBackOff() {
        schedule.watch(0, true);
        double now = 0;
        for (int i = 1; i <= 8; i++) {
            schedule.failed(now, i);
            now += i == 1 ? 100 : 800;
            schedule.timer(now);
            assertEquals("call " + (i + 1) + " 41 250", recorder.actions.get(i));
        }
        schedule.failed(now, 9);
        schedule.timer(now + 399);
        assertEquals(9, recorder.actions.size());
    }

    @Test
    void aNewAddressIsCalledAtOnceAndOldCallsAreCancelled() {
        schedule.watch(0, true);
        schedule.failed(1, 1);
        schedule.addressChanged(2);
        assertEquals("call 2 41 2500", recorder.actions.get(1));
        schedule.addressChanged(3);
        assertEquals(List.of("cancel 2 STOPPED", "call 3 41 2500"), recorder.actions.subList(2, 4));
        schedule.watch(4, false);
        assertEquals("cancel 3 STOPPED", recorder.actions.get(4));
    }
}
