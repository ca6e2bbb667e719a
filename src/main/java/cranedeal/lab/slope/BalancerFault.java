package cranedeal.lab.slope;

/**
 * A fault that is injected into one balancer of a trial.
 *
 * @param beforeChangeS seconds between the fault and the change of the upstream list
 * @param balancer the index of the balancer
 */
record BalancerFault(double beforeChangeS, int balancer, Kind kind) {

    /** The kind of fault. */
    enum Kind {
        /** The balancer reloads its configuration. */
        RELOAD,
        /** The balancer is killed and restarted at once. */
        RESTART
    }
}
