package cranedeal.lab.standin;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The keys that the upstreams of one cell have seen: a request's repeat is thrown away there, and answered
 * when the first is done. Its upstreams run on several loops, so it is locked. Times are milliseconds.
 */
public final class SeenKeys {

    /** Beyond it the oldest are forgotten early. */
    private static final int MOST = 100_000;

    private record Seen(double at, double doneAt) { }

    private final double memoryMs;
    private final Map<String, Seen> seen = new LinkedHashMap<>();

    /** Keys are remembered for so long from when they are first seen. */
    public SeenKeys(double memoryMs) {
        this.memoryMs = memoryMs;
    }

    /** Remembers a key whose work will be done at a time. */
    synchronized void add(String key, double now, double doneAt) {
        forget(now);
        seen.putIfAbsent(key, new Seen(now, doneAt));
    }

    /** When the work of a key that was seen is done; NaN if it was not seen, or too long ago. */
    synchronized double doneAt(String key, double now) {
        forget(now);
        Seen earlier = seen.get(key);
        return earlier == null ? Double.NaN : earlier.doneAt();
    }

    private void forget(double now) {
        Iterator<Seen> oldest = seen.values().iterator();
        while (oldest.hasNext() && (oldest.next().at() + memoryMs <= now || seen.size() > MOST)) {
            oldest.remove();
        }
    }
}
