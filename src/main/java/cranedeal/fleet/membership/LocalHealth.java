package cranedeal.fleet.membership;

/**
 * How far this member distrusts itself: the local health multiplier of Lifeguard. A member that does not get
 * the answers it should have got gives the others more time, since it may be itself what is slow.
 */
final class LocalHealth {

    private static final int MAX_SCORE = 8;

    private final boolean enabled;
    private int score;

    LocalHealth(boolean inUse) {
        this.enabled = inUse;
    }

    /** By what probes take longer than in good health. */
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
