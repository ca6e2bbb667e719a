package cranedeal.fleet.config;

/** A token bucket: how many calls may be made at once, and how many a second over time. */
final class CallBudget {

    private static final double MS_PER_S = 1_000;

    private final double most;
    private final double perMs;
    private double tokens;
    private double at = Double.NEGATIVE_INFINITY;

    CallBudget(double most, double perSecond) {
        this.most = most;
        perMs = perSecond / MS_PER_S;
        tokens = most;
    }

    /** Takes one, if there is one. */
    boolean take(double now) {
        refill(now);
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    /** When there is one again. */
    double nextAt(double now) {
        refill(now);
        return now + Math.max(0, 1 - tokens) / perMs;
    }

    private void refill(double now) {
        if (now > at) {
            tokens = Double.isInfinite(at) ? most : Math.min(most, tokens + (now - at) * perMs);
            at = now;
        }
    }
}
