package cranedeal.lab.slope;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.DoubleUnaryOperator;
import java.util.stream.DoubleStream;
import org.junit.jupiter.api.Test;

class LineTest {

    private static final double EPS = 1e-9;

    private static List<Point> points(DoubleUnaryOperator value, double... sizes) {
        return DoubleStream.of(sizes).mapToObj(size -> Point.of(size, value.applyAsDouble(size))).toList();
    }

    @Test
    void findsALineThatIsThere() {
        Line.Fit fit = Line.fit(points(size -> 7 + 0.25 * size, 64, 128, 256, 520));
        assertEquals(0.25, fit.whole().slope(), EPS);
        assertEquals(7, fit.whole().intercept(), EPS);
        assertEquals(0, fit.whole().residual(), EPS);
        assertEquals(0, fit.whole().worst(), EPS);
        assertEquals(64, fit.whole().from());
        assertEquals(520, fit.whole().to());
        assertEquals(4, fit.whole().sizes());
        assertEquals(107, fit.whole().at(400), EPS);
        assertTrue(fit.isStraight());
        assertEquals(List.of(fit.whole()), fit.pieces());
    }

    /** A textbook example: x 1, 2, 3, 4 and y 6, 5, 7, 10 give 3.5 + 1.4 x, sum of squared errors 4.2. */
    @Test
    void goesByLeastSquares() {
        Line line = Line.fit(List.of(Point.of(1, 6), Point.of(2, 5), Point.of(3, 7), Point.of(4, 10)))
                .whole();
        assertEquals(1.4, line.slope(), EPS);
        assertEquals(3.5, line.intercept(), EPS);
        assertEquals(Math.sqrt(4.2 / 4), line.residual(), EPS);
        assertEquals((6.3 - 5) / 6.3, line.worst(), EPS);
    }

    @Test
    void everyRepeatWeighsTheSame() {
        Line line = Line.fit(List.of(Point.of(1, 10, 12), Point.of(2, 20, 22), Point.of(3, 30, 32),
                Point.of(4, 40, 42))).whole();
        assertEquals(10, line.slope(), EPS);
        assertEquals(1, line.intercept(), EPS);
        assertEquals(1, line.residual(), EPS);
        assertEquals(0, line.worst(), EPS, "the medians lie on the line");
    }

    @Test
    void cutsWhereItBends() {
        Line.Fit fit = Line.fit(points(size -> size <= 256 ? 100 : 100 + 3 * (size - 256), 64, 128, 256, 520,
                1_040));
        assertFalse(fit.isStraight());
        assertTrue(fit.isCutStraight());
        assertEquals(2, fit.pieces().size());
        assertEquals(64, fit.pieces().get(0).from());
        assertEquals(256, fit.pieces().get(0).to());
        assertEquals(0, fit.pieces().get(0).slope(), EPS);
        assertEquals(256, fit.pieces().get(1).from());
        assertEquals(1_040, fit.pieces().get(1).to());
        assertEquals(3, fit.pieces().get(1).slope(), EPS);
    }

    @Test
    void reportsThatNoSplitIsStraight() {
        Line.Fit fit = Line.fit(points(size -> Math.pow(size, 4), 1, 2, 4, 8, 16, 32, 64));
        assertFalse(fit.isStraight());
        assertFalse(fit.isCutStraight());
    }

    @Test
    void allZeroValuesAreStraight() {
        assertTrue(Line.fit(points(size -> 0, 1, 2, 3, 4)).isStraight());
    }

    @Test
    void aValueWhereTheOthersAreZeroIsOff() {
        Line.Fit fit = Line.fit(List.of(Point.of(1, 0), Point.of(2, 0), Point.of(3, 0), Point.of(4, 5)));
        assertFalse(fit.isStraight());
        assertTrue(Double.isFinite(fit.whole().worst()));
    }

    @Test
    void rejectsFewerThanFourSizes() {
        assertThrows(IllegalArgumentException.class, () -> Line.fit(points(size -> size, 1, 2, 3)));
        assertThrows(IllegalArgumentException.class, () -> Line.fit(points(size -> size, 1, 2, 3, 3)));
    }

    @Test
    void rejectsPointsWithoutFiniteValues() {
        assertThrows(IllegalArgumentException.class, () -> Point.of(1));
        assertThrows(IllegalArgumentException.class, () -> Point.of(1, Double.NaN));
        assertThrows(IllegalArgumentException.class, () -> Point.of(Double.POSITIVE_INFINITY, 1));
    }

    @Test
    void theMedianIsTheMiddleOne() {
        assertEquals(3, Point.of(1, 9, 1, 3).median(), EPS);
        assertEquals(4, Point.of(1, 9, 1, 3, 5).median(), EPS);
        assertEquals(1, Point.of(1, 9, 1, 3, 5).min(), EPS);
        assertEquals(9, Point.of(1, 9, 1, 3, 5).max(), EPS);
    }
}
