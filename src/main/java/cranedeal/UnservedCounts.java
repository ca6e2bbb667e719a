package cranedeal;

/** Counts the refused and failed requests since the start, by reason. */
final class UnservedCounts {

    private long shed;
    private long noUpstream;
    private long attemptsFailed;

    /** Counts a request that the load shedding refused on arrival. */
    void shed() {
        shed++;
    }

    /** Counts a request that was not served after the given number of attempts. */
    void unserved(int attempts) {
        if (attempts == 0) {
            noUpstream++;
        } else {
            attemptsFailed++;
        }
    }

    /** Returns the current counts. */
    LoadBalancer.Unserved snapshot() {
        return new LoadBalancer.Unserved(shed, noUpstream, attemptsFailed);
    }
}
