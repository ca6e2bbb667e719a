package cranedeal;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import cranedeal.Call.Attempt;

/**
 * The load balancing algorithm. Read {@link LoadBalancer} (LoadBalancer.java) first: it is the interface.
 *
 * <p>In the usual case every server has a cost l = base + p * (1/s - 1), where base is its smoothed latency
 * of served calls, s its success rate over a recent window and p the class's aim. Each call goes to a ready
 * server drawn at random with a probability in proportion to 1/l. The file follows a request: arrival, draw,
 * send, outcome, next attempt or final answer; then come the observations behind l and the server list.
 */
public final class LatencyWeightedBalancer implements LoadBalancer {

    /** Consecutive failed calls of a class after which the earlier successes of a server lose weight. */
    private static final int OUTAGE_FAILURES = 2;
    /** Share of the served calls that is kept at each further failure, so that few calls reveal an outage. */
    private static final double SERVED_KEPT = 0.5;
    /** Share of the failed calls that is kept at the first success after an outage. */
    private static final double FAILED_KEPT = 0.1;
    /** Weight of a sample in the averages over all servers (class latency, machine type, cost hints). */
    private static final double FLEET_GAIN = 0.02;
    /** Expected latency before the first sample, as a share of the class's aim. */
    private static final double INITIAL_LATENCY = 0.2;
    /** Lower bound of latencies in ms; keeps every l above zero. */
    private static final double MIN_LATENCY = 0.01;
    /** Max cost of a substitute, as a multiple of the cost of the drawn server that has no room. */
    private static final double MAX_COST_RATIO = 4;
    /**
     * Share of calls that exceed the delay after which a hedged request or a new attempt is worth its work.
     */
    private static final double SLOW_SHARE = 0.05;
    /** Step of the quantile estimate of that delay, relative to its value. */
    private static final double SLOW_STEP = 0.05;
    /**
     * Ratio of that delay to the expected latency: initial value and bounds, for uniform and long-tailed
     * classes.
     */
    private static final double INITIAL_SLOW_RATIO = 3;
    private static final double MIN_SLOW_RATIO = 1.5;
    private static final double MAX_SLOW_RATIO = 10;
    /** Without hedging, a repeatable attempt is abandoned after this many such delays. */
    private static final double GIVE_UP_FACTOR = 2;
    /** Min duration of such an attempt, as a share of the aim: a short pause does not mean a slow server. */
    private static final double MIN_ATTEMPT_TIME = 0.1;
    /**
     * Retries and hedged requests that each request adds to the budget; bounds them when all servers are
     * slow.
     */
    private static final double RETRIES_PER_REQUEST = 0.1;
    /** Max size of the retry budget, and its size at start. */
    private static final double MAX_RETRY_BUDGET = 3;
    /** A send needs at least this share of the expected latency as remaining time. */
    private static final double MIN_TIME_LEFT = 0.25;
    /** Upper bound of that remaining time, as a share of the aim. */
    private static final double MAX_TIME_RESERVED = 0.5;
    /** Share of the allowed multiple of a cold server's capacity that its send budget uses. */
    private static final double COLD_MARGIN = 0.3;
    /** Min retry-after for a refused client, in ms. */
    private static final double MIN_RETRY_AFTER = 20;
    /**
     * Ms between checks of the queued requests, regardless of their number: no event announces changes that
     * come with time alone, such as decaying observations.
     */
    private static final double QUEUE_CHECK_MS = 20;
    /** Max queued requests of a class that one event wakes, and that a new list wakes. */
    private static final int MAX_WOKEN = 4;
    private static final int MAX_WOKEN_BY_LIST = 64;
    /**
     * Max delay before the watch is retried, as a share of the registry poll interval and in ms: an update
     * counts as known 6 s after it was made.
     */
    private static final double WATCH_RETRY_SHARE = 0.2;
    private static final double MAX_WATCH_RETRY = 1_200;
    /**
     * Max retry-after for a refused client, as a share of its aim, so that its retry still arrives in time.
     */
    private static final double MAX_RETRY_AFTER = 0.5;
    private static final long WATCH_TOKEN = -1;
    private static final long QUEUE_TOKEN = -2;
    private static final int QUEUE_TIMER = 0xff;
    private static final int OVERDUE_TIMER = 0x80;

