package cranedeal.fleet.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/** Updates piggybacked on datagrams: each a bounded number of times, those sent least often first. */
final class GossipQueue {

    /** Beyond this size the update sent most often is dropped; full exchanges make up for it. */
    static final int MAX_ITEMS = 256;

    private record Item(MemberUpdate update, boolean important, int sends, long sequence) { }

    private static final Comparator<Item> FEWEST_SENDS_FIRST = Comparator.comparingInt(Item::sends)
            .thenComparing(Item::important, Comparator.reverseOrder())
            .thenComparing(Comparator.comparingLong(Item::sequence).reversed());

    private final Map<String, Item> byName = new HashMap<>();
    private final TreeSet<Item> items = new TreeSet<>(FEWEST_SENDS_FIRST);
    private long nextSequence;

    /**
     * Adds an update, replacing the queued one about the same member.
     *
     * @param important true if gossip alone has to carry it to all members
     */
    void add(MemberUpdate update, boolean important) {
        put(new Item(update, important, 0, nextSequence++));
        if (items.size() > MAX_ITEMS) {
            remove(items.last());
        }
    }

    int size() {
        return items.size();
    }

    /** Takes the updates that fit into so many bytes, in a fleet of so many members. */
    List<MemberUpdate> take(int bytes, int members) {
        List<Item> taken = new ArrayList<>();
        int remaining = bytes;
        for (Item item : items) {
            int size = Codec.encodedSize(item.update());
            if (size > remaining) {
                break;
            }
            remaining -= size;
            taken.add(item);
        }
        List<MemberUpdate> update = new ArrayList<>(taken.size());
        for (Item item : taken) {
            update.add(item.update());
            if (item.sends() + 1 < Settings.maxSends(members, item.important())) {
                put(new Item(item.update(), item.important(), item.sends() + 1, item.sequence()));
            } else {
                remove(item);
            }
        }
        return update;
    }

    private void put(Item item) {
        Item previous = byName.put(item.update().member().name(), item);
        if (previous != null) {
            items.remove(previous);
        }
        items.add(item);
    }

    private void remove(Item item) {
        items.remove(item);
        byName.remove(item.update().member().name());
    }
}
