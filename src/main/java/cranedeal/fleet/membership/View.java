package cranedeal.fleet.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/** All other members known to one process. */
final class View {

    private final RandomGenerator random;
    private final Map<String, MemberEntry> entries = new HashMap<>();
    /** The present members in probe order. */
    private final List<MemberEntry> probeRing = new ArrayList<>();
    private final List<MemberEntry> faulty = new ArrayList<>();
    /** The index in the ring of the next member to probe. */
    private int nextProbeIndex;
    private int suspects;
    private long digest;

    View(RandomGenerator random) {
        this.random = random;
    }

    MemberEntry get(String name) {
        return entries.get(name);
    }

    Collection<MemberEntry> entries() {
        return Collections.unmodifiableCollection(entries.values());
    }

    int size() {
        return entries.size();
    }

    int presentCount() {
        return probeRing.size();
    }

    int faultyCount() {
        return faulty.size();
    }

    int suspectCount() {
        return suspects;
    }

    /** A digest of the present members that does not depend on the order in which they were added. */
    long digest() {
        return digest;
    }

    MemberEntry add(Member member, double now) {
        MemberEntry entry = new MemberEntry(member, now);
        entries.put(member.name(), entry);
        addToLists(entry);
        return entry;
    }

    void replace(MemberEntry entry, Member member, double now) {
        boolean staysPresent = entry.member.state().isPresent() && member.state().isPresent();
        if (!staysPresent) {
            removeFromLists(entry);
        } else {
            updateTotals(entry, -1);
        }
        if (entry.member.state() != member.state()) {
            entry.stateSince = now;
        }
        entry.member = member;
        entry.suspicion = null;
        if (!staysPresent) {
            addToLists(entry);
        } else {
            updateTotals(entry, 1);
        }
    }

    void forget(MemberEntry entry) {
        removeFromLists(entry);
        entries.remove(entry.member.name());
    }

    private void updateTotals(MemberEntry entry, int delta) {
        digest += delta * entry.member.fingerprint();
        if (entry.member.state() == State.SUSPECT) {
            suspects += delta;
        }
    }

    private void addToLists(MemberEntry entry) {
        if (entry.member.state().isPresent()) {
            updateTotals(entry, 1);
            put(probeRing, probeRing.size(), entry);
            // Goes to a random place among those still to be probed in this round.
            swap(probeRing, entry.listIndex,
                    nextProbeIndex + random.nextInt(probeRing.size() - nextProbeIndex));
        } else if (entry.member.state() == State.FAULTY) {
            put(faulty, faulty.size(), entry);
        }
    }

    private void removeFromLists(MemberEntry entry) {
        if (entry.member.state().isPresent()) {
            updateTotals(entry, -1);
            if (entry.listIndex < nextProbeIndex) {
                // Members probed in this round stay in front of the others.
                nextProbeIndex--;
                swap(probeRing, entry.listIndex, nextProbeIndex);
            }
            removeLast(probeRing, entry);
        } else if (entry.member.state() == State.FAULTY) {
            removeLast(faulty, entry);
        }
    }

    private static void removeLast(List<MemberEntry> list, MemberEntry entry) {
        swap(list, entry.listIndex, list.size() - 1);
        list.remove(list.size() - 1);
    }

    private static void put(List<MemberEntry> list, int index, MemberEntry entry) {
        entry.listIndex = index;
        if (index == list.size()) {
            list.add(entry);
        } else {
            list.set(index, entry);
        }
    }

    private static void swap(List<MemberEntry> list, int first, int second) {
        MemberEntry moved = list.get(first);
        put(list, first, list.get(second));
        put(list, second, moved);
    }

    /** The next member to probe; each once a round, in an order shuffled per round. Null if there is none. */
    MemberEntry nextToProbe() {
        if (nextProbeIndex >= probeRing.size()) {
            nextProbeIndex = 0;
            for (int i = probeRing.size() - 1; i > 0; i--) {
                swap(probeRing, i, random.nextInt(i + 1));
            }
        }
        return probeRing.isEmpty() ? null : probeRing.get(nextProbeIndex++);
    }

    /** Up to {@code count} random present members, without {@code excluded}. */
    Collection<MemberEntry> randomPresent(int count, MemberEntry excluded) {
        if (probeRing.size() <= count + 1) {
            return probeRing.stream().filter(entry -> entry != excluded).limit(count).toList();
        }
        Set<MemberEntry> selected = new LinkedHashSet<>();
        while (selected.size() < count) {
            MemberEntry entry = probeRing.get(random.nextInt(probeRing.size()));
            if (entry != excluded) {
                selected.add(entry);
            }
        }
        return selected;
    }

    /** Up to {@code count} random faulty members. */
    Set<MemberEntry> randomFaulty(int count) {
        Set<MemberEntry> selected = new LinkedHashSet<>();
        for (int i = 0; i < count && !faulty.isEmpty(); i++) {
            selected.add(faulty.get(random.nextInt(faulty.size())));
        }
        return selected;
    }
}
