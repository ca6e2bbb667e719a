package cranedeal.lab.slope;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * A least-squares line through measured points; every repeat has the same weight.
 *
 * @param slope growth per unit of size
 * @param intercept value at size 0, which is usually outside the measured range
 * @param residual root mean square error of the repeats, in the unit of the values
 * @param worst largest deviation of a size's median from the line, as a share of the greater of the two
 * @param from the smallest size of the fit
 * @param to the largest size of the fit
 * @param sizes number of sizes of the fit
 */
public record Line(double slope, double intercept, double residual, double worst, double from, double to,
        int sizes) {

    /** The minimum number of sizes for a fit. */
    public static final int MIN_SIZES = 4;
    /** The largest deviation of a median, as a share, for a line that counts as straight. */
    public static final double MAX_STRAIGHT_DEVIATION = 0.1;

    /**
     * The result of fitting points.
     *
     * @param whole the line through all points
     * @param pieces the whole line if it is straight, otherwise the two lines on either side of the
     *     bend, which both include the size at the bend; they may have fewer than {@link #MIN_SIZES} sizes
     */
    public record Fit(Line whole, List<Line> pieces) {

        /** Returns true if one straight line fits all points. */
        public boolean isStraight() {
            return whole.isStraight();
        }

        /** Returns true if all pieces are straight; otherwise values between sizes can't be interpolated. */
        public boolean isCutStraight() {
            return pieces.stream().allMatch(Line::isStraight);
        }
    }

    /** Returns true if all medians lie within {@link #MAX_STRAIGHT_DEVIATION} of the line. */
    public boolean isStraight() {
        return worst <= MAX_STRAIGHT_DEVIATION;
    }

    /** Returns the line's value at a size. */
    public double at(double size) {
        return intercept + slope * size;
    }

    /**
     * Fits a line through all points, and two lines if one is not straight, split where they fit best.
     * Throws {@link IllegalArgumentException} if there are fewer than {@link #MIN_SIZES} sizes, or two
     * points have the same size.
     */
    public static Fit fit(List<Point> points) {
        List<Point> sorted = points.stream().sorted(Comparator.comparingDouble(Point::size)).toList();
        if (sorted.stream().mapToDouble(Point::size).distinct().count() < sorted.size()) {
            throw new IllegalArgumentException("two points have the same size");
        }
        if (sorted.size() < MIN_SIZES) {
            throw new IllegalArgumentException("a line needs " + MIN_SIZES + " sizes or more, not "
                    + sorted.size());
        }
        Line whole = through(sorted);
        return new Fit(whole, whole.isStraight() ? List.of(whole) : split(sorted));
    }

    private static List<Line> split(List<Point> sorted) {
        List<Line> best = List.of();
        double minDeviation = Double.POSITIVE_INFINITY;
        for (int bend = 1; bend < sorted.size() - 1; bend++) {
            List<Point> before = sorted.subList(0, bend + 1);
            List<Point> after = sorted.subList(bend, sorted.size());
            List<Line> pieces = List.of(through(before), through(after));
            double maxDeviation = Math.max(pieces.get(0).worst(), pieces.get(1).worst());
            if (maxDeviation < minDeviation) {
                minDeviation = maxDeviation;
                best = pieces;
            }
        }
        return best;
    }

    /** The line through at least two sizes in ascending order. */
    private static Line through(List<Point> points) {
        List<double[]> samples = new ArrayList<>();
        points.forEach(point -> point.values()
                .forEach(value -> samples.add(new double[] {point.size(), value})));
        double meanX = samples.stream().mapToDouble(sample -> sample[0]).average().orElseThrow();
        double meanY = samples.stream().mapToDouble(sample -> sample[1]).average().orElseThrow();
        double sumXY = samples.stream()
                .mapToDouble(sample -> (sample[0] - meanX) * (sample[1] - meanY)).sum();
        double sumXX = samples.stream()
                .mapToDouble(sample -> (sample[0] - meanX) * (sample[0] - meanX)).sum();
        double slope = sumXY / sumXX;
        double intercept = meanY - slope * meanX;
        double residual = Math.sqrt(samples.stream().mapToDouble(
                sample -> Math.pow(sample[1] - intercept - slope * sample[0], 2)).average().orElseThrow());
        double worst = points.stream().mapToDouble(point -> deviation(point.median(), intercept
                + slope * point.size())).max().orElseThrow();
        return new Line(slope, intercept, residual, worst, points.get(0).size(),
                points.get(points.size() - 1).size(), points.size());
    }

    private static double deviation(double measured, double line) {
        // Ignores rounding errors, also where all values are zero.
        double distance = Math.abs(measured - line);
        return distance <= 1e-9 * (1 + Math.abs(measured)) ? 0
                : distance / Math.max(Math.abs(measured), Math.abs(line));
    }
}
