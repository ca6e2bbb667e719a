package cranedeal.node;

import cranedeal.LoadBalancer;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Collection;
import java.util.EnumSet;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;

/**
 * The metrics of a balancer, counted from its start. The node's loop updates them where an event happens; any
 * thread may read them.
 */
final class NodeMetrics {

    /** The one ASCII control character above the space. */
    private static final int DELETE = 0x7f;
    private static final String PREFIX = "edge_proxy.";
    private static final double PERCENT = 100;

    /** Why a request was refused before it reached the decision module. */
    enum RefusalReason { PROCESSOR, ENDING, MEMORY }

    /** Why a connection was closed or not accepted. */
    enum CloseReason {
        CALLER_FOR_ROOM, SILENT_CALLER_FOR_ROOM, CALLER_NOT_TAKEN, ACCEPT_FAILED, UPSTREAM_FOR_ROOM,
        UPSTREAM_IDLE, CALLER_IDLE, CALLER_TOO_SLOW, CALLER_NOT_READING
    }

    /**
     * Why an attempt that the decision module asked for was not begun: its caller has left, or may have left
     * unseen behind bytes that are not read, the request's time or its attempts were used up, or a part of
     * its body was passed on to an earlier attempt.
     */
    enum NotBegunReason { CALLER_GONE, CALLER_UNSEEN, TIME_OVER, ATTEMPTS_USED, BODY_PASSED_ON }

    /** Why a connection to an upstream could not be established. */
    enum ConnectFailure { NO_DESCRIPTOR, NO_SOCKET, NOT_UP }

    /**
     * Why a request was answered as failed: its attempts failed, an answer broke off after it had started,
     * or did not end in time, the request was unanswered at its deadline, the decision module or the request
     * handler threw an exception, or the process shut down.
     */
    enum FailureReason {
        UPSTREAMS, BROKEN_ANSWER, UNENDED_ANSWER, DEADLINE, DECISION_ERROR, HANDLER_ERROR, ENDING
    }

    /** The states of an answer in which an attempt can time out. */
    private static final Enum<?>[] ANSWER_STATES =
            EnumSet.complementOf(EnumSet.of(AnswerLifecycle.State.OVER)).toArray(new Enum<?>[0]);

    /** The results of the requests of one service class. */
    private static final class ClassCounts {
        final AtomicLong success = new AtomicLong();
        final AtomicLong overload = new AtomicLong();
        final AtomicLong error = new AtomicLong();
    }

    /** By class name; a class that was removed from the settings keeps its counts. */
    private final Map<String, ClassCounts> countsByClass = new ConcurrentSkipListMap<>();
    private final AtomicInteger concurrent = new AtomicInteger();
    private final AtomicLong dispatches = new AtomicLong();
    private volatile int targets;
    private volatile int targetsDisabled;
    /** Whether the saved overrides could be read; null if none are saved. */
    private volatile Boolean ordersKnown;
    private final Map<Enum<?>, AtomicLong> causes = new ConcurrentHashMap<>();
    private final AtomicLong connections = new AtomicLong();
    private volatile LoopDelay loopDelay = new LoopDelay(0, 0, 0, 0);
    private volatile Descriptors descriptors = new Descriptors(0, 0, 0, 0);
    private volatile Buffers buffers = new Buffers(0, 0, 0);
    private volatile Pauses pauses = new Pauses(0, 0);
    private volatile ListInForce list = new ListInForce(0, 0);
    private volatile LoadBalancer.DecisionStats work = LoadBalancer.DecisionStats.NONE;
    private final AtomicLong reloadSuccess = new AtomicLong();
    private final AtomicLong reloadFailure = new AtomicLong();

    /** Registers classes, so that they are shown before their first request. */
    void registerClasses(Collection<String> classes) {
        classes.forEach(name -> countsByClass.computeIfAbsent(name, absent -> new ClassCounts()));
    }

    /** A request was accepted. */
    void requestStarted() {
        concurrent.incrementAndGet();
    }

    /** An accepted request was answered, or its client is gone. */
    void requestEnded() {
        concurrent.decrementAndGet();
    }

    /** A request got its final answer, from an upstream or from the balancer itself. */
    void requestAnswered(String serviceClass, HttpResponseStatus status) {
        ClassCounts counts = countsByClass.computeIfAbsent(serviceClass, absent -> new ClassCounts());
        if (status.code() == 200) {
            counts.success.incrementAndGet();
        } else if (status.code() == 429 || status.code() == 503) {
            counts.overload.incrementAndGet();
        } else {
            counts.error.incrementAndGet();
        }
    }

