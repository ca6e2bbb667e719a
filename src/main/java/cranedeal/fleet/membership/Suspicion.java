package cranedeal.fleet.membership;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The time that a member has to refute a suspicion: long while a single member suspects it, and shorter with
 * each independent confirmation (Lifeguard, the section on local health aware suspicion).
 */
final class Suspicion {

    private final double startedAt;
    private final double minMs;
    private final double maxMs;
    private final int confirmationsWanted;
    private final Set<String> suspectedBy = new LinkedHashSet<>();

    /**
     * Starts a suspicion held by one member.
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

    /** Adds a confirmation; returns true if it is new and shortens the timeout. */
    boolean confirm(String name) {
        return suspectedBy.size() <= confirmationsWanted && suspectedBy.add(name);
    }

    /** When the member is declared faulty. */
    double deadline() {
        if (confirmationsWanted == 0) {
            return startedAt + minMs;
        }
        double share = Math.log(suspectedBy.size()) / Math.log(confirmationsWanted + 1.0);
        return startedAt + Math.max(minMs, maxMs - (maxMs - minMs) * share);
    }
}
