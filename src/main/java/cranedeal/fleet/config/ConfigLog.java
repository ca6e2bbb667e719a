package cranedeal.fleet.config;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.SplittableRandom;
import java.util.TreeSet;

/**
 * A coordinator's side of the fleet's configuration: a log of versions of which a majority of the
 * coordinators has each that counts. One of them leads and takes changes; its place is taken by an operator's
 * word, with a higher epoch that a majority promises first, and after that whatever has a lower one is
 * refused (the promises and the proposal of what was found under the new epoch are those of Lamport, Paxos
 * Made Simple, 2001). An election that needs no operator fits behind {@link #takeOver}.
 *
 * <p>Has no clock, socket or thread: events come in with a time in milliseconds, and {@link Actions} go out.
 * Its {@link LogKeeper} has what it was given on disk when it returns, so nothing is told before. Belongs to
 * one thread.
 */
final class ConfigLog {

    /** The most versions that are kept, and the bytes from which on they are fewer, but never below two. */
    static final int MOST_VERSIONS = 64;
    static final int MOST_BYTES = 8 << 20;
    /** What one answer to a new leader holds at most, so that it is a call of usual size. */
    private static final int MOST_TOLD = 4 << 20;
    private static final int MOST_WAITING = 16;
    /** A coordinator that was not heard for so long is asked again; and one that is there, so often. */
    static final double RETRY_MS = 2_000;
    private static final double HEARTBEAT_MS = 1_000;
    private static final double SOON_MS = 250;
    /** Until when a change has to be with a majority, or its author is told that it is not yet. */
    static final double PATIENCE_MS = 3_000;
    private static final int TAKE_OVER_TRIES = 3;
    /** A take-over that has not won after so long never does. */
    private static final double OUTBID_MS = 2 * PATIENCE_MS;

    /** How a publish, a rollback or a take-over came out. */
    enum Result {
        /** It is on a majority's disks. */
        DONE,
        /** This coordinator does not lead, or does no longer; the epoch and the leader say who does. */
        NOT_LEADER,
        /** It is not on a majority's disks yet, and may or may not get there; can be repeated. */
        UNKNOWN,
        /** It can't be done, and was not. */
        REFUSED
    }

    /** Takes an outcome, once. */
    interface Reply {

        /**
         * It has come out.
         *
         * @param id the version; {@link VersionId#NONE} if there is none
         */
        void done(Result result, VersionId id, String why);
    }

    /** What it asks of its host. */
    interface Actions {

        /** Sends a question to another coordinator, and hands its answer or its failure back. */
        void prepare(String to, Replication.Prepare question);

        /** Likewise. */
        void append(String to, Replication.Append question);

        /** A majority has a version, which is now the one that members are to go by. */
        void committed(Version version);

        void log(String line);
    }

    /** A change that waits for its turn. */
    private record Change(String operation, String author, long timeMs, String note,
            SortedMap<String, byte[]> sections, double until, Reply reply) { }

    /** What the leader knows of another coordinator. */
    private static final class Peer {

        private boolean asked;
        private double nextAt;
        private Set<VersionId> have = new HashSet<>();
        private boolean heard;
        /** Since when it refuses for an epoch that nobody leads; infinite if it does not. */
        private double outbidSince = Double.POSITIVE_INFINITY;
    }

    /** A take-over that is under way. */
    private static final class Candidacy {

        private final long epoch;
        private final double until;
        private final int tries;
        private final Reply reply;
        private final Set<String> promised = new HashSet<>();
        private final Map<VersionId, Version> found = new HashMap<>();
        private VersionId committed = VersionId.NONE;

        Candidacy(long epoch, double until, int tries, Reply reply) {
            this.epoch = epoch;
            this.until = until;
            this.tries = tries;
            this.reply = reply;
        }
    }