    private final Actions actions;
    private Settings settings;
    private SplittableRandom random;
    private Map<Long, Server> servers = new LinkedHashMap<>();
    private long serversCreated;
    private final CostModel costs = new CostModel();
    private final LoadShedding shedding = new LoadShedding(FLEET_GAIN);
    private final DrawCounts drawCounts = new DrawCounts();
    private final UnservedCounts unserved = new UnservedCounts();
    private final OverloadDetector overload;
    private ReadyServers ready;
    private final RequestQueue queue = new RequestQueue();
    /** True while the timer that checks the queue is set. */
    private boolean queueTimerSet;
    /** Upstreams that operators have disabled, and since when. */
    private final Map<Long, Double> disabledAt = new HashMap<>();
    /**
     * Upstreams that operators have enabled again recently and that have had no call since, and since when.
     */
    private final Map<Long, Double> reenabledAt = new HashMap<>();
    /** Warm-start state of servers not listed so far, its time, and its index of each present class. */
    private final Map<Long, WarmState.UpstreamState> restored = new HashMap<>();
    private double restoredAt;
    private int[] restoredIndices;
    private final Map<Long, Call> calls = new HashMap<>();
    /** Rule 5: the unsettled requests of each key. Looked up by key only; an empty queue is removed. */
    private final Map<Long, ArrayDeque<Call>> keyQueues = new HashMap<>();
    private ClassStats[] classes;
    private Server.MachineTypeStats[] machineTypes;
    private double retryBudget = MAX_RETRY_BUDGET;
    private double coldUntil = Double.NEGATIVE_INFINITY;

    /** Creates an instance that requests its actions from the host through {@code actions}. */
    public LatencyWeightedBalancer(Actions actions) {
        this.actions = actions;
        overload = new OverloadDetector(actions);
    }

    @Override
    public void start(double now, Settings initial, long seed) {
        settings = initial;
        random = new SplittableRandom(seed);
        classes = new ClassStats[initial.classes().size()];
        Arrays.setAll(classes, i -> newClassStats(i, initial.classes().get(i)));
        assignLeaders();
        machineTypes = new Server.MachineTypeStats[initial.machineTypes()];
        Arrays.setAll(machineTypes, i -> new Server.MachineTypeStats(FLEET_GAIN));
        rebuildIndex(now);
        if (initial.subscribe()) {
            actions.watch(true);
        }
    }

    /** Rebuilds everything that depends on the settings, including the index of ready servers. */
    private void rebuildIndex(double now) {
        servers.values().forEach(server -> withdraw(server, now));
        costs.configure(settings, classes);
        shedding.configure(settings, classes);
        overload.configure(settings);
        ready = new ReadyServers(settings, classes, machineTypes, costs, drawCounts, now);
        for (Server server : servers.values()) {
            server.refreshQueued = false;
            updateReadiness(server, now);
        }
        ready.choosePreferred(now);
    }

    private static ClassStats newClassStats(int index, ServiceClass serviceClass) {
        return new ClassStats(index, serviceClass, INITIAL_LATENCY * serviceClass.aim(), INITIAL_SLOW_RATIO,
                FLEET_GAIN);
    }

    private void assignLeaders() {
        for (ClassStats c : classes) {
            c.leader = Arrays.stream(classes).filter(c::sharesPlacement).findFirst().orElse(c);
        }
    }

    /** Observations are kept by class name. A request in progress keeps the rules of its original class. */
    @Override
    public void settingsChanged(double now, Settings changed) {
        Map<String, ClassStats> oldClasses = new HashMap<>();
        Arrays.stream(classes).forEach(c -> oldClasses.put(c.type.name(), c));
        int[] oldIndices = new int[changed.classes().size()];
        Map<ClassStats, ClassStats> successors = new HashMap<>();
        ClassStats[] newClasses = new ClassStats[oldIndices.length];
        for (int i = 0; i < oldIndices.length; i++) {
            ServiceClass type = changed.classes().get(i);
            ClassStats old = oldClasses.get(type.name());
            oldIndices[i] = old == null ? -1 : old.index;
            newClasses[i] = old == null ? newClassStats(i, type) : old.withSettings(i, type);
            successors.put(old, newClasses[i]);
        }
        calls.values().forEach(call -> call.stats = successors.getOrDefault(call.stats, call.stats));
        oldClasses.values().forEach(old -> old.index = -1);
        servers.values().forEach(server -> server.remapClasses(oldIndices));
        restored.clear();
        classes = newClasses;
        assignLeaders();
        Server.MachineTypeStats[] oldTypes = machineTypes;
        machineTypes = new Server.MachineTypeStats[Math.max(oldTypes.length, changed.machineTypes())];
        Arrays.setAll(machineTypes, i -> i < oldTypes.length
                ? oldTypes[i] : new Server.MachineTypeStats(FLEET_GAIN));
        if (changed.subscribe() && !settings.subscribe()) {
            actions.watch(true);
        }
        settings = changed;
        rebuildIndex(now);
        wakeQueued(MAX_WOKEN_BY_LIST, now);
    }

    // ---- A request arrives -------------------------------------------------------------------------

    @Override
    public void request(double now, Request request) {
        accept(now, request, false);
    }

    @Override
    public void requestStarted(double now, Request request) {
        accept(now, request, true);
    }

