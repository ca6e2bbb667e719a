package cranedeal.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cranedeal.node.discovery.CallEnd;
import cranedeal.node.discovery.DiscoveryClient;
import cranedeal.node.discovery.WatchSchedule;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against balancers that get a new list too late after an outage of discovery, or overload discovery
 * with calls when it returns. Runs the program's schedule in virtual time; the simulated discovery serves
 * calls one at a time, and fails those that were queued for too long.
 */
class DiscoveryReturnTest {

    private static final double MAX_UPDATE_DELAY_MS = 6_000;
    private static final double DOWN_FROM_MS = 20_000;
    private static final double BACK_AT_MS = 30_000;
    private static final double END_MS = 60_000;
    private static final double CONNECT_TIMEOUT_MS = 1_000;
    /** Discovery's time to serve a call, and the longest time that a call may be queued there. */
    private static final double SERVICE_MS = 2;
    private static final double MAX_QUEUE_MS = 1_000;

    /** What happens to a call while discovery is down. */
    private enum Outage { REFUSED, REFUSED_LATE, RESET, NO_CONNECTION, SILENT, CROWD }

    private record Event(double at, long sequence, Runnable action) { }

    private final PriorityQueue<Event> events = new PriorityQueue<>(
            Comparator.comparingDouble(Event::at).thenComparingLong(Event::sequence));
    private long nextSequence;
    private double now;
    private Outage outage;
    private double busyUntil;
    /** Calls per second from the outage on, by watchers that have not been updated yet. */
    private final TreeMap<Integer, Integer> calls = new TreeMap<>();
    private int rejected;

    private void schedule(double time, Runnable action) {
        events.add(new Event(time, nextSequence++, action));
    }

    /** A balancer's watch. */
    private final class Watcher implements WatchSchedule.Actions {

        private final WatchSchedule schedule;
        private final Set<Long> open = new HashSet<>();
        private double updatedAt = Double.NaN;
        /** Its calls refused by the overloaded discovery since its return, without the one in flight then. */
        private int refusals;
        private double wakeAt;

        Watcher(long seed) {
            schedule = new WatchSchedule(this, DiscoveryClient.MAX_WAIT_MS, 1, seed);
        }

        @Override
        public void cancel(long id, CallEnd why) {
            open.remove(id);
        }

        @Override
        public void wakeAt(double time) {
            wakeAt = time;
            if (time < Double.POSITIVE_INFINITY) {
                schedule(Math.max(now, time), () -> {
                    if (wakeAt == time) {
                        schedule.timer(now);
                    }
                });
            }
        }

        private void failLater(double time, long id) {
            schedule(time, () -> {
                if (open.remove(id)) {
                    schedule.failed(now, id);
                }
            });
        }

        @Override
        public void call(long id, long index, int waitMs) {
            open.add(id);
            if (now >= DOWN_FROM_MS && Double.isNaN(updatedAt)) {
                calls.merge((int) (now / 1_000), 1, Integer::sum);
            }
            boolean down = now >= DOWN_FROM_MS && now < BACK_AT_MS;
            if (down && outage == Outage.NO_CONNECTION) {
                failLater(now + CONNECT_TIMEOUT_MS, id);
            } else if (outage == Outage.CROWD && now >= BACK_AT_MS && refusals < 1) {
                refusals++;
                failLater(now + MAX_QUEUE_MS, id);
            } else if (down && outage != Outage.SILENT) {
                boolean late = outage == Outage.REFUSED_LATE || outage == Outage.CROWD;
                failLater(now + (late ? MAX_QUEUE_MS : 1), id);
            } else if (!down) {
                serve(id, waitMs);
            }
        }

        private void serve(long id, int waitMs) {
            double asked = now;
            double begins = Math.max(asked, busyUntil);
            if (begins - asked > MAX_QUEUE_MS) {
                rejected++;
                failLater(asked + MAX_QUEUE_MS, id);
                return;
            }
            busyUntil = begins + SERVICE_MS;
            boolean behind = asked >= BACK_AT_MS && Double.isNaN(updatedAt);
            double end = busyUntil + (behind ? 0 : waitMs);
            if (!behind && asked < DOWN_FROM_MS && end >= DOWN_FROM_MS) {
                // A watch call in flight fails when discovery goes down, or never gets an answer.
                if (outage != Outage.SILENT) {
                    failLater(DOWN_FROM_MS, id);
                }
                return;
            }
            schedule(end, () -> {
                if (open.remove(id)) {
                    updatedAt = behind && Double.isNaN(updatedAt) ? now : updatedAt;
                    schedule.answered(now, id, behind ? 2 : schedule.version(), behind);
                }
            });
        }
    }

    private List<Watcher> run(int watchers) {
        List<Watcher> all = new ArrayList<>();
        for (int i = 0; i < watchers; i++) {
            Watcher watcher = new Watcher(i);
            all.add(watcher);
            schedule(i * 10_000.0 / watchers, () -> watcher.schedule.watch(now, true));
        }
        for (Event event = events.poll(); event != null && event.at() < END_MS; event = events.poll()) {
            now = event.at();
            event.action().run();
        }
        return all;
    }

    @ParameterizedTest
    @EnumSource(Outage.class)
    void allWatchersAreUpdatedInTimeAfterAnOutageWithoutOverloadingDiscovery(Outage how) {
        outage = how;
        List<Watcher> all = run(300);
        double last = all.stream().mapToDouble(watcher -> watcher.updatedAt - BACK_AT_MS).max().orElseThrow();
        int back = (int) (BACK_AT_MS / 1_000);
        int before = calls.headMap(back).values().stream().max(Integer::compare).orElseThrow();
        int after = calls.tailMap(back).values().stream().max(Integer::compare).orElseThrow();
        String result = how + ": last update after " + last + " ms, calls per second "
                + calls + ", rejected " + rejected;
        if (Boolean.getBoolean("show")) {
            System.out.println(result);
        }
        // Also fails for NaN, the value of a watcher that was never updated.
        assertTrue(last < MAX_UPDATE_DELAY_MS - 500, result);
        assertEquals(0, rejected, result);
        assertTrue(after <= Math.max(before, all.size()), result);
    }
}
