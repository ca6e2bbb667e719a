package cranedeal.node.discovery;

import cranedeal.node.log.RateLimitedLog;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;

/**
 * Metrics and log lines of the calls to discovery, and the age of the list in use. One thread updates them;
 * any thread may read the metrics.
 */
public final class DiscoveryMetrics {

    /** The age above which the list is stale: operators require that a change is known within this time. */
    private static final double STALE_MS = 6_000;

    private final DoubleSupplier clock;
    private final RateLimitedLog log;
    private final AtomicInteger inFlight = new AtomicInteger();
    private final AtomicLong bytes = new AtomicLong();
    private final AtomicLongArray ended = new AtomicLongArray(CallEnd.values().length);
    private volatile double confirmedAt;
    private volatile double maxAge;
    private volatile long version;

    /**
     * Creates metrics that count from now on; the clock is in milliseconds, log lines go to {@code lines}.
     */
    public DiscoveryMetrics(DoubleSupplier clock, long version, Consumer<String> lines) {
        this.clock = clock;
        this.version = version;
        log = new RateLimitedLog("discovery", clock, lines);
        confirmedAt = clock.getAsDouble();
    }

    /** A call was started. */
    public void callStarted() {
        inFlight.incrementAndGet();
    }

    /** A call has ended. */
    public void callEnded(CallRecord call) {
        inFlight.decrementAndGet();
        bytes.addAndGet(call.bytes());
        ended.incrementAndGet(call.end().ordinal());
        log.write(call::toLogLine);
    }

    /** The list in use has version {@code newVersion}, and was confirmed as the newest at time {@code at}. */
    public void listConfirmed(long newVersion, double at) {
        maxAge = Math.max(maxAge, age());
        confirmedAt = Math.max(confirmedAt, at);
        if (newVersion != version) {
            long before = version;
            log.write(() -> "discovery list version=" + newVersion + " before=" + before);
            version = newVersion;
        }
    }

    private double age() {
        return Math.max(0, clock.getAsDouble() - confirmedAt);
    }

    /** All metrics by name. */
    public Map<String, Long> values() {
        Map<String, Long> values = new LinkedHashMap<>();
        double age = age();
        values.put("list_age_ms", Math.round(age));
        values.put("list_age_longest_ms", Math.round(Math.max(maxAge, age)));
        values.put("list_stale", age > STALE_MS ? 1L : 0L);
        values.put("discovery_calls_out", (long) inFlight.get());
        values.put("discovery_bytes", bytes.get());
        for (CallEnd end : CallEnd.values()) {
            values.put("discovery_" + end.name().toLowerCase(Locale.ROOT), ended.get(end.ordinal()));
        }
        return values;
    }
}
