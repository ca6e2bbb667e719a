package cranedeal.lab.standin;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The idempotency keys that the upstreams of one cell have seen. A repeated request does no work there and is
 * answered when the first one is done. The upstreams run on several event loops, so access is synchronized.
 * Times are in milliseconds.
 */
public final class SeenKeys {

    /** Beyond this number the oldest keys are dropped before they expire. */
    private static final int MAX_KEYS = 100_000;

    private record Seen(double at, double doneAt) { }

    private final double memoryMs;
    private final Map<String, Seen> seen = new LinkedHashMap<>();

    /** Keeps each key for {@code memoryMs} milliseconds after it was first seen. */
    public SeenKeys(double memoryMs) {
        this.memoryMs = memoryMs;
    }

    /** Records a key whose work will be done at {@code doneAt}. */
    synchronized void add(String key, double now, double doneAt) {
        forget(now);
        seen.putIfAbsent(key, new Seen(now, doneAt));
    }

    /** Returns the time at which a key's work is done, or NaN if the key is unknown or expired. */
    synchronized double doneAt(String key, double now) {
        forget(now);
        Seen earlier = seen.get(key);
        return earlier == null ? Double.NaN : earlier.doneAt();
    }

    private void forget(double now) {
        Iterator<Seen> oldest = seen.values().iterator();
        while (oldest.hasNext() && (oldest.next().at() + memoryMs <= now || seen.size() > MAX_KEYS)) {
            oldest.remove();
        }
    }
}