    private void accept(double now, Request request, boolean bodyPending) {
        Call call = new Call(request, classes[request.serviceClass()], now, actions.idleTime(now));
        call.bodyPending = bodyPending;
        calls.put(request.id(), call);
        retryBudget = Math.min(MAX_RETRY_BUDGET, retryBudget + RETRIES_PER_REQUEST);
        if (request.cost() > 0) {
            call.stats.workHint.add(request.cost());
        }
        call.usefulUntil = usefulUntil(call, request.deadline(), now);
        ready.advance(now);
        // Refused requests count as demand too, as refusing would otherwise starve the cold servers that
        // could take them. Retries of refused requests do not count; where they aren't marked, only accepted
        // requests count.
        boolean marked = settings.retriesMarked();
        if (marked && !request.retry()) {
            earnColdBudget(call, now);
        }
        double refused = shedding.refusalProbability(call.stats, now);
        if (refused > 0 && random.nextDouble() < refused) {
            unserved.shed();
            refuseOrFail(call, now);
            return;
        }
        if (!marked) {
            earnColdBudget(call, now);
        }
        if (call.type.inOrder() && request.key() != 0) {
            call.keyQueue = keyQueues.computeIfAbsent(request.key(), key -> new ArrayDeque<>());
            call.keyQueue.addLast(call);
        }
        dispatch(call, now);
    }

    /**
     * Returns when an answer stops being worth its work: at the aim if a late answer has no worth, otherwise
     * at the deadline.
     */
    private static double usefulUntil(Call call, double deadline, double now) {
        double stretched = call.type.aim() + call.type.aimStretch() * call.request.cost();
        double aim = now + Math.min(call.type.deadline(), stretched);
        return call.type.lateWorth() > 0 ? deadline : Math.min(deadline, aim);
    }

    /** From now on attempts in flight can be late and can signal overload. */
    @Override
    public void bodyArrived(double now, long requestId, double deadline) {
        Call call = calls.get(requestId);
        if (call == null || !call.bodyPending) {
            return;
        }
        call.bodyPending = false;
        call.arrivedAt = now;
        call.usefulUntil = usefulUntil(call, deadline, now);
        for (Attempt attempt : call.attempts) {
            if (attempt.result == null) {
                attempt.markSent(now, actions.idleTime(now));
                trackInFlight(attempt, now);
                ready.update(attempt.server, now);
            }
        }
    }

    /** Counts an attempt as in flight; its server starts work only once it has the whole body. */
    private void trackInFlight(Attempt attempt, double now) {
        attempt.server.inFlight.addLast(attempt);
        if (settings.tier() == 0) {
            actions.setTimer(attempt.call.id << 8 | OVERDUE_TIMER | attempt.number,
                    now + OverloadDetector.overdueAfter(attempt.call));
        }
    }

    /**
     * Sends the next attempt. A request without attempts is queued while it waits for its turn, or for a
     * server that is ready, allowed, warm enough and not full. It is refused as soon as it can't be served in
     * time or, if the suitable servers are full, once it has waited for the overdue share of its aim.
     */
    private void dispatch(Call call, double now) {
        double latestSend = call.usefulUntil - reservedTime(call) - expectedTurnWait(call);
        boolean itsTurn = call.keyQueue == null || call.keyQueue.peekFirst() == call;
        Server server = itsTurn && now < latestSend ? draw(call, true, now) : null;
        if (server == null && call.maxCost < Double.MAX_VALUE) {
            latestSend = Math.min(latestSend,
                    call.arrivedAt + OverloadDetector.OVERDUE_SHARE * call.type.aim());
            overload.onWait(call, now >= latestSend, now);
        }
        if (server != null) {
            queue.remove(call);
            send(call, server, now);
        } else if (now < latestSend && call.attempts.isEmpty()) {
            enqueue(call, itsTurn, latestSend, now);
        } else {
            answerUnserved(call, now);
        }
    }

    /**
     * Returns the remaining time that a send needs. It is limited to a share of the aim, so that a request
     * with its whole aim left is always tried: otherwise a too high latency estimate would never be
     * corrected.
     */
    private static double reservedTime(Call call) {
        return Math.min(MIN_TIME_LEFT * call.expectedLatency(), MAX_TIME_RESERVED * call.type.aim());
    }

    /**
     * Queues a request until something changes, at most until the given time. A request that waits for its
     * turn is woken by its predecessors instead.
     */
    private void enqueue(Call call, boolean itsTurn, double latestSend, double now) {
        if (latestSend < call.queuedUntil) {
            call.queuedUntil = latestSend;
            actions.setTimer(call.id << 8 | QUEUE_TIMER, latestSend);
        }
        if (itsTurn) {
            queue.add(call);
            scheduleQueueCheck(now);
        }
    }

    /** Schedules the next check of the queue, if it is not empty. */
    private void scheduleQueueCheck(double now) {
        if (queue.size() > 0 && !queueTimerSet) {
            queueTimerSet = true;
            actions.setTimer(QUEUE_TOKEN, now + QUEUE_CHECK_MS);
        }
    }

