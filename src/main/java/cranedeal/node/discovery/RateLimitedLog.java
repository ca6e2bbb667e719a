package cranedeal.node.discovery;

import java.util.function.Consumer;
import java.util.function.DoubleSupplier;

/** Passes on so many lines in a period at most, and tells how many it has left out. */
final class RateLimitedLog {

    private static final int MOST_LINES = 30;
    private static final double PERIOD_MS = 10_000;

    private final DoubleSupplier clock;
    private final Consumer<String> lines;
    private double periodEnd = Double.NEGATIVE_INFINITY;
    private int written;
    private long leftOut;

    /** A log into {@code lines}, by a clock in milliseconds. */
    RateLimitedLog(DoubleSupplier clock, Consumer<String> lines) {
        this.clock = clock;
        this.lines = lines;
    }

    void write(String line) {
        double now = clock.getAsDouble();
        if (now >= periodEnd) {
            periodEnd = now + PERIOD_MS;
            written = 0;
            if (leftOut > 0) {
                lines.accept("discovery: " + leftOut + " lines were left out");
                leftOut = 0;
            }
        }
        if (written < MOST_LINES) {
            written++;
            lines.accept(line);
        } else {
            leftOut++;
        }
    }
}
