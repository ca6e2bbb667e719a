package cranedeal;

import java.util.List;

/**
 * Decides for one load balancer instance: the host reports events and carries out the actions.
 *
 * <p>An instance has no clock, thread or socket of its own. Its host calls one event method at a time, each
 * with the time of the event, and performs the {@link Actions} that the instance requests during that call.
 * All times and durations are in milliseconds; the origin of the clock is arbitrary, and it never goes back.
 * The same events, settings and seed lead to the same actions.
 */
public interface LoadBalancer {

    /** Starts the instance. This is the first call; a {@link Change#CACHED} list follows. */
    void start(double now, Settings settings, long seed);

    /**
     * Reports a change of the upstreams. {@link Change#DELTA} carries changed entries only,
     * {@link Change#FULL} and {@link Change#CACHED} the whole list, {@link Change#FAILED} no entry: a call to
     * the registry failed.
     */
    void upstreamsChanged(double now, Change change, List<Upstream> upstreams);

    /**
     * Replaces the settings. Classes are matched by name. Requests in progress keep their class, even if it
     * was removed; later requests use indexes into the new settings.
     */
    default void settingsChanged(double now, Settings settings) { }

    /**
     * Reports that operators have disabled an upstream, regardless of its state in the lists, or have enabled
     * it again. It may have been restarted in between. It need not be listed, and the same state may be
     * reported twice.
     */
    default void upstreamDisabled(double now, long upstream, boolean disabled) { }

    /** Returns how many listed upstreams receive no requests at present. */
    default int excludedUpstreams() {
        return 0;
    }

    /** Returns counters of the decisions made so far. */
    default DecisionStats stats() {
        return DecisionStats.NONE;
    }

    /**
     * Returns what a later process of this instance can start with; requests in progress are not included.
     */
    default WarmState warmState(double now) {
        return WarmState.EMPTY;
    }

    /**
     * Restores the state that an earlier process of this instance saved {@code age} ms ago; the older it is,
     * the less weight it has. Called at most once, between {@link #start} and the first list.
     */
    default void restoreWarmState(double now, WarmState state, double age) { }

    /** Reports a new request. The instance must give it exactly one final answer. */
    void request(double now, Request request);

    /**
     * Like {@link #request}, for a request whose body is still arriving: an upstream can't start work on it,
     * and no time limit applies, until {@link #bodyArrived}.
     */
    default void requestStarted(double now, Request request) {
        request(now, request);
    }

    /** Reports that the body of a started request is complete; its client waits until the deadline. */
    default void bodyArrived(double now, long requestId, double deadline) { }

    /** Reports the end of an attempt; exactly one such event follows each {@link Actions#send}. */
    void attemptFinished(double now, Outcome outcome);

    /**
     * Reports that the streamed answer of an attempt has started. From now on the module times neither; the
     * host ends an answer that is not whole in its time and has to be.
     */
    void streamStarted(double now, long requestId, int attempt, double elapsed);

    /**
     * Reports that the client has disconnected and needs no answer. Outcomes of attempts in flight still
     * follow.
     */
    void clientGone(double now, long requestId);

    /** Reports that a timer set by {@link Actions#setTimer} has expired. */
    void timer(double now, long token);

    /** Reports the result of a probe; {@code report} is null if the upstream sent none. */
    default void probeResult(double now, long upstream, Result result, double elapsed, double[] report) { }

    /** Delivers a message from another instance of the same tier. */
    default void peerMessage(double now, int sender, byte[] payload) { }

    /**
     * Actions that an instance requests from its host. All of them take effect at the time of the current
     * event.
     */
    interface Actions {

        /**
         * Sends an attempt. The attempts of a request are numbered 0, 1, 2 ... in the order of these calls.
         */
        void send(long requestId, long upstream, double timeout);

        /**
         * Final answer: refused; a retry is harmless. A {@code retryAfter} of 0 gives no advice on when to
         * retry.
         */
        void refuse(long requestId, double retryAfter);

        /** Final answer: failed; the request may have taken effect. */
        void fail(long requestId);

        /** Stops waiting for one attempt. */
        void cancel(long requestId, int attempt);

        /** Sends a probe to an upstream. */
        void probe(long upstream);

        /** Closes this instance's idle connections to an upstream. */
        void closeIdle(long upstream);

        /** Requests the whole list from the registry once. */
        void fetch();

        /** Starts or stops watching the registry for changes. */
        void watch(boolean on);

        /** Requests a {@link LoadBalancer#timer} event at or after the given time. */
        void setTimer(long token, double at);

        /** Sends a message to one instance of this tier, or to all with {@link #ALL_PEERS}. */
        void sendToPeer(int peer, byte[] payload);

        /** Writes a line to the host's log. */
        void log(String text);