    /** Retries the first queued requests of each class after a change that they may have waited for. */
    private void wakeQueued(int limitPerClass, double now) {
        if (queue.size() > 0) {
            wake(queue.first(limitPerClass, call -> true), now);
        }
    }

    /**
     * Sends the first queued requests of each class to a server that has room again. No other server had room
     * when they were queued, so no new draw is needed.
     */
    private void wakeQueuedFor(Server server, double now) {
        if (queue.size() == 0 || !ready.contains(server)) {
            return;
        }
        for (Call call : queue.first(MAX_WOKEN, call -> call.type.admits(server.listed))) {
            boolean fits = !call.done && call.attempts.isEmpty() && now < call.queuedUntil
                    && canTakeCall(server, call, now)
                    && costs.idleCost(server, call.stats, now) <= call.maxCost;
            if (fits) {
                queue.remove(call);
                send(call, server, now);
            }
        }
    }

    private void wake(List<Call> woken, double now) {
        for (Call call : woken) {
            if (!call.done && call.attempts.isEmpty()) {
                dispatch(call, now);
            }
        }
    }

    private void checkQueue(double now) {
        queueTimerSet = false;
        ready.advance(now);
        wakeQueued(MAX_WOKEN, now);
        scheduleQueueCheck(now);
    }

    /** Rule 5: returns the expected time of the preceding requests in its key queue. */
    private static double expectedTurnWait(Call call) {
        return call.keyQueue == null ? 0 : call.keyQueue.stream().takeWhile(other -> other != call)
                .mapToDouble(Call::expectedLatency).sum();
    }

    /**
     * Rule 5: removes a request from its key queue once it is over, none of its attempts is in flight and
     * none that was abandoned may still run. If it was first, the next one is sent.
     */
    private void leaveKeyQueue(Call call, double now) {
        boolean first = call.keyQueue.peekFirst() == call;
        call.keyQueue.remove(call);
        if (call.keyQueue.isEmpty()) {
            keyQueues.remove(call.request.key());
        } else if (first) {
            dispatch(call.keyQueue.peekFirst(), now);
        }
    }

    // ---- The draw ----------------------------------------------------------------------------------

    /**
     * Draws a ready server at random in proportion to 1/l; returns null if none can be used. A server that
     * the request has already tried is drawn only if all have been tried and no attempt is in flight. If the
     * drawn server can't take a call now, a server of similar cost may replace it; otherwise the request has
     * to wait, since servers that fail their calls always have room.
     */
    private Server draw(Call call, boolean untried, double now) {
        Limits limits = settings.limits();
        if (call.attempts.size() >= limits.maxAttempts() || call.inFlight > 0 && !limits.parallelAttempts()) {
            return null;
        }
        Predicate<Server> usable = server -> !(untried && call.hasTried(server))
                && isAllowed(call, server, now)
                && (call.maxCost == Double.MAX_VALUE
                || costs.idleCost(server, call.stats, now) <= call.maxCost);
        Server drawn = draw(call, false, usable, now);
        if (drawn == null && untried && call.inFlight == 0 && !call.attempts.isEmpty()
                && call.maxCost == Double.MAX_VALUE) {
            return draw(call, false, now);
        }
        if (drawn == null || canTakeCall(drawn, call, now)) {
            return drawn;
        }
        call.fullServer = drawn;
        call.maxCost = Math.min(call.maxCost, MAX_COST_RATIO * costs.idleCost(drawn, call.stats, now));
        return draw(call, true, server -> usable.test(server) && canTakeCall(server, call, now), now);
    }

    /** Draws among the servers that remain allowed after the attempts that may have run. */
    private Server draw(Call call, boolean openOnly, Predicate<Server> fits, double now) {
        ClassStats stats = call.stats;
        if (stats.index < 0) {
            return ready.drawFromAll(stats, fits, random, now);
        }
        Attempt first = call.type.idempotency() == Idempotency.DEDUPLICATED ? call.firstMaybeRun() : null;
        if (first != null && call.type.dedupScope() == DedupScope.CELL) {
            return ready.drawFromCell(stats, first.server.listed.cell(), fits, random, now);
        }
        int zone = first != null && call.type.dedupScope() == DedupScope.ZONE ? first.server.listed.zone()
                : ReadyServers.ANY_ZONE;
        return ready.draw(stats, zone, openOnly, fits, random, now);
    }

    /** Returns true if a server can take a call now. */
    private static boolean canTakeCall(Server server, Call call, double now) {
        return !server.outOfBudget && CostModel.hasRoom(server, call.type.aim(), now);
    }

    /**
     * Rules 6 and 2: checks the placement, and limits a request with an attempt that may have run to that
     * attempt's deduplication scope and window.
     */
    private static boolean isAllowed(Call call, Server server, double now) {
        if (!call.type.admits(server.listed)) {
            return false;
        }
        Attempt first = call.firstMaybeRun();
        ServiceClass serviceClass = call.type;
        if (first == null || serviceClass.idempotency() == Idempotency.IDEMPOTENT) {
            return true;
        }
        Upstream firstUpstream = first.server.listed;
        return serviceClass.idempotency() == Idempotency.DEDUPLICATED
                && now < first.sentAt + serviceClass.dedupWindow()
                && (serviceClass.dedupScope() == DedupScope.ALL
                        || (serviceClass.dedupScope() == DedupScope.ZONE
                                ? firstUpstream.zone() == server.listed.zone()
                                : firstUpstream.cell() == server.listed.cell()));
    }

