package cranedeal.lab.slope;

/**
 * What happens to one balancer of a trial.
 *
 * @param beforeChangeS how long before the list changes, in seconds
 * @param balancer its number
 */
record BalancerFault(double beforeChangeS, int balancer, Kind kind) {

    /** What happens to it. */
    enum Kind {
        /** It is told to read its configuration again. */
        RELOAD,
        /** It is killed, and started again at once. */
        RESTART
    }
}
