package cranedeal;

import java.util.Arrays;

/**
 * Servers of one group in bins by the power of two of their weight for one class, so that a change of a
 * weight and a draw take constant time, however many servers there are (the method of Matias, Vitter and Ni
 * for dynamic discrete distributions). A bin's bound lies at least {@link #SLACK} times above the weights
 * that were put into it. A draw proposes a server in proportion to these bounds, and whoever draws accepts it
 * with the probability of its weight over its bound: that makes draws proportional to the weights as they are
 * at the moment, also where they have grown by up to that factor since they were put in.
 */
final class WeightBins {

    /** By how much a weight may grow before draws fall short of it. */
    static final double SLACK = 2;
    private static final int BINS = Long.SIZE;
    /** The binary exponent of the weights in the first bin; smaller weights are there too. */
    private static final int LEAST_EXPONENT = -48;
    private static final int FIRST_CAPACITY = 4;
    /** The bound of each bin: twice the least weight that is above all in it, for the slack. */
    private static final double[] BOUNDS = new double[BINS];

    static {
        for (int bin = 0; bin < BINS; bin++) {
            BOUNDS[bin] = SLACK * Math.scalb(1.0, LEAST_EXPONENT + bin + 1);
        }
    }

    /** The place of the class in {@link Server#bins} and {@link Server#slots}. */
    private final int serviceClass;
    private final Server[][] members = new Server[BINS][];
    private final int[] counts = new int[BINS];
    /** The bins that are not empty, a bit each. */
    private long used;

    WeightBins(int serviceClass) {
        this.serviceClass = serviceClass;
    }

    /** The bound of a bin: what a proposed server's weight is compared with. */
    static double bound(int bin) {
        return BOUNDS[bin];
    }

    /** The bin for a weight above 0. */
    static int binOf(double weight) {
        int exponent = Math.getExponent(weight) - LEAST_EXPONENT;
        return Math.min(BINS - 1, Math.max(0, exponent));
    }

    /** Adds a server, which is in no bin of its class. */
    void add(Server server, double weight) {
        int bin = binOf(weight);
        Server[] all = members[bin];
        if (all == null) {
            all = new Server[FIRST_CAPACITY];
        } else if (counts[bin] == all.length) {
            all = Arrays.copyOf(all, 2 * all.length);
        }
        members[bin] = all;
        all[counts[bin]] = server;
        server.bins[serviceClass] = bin;
        server.slots[serviceClass] = counts[bin];
        counts[bin]++;
        used |= 1L << bin;
    }

    /** Takes a server out that is in one of these bins. */
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

    /** The sum of the bounds of all members. */
    double total() {
        double total = 0;
        for (long left = used; left != 0; left &= left - 1) {
            int bin = Long.numberOfTrailingZeros(left);
            total += counts[bin] * BOUNDS[bin];
        }
        return total;
    }

    /** The member at a point from 0 to {@link #total}, members lying side by side by their bounds. */
    Server at(double point) {
        double rest = point;
        int bin = 0;
        for (long left = used; left != 0; left &= ~(1L << bin)) {
            // The greatest bounds first: they hold most of the sum.
            bin = BINS - 1 - Long.numberOfLeadingZeros(left);
            double width = counts[bin] * BOUNDS[bin];
            if (rest < width) {
                break;
            }
            rest -= width;
        }
        int slot = (int) Math.max(0, rest / BOUNDS[bin]);
        return members[bin][Math.min(counts[bin] - 1, slot)];
    }
}
