package cranedeal;

import java.util.Arrays;

/**
 * Servers of one group in bins by the power of two of their weight for one class, so that a change of a
 * weight and a draw take constant time, however many servers there are (the method of Matias, Vitter and Ni
 * for dynamic discrete distributions). A bin's bound is at least {@link #SLACK} times the weights that were
 * put into it. A draw proposes a server in proportion to these bounds, and the caller accepts it with the
 * probability of its current weight over its bound. So draws are in proportion to the current weights, even
 * if these have grown by up to that factor since they were added.
 */
final class WeightBins {

    /** Factor by which a weight may grow before it is drawn less often than its weight demands. */
    static final double SLACK = 2;
    private static final int BINS = Long.SIZE;
    /** Binary exponent of the weights in the first bin, which also holds smaller weights. */
    private static final int MIN_EXPONENT = -48;
    private static final int FIRST_CAPACITY = 4;
    /** Bound of each bin: the slack times the upper limit of its weights. */
    private static final double[] BOUNDS = new double[BINS];

    static {
        for (int bin = 0; bin < BINS; bin++) {
            BOUNDS[bin] = SLACK * Math.scalb(1.0, MIN_EXPONENT + bin + 1);
        }
    }

    /** Index of the class in {@link Server#bins} and {@link Server#slots}. */
    private final int serviceClass;
    private final Server[][] members = new Server[BINS][];
    private final int[] counts = new int[BINS];
    /** One bit per bin that is not empty. */
    private long used;

    WeightBins(int serviceClass) {
        this.serviceClass = serviceClass;
    }

    /** Returns the bound of a bin, which a proposed server's weight is compared with. */
    static double bound(int bin) {
        return BOUNDS[bin];
    }

    /** Returns the bin for a weight above 0. */
    static int binOf(double weight) {
        int exponent = Math.getExponent(weight) - MIN_EXPONENT;
        return Math.min(BINS - 1, Math.max(0, exponent));
    }

    /** Adds a server, which is in no bin of its class. */
    void add(Server server, double weight) {
        int bin = binOf(weight);
        Server[] binMembers = members[bin];
        if (binMembers == null) {
            binMembers = new Server[FIRST_CAPACITY];
        } else if (counts[bin] == binMembers.length) {
            binMembers = Arrays.copyOf(binMembers, 2 * binMembers.length);
        }
        members[bin] = binMembers;
        binMembers[counts[bin]] = server;
        server.bins[serviceClass] = bin;
        server.slots[serviceClass] = counts[bin];
        counts[bin]++;
        used |= 1L << bin;
    }

    /** Removes a server that is in one of these bins. */
    void remove(Server server) {
        int bin = server.bins[serviceClass];
        int slot = server.slots[serviceClass];
        counts[bin]--;
        Server last = members[bin][counts[bin]];
        members[bin][slot] = last;
        last.slots[serviceClass] = slot;
        members[bin][counts[bin]] = null;
        server.slots[serviceClass] = Server.NO_SLOT;
        if (counts[bin] == 0) {
            used &= ~(1L << bin);
        }
    }

    /** Returns the sum of the bounds of all members. */
    double total() {
        double total = 0;
        for (long bins = used; bins != 0; bins &= bins - 1) {
            int bin = Long.numberOfTrailingZeros(bins);
            total += counts[bin] * BOUNDS[bin];
        }
        return total;
    }

    /** Returns the member at a point from 0 to {@link #total}, with the members lined up by their bounds. */
    Server memberAt(double point) {
        double remaining = point;
        int bin = 0;
        for (long bins = used; bins != 0; bins &= ~(1L << bin)) {
            // The largest bounds first, as they make up most of the sum.
            bin = BINS - 1 - Long.numberOfLeadingZeros(bins);
            double width = counts[bin] * BOUNDS[bin];
            if (remaining < width) {
                break;
            }
            remaining -= width;
        }
        int slot = (int) Math.max(0, remaining / BOUNDS[bin]);
        return members[bin][Math.min(counts[bin] - 1, slot)];
    }
}
