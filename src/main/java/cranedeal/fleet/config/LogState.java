package cranedeal.fleet.config;

import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/** The durable state of a coordinator. */
final class LogState {

    long promisedEpoch;
    String leader = "";
    boolean elected;
    VersionId committed = VersionId.NONE;
    final SortedMap<VersionId, Version> versions = new TreeMap<>();

    void promise(long epoch, String newLeader, boolean isElected) {
        promisedEpoch = epoch;
        leader = newLeader;
        elected = isElected;
    }

    void retain(Set<VersionId> ids, VersionId isCommitted) {
        versions.keySet().retainAll(ids);
        committed = isCommitted;
    }

    /** The latest version, committed or not; null if there is none. */
    Version newest() {
        return versions.isEmpty() ? null : versions.get(versions.lastKey());
    }

    /** The latest version that a majority has; null if there is none. */
    Version current() {
        return versions.get(committed);
    }
}
