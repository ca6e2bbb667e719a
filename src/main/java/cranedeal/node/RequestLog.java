package cranedeal.node;

import cranedeal.node.log.RateLimitedLog;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.stream.Collectors;

/** Logs requests that were not served, with what became of their attempts; the lines per time are bounded. */
final class RequestLog {

    private static final int MAX_ID_LENGTH = 64;

    private final DoubleSupplier clock;
    private final RateLimitedLog log;

    /** Creates a log that writes to {@code lines}; the clock is in ms. */
    RequestLog(DoubleSupplier clock, Consumer<String> lines) {
        this.clock = clock;
        log = new RateLimitedLog("requests", clock, lines);
    }

    /** A request has ended without being served. */
    void notServed(Exchange exchange, String end) {
        log.write(() -> describe(exchange, end));
    }

    private String describe(Exchange exchange, String end) {
        String id = exchange.request.headers().get("X-Txn", "");
        String attempts = exchange.attempts.stream()
                .map(attempt -> attempt == null ? "not begun" : attempt.describe(exchange.acceptedAt))
                .collect(Collectors.joining("; "));
        return "request id=" + id.substring(0, Math.min(MAX_ID_LENGTH, id.length()))
                + " class=" + exchange.className + " end=" + end
                + " ms=" + Math.round(clock.getAsDouble() - exchange.acceptedAt)
                + (exchange.upload == null ? "" : " body=" + exchange.upload.progress())
                + " attempts=[" + attempts + "]";
    }
}
