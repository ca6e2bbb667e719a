package cranedeal.lab.slope;

import java.util.Arrays;
import java.util.List;

/**
 * The values measured at one size.
 *
 * @param size the size
 * @param values one value per repeat, in the order of the runs
 */
public record Point(double size, List<Double> values) {

    /** Throws {@link IllegalArgumentException} if there is no value or a number is not finite. */
    public Point {
        values = List.copyOf(values);
        if (!Double.isFinite(size) || values.isEmpty() || !values.stream().allMatch(Double::isFinite)) {
            throw new IllegalArgumentException("not a point: size " + size + ", values " + values);
        }
    }

    /** Returns the point for the values that one or more runs measured at a size. */
    public static Point of(double size, double... values) {
        return new Point(size, Arrays.stream(values).boxed().toList());
    }

    /** Returns the median of the repeats; for an even number, the mean of the two in the middle. */
    public double median() {
        List<Double> sorted = values.stream().sorted().toList();
        int half = sorted.size() / 2;
        return sorted.size() % 2 == 1 ? sorted.get(half) : (sorted.get(half - 1) + sorted.get(half)) / 2;
    }

    /** Returns the smallest value. */
    public double min() {
        return values.stream().mapToDouble(Double::doubleValue).min().orElseThrow();
    }

    /** Returns the largest value. */
    public double max() {
        return values.stream().mapToDouble(Double::doubleValue).max().orElseThrow();
    }
}