    private final String self;
    private final Map<String, Peer> peers = new HashMap<>();
    private final int majority;
    private final LogState state;
    private final LogKeeper keeper;
    private final Actions actions;
    private final SplittableRandom random;
    private final Deque<Change> waiting = new ArrayDeque<>();
    /** Who is to be told of the one version that is not committed yet. */
    private final List<Change> pending = new ArrayList<>();
    private long highestSeen;
    /** The highest epoch of which a leader was heard, which had a majority's promise by then. */
    private long electedEpoch;
    private Candidacy candidacy;
    /** The version of which it was last told that the disk can't take that it is committed. */
    private VersionId notNoted = VersionId.NONE;
    private double now;

    /**
     * A coordinator.
     *
     * @param self its address, by which the others know it
     * @param others theirs
     * @param state what it kept when it last ran; its own from here on
     * @param seed of whatever is drawn
     */
    ConfigLog(String self, Set<String> others, LogState state, LogKeeper keeper, long seed, Actions actions) {
        this.self = self;
        others.stream().filter(other -> !other.equals(self)).forEach(other -> peers.put(other, new Peer()));
        majority = (peers.size() + 1) / 2 + 1;
        this.state = state;
        this.keeper = keeper;
        this.actions = actions;
        random = new SplittableRandom(seed);
        highestSeen = state.promised;
    }

    /** Begins; a leader goes on as the leader of its epoch. */
    void start(double time) {
        now = time;
        if (state.current() != null) {
            actions.committed(state.current());
        }
        if (leads()) {
            carryOver();
        }
    }

    // ---- What is known -----------------------------------------------------------------------------

    boolean leads() {
        return state.elected && state.leader.equals(self);
    }

    long epoch() {
        return state.promised;
    }

    /** The leader of {@link #epoch()}, as far as known; empty if there was none. */
    String leader() {
        return state.leader;
    }

    /** The version that members are to go by; null if there is none. */
    Version current() {
        return state.current();
    }

    /** What is kept, the latest last. */
    SortedMap<VersionId, Version> versions() {
        return state.versions;
    }

    /** The other coordinators that were heard at the last try; of use where this one leads. */
    Set<String> heard() {
        Set<String> heard = new TreeSet<>();
        peers.forEach((name, peer) -> {
            if (peer.heard) {
                heard.add(name);
            }
        });
        return heard;
    }

    /** When {@link #tick} is next wanted. */
    double wakeAt() {
        double next = candidacy == null ? Double.POSITIVE_INFINITY : candidacy.until;
        if (leads()) {
            for (Peer peer : peers.values()) {
                next = Math.min(next, peer.nextAt);
            }
        }
        for (Change change : pending) {
            next = Math.min(next, change.until());
        }
        for (Change change : waiting) {
            next = Math.min(next, change.until());
        }
        return next;
    }

    // ---- Operators ---------------------------------------------------------------------------------

    /**
     * Publishes a document.
     *
     * @param operation by which it is known if it is asked for again: that does nothing more
     */
    void publish(double time, String operation, String author, long timeMs, String note,
            SortedMap<String, byte[]> sections, Reply reply) {
        now = time;
        Change change = new Change(operation, author, timeMs, note, sections, now + PATIENCE_MS, reply);
        if (!leads()) {
            notLeader(change);
            return;
        }
        Version known = byOperation(operation);
        if (known != null && !known.id().isAfter(state.committed)) {
            reply.done(Result.DONE, known.id(), "it was published before");
        } else if (known != null) {
            pending.add(change);
        } else if (waiting.size() >= MOST_WAITING) {
            reply.done(Result.REFUSED, VersionId.NONE, MOST_WAITING + " changes wait already; try again");
        } else {
            waiting.add(change);
            next();
        }
    }

    /** Publishes the document of an earlier version again, as a new version, so that nothing overtakes it. */
    void rollback(double time, long number, String operation, String author, long timeMs, Reply reply) {
        now = time;
        Version old = null;
        for (Version version : state.versions.values()) {
            if (version.id().number() == number && !version.id().isAfter(state.committed)) {
                old = version;
            }
        }
        if (leads() && old == null && byOperation(operation) == null) {
            reply.done(Result.REFUSED, VersionId.NONE, "version " + number + " is not kept; "
                    + (state.versions.isEmpty() ? "there is none" : state.versions.keySet().stream()
                    .map(id -> Long.toString(id.number())).toList() + " are"));
            return;
        }
        publish(time, operation, author, timeMs, "rollback to " + number,
                old == null ? new java.util.TreeMap<>() : old.sections(), reply);
    }