        /**
         * Returns for how many ms this process, rather than the upstream, has delayed an attempt so far: its
         * connection was established or its answer had arrived, but the process had not yet handled that.
         * Returns 0 where the delay is too short to matter. The elapsed time of an outcome already excludes
         * this delay as far as it is known.
         */
        default double localDelay(long requestId, int attempt) {
            return 0;
        }

        /**
         * Returns the total idle time of this process up to now, in ms from an arbitrary origin. It does not
         * advance while the process is busy; for a host that is never short of CPU it advances with the
         * clock.
         */
        default double idleTime(double now) {
            return now;
        }

        /** Addresses every other instance of the tier. */
        int ALL_PEERS = -1;
    }

    /** The kinds of upstream list updates. */
    enum Change { DELTA, FULL, CACHED, FAILED }

    /** The state of an upstream. A removed upstream is listed only in a {@link Change#DELTA}. */
    enum State { REMOVED, READY, DRAINING }

    /**
     * An entry of the upstream list.
     *
     * @param id opaque address
     * @param zone index of its zone
     * @param machineType index of its machine type
     * @param cell the small group of upstreams that share a record of the keys they have seen
     * @param weight relative size, see {@link Settings#weightKind}
     * @param startedAt when its process last started; 0 for long ago
     */
    record Upstream(long id, int zone, int machineType, int cell, State state, double weight,
            double startedAt) { }

    /**
     * A client's request.
     *
     * @param serviceClass index into {@link Settings#classes}
     * @param tenant index into {@link Settings#tenants}
     * @param key key shared by related requests; 0 for none
     * @param deadline when the client stops waiting for this try
     * @param cost expected work in ms of a standard core; 0 if unknown
     * @param retry true if the client marked it as a retry
     * @param write true if it changes data
     */
    record Request(long id, int serviceClass, int tenant, long key, double deadline, double cost,
            boolean retry, boolean write) { }

    /** How an attempt or a probe ended. */
    enum Result {
        OK, ERROR, FULL, TIMEOUT, CONNECT_FAILED, RESET, CANCELLED, NOT_SENT;

        /** Returns true if this result proves that the attempt never ran. */
        public boolean neverRan() {
            return this == FULL || this == CONNECT_FAILED || this == NOT_SENT;
        }
    }

    /**
     * The end of one attempt.
     *
     * @param requestClosed true if the request is over; otherwise it still needs its final answer
     * @param elapsed time since the attempt was sent
     * @param report the upstream's load report in the order of {@link Settings#reportFields}, or null
     */
    record Outcome(long requestId, int attempt, long upstream, Result result, boolean requestClosed,
            double elapsed, double[] report) { }

    /**
     * Counters of an instance's decisions.
     *
     * @param draws number of random draws of an upstream since the start
     * @param examined number of upstreams that these draws examined
     * @param queued number of requests that wait at present for an upstream that can take them
     * @param unserved requests that were refused or failed since the start
     * @param pressure the greatest share of the requested work that is refused at present, from 0 to 1
     */
    record DecisionStats(long draws, long examined, int queued, Unserved unserved, double pressure) {

        /** All zero, also for an instance that does not count. */
        public static final DecisionStats NONE = new DecisionStats(0, 0, 0, new Unserved(0, 0, 0), 0);
    }

    /**
     * Requests that an instance refused or failed, by reason.
     *
     * @param shed refused on arrival because of signs of overload
     * @param noUpstream never sent, as no upstream could take them in time
     * @param attemptsFailed all attempts failed, and no time or retry budget was left for another
     */
    record Unserved(long shed, long noUpstream, long attemptsFailed) { }

    /**
     * Warm-start state: what an instance has observed of classes and upstreams.
     *
     * @param classes in the order of {@link UpstreamState#servedByClass} and
     *     {@link UpstreamState#attemptsByClass}
     * @param upstreams the upstreams that are listed
     */
    record WarmState(List<ClassState> classes, List<UpstreamState> upstreams) {

        /** No state. */
        public static final WarmState EMPTY = new WarmState(List.of(), List.of());

        /**
         * Observations of a class over all upstreams.
         *
         * @param latency latency in ms of served requests, for a request of mean cost on a mean upstream
         * @param hint mean hinted work in ms; 0 if there were no hints
         * @param slowRatio ratio to the expected latency that only the slowest calls exceed
         */
        public record ClassState(String name, double latency, double hint, double slowRatio) { }

        /**
         * Observations of one process of an upstream, as sums that decay over time.
         *
         * @param listedStartedAt start time in the list; a process that started later is a different one
         * @param startedAt assumed start time: as listed, or later
         * @param observedFor ms since the first observation
         * @param latencySum sum of the latencies of served calls, relative to the expected latency
         * @param latencyCount number of latencies in that sum
         * @param totalServed calls served, over all classes
         * @param totalAttempts calls that have ended, over all classes
         * @param servedByClass calls served, by class
         * @param attemptsByClass calls that have ended, by class
         */
        public record UpstreamState(long id, double listedStartedAt, double startedAt, double observedFor,
                double latencySum, double latencyCount, double totalServed, double totalAttempts,
                double[] servedByClass, double[] attemptsByClass) { }
    }

