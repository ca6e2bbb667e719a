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
 * A coordinator's side of the fleet's configuration: a log of versions; a version is committed once a
 * majority of the coordinators has it. One coordinator leads and accepts changes. An operator replaces it
 * with a take-over: a higher epoch that a majority promises first, after which lower epochs are refused
 * (promises and re-proposal under the new epoch follow Lamport, Paxos Made Simple, 2001). An automatic
 * election could be added behind {@link #takeOver}.
 *
 * <p>Has no clock, socket or thread: events come in with a time in milliseconds, and {@link Actions} go out.
 * Its {@link LogStorage} returns only once data is on disk, so nothing is announced before. Belongs to one
 * thread.
 */
final class ConfigLog {

    /** Limits of kept versions, by number and by bytes; at least two are kept. */
    static final int MAX_VERSIONS = 64;
    static final int MAX_BYTES = 8 << 20;
    /** Limit of versions in one answer to a new leader, in bytes, so that the call keeps a usual size. */
    private static final int MAX_ANSWER_BYTES = 4 << 20;
    private static final int MAX_QUEUED_CHANGES = 16;
    /** The retry interval for an unanswered coordinator, and the heartbeat interval. */
    static final double RETRY_MS = 2_000;
    private static final double HEARTBEAT_MS = 1_000;
    private static final double FAST_RETRY_MS = 250;
    /** After this time a change without a majority is reported as {@link Result#UNKNOWN}. */
    static final double CHANGE_TIMEOUT_MS = 3_000;
    private static final int TAKE_OVER_ATTEMPTS = 3;
    /** A take-over that has not won after this time never will. */
    private static final double HIGHER_PROMISE_TIMEOUT_MS = 2 * CHANGE_TIMEOUT_MS;

    /** The result of a publish, a rollback or a take-over. */
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

    /** Receives a result, once. */
    interface Reply {

        /**
         * Called with the result.
         *
         * @param id the version; {@link VersionId#NONE} if there is none
         */
        void done(Result result, VersionId id, String why);
    }

    /** Operations carried out by the host. */
    interface Actions {

        /** Sends a request to another coordinator and passes its answer or failure back. */
        void prepare(String to, Replication.Prepare request);

        /** Likewise. */
        void append(String to, Replication.Append request);

        /** Called when a majority has a version, which members now apply. */
        void committed(Version version);

        void log(String line);
    }

    /** A queued change. */
    private record Change(String operation, String author, long timeMs, String note,
            SortedMap<String, byte[]> sections, double deadline, Reply reply) { }

    /** The leader's state for another coordinator. */
    private static final class Peer {

        private boolean callInFlight;
        private double nextSendAt;
        private Set<VersionId> heldVersions = new HashSet<>();
        private boolean reachable;
        /** Since when it refuses for an epoch that nobody leads; infinite if it does not. */
        private double higherPromiseSince = Double.POSITIVE_INFINITY;
    }

    /** A take-over in progress. */
    private static final class Candidacy {

        private final long epoch;
        private final double deadline;
        private final int attemptsLeft;
        private final Reply reply;
        private final Set<String> promisedBy = new HashSet<>();
        private final Map<VersionId, Version> foundVersions = new HashMap<>();
        private VersionId committed = VersionId.NONE;

        Candidacy(long epoch, double until, int tries, Reply reply) {
            this.epoch = epoch;
            this.deadline = until;
            this.attemptsLeft = tries;
            this.reply = reply;
        }
    }

    private final String self;
    private final Map<String, Peer> peers = new HashMap<>();
    private final int majority;
    private final LogState state;
    private final LogStorage storage;
    private final Actions actions;
    private final SplittableRandom random;
    private final Deque<Change> queuedChanges = new ArrayDeque<>();
    /** Changes that await the commit of the newest version. */
    private final List<Change> pendingChanges = new ArrayList<>();
    private long highestEpochSeen;
    /** The highest epoch of which a leader was heard, which had a majority's promise by then. */
    private long electedEpoch;
    private Candidacy candidacy;
    /** The last version whose commit could not be recorded on disk, to log that once. */
    private VersionId lastUnrecordedCommit = VersionId.NONE;
    private double now;

    /**
     * A coordinator.
     *
     * @param self its address, by which the others know it
     * @param others theirs
     * @param state what it kept when it last ran; its own from here on
     * @param seed of whatever is drawn
     */
    ConfigLog(String self, Set<String> others, LogState state, LogStorage keeper, long seed,
            Actions actions) {
        this.self = self;
        others.stream().filter(other -> !other.equals(self)).forEach(other -> peers.put(other, new Peer()));
        majority = (peers.size() + 1) / 2 + 1;
        this.state = state;
        this.storage = keeper;
        this.actions = actions;
        random = new SplittableRandom(seed);
        highestEpochSeen = state.promisedEpoch;
    }

    /** Starts; a leader continues as the leader of its epoch. */
    void start(double time) {
        now = time;
        if (state.current() != null) {
            actions.committed(state.current());
        }
        if (isLeader()) {
            carryOver();
        }
    }

    // ---- What is known -----------------------------------------------------------------------------

    boolean isLeader() {
        return state.elected && state.leader.equals(self);
    }

    long epoch() {
        return state.promisedEpoch;
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
    Set<String> reachablePeers() {
        Set<String> heard = new TreeSet<>();
        peers.forEach((name, peer) -> {
            if (peer.reachable) {
                heard.add(name);
            }
        });
        return heard;
    }

    /** When {@link #tick} is next wanted. */
    double wakeAt() {
        double next = candidacy == null ? Double.POSITIVE_INFINITY : candidacy.deadline;
        if (isLeader()) {
            for (Peer peer : peers.values()) {
                next = Math.min(next, peer.nextSendAt);
            }
        }
        for (Change change : pendingChanges) {
            next = Math.min(next, change.deadline());
        }
        for (Change change : queuedChanges) {
            next = Math.min(next, change.deadline());
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
        Change change = new Change(operation, author, timeMs, note, sections, now + CHANGE_TIMEOUT_MS, reply);
        if (!isLeader()) {
            replyNotLeader(change);
            return;
        }
        Version existing = findByOperation(operation);
        if (existing != null && !existing.id().isAfter(state.committed)) {
            reply.done(Result.DONE, existing.id(), "it was published before");
        } else if (existing != null) {
            pendingChanges.add(change);
        } else if (queuedChanges.size() >= MAX_QUEUED_CHANGES) {
            reply.done(Result.REFUSED, VersionId.NONE,
                    MAX_QUEUED_CHANGES + " changes wait already; try again");
        } else {
            queuedChanges.add(change);
            startNextChange();
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
        if (isLeader() && old == null && findByOperation(operation) == null) {
            reply.done(Result.REFUSED, VersionId.NONE, "version " + number + " is not kept; "
                    + (state.versions.isEmpty() ? "there is none" : state.versions.keySet().stream()
                    .map(id -> Long.toString(id.number())).toList() + " are"));
            return;
        }
        publish(time, operation, author, timeMs, "rollback to " + number,
                old == null ? new java.util.TreeMap<>() : old.sections(), reply);
    }

    /** Becomes the leader with an epoch higher than any that a majority has promised. */
    void takeOver(double time, Reply reply) {
        now = time;
        if (candidacy != null) {
            reply.done(Result.REFUSED, VersionId.NONE, "a take-over is under way here");
            return;
        }
        startCandidacy(TAKE_OVER_ATTEMPTS, reply);
    }

    private void startCandidacy(int tries, Reply reply) {
        highestEpochSeen = Math.max(highestEpochSeen, state.promisedEpoch) + 1;
        stepDown(highestEpochSeen, self);
        try {
            storage.promise(highestEpochSeen, self, false);
        } catch (IOException e) {
            reply.done(Result.REFUSED, VersionId.NONE, "cannot keep the promise: " + e.getMessage());
            return;
        }
        state.promise(highestEpochSeen, self, false);
        candidacy = new Candidacy(highestEpochSeen, now + CHANGE_TIMEOUT_MS, tries, reply);
        candidacy.promisedBy.add(self);
        candidacy.committed = state.committed;
        for (String peer : peers.keySet()) {
            actions.prepare(peer, new Replication.Prepare(highestEpochSeen, self, state.committed));
        }
        becomeLeaderIfPromised();
    }

    /** The answer of another coordinator to {@link Actions#prepare}. */
    void handlePrepareAnswer(double time, String from, long epoch, Replication.Answer answer) {
        now = time;
        highestEpochSeen = Math.max(highestEpochSeen, answer.promisedEpoch());
        if (candidacy == null || candidacy.epoch != epoch) {
            return;
        }
        if (!answer.accepted()) {
            Candidacy lostCandidacy = candidacy;
            candidacy = null;
            if (lostCandidacy.attemptsLeft > 1) {
                startCandidacy(lostCandidacy.attemptsLeft - 1, lostCandidacy.reply);
            } else {
                lostCandidacy.reply.done(Result.REFUSED, VersionId.NONE, "epoch " + answer.promisedEpoch()
                        + " was promised to " + answer.leader() + "; try again");
            }
            return;
        }
        candidacy.promisedBy.add(from);
        answer.versions().forEach(version -> candidacy.foundVersions.put(version.id(), version));
        if (answer.committed().isAfter(candidacy.committed)) {
            candidacy.committed = answer.committed();
        }
        becomeLeaderIfPromised();
    }

    private void becomeLeaderIfPromised() {
        if (candidacy == null || candidacy.promisedBy.size() < majority) {
            return;
        }
        Candidacy winner = candidacy;
        candidacy = null;
        try {
            adoptVersions(winner);
            storage.promise(winner.epoch, self, true);
        } catch (IOException e) {
            winner.reply.done(Result.REFUSED, VersionId.NONE,
                    "cannot keep what was found: " + e.getMessage());
            return;
        }
        state.promise(winner.epoch, self, true);
        actions.log("leads with epoch " + winner.epoch + ", promised by " + winner.promisedBy);
        peers.values().forEach(peer -> {
            peer.callInFlight = false;
            peer.heldVersions = new HashSet<>();
            peer.nextSendAt = now;
        });
        if (state.newest() == null) {
            winner.reply.done(Result.DONE, VersionId.NONE, "leads with epoch " + winner.epoch);
        } else {
            pendingChanges.add(new Change("", self, 0, "", null, now + CHANGE_TIMEOUT_MS, winner.reply));
        }
        carryOver();
    }

    /** Adopts the latest version found in a majority, and drops those never committed. */
    private void adoptVersions(Candidacy winner) throws IOException {
        Set<VersionId> lineage = new TreeSet<>();
        VersionId best = state.versions.isEmpty() ? VersionId.NONE : state.versions.lastKey();
        for (VersionId id : winner.foundVersions.keySet()) {
            best = id.isAfter(best) ? id : best;
        }
        for (VersionId id : state.versions.keySet()) {
            if (!id.isAfter(state.committed) || id.equals(best)) {
                lineage.add(id);
            }
        }
        for (Version version : winner.foundVersions.values()) {
            if (!version.id().isAfter(winner.committed) || version.id().equals(best)) {
                if (!state.versions.containsKey(version.id())) {
                    storage.put(version);
                    state.versions.put(version.id(), version);
                }
                lineage.add(version.id());
            }
        }
        VersionId committed = state.versions.containsKey(winner.committed) ? winner.committed
                : state.committed;
        storage.retain(lineage, committed);
        state.retain(lineage, committed);
    }

    /**
     * Re-proposes the newest version under this leader's epoch. Under an earlier epoch it could still be
     * overridden by a version that a third leader published in between.
     */
    private void carryOver() {
        Version newest = state.newest();
        if (newest != null && newest.id().epoch() < state.promisedEpoch) {
            VersionId id = new VersionId(state.promisedEpoch, newest.id().number() + 1);
            Manifest manifest = newest.manifest();
            try {
                storeVersion(newest.withId(id, manifest.timeMs(), manifest.operation(), manifest.author(),
                        "carried over from "
                        + newest.id()));
            } catch (IOException e) {
                actions.log("cannot carry " + newest.id() + " over: " + e.getMessage());
                pendingChanges.forEach(change -> change.reply().done(Result.REFUSED, VersionId.NONE,
                        "cannot carry the newest version over: " + e.getMessage()));
                pendingChanges.clear();
                return;
            }
        }
        sendToAll();
    }

    private Version findByOperation(String operation) {
        Version found = null;
        for (Version version : state.versions.values()) {
            if (version.manifest().operation().equals(operation)) {
                found = version;
            }
        }
        return found;
    }

    private void replyNotLeader(Change change) {
        change.reply().done(Result.NOT_LEADER, VersionId.NONE, state.leader.isEmpty()
                ? "no coordinator leads; see fleet config take-over" : state.leader.equals(self)
                ? "a take-over by this coordinator has not come to its end; see fleet config take-over"
                : state.leader + " leads with epoch " + state.promisedEpoch);
    }

    // ---- The leader --------------------------------------------------------------------------------

    /** Stores and sends the next change, if none is in progress. */
    private void startNextChange() {
        Version newest = state.newest();
        boolean idle = newest == null || newest.id().epoch() == state.promisedEpoch
                && newest.id().equals(state.committed);
        Change change = idle ? queuedChanges.poll() : null;
        if (change == null) {
            return;
        }
        Version existing = findByOperation(change.operation());
        if (existing != null) {
            change.reply().done(Result.DONE, existing.id(), "it was published before");
            startNextChange();
            return;
        }
        VersionId id = new VersionId(state.promisedEpoch, newest == null ? 1 : newest.id().number() + 1);
        try {
            storeVersion(Version.of(id, change.author(), change.timeMs(), change.operation(), change.note(),
                    change.sections()));
        } catch (IOException e) {
            actions.log("cannot keep version " + id + ": " + e.getMessage());
            change.reply().done(Result.REFUSED, VersionId.NONE, "it can't be kept: " + e.getMessage());
            startNextChange();
            return;
        }
        pendingChanges.add(change);
        sendToAll();
    }

    private void storeVersion(Version version) throws IOException {
        storage.put(version);
        state.versions.put(version.id(), version);
    }

    private void sendToAll() {
        commitIfMajority();
        peers.values().forEach(peer -> {
            if (!peer.callInFlight) {
                peer.nextSendAt = now;
            }
        });
        sendDue();
    }

    private void sendDue() {
        if (!isLeader()) {
            return;
        }
        peers.forEach((name, peer) -> {
            if (now >= peer.nextSendAt) {
                if (peer.callInFlight) {
                    peer.reachable = false;
                }
                peer.callInFlight = true;
                peer.nextSendAt = now + RETRY_MS;
                actions.append(name, new Replication.Append(state.promisedEpoch, self,
                        new TreeSet<>(state.versions.keySet()), state.committed, newestMissing(peer)));
            }
        });
    }

    /** The latest version that another coordinator lacks. */
    private Version newestMissing(Peer peer) {
        Version lacking = null;
        if (peer.reachable) {
            for (Version version : state.versions.values()) {
                lacking = peer.heldVersions.contains(version.id()) ? lacking : version;
            }
        }
        return lacking;
    }

    /** The answer of another coordinator to {@link Actions#append}. */
    void handleAppendAnswer(double time, String from, Replication.Answer answer) {
        now = time;
        Peer peer = peers.get(from);
        highestEpochSeen = Math.max(highestEpochSeen, answer.promisedEpoch());
        if (!isLeader() || peer == null) {
            return;
        }
        if (answer.promisedEpoch() > state.promisedEpoch && answer.elected()) {
            actions.log("leads no longer: epoch " + answer.promisedEpoch() + " of " + answer.leader());
            followLeader(answer.promisedEpoch(), answer.leader());
            return;
        }
        peer.callInFlight = false;
        if (answer.promisedEpoch() > state.promisedEpoch) {
            handleHigherPromise(peer, answer);
            return;
        }
        peer.higherPromiseSince = Double.POSITIVE_INFINITY;
        peer.reachable = true;
        peer.heldVersions = answer.heldVersions();
        // A coordinator that cannot write, as on a full disk, is not called again at once.
        boolean more = newestMissing(peer) != null || answer.committed().compareTo(state.committed) < 0;
        peer.nextSendAt = now + (!more ? HEARTBEAT_MS : answer.accepted() ? 0 : FAST_RETRY_MS);
        commitIfMajority();
        sendDue();
    }

    /**
     * Another coordinator has promised a higher epoch to one that a majority has not. That ends no leader,
     * but it can't follow this one any more; so this one takes over anew, once that other try is surely over.
     */
    private void handleHigherPromise(Peer peer, Replication.Answer answer) {
        peer.nextSendAt = now + HEARTBEAT_MS;
        if (Double.isInfinite(peer.higherPromiseSince)) {
            peer.higherPromiseSince = now;
        } else if (now - peer.higherPromiseSince >= HIGHER_PROMISE_TIMEOUT_MS && candidacy == null) {
            peer.higherPromiseSince = Double.POSITIVE_INFINITY;
            actions.log("takes over anew, as epoch " + answer.promisedEpoch() + " was promised to "
                    + answer.leader() + ", which does not lead");
            startCandidacy(TAKE_OVER_ATTEMPTS, (result, id,
                    why) -> actions.log("has taken over anew: " + result + ", "
                    + why));
        }
    }

    /** Handles a failed append call. */
    void handleAppendFailure(double time, String peer) {
        now = time;
        Peer peerState = peers.get(peer);
        if (peerState != null && peerState.callInFlight) {
            peerState.callInFlight = false;
            peerState.reachable = false;
            peerState.nextSendAt = now + FAST_RETRY_MS * (1 + random.nextDouble());
        }
    }

    private void commitIfMajority() {
        Version newest = state.newest();
        if (!isLeader() || newest == null || newest.id().epoch() != state.promisedEpoch
                || !newest.id().isAfter(state.committed)) {
            return;
        }
        long holders = 1 + peers.values().stream().filter(peer -> peer.heldVersions.contains(newest.id()))
                .count();
        if (holders < majority) {
            return;
        }
        Set<VersionId> kept = versionsToKeep();
        try {
            storage.retain(kept, newest.id());
        } catch (IOException e) {
            // A majority has it all the same, which is found out again at the next answer. Told now, it could
            // be forgotten by a restart, and this coordinator would go back.
            if (!newest.id().equals(lastUnrecordedCommit)) {
                lastUnrecordedCommit = newest.id();
                actions.log("cannot note that " + newest.id() + " is committed: " + e.getMessage());
            }
            return;
        }
        state.retain(kept, newest.id());
        actions.committed(newest);
        List<Change> done = new ArrayList<>(pendingChanges);
        pendingChanges.clear();
        done.forEach(change -> change.reply().done(Result.DONE, newest.id(), newest.manifest().note()));
        peers.values().forEach(peer -> {
            if (!peer.callInFlight) {
                peer.nextSendAt = now;
            }
        });
        startNextChange();
        sendDue();
    }

    private Set<VersionId> versionsToKeep() {
        Set<VersionId> kept = new TreeSet<>();
        long bytes = 0;
        List<Version> latestFirst = new ArrayList<>(state.versions.values());
        java.util.Collections.reverse(latestFirst);
        for (Version version : latestFirst) {
            bytes += version.size();
            if (kept.size() < 2 || kept.size() < MAX_VERSIONS && bytes <= MAX_BYTES) {
                kept.add(version.id());
            }
        }
        return kept;
    }

    /** Runs what is due. */
    void tick(double time) {
        now = time;
        if (candidacy != null && now >= candidacy.deadline) {
            Candidacy lostCandidacy = candidacy;
            candidacy = null;
            lostCandidacy.reply.done(Result.UNKNOWN, VersionId.NONE,
                    "only " + lostCandidacy.promisedBy.size() + " of "
                    + (peers.size() + 1) + " coordinators have promised epoch " + lostCandidacy.epoch
                    + "; a majority is wanted");
        }
        expire(pendingChanges);
        expire(queuedChanges);
        sendDue();
    }

    private void expire(Iterable<Change> changes) {
        for (var iterator = changes.iterator(); iterator.hasNext();) {
            Change change = iterator.next();
            if (now >= change.deadline()) {
                iterator.remove();
                change.reply().done(Result.UNKNOWN, VersionId.NONE, "not on the disks of a majority yet ("
                        + (reachablePeers().size() + 1) + " of " + (peers.size() + 1)
                        + " coordinators are there); it may still get there, and can be repeated");
            }
        }
    }

    // ---- The others --------------------------------------------------------------------------------

    /** Handles another coordinator's prepare request. */
    Replication.Answer handlePrepare(double time, Replication.Prepare request) {
        now = time;
        highestEpochSeen = Math.max(highestEpochSeen, request.epoch());
        if (request.epoch() <= state.promisedEpoch) {
            return answer(false, List.of());
        }
        if (isLeader()) {
            actions.log("leads no longer: " + request.leader() + " takes over with epoch "
                    + request.epoch());
        }
        if (!followLeader(request.epoch(), request.leader())) {
            return answer(false, List.of());
        }
        List<Version> lacking = new ArrayList<>();
        long bytes = 0;
        List<Version> latestFirst = new ArrayList<>(state.versions.values());
        java.util.Collections.reverse(latestFirst);
        for (Version version : latestFirst) {
            bytes += version.size();
            if (version.id().isAfter(request.newest()) && (lacking.isEmpty() || bytes <= MAX_ANSWER_BYTES)) {
                lacking.add(version);
            }
        }
        return answer(true, lacking);
    }

    /** Handles the leader's append request. */
    Replication.Answer handleAppend(double time, Replication.Append request) {
        now = time;
        highestEpochSeen = Math.max(highestEpochSeen, request.epoch());
        electedEpoch = Math.max(electedEpoch, request.epoch());
        boolean otherLeader = !request.leader().equals(state.leader);
        if (request.epoch() < state.promisedEpoch || request.epoch() == state.promisedEpoch && otherLeader
                && isLeader()) {
            return answer(false, List.of());
        }
        if ((request.epoch() > state.promisedEpoch || otherLeader)
                && !followLeader(request.epoch(), request.leader())) {
            return answer(false, List.of());
        }
        try {
            if (request.version() != null && !state.versions.containsKey(request.version().id())) {
                storeVersion(request.version());
            }
            Set<VersionId> ids = new TreeSet<>(request.ids());
            ids.retainAll(state.versions.keySet());
            VersionId committed = request.committed().isAfter(state.committed)
                    && state.versions.containsKey(request.committed()) ? request.committed()
                    : state.committed;
            if (state.current() != null && committed.equals(state.committed)) {
                ids.add(committed);
            }
            if (!committed.equals(state.committed) || !ids.equals(state.versions.keySet())) {
                boolean isNews = committed.isAfter(state.committed);
                storage.retain(ids, committed);
                state.retain(ids, committed);
                if (isNews) {
                    actions.committed(state.current());
                }
            }
            return answer(true, List.of());
        } catch (IOException e) {
            actions.log("cannot keep what " + request.leader() + " says: " + e.getMessage());
            return answer(false, List.of());
        }
    }

    private Replication.Answer answer(boolean accepted, List<Version> versions) {
        return new Replication.Answer(accepted, state.promisedEpoch, state.leader,
                isLeader() || electedEpoch == state.promisedEpoch, state.committed,
                new TreeSet<>(state.versions.keySet()), versions);
    }

    /** Follows a leader of a higher epoch; returns false if the promise could not be stored. */
    private boolean followLeader(long epoch, String leader) {
        stepDown(epoch, leader);
        try {
            storage.promise(epoch, leader, false);
        } catch (IOException e) {
            actions.log("cannot keep the promise of epoch " + epoch + ": " + e.getMessage());
            return false;
        }
        state.promise(epoch, leader, false);
        return true;
    }

    /** Stops leading and notifies those who wait. */
    private void stepDown(long epoch, String leader) {
        state.elected = false;
        List<Change> abandoned = new ArrayList<>(pendingChanges);
        abandoned.addAll(queuedChanges);
        pendingChanges.clear();
        queuedChanges.clear();
        abandoned.forEach(change -> change.reply().done(Result.NOT_LEADER, VersionId.NONE, "epoch " + epoch
                + " of " + leader + " has taken over; it may or may not have got there, and can be"
                + " repeated there"));
        if (candidacy != null) {
            Candidacy lostCandidacy = candidacy;
            candidacy = null;
            lostCandidacy.reply.done(Result.REFUSED, VersionId.NONE, "epoch " + epoch + " of " + leader
                    + " has taken over meanwhile");
        }
    }
}
