package cranedeal.lab.link;

import java.util.random.RandomGenerator;

/**
 * One direction of a link: computes when data that enters is delivered. It has no clock; times are in
 * milliseconds of the caller's clock.
 */
final class Direction {

    /** The shortest retransmission timeout of TCP on Linux (1 s in RFC 6298), in milliseconds. */
    static final double MIN_RETRANSMIT_MS = 200;
    private static final double MS_PER_SECOND = 1_000;

    private final RandomGenerator random;
    private Impairment impairment = Impairment.NONE;
    /** When the rate limit lets the next byte in. */
    private double rateAllowsAt;
    /** When the last piece of a stream is delivered; later pieces must not overtake it. */
    private double lastDelivery;

    Direction(RandomGenerator random) {
        this.random = random;
    }

    void impair(Impairment newImpairment) {
        impairment = newImpairment;
    }

    boolean isBlocked() {
        return impairment.blocked();
    }

    /** The delivery time of a piece of a stream, never before that of the piece ahead of it. */
    double streamDelivery(double now, int bytes) {
        double delivery = afterRateLimitAndDelay(now, bytes);
        // Each retransmission may be lost again; the timeout then doubles, a few times at most.
        for (double wait = MIN_RETRANSMIT_MS; occurs(impairment.loss()) && wait < 8 * MIN_RETRANSMIT_MS;
                wait *= 2) {
            delivery += wait;
        }
        lastDelivery = Math.max(lastDelivery, delivery);
        return lastDelivery;
    }

    /** The delivery times of a datagram: none if it is lost, two if it is duplicated. */
    double[] datagramDeliveries(double now, int bytes) {
        if (impairment.blocked() || occurs(impairment.loss())) {
            return new double[0];
        }
        double delivery = afterRateLimitAndDelay(now, bytes);
        if (occurs(impairment.reorder())) {
            delivery += Math.max(1, 2 * (impairment.delayMs() + impairment.jitterMs()));
        }
        return occurs(impairment.duplicate()) ? new double[] {delivery, afterDelay(delivery)}
                : new double[] {delivery};
    }

    private double afterRateLimitAndDelay(double now, int bytes) {
        if (impairment.bytesPerSecond() == 0) {
            return afterDelay(now);
        }
        rateAllowsAt = Math.max(rateAllowsAt, now) + bytes * MS_PER_SECOND / impairment.bytesPerSecond();
        return afterDelay(rateAllowsAt);
    }

    private double afterDelay(double from) {
        double jitter = impairment.jitterMs() == 0 ? 0 : random.nextDouble() * impairment.jitterMs();
        return from + impairment.delayMs() + jitter;
    }

    private boolean occurs(double share) {
        return share > 0 && random.nextDouble() < share;
    }
}
