package cranedeal.lab.link;

import java.util.random.RandomGenerator;

/**
 * One direction of a link: decides when what goes in comes out. It has no clock; times are milliseconds on
 * whatever clock the caller has.
 */
final class Direction {

    /** The shortest time after which TCP sends a lost segment again (Linux; RFC 6298 has 1 s). */
    static final double RETRANSMIT_MS = 200;
    private static final double MS_PER_SECOND = 1_000;

    private final RandomGenerator random;
    private Impairment impairment = Impairment.NONE;
    /** When the link has room for the next byte. */
    private double roomAt;
    /** When the last piece of a stream comes out: none may overtake it. */
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

    /** When a piece of a stream comes out, never before the piece ahead of it. */
    double ofStream(double now, int bytes) {
        double out = passed(now, bytes);
        // Lost once more while it is sent again, it waits twice as long; so on for a few times.
        for (double wait = RETRANSMIT_MS; draws(impairment.loss()) && wait < 8 * RETRANSMIT_MS; wait *= 2) {
            out += wait;
        }
        lastOut = Math.max(lastOut, out);
        return lastOut;
    }

    /** When a datagram comes out: never, once or twice. */
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
