package cranedeal.node;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Collection;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * What a balancer counts, from 0 at its start. The node's loop feeds it where an event happens; any thread
 * may read.
 */
final class Figures {

    /** The one control character that is not below the blank. */
    private static final int DELETE = 0x7f;
    private static final String PREFIX = "edge_proxy.";

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
    private final AtomicLong reloadSuccess = new AtomicLong();
    private final AtomicLong reloadFailure = new AtomicLong();

    /** Names classes that are to be shown, also before their first request. */
    void show(Collection<String> classes) {
        classes.forEach(name -> answers.computeIfAbsent(name, absent -> new Answers()));
    }

    /** A request was taken. */
    void taken() {
        concurrent.incrementAndGet();
    }

    /** A request that was taken has its answer, or nobody waits for one any more. */
    void ended() {
        concurrent.decrementAndGet();
    }

    /** A request has its final answer, whoever worded it. */
    void answered(String serviceClass, HttpResponseStatus status) {
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
    void dispatched() {
        dispatches.incrementAndGet();
    }

    /** How many upstreams the list has, and how many of them the module avoids now. */
    void upstreams(int listed, int avoided) {
        targets = listed;
        targetsDisabled = avoided;
    }

    /** What operators ordered before could be read from disk, or could not. */
    void ordersKnown(boolean known) {
        ordersKnown = known;
    }

    /** A configuration was taken at SIGHUP, or turned down. */
    void reloaded(boolean taken) {
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
