package cranedeal;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The servers that an instance prefers: every n-th server in an order by zone and machine type, where each
 * sibling starts at a different offset. So a subset is representative of the fleet, and all servers are in
 * equally many subsets. Each round of siblings uses another shuffle, so that no two servers share all
 * callers.
 *
 * <p>The order is kept sorted: a change takes a binary search and a shift, and members are found by rank.
 * Only a change of the round sorts all servers again.
 */
final class PreferredSubset {

    /** Servers in a subset: enough to lose a few of them, few enough to have recent observations of each. */
    private static final int SIZE = 8;
    private static final int ID_FACTOR = 31;
    private static final Comparator<Server> ORDER = Comparator.<Server>comparingInt(s -> s.listed.zone())
            .thenComparingInt(s -> s.listed.machineType()).thenComparingDouble(s -> s.shuffleKey)
            .thenComparingLong(s -> s.sequence);

    private final List<Server> ordered = new ArrayList<>();
    private List<Server> selected = List.of();
    private long round;

    /** Returns all servers, in order. */
    List<Server> ordered() {
        return ordered;
    }

    int size() {
        return ordered.size();
    }

    void add(Server server) {
        shuffle(server);
        int rank = Collections.binarySearch(ordered, server, ORDER);
        ordered.add(rank < 0 ? -rank - 1 : rank, server);
    }

    /** Removes a server whose zone and machine type are unchanged since it was added. */
    void remove(Server server) {
        int rank = Collections.binarySearch(ordered, server, ORDER);
        if (rank >= 0) {
            ordered.remove(rank);
        }
    }

    private void shuffle(Server server) {
        server.shuffleKey = new SplittableRandom(server.listed.id() * ID_FACTOR + round).nextDouble();
    }

    /**
     * Updates the subset for the present servers.
     *
     * @return the servers that have joined or left it
     */
    List<Server> select(int position) {
        int stride = Math.max(1, ordered.size() / SIZE);
        if (position / stride != round) {
            round = position / stride;
            ordered.forEach(this::shuffle);
            ordered.sort(ORDER);
        }
        List<Server> members = new ArrayList<>();
        for (int rank = Math.floorMod(-position, stride); rank < ordered.size(); rank += stride) {
            members.add(ordered.get(rank));
        }
        List<Server> changed = new ArrayList<>();
        selected.forEach(server -> server.selected = false);
        members.forEach(server -> server.selected = true);
        addChanged(selected, changed);
        addChanged(members, changed);
        selected = members;
        return changed;
    }

    private static void addChanged(List<Server> candidates, List<Server> changed) {
        for (Server server : candidates) {
            if (server.preferred != server.selected) {
                server.preferred = server.selected;
                changed.add(server);
            }
        }
    }
}
