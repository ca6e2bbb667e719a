package cranedeal.node.discovery;

import java.util.function.Consumer;
import java.util.function.DoubleSupplier;

/** Limits the number of log lines per period, and logs how many were dropped. */
final class RateLimitedLog {

    private static final int MAX_LINES = 30;
    private static final double PERIOD_MS = 10_000;

    private final DoubleSupplier clock;
    private final Consumer<String> lines;
    private double periodEnd = Double.NEGATIVE_INFINITY;
    private int written;
    private long droppedLines;

    /** Creates a log that writes to {@code lines}; the clock is in milliseconds. */
    RateLimitedLog(DoubleSupplier clock, Consumer<String> lines) {
        this.clock = clock;
        this.lines = lines;
    }

    void write(String line) {
        double now = clock.getAsDouble();
        if (now >= periodEnd) {
            periodEnd = now + PERIOD_MS;
            written = 0;
            if (droppedLines > 0) {
                lines.accept("discovery: " + droppedLines + " log lines were dropped");
                droppedLines = 0;
            }
        }
        if (written < MAX_LINES) {
            written++;
            lines.accept(line);
        } else {
            droppedLines++;
        }
    }
}