    /** An attempt was written completely to an upstream. */
    void attemptSent() {
        dispatches.incrementAndGet();
    }

    /**
     * The delay of the event loop.
     *
     * @param busyMs the longest time between two polls of the sockets in the last quarter of a second
     * @param waitMs the longest time that a request was queued in that time
     * @param waiting the number of queued requests
     * @param longestMs the maximum of {@code busyMs} since the start
     */
    private record LoopDelay(double busyMs, double waitMs, int waiting, double longestMs) { }

    /** Descriptors in use: callers, idle ones among them, all connections, and the limit. */
    private record Descriptors(int callers, int idle, int open, int limit) { }

    /** Direct memory in bytes: in live buffers, its maximum since the start, and what the pool reserved. */
    private record Buffers(long held, long mostHeld, long reserved) { }

    /** Callers that are not read at present, and the longest pause of a request since the start, in ms. */
    private record Pauses(int paused, double longestMs) { }

    /** The version of the list in force, and the time from its arrival until it was in force, in ms. */
    private record ListInForce(long version, double appliedInMs) { }

    /** Sets the loop's delay since the last update. */
    void loopDelay(double busyMs, double waitMs, int waiting) {
        loopDelay = new LoopDelay(busyMs, waitMs, waiting, Math.max(loopDelay.longestMs(), busyMs));
    }

    /** Sets the descriptors in use. */
    void descriptorUse(int callers, int resting, int open, int limit) {
        descriptors = new Descriptors(callers, resting, open, limit);
    }

    /** Sets the direct memory of buffers, in bytes: in live ones, and reserved by their pool. */
    void bufferUse(long held, long reserved) {
        buffers = new Buffers(held, Math.max(buffers.mostHeld(), held), reserved);
    }

    /** Sets how many callers are not read at present, and for how many ms at most their requests were not. */
    void callerPauses(int paused, double longestMs) {
        pauses = new Pauses(paused, Math.max(pauses.longestMs(), longestMs));
    }

    /** A new list is in force. */
    void listInForce(long version, double tookMs) {
        list = new ListInForce(version, tookMs);
    }

    /** Sets the cost of the decisions so far. */
    void decisionWork(LoadBalancer.DecisionStats cost) {
        work = cost;
    }

    /** A request was refused before it reached the module. */
    void requestRefused(RefusalReason why) {
        increment(why);
    }

    /** A connection was closed or not accepted. */
    void connectionClosed(CloseReason why) {
        increment(why);
    }

    /** A connection to an upstream could not be established. */
    void failed(ConnectFailure why) {
        increment(why);
    }

    /** A request was answered as failed. */
    void failed(FailureReason why) {
        increment(why);
    }

    /** An attempt was not begun. */
    void attemptNotBegun(NotBegunReason why) {
        increment(why);
    }

    /** A further attempt was requested after the previous one ended with the given result. */
    void requestRetried(LoadBalancer.Result after) {
        increment(after);
    }

    /** An attempt was ended because of its time, when its answer had come as far as the state says. */
    void attemptTimedOut(AnswerLifecycle.State state) {
        increment(state);
    }

    /** A connection attempt to an upstream was started. */
    void connectionStarted() {
        connections.incrementAndGet();
    }

    private void increment(Enum<?> cause) {
        causes.computeIfAbsent(cause, absent -> new AtomicLong()).incrementAndGet();
    }

    private long countOf(Enum<?> cause) {
        AtomicLong count = causes.get(cause);
        return count == null ? 0 : count.get();
    }

    private void appendCauses(StringBuilder text, String prefix, Enum<?>... values) {
        for (Enum<?> cause : values) {
            appendLine(text, prefix + cause.name().toLowerCase(Locale.ROOT), countOf(cause));
        }
    }

