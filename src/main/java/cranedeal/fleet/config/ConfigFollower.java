package cranedeal.fleet.config;

import cranedeal.fleet.membership.VersionNotice;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * A member's side of the fleet's configuration. It learns of the newest version from membership datagrams,
 * requests the manifest from the peer that announced it and its service's section from a member or a
 * coordinator, preferring its own zone; applies the section as a whole; and announces the version. It never
 * goes back behind the version it holds. A refused section is not in force: the last accepted one stays.
 *
 * <p>Has no clock, socket, thread or file: events come in with a time in milliseconds, and {@link Actions} go
 * out. At most one call is in flight. Belongs to one thread.
 */
public final class ConfigFollower {

    /** Limit of remembered peers; those not heard for longest are dropped. */
    private static final int MAX_PEERS = 512;
    private static final int MAX_REASON_LENGTH = 300;
    /** Ranks of section sources: members of the service (same zone first), then coordinators. */
    private static final int RANK_COORDINATOR = 2;
    private static final int RANK_OLDER_VERSION = 4;
    private static final int RANK_NONE = 5;

    /**
     * Tuning of a follower.
     *
     * @param service the service whose section it applies
     * @param zone its zone; empty if unknown
     * @param pollMs the interval of polling a coordinator, which bounds the delay of a version that no
     *     datagram announces
     * @param jitterMs the maximum random delay before it requests a version
     * @param spreadMs the maximum random delay before it requests a section from a coordinator, so that a
     *     member of its service may have it by then
     * @param callTimeoutMs the timeout of a call
     * @param backoffMs the base of the backoff, which doubles with each round of failures
     * @param maxBackoffMs the maximum backoff
     * @param burst the burst of calls
     * @param callsPerS the sustained rate of calls
     */
    public record Settings(String service, String zone, double pollMs, double jitterMs, double spreadMs,
            double callTimeoutMs, double backoffMs, double maxBackoffMs, double burst, double callsPerS) {

        /** The default settings. */
        public static Settings defaults(String service, String zone) {
            return new Settings(service, zone, 10_000, 100, 1_000, 2_000, 200, 3_000, 20, 2);
        }
    }

    /** Operations carried out by the host. */
    interface Actions {

        /** Requests the newest manifest if later than {@code after}; {@code call} matches the answer. */
        void requestManifest(long call, InetSocketAddress address, VersionId after);

        /** Requests a section. */
        void requestSection(long call, InetSocketAddress address, String checksum);

        /** Applies a section as a whole (null for none), or refuses it; see {@link #applied}. */
        void apply(VersionId id, byte[] section);

        /** Stores the state on disk, if there is a folder. */
        void persist(FollowerState state);

        /** Announces that this member has a version. */
        void advertise(VersionId id);

        /** The coordinators known to be present. */
        Collection<InetSocketAddress> coordinators();

        void log(String line);
    }

    private enum Phase { IDLE, CALLING, APPLYING }

    private record Peer(String service, String zone, VersionId id) {

        boolean isCoordinator() {
            return service.isEmpty();
        }
    }

    /** Statistics of a follower. */
    public record Stats(VersionId held, VersionId inForce, long calls, long failures, long damaged,
            boolean refused) { }

