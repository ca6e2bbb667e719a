package cranedeal.lab.history;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;

/** Reads a history and reports every violation of one rule. */
public abstract class Checker implements Consumer<Event> {

    private static final int MAX_SHOWN = 20;

    private final String rule;
    private final List<String> shown = new ArrayList<>();
    private long count;

    Checker(String rule) {
        this.rule = rule;
    }

    /** The result of a checker: the number of violations, and descriptions of the first few. */
    public record Finding(String rule, long count, List<String> shown) {

        public boolean holds() {
            return count == 0;
        }
    }

    /** Returns the result. Call it once, after the last event. */
    public final Finding finish() {
        end();
        return new Finding(rule, count, List.copyOf(shown));
    }

    /** Called after the last event, for checks that need the whole history. */
    void end() {
        // Most rules are checked event by event.
    }

    final void broken(double at, String format, Object... values) {
        count++;
        if (shown.size() < MAX_SHOWN) {
            shown.add(String.format(Locale.ROOT, "at %.0f ms: ", at)
                    + String.format(Locale.ROOT, format, values));
        }
    }
}