    /**
     * Appends the metrics for diagnosis: loop delay, and reasons of refusals, closed connections and retries.
     */
    private void appendOperational(StringBuilder text) {
        LoopDelay delay = loopDelay;
        appendLine(text, "loop_busy_ms", Math.round(delay.busyMs()));
        appendLine(text, "loop_busy_longest_ms", Math.round(delay.longestMs()));
        appendLine(text, "arrivals_wait_ms", Math.round(delay.waitMs()));
        appendLine(text, "arrivals_waiting", delay.waiting());
        Descriptors use = descriptors;
        appendLine(text, "connections_callers", use.callers());
        appendLine(text, "connections_callers_resting", use.idle());
        appendLine(text, "connections_all", use.open());
        appendLine(text, "connections_limit", use.limit());
        Buffers memory = buffers;
        appendLine(text, "buffers_held_bytes", memory.held());
        appendLine(text, "buffers_held_most_bytes", memory.mostHeld());
        appendLine(text, "buffers_reserved_bytes", memory.reserved());
        Pauses unread = pauses;
        appendLine(text, "callers_paused", unread.paused());
        appendLine(text, "callers_paused_longest_ms", Math.round(unread.longestMs()));
        appendLine(text, "connects", connections.get());
        appendLine(text, "list_version", list.version());
        appendLine(text, "list_in_force_ms", Math.round(list.appliedInMs()));
        appendLine(text, "draws", work.draws());
        appendLine(text, "draws_examined", work.examined());
        appendLine(text, "held", work.queued());
        appendLine(text, "pressure_percent", Math.round(PERCENT * work.pressure()));
        appendLine(text, "unserved_shed", work.unserved().shed());
        appendLine(text, "unserved_no_upstream", work.unserved().noUpstream());
        appendLine(text, "unserved_attempts_failed", work.unserved().attemptsFailed());
        appendLine(text, "retries", Stream.of(LoadBalancer.Result.values()).mapToLong(this::countOf).sum());
        appendCauses(text, "retried_after_", LoadBalancer.Result.values());
        appendCauses(text, "refused_for_", RefusalReason.values());
        appendCauses(text, "failed_for_", FailureReason.values());
        appendCauses(text, "timed_out_", ANSWER_STATES);
        appendCauses(text, "not_begun_", NotBegunReason.values());
        appendCauses(text, "closed_", CloseReason.values());
        appendCauses(text, "connect_failed_", ConnectFailure.values());
    }

    /** Sets how many upstreams are listed, and how many of them the module avoids at present. */
    void upstreamCounts(int listed, int avoided) {
        targets = listed;
        targetsDisabled = avoided;
    }

    /** Sets whether the saved overrides could be read from disk. */
    void overridesKnown(boolean known) {
        ordersKnown = known;
    }

    /** A configuration was applied or rejected at SIGHUP. */
    void configReloaded(boolean applied) {
        (applied ? reloadSuccess : reloadFailure).incrementAndGet();
    }

    /** All metrics, one per line. */
    String text() {
        StringBuilder text = new StringBuilder();
        countsByClass.forEach((name, counts) -> {
            String escapedName = escape(name);
            appendLine(text, "success." + escapedName, counts.success.get());
            appendLine(text, "overload." + escapedName, counts.overload.get());
            appendLine(text, "error." + escapedName, counts.error.get());
        });
        appendLine(text, "dispatches", dispatches.get());
        appendLine(text, "concurrent", concurrent.get());
        appendLine(text, "targets", targets);
        appendLine(text, "targets_disabled", targetsDisabled);
        appendLine(text, "reload_success", reloadSuccess.get());
        appendLine(text, "reload_failure", reloadFailure.get());
        appendOperational(text);
        if (ordersKnown != null) {
            appendLine(text, "orders_unknown", ordersKnown ? 0 : 1);
        }
        return text.toString();
    }

    /**
     * Percent-encodes the characters of a class name that would break its line: blanks, controls, '=', '%'.
     */
    private static String escape(String name) {
        StringBuilder escaped = new StringBuilder();
        name.codePoints().forEach(c -> {
            if (c <= ' ' || c == '=' || c == '%' || c == DELETE) {
                escaped.append(String.format(Locale.ROOT, "%%%02X", c));
            } else {
                escaped.appendCodePoint(c);
            }
        });
        return escaped.toString();
    }

    /** Formats metrics of another component, one per line. */
    static String text(Map<String, Long> values) {
        StringBuilder text = new StringBuilder();
        values.forEach((name, value) -> appendLine(text, name, value));
        return text.toString();
    }

    private static void appendLine(StringBuilder text, String name, long value) {
        text.append(PREFIX).append(name).append('=').append(value).append('\n');
    }
}
