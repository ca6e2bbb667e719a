package cranedeal.fleet.config;

/** A token bucket with a burst capacity and a refill rate per second. */
final class TokenBucket {

    private static final double MS_PER_S = 1_000;

    private final double capacity;
    private final double refillPerMs;
    private double tokens;
    private double refilledAt = Double.NEGATIVE_INFINITY;

    TokenBucket(double capacity, double perSecond) {
        this.capacity = capacity;
        refillPerMs = perSecond / MS_PER_S;
        tokens = capacity;
    }

    /** Takes one token if available. */
    boolean take(double now) {
        refill(now);
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    /** Takes {@code amount} tokens if any are left; the balance may go negative. */
    boolean takeWithDebt(double now, double amount) {
        refill(now);
        if (tokens <= 0) {
            return false;
        }
        tokens -= amount;
        return true;
    }

    /** When the next token is available. */
    double nextAt(double now) {
        refill(now);
        return now + Math.max(0, 1 - tokens) / refillPerMs;
    }

    private void refill(double now) {
        if (now > refilledAt) {
            tokens = Double.isInfinite(refilledAt) ? capacity : Math.min(capacity,
                    tokens + (now - refilledAt) * refillPerMs);
            refilledAt = now;
        }
    }
}
