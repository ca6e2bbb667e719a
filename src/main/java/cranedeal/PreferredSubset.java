package cranedeal;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The servers that an instance prefers: every so many-th in an order by zone and machine type, each sibling
 * beginning at its own place. So a subset is a small picture of the fleet, and every server is in as many
 * subsets as the others. Each round of siblings shuffles anew, so that no two servers share all callers.
 *
 * <p>The order is kept sorted: a change takes a binary search and a shift, and the members of the subset are
 * found by their ranks. Only where the round changes all are sorted anew.
 */
final class PreferredSubset {

    /** Servers in a subset: enough to lose a few, few enough to know. */
    private static final int SIZE = 8;
    private static final int ID_FACTOR = 31;
    private static final Comparator<Server> ORDER = Comparator.<Server>comparingInt(s -> s.listed.zone())
            .thenComparingInt(s -> s.listed.machineType()).thenComparingDouble(s -> s.shuffled)
            .thenComparingLong(s -> s.order);

    private final List<Server> ordered = new ArrayList<>();
    private List<Server> chosen = List.of();
    private long round;

    /** All servers, in order. */
    List<Server> ordered() {
        return ordered;
    }

    int size() {
        return ordered.size();
    }

    void add(Server server) {
        shuffle(server);
        int at = Collections.binarySearch(ordered, server, ORDER);
        ordered.add(at < 0 ? -at - 1 : at, server);
    }

    /** Takes a server out whose zone and machine type are as they were when it was added. */
    void remove(Server server) {
        int at = Collections.binarySearch(ordered, server, ORDER);
        if (at >= 0) {
            ordered.remove(at);
        }
    }

    private void shuffle(Server server) {
        server.shuffled = new SplittableRandom(server.listed.id() * ID_FACTOR + round).nextDouble();
    }

    /**
     * Chooses the subset of the servers as they are now.
     *
     * @return those that have come into it or have left it
     */
    List<Server> choose(int position) {
        int stride = Math.max(1, ordered.size() / SIZE);
        if (position / stride != round) {
            round = position / stride;
            ordered.forEach(this::shuffle);
            ordered.sort(ORDER);
        }
        List<Server> now = new ArrayList<>();
        for (int rank = Math.floorMod(-position, stride); rank < ordered.size(); rank += stride) {
            now.add(ordered.get(rank));
        }
        List<Server> changed = new ArrayList<>();
        chosen.forEach(server -> server.chosen = false);
        now.forEach(server -> server.chosen = true);
        addChanged(chosen, changed);
        addChanged(now, changed);
        chosen = now;
        return changed;
    }

    private static void addChanged(List<Server> from, List<Server> changed) {
        for (Server server : from) {
            if (server.preferred != server.chosen) {
                server.preferred = server.chosen;
                changed.add(server);
            }
        }
    }
}
