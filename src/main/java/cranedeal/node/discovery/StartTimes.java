package cranedeal.node.discovery;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * When upstreams have started, by the node's clock. Discovery has it in Unix time, which may be stepped while
 * the node's clock runs on evenly; so it is taken by the age that it means at the moment of the first list
 * that has it, and stays so in later lists.
 */
public final class StartTimes {

    /** Clocks that differ by less than this, in ms, are the same: they are read one after the other. */
    private static final double SAME_MS = 1_000;
    /** Upstreams that are remembered, those listed last. */
    private static final int MOST_KNOWN = 10_000;

    /** A start as listed, and by the node's clock. */
    private record Start(double listed, double at) { }

    private final Map<Long, Start> known = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Start> eldest) {
            return size() > MOST_KNOWN;
        }
    };

    /**
     * When an upstream has started, in ms of the node's clock.
     *
     * @param listed as discovery has it, in ms of Unix time; 0 for long ago
     * @param now the node's clock
     * @param unix the Unix time at the same moment
     */
    public double of(long upstream, double listed, double now, double unix) {
        Start before = known.get(upstream);
        if (before != null && before.listed() == listed) {
            return before.at();
        }
        double stepped = unix - now;
        double at = listed == 0 || Math.abs(stepped) < SAME_MS ? listed : Math.min(now, listed - stepped);
        known.put(upstream, new Start(listed, at));
        return at;
    }
}
