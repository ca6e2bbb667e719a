package cranedeal.lab;

import java.util.ArrayList;
import java.util.List;

/**
 * Reduces a failure-inducing list: removes ever smaller pieces as long as the rest still fails (ddmin; Zeller
 * and Hildebrandt, Simplifying and Isolating Failure-Inducing Input, 2002).
 */
final class Shrinker {

    private Shrinker() {
    }

    /** Predicate that is true for a list that still fails. */
    interface FailureTest<T, E extends Exception> {

        boolean test(List<T> part) throws E;
    }

    /**
     * Reduces a list that fails.
     *
     * @param tries the maximum number of tests
     * @return a part that failed its test, or the whole list
     */
    static <T, E extends Exception> List<T> shrink(List<T> whole, int tries, FailureTest<T, E> breaks)
            throws E {
        List<T> smallest = whole;
        int pieces = Math.min(2, whole.size());
        int remainingTries = tries;
        while (smallest.size() > 1 && remainingTries > 0) {
            boolean shrunk = false;
            int size = (smallest.size() + pieces - 1) / pieces;
            for (int from = 0; from < smallest.size() && remainingTries > 0 && !shrunk; from += size) {
                List<T> rest = new ArrayList<>(smallest);
                rest.subList(from, Math.min(from + size, rest.size())).clear();
                remainingTries--;
                if (breaks.test(rest)) {
                    smallest = rest;
                    shrunk = true;
                }
            }
            if (shrunk) {
                pieces = Math.max(2, pieces - 1);
            } else if (size == 1) {
                break;
            } else {
                pieces = Math.min(2 * pieces, smallest.size());
            }
        }
        return List.copyOf(smallest);
    }
}
