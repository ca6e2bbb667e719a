package cranedeal.lab.history;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** How safe it is to repeat a request, in the platform's terms. */
public enum Effect {
    /** The request may be repeated any number of times. */
    IDEMPOTENT,
    /** Upstreams of the same cell discard repeats, for a limited time. */
    DEDUPLICATED,
    /** The request must not run twice. */
    AT_MOST_ONCE;

    /** Returns the name used in the settings. */
    @JsonValue
    public String word() {
        return name().toLowerCase(Locale.ROOT);
    }
}
