package cranedeal.node;

import cranedeal.LoadBalancer;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Collection;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;

/**
 * What a balancer counts, from 0 at its start. The node's loop feeds it where an event happens; any thread
 * may read.
 */
final class NodeMetrics {

    /** The one control character that is not below the blank. */
    private static final int DELETE = 0x7f;
    private static final String PREFIX = "edge_proxy.";
    private static final double PERCENT = 100;

    /** Why a request was refused before the decision module had it. */
    enum RefusalReason { PROCESSOR, ENDING }

    /** Why a connection was closed, or none was taken. */
    enum CloseReason {
        CALLER_FOR_ROOM, SILENT_CALLER_FOR_ROOM, CALLER_NOT_TAKEN, ACCEPT_FAILED, UPSTREAM_FOR_ROOM,
        UPSTREAM_IDLE
    }

    /** Why a connection to an upstream did not come up. */
    enum ConnectFailure { NO_DESCRIPTOR, NO_SOCKET, NOT_UP }

    /**
     * Why a request was answered as failed: its attempts failed, an answer that had begun broke off, it had
     * no answer when its time was over, the decision module or the handling of its message threw, or the
     * process ended.
     */
    enum FailureReason { UPSTREAMS, BROKEN_ANSWER, DEADLINE, DECISION_ERROR, HANDLER_ERROR, ENDING }

    /** How the requests of one class ended. */
    private static final class Answers {
        final AtomicLong success = new AtomicLong();
        final AtomicLong overload = new AtomicLong();
        final AtomicLong error = new AtomicLong();
    }

    /** By class; one that has left the settings keeps its counts. */
    private final Map<String, Answers> answers = new ConcurrentSkipListMap<>();
    private final AtomicInteger concurrent = new AtomicInteger();
    private final AtomicLong dispatches = new AtomicLong();
    private volatile int targets;
    private volatile int targetsDisabled;
    /** Whether what operators ordered before is known; null where nothing is kept of that. */
    private volatile Boolean ordersKnown;
    private final Map<Enum<?>, AtomicLong> causes = new ConcurrentHashMap<>();
    private final AtomicLong connections = new AtomicLong();
    private volatile LoopDelay loopDelay = new LoopDelay(0, 0, 0, 0);
    private volatile Descriptors descriptors = new Descriptors(0, 0, 0, 0);
    private volatile ListInForce list = new ListInForce(0, 0);
    private volatile LoadBalancer.DecisionStats work = LoadBalancer.DecisionStats.NONE;
    private final AtomicLong reloadSuccess = new AtomicLong();
    private final AtomicLong reloadFailure = new AtomicLong();

    /** Names classes that are to be shown, also before their first request. */
    void registerClasses(Collection<String> classes) {
        classes.forEach(name -> answers.computeIfAbsent(name, absent -> new Answers()));
    }

    /** A request was taken. */
    void requestStarted() {
        concurrent.incrementAndGet();
    }

    /** A request that was taken has its answer, or nobody waits for one any more. */
    void requestEnded() {
        concurrent.decrementAndGet();
    }

    /** A request has its final answer, whoever worded it. */
    void requestAnswered(String serviceClass, HttpResponseStatus status) {
        Answers counts = answers.computeIfAbsent(serviceClass, absent -> new Answers());
        if (status.code() == 200) {
            counts.success.incrementAndGet();
        } else if (status.code() == 429 || status.code() == 503) {
            counts.overload.incrementAndGet();
        } else {
            counts.error.incrementAndGet();
        }
    }

    /** An attempt was written whole to an upstream. */
    void attemptSent() {
        dispatches.incrementAndGet();
    }

    /**
     * How late the loop is.
     *
     * @param busyMs the longest between two looks at the sockets in the last quarter of a second
     * @param waitMs the longest that a request waited for its turn in that time
     * @param waiting requests that wait for their turn
     * @param longestMs the greatest of all {@code busyMs} since the start
     */
    private record LoopDelay(double busyMs, double waitMs, int waiting, double longestMs) { }

    /** Descriptors by use: callers, those of them that rest, all connections, and how many there may be. */
    private record Descriptors(int callers, int resting, int open, int limit) { }

    /** The version of the list in force, and how long that took once it had been read, in ms. */
    private record ListInForce(long version, double tookMs) { }

    /** How late the loop was since this was last told. */
    void loopDelay(double busyMs, double waitMs, int waiting) {
        loopDelay = new LoopDelay(busyMs, waitMs, waiting, Math.max(loopDelay.longestMs(), busyMs));
    }

    /** Who holds descriptors now. */
    void descriptorUse(int callers, int resting, int open, int limit) {
        descriptors = new Descriptors(callers, resting, open, limit);
    }

    /** A list is in force. */
    void listInForce(long version, double tookMs) {
        list = new ListInForce(version, tookMs);
    }

    /** What the decisions have cost so far. */
    void decisionWork(LoadBalancer.DecisionStats cost) {
        work = cost;
    }

