package cranedeal.lab;

import cranedeal.lab.link.Impairment;
import cranedeal.lab.process.DiskFault;
import java.util.Set;

/**
 * Something that goes wrong, or is done on purpose, while the load runs.
 *
 * @param number its place in the experiment
 * @param when when it begins
 * @param forMs how long it lasts, in milliseconds; 0 where it is over at once, or lasts to the end
 * @param target the processes or upstreams that it hits, as a name or with {@code *} at its end
 * @param from for links: the parties at their one end
 * @param to for links: the parties at their other end
 * @param oneWay for links: whether only what goes there is hit, and not what comes back
 * @param impairment for links: what is wrong with them
 * @param amount for upstreams: how many times slower, or which share fails
 * @param keepDisk whether a killed balancer starts on what its folder holds, and not on an empty one
 * @param damage what happens to that while it is down; null for nothing
 */
record Fault(int number, Kind kind, When when, double forMs, String target, String from, String to,
        boolean oneWay, Impairment impairment, double amount, boolean keepDisk,
        DiskFault damage) {

    /**
     * When it begins.
     *
     * @param atMs in milliseconds since the load began; or, if {@code process} is given, since that said so
     * @param process whose log is watched; null for none
     * @param says the text that its log must hold
     */
    record When(double atMs, String process, String says) { }

    /** What can go wrong, and which keys belong to it besides when and how long. */
    enum Kind {
        /** SIGKILL, to a balancer or an upstream; started again once the time is over. */
        KILL(Set.of("target", "damage", "keep_disk")),
        /** SIGTERM to a balancer, which is started again when it has ended. */
        RESTART(Set.of("target")),
        /** A new process beside a balancer's old one, which gets SIGTERM once the new one is ready. */
        UPGRADE(Set.of("target")),
        /** SIGSTOP and SIGCONT. */
        PAUSE(Set.of("target")),
        /** SIGHUP. */
        HANGUP(Set.of("target")),
        /** A balancer's machine is gone without a word, and back later. */
        VANISH(Set.of("target")),
        /** A balancer's folder can't be written to; over its restarts too. */
        READ_ONLY(Set.of("target")),
        /** A balancer's disk is full; over its restarts too. */
        DISK_FULL(Set.of("target")),
        /** Links are silent. */
        CUT(Set.of("from", "to", "one_way")),
        /** Links are bad. */
        IMPAIR(Set.of("from", "to", "one_way", "delay_ms", "jitter_ms", "loss", "bytes_per_s")),
        /** Two regions lose each other: nothing passes between their members. */
        PART(Set.of("from", "to")),
        /** All open connections of links are reset. */
        RESET(Set.of("from", "to")),
        /** An upstream is slower. */
        SLOW(Set.of("target", "amount")),
        /** An upstream answers 500 at once. */
        FAIL(Set.of("target", "amount")),
        /** An upstream drains, is replaced at the end, and comes back cold. */
        REPLACE(Set.of("target"));

        final Set<String> keys;

        Kind(Set<String> keys) {
            this.keys = keys;
        }

        boolean ofLinks() {
            return keys.contains("from") && this != PART;
        }

        /** Whether it needs an end. */
        boolean lasts() {
            return this != RESTART && this != UPGRADE && this != HANGUP && this != RESET;
        }

        /** Whether it is about a disk, which goes beside whatever happens to the process. */
        boolean ofDisk() {
            return this == READ_ONLY || this == DISK_FULL;
        }

        boolean ofUpstreamsOnly() {
            return this == SLOW || this == FAIL || this == REPLACE;
        }

        boolean ofBalancersOnly() {
            return !ofLinks() && !ofUpstreamsOnly() && this != KILL && this != PART;
        }

        /** Whether a hollow balancer can have it. */
        boolean ofHollow() {
            return this == KILL || this == RESTART;
        }
    }

    /** Whether a pattern names a party. */
    static boolean matches(String pattern, String name) {
        return pattern.endsWith("*") ? name.startsWith(pattern.substring(0, pattern.length() - 1))
                : pattern.equals(name);
    }

    /** What it is, in a few words. */
    String title() {
        return Table.word(kind) + " " + (from != null ? from + (oneWay ? ">" : "-") + to : target);
    }
}