    // ---- Rule 4: servers that have just started ----------------------------------------------------

    /**
     * Adds a part of a call to the send budget of each cold server that may serve this request: its share of
     * the traffic by warmth, times the allowed overload factor, less a margin. Shares need no history, and
     * those of siblings that do the same add up. Requests rather than sends are counted, so that a completely
     * cold fleet can start; at least half of the servers are assumed warm, so that this does not overload
     * them. That half refers to the servers that the traffic was spread over before: if warm servers leave,
     * their traffic must not count towards those that remain.
     */
    private void earnColdBudget(Call call, double now) {
        double warmServers = 0;
        int openServers = 0;
        for (ServerPool pool : ready.pools()) {
            if (call.type.admits(pool.example)) {
                warmServers += pool.warmth(now);
                openServers += pool.size();
            }
        }
        call.stats.warmServers = now < coldUntil
                ? Math.max(call.stats.warmServers, warmServers) : warmServers;
        if (now >= coldUntil || openServers == 0) {
            return;
        }
        double share = Math.min(1, COLD_MARGIN * settings.rules().overloadFactor());
        share /= Math.max(warmServers, Math.max(call.stats.warmServers, openServers) / 2);
        boolean opened = false;
        for (ServerPool pool : ready.pools()) {
            opened |= call.type.admits(pool.example) && ready.earn(pool, share, now);
        }
        if (opened) {
            wakeQueued(MAX_WOKEN, now);
        }
    }

    // ---- The send ----------------------------------------------------------------------------------

    private void send(Call call, Server server, double now) {
        Attempt attempt = new Attempt(call, server);
        attempt.markSent(now, actions.idleTime(now));
        double timeout = call.bodyPending ? 0 : call.usefulUntil - now;
        double slowAfter = call.slowAfter();
        double giveUpAfter = Math.max(GIVE_UP_FACTOR * slowAfter, MIN_ATTEMPT_TIME * call.type.aim());
        boolean repeatable = call.type.idempotency() != Idempotency.AT_MOST_ONCE && !call.type.streamed();
        if (repeatable && settings.limits().parallelAttempts()
                && slowAfter + call.expectedLatency() < timeout) {
            actions.setTimer(call.id << 8 | attempt.number, now + slowAfter);
        } else if (repeatable && retryBudget >= 1 && giveUpAfter + call.expectedLatency() < timeout) {
            timeout = giveUpAfter;
        }
        call.attempts.add(attempt);
        reenabledAt.remove(server.listed.id());
        call.maxCost = Double.MAX_VALUE;
        call.inFlight++;
        if (!call.bodyPending) {
            trackInFlight(attempt, now);
        }
        ready.sent(server, now);
        ready.update(server, now);
        actions.send(call.id, server.listed.id(), timeout);
    }

    /**
     * Handles a timer: the retry of a watch, a check of the queue, the end of a queue wait, an overdue call,
     * or a call slower than nearly all others, for which a hedged request is sent if the budget allows.
     */
    @Override
    public void timer(double now, long token) {
        Call call = calls.get(token >>> 8);
        int number = (int) (token & 0xff);
        if (token == WATCH_TOKEN) {
            actions.watch(true);
        } else if (token == QUEUE_TOKEN) {
            checkQueue(now);
        } else if (call == null) {
            return;
        } else if (call.done) {
            removeIfSettled(call, now);
        } else if (number == QUEUE_TIMER && call.attempts.isEmpty()) {
            call.queuedUntil = Double.POSITIVE_INFINITY;
            dispatch(call, now);
        } else if (number >= OVERDUE_TIMER && number < QUEUE_TIMER) {
            // Overload is signalled as soon as a call is overdue: by the time it ends, many more have piled
            // up.
            Attempt attempt = call.attempts.get(number - OVERDUE_TIMER);
            if (attempt.result == null && !attempt.streaming) {
                overload.onOverdueTimer(attempt, token, now);
            }
        } else if (!call.streaming && call.attempts.size() == number + 1
                && call.attempts.get(number).result == null
                && retryBudget >= 1 && call.stats.leader.pressure < LoadShedding.MAX_HEDGING_PRESSURE
                && call.usefulUntil - now > call.expectedLatency()) {
            Server server = draw(call, true, now);
            if (server != null) {
                retryBudget -= 1;
                send(call, server, now);
            }
        }
    }

    // ---- The outcome -------------------------------------------------------------------------------