    /** A request was refused before the module had it. */
    void requestRefused(RefusalReason why) {
        count(why);
    }

    /** A connection was closed, or none was taken. */
    void connectionClosed(CloseReason why) {
        count(why);
    }

    /** A connection to an upstream did not come up. */
    void failed(ConnectFailure why) {
        count(why);
    }

    /** A request was answered as failed. */
    void failed(FailureReason why) {
        count(why);
    }

    /** An attempt after the first was asked for, as the one before ended so. */
    void requestRetried(LoadBalancer.Result after) {
        count(after);
    }

    /** A connection to an upstream was begun. */
    void connectionStarted() {
        connections.incrementAndGet();
    }

    private void count(Enum<?> cause) {
        causes.computeIfAbsent(cause, absent -> new AtomicLong()).incrementAndGet();
    }

    private long counted(Enum<?> cause) {
        AtomicLong count = causes.get(cause);
        return count == null ? 0 : count.get();
    }

    private void lines(StringBuilder text, String prefix, Enum<?>... values) {
        for (Enum<?> cause : values) {
            line(text, prefix + cause.name().toLowerCase(Locale.ROOT), counted(cause));
        }
    }

    /** What tells of a balancer in trouble: how late it is, and why it refused, closed and tried again. */
    private void operation(StringBuilder text) {
        LoopDelay delay = loopDelay;
        line(text, "loop_busy_ms", Math.round(delay.busyMs()));
        line(text, "loop_busy_longest_ms", Math.round(delay.longestMs()));
        line(text, "arrivals_wait_ms", Math.round(delay.waitMs()));
        line(text, "arrivals_waiting", delay.waiting());
        Descriptors held = descriptors;
        line(text, "connections_callers", held.callers());
        line(text, "connections_callers_resting", held.resting());
        line(text, "connections_all", held.open());
        line(text, "connections_limit", held.limit());
        line(text, "connects", connections.get());
        line(text, "list_version", list.version());
        line(text, "list_in_force_ms", Math.round(list.tookMs()));
        line(text, "draws", work.draws());
        line(text, "draws_examined", work.examined());
        line(text, "held", work.queued());
        line(text, "pressure_percent", Math.round(PERCENT * work.pressure()));
        line(text, "unserved_shed", work.unserved().shed());
        line(text, "unserved_no_upstream", work.unserved().noUpstream());
        line(text, "unserved_attempts_failed", work.unserved().attemptsFailed());
        line(text, "retries", Stream.of(LoadBalancer.Result.values()).mapToLong(this::counted).sum());
        lines(text, "retried_after_", LoadBalancer.Result.values());
        lines(text, "refused_for_", RefusalReason.values());
        lines(text, "failed_for_", FailureReason.values());
        lines(text, "closed_", CloseReason.values());
        lines(text, "connect_failed_", ConnectFailure.values());
    }

    /** How many upstreams the list has, and how many of them the module avoids now. */
    void upstreamCounts(int listed, int avoided) {
        targets = listed;
        targetsDisabled = avoided;
    }

    /** What operators ordered before could be read from disk, or could not. */
    void overridesKnown(boolean known) {
        ordersKnown = known;
    }

    /** A configuration was taken at SIGHUP, or turned down. */
    void configReloaded(boolean taken) {
        (taken ? reloadSuccess : reloadFailure).incrementAndGet();
    }

    /** All figures, a line each. */
    String text() {
        StringBuilder text = new StringBuilder();
        answers.forEach((name, counts) -> {
            String shown = shown(name);
            line(text, "success." + shown, counts.success.get());
            line(text, "overload." + shown, counts.overload.get());
            line(text, "error." + shown, counts.error.get());
        });
        line(text, "dispatches", dispatches.get());
        line(text, "concurrent", concurrent.get());
        line(text, "targets", targets);
        line(text, "targets_disabled", targetsDisabled);
        line(text, "reload_success", reloadSuccess.get());
        line(text, "reload_failure", reloadFailure.get());
        operation(text);
        if (ordersKnown != null) {
            line(text, "orders_unknown", ordersKnown ? 0 : 1);
        }
        return text.toString();
    }

    /** A class's name; what would break its line is written as in a URL: blanks, controls, '=', '%'. */
    private static String shown(String name) {
        StringBuilder shown = new StringBuilder();
        name.codePoints().forEach(c -> {
            if (c <= ' ' || c == '=' || c == '%' || c == DELETE) {
                shown.append(String.format(Locale.ROOT, "%%%02X", c));
            } else {
                shown.appendCodePoint(c);
            }
        });
        return shown.toString();
    }

    /** Figures of another part, a line each. */
    static String text(Map<String, Long> others) {
        StringBuilder text = new StringBuilder();
        others.forEach((name, value) -> line(text, name, value));
        return text.toString();
    }

    private static void line(StringBuilder text, String name, long value) {
        text.append(PREFIX).append(name).append('=').append(value).append('\n');
    }
}
