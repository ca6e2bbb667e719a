package cranedeal.lab.slope;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * A straight line by least squares through what was measured, each repeat with the same weight.
 *
 * @param slope growth for each unit of size
 * @param intercept value at size 0, which is hardly ever a measured one
 * @param residual root of the mean square by which the repeats lie off the line, in the unit of the values
 * @param worst the most by which the median at a size lies off the line, as a share of the greater of both
 * @param from the least size that went into it
 * @param to the greatest size that went into it
 * @param sizes how many sizes went into it
 */
public record Line(double slope, double intercept, double residual, double worst, double from, double to,
        int sizes) {

    /** How many sizes a line must have at least to be called one. */
    public static final int LEAST_SIZES = 4;
    /** Up to which share medians may lie off a line that is called straight. */
    public static final double STRAIGHT = 0.1;

    /**
     * What was made of the points.
     *
     * @param whole the line through all of them
     * @param pieces that line if it is straight, or the two lines on both sides of the bend, which both hold
     *     the size at which it is; they may have fewer than {@link #LEAST_SIZES} sizes
     */
    public record Fit(Line whole, List<Line> pieces) {

        /** Whether one line does. */
        public boolean isStraight() {
            return whole.isStraight();
        }

        /** Whether the pieces, at least, are straight; otherwise nothing between the sizes is known. */
        public boolean isCutStraight() {
            return pieces.stream().allMatch(Line::isStraight);
        }
    }

    /** Whether medians lie within {@link #STRAIGHT} of it. */
    public boolean isStraight() {
        return worst <= STRAIGHT;
    }

    /** Its value at a size. */
    public double at(double size) {
        return intercept + slope * size;
    }

    /**
     * The line through all points, cut where it bends most if it is not straight. Throws
     * {@link IllegalArgumentException} if they are of fewer than {@link #LEAST_SIZES} sizes, or two are of
     * the same.
     */
    public static Fit fit(List<Point> points) {
        List<Point> sorted = points.stream().sorted(Comparator.comparingDouble(Point::size)).toList();
        if (sorted.stream().mapToDouble(Point::size).distinct().count() < sorted.size()) {
            throw new IllegalArgumentException("two points of one size");
        }
        if (sorted.size() < LEAST_SIZES) {
            throw new IllegalArgumentException("a slope needs " + LEAST_SIZES + " sizes or more, not "
                    + sorted.size());
        }
        Line whole = through(sorted);
        return new Fit(whole, whole.isStraight() ? List.of(whole) : cut(sorted));
    }

    private static List<Line> cut(List<Point> sorted) {
        List<Line> best = List.of();
        double least = Double.POSITIVE_INFINITY;
        for (int bend = 1; bend < sorted.size() - 1; bend++) {
            List<Point> before = sorted.subList(0, bend + 1);
            List<Point> after = sorted.subList(bend, sorted.size());
            List<Line> pieces = List.of(through(before), through(after));
            double off = Math.max(pieces.get(0).worst(), pieces.get(1).worst());
            if (off < least) {
                least = off;
                best = pieces;
            }
        }
        return best;
    }

    /** The line through at least two sizes in ascending order. */
    private static Line through(List<Point> points) {
        List<double[]> all = new ArrayList<>();
        points.forEach(point -> point.values().forEach(value -> all.add(new double[] {point.size(), value})));
        double meanX = all.stream().mapToDouble(one -> one[0]).average().orElseThrow();
        double meanY = all.stream().mapToDouble(one -> one[1]).average().orElseThrow();
        double both = all.stream().mapToDouble(one -> (one[0] - meanX) * (one[1] - meanY)).sum();
        double square = all.stream().mapToDouble(one -> (one[0] - meanX) * (one[0] - meanX)).sum();
        double slope = both / square;
        double intercept = meanY - slope * meanX;
        double residual = Math.sqrt(all.stream().mapToDouble(
                one -> Math.pow(one[1] - intercept - slope * one[0], 2)).average().orElseThrow());
        double worst = points.stream().mapToDouble(point -> off(point.median(), intercept
                + slope * point.size())).max().orElseThrow();
        return new Line(slope, intercept, residual, worst, points.get(0).size(),
                points.get(points.size() - 1).size(), points.size());
    }

    private static double off(double measured, double line) {
        // Rounding is no bend, also where all is zero.
        double distance = Math.abs(measured - line);
        return distance <= 1e-9 * (1 + Math.abs(measured)) ? 0
                : distance / Math.max(Math.abs(measured), Math.abs(line));
    }
}
