package cranedeal;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Requests that wait for a server that can take them, by class in the order in which they came. What they
 * wait for wakes them: whoever learns of it asks for the next ones of each class, a few at a time.
 */
final class HeldRequests {

    private final Map<String, LinkedHashSet<Call>> waiting = new LinkedHashMap<>();
    private int size;

    int size() {
        return size;
    }

    /** Holds a request; one that is held already keeps its place. */
    void hold(Call call) {
        if (waiting.computeIfAbsent(call.type.name(), name -> new LinkedHashSet<>()).add(call)) {
            size++;
        }
    }

    /** The request waits no more. */
    void release(Call call) {
        LinkedHashSet<Call> same = size == 0 ? null : waiting.get(call.type.name());
        if (same != null && same.remove(call)) {
            size--;
            if (same.isEmpty()) {
                waiting.remove(call.type.name());
            }
        }
    }

    /** The first requests of each class, at most so many of each, that fulfil a condition. */
    List<Call> first(int most, Predicate<Call> condition) {
        List<Call> first = new ArrayList<>();
        for (LinkedHashSet<Call> calls : waiting.values()) {
            Iterator<Call> next = calls.iterator();
            for (int i = 0; i < most && next.hasNext(); i++) {
                Call call = next.next();
                if (condition.test(call)) {
                    first.add(call);
                }
            }
        }
        return first;
    }
}
