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
 * All decisions of cranedeal. Read {@link LoadBalancer} (LoadBalancer.java) first: it is the interface.
 *
 * <p>The ordinary path: every server has a cost l = base + p * (1/s - 1), where base is its smoothed served
 * latency, s its windowed success share and p the class's steady time-out; each call goes to a ready server
 * drawn at random in proportion to 1/l. The file follows a request: arrival, the draw, the send, the
 * outcome, the next attempt or the final answer; then the evidence behind l, then the server list.
 */
public final class LatencyWeightedBalancer implements LoadBalancer {

    /** Calls of a class broken one after the other that end what was known of a server that served them. */
    private static final int OUTAGE = 2;
    /** Share of the calls served that counts on at each further fault: an outage is felt in a few calls. */
    private static final double SERVED_KEPT = 0.5;
    /** Share of the calls broken that counts on once it serves again: it has recovered. */
    private static final double BROKEN_KEPT = 0.1;
    /** Weight of a sample in the averages over all servers (class latency, machine type, cost hints). */
    private static final double FLEET_GAIN = 0.02;
    /** Expected latency before any was seen, as a share of the class's aim. */
    private static final double FIRST_GUESS = 0.2;
    /** Ms below which latencies are not told apart; keeps every l above zero. */
    private static final double LEAST_LATENCY = 0.01;
    /** How many times the l of a server without room another's may be to take the call instead. */
    private static final double NOT_MUCH_WORSE = 4;
    /** Share of calls slower than the delay after which a second copy or attempt is worth its work. */
    private static final double SLOW_SHARE = 0.05;
    /** Step of the quantile estimate behind that delay, relative to its value. */
    private static final double SLOW_STEP = 0.05;
    /** That delay over the expected latency, at first and within bounds: for even and long-tailed classes. */
    private static final double FIRST_SLOW_RATIO = 3;
    private static final double LEAST_SLOW_RATIO = 1.5;
    private static final double MOST_SLOW_RATIO = 10;
    /** Without second copies an attempt that may be repeated is given up after this many such delays. */
    private static final double GIVE_UP = 2;
    /** The least share of its aim that it has even so: a pause, here or there, is no slow server. */
    private static final double LEAST_WAIT = 0.1;
    /** Calls beyond the first that each request earns: bounds retries and copies when all is slow. */
    private static final double EXTRA_PER_REQUEST = 0.1;
    /** Most unused earnings kept, and those granted at start. */
    private static final double EXTRA_SAVED = 3;
    /** Least share of the expected latency that must be left for a send to make sense. */
    private static final double TOO_LATE = 0.25;
    /** The most of its aim that must be left for it. */
    private static final double MOST_RESERVED = 0.5;
    /** Share of the allowed multiple of a cold server's capacity that its send budget uses. */
    private static final double COLD_MARGIN = 0.3;
    /** The least wait advised to a refused client, in ms. */
    private static final double LEAST_RETURN = 20;
    /**
     * Ms between looks at the requests that are held, whatever their number: what time alone brings, such as
     * evidence that fades, wakes nobody.
     */
    private static final double LOOK_AGAIN = 20;
    /** Held requests of a class that are looked at at once, and as a list brings new servers. */
    private static final int WOKEN_AT_ONCE = 4;
    private static final int WOKEN_BY_LIST = 64;
    /** Most wait before the registry is asked again, of askEvery and in ms: its news count as told 6 s on. */
    private static final double ASK_AGAIN = 0.2;
    private static final double ASK_SOON = 1_200;
    /** The longest wait advised to a refused client, of its aim: it should come back in good time. */
    private static final double RETURN_SHARE = 0.5;
    private static final long WATCH_TOKEN = -1;
    private static final long HELD_TOKEN = -2;
    private static final int HOLD_TIMER = 0xff;
    private static final int STRAIN_TIMER = 0x80;

