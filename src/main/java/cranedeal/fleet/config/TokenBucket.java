package cranedeal.fleet.config;

/** A token bucket: how much may be spent at once, and how much a second over time. */
final class TokenBucket {

    private static final double MS_PER_S = 1_000;

    private final double most;
    private final double perMs;
    private double tokens;
    private double at = Double.NEGATIVE_INFINITY;

    TokenBucket(double most, double perSecond) {
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

    /** Takes so many if there is any left, and owes those that there are not. */
    boolean takeAll(double now, double amount) {
        refill(now);
        if (tokens <= 0) {
            return false;
        }
        tokens -= amount;
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
