package cranedeal.lab.slope;

import java.util.Arrays;
import java.util.List;

/**
 * What was measured at one size.
 *
 * @param size where on the line it is
 * @param values one for each repeat, in the order of the runs
 */
public record Point(double size, List<Double> values) {

    /** Throws {@link IllegalArgumentException} where nothing was measured, or no number. */
    public Point {
        values = List.copyOf(values);
        if (!Double.isFinite(size) || values.isEmpty() || !values.stream().allMatch(Double::isFinite)) {
            throw new IllegalArgumentException("no point: " + size + " with " + values);
        }
    }

    /** What one run, or several, measured at a size. */
    public static Point of(double size, double... values) {
        return new Point(size, Arrays.stream(values).boxed().toList());
    }

    /** The middle one of the repeats, or between the two in the middle. */
    public double median() {
        List<Double> sorted = values.stream().sorted().toList();
        int half = sorted.size() / 2;
        return sorted.size() % 2 == 1 ? sorted.get(half) : (sorted.get(half - 1) + sorted.get(half)) / 2;
    }

    /** The least of the repeats. */
    public double least() {
        return values.stream().mapToDouble(Double::doubleValue).min().orElseThrow();
    }

    /** The most of them. */
    public double most() {
        return values.stream().mapToDouble(Double::doubleValue).max().orElseThrow();
    }
}
