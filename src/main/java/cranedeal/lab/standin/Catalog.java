package cranedeal.lab.standin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Discovery's versioned list of upstreams. It uses no socket and no clock. */
final class Catalog {

    private static final long FIRST_VERSION = 41;
    /** How many removed upstreams are kept so that a list of changes can include them. */
    private static final int MAX_REMOVED_ENTRIES = 1_000;

    /** An upstream as it is listed. */
    record Entry(String id, int party, String zone, String kind, int cell, String state, double weight,
            long startedMs) {

        Entry withState(String changed) {
            return new Entry(id, party, zone, kind, cell, changed, weight, startedMs);
        }

        Entry startedAt(long unixMs) {
            return new Entry(id, party, zone, kind, cell, "up", weight, unixMs);
        }

        boolean isRemoved() {
            return state.equals("removed");
        }
    }

    private record Change(long version, Entry entry) { }

    private final Map<String, Change> changes = new LinkedHashMap<>();
    private long version = FIRST_VERSION - 1;
    /** The oldest version since which all changes are still known. */
    private long oldestCompleteVersion;

    long version() {
        return version;
    }

    /** Adds an upstream or replaces its entry, as a new version of the list. */
    void put(Entry entry) {
        version++;
        changes.remove(entry.id());
        changes.put(entry.id(), new Change(version, entry));
        long gone = changes.values().stream().filter(change -> change.entry().isRemoved()).count();
        if (gone > MAX_REMOVED_ENTRIES) {
            Change oldest = changes.values().stream().filter(change -> change.entry().isRemoved()).findFirst()
                    .orElseThrow();
            changes.remove(oldest.entry().id());
            oldestCompleteVersion = oldest.version();
        }
    }

    /** Returns an upstream's current entry, or null if there is none. */
    Entry get(String id) {
        Change change = changes.get(id);
        return change == null ? null : change.entry();
    }

    /** Returns all upstreams that are not removed. */
    List<Entry> all() {
        return changes.values().stream().map(Change::entry).filter(entry -> !entry.isRemoved()).toList();
    }

    /** Returns true if all changes since a version are still known. */
    boolean hasChangesSince(long index) {
        return index >= oldestCompleteVersion && index <= version;
    }

    /** Returns the current entries of the upstreams that changed since a version, each once. */
    List<Entry> changesSince(long index) {
        List<Entry> changed = new ArrayList<>();
        changes.values().stream().filter(change -> change.version() > index)
                .forEach(change -> changed.add(change.entry()));
        return changed;
    }
}
