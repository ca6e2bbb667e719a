package cranedeal.lab.link;

import java.util.random.RandomGenerator;

/**
 * One direction of a link: computes when data that enters is delivered. It has no clock; times are in
 * milliseconds of the caller's clock.
 */
final class Direction {

    /** The shortest retransmission timeout of TCP on Linux (1 s in RFC 6298), in milliseconds. */
    static final double RETRANSMIT_MS = 200;
    private static final double MS_PER_SECOND = 1_000;

    private final RandomGenerator random;
    private Impairment impairment = Impairment.NONE;
    /** When the rate limit lets the next byte in. */
    private double roomAt;
    /** When the last piece of a stream is delivered; later pieces must not overtake it. */
    private double lastOut;

    Direction(RandomGenerator random) {
        this.random = random;
    }

    void impair(Impairment changed) {
        impairment = changed;
    }

    boolean isSilent() {
        return impairment.blocked();
    }

    /** The delivery time of a piece of a stream, never before that of the piece ahead of it. */
    double ofStream(double now, int bytes) {
        double out = passed(now, bytes);
        // Each retransmission may be lost again; the timeout then doubles, a few times at most.
        for (double wait = RETRANSMIT_MS; draws(impairment.loss()) && wait < 8 * RETRANSMIT_MS; wait *= 2) {
            out += wait;
        }
        lastOut = Math.max(lastOut, out);
        return lastOut;
    }

    /** The delivery times of a datagram: none if it is lost, two if it is duplicated. */
    double[] ofDatagram(double now, int bytes) {
        if (impairment.blocked() || draws(impairment.loss())) {
            return new double[0];
        }
        double out = passed(now, bytes);
        if (draws(impairment.reorder())) {
            out += Math.max(1, 2 * (impairment.delayMs() + impairment.jitterMs()));
        }
        return draws(impairment.duplicate()) ? new double[] {out, delayed(out)} : new double[] {out};
    }

    private double passed(double now, int bytes) {
        if (impairment.bytesPerSecond() == 0) {
            return delayed(now);
        }
        roomAt = Math.max(roomAt, now) + bytes * MS_PER_SECOND / impairment.bytesPerSecond();
        return delayed(roomAt);
    }

    private double delayed(double from) {
        double jitter = impairment.jitterMs() == 0 ? 0 : random.nextDouble() * impairment.jitterMs();
        return from + impairment.delayMs() + jitter;
    }

    private boolean draws(double share) {
        return share > 0 && random.nextDouble() < share;
    }
}
