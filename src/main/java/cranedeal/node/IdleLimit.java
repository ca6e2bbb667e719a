package cranedeal.node;

/**
 * Learns for how long a connection to an upstream may have been idle and still be reused. The settings hold
 * an upper bound for when upstreams close idle connections. Some close them far sooner, and a request that
 * crosses the close may have run. Times are in ms of one clock.
 */
final class IdleLimit {

    /** Fraction of an upstream's idle limit after which this side closes a connection. */
    private static final double IDLE_LIMIT_FRACTION = 0.7;
    /** Two resets this close together teach a lower idle limit, which then doubles each time this passes. */
    private static final double RESET_WINDOW_MS = 30_000;

    /** The idle limit of the settings. */
    private double configuredIdle;
    /** Limit on the idle time of reused connections, learned from resets, and when it was learned. */
    private double learnedLimit = Double.POSITIVE_INFINITY;
    private double learnedAt;
    /** The last reset of a reused connection: its upstream, when, and how long it had been idle before. */
    private Object lastResetUpstream;
    private double lastResetAt = Double.NEGATIVE_INFINITY;
    private double lastResetIdleMs;

    /** Sets the time after which upstreams close idle connections, by the settings. */
    void configure(double connectionIdle) {
        configuredIdle = connectionIdle;
    }

    /** Returns how long a connection may have been idle and still be reused. */
    double maxIdleMs(double now) {
        double decayedLimit = learnedLimit * Math.pow(2, (now - learnedAt) / RESET_WINDOW_MS);
        return Math.min(decayedLimit, IDLE_LIMIT_FRACTION * configuredIdle);
    }

    /**
     * Lowers the limit when two upstreams reset reused connections at about the same time: they seem to close
     * idle connections early. A single upstream that does so may have crashed.
     */
    void recordReset(Object upstream, double idleMs, double now) {
        if (upstream != lastResetUpstream && now < lastResetAt + RESET_WINDOW_MS) {
            learnedLimit = Math.min(maxIdleMs(now), Math.max(idleMs, lastResetIdleMs) / 2);
            learnedAt = now;
        }
        lastResetUpstream = upstream;
        lastResetAt = now;
        lastResetIdleMs = idleMs;
    }
}
