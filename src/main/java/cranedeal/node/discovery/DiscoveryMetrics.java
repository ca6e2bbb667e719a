package cranedeal.node.discovery;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;

/**
 * What is counted and logged of the calls to discovery, and how old the list in use is. One thread tells what
 * happens; any thread may read.
 */
public final class DiscoveryMetrics {

    /** By then a change counts as told, by the operators' terms. */
    private static final double STALE_MS = 6_000;

    private final DoubleSupplier clock;
    private final RateLimitedLog log;
    private final AtomicInteger out = new AtomicInteger();
    private final AtomicLong bytes = new AtomicLong();
    private final AtomicLongArray ended = new AtomicLongArray(CallEnd.values().length);
    private volatile double confirmedAt;
    private volatile double oldest;
    private volatile long version;

    /** Figures from now on, by a clock in milliseconds; lines of a log go to {@code lines}. */
    public DiscoveryMetrics(DoubleSupplier clock, long version, Consumer<String> lines) {
        this.clock = clock;
        this.version = version;
        log = new RateLimitedLog(clock, lines);
        confirmedAt = clock.getAsDouble();
    }

    /** A call was begun. */
    public void begun() {
        out.incrementAndGet();
    }

    /** A call has ended. */
    public void ended(CallRecord call) {
        out.decrementAndGet();
        bytes.addAndGet(call.bytes());
        ended.incrementAndGet(call.end().ordinal());
        log.write(call.text());
    }

    /** The list in use is of a version, and was the newest at a time. */
    public void confirmed(long newVersion, double at) {
        oldest = Math.max(oldest, age());
        confirmedAt = Math.max(confirmedAt, at);
        if (newVersion != version) {
            log.write("discovery list version=" + newVersion + " before=" + version);
            version = newVersion;
        }
    }

    private double age() {
        return Math.max(0, clock.getAsDouble() - confirmedAt);
    }

    /** All figures by name. */
    public Map<String, Long> values() {
        Map<String, Long> values = new LinkedHashMap<>();
        double age = age();
        values.put("list_age_ms", Math.round(age));
        values.put("list_age_longest_ms", Math.round(Math.max(oldest, age)));
        values.put("list_stale", age > STALE_MS ? 1L : 0L);
        values.put("discovery_calls_out", (long) out.get());
        values.put("discovery_bytes", bytes.get());
        for (CallEnd end : CallEnd.values()) {
            values.put("discovery_" + end.name().toLowerCase(Locale.ROOT), ended.get(end.ordinal()));
        }
        return values;
    }
}
