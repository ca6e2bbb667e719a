package cranedeal.node.discovery;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.DoubleFunction;
import java.util.function.IntToLongFunction;

/**
 * Simulates processes that watch one discovery in virtual time; calls, connections and answers are events.
 */
final class VirtualDiscovery {

    static final int MAX_WAIT_MS = 2_500;
    private static final double CONNECT_TIMEOUT_MS = 1_000;
    private static final long FIRST_VERSION = 41;

    /** What happens to a call. */
    enum Outcome { ANSWERED, SILENT, HALF, CUT, RESET, REFUSED, NOT_CONNECTED, HELD }

    /**
     * How fast discovery answers.
     *
     * @param serial whether it serves calls one at a time, including cancelled ones, each in
     *     {@code answerMs}; otherwise calls are served at once and each answer is delayed by {@code answerMs}
     */
    record Speed(boolean serial, double answerMs) { }

    private record Event(double at, long sequence, Runnable action) { }

    private record PendingCall(Watcher watcher, long id, long index, Outcome outcome) { }

    private final PriorityQueue<Event> events = new PriorityQueue<>(
            Comparator.comparingDouble(Event::at).thenComparingLong(Event::sequence));
    private final Speed speed;
    private final DoubleFunction<Outcome> outcomes;
    private final List<PendingCall> pendingCalls = new ArrayList<>();
    /** When each version was created. */
    private final Map<Long, Double> changes = new HashMap<>();
    final List<Watcher> watchers = new ArrayList<>();
    private long nextSequence;
    private double now;
    private double busyUntil;
    private long version = FIRST_VERSION;
    /** The time at which held-back answers arrive. */
    double heldUntil;
    long calls;

    /** Creates a discovery; {@code fates} returns what happens to a call sent at a given time. */
    VirtualDiscovery(Speed pace, DoubleFunction<Outcome> fates) {
        this.speed = pace;
        this.outcomes = fates;
        changes.put(version, Double.NEGATIVE_INFINITY);
    }

    double now() {
        return now;
    }

    long version() {
        return version;
    }

    /** When a version was created, in ms. */
    double changedAt(long which) {
        return changes.get(which);
    }

    void schedule(double time, Runnable action) {
        events.add(new Event(time, nextSequence++, action));
    }

    /** Starts processes, spread evenly between 0 and {@code within}. */
    void start(int count, double within, IntToLongFunction seeds) {
        for (int i = 0; i < count; i++) {
            Watcher watcher = new Watcher(seeds.applyAsLong(i));
            watchers.add(watcher);
            watcher.startedAt = within * i / count;
            schedule(watcher.startedAt, () -> watcher.schedule.watch(now, true));
        }
    }

    void run(double until) {
        for (Event event = events.poll(); event != null && event.at() <= until; event = events.poll()) {
            now = event.at();
            event.action().run();
        }
        now = until;
    }

    /** Changes the list. */
    void change() {
        version++;
        changes.put(version, now);
        List<PendingCall> all = List.copyOf(pendingCalls);
        pendingCalls.clear();
        all.forEach(this::answer);
    }

    private void serve(PendingCall call, int waitMs) {
        if (version > call.index()) {
            answer(call);
            return;
        }
        pendingCalls.add(call);
        schedule(now + waitMs, () -> {
            if (pendingCalls.remove(call)) {
                answer(call);
            }
        });
    }

    /** Creates the answer from the current list; it arrives after the delay of the pace. */
    private void answer(PendingCall call) {
        long answeredVersion = version;
        schedule(now + (speed.serial() ? 0 : speed.answerMs()), () -> {
            Watcher watcher = call.watcher();
            switch (call.outcome()) {
                case ANSWERED -> watcher.answered(call, answeredVersion);
                case HELD -> schedule(Math.max(now, heldUntil),
                        () -> watcher.answered(call, answeredVersion));
                case HALF -> watcher.answerStarted(call.id());
                case CUT -> {
                    watcher.answerStarted(call.id());
                    schedule(now + 100, () -> watcher.failed(call.id()));
                }
                default -> { }
            }
        });
    }

    /** One process. */
    final class Watcher implements WatchSchedule.Actions {

        final WatchSchedule schedule;
        private final Map<Long, Outcome> open = new HashMap<>();
        /** When each version came into force. */
        final Map<Long, Double> inForce = new HashMap<>();
        /** When answers arrived, accepted or not. */
        final List<Double> answeredAt = new ArrayList<>();
        double startedAt;
        int maxInFlight;
        private double wakeAt;

        Watcher(long seed) {
            schedule = new WatchSchedule(this, MAX_WAIT_MS, FIRST_VERSION, seed);
        }

        @Override
        public void call(long id, long index, int waitMs) {
            calls++;
            Outcome fate = outcomes.apply(now);
            open.put(id, fate);
            maxInFlight = Math.max(maxInFlight, open.size());
            switch (fate) {
                case REFUSED -> schedule(now + 1, () -> failed(id));
                case NOT_CONNECTED -> schedule(now + CONNECT_TIMEOUT_MS, () -> failed(id));
                case RESET -> schedule(now + waitMs / 2.0, () -> failed(id));
                default -> {
                    PendingCall call = new PendingCall(this, id, index, fate);
                    busyUntil = Math.max(busyUntil, now) + (speed.serial() ? speed.answerMs() : 0);
                    schedule(speed.serial() ? busyUntil : now, () -> serve(call, waitMs));
                }
            }
        }

        @Override
        public void cancel(long id, CallEnd why) {
            open.remove(id);
        }

        @Override
        public void wakeAt(double at) {
            wakeAt = at;
            if (at < Double.POSITIVE_INFINITY) {
                schedule(Math.max(now, at), () -> {
                    if (wakeAt == at) {
                        schedule.timer(now);
                    }
                });
            }
        }

        private void failed(long id) {
            if (open.remove(id) != null) {
                schedule.failed(now, id);
            }
        }

        private void answerStarted(long id) {
            if (open.containsKey(id)) {
                schedule.answerStarted(now, id);
            }
        }

        private void answered(PendingCall call, long answeredVersion) {
            if (open.remove(call.id()) == null) {
                return;
            }
            answeredAt.add(now);
            boolean accepted = schedule.accepts(call.id(), answeredVersion, false);
            long before = schedule.version();
            for (long each = before + 1; accepted && each <= answeredVersion; each++) {
                inForce.put(each, now);
            }
            if (accepted) {
                schedule.answered(now, call.id(), answeredVersion, answeredVersion > call.index());
            } else {
                schedule.outdated(now, call.id());
            }
        }
    }
}
