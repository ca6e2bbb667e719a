package cranedeal.lab.standin;

/** A monotonic clock in milliseconds since the start of the experiment. */
public final class LabClock {

    private static final double NANOS_PER_MS = 1e6;
    private final long start = System.nanoTime();

    /** Returns the milliseconds since this clock was created. */
    public double now() {
        return (System.nanoTime() - start) / NANOS_PER_MS;
    }
}
