package cranedeal.lab.slope;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The rate of calls over the duration of a block: it rises to the full rate and falls from it in equal steps.
 *
 * @param perS calls per second at the full rate
 * @param seconds duration of the block
 * @param steps number of steps in which the rate rises over the first quarter and falls over the last; 1 for
 *     a constant rate
 */
record LoadProfile(double perS, double seconds, int steps) {

    private static final double RAMP_SHARE = 0.25;

    static LoadProfile constant(double perS, double seconds) {
        return new LoadProfile(perS, seconds, 1);
    }

    /** Returns the rate at a time in seconds since the start of the block. */
    double rateAt(double at) {
        double ramp = RAMP_SHARE * seconds;
        double fromEdge = Math.min(at, seconds - at);
        if (steps == 1 || fromEdge >= ramp) {
            return perS;
        }
        return perS * (Math.floor(fromEdge / ramp * steps) + 1) / steps;
    }

    /** Draws the times in seconds at which calls are due, as a Poisson process; equal seeds, equal times. */
    List<Double> arrivals(SplittableRandom random) {
        List<Double> due = new ArrayList<>();
        for (double at = gap(random); at < seconds; at += gap(random)) {
            if (steps == 1 || random.nextDouble() * perS < rateAt(at)) {
                due.add(at);
            }
        }
        return due;
    }

    private double gap(SplittableRandom random) {
        return -Math.log(1 - random.nextDouble()) / perS;
    }
}
