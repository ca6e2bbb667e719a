package cranedeal.fleet.membership;

/**
 * The local health multiplier of Lifeguard. A member that misses expected answers extends its timeouts for
 * the other members, since the slow one may be itself.
 */
final class LocalHealth {

    private static final int MAX_SCORE = 8;

    private final boolean enabled;
    private int score;

    LocalHealth(boolean inUse) {
        this.enabled = inUse;
    }

    /** The factor on probe timeouts; 1 in good health. */
    int multiplier() {
        return 1 + score;
    }

    void worsen(int points) {
        if (enabled) {
            score = Math.min(MAX_SCORE, score + points);
        }
    }

    void improve() {
        score = Math.max(0, score - 1);
    }
}