    private final Actions actions;
    private Settings settings;
    private SplittableRandom random;
    private Map<Long, Server> servers = new LinkedHashMap<>();
    private long serversSeen;
    private final CostModel costs = new CostModel();
    private final LoadShedding shedding = new LoadShedding(FLEET_GAIN);
    private final DrawCounts drawCounts = new DrawCounts();
    private final UnservedCounts unserved = new UnservedCounts();
    private final OverloadSigns signs;
    private ReadyServers ready;
    private final HeldRequests held = new HeldRequests();
    /** Whether the timer that looks at them is set. */
    private boolean lookSet;
    /** What operators have taken out of use, and when. */
    private final Map<Long, Double> bannedAt = new HashMap<>();
    /** What they have put back of late and what has had no call since, and when. */
    private final Map<Long, Double> putBackAt = new HashMap<>();
    /** What an earlier process knew of servers not listed so far, when, and its place of each class. */
    private final Map<Long, WarmState.UpstreamState> recalled = new HashMap<>();
    private double recalledAt;
    private int[] recalledPlaces;
    private final Map<Long, Call> calls = new HashMap<>();
    /** Rule 5: the requests of each key that are not settled; looked up by key only, dropped when empty. */
    private final Map<Long, ArrayDeque<Call>> lines = new HashMap<>();
    private ClassRecord[] classes;
    private Server.Kind[] kinds;
    private double extraCalls = EXTRA_SAVED;
    private double coldUntil = Double.NEGATIVE_INFINITY;

    /** Creates an instance that asks its host for actions through {@code actions}. */
    public LatencyWeightedBalancer(Actions actions) {
        this.actions = actions;
        signs = new OverloadSigns(actions);
    }

    @Override
    public void start(double now, Settings given, long seed) {
        settings = given;
        random = new SplittableRandom(seed);
        classes = new ClassRecord[given.classes().size()];
        Arrays.setAll(classes, i -> unseen(i, given.classes().get(i)));
        chooseLeaders();
        kinds = new Server.Kind[given.machineTypes()];
        Arrays.setAll(kinds, i -> new Server.Kind(FLEET_GAIN));
        indexServers(now);
        if (given.subscribe()) {
            actions.watch(true);
        }
    }

    /** Builds all that rests on the settings and the servers that are ready. */
    private void indexServers(double now) {
        servers.values().forEach(server -> withdraw(server, now));
        costs.retune(settings, classes);
        shedding.retune(settings, classes);
        signs.retune(settings);
        ready = new ReadyServers(settings, classes, kinds, costs, drawCounts, now);
        for (Server server : servers.values()) {
            server.queued = false;
            readyOrNot(server, now);
        }
        ready.choosePreferred(now);
    }

    private static ClassRecord unseen(int index, ServiceClass type) {
        return new ClassRecord(index, type, FIRST_GUESS * type.aim(), FIRST_SLOW_RATIO, FLEET_GAIN);
    }

    private void chooseLeaders() {
        for (ClassRecord c : classes) {
            c.leader = Arrays.stream(classes).filter(c::sharesPlacement).findFirst().orElse(c);
        }
    }

    /** All that was learnt stays, by the names of classes; a call goes on by the rules that it began with. */
    @Override
    public void settingsChanged(double now, Settings given) {
        Map<String, ClassRecord> before = new HashMap<>();
        Arrays.stream(classes).forEach(c -> before.put(c.type.name(), c));
        int[] places = new int[given.classes().size()];
        Map<ClassRecord, ClassRecord> successors = new HashMap<>();
        ClassRecord[] next = new ClassRecord[places.length];
        for (int i = 0; i < places.length; i++) {
            ServiceClass type = given.classes().get(i);
            ClassRecord old = before.get(type.name());
            places[i] = old == null ? -1 : old.index;
            next[i] = old == null ? unseen(i, type) : old.retuned(i, type);
            successors.put(old, next[i]);
        }
        calls.values().forEach(call -> call.record = successors.getOrDefault(call.record, call.record));
        before.values().forEach(old -> old.index = -1);
        servers.values().forEach(server -> server.retune(places));
        recalled.clear();
        classes = next;
        chooseLeaders();
        Server.Kind[] known = kinds;
        kinds = new Server.Kind[Math.max(known.length, given.machineTypes())];
        Arrays.setAll(kinds, i -> i < known.length ? known[i] : new Server.Kind(FLEET_GAIN));
        if (given.subscribe() && !settings.subscribe()) {
            actions.watch(true);
        }
        settings = given;
        indexServers(now);
        wakeHeld(WOKEN_BY_LIST, now);
    }

    // ---- A request arrives -------------------------------------------------------------------------

    @Override
    public void request(double now, Request request) {
        take(now, request, false);
    }

    @Override
    public void requestStarted(double now, Request request) {
        take(now, request, true);
    }

