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
 * A member's side of the fleet's configuration. It hears of the newest version in membership's datagrams,
 * asks whoever told of it for the manifest, and a member or a coordinator, first of its own zone, for its
 * service's section; tries that whole; and tells the others that it has it. It never goes behind the version
 * that it has. What a balancer refuses is not in force there: it goes on by the last that it took.
 *
 * <p>Has no clock, socket, thread or file: events come in with a time in milliseconds, and {@link Actions} go
 * out. One call at a time is under way. Belongs to one thread.
 */
public final class ConfigFollower {

    /** What is known of so many others at most; of those that were not heard for longest, nothing. */
    private static final int MAX_PEERS = 512;
    private static final int MAX_REASON_LENGTH = 300;
    /** Whom to ask first for a section: members of the service, near ones before, then coordinators. */
    private static final int RANK_COORDINATOR = 2;
    private static final int RANK_OLDER_VERSION = 4;
    private static final int RANK_NONE = 5;

    /**
     * How a member goes about it.
     *
     * @param service whose section it goes by
     * @param zone where it runs; empty if that is not known
     * @param pollMs it asks a coordinator so often whether it missed anything, which bounds how long a
     *     version takes to come where no datagram tells of it
     * @param jitterMs it waits up to so long before it asks for a version
     * @param spreadMs it waits up to so long before it asks a coordinator for a section, which a member of
     *     its service may have by then
     * @param callTimeoutMs an answer is awaited for so long
     * @param backoffMs the longest wait after the first round of failures; it doubles with each
     * @param maxBackoffMs and never gets longer
     * @param burst so many calls can be made at once
     * @param callsPerS and so many over time
     */
    public record Settings(String service, String zone, double pollMs, double jitterMs, double spreadMs,
            double callTimeoutMs, double backoffMs, double maxBackoffMs, double burst, double callsPerS) {

        /** Usual settings. */
        public static Settings defaults(String service, String zone) {
            return new Settings(service, zone, 10_000, 100, 1_000, 2_000, 200, 3_000, 20, 2);
        }
    }

    /** What it asks of its host. */
    interface Actions {

        /** Asks for the manifest of the newest version, if that is after one; answered by its number. */
        void requestManifest(long call, InetSocketAddress address, VersionId after);

        /** Asks for a section. */
        void requestSection(long call, InetSocketAddress address, String checksum);

        /** Tries a section whole, null for none, and goes by it if that can be; see {@link #applied}. */
        void apply(VersionId id, byte[] section);

        /** Keeps this on disk, if there is a folder. */
        void persist(FollowerState state);

        /** Tells the others that this member has a version. */
        void advertise(VersionId id);

        /** The coordinators that are present, as far as known. */
        Collection<InetSocketAddress> coordinators();

        void log(String line);
    }

    private enum Phase { IDLE, CALLING, APPLYING }

    private record Peer(String service, String zone, VersionId id) {

        boolean isCoordinator() {
            return service.isEmpty();
        }
    }

    /** What it has come to, for its figures. */
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
    /** A version that is newer than the one held, while its section is still to come; else null. */
    private Manifest pendingManifest;
    private final Set<InetSocketAddress> failedSources = new HashSet<>();
    private Phase phase = Phase.IDLE;
    /** What was in force when it last ran; null once it is settled whether it is again. */
    private FollowerState previousState;
    /** Whether what is tried is what was in force when this member last ran. */
    private boolean applyingPrevious;
    private boolean started;
    private long lastCall;
    private InetSocketAddress calledPeer;
    private double deadline = Double.POSITIVE_INFINITY;
    private double nextStepAt = Double.POSITIVE_INFINITY;
    private double nextPollAt;
    private boolean spreadDone;
    /** Whether the last source that was found for a section is a coordinator. */
    private boolean sourceIsCoordinator;
    private int failedRounds;
    private double now;
    private long failures;
    private long damaged;

    /**
     * A member that has not begun.
     *
     * @param seed of whatever is drawn
     */
    ConfigFollower(Settings settings, long seed, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        random = new SplittableRandom(seed);
        budget = new TokenBucket(settings.burst(), settings.callsPerS());
    }

    /** Begins with what it kept when it last ran, which it tries again. */
    void start(double time, FollowerState kept) {
        now = time;
        started = true;
        nextPollAt = now + settings.pollMs() * random.nextDouble();
        // Until it is tried, this process goes by its own file.
        state = new FollowerState(kept.held(), kept.section(), VersionId.NONE, null, kept.refusal());
        previousState = kept.held() == null ? null : kept;
        actions.advertise(held());
        if (kept.held() != null) {
            phase = Phase.APPLYING;
            actions.apply(held(), kept.section());
        }
    }

    // ---- What is known -----------------------------------------------------------------------------

    /** The newest version that it has; {@link VersionId#NONE} if it has none. */
    VersionId held() {
        return state.held() == null ? VersionId.NONE : state.held().id();
    }

    FollowerState state() {
        return state;
    }

    /** The section of a checksum, if it has that. */
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

    /** When {@link #tick} is next wanted. */
    double wakeAt() {
        return switch (phase) {
            case IDLE -> Math.min(nextStepAt, nextPollAt);
            case CALLING -> deadline;
            case APPLYING -> Double.POSITIVE_INFINITY;
        };
    }

    // ---- Events ------------------------------------------------------------------------------------

    /** Another member has told which version it has. */
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

    /** Does what is due. */
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

    /** A call came to nothing. */
    void callFailed(double time, long number) {
        now = time;
        if (endCall(number)) {
            failures++;
            failedSources.add(calledPeer);
            scheduleNextStep(0);
        }
    }

    /**
     * How a trial came out.
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

    /** Whether a call that is under way has come to its end. */
    private boolean endCall(long number) {
        if (number != lastCall || phase != Phase.CALLING) {
            return false;
        }
        phase = Phase.IDLE;
        deadline = Double.POSITIVE_INFINITY;
        return true;
    }

    /** Sees to it that it goes on, if there is anything to go on with. */
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
            // All were tried: once more, later.
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

    /** Who has said to have a version that is newer than the newest that is known; null if nobody has. */
    private InetSocketAddress findNewerPeer() {
        VersionId best = newestKnown();
        InetSocketAddress found = null;
        for (Map.Entry<InetSocketAddress, Peer> one : peers.entrySet()) {
            if (one.getValue().id().isAfter(best) && !failedSources.contains(one.getKey())) {
                best = one.getValue().id();
                found = one.getKey();
            }
        }
        return found;
    }

    private InetSocketAddress findSectionSource() {
        int best = RANK_NONE;
        List<InetSocketAddress> found = new ArrayList<>();
        Collection<InetSocketAddress> coordinators = actions.coordinators();
        Map<InetSocketAddress, Peer> candidates = new LinkedHashMap<>(peers);
        coordinators.forEach(one -> candidates.putIfAbsent(one, new Peer("", "", VersionId.NONE)));
        for (Map.Entry<InetSocketAddress, Peer> entry : candidates.entrySet()) {
            InetSocketAddress one = entry.getKey();
            int rank = failedSources.contains(one) ? RANK_NONE : rank(entry.getValue());
            if (rank < best) {
                best = rank;
                found.clear();
            }
            if (rank == best && rank < RANK_NONE) {
                found.add(one);
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
            // Before it is in force, so that no crash leads behind it.
            actions.persist(state);
            actions.apply(id, bytes);
        }
        actions.advertise(id);
    }
}
