package cranedeal.node.discovery;

import java.util.Locale;

/**
 * A call to discovery that has ended.
 *
 * @param id the number of the call, counted from the start of the process
 * @param index the list version that it sent to discovery; negative if it requested the whole list
 * @param waitMs how long discovery was asked to wait for changes
 * @param bytes the number of bytes of the answer's body that were received
 * @param durationMs the time from its start to its end
 */
public record CallRecord(long id, long index, int waitMs, long bytes, double durationMs, CallEnd end) {

    /** Formats the call as a log line. */
    public String toLogLine() {
        return String.format(Locale.ROOT, "discovery call id=%d index=%d wait=%d bytes=%d ms=%.0f end=%s", id,
                index, waitMs, bytes, durationMs, end);
    }
}
