package cranedeal.node.discovery;

import java.util.Locale;

/**
 * A call to discovery that has ended.
 *
 * @param id the number of the call, counted from the start of the process
 * @param index the version that it told discovery; negative where it asked for the whole list
 * @param waitMs for how long discovery was to wait for news
 * @param bytes how many bytes of an answer have come
 * @param tookMs from its start to its end
 */
public record CallRecord(long id, long index, int waitMs, long bytes, double tookMs, CallEnd end) {

    /** The call as a line of a log. */
    public String text() {
        return String.format(Locale.ROOT, "discovery call id=%d index=%d wait=%d bytes=%d ms=%.0f end=%s", id,
                index, waitMs, bytes, tookMs, end);
    }
}
