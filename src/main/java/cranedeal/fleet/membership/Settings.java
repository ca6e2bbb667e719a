package cranedeal.fleet.membership;

/**
 * How a member goes about it. All times are in milliseconds and follow from the probe period.
 *
 * @param periodMs each member probes another one so often
 * @param forgetMs after this time nothing is known any more of a member that is faulty or has left
 * @param maxMembers how many others are known at most
 * @param lifeguard whether local health, independent confirmations and telling the suspect are in use
 *     (Dadgar, Phillips and Currey, Lifeguard: Local Health Awareness for More Accurate Failure Detection,
 *     2018); without them it is SWIM as published, for comparison
 * @param detectsPauses whether a process that was stopped takes its timers for stopped too
 */
public record Settings(double periodMs, double forgetMs, int maxMembers, boolean lifeguard,
        boolean detectsPauses) {

    /** Usual settings. */
    public static final Settings DEFAULTS = new Settings(1_000, 24 * 3_600_000.0, 10_000, true, true);

    /** Through how many others a member is probed that does not answer. */
    static final int INDIRECT_PROBES = 3;
    /** How many independent confirmations shorten a suspicion to its least. */
    static final int CONFIRMATIONS = 3;
    /** To how many members news is sent at a time. */
    static final int FAN_OUT = 3;
    /** How many second opinions are wanted of a suspicion that is new. */
    static final double CONFIRMING_PROBES = 2.0 * CONFIRMATIONS;
    /**
     * News is sent so many times the decimal logarithm of the number of members: who is there has to reach
     * everybody; a suspicion and what contradicts it may miss one, who then asks the suspect itself.
     */
    private static final double SENDS_FACTOR = 3;
    private static final double SUSPICION_SENDS_FACTOR = 2;
    /** The least time of a suspicion, in periods, times that logarithm; it is never less than a period. */
    private static final double MIN_SUSPICION_FACTOR = 0.5;
    private static final double MAX_SUSPICION_FACTOR = 5;

    /** Throws {@link IllegalArgumentException} for what no member can go by. */
    public Settings {
        if (!(periodMs >= 10 && periodMs <= 600_000) || !(forgetMs >= periodMs) || maxMembers < 1) {
            throw new IllegalArgumentException("a probe period of " + periodMs + " ms, forgotten after "
                    + forgetMs + " ms, " + maxMembers + " members");
        }
    }

    /** Until when an answer is awaited before others are asked. */
    double directTimeoutMs() {
        return 0.25 * periodMs;
    }

    /** Until when those whom a probe asks have to answer. */
    double relayTimeoutMs() {
        return 0.3 * periodMs;
    }

    /** When a probe without an answer has failed. */
    double probeTimeoutMs() {
        return 0.7 * periodMs;
    }

    /** How often news goes out while there is any. */
    double gossipIntervalMs() {
        return 0.1 * periodMs;
    }

    /** How often faulty members are tried. */
    double faultyRetryMs() {
        return 2 * periodMs;
    }

    /** How often seeds are tried that are no members, by one that has found others. */
    double seedRetryMs() {
        return 30 * periodMs;
    }

    /** How long a new process may take over its name from another address. */
    double joinWindowMs() {
        return 10 * periodMs;
    }

    /** The least time between two full exchanges that this member begins. */
    double minSyncIntervalMs() {
        return 0.5 * periodMs;
    }

    /** How long a view has to stay as it is before a difference is more than news on its way. */
    double settleMs() {
        return 2 * periodMs;
    }

    /** Who hears nobody for so long is cut off, and need not find that out one by one. */
    double silenceTimeoutMs() {
        return 10 * periodMs;
    }

    /** A timer that is so late tells that the process was stopped. */
    double pauseThresholdMs() {
        return 0.2 * periodMs;
    }

    /** How often news is sent on, in a fleet of {@code members}. */
    static int maxSends(int members, boolean important) {
        return (int) Math.ceil((important ? SENDS_FACTOR
                : SUSPICION_SENDS_FACTOR) * Math.log10(members + 1.0));
    }

    /** In how many rounds of news a member tells of a version of the configuration that it has now. */
    static int noticeRounds(int members) {
        return 1 + (int) Math.ceil(Math.log10(members + 1.0));
    }

    /** How long a suspicion lasts at least. */
    double minSuspicionMs(int members) {
        return periodMs * Math.max(1, MIN_SUSPICION_FACTOR * Math.log10(members));
    }

    /** How long a suspicion lasts that nobody else shares. */
    double maxSuspicionMs(int members) {
        return (lifeguard ? MAX_SUSPICION_FACTOR : 1) * minSuspicionMs(members);
    }
}