    /** Takes the leader's place, with an epoch that is higher than any that a majority has promised. */
    void takeOver(double time, Reply reply) {
        now = time;
        if (candidacy != null) {
            reply.done(Result.REFUSED, VersionId.NONE, "a take-over is under way here");
            return;
        }
        stand(TAKE_OVER_TRIES, reply);
    }

    private void stand(int tries, Reply reply) {
        highestSeen = Math.max(highestSeen, state.promised) + 1;
        stepDown(highestSeen, self);
        try {
            keeper.promise(highestSeen, self, false);
        } catch (IOException e) {
            reply.done(Result.REFUSED, VersionId.NONE, "cannot keep the promise: " + e.getMessage());
            return;
        }
        state.promise(highestSeen, self, false);
        candidacy = new Candidacy(highestSeen, now + PATIENCE_MS, tries, reply);
        candidacy.promised.add(self);
        candidacy.committed = state.committed;
        for (String peer : peers.keySet()) {
            actions.prepare(peer, new Replication.Prepare(highestSeen, self, state.committed));
        }
        electedIfPromised();
    }

    /** The answer of another coordinator to {@link Actions#prepare}. */
    void prepared(double time, String from, long epoch, Replication.Answer answer) {
        now = time;
        highestSeen = Math.max(highestSeen, answer.promised());
        if (candidacy == null || candidacy.epoch != epoch) {
            return;
        }
        if (!answer.accepted()) {
            Candidacy lost = candidacy;
            candidacy = null;
            if (lost.tries > 1) {
                stand(lost.tries - 1, lost.reply);
            } else {
                lost.reply.done(Result.REFUSED, VersionId.NONE, "epoch " + answer.promised()
                        + " was promised to " + answer.leader() + "; try again");
            }
            return;
        }
        candidacy.promised.add(from);
        answer.versions().forEach(version -> candidacy.found.put(version.id(), version));
        if (answer.committed().isAfter(candidacy.committed)) {
            candidacy.committed = answer.committed();
        }
        electedIfPromised();
    }

    private void electedIfPromised() {
        if (candidacy == null || candidacy.promised.size() < majority) {
            return;
        }
        Candidacy won = candidacy;
        candidacy = null;
        try {
            adopt(won);
            keeper.promise(won.epoch, self, true);
        } catch (IOException e) {
            won.reply.done(Result.REFUSED, VersionId.NONE, "cannot keep what was found: " + e.getMessage());
            return;
        }
        state.promise(won.epoch, self, true);
        actions.log("leads with epoch " + won.epoch + ", promised by " + won.promised);
        peers.values().forEach(peer -> {
            peer.asked = false;
            peer.have = new HashSet<>();
            peer.nextAt = now;
        });
        if (state.newest() == null) {
            won.reply.done(Result.DONE, VersionId.NONE, "leads with epoch " + won.epoch);
        } else {
            pending.add(new Change("", self, 0, "", null, now + PATIENCE_MS, won.reply));
        }
        carryOver();
    }

    /** Takes the latest version that any of a majority has, and drops what was never committed. */
    private void adopt(Candidacy won) throws IOException {
        Set<VersionId> lineage = new TreeSet<>();
        VersionId best = state.versions.isEmpty() ? VersionId.NONE : state.versions.lastKey();
        for (VersionId id : won.found.keySet()) {
            best = id.isAfter(best) ? id : best;
        }
        for (VersionId id : state.versions.keySet()) {
            if (!id.isAfter(state.committed) || id.equals(best)) {
                lineage.add(id);
            }
        }
        for (Version version : won.found.values()) {
            if (!version.id().isAfter(won.committed) || version.id().equals(best)) {
                if (!state.versions.containsKey(version.id())) {
                    keeper.put(version);
                    state.versions.put(version.id(), version);
                }
                lineage.add(version.id());
            }
        }
        VersionId committed = state.versions.containsKey(won.committed) ? won.committed : state.committed;
        keeper.retain(lineage, committed);
        state.retain(lineage, committed);
    }

