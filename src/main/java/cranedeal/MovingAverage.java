package cranedeal;

/** An exponential moving average whose first samples weigh more, down to a steady gain. */
final class MovingAverage {

    private final double minGain;
    private double value;
    private double gain = 0.5;

    MovingAverage(double initial, double minGain) {
        value = initial;
        this.minGain = minGain;
    }

    double value() {
        return value;
    }

    void add(double sample) {
        value += gain * (sample - value);
        gain = Math.max(minGain, gain / (1 + gain));
    }

    /**
     * Restores an earlier value; the smaller the {@code kept} share of it, the sooner new samples replace it.
     */
    void restore(double earlier, double kept) {
        value = earlier;
        gain = 1 / (2 + kept / minGain);
    }
}