    @Override
    public void attemptFinished(double now, Outcome outcome) {
        Call call = calls.get(outcome.requestId());
        if (call == null || outcome.attempt() >= call.attempts.size()
                || call.attempts.get(outcome.attempt()).result != null) {
            return;
        }
        Attempt attempt = call.attempts.get(outcome.attempt());
        attempt.result = outcome.result();
        attempt.server.inFlight.remove(attempt);
        call.inFlight--;
        if (outcome.result() == Result.TIMEOUT || outcome.result() == Result.RESET
                || outcome.result() == Result.CANCELLED) {
            call.keyRestsUntil = now + settings.rules().orderSettle();
        }
        recordOutcome(attempt, outcome, now);
        boolean alreadyCounted = attempt.streaming && !call.type.streamed();
        boolean inTime = outcome.elapsed() < OverloadDetector.overdueAfter(call);
        // A call that fails at once indicates a fault rather than overload.
        boolean ended = outcome.result() != Result.CANCELLED && outcome.result() != Result.NOT_SENT;
        if (!alreadyCounted && ended && (!inTime || outcome.result() == Result.OK
                || outcome.result() == Result.FULL || outcome.result() == Result.TIMEOUT)) {
            overload.onEnded(attempt, outcome.result() == Result.OK && inTime, now);
        }
        if (outcome.result() == Result.OK && attempt.number > 0) {
            // Another server served the request, so single servers fail and there is no overload: refund the
            // retry.
            retryBudget = Math.min(MAX_RETRY_BUDGET, retryBudget + 1);
        }
        ready.update(attempt.server, now);
        closeIdleIfFull(attempt.server, outcome.result(), now);
        if (outcome.requestClosed() || call.done) {
            finish(call, now);
        } else if (call.inFlight == 0 && (outcome.result() == Result.NOT_SENT || retryBudget < 1)) {
            answerUnserved(call, now);
        } else if (call.inFlight == 0) {
            retryBudget -= 1;
            dispatch(call, now);
        }
        wakeQueuedFor(attempt.server, now);
    }

    /**
     * Closes idle connections to a server whose connection table is full. Idle connections of many balancers
     * can fill the table, and the server then rejects connections though it has spare capacity. So after a
     * failed connect, unused connections to that server are closed for as long as idle connections last.
     * Connections to other servers are kept: a failed connect may also mean that a server is down.
     */
    private void closeIdleIfFull(Server server, Result result, double now) {
        if (result == Result.CONNECT_FAILED) {
            server.tableFullUntil = now + settings.limits().connectionIdle();
        }
        if (now < server.tableFullUntil && server.inFlight.isEmpty()) {
            actions.closeIdle(server.listed.id());
        }
    }

    private void answerUnserved(Call call, double now) {
        unserved.unserved(call.attempts.size());
        refuseOrFail(call, now);
    }

    /** Rule 1: gives the one final answer, a refusal only where a retry is known to be harmless. */
    private void refuseOrFail(Call call, double now) {
        ServiceClass serviceClass = call.type;
        boolean harmless = serviceClass.idempotency() == Idempotency.IDEMPOTENT
                || call.firstMaybeRun() == null
                || serviceClass.idempotency() == Idempotency.DEDUPLICATED
                && serviceClass.dedupScope() == DedupScope.ALL;
        if (harmless) {
            actions.refuse(call.id, settings.limits().retryAfter() ? retryAfter(call) : 0);
        } else {
            actions.fail(call.id);
        }
        finish(call, now);
    }

    /** Returns the retry-after for a refused client, which grows with the pressure. */
    private double retryAfter(Call call) {
        double longest = Math.min(settings.limits().maxRetryAfter(), MAX_RETRY_AFTER * call.type.aim());
        return Math.min(longest, MIN_RETRY_AFTER + longest * call.stats.leader.pressure);
    }

    /** Ends a request and cancels its attempts in flight, which would only waste work. */
    private void finish(Call call, double now) {
        for (Attempt attempt : call.attempts) {
            if (!call.done && attempt.result == null && !attempt.streaming && settings.limits().cancel()) {
                actions.cancel(call.id, attempt.number);
            }
        }
        call.done = true;
        queue.remove(call);
        removeIfSettled(call, now);
    }

    private void removeIfSettled(Call call, double now) {
        if (call.inFlight > 0) {
            return;
        }
        if (call.keyQueue != null && now < call.keyRestsUntil) {
            actions.setTimer(call.id << 8 | QUEUE_TIMER, call.keyRestsUntil);
        } else if (calls.remove(call.id) != null && call.keyQueue != null) {
            leaveKeyQueue(call, now);
        }
    }