    /**
     * What was found counts once a majority has it under this leader's own epoch: under an earlier one it
     * could still be overridden by what a third leader published in between.
     */
    private void carryOver() {
        Version newest = state.newest();
        if (newest != null && newest.id().epoch() < state.promised) {
            VersionId id = new VersionId(state.promised, newest.id().number() + 1);
            Manifest was = newest.manifest();
            try {
                write(newest.as(id, was.timeMs(), was.operation(), was.author(), "carried over from "
                        + newest.id()));
            } catch (IOException e) {
                actions.log("cannot carry " + newest.id() + " over: " + e.getMessage());
                pending.forEach(change -> change.reply().done(Result.REFUSED, VersionId.NONE,
                        "cannot carry the newest version over: " + e.getMessage()));
                pending.clear();
                return;
            }
        }
        send();
    }

    private Version byOperation(String operation) {
        Version found = null;
        for (Version version : state.versions.values()) {
            if (version.manifest().operation().equals(operation)) {
                found = version;
            }
        }
        return found;
    }

    private void notLeader(Change change) {
        change.reply().done(Result.NOT_LEADER, VersionId.NONE, state.leader.isEmpty()
                ? "no coordinator leads; see fleet config take-over" : state.leader.equals(self)
                ? "a take-over by this coordinator has not come to its end; see fleet config take-over"
                : state.leader + " leads with epoch " + state.promised);
    }

    // ---- The leader --------------------------------------------------------------------------------

    /** Writes the next change, if none is under way. */
    private void next() {
        Version newest = state.newest();
        boolean idle = newest == null || newest.id().epoch() == state.promised
                && newest.id().equals(state.committed);
        Change change = idle ? waiting.poll() : null;
        if (change == null) {
            return;
        }
        Version again = byOperation(change.operation());
        if (again != null) {
            change.reply().done(Result.DONE, again.id(), "it was published before");
            next();
            return;
        }
        VersionId id = new VersionId(state.promised, newest == null ? 1 : newest.id().number() + 1);
        try {
            write(Version.of(id, change.author(), change.timeMs(), change.operation(), change.note(),
                    change.sections()));
        } catch (IOException e) {
            actions.log("cannot keep version " + id + ": " + e.getMessage());
            change.reply().done(Result.REFUSED, VersionId.NONE, "it can't be kept: " + e.getMessage());
            next();
            return;
        }
        pending.add(change);
        send();
    }

    private void write(Version version) throws IOException {
        keeper.put(version);
        state.versions.put(version.id(), version);
    }

    private void send() {
        commitIfMajority();
        peers.values().forEach(peer -> {
            if (!peer.asked) {
                peer.nextAt = now;
            }
        });
        sendDue();
    }

    private void sendDue() {
        if (!leads()) {
            return;
        }
        peers.forEach((name, peer) -> {
            if (now >= peer.nextAt) {
                if (peer.asked) {
                    peer.heard = false;
                }
                peer.asked = true;
                peer.nextAt = now + RETRY_MS;
                actions.append(name, new Replication.Append(state.promised, self,
                        new TreeSet<>(state.versions.keySet()), state.committed, lacking(peer)));
            }
        });
    }

    /** The latest version that another coordinator lacks. */
    private Version lacking(Peer peer) {
        Version lacking = null;
        if (peer.heard) {
            for (Version version : state.versions.values()) {
                lacking = peer.have.contains(version.id()) ? lacking : version;
            }
        }
        return lacking;
    }

    /** The answer of another coordinator to {@link Actions#append}. */
    void appended(double time, String from, Replication.Answer answer) {
        now = time;
        Peer peer = peers.get(from);
        highestSeen = Math.max(highestSeen, answer.promised());
        if (!leads() || peer == null) {
            return;
        }
        if (answer.promised() > state.promised && answer.elected()) {
            actions.log("leads no longer: epoch " + answer.promised() + " of " + answer.leader());
            follow(answer.promised(), answer.leader());
            return;
        }
        peer.asked = false;
        if (answer.promised() > state.promised) {
            outbid(peer, answer);
            return;
        }
        peer.outbidSince = Double.POSITIVE_INFINITY;
        peer.heard = true;
        peer.have = answer.have();
        // One that can't write, as on a full disk, is not asked at once again.
        boolean more = lacking(peer) != null || answer.committed().compareTo(state.committed) < 0;
        peer.nextAt = now + (!more ? HEARTBEAT_MS : answer.accepted() ? 0 : SOON_MS);
        commitIfMajority();
        sendDue();
    }

