package cranedeal.fleet.membership;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * How long a member has to contradict a suspicion: long while one member alone suspects it, and the shorter
 * the more do so independently (Lifeguard, the section on local health aware suspicion).
 */
final class Suspicion {

    private final double startedAt;
    private final double minMs;
    private final double maxMs;
    private final int confirmationsWanted;
    private final Set<String> suspectedBy = new LinkedHashSet<>();

    /**
     * A suspicion that one member has.
     *
     * @param confirmationsWanted the confirmations that shorten the timeout to its minimum; 0 if no
     *     other member could give one
     */
    Suspicion(double startedAt, double minMs, double maxMs, int confirmationsWanted, String suspectedBy) {
        this.startedAt = startedAt;
        this.minMs = minMs;
        this.maxMs = maxMs;
        this.confirmationsWanted = confirmationsWanted;
        this.suspectedBy.add(suspectedBy);
    }

    /** Whether this is a confirmation that counts. */
    boolean confirm(String name) {
        return suspectedBy.size() <= confirmationsWanted && suspectedBy.add(name);
    }

    /** When the member is taken for dead. */
    double deadline() {
        if (confirmationsWanted == 0) {
            return startedAt + minMs;
        }
        double share = Math.log(suspectedBy.size()) / Math.log(confirmationsWanted + 1.0);
        return startedAt + Math.max(minMs, maxMs - (maxMs - minMs) * share);
    }
}
