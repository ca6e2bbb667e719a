package cranedeal.node.discovery;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Converts the start times of upstreams to the node's clock. Discovery lists them in Unix time, which may be
 * stepped, while the node's clock is monotonic. So the upstream's age is computed when its start time is
 * first listed, and the result is kept for later lists.
 */
public final class StartTimes {

    /**
     * Clocks that differ by less than this, in ms, count as equal, as they are not read at the same moment.
     */
    private static final double MAX_CLOCK_DIFFERENCE_MS = 1_000;
    /** The maximum number of upstreams remembered; the least recently listed ones are dropped. */
    private static final int MAX_ENTRIES = 10_000;

    /** A start time as listed, and by the node's clock. */
    private record Start(double listed, double at) { }

    private final Map<Long, Start> known = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Start> eldest) {
            return size() > MAX_ENTRIES;
        }
    };

    /**
     * Returns the start time of an upstream in ms of the node's clock.
     *
     * @param listed the start time as listed, in ms of Unix time; 0 for long ago
     * @param now the time of the node's clock
     * @param unix the Unix time at the same moment
     */
    public double toNodeClock(long upstream, double listed, double now, double unix) {
        Start previous = known.get(upstream);
        if (previous != null && previous.listed() == listed) {
            return previous.at();
        }
        double clockDifference = unix - now;
        double startedAt = listed == 0 || Math.abs(clockDifference) < MAX_CLOCK_DIFFERENCE_MS ? listed
                : Math.min(now, listed - clockDifference);
        known.put(upstream, new Start(listed, startedAt));
        return startedAt;
    }
}
