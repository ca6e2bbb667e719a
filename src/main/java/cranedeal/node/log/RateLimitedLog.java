package cranedeal.node.log;

import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;

/** Limits the number of log lines per period, and logs how many were dropped. */
public final class RateLimitedLog {

    private static final int MAX_LINES = 30;
    private static final double PERIOD_MS = 10_000;

    private final String subject;
    private final DoubleSupplier clock;
    private final Consumer<String> lines;
    private double periodEnd = Double.NEGATIVE_INFINITY;
    private int written;
    private long droppedLines;

    /**
     * Creates a log that writes to {@code lines}.
     *
     * @param subject what the lines are about, named where lines were dropped
     * @param clock returns the time in ms
     */
    public RateLimitedLog(String subject, DoubleSupplier clock, Consumer<String> lines) {
        this.subject = subject;
        this.clock = clock;
        this.lines = lines;
    }

    /** Writes a line, which is made only if it isn't dropped. */
    public void write(Supplier<String> line) {
        double now = clock.getAsDouble();
        if (now >= periodEnd) {
            periodEnd = now + PERIOD_MS;
            written = 0;
            if (droppedLines > 0) {
                lines.accept(subject + ": " + droppedLines + " log lines were dropped");
                droppedLines = 0;
            }
        }
        if (written < MAX_LINES) {
            written++;
            lines.accept(line.get());
        } else {
            droppedLines++;
        }
    }
}