    /**
     * Another coordinator has promised a higher epoch to one that a majority has not. That ends no leader,
     * but it can't follow this one any more; so this one takes over anew, once that other try is surely over.
     */
    private void outbid(Peer peer, Replication.Answer answer) {
        peer.nextAt = now + HEARTBEAT_MS;
        if (Double.isInfinite(peer.outbidSince)) {
            peer.outbidSince = now;
        } else if (now - peer.outbidSince >= OUTBID_MS && candidacy == null) {
            peer.outbidSince = Double.POSITIVE_INFINITY;
            actions.log("takes over anew, as epoch " + answer.promised() + " was promised to "
                    + answer.leader() + ", which does not lead");
            stand(TAKE_OVER_TRIES, (result, id, why) -> actions.log("has taken over anew: " + result + ", "
                    + why));
        }
    }

    /** No answer came from another coordinator. */
    void unreached(double time, String peer) {
        now = time;
        Peer its = peers.get(peer);
        if (its != null && its.asked) {
            its.asked = false;
            its.heard = false;
            its.nextAt = now + SOON_MS * (1 + random.nextDouble());
        }
    }

    private void commitIfMajority() {
        Version newest = state.newest();
        if (!leads() || newest == null || newest.id().epoch() != state.promised
                || !newest.id().isAfter(state.committed)) {
            return;
        }
        long with = 1 + peers.values().stream().filter(peer -> peer.have.contains(newest.id())).count();
        if (with < majority) {
            return;
        }
        Set<VersionId> kept = kept();
        try {
            keeper.retain(kept, newest.id());
        } catch (IOException e) {
            // A majority has it all the same, which is found out again at the next answer. Told now, it could
            // be forgotten by a restart, and this coordinator would go back.
            if (!newest.id().equals(notNoted)) {
                notNoted = newest.id();
                actions.log("cannot note that " + newest.id() + " is committed: " + e.getMessage());
            }
            return;
        }
        state.retain(kept, newest.id());
        actions.committed(newest);
        List<Change> done = new ArrayList<>(pending);
        pending.clear();
        done.forEach(change -> change.reply().done(Result.DONE, newest.id(), newest.manifest().note()));
        peers.values().forEach(peer -> {
            if (!peer.asked) {
                peer.nextAt = now;
            }
        });
        next();
        sendDue();
    }

    private Set<VersionId> kept() {
        Set<VersionId> kept = new TreeSet<>();
        long bytes = 0;
        List<Version> latestFirst = new ArrayList<>(state.versions.values());
        java.util.Collections.reverse(latestFirst);
        for (Version version : latestFirst) {
            bytes += version.size();
            if (kept.size() < 2 || kept.size() < MOST_VERSIONS && bytes <= MOST_BYTES) {
                kept.add(version.id());
            }
        }
        return kept;
    }

    /** Does what is due. */
    void tick(double time) {
        now = time;
        if (candidacy != null && now >= candidacy.until) {
            Candidacy lost = candidacy;
            candidacy = null;
            lost.reply.done(Result.UNKNOWN, VersionId.NONE, "only " + lost.promised.size() + " of "
                    + (peers.size() + 1) + " coordinators have promised epoch " + lost.epoch
                    + "; a majority is wanted");
        }
        expire(pending);
        expire(waiting);
        sendDue();
    }

    private void expire(Iterable<Change> changes) {
        for (var each = changes.iterator(); each.hasNext();) {
            Change change = each.next();
            if (now >= change.until()) {
                each.remove();
                change.reply().done(Result.UNKNOWN, VersionId.NONE, "not on the disks of a majority yet ("
                        + (heard().size() + 1) + " of " + (peers.size() + 1)
                        + " coordinators are there); it may still get there, and can be repeated");
            }
        }
    }

