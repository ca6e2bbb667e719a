package cranedeal;

/** Counts the requests that were refused or failed since the start, by reason. */
final class UnservedCounts {

    private long shed;
    private long noUpstream;
    private long attemptsFailed;

    /** A request was refused on arrival, as the load shedding has it. */
    void shed() {
        shed++;
    }

    /** A request could not be served, after so many attempts. */
    void unserved(int attempts) {
        if (attempts == 0) {
            noUpstream++;
        } else {
            attemptsFailed++;
        }
    }

    /** What has been counted so far. */
    LoadBalancer.Unserved snapshot() {
        return new LoadBalancer.Unserved(shed, noUpstream, attemptsFailed);
    }
}