    private void take(double now, Request request, boolean arriving) {
        Call call = new Call(request, classes[request.serviceClass()], now, actions.idleTime(now));
        call.arriving = arriving;
        calls.put(request.id(), call);
        extraCalls = Math.min(EXTRA_SAVED, extraCalls + EXTRA_PER_REQUEST);
        if (request.cost() > 0) {
            call.record.hint.add(request.cost());
        }
        call.usefulEnd = usefulEnd(call, request.deadline(), now);
        ready.advance(now);
        // What is refused is demand too, or refusing would starve those that could take it; but clients'
        // repeats of it are not, and where nobody tells them apart only accepted requests count.
        boolean toldApart = settings.retriesMarked();
        if (toldApart && !request.retry()) {
            earnColdBudget(call, now);
        }
        double refused = shedding.refused(call.record, now);
        if (refused > 0 && random.nextDouble() < refused) {
            unserved.shed();
            refuseOrFail(call, now);
            return;
        }
        if (!toldApart) {
            earnColdBudget(call, now);
        }
        if (call.type.inOrder() && request.key() != 0) {
            call.line = lines.computeIfAbsent(request.key(), key -> new ArrayDeque<>());
            call.line.addLast(call);
        }
        dispatch(call, now);
    }

    /** Where a late answer is worth nothing, the work for it is better spent on others. */
    private static double usefulEnd(Call call, double deadline, double now) {
        double stretched = call.type.aim() + call.type.aimStretch() * call.request.cost();
        double aim = now + Math.min(call.type.deadline(), stretched);
        return call.type.lateWorth() > 0 ? deadline : Math.min(deadline, aim);
    }

    /** Only now an attempt that is out can be late, or a sign of overload. */
    @Override
    public void bodyArrived(double now, long requestId, double deadline) {
        Call call = calls.get(requestId);
        if (call == null || !call.arriving) {
            return;
        }
        call.arriving = false;
        call.arrivedAt = now;
        call.usefulEnd = usefulEnd(call, deadline, now);
        for (Attempt attempt : call.attempts) {
            if (attempt.result == null) {
                attempt.sent(now, actions.idleTime(now));
                begins(attempt, now);
                ready.touch(attempt.server, now);
            }
        }
    }

    /** Only once it has the whole body, the server has work with it. */
    private void begins(Attempt attempt, double now) {
        attempt.server.out.addLast(attempt);
        if (settings.tier() == 0) {
            actions.setTimer(attempt.call.id << 8 | STRAIN_TIMER | attempt.number,
                    now + OverloadSigns.strainedAfter(attempt.call));
        }
    }

    /**
     * Sends the next attempt. A request that never ran is held while it waits for its turn, or for a server
     * that is ready, open to it, warm enough and not full; it is refused as soon as that cannot end in time,
     * and where those worth going to are full, once it is strained.
     */
    private void dispatch(Call call, double now) {
        double latest = call.usefulEnd - reserved(call) - ahead(call);
        boolean itsTurn = call.line == null || call.line.peekFirst() == call;
        Server server = itsTurn && now < latest ? draw(call, true, now) : null;
        if (server == null && call.worst < Double.MAX_VALUE) {
            latest = Math.min(latest, call.arrivedAt + OverloadSigns.STRAINED * call.type.aim());
            signs.waited(call, now >= latest, now);
        }
        if (server != null) {
            held.release(call);
            send(call, server, now);
        } else if (now < latest && call.attempts.isEmpty()) {
            hold(call, itsTurn, latest, now);
        } else {
            answerUnserved(call, now);
        }
    }

    /**
     * The time that must be left for a send to make sense. However long calls are expected to take, one that
     * has all of its aim left is tried: where none is, nothing would ever show that they take less.
     */
    private static double reserved(Call call) {
        return Math.min(TOO_LATE * call.expected(), MOST_RESERVED * call.type.aim());
    }

    /**
     * Has a request wait until something changes, at the longest until a time. One that waits for its turn
     * is woken by those before it.
     */
    private void hold(Call call, boolean itsTurn, double latest, double now) {
        if (latest < call.heldUntil) {
            call.heldUntil = latest;
            actions.setTimer(call.id << 8 | HOLD_TIMER, latest);
        }
        if (itsTurn) {
            held.hold(call);
            lookLater(now);
        }
    }

    /** Sees to it that the requests held are looked at again, if there are any. */
    private void lookLater(double now) {
        if (held.size() > 0 && !lookSet) {
            lookSet = true;
            actions.setTimer(HELD_TOKEN, now + LOOK_AGAIN);
        }
    }

