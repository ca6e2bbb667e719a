package cranedeal.lab.standin;

import cranedeal.lab.history.Effect;

/**
 * A service class of requests.
 *
 * @param share its share of the traffic, relative to the other classes
 * @param workMs the mean time that a request occupies a core of speed 1, in milliseconds; drawn from an
 *     exponential distribution that is capped at three times the mean
 * @param aimMs the latency target in milliseconds; an answer within it has its full worth
 * @param deadlineMs how long a client waits in total, over all its tries, in milliseconds
 */
public record ServiceClass(String name, Effect effect, double share, double workMs, double aimMs,
        double deadlineMs, double worth) {
}
