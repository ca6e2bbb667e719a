package cranedeal.fleet.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/** News that goes out with datagrams: each a bounded number of times, the least told first. */
final class GossipQueue {

    /** Beyond this what was told most often is dropped; a full exchange makes up for it. */
    static final int MOST = 256;

    private record Item(MemberUpdate news, boolean important, int sends, long number) { }

    private static final Comparator<Item> LEAST_TOLD = Comparator.comparingInt(Item::sends)
            .thenComparing(Item::important, Comparator.reverseOrder())
            .thenComparing(Comparator.comparingLong(Item::number).reversed());

    private final Map<String, Item> byName = new HashMap<>();
    private final TreeSet<Item> items = new TreeSet<>(LEAST_TOLD);
    private long count;

    /**
     * Takes what is new of a member, in place of what there was of it.
     *
     * @param important whether it is to reach everybody by this way
     */
    void add(MemberUpdate news, boolean important) {
        put(new Item(news, important, 0, count++));
        if (items.size() > MOST) {
            remove(items.last());
        }
    }

    int size() {
        return items.size();
    }

    /** Takes what fits into so many bytes, in a fleet of so many members. */
    List<MemberUpdate> take(int bytes, int members) {
        List<Item> taken = new ArrayList<>();
        int left = bytes;
        for (Item item : items) {
            int size = Codec.size(item.news());
            if (size > left) {
                break;
            }
            left -= size;
            taken.add(item);
        }
        List<MemberUpdate> news = new ArrayList<>(taken.size());
        for (Item item : taken) {
            news.add(item.news());
            if (item.sends() + 1 < Settings.sends(members, item.important())) {
                put(new Item(item.news(), item.important(), item.sends() + 1, item.number()));
            } else {
                remove(item);
            }
        }
        return news;
    }

    private void put(Item item) {
        Item before = byName.put(item.news().member().name(), item);
        if (before != null) {
            items.remove(before);
        }
        items.add(item);
    }

    private void remove(Item item) {
        items.remove(item);
        byName.remove(item.news().member().name());
    }
}
