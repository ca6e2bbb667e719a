package cranedeal.fleet.membership;

/**
 * Tuning of the membership protocol. All times are in milliseconds and derived from the probe period.
 *
 * @param periodMs the interval at which each member probes another one
 * @param forgetMs how long a member that is faulty or has left is remembered
 * @param maxMembers the largest number of other members in a view
 * @param lifeguard whether local health, independent confirmations and notifying the suspect are enabled
 *     (Dadgar, Phillips and Currey, Lifeguard: Local Health Awareness for More Accurate Failure Detection,
 *     2018); without them it is SWIM as published, for comparison
 * @param detectsPauses whether a process that was stopped (paused) treats its timers as stopped too
 */
public record Settings(double periodMs, double forgetMs, int maxMembers, boolean lifeguard,
        boolean detectsPauses) {

    /** The default settings. */
    public static final Settings DEFAULTS = new Settings(1_000, 24 * 3_600_000.0, 10_000, true, true);

    /** How many helpers probe a member that did not answer a direct ping. */
    static final int INDIRECT_PROBES = 3;
    /** How many independent confirmations shorten a suspicion to its minimum. */
    static final int CONFIRMATIONS = 3;
    /** How many members receive updates in one gossip round. */
    static final int FAN_OUT = 3;
    /** The expected number of members that probe a newly suspected member themselves. */
    static final double CONFIRMING_PROBES = 2.0 * CONFIRMATIONS;
    /**
     * An update is sent this factor times the decimal logarithm of the number of members. Changes of presence
     * have to reach all members; a suspicion or refutation may miss one, which then asks the suspect itself.
     */
    private static final double SENDS_FACTOR = 3;
    private static final double SUSPICION_SENDS_FACTOR = 2;
    /** Minimum suspicion time in periods, times that logarithm, and never below one period. */
    private static final double MIN_SUSPICION_FACTOR = 0.5;
    private static final double MAX_SUSPICION_FACTOR = 5;

    /** Throws {@link IllegalArgumentException} for values out of range. */
    public Settings {
        if (!(periodMs >= 10 && periodMs <= 600_000) || !(forgetMs >= periodMs) || maxMembers < 1) {
            throw new IllegalArgumentException("a probe period of " + periodMs + " ms, forgotten after "
                    + forgetMs + " ms, " + maxMembers + " members");
        }
    }

    /** How long a direct answer is awaited before helpers are asked. */
    double directTimeoutMs() {
        return 0.25 * periodMs;
    }

    /** How long a helper waits for the third member's answer before it sends a NACK. */
    double relayTimeoutMs() {
        return 0.3 * periodMs;
    }

    /** After this time a probe without an answer has failed. */
    double probeTimeoutMs() {
        return 0.7 * periodMs;
    }

    /** The interval of gossip rounds while updates are queued. */
    double gossipIntervalMs() {
        return 0.1 * periodMs;
    }

    /** The interval at which faulty members are pinged. */
    double faultyRetryMs() {
        return 2 * periodMs;
    }

    /** The interval at which a member that knows others pings seeds that are not members. */
    double seedRetryMs() {
        return 30 * periodMs;
    }

    /** How long after its start a process may take over its name from another address. */
    double joinWindowMs() {
        return 10 * periodMs;
    }

    /** The minimum time between two full exchanges started by this member. */
    double minSyncIntervalMs() {
        return 0.5 * periodMs;
    }

    /** How long a view has to be stable before a digest mismatch is not blamed on updates in transit. */
    double settleMs() {
        return 2 * periodMs;
    }

    /** A member that receives nothing for this time is isolated, without probing each other member. */
    double silenceTimeoutMs() {
        return 10 * periodMs;
    }

    /** A timer this late means that the process was stopped. */
    double pauseThresholdMs() {
        return 0.2 * periodMs;
    }

    /** How often an update is sent in a fleet of {@code members}. */
    static int maxSends(int members, boolean important) {
        return (int) Math.ceil((important ? SENDS_FACTOR
                : SUSPICION_SENDS_FACTOR) * Math.log10(members + 1.0));
    }

    /** In how many gossip rounds a member announces a new configuration version. */
    static int noticeRounds(int members) {
        return 1 + (int) Math.ceil(Math.log10(members + 1.0));
    }

    /** The minimum duration of a suspicion. */
    double minSuspicionMs(int members) {
        return periodMs * Math.max(1, MIN_SUSPICION_FACTOR * Math.log10(members));
    }

    /** The duration of a suspicion without confirmations. */
    double maxSuspicionMs(int members) {
        return (lifeguard ? MAX_SUSPICION_FACTOR : 1) * minSuspicionMs(members);
    }
}