    /** Something has changed that the requests held may have waited for: the next of each class try again. */
    private void wakeHeld(int most, double now) {
        if (held.size() > 0) {
            wake(held.first(most, call -> true), now);
        }
    }

    /**
     * A server has room again. None of the others had any when these requests were held, so the first of each
     * class that may go there goes there, without another draw.
     */
    private void wakeHeldFor(Server server, double now) {
        if (held.size() == 0 || !ready.contains(server)) {
            return;
        }
        for (Call call : held.first(WOKEN_AT_ONCE, call -> call.type.admits(server.listed))) {
            boolean fits = !call.done && call.attempts.isEmpty() && now < call.heldUntil
                    && isOpen(server, call, now) && costs.atRest(server, call.record, now) <= call.worst;
            if (fits) {
                held.release(call);
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

    private void lookAtHeld(double now) {
        lookSet = false;
        ready.advance(now);
        wakeHeld(WOKEN_AT_ONCE, now);
        lookLater(now);
    }

    /** Rule 5: the time that the requests before it in its line are expected to take. */
    private static double ahead(Call call) {
        return call.line == null ? 0 : call.line.stream().takeWhile(other -> other != call)
                .mapToDouble(Call::expected).sum();
    }

    /**
     * Rule 5: a request leaves its line once it is over, no attempt is out and none that was given up may
     * still be running; then the next one goes. One that leaves before its turn moves nobody.
     */
    private void leaveLine(Call call, double now) {
        boolean first = call.line.peekFirst() == call;
        call.line.remove(call);
        if (call.line.isEmpty()) {
            lines.remove(call.request.key());
        } else if (first) {
            dispatch(call.line.peekFirst(), now);
        }
    }

    // ---- The draw ----------------------------------------------------------------------------------

    /**
     * A ready server at random in proportion to 1/l, or null if none may be used; one that the request has
     * tried only when all have been tried and nothing is out. Where the one drawn can't take a call now,
     * another may that is not much worse; otherwise the request is to wait, since those that fail what they
     * get always have room.
     */
    private Server draw(Call call, boolean untried, double now) {
        Limits limits = settings.limits();
        if (call.attempts.size() >= limits.maxAttempts() || call.running > 0 && !limits.parallelAttempts()) {
            return null;
        }
        Predicate<Server> usable = server -> !(untried && call.tried(server)) && mayGoTo(call, server, now)
                && (call.worst == Double.MAX_VALUE || costs.atRest(server, call.record, now) <= call.worst);
        Server drawn = draw(call, false, usable, now);
        if (drawn == null && untried && call.running == 0 && !call.attempts.isEmpty()
                && call.worst == Double.MAX_VALUE) {
            return draw(call, false, now);
        }
        if (drawn == null || isOpen(drawn, call, now)) {
            return drawn;
        }
        call.crowded = drawn;
        call.worst = Math.min(call.worst, NOT_MUCH_WORSE * costs.atRest(drawn, call.record, now));
        return draw(call, true, server -> usable.test(server) && isOpen(server, call, now), now);
    }

    /** Draws among the servers that what may have run leaves to a request. */
    private Server draw(Call call, boolean open, Predicate<Server> fits, double now) {
        ClassRecord record = call.record;
        if (record.index < 0) {
            return ready.drawFromAll(record, fits, random, now);
        }
        Attempt first = call.type.idempotency() == Idempotency.DEDUPLICATED ? call.firstMaybeRun() : null;
        if (first != null && call.type.dedupScope() == DedupScope.CELL) {
            return ready.drawFromCell(record, first.server.listed.cell(), fits, random, now);
        }
        int zone = first != null && call.type.dedupScope() == DedupScope.ZONE ? first.server.listed.zone()
                : ReadyServers.ANY_ZONE;
        return ready.draw(record, zone, open, fits, random, now);
    }

    /** Whether it can take a call now. */
    private static boolean isOpen(Server server, Call call, double now) {
        return !server.closed && CostModel.hasRoom(server, call.type.aim(), now);
    }

    /** Rules 6 and 2: placement; an attempt that may have run ties a request to its group, or ends it. */
    private static boolean mayGoTo(Call call, Server server, double now) {
        if (!call.type.admits(server.listed)) {
            return false;
        }
        Attempt first = call.firstMaybeRun();
        ServiceClass c = call.type;
        if (first == null || c.idempotency() == Idempotency.IDEMPOTENT) {
            return true;
        }
        Upstream from = first.server.listed;
        return c.idempotency() == Idempotency.DEDUPLICATED && now < first.sentAt + c.dedupWindow()
                && (c.dedupScope() == DedupScope.ALL || (c.dedupScope() == DedupScope.ZONE
                ? from.zone() == server.listed.zone() : from.cell() == server.listed.cell()));
    }

    // ---- Rule 4: servers that have just started ----------------------------------------------------

    /**
     * Every request earns the cold servers open to it a part of a call: their warmth's share of the traffic
     * times what the rule allows, less a margin. Shares need no history and add up over siblings that do
     * alike. Counting requests, not sends, lets a fleet that is cold as a whole begin; the half that is
     * taken as warm at least keeps it from being pushed over. It is half of those that the traffic was spread
     * over before: when warm servers leave, what came for them is no measure of those that stay.
     */
    private void earnColdBudget(Call call, double now) {
        double warm = 0;
        int open = 0;
        for (Placement placement : ready.placements()) {
            if (call.type.admits(placement.example)) {
                warm += placement.warmth(now);
                open += placement.size();
            }
        }
        call.record.spread = now < coldUntil ? Math.max(call.record.spread, warm) : warm;
        if (now >= coldUntil || open == 0) {
            return;
        }
        double part = Math.min(1, COLD_MARGIN * settings.rules().fallMultiple());
        part /= Math.max(warm, Math.max(call.record.spread, open) / 2);
        boolean opened = false;
        for (Placement placement : ready.placements()) {
            opened |= call.type.admits(placement.example) && ready.earn(placement, part, now);
        }
        if (opened) {
            wakeHeld(WOKEN_AT_ONCE, now);
        }
    }

    // ---- The send ----------------------------------------------------------------------------------

    private void send(Call call, Server server, double now) {
        Attempt attempt = new Attempt(call, server);
        attempt.sent(now, actions.idleTime(now));
        double timeout = call.arriving ? 0 : call.usefulEnd - now;
        double slowAfter = call.slowAfter();
        double giveUpAfter = Math.max(GIVE_UP * slowAfter, LEAST_WAIT * call.type.aim());
        boolean repeatable = call.type.idempotency() != Idempotency.AT_MOST_ONCE && !call.type.streamed();
        if (repeatable && settings.limits().parallelAttempts() && slowAfter + call.expected() < timeout) {
            actions.setTimer(call.id << 8 | attempt.number, now + slowAfter);
        } else if (repeatable && extraCalls >= 1 && giveUpAfter + call.expected() < timeout) {
            timeout = giveUpAfter;
        }
        call.attempts.add(attempt);
        putBackAt.remove(server.listed.id());
        call.worst = Double.MAX_VALUE;
        call.running++;
        if (!call.arriving) {
            begins(attempt, now);
        }
        ready.sent(server, now);
        ready.touch(server, now);
        actions.send(call.id, server.listed.id(), timeout);
    }

    /** A call is slower than nearly all: a second copy elsewhere, if the budget has one. */
    @Override
    public void timer(double now, long token) {
        Call call = calls.get(token >>> 8);
        int number = (int) (token & 0xff);
        if (token == WATCH_TOKEN) {
            actions.watch(true);
        } else if (token == HELD_TOKEN) {
            lookAtHeld(now);
        } else if (call == null) {
            return;
        } else if (call.done) {
            forgetIfSettled(call, now);
        } else if (number == HOLD_TIMER && call.attempts.isEmpty()) {
            call.heldUntil = Double.POSITIVE_INFINITY;
            dispatch(call, now);
        } else if (number >= STRAIN_TIMER && number < HOLD_TIMER) {
            // Overload is felt when a call becomes overdue: by the time it ends, a crowd has gathered.
            Attempt attempt = call.attempts.get(number - STRAIN_TIMER);
            if (attempt.result == null && !attempt.streaming) {
                signs.overdue(attempt, token, now);
            }
        } else if (!call.streaming && call.attempts.size() == number + 1
                && call.attempts.get(number).result == null
                && extraCalls >= 1 && call.record.leader.pressure < LoadShedding.CALM
                && call.usefulEnd - now > call.expected()) {
            Server server = draw(call, true, now);
            if (server != null) {
                extraCalls -= 1;
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
        attempt.server.out.remove(attempt);
        call.running--;
        if (outcome.result() == Result.TIMEOUT || outcome.result() == Result.RESET
                || outcome.result() == Result.CANCELLED) {
            call.restsUntil = now + settings.rules().orderSettle();
        }
        learn(attempt, outcome, now);
        boolean counted = attempt.streaming && !call.type.streamed();
        boolean inGoodTime = outcome.elapsed() < OverloadSigns.strainedAfter(call);
        // What breaks at once tells of a fault, not of a crowd.
        boolean ended = outcome.result() != Result.CANCELLED && outcome.result() != Result.NOT_SENT;
        if (!counted && ended && (!inGoodTime || outcome.result() == Result.OK
                || outcome.result() == Result.FULL || outcome.result() == Result.TIMEOUT)) {
            signs.ended(attempt, outcome.result() == Result.OK && inGoodTime, now);
        }
        if (outcome.result() == Result.OK && attempt.number > 0) {
            // It served where another did not: sick servers, not a jam, and worth as many again.
            extraCalls = Math.min(EXTRA_SAVED, extraCalls + 1);
        }
        ready.touch(attempt.server, now);
        freeConnection(attempt.server, outcome.result(), now);
        if (outcome.requestClosed() || call.done) {
            over(call, now);
        } else if (call.running == 0 && (outcome.result() == Result.NOT_SENT || extraCalls < 1)) {
            answerUnserved(call, now);
        } else if (call.running == 0) {
            extraCalls -= 1;
            dispatch(call, now);
        }
        wakeHeldFor(attempt.server, now);
    }

    /**
     * Idle connections of many balancers fill a server's table, and it turns callers away though it has
     * time to spare. Whoever meets a full table gives back what it does not use there, as long as idle ones
     * last. Elsewhere connections stay: a failed connect may as well mean that a server is down.
     */
    private void freeConnection(Server server, Result result, double now) {
        if (result == Result.CONNECT_FAILED) {
            server.crowdedUntil = now + settings.limits().connectionIdle();
        }
        if (now < server.crowdedUntil && server.out.isEmpty()) {
            actions.closeIdle(server.listed.id());
        }
    }

    private void answerUnserved(Call call, double now) {
        unserved.unserved(call.attempts.size());
        refuseOrFail(call, now);
    }

    /** Rule 1's one final answer: a refusal only where trying again is known to be harmless. */
    private void refuseOrFail(Call call, double now) {
        ServiceClass c = call.type;
        boolean harmless = c.idempotency() == Idempotency.IDEMPOTENT || call.firstMaybeRun() == null
                || c.idempotency() == Idempotency.DEDUPLICATED && c.dedupScope() == DedupScope.ALL;
        if (harmless) {
            actions.refuse(call.id, settings.limits().retryAfter() ? comeBackAfter(call) : 0);
        } else {
            actions.fail(call.id);
        }
        over(call, now);
    }

    /** When a refused client ought to return: the later, the more has to go before there is room for it. */
    private double comeBackAfter(Call call) {
        double longest = Math.min(settings.limits().maxRetryAfter(), RETURN_SHARE * call.type.aim());
        return Math.min(longest, LEAST_RETURN + longest * call.record.leader.pressure);
    }

    /** The request has its answer: copies still out only waste work. */
    private void over(Call call, double now) {
        for (Attempt attempt : call.attempts) {
            if (!call.done && attempt.result == null && !attempt.streaming && settings.limits().cancel()) {
                actions.cancel(call.id, attempt.number);
            }
        }
        call.done = true;
        held.release(call);
        forgetIfSettled(call, now);
    }

    private void forgetIfSettled(Call call, double now) {
        if (call.running > 0) {
            return;
        }
        if (call.line != null && now < call.restsUntil) {
            actions.setTimer(call.id << 8 | HOLD_TIMER, call.restsUntil);
        } else if (calls.remove(call.id) != null && call.line != null) {
            leaveLine(call, now);
        }
    }

    @Override
    public void streamStarted(double now, long requestId, int attempt, double elapsed) {
        Call call = calls.get(requestId);
        if (call != null && attempt < call.attempts.size()) {
            Attempt begun = call.attempts.get(attempt);
            call.streaming = true;
            begun.streaming = true;
            observeLatency(begun, elapsed);
            if (!call.type.streamed()) {
                // A large answer: its work is done, and how long it takes is up to its reader.
                begun.server.out.remove(begun);
                begun.server.count(call.record.index, true);
                signs.ended(begun, elapsed < OverloadSigns.strainedAfter(call), now);
                ready.touch(begun.server, now);
                wakeHeldFor(begun.server, now);
            }
        }
    }

    @Override
    public void clientGone(double now, long requestId) {
        Call call = calls.get(requestId);
        if (call != null) {
            over(call, now);
        }
    }

    // ---- The evidence behind l ---------------------------------------------------------------------

    /** Served calls succeed; errors, full, time-outs, failed and reset connections count against s. */
    private void learn(Attempt attempt, Outcome outcome, double now) {
        Server server = attempt.server;
        Result result = outcome.result();
        // The copy that lost is evidence only when overdue, and then the same as a time-out.
        boolean tooEarly = result == Result.CANCELLED
                && (attempt.streaming || outcome.elapsed() <= attempt.call.slowAfter());
        if (result == Result.NOT_SENT || tooEarly) {
            return;
        }
        server.fade(now, CostModel.EVIDENCE_FADE, CostModel.FADE_STEP);
        if (result == Result.OK || result == Result.ERROR || result == Result.RESET
                || result == Result.CONNECT_FAILED) {
            server.turn(attempt.call.record.index, result == Result.OK, OUTAGE, SERVED_KEPT, BROKEN_KEPT);
        }
        if (result != Result.OK || !attempt.streaming || attempt.call.type.streamed()) {
            server.count(attempt.call.record.index, result == Result.OK);
        }
        if (result == Result.OK) {
            if (!attempt.streaming) {
                observeLatency(attempt, outcome.elapsed());
            }
        } else if (result == Result.CANCELLED || result == Result.TIMEOUT) {
            observeRatio(attempt.call.record, Double.MAX_VALUE);
        }
    }

    private void observeLatency(Attempt attempt, double elapsed) {
        Call call = attempt.call;
        if (actions.localDelay(call.id, attempt.number) > 0) {
            // What is left of the time may be nothing or all of it: among true latencies that is no sample.
            return;
        }
        Server server = attempt.server;
        double perHint = Math.max(LEAST_LATENCY, elapsed) / call.hintFactor();
        double relative = perHint / call.record.latency.value();
        observeRatio(call.record, relative);
        call.record.latency.add(perHint / CostModel.base(server));
        server.latencySum += relative;
        server.latencyCount += 1;
        server.kind.latency.add(relative);
    }

    /** Moves the estimate of the latency over the expected one that only SLOW_SHARE of calls exceed. */
    private static void observeRatio(ClassRecord c, double ratio) {
        double slow = c.slowRatio * (1 + SLOW_STEP * (ratio > c.slowRatio ? 1 - SLOW_SHARE : -SLOW_SHARE));
        c.slowRatio = Math.min(MOST_SLOW_RATIO, Math.max(LEAST_SLOW_RATIO, slow));
    }

    @Override
    public DecisionStats stats() {
        double pressure = Arrays.stream(classes).mapToDouble(c -> c.leader.pressure).max().orElse(0);
        return new DecisionStats(drawCounts.draws, drawCounts.examined, held.size(), unserved.snapshot(),
                pressure);
    }

    @Override
    public WarmState warmState(double now) {
        servers.values().forEach(server -> server.fade(now, CostModel.EVIDENCE_FADE, CostModel.FADE_STEP));
        return new WarmState(Arrays.stream(classes).map(ClassRecord::learnt).toList(),
                servers.values().stream().map(server -> server.learnt(now)).toList());
    }

    /** Evidence goes on fading over the time between, as if this process had been there all along. */
    @Override
    public void restoreWarmState(double now, WarmState learnt, double age) {
        recalledAt = now - age;
        recalledPlaces = new int[classes.length];
        Arrays.fill(recalledPlaces, -1);
        for (int i = 0; i < learnt.classes().size(); i++) {
            WarmState.ClassState old = learnt.classes().get(i);
            for (ClassRecord c : classes) {
                if (c.type.name().equals(old.name())) {
                    recalledPlaces[c.index] = i;
                    c.recall(old, Math.exp(-age / CostModel.EVIDENCE_FADE));
                }
            }
        }
        learnt.upstreams().forEach(old -> recalled.put(old.id(), old));
    }

    // ---- The list of servers -----------------------------------------------------------------------

    @Override
    public void upstreamsChanged(double now, Change change, List<Upstream> upstreams) {
        if (change == Change.FAILED) {
            double most = Math.min(ASK_SOON, ASK_AGAIN * settings.rules().askEvery());
            actions.setTimer(WATCH_TOKEN, now + most * (1 + random.nextDouble()) / 2);
            return;
        }
        if (change == Change.DELTA) {
            upstreams.forEach(upstream -> takeIn(servers.get(upstream.id()), upstream, now));
        } else {
            Map<Long, Server> before = servers;
            servers = new LinkedHashMap<>();
            for (Upstream upstream : upstreams) {
                Server known = before.remove(upstream.id());
                takeIn(known == null ? servers.get(upstream.id()) : known, upstream, now);
            }
            before.values().forEach(gone -> withdraw(gone, now));
        }
        ready.choosePreferred(now);
        wakeHeld(WOKEN_BY_LIST, now);
    }

    /** Takes an entry in; {@code known} is what was known of that upstream, or null. */
    private void takeIn(Server known, Upstream upstream, double now) {
        if (upstream.state() == State.REMOVED) {
            servers.remove(upstream.id());
            withdraw(known, now);
        } else if (known == null || known.listed.startedAt() != upstream.startedAt()) {
            // A restart is a new server: cold, with a clean record.
            withdraw(known, now);
            started(upstream, upstream.startedAt(), now);
        } else {
            if (!isPlacedAlike(known.listed, upstream)) {
                withdraw(known, now);
            }
            known.listed = upstream;
            servers.put(upstream.id(), known);
            readyOrNot(known, now);
        }
    }

    private static boolean isPlacedAlike(Upstream one, Upstream other) {
        return one.zone() == other.zone() && one.machineType() == other.machineType()
                && one.cell() == other.cell();
    }

    /**
     * Rule 3: only ready servers are ever drawn; what drains or is gone leaves at once, and so does what
     * operators take out of use.
     */
    private boolean isReady(Server server) {
        return server.listed.state() == State.READY && !bannedAt.containsKey(server.listed.id());
    }

    private void readyOrNot(Server server, double now) {
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

    private void started(Upstream upstream, double listed, double now) {
        Server.Kind kind = kinds[Math.min(upstream.machineType(), kinds.length - 1)];
        WarmState.UpstreamState old = recalled.remove(upstream.id());
        boolean same = old != null && old.listedStartedAt() == listed;
        double at = same ? old.startedAt() : listed;
        Server server = new Server(upstream, serversSeen++, at, kind, classes.length, now,
                random.nextDouble());
        servers.put(upstream.id(), server);
        if (same) {
            server.recall(old, recalledAt, recalledPlaces);
            server.fade(now, CostModel.EVIDENCE_FADE, 0);
            server.tellKind();
        }
        if (now < putBackAt.getOrDefault(upstream.id(), Double.NEGATIVE_INFINITY) + Server.OWED_WITHIN) {
            owe(server, now);
        }
        if (at != 0) {
            coldUntil = Math.max(coldUntil, at + settings.rules().warmUp());
        }
        readyOrNot(server, now);
    }

    /** Its siblings may be told at the same time, so each begins at a time of its own. */
    private void owe(Server server, double now) {
        server.owedFrom = now + random.nextDouble() * Server.OWED_WITHIN / 2;
        ready.owe(server, now);
    }

    /**
     * Operators take a server out of use to restart it, and the list tells of that late. Unless it has, the
     * server is cold from now: taken for warm, it would be pushed over.
     */
    @Override
    public void upstreamDisabled(double now, long upstream, boolean banned) {
        Server server = servers.get(upstream);
        if (banned) {
            bannedAt.putIfAbsent(upstream, now);
            withdraw(server, now);
        } else {
            putBack(upstream, server, now);
        }
        ready.choosePreferred(now);
        wakeHeld(WOKEN_BY_LIST, now);
    }

    private void putBack(long upstream, Server server, double now) {
        Double since = bannedAt.remove(upstream);
        if (since == null) {
            return;
        }
        putBackAt.put(upstream, now);
        putBackAt.values().removeIf(at -> now >= at + Server.OWED_WITHIN);
        if (server != null && server.startedAt < since) {
            withdraw(server, now);
            started(server.listed, now, now);
        } else if (server != null) {
            owe(server, now);
            readyOrNot(server, now);
        }
    }

    @Override
    public int excludedUpstreams() {
        return servers.size() - ready.size();
    }
}
