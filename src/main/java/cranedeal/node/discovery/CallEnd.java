package cranedeal.node.discovery;

/** How a call to discovery ended. */
public enum CallEnd {
    /** With a list or changes that were accepted. */
    ANSWERED,
    /** With a list that is older than the one in use. */
    OUTDATED,
    /** With a status other than 200, or with a body that is not a valid list. */
    BAD_ANSWER,
    /** No connection could be established. */
    NOT_CONNECTED,
    /** Its connection was closed or reset before the whole answer had arrived. */
    BROKEN,
    /** Cancelled, since no answer had arrived in time. */
    TIMED_OUT,
    /** Cancelled, since a call that was sent later has been answered. */
    SUPERSEDED,
    /** Cancelled, since discovery's address has changed, or the watch has ended. */
    STOPPED;

    /** Returns true if discovery or the network is the cause. */
    public boolean isFailure() {
        return this == BAD_ANSWER || this == NOT_CONNECTED || this == BROKEN || this == TIMED_OUT;
    }
}
