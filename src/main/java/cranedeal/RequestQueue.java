package cranedeal;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Requests that wait for a server that can take them, by class in order of arrival. They don't poll: each
 * event that may end their wait retries the first few of each class.
 */
final class RequestQueue {

    private final Map<String, LinkedHashSet<Call>> waiting = new LinkedHashMap<>();
    private int size;

    int size() {
        return size;
    }

    /** Adds a request; one that is queued already keeps its place. */
    void add(Call call) {
        if (waiting.computeIfAbsent(call.type.name(), name -> new LinkedHashSet<>()).add(call)) {
            size++;
        }
    }

    /** Removes a request if it is queued. */
    void remove(Call call) {
        LinkedHashSet<Call> sameClass = size == 0 ? null : waiting.get(call.type.name());
        if (sameClass != null && sameClass.remove(call)) {
            size--;
            if (sameClass.isEmpty()) {
                waiting.remove(call.type.name());
            }
        }
    }

    /**
     * Returns the first requests of each class that meet a condition, examining at most {@code limitPerClass}
     * of each.
     */
    List<Call> first(int limitPerClass, Predicate<Call> condition) {
        List<Call> first = new ArrayList<>();
        for (LinkedHashSet<Call> calls : waiting.values()) {
            Iterator<Call> next = calls.iterator();
            for (int i = 0; i < limitPerClass && next.hasNext(); i++) {
                Call call = next.next();
                if (condition.test(call)) {
                    first.add(call);
                }
            }
        }
        return first;
    }
}