    private final Settings settings;
    private final Actions actions;
    private final SplittableRandom random;
    private final TokenBucket budget;
    private final Map<InetSocketAddress, Peer> peers = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<InetSocketAddress, Peer> eldest) {
            return size() > MAX_PEERS;
        }
    };
    private FollowerState state = FollowerState.EMPTY;
    /** The manifest of a newer version whose section is still missing; else null. */
    private Manifest pendingManifest;
    private final Set<InetSocketAddress> failedSources = new HashSet<>();
    private Phase phase = Phase.IDLE;
    /** The state of the previous run; null once it has been applied or refused. */
    private FollowerState previousState;
    /** True while the section in force in the previous run is being applied. */
    private boolean applyingPrevious;
    private boolean started;
    private long lastCall;
    private InetSocketAddress calledPeer;
    private double deadline = Double.POSITIVE_INFINITY;
    private double nextStepAt = Double.POSITIVE_INFINITY;
    private double nextPollAt;
    private boolean spreadDone;
    /** True if the last section source found is a coordinator. */
    private boolean sourceIsCoordinator;
    private int failedRounds;
    private double now;
    private long failures;
    private long damaged;

    /**
     * Creates a follower that has not started.
     *
     * @param seed the random seed
     */
    ConfigFollower(Settings settings, long seed, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        random = new SplittableRandom(seed);
        budget = new TokenBucket(settings.burst(), settings.callsPerS());
    }

    /** Starts with the state of the previous run, which it applies again. */
    void start(double time, FollowerState kept) {
        now = time;
        started = true;
        nextPollAt = now + settings.pollMs() * random.nextDouble();
        // Until the section is applied, only this process's own file is in force.
        state = new FollowerState(kept.held(), kept.section(), VersionId.NONE, null, kept.refusal());
        previousState = kept.held() == null ? null : kept;
        actions.advertise(held());
        if (kept.held() != null) {
            phase = Phase.APPLYING;
            actions.apply(held(), kept.section());
        }
    }

    // ---- What is known -----------------------------------------------------------------------------

    /** The newest version held; {@link VersionId#NONE} if there is none. */
    VersionId held() {
        return state.held() == null ? VersionId.NONE : state.held().id();
    }

    FollowerState state() {
        return state;
    }

    /** The section with a checksum; null if it is not held. */
    byte[] section(String checksum) {
        for (byte[] bytes : new byte[][] {state.section(), state.inForceSection()}) {
            if (bytes != null && Checksum.of(bytes).equals(checksum)) {
                return bytes;
            }
        }
        return null;
    }

    Stats stats() {
        return new Stats(held(), state.inForce(), lastCall, failures, damaged,
                state.refusal() != null);
    }

    /** When {@link #tick} has to be called next. */
    double wakeAt() {
        return switch (phase) {
            case IDLE -> Math.min(nextStepAt, nextPollAt);
            case CALLING -> deadline;
            case APPLYING -> Double.POSITIVE_INFINITY;
        };
    }

    // ---- Events ------------------------------------------------------------------------------------

    /** Handles another member's version notice. */
    void noticeReceived(double time, InetSocketAddress address, VersionNotice notice) {
        now = time;
        peers.put(address, new Peer(notice.service(), notice.zone(), new VersionId(notice.epoch(),
                notice.number())));
        if (started && phase == Phase.IDLE && peers.get(address).id().isAfter(newestKnown())
                && Double.isInfinite(nextStepAt)) {
            nextStepAt = now + settings.jitterMs() * random.nextDouble();
        }
    }

    private VersionId newestKnown() {
        return pendingManifest == null ? held() : pendingManifest.id();
    }

    /** Runs what is due. */
    void tick(double time) {
        now = time;
        if (phase == Phase.CALLING && now >= deadline) {
            callFailed(time, lastCall);
        }
        if (phase == Phase.IDLE && now >= nextStepAt) {
            nextStepAt = Double.POSITIVE_INFINITY;
            advance();
        }
        if (phase == Phase.IDLE && now >= nextPollAt) {
            poll();
        }
    }

    /** An answer to {@link Actions#requestManifest}; null if there is nothing newer. */
    void manifest(double time, long number, Manifest manifest) {
        now = time;
        if (!endCall(number)) {
            return;
        }
        if (manifest == null || !manifest.id().isAfter(newestKnown())) {
            peers.computeIfPresent(calledPeer, (key, peer) -> new Peer(peer.service(), peer.zone(),
                    VersionId.NONE));
            scheduleNextStep(0);
            return;
        }
        pendingManifest = manifest;
        failedSources.clear();
        failedRounds = 0;
        spreadDone = false;
        Manifest.Section section = manifest.services().get(settings.service());
        byte[] known = section == null ? null : section(section.checksum());
        if (section == null || known != null) {
            adopt(known);
        } else {
            advance();
        }
    }

    /** An answer to {@link Actions#requestSection}. */
    void section(double time, long number, byte[] bytes) {
        now = time;
        if (number != lastCall || phase != Phase.CALLING || pendingManifest == null) {
            return;
        }
        Manifest.Section section = pendingManifest.services().get(settings.service());
        if (section == null || !Checksum.of(bytes).equals(section.checksum())) {
            damaged++;
            callFailed(time, number);
        } else if (endCall(number)) {
            adopt(bytes);
        }
    }

    /** Handles a failed call. */
    void callFailed(double time, long number) {
        now = time;
        if (endCall(number)) {
            failures++;
            failedSources.add(calledPeer);
            scheduleNextStep(0);
        }
    }

    /**
     * Handles the result of {@link Actions#apply}.
     *
     * @param refusal null if the section is in force now
     */
    void applied(double time, VersionId id, FollowerState.Refusal refusal) {
        now = time;
        if (phase != Phase.APPLYING) {
            return;
        }
        phase = Phase.IDLE;
        if (applyingPrevious) {
            applyingPrevious = false;
            previousState = null;
            if (refusal != null) {
                actions.log("refuses what was in force before as well, and goes by its own file: " + id
                        + ": " + refusal.reason());
                state = new FollowerState(state.held(), state.section(), VersionId.NONE, null,
                        state.refusal());
            }
        } else if (refusal == null) {
            state = new FollowerState(state.held(), state.section(), id, state.section(), null);
            previousState = null;
            actions.log("goes by version " + id + (state.section() == null ? ", which has no section for "
                    + settings.service() : ""));
        } else {
            String reason = refusal.reason().length() <= MAX_REASON_LENGTH ? refusal.reason()
                    : refusal.reason().substring(0, MAX_REASON_LENGTH);
            state = new FollowerState(state.held(), state.section(), state.inForce(), state.inForceSection(),
                    new FollowerState.Refusal(refusal.key(), reason));
            actions.log("refuses version " + id + ", and goes on by "
                    + (previousState == null ? state.inForce() : previousState.inForce()) + ": " + reason);
            FollowerState before = previousState;
            if (before != null && !before.inForce().equals(VersionId.NONE)
                    && !Arrays.equals(before.inForceSection(), state.section())) {
                applyingPrevious = true;
                phase = Phase.APPLYING;
                state = new FollowerState(state.held(), state.section(), before.inForce(),
                        before.inForceSection(), state.refusal());
                actions.apply(before.inForce(), before.inForceSection());
                return;
            }
            previousState = null;
        }
        actions.persist(state);
        scheduleNextStep(0);
    }

    // ---- What is done ------------------------------------------------------------------------------

    /** Ends the call in flight; returns false if the number is not its own. */
    private boolean endCall(long number) {
        if (number != lastCall || phase != Phase.CALLING) {
            return false;
        }
        phase = Phase.IDLE;
        deadline = Double.POSITIVE_INFINITY;
        return true;
    }

    /** Schedules the next step if a newer version is known or pending. */
    private void scheduleNextStep(double waitMs) {
        if (pendingManifest != null || isBehind()) {
            nextStepAt = now + waitMs + settings.jitterMs() * random.nextDouble();
        }
    }

    private void poll() {
        nextPollAt = now + settings.pollMs() * (0.75 + 0.5 * random.nextDouble());
        List<InetSocketAddress> coordinators = List.copyOf(actions.coordinators());
        if (!coordinators.isEmpty() && pendingManifest == null && budget.take(now)) {
            startCall(coordinators.get(random.nextInt(coordinators.size())));
            actions.requestManifest(lastCall, calledPeer, held());
        }
    }

    private void startCall(InetSocketAddress address) {
        phase = Phase.CALLING;
        lastCall++;
        calledPeer = address;
        deadline = now + settings.callTimeoutMs();
    }

    /** Takes the next step towards the newest version. */
    private void advance() {
        InetSocketAddress newerPeer = findNewerPeer();
        InetSocketAddress source = newerPeer != null || pendingManifest == null ? newerPeer
                : findSectionSource();
        if (source == null && pendingManifest == null && !isBehind()) {
            failedSources.clear();
            return;
        }
        if (source == null) {
            // All sources failed: retry later.
            failedSources.clear();
            failedRounds++;
            double maxDelay = Math.min(settings.maxBackoffMs(),
                    settings.backoffMs() * Math.pow(2, Math.min(failedRounds, 16)));
            nextStepAt = now + maxDelay * (0.5 + 0.5 * random.nextDouble());
            return;
        }
        if (newerPeer == null && !spreadDone && sourceIsCoordinator) {
            spreadDone = true;
            nextStepAt = now + settings.spreadMs() * random.nextDouble();
            return;
        }
        if (!budget.take(now)) {
            nextStepAt = budget.nextAt(now) + settings.jitterMs() * random.nextDouble();
            return;
        }
        startCall(source);
        if (newerPeer != null) {
            actions.requestManifest(lastCall, source, newestKnown());
        } else {
            actions.requestSection(lastCall, source,
                    pendingManifest.services().get(settings.service()).checksum());
        }
    }

    private boolean isBehind() {
        return peers.values().stream().anyMatch(peer -> peer.id().isAfter(newestKnown()));
    }

    /** The peer with the newest version beyond the known ones; null if there is none. */
    private InetSocketAddress findNewerPeer() {
        VersionId best = newestKnown();
        InetSocketAddress found = null;
        for (Map.Entry<InetSocketAddress, Peer> entry : peers.entrySet()) {
            if (entry.getValue().id().isAfter(best) && !failedSources.contains(entry.getKey())) {
                best = entry.getValue().id();
                found = entry.getKey();
            }
        }
        return found;
    }

    private InetSocketAddress findSectionSource() {
        int best = RANK_NONE;
        List<InetSocketAddress> found = new ArrayList<>();
        Collection<InetSocketAddress> coordinators = actions.coordinators();
        Map<InetSocketAddress, Peer> candidates = new LinkedHashMap<>(peers);
        coordinators.forEach(address -> candidates.putIfAbsent(address, new Peer("", "", VersionId.NONE)));
        for (Map.Entry<InetSocketAddress, Peer> entry : candidates.entrySet()) {
            InetSocketAddress address = entry.getKey();
            int rank = failedSources.contains(address) ? RANK_NONE : rank(entry.getValue());
            if (rank < best) {
                best = rank;
                found.clear();
            }
            if (rank == best && rank < RANK_NONE) {
                found.add(address);
            }
        }
        sourceIsCoordinator = best == RANK_COORDINATOR || best == RANK_COORDINATOR + 1;
        return found.isEmpty() ? null : found.get(random.nextInt(found.size()));
    }

    private int rank(Peer peer) {
        boolean near = peer.zone().equals(settings.zone());
        if (peer.isCoordinator()) {
            return near ? RANK_COORDINATOR : RANK_COORDINATOR + 1;
        }
        if (!peer.service().equals(settings.service())) {
            return RANK_NONE;
        }
        return pendingManifest.id().isAfter(peer.id()) ? RANK_OLDER_VERSION : near ? 0 : 1;
    }

    private void adopt(byte[] bytes) {
        boolean wasRefused = state.refusal() != null && Arrays.equals(bytes, state.section());
        VersionId id = pendingManifest.id();
        Manifest manifest = pendingManifest;
        pendingManifest = null;
        failedRounds = 0;
        failedSources.clear();
        if (Arrays.equals(bytes, state.inForceSection())) {
            state = new FollowerState(manifest, state.inForceSection(), id, state.inForceSection(), null);
            actions.persist(state);
            scheduleNextStep(0);
        } else if (wasRefused) {
            state = new FollowerState(manifest, bytes, state.inForce(), state.inForceSection(),
                    state.refusal());
            actions.persist(state);
            scheduleNextStep(0);
        } else {
            state = new FollowerState(manifest, bytes, state.inForce(), state.inForceSection(), null);
            phase = Phase.APPLYING;
            // Stored before it is in force, so that a crash cannot fall back behind it.
            actions.persist(state);
            actions.apply(id, bytes);
        }
        actions.advertise(id);
    }
}
