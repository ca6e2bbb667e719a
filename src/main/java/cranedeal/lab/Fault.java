package cranedeal.lab;

import cranedeal.lab.link.Impairment;
import cranedeal.lab.process.DiskFault;
import java.util.Set;

/**
 * A fault or a planned operation that is injected while the load runs.
 *
 * @param number its index in the experiment
 * @param when when it begins
 * @param forMs its duration in milliseconds; 0 if it is over at once or lasts until the end
 * @param target the affected processes or upstreams: a name, or a prefix followed by {@code *}
 * @param from for links: the parties at the one end
 * @param to for links: the parties at the other end
 * @param oneWay for links: true if only the direction from {@code from} to {@code to} is affected
 * @param impairment for links: the impairment
 * @param amount for upstreams: the slowdown factor, or the share of failing requests
 * @param keepDisk true if a killed balancer starts with its disk as it is, and not with an empty one
 * @param damage the damage to its disk while it is down; null for none
 */
record Fault(int number, Kind kind, When when, double forMs, String target, String from, String to,
        boolean oneWay, Impairment impairment, double amount, boolean keepDisk,
        DiskFault damage) {

    /**
     * The begin of a fault.
     *
     * @param atMs milliseconds since the load began; if {@code process} is given, since its log held the text
     * @param process the process whose log is watched; null for none
     * @param says the text that its log must contain
     */
    record When(double atMs, String process, String says) { }

    /** The kinds of faults, each with its keys besides those for begin and duration. */
    enum Kind {
        /** SIGKILL to a balancer or an upstream, which is started again after the duration. */
        KILL(Set.of("target", "damage", "keep_disk")),
        /** SIGTERM to a balancer, which is started again when it has exited. */
        RESTART(Set.of("target")),
        /** Starts a new process beside a balancer's old one, which gets SIGTERM once the new one is ready. */
        UPGRADE(Set.of("target")),
        /** SIGSTOP, then SIGCONT after the duration. */
        PAUSE(Set.of("target")),
        /** SIGHUP. */
        HANGUP(Set.of("target")),
        /** A balancer's machine disappears without closing its connections, and returns later. */
        VANISH(Set.of("target")),
        /** A balancer's folder is read-only, across its restarts too. */
        READ_ONLY(Set.of("target")),
        /** A balancer's disk is full, across its restarts too. */
        DISK_FULL(Set.of("target")),
        /** Links pass nothing on. */
        CUT(Set.of("from", "to", "one_way")),
        /** Links have delay, jitter, loss or limited bandwidth. */
        IMPAIR(Set.of("from", "to", "one_way", "delay_ms", "jitter_ms", "loss", "bytes_per_s")),
        /** Two regions are partitioned: nothing passes between their members. */
        PART(Set.of("from", "to")),
        /** Resets all open connections of links. */
        RESET(Set.of("from", "to")),
        /** An upstream works more slowly. */
        SLOW(Set.of("target", "amount")),
        /** An upstream answers a share of its requests with 500 at once. */
        FAIL(Set.of("target", "amount")),
        /** An upstream drains, is replaced after the duration, and comes back cold. */
        REPLACE(Set.of("target"));

        final Set<String> keys;

        Kind(Set<String> keys) {
            this.keys = keys;
        }

        boolean ofLinks() {
            return keys.contains("from") && this != PART;
        }

        /** Returns true if the fault has a duration. */
        boolean lasts() {
            return this != RESTART && this != UPGRADE && this != HANGUP && this != RESET;
        }

        /** Returns true for disk faults, which may overlap with faults of the process. */
        boolean ofDisk() {
            return this == READ_ONLY || this == DISK_FULL;
        }

        boolean ofUpstreamsOnly() {
            return this == SLOW || this == FAIL || this == REPLACE;
        }

        boolean ofBalancersOnly() {
            return !ofLinks() && !ofUpstreamsOnly() && this != KILL && this != PART;
        }

        /** Returns true if the fault can target hollow balancers. */
        boolean ofHollow() {
            return this == KILL || this == RESTART;
        }
    }

    /** Returns true if a pattern matches the name of a party. */
    static boolean matches(String pattern, String name) {
        return pattern.endsWith("*") ? name.startsWith(pattern.substring(0, pattern.length() - 1))
                : pattern.equals(name);
    }

    /** Returns a short description. */
    String title() {
        return TomlTable.word(kind) + " " + (from != null ? from + (oneWay ? ">" : "-") + to : target);
    }
}
