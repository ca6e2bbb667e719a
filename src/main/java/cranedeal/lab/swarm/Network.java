package cranedeal.lab.swarm;

/**
 * The faults of the network between the members of a swarm, and of slow members.
 *
 * @param loss the share of datagrams that are lost
 * @param duplicate the share of datagrams that are delivered twice
 * @param delayMs the minimum delay of a datagram, in milliseconds
 * @param jitterMs the maximum additional delay, in milliseconds; datagrams may be reordered within it
 * @param slow the share of slow members, which alternate between stopped and running
 * @param stoppedMs how long a slow member is stopped at a time, in milliseconds
 * @param runningMs how long it runs in between, in milliseconds
 */
public record Network(double loss, double duplicate, double delayMs, double jitterMs, double slow,
        double stoppedMs, double runningMs) {

    /** A network without loss and without slow members. */
    public static final Network GOOD = new Network(0, 0, 0.2, 1, 0, 0, 0);

    /** Throws {@link IllegalArgumentException} for shares outside 0 to 1 and invalid times. */
    public Network {
        for (double share : new double[] {loss, duplicate, slow}) {
            if (!(share >= 0 && share <= 1)) {
                throw new IllegalArgumentException(share + " is not a share between 0 and 1");
            }
        }
        if (!(delayMs >= 0 && jitterMs >= 0 && stoppedMs >= 0 && runningMs >= 0)
                || slow > 0 && !(stoppedMs > 0 && runningMs > 0)) {
            throw new IllegalArgumentException("times below 0, or slow members that never stop or never run");
        }
    }

    /** Returns a copy with a different loss. */
    public Network losing(double share) {
        return new Network(share, duplicate, delayMs, jitterMs, slow, stoppedMs, runningMs);
    }

    /** Returns a copy with slow members. */
    public Network slowing(double share, double stopped, double running) {
        return new Network(loss, duplicate, delayMs, jitterMs, share, stopped, running);
    }
}