    @Override
    public void streamStarted(double now, long requestId, int attempt, double elapsed) {
        Call call = calls.get(requestId);
        if (call != null && attempt < call.attempts.size()) {
            Attempt streamingAttempt = call.attempts.get(attempt);
            call.streaming = true;
            streamingAttempt.streaming = true;
            recordLatency(streamingAttempt, elapsed);
            if (!call.type.streamed()) {
                // The work for a large answer is done; its duration from here on depends on the reader.
                streamingAttempt.server.inFlight.remove(streamingAttempt);
                streamingAttempt.server.count(call.stats.index, true);
                overload.onEnded(streamingAttempt, elapsed < OverloadDetector.overdueAfter(call), now);
                ready.update(streamingAttempt.server, now);
                wakeQueuedFor(streamingAttempt.server, now);
            }
        }
    }

    @Override
    public void clientGone(double now, long requestId) {
        Call call = calls.get(requestId);
        if (call != null) {
            finish(call, now);
        }
    }

    // ---- The observations behind l -----------------------------------------------------------------

    /**
     * Records an outcome: served calls count as successes; errors, full servers, timeouts and failed or reset
     * connections lower the success rate s.
     */
    private void recordOutcome(Attempt attempt, Outcome outcome, double now) {
        Server server = attempt.server;
        Result result = outcome.result();
        // A cancelled hedged request counts only if it was overdue, and then like a timeout.
        boolean noEvidence = result == Result.CANCELLED
                && (attempt.streaming || outcome.elapsed() <= attempt.call.slowAfter());
        if (result == Result.NOT_SENT || noEvidence) {
            return;
        }
        server.decay(now, CostModel.EVIDENCE_DECAY, CostModel.DECAY_STEP);
        if (result == Result.OK || result == Result.ERROR || result == Result.RESET
                || result == Result.CONNECT_FAILED) {
            server.updateOutage(attempt.call.stats.index, result == Result.OK, OUTAGE_FAILURES, SERVED_KEPT,
                    FAILED_KEPT);
        }
        if (result != Result.OK || !attempt.streaming || attempt.call.type.streamed()) {
            server.count(attempt.call.stats.index, result == Result.OK);
        }
        if (result == Result.OK) {
            if (!attempt.streaming) {
                recordLatency(attempt, outcome.elapsed());
            }
        } else if (result == Result.CANCELLED || result == Result.TIMEOUT) {
            updateSlowRatio(attempt.call.stats, Double.MAX_VALUE);
        }
    }

    private void recordLatency(Attempt attempt, double elapsed) {
        Call call = attempt.call;
        if (actions.localDelay(call.id, attempt.number) > 0) {
            // The remaining time may range from nothing to all of it, which is no valid latency sample.
            return;
        }
        Server server = attempt.server;
        double perHint = Math.max(MIN_LATENCY, elapsed) / call.workFactor();
        double relative = perHint / call.stats.latency.value();
        updateSlowRatio(call.stats, relative);
        call.stats.latency.add(perHint / CostModel.relativeLatency(server));
        server.latencySum += relative;
        server.latencyCount += 1;
        server.machineType.latency.add(relative);
    }

    /**
     * Updates the estimated quantile of latency over expected latency that only SLOW_SHARE of calls exceed.
     */
    private static void updateSlowRatio(ClassStats c, double ratio) {
        double updated = c.slowRatio * (1 + SLOW_STEP * (ratio > c.slowRatio ? 1 - SLOW_SHARE : -SLOW_SHARE));
        c.slowRatio = Math.min(MAX_SLOW_RATIO, Math.max(MIN_SLOW_RATIO, updated));
    }

    @Override
    public DecisionStats stats() {
        double pressure = Arrays.stream(classes).mapToDouble(c -> c.leader.pressure).max().orElse(0);
        return new DecisionStats(drawCounts.draws, drawCounts.examined, queue.size(), unserved.snapshot(),
                pressure);
    }

    @Override
    public WarmState warmState(double now) {
        servers.values().forEach(server -> server.decay(now, CostModel.EVIDENCE_DECAY, CostModel.DECAY_STEP));
        return new WarmState(Arrays.stream(classes).map(ClassStats::warmState).toList(),
                servers.values().stream().map(server -> server.warmState(now)).toList());
    }

    /** The observations decay for the time in between, as if this process had been running all along. */
    @Override
    public void restoreWarmState(double now, WarmState state, double age) {
        restoredAt = now - age;
        restoredIndices = new int[classes.length];
        Arrays.fill(restoredIndices, -1);
        for (int i = 0; i < state.classes().size(); i++) {
            WarmState.ClassState saved = state.classes().get(i);
            for (ClassStats c : classes) {
                if (c.type.name().equals(saved.name())) {
                    restoredIndices[c.index] = i;
                    c.restore(saved, Math.exp(-age / CostModel.EVIDENCE_DECAY));
                }
            }
        }
        state.upstreams().forEach(old -> restored.put(old.id(), old));
    }

    // ---- The list of servers -----------------------------------------------------------------------

