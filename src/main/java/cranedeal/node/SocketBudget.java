package cranedeal.node;

import io.netty.channel.Channel;

/**
 * Limits the process's connections to the descriptors that it may hold. The kernel establishes callers'
 * connections before they are accepted, so connections to upstreams leave some descriptors to callers. When
 * a descriptor is needed, the connection that has been idle for longest is closed, whether it is a caller's
 * or to an upstream. With many upstreams, most connections to them are hardly ever reused; callers'
 * connections are reused, and a request may cross the close of one.
 */
final class SocketBudget {

    /** Idle connections that can be closed to free descriptors. */
    interface IdlePool {

        /** A pool without connections. */
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

        /** Returns since when the longest idle connection has been idle, in ms; NaN if there is none. */
        double idleSince();

        /** Closes the longest idle connection that may be closed; returns false if there is none. */
        boolean evict();
    }

    /** Descriptors that the process itself needs: jars, selectors, logs, the listening socket, discovery. */
    private static final int RESERVED_DESCRIPTORS = 64;
    /** One in so many of the other descriptors is reserved for callers. */
    private static final int CALLER_ONLY_DIVISOR = 5;
    /** One in so many is reserved for upstreams: as many as there can be callers with requests. */
    private static final int UPSTREAM_ONLY_DIVISOR = 3;
    /** One in so many may be used by idle connections to upstreams, and the minimum for these. */
    private static final int IDLE_UPSTREAM_DIVISOR = 3;
    private static final int MIN_IDLE_UPSTREAMS = 128;

    private final int descriptors;
    private int limit;
    private int open;
    private int openCallers;
    private IdlePool callers = IdlePool.EMPTY;
    private IdlePool upstreams = IdlePool.EMPTY;

    SocketBudget(int descriptors) {
        this.descriptors = descriptors;
        setShared(false);
    }

    /** Limits this process to half of the descriptors while another process of this balancer runs. */
    final void setShared(boolean shared) {
        limit = Math.max(CALLER_ONLY_DIVISOR,
                (shared ? descriptors / 2 : descriptors) - RESERVED_DESCRIPTORS);
        boolean evicted = open > limit;
        while (evicted && open > limit) {
            evicted = upstreams.evict();
        }
    }

    /** Sets the pool of callers' idle connections. */
    void setCallerPool(IdlePool pool) {
        callers = pool;
    }

    /** Sets the pool of idle connections to upstreams. */
    void setUpstreamPool(IdlePool pool) {
        upstreams = pool;
    }

    /** Closes the connection that has been idle for longest; returns false if there is none. */
    boolean evictIdle() {
        // Comparing with NaN yields false.
        boolean upstreamFirst = upstreams.idleSince() <= callers.idleSince();
        IdlePool first = upstreamFirst ? upstreams : callers;
        return first.evict() || (upstreamFirst ? callers : upstreams).evict();
    }

    /** Returns how many connections to upstreams may be idle; the rest is left to those in use. */
    int maxIdleUpstreams() {
        return Math.max(MIN_IDLE_UPSTREAMS, limit / IDLE_UPSTREAM_DIVISOR);
    }

    int open() {
        return open;
    }

    int limit() {
        return limit;
    }

    /** Returns true if {@link #makeRoomForUpstream} would return true; closes nothing. */
    boolean canOpenUpstream() {
        return open < limit - limit / CALLER_ONLY_DIVISOR || !Double.isNaN(upstreams.idleSince())
                || !Double.isNaN(callers.idleSince());
    }

    /** Closes an idle connection if need be, and returns true if one to an upstream may be opened. */
    boolean makeRoomForUpstream() {
        return open < limit - limit / CALLER_ONLY_DIVISOR || evictIdle();
    }

    /**
     * Closes an idle connection if need be, and returns true if another caller may be accepted. Callers leave
     * some descriptors to upstreams, without which they could not be served.
     */
    boolean makeRoomForCaller() {
        return openCallers < limit - limit / UPSTREAM_ONLY_DIVISOR ? open < limit || evictIdle()
                : callers.evict();
    }

    /** Returns true if {@link #makeRoomForCaller} might return true after so many more; closes nothing. */
    boolean mayAcceptCaller(int others) {
        return openCallers + others < limit - limit / UPSTREAM_ONLY_DIVISOR
                || !Double.isNaN(callers.idleSince());
    }

    /** Counts a caller's connection until it is closed. */
    void countCaller(Channel channel) {
        openCallers++;
        channel.closeFuture().addListener(closed -> openCallers--);
        count(channel);
    }

    /** Counts a connection until it is closed. */
    void count(Channel channel) {
        open++;
        channel.closeFuture().addListener(closed -> open--);
    }
}