    // ---- The others --------------------------------------------------------------------------------

    /** Another coordinator stands for leader. */
    Replication.Answer prepare(double time, Replication.Prepare question) {
        now = time;
        highestSeen = Math.max(highestSeen, question.epoch());
        if (question.epoch() <= state.promised) {
            return answer(false, List.of());
        }
        if (leads()) {
            actions.log("leads no longer: " + question.leader() + " takes over with epoch "
                    + question.epoch());
        }
        if (!follow(question.epoch(), question.leader())) {
            return answer(false, List.of());
        }
        List<Version> lacking = new ArrayList<>();
        long bytes = 0;
        List<Version> latestFirst = new ArrayList<>(state.versions.values());
        java.util.Collections.reverse(latestFirst);
        for (Version version : latestFirst) {
            bytes += version.size();
            if (version.id().isAfter(question.newest()) && (lacking.isEmpty() || bytes <= MOST_TOLD)) {
                lacking.add(version);
            }
        }
        return answer(true, lacking);
    }

    /** The leader's word has come. */
    Replication.Answer append(double time, Replication.Append question) {
        now = time;
        highestSeen = Math.max(highestSeen, question.epoch());
        electedEpoch = Math.max(electedEpoch, question.epoch());
        boolean other = !question.leader().equals(state.leader);
        if (question.epoch() < state.promised || question.epoch() == state.promised && other && leads()) {
            return answer(false, List.of());
        }
        if ((question.epoch() > state.promised || other)
                && !follow(question.epoch(), question.leader())) {
            return answer(false, List.of());
        }
        try {
            if (question.version() != null && !state.versions.containsKey(question.version().id())) {
                write(question.version());
            }
            Set<VersionId> ids = new TreeSet<>(question.ids());
            ids.retainAll(state.versions.keySet());
            VersionId committed = question.committed().isAfter(state.committed)
                    && state.versions.containsKey(question.committed()) ? question.committed()
                    : state.committed;
            if (state.current() != null && committed.equals(state.committed)) {
                ids.add(committed);
            }
            if (!committed.equals(state.committed) || !ids.equals(state.versions.keySet())) {
                boolean isNews = committed.isAfter(state.committed);
                keeper.retain(ids, committed);
                state.retain(ids, committed);
                if (isNews) {
                    actions.committed(state.current());
                }
            }
            return answer(true, List.of());
        } catch (IOException e) {
            actions.log("cannot keep what " + question.leader() + " says: " + e.getMessage());
            return answer(false, List.of());
        }
    }

    private Replication.Answer answer(boolean accepted, List<Version> versions) {
        return new Replication.Answer(accepted, state.promised, state.leader,
                leads() || electedEpoch == state.promised, state.committed,
                new TreeSet<>(state.versions.keySet()), versions);
    }

    /** Goes behind a leader of a higher epoch; whether that could be kept. */
    private boolean follow(long epoch, String leader) {
        stepDown(epoch, leader);
        try {
            keeper.promise(epoch, leader, false);
        } catch (IOException e) {
            actions.log("cannot keep the promise of epoch " + epoch + ": " + e.getMessage());
            return false;
        }
        state.promise(epoch, leader, false);
        return true;
    }

    /** Leads no longer, and tells those who wait. */
    private void stepDown(long epoch, String leader) {
        state.elected = false;
        List<Change> told = new ArrayList<>(pending);
        told.addAll(waiting);
        pending.clear();
        waiting.clear();
        told.forEach(change -> change.reply().done(Result.NOT_LEADER, VersionId.NONE, "epoch " + epoch
                + " of " + leader + " has taken over; it may or may not have got there, and can be"
                + " repeated there"));
        if (candidacy != null) {
            Candidacy lost = candidacy;
            candidacy = null;
            lost.reply.done(Result.REFUSED, VersionId.NONE, "epoch " + epoch + " of " + leader
                    + " has taken over meanwhile");
        }
    }
}