    @Override
    public void upstreamsChanged(double now, Change change, List<Upstream> upstreams) {
        if (change == Change.FAILED) {
            double maxDelay = Math.min(MAX_WATCH_RETRY,
                    WATCH_RETRY_SHARE * settings.rules().registryPollInterval());
            actions.setTimer(WATCH_TOKEN, now + maxDelay * (1 + random.nextDouble()) / 2);
            return;
        }
        if (change == Change.DELTA) {
            upstreams.forEach(upstream -> applyEntry(servers.get(upstream.id()), upstream, now));
        } else {
            Map<Long, Server> unlisted = servers;
            servers = new LinkedHashMap<>();
            for (Upstream upstream : upstreams) {
                Server known = unlisted.remove(upstream.id());
                applyEntry(known == null ? servers.get(upstream.id()) : known, upstream, now);
            }
            unlisted.values().forEach(removed -> withdraw(removed, now));
        }
        ready.choosePreferred(now);
        wakeQueued(MAX_WOKEN_BY_LIST, now);
    }

    /** Applies a list entry; {@code known} is the present record of that upstream, or null. */
    private void applyEntry(Server known, Upstream upstream, double now) {
        if (upstream.state() == State.REMOVED) {
            servers.remove(upstream.id());
            withdraw(known, now);
        } else if (known == null || known.listed.startedAt() != upstream.startedAt()) {
            // A restarted server is a new one: cold, without observations.
            withdraw(known, now);
            addServer(upstream, upstream.startedAt(), now);
        } else {
            if (!isSamePlacement(known.listed, upstream)) {
                withdraw(known, now);
            }
            known.listed = upstream;
            servers.put(upstream.id(), known);
            updateReadiness(known, now);
        }
    }

    private static boolean isSamePlacement(Upstream first, Upstream second) {
        return first.zone() == second.zone() && first.machineType() == second.machineType()
                && first.cell() == second.cell();
    }

    /**
     * Rule 3: returns true if a server may be drawn. Draining, removed and disabled servers are excluded at
     * once.
     */
    private boolean isReady(Server server) {
        return server.listed.state() == State.READY && !disabledAt.containsKey(server.listed.id());
    }

    private void updateReadiness(Server server, double now) {
        if (isReady(server) && !ready.contains(server)) {
            ready.add(server, now);
        } else if (!isReady(server)) {
            withdraw(server, now);
        }
    }

    private void withdraw(Server server, double now) {
        if (server != null && ready.contains(server)) {
            ready.remove(server, now);
        }
    }

    private void addServer(Upstream upstream, double listedStart, double now) {
        Server.MachineTypeStats machineType =
                machineTypes[Math.min(upstream.machineType(), machineTypes.length - 1)];
        WarmState.UpstreamState saved = restored.remove(upstream.id());
        boolean sameProcess = saved != null && saved.listedStartedAt() == listedStart;
        double startedAt = sameProcess ? saved.startedAt() : listedStart;
        Server server = new Server(upstream, serversCreated++, startedAt, machineType, classes.length, now,
                random.nextDouble());
        servers.put(upstream.id(), server);
        if (sameProcess) {
            server.restore(saved, restoredAt, restoredIndices);
            server.decay(now, CostModel.EVIDENCE_DECAY, 0);
            server.updateMachineType();
        }
        if (now < reenabledAt.getOrDefault(upstream.id(), Double.NEGATIVE_INFINITY) + Server.TRIAL_WINDOW) {
            scheduleTrial(server, now);
        }
        if (startedAt != 0) {
            coldUntil = Math.max(coldUntil, startedAt + settings.rules().warmUp());
        }
        updateReadiness(server, now);
    }

    /** Schedules the trial of a server at a random time, as all siblings may be notified at once. */
    private void scheduleTrial(Server server, double now) {
        server.trialFrom = now + random.nextDouble() * Server.TRIAL_WINDOW / 2;
        ready.scheduleTrial(server, now);
    }

    /**
     * Operators disable a server to restart it, and the list reports the restart late. Unless the list
     * already has, the server is treated as cold from now on: treated as warm, it would be overloaded.
     */
    @Override
    public void upstreamDisabled(double now, long upstream, boolean disabled) {
        Server server = servers.get(upstream);
        if (disabled) {
            disabledAt.putIfAbsent(upstream, now);
            withdraw(server, now);
        } else {
            reenable(upstream, server, now);
        }
        ready.choosePreferred(now);
        wakeQueued(MAX_WOKEN_BY_LIST, now);
    }

    private void reenable(long upstream, Server server, double now) {
        Double disabledSince = disabledAt.remove(upstream);
        if (disabledSince == null) {
            return;
        }
        reenabledAt.put(upstream, now);
        reenabledAt.values().removeIf(enabledAt -> now >= enabledAt + Server.TRIAL_WINDOW);
        if (server != null && server.startedAt < disabledSince) {
            withdraw(server, now);
            addServer(server.listed, now, now);
        } else if (server != null) {
            scheduleTrial(server, now);
            updateReadiness(server, now);
        }
    }

    @Override
    public int excludedUpstreams() {
        return servers.size() - ready.size();
    }
}