    /** How safe it is to run a request of a class more than once. */
    enum Idempotency { IDEMPOTENT, DEDUPLICATED, AT_MOST_ONCE }

    /** The upstreams among which duplicates of a request of a deduplicated class are dropped. */
    enum DedupScope { ALL, ZONE, CELL }

    /** How upstreams deliver load reports, if at all. */
    enum ReportMode { PIGGYBACK, PROBE, NONE }

    /** The meaning of an upstream's weight. */
    enum WeightKind { NONE, NOMINAL, ROUGH, LIVE }

    /**
     * A class of requests.
     *
     * @param aim latency target in ms: an answer within it earns the full worth
     * @param aimStretch the aim grows by this factor times the request's own work
     * @param deadline how long a client waits over all its tries
     * @param lateWorth the share of the worth left after the aim
     * @param dedupWindow how long duplicates are dropped, from the first attempt that may have run
     * @param streamed true if answers are streams
     * @param inOrder true if requests with the same key run one at a time in order of arrival; all such
     *     classes share their keys, and a request without a key is not ordered
     * @param zones the only zones it may be sent to; null for any zone, empty for none
     * @param machineTypes the only machine types it may be sent to; null for any type, empty for none
     */
    record ServiceClass(String name, double aim, double aimStretch, double deadline, double worth,
            double lateWorth, Idempotency idempotency, DedupScope dedupScope, double dedupWindow,
            boolean streamed, boolean inOrder, List<Integer> zones, List<Integer> machineTypes) {

        /** Returns true if requests of this class may be sent to this upstream. */
        public boolean admits(Upstream upstream) {
            return (zones == null || zones.contains(upstream.zone()))
                    && (machineTypes == null || machineTypes.contains(upstream.machineType()));
        }
    }

    /** A tenant, its share of the service and its quota in requests per second over all instances. */
    record Tenant(String name, double share, double quotaPerSecond) { }

    /**
     * Limits of a site.
     *
     * @param cpuPerRequest microseconds of CPU for a request with its outcomes; 0 for no limit
     * @param cpuPerSecond microseconds of CPU for an instance in a second
     */
    record Limits(int maxAttempts, int maxOpen, boolean cancel, boolean parallelAttempts, boolean probes,
            boolean peers, boolean retryAfter, double maxRetryAfter, double connectTimeout,
            double connectionIdle, int streamsPerConnection, double cpuPerRequest, double cpuPerSecond) { }

    /**
     * Parameters of the rules; see {@code docs/design.md}.
     *
     * @param overloadFactor multiple of a cold server's capacity that may be sent to it over a window
     * @param overloadWindow length of that window in ms
     * @param orderSettle ms for which a key is blocked after an attempt was abandoned that may still run
     */
    record Rules(double answerGrace, double drainGrace, double registryPollInterval, double startCapacity,
            double warmUp, double overloadFactor, double overloadWindow, double orderSettle) { }

    /**
     * Weights of the parts of the result; a part that a site does not use has weight 0.
     *
     * @param tail the worth counts in full only while at most the share {@code tailMiss} misses its aim;
     *     a refusal within the aim is not a miss
     * @param nines powers of ten by which the unserved worth lies below the total; {@code topNines} of
     *     them score in full
     */
    record Goal(double whole, double worstWindow, double worstClass, double worstTenant, double tail,
            double tailMiss, double nines, double topNines) { }

    /** Points deducted from the result, each in proportion to its share or rate. */
    record Prices(double crossZone, double probe, double waste, double lateFail, double connection,
            double handshake, double peer, double registry) { }

    /**
     * Settings of an instance.
     *
     * @param position index of this instance among its siblings
     * @param siblings number of instances in its tier
     * @param tier the tier it sends to; clients reach tier 0
     * @param subscribe true if the registry notifies subscribers only
     * @param passesDeadline true if calls between tiers carry the caller's remaining time
     * @param warmKeys true if an upstream that served a key recently serves it at lower cost
     * @param worthByWork true if worth counts per unit of work rather than per request
     * @param overShareWorth worth of a request beyond its tenant's share, as a factor of its class's
     *     worth
     */
    record Settings(int position, int siblings, int tier, int tiers, int zone, int zones, int machineTypes,
            boolean subscribe, boolean passesDeadline, boolean warmKeys, boolean retriesMarked,
            boolean worthByWork, double overShareWorth, WeightKind weightKind, ReportMode reportMode,
            List<String> reportFields, List<ServiceClass> classes, List<Tenant> tenants, Limits limits,
            Rules rules, Goal goal, Prices prices) { }
}
