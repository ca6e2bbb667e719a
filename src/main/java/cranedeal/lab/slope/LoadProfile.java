package cranedeal.lab.slope;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * How many calls a second are offered over the time of a block: the full rate, which is reached and left in
 * equal steps.
 *
 * @param perS calls a second at the full rate
 * @param seconds how long the block lasts
 * @param steps in how many steps the rate rises over the first quarter, and falls over the last; 1 for none
 */
record LoadProfile(double perS, double seconds, int steps) {

    private static final double RAMP_SHARE = 0.25;

    static LoadProfile constant(double perS, double seconds) {
        return new LoadProfile(perS, seconds, 1);
    }

    /** The rate at a time in seconds from the beginning of the block. */
    double rateAt(double at) {
        double ramp = RAMP_SHARE * seconds;
        double fromEdge = Math.min(at, seconds - at);
        if (steps == 1 || fromEdge >= ramp) {
            return perS;
        }
        return perS * (Math.floor(fromEdge / ramp * steps) + 1) / steps;
    }

    /** The times in seconds at which calls are due: a Poisson process, the same for the same seed. */
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
