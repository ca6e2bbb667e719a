package cranedeal.lab;

import cranedeal.lab.link.Impairment;
import java.util.ArrayList;
import java.util.List;

/**
 * What makes a fleet larger than the machine that it is played on: balancers without a data path, and the
 * regions that its members are in.
 *
 * @param hollow how many hollow balancers there are, {@code h0} and so on
 * @param processes in how many processes they are
 * @param regions among how many regions the zones are dealt out in turn, {@code region-0} and so on
 * @param periodMs how often each member, real or hollow, probes another
 * @param delayMs how long a datagram takes from one region to another
 * @param jitterMs up to how much longer
 * @param loss the share of datagrams between regions that are lost
 */
record Scale(int hollow, int processes, int regions, int periodMs, double delayMs, double jitterMs,
        double loss, Bounds must) {

    /**
     * What control may cost a balancer and how long it may take, each a bound that asks nothing if it was not
     * given.
     *
     * @param coreShare the share of a core, on average
     * @param bytesPerS bytes sent and received, on average; {@code peakBytesPerS} in any one second
     * @param memoryMb its share of its process's resident memory, as a hollow one
     * @param viewsMs how long after a fault begins or ends all views are right
     * @param alike by which share what a hollow one sends may differ from what a real one sends
     */
    record Bounds(double coreShare, double bytesPerS, double peakBytesPerS, double memoryMb, double viewsMs,
            double alike) { }

    static final Scale NONE = new Scale(0, 0, 1, 0, 0, 0, 0, new Bounds(Double.POSITIVE_INFINITY,
            Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY,
            Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY));

    List<String> regionNames() {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < regions; i++) {
            names.add("region-" + i);
        }
        return names;
    }

    /** What lies between two regions while nothing else is wrong. */
    Impairment betweenRegions() {
        return new Impairment(false, delayMs, jitterMs, loss, 0, 0, 0);
    }
}
