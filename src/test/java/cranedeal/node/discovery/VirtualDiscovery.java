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
     * @param inTurn whether it serves calls one at a time, including cancelled ones, each in
     *     {@code answerMs}; otherwise calls are served at once and each answer is delayed by {@code answerMs}
     */
    record Pace(boolean inTurn, double answerMs) { }

    private record Event(double at, long order, Runnable what) { }

    private record Waiting(Watcher watcher, long id, long index, Outcome fate) { }

    private final PriorityQueue<Event> events = new PriorityQueue<>(
            Comparator.comparingDouble(Event::at).thenComparingLong(Event::order));
    private final Pace pace;
    private final DoubleFunction<Outcome> fates;
    private final List<Waiting> waiting = new ArrayList<>();
    /** When each version was created. */
    private final Map<Long, Double> changes = new HashMap<>();
    final List<Watcher> watchers = new ArrayList<>();
    private long order;
    private double now;
    private double busyUntil;
    private long version = FIRST_VERSION;
    /** The time at which held-back answers arrive. */
    double heldUntil;
    long calls;

    /** Creates a discovery; {@code fates} returns what happens to a call sent at a given time. */
    VirtualDiscovery(Pace pace, DoubleFunction<Outcome> fates) {
        this.pace = pace;
        this.fates = fates;
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

    void at(double time, Runnable what) {
        events.add(new Event(time, order++, what));
    }

    /** Starts processes, spread evenly between 0 and {@code within}. */
    void start(int count, double within, IntToLongFunction seeds) {
        for (int i = 0; i < count; i++) {
            Watcher watcher = new Watcher(seeds.applyAsLong(i));
            watchers.add(watcher);
            watcher.startedAt = within * i / count;
            at(watcher.startedAt, () -> watcher.schedule.watch(now, true));
        }
    }

    void run(double until) {
        for (Event event = events.poll(); event != null && event.at() <= until; event = events.poll()) {
            now = event.at();
            event.what().run();
        }
        now = until;
    }

    /** Changes the list. */
    void change() {
        version++;
        changes.put(version, now);
        List<Waiting> all = List.copyOf(waiting);
        waiting.clear();
        all.forEach(this::answer);
    }

    private void serve(Waiting call, int waitMs) {
        if (version > call.index()) {
            answer(call);
            return;
        }
        waiting.add(call);
        at(now + waitMs, () -> {
            if (waiting.remove(call)) {
                answer(call);
            }
        });
    }

    /** Creates the answer from the current list; it arrives after the delay of the pace. */
    private void answer(Waiting call) {
        long told = version;
        at(now + (pace.inTurn() ? 0 : pace.answerMs()), () -> {
            Watcher watcher = call.watcher();
            switch (call.fate()) {
                case ANSWERED -> watcher.answered(call, told);
                case HELD -> at(Math.max(now, heldUntil), () -> watcher.answered(call, told));
                case HALF -> watcher.begun(call.id());
                case CUT -> {
                    watcher.begun(call.id());
                    at(now + 100, () -> watcher.failed(call.id()));
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
            Outcome fate = fates.apply(now);
            open.put(id, fate);
            maxInFlight = Math.max(maxInFlight, open.size());
            switch (fate) {
                case REFUSED -> at(now + 1, () -> failed(id));
                case NOT_CONNECTED -> at(now + CONNECT_TIMEOUT_MS, () -> failed(id));
                case RESET -> at(now + waitMs / 2.0, () -> failed(id));
                default -> {
                    Waiting call = new Waiting(this, id, index, fate);
                    busyUntil = Math.max(busyUntil, now) + (pace.inTurn() ? pace.answerMs() : 0);
                    at(pace.inTurn() ? busyUntil : now, () -> serve(call, waitMs));
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
                at(Math.max(now, at), () -> {
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

        private void begun(long id) {
            if (open.containsKey(id)) {
                schedule.answerStarted(now, id);
            }
        }

        private void answered(Waiting call, long told) {
            if (open.remove(call.id()) == null) {
                return;
            }
            answeredAt.add(now);
            boolean taken = schedule.accepts(call.id(), told, false);
            long before = schedule.version();
            for (long each = before + 1; taken && each <= told; each++) {
                inForce.put(each, now);
            }
            if (taken) {
                schedule.answered(now, call.id(), told, told > call.index());
            } else {
                schedule.outdated(now, call.id());
            }
        }
    }
}
