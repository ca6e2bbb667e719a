package cranedeal.node.discovery;

/** How a call to discovery ended. */
public enum CallEnd {
    /** With a list or changes that were taken in. */
    ANSWERED,
    /** With a list that is older than the one in use. */
    OUTDATED,
    /** With a status other than 200, or with what is no list. */
    BAD_ANSWER,
    /** No connection came up. */
    NOT_CONNECTED,
    /** Its connection ended or was reset before the whole answer had come. */
    BROKEN,
    /** Given up since nothing had come in its time. */
    TIMED_OUT,
    /** Given up since a call that was sent later has been answered. */
    SUPERSEDED,
    /** Given up since discovery is at another address, or no longer watched. */
    STOPPED;

    /** Whether discovery, or the way to it, is to blame. */
    public boolean isFailure() {
        return this == BAD_ANSWER || this == NOT_CONNECTED || this == BROKEN || this == TIMED_OUT;
    }
}
