package cranedeal.fleet.membership;

import java.util.Comparator;
import java.util.PriorityQueue;

/** A queue of tasks ordered by due time. */
final class Timers {

    private record Timer(double due, long sequence, Runnable task) { }

    private final PriorityQueue<Timer> queue = new PriorityQueue<>(
            Comparator.comparingDouble(Timer::due).thenComparingLong(Timer::sequence));
    private long nextSequence;

    void schedule(double due, Runnable task) {
        queue.add(new Timer(due, nextSequence++, task));
    }

    /** The due time of the next task; infinite if there is none. */
    double nextDue() {
        return queue.isEmpty() ? Double.POSITIVE_INFINITY : queue.peek().due();
    }

    /** Runs one due task; returns false if none is due. */
    boolean runNextDue(double now) {
        if (nextDue() > now) {
            return false;
        }
        queue.poll().task().run();
        return true;
    }

    void clear() {
        queue.clear();
    }
}
