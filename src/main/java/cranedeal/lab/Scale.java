package cranedeal.lab;

import cranedeal.lab.link.Impairment;
import java.util.ArrayList;
import java.util.List;

/**
 * The parts of a fleet that is larger than the machine of the experiment: hollow balancers, which have no
 * data path, and the regions of the members.
 *
 * @param hollow the number of hollow balancers, named {@code h0} and so on
 * @param processes the number of processes that run them
 * @param regions the number of regions, {@code region-0} and so on; zones are assigned to them in turn
 * @param periodMs the interval at which each member, real or hollow, probes another
 * @param delayMs the delay of a datagram from one region to another
 * @param jitterMs the maximum additional delay
 * @param loss the share of datagrams between regions that are lost
 */
record Scale(int hollow, int processes, int regions, int periodMs, double delayMs, double jitterMs,
        double loss, Bounds must) {

    /**
     * Upper bounds on the cost and the delay of control traffic. A bound that was not given is always kept.
     *
     * @param coreShare the mean share of a core per balancer
     * @param bytesPerS the mean bytes sent and received per second and balancer
     * @param peakBytesPerS the bytes sent and received by a balancer in any one second
     * @param memoryMb a hollow balancer's share of the resident memory of its process
     * @param viewsMs the time from the begin or end of a fault until all views are correct
     * @param alike the relative difference between the costs of hollow and real balancers
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

    /** Returns the impairment between two regions in the absence of faults. */
    Impairment betweenRegions() {
        return new Impairment(false, delayMs, jitterMs, loss, 0, 0, 0);
    }
}
