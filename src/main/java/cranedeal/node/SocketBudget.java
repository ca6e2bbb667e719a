package cranedeal.node;

import io.netty.channel.Channel;

/**
 * Counts the process's connections against the descriptors that it may hold. A caller that waits in the
 * backlog already counts as taken, so calls to upstreams leave room for callers, and an idle connection
 * gives way to whoever needs its descriptor: the one that has been idle for longest, whosever it is. With
 * many upstreams each has a connection that is hardly ever used again; callers' are, and who closes one may
 * cross a request on it.
 */
final class SocketBudget {

    /** Connections that stand idle. */
    interface IdlePool {

        /** None at all. */
        IdlePool EMPTY = new IdlePool() {
            @Override
            public double idleSince() {
                return Double.NaN;
            }

            @Override
            public boolean evict() {
                return false;
            }
        };

        /** Since when the longest idle one has been, in ms of the clock; NaN if there is none. */
        double idleSince();

        /** Closes the longest idle one that may be closed; false if there is none. */
        boolean evict();
    }

    /** Descriptors of the virtual machine itself: jars, selectors, logs, the listening socket, discovery. */
    private static final int OF_THE_PROCESS = 64;
    /** The part of the rest that only callers may use. */
    private static final int CALLERS_SHARE = 5;
    /** The part that callers leave to connections to upstreams: as large as that of callers with requests. */
    private static final int UPSTREAMS_SHARE = 3;
    /** The part of the descriptors for connections to upstreams that stand idle, and the least of them. */
    private static final int IDLE_SHARE = 3;
    private static final int LEAST_IDLE = 128;

    private final int descriptors;
    private int limit;
    private int open;
    private int callersOpen;
    private IdlePool callers = IdlePool.EMPTY;
    private IdlePool upstreams = IdlePool.EMPTY;

    SocketBudget(int descriptors) {
        this.descriptors = descriptors;
        setShared(false);
    }

    /** Keeps to half of the descriptors while another process of this balancer needs the rest. */
    final void setShared(boolean shared) {
        limit = Math.max(CALLERS_SHARE, (shared ? descriptors / 2 : descriptors) - OF_THE_PROCESS);
        boolean evicted = open > limit;
        while (evicted && open > limit) {
            evicted = upstreams.evict();
        }
    }

    /** Names the idle connections of callers. */
    void evictCallersWith(IdlePool pool) {
        callers = pool;
    }

    /** The same for connections to upstreams. */
    void evictUpstreamsWith(IdlePool pool) {
        upstreams = pool;
    }

    /** Closes the connection that has been idle for longest; false if there is none. */
    boolean evictIdle() {
        // NaN compares false.
        boolean upstreamFirst = upstreams.idleSince() <= callers.idleSince();
        IdlePool first = upstreamFirst ? upstreams : callers;
        return first.evict() || (upstreamFirst ? callers : upstreams).evict();
    }

    /** How many connections to upstreams may stand idle: the rest is for those that carry requests. */
    int mostIdleUpstreams() {
        return Math.max(LEAST_IDLE, limit / IDLE_SHARE);
    }

    int open() {
        return open;
    }

    int limit() {
        return limit;
    }

    /** Whether {@link #roomForUpstream} would say yes; closes nothing. */
    boolean mayOpenUpstream() {
        return open < limit - limit / CALLERS_SHARE || !Double.isNaN(upstreams.idleSince())
                || !Double.isNaN(callers.idleSince());
    }

    /** Whether a connection to an upstream may be opened, after an idle one has gone for it if need be. */
    boolean roomForUpstream() {
        return open < limit - limit / CALLERS_SHARE || evictIdle();
    }

    /**
     * Whether another caller may stay, after an idle connection has gone for it if need be. Callers leave a
     * part to calls to upstreams: without those nothing can be done for them.
     */
    boolean roomForCaller() {
        return callersOpen < limit - limit / UPSTREAMS_SHARE ? open < limit || evictIdle() : callers.evict();
    }

    /** Whether {@link #roomForCaller} might say yes with so many callers more; closes nothing. */
    boolean mayTakeCaller(int others) {
        return callersOpen + others < limit - limit / UPSTREAMS_SHARE || !Double.isNaN(callers.idleSince());
    }

    /** Counts a caller's connection until it is closed. */
    void countCaller(Channel channel) {
        callersOpen++;
        channel.closeFuture().addListener(closed -> callersOpen--);
        count(channel);
    }

    /** Counts a connection until it is closed. */
    void count(Channel channel) {
        open++;
        channel.closeFuture().addListener(closed -> open--);
    }
}
