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
    private static final int MOST_PEERS = 512;
    private static final int LONGEST_REASON = 300;
    /** Whom to ask first for a section: members of the service, near ones before, then coordinators. */
    private static final int COORDINATOR = 2;
    private static final int PERHAPS = 4;
    private static final int NOBODY = 5;

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
     * @param patienceMs an answer is awaited for so long
     * @param backoffMs the longest wait after the first round of failures; it doubles with each
     * @param mostBackoffMs and never gets longer
     * @param burst so many calls can be made at once
     * @param callsPerS and so many over time
     */
    public record Settings(String service, String zone, double pollMs, double jitterMs, double spreadMs,
            double patienceMs, double backoffMs, double mostBackoffMs, double burst, double callsPerS) {

        /** Usual settings. */
        public static Settings defaults(String service, String zone) {
            return new Settings(service, zone, 10_000, 100, 1_000, 2_000, 200, 3_000, 20, 2);
        }
    }

    /** What it asks of its host. */
    interface Actions {

        /** Asks for the manifest of the newest version, if that is after one; answered by its number. */
        void askManifest(long call, InetSocketAddress of, VersionId after);

        /** Asks for a section. */
        void askSection(long call, InetSocketAddress of, String checksum);

        /** Tries a section whole, null for none, and goes by it if that can be; see {@link #tried}. */
        void tryOut(VersionId id, byte[] section);

        /** Keeps this on disk, if there is a folder. */
        void keep(FollowerState state);

        /** Tells the others that this member has a version. */
        void advertise(VersionId id);

        /** The coordinators that are present, as far as known. */
        Collection<InetSocketAddress> coordinators();

        void log(String line);
    }

    private enum Phase { IDLE, CALLING, TRYING }

    private record Peer(String service, String zone, VersionId id) {

        boolean hasAll() {
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
            return size() > MOST_PEERS;
        }
    };
    private FollowerState state = FollowerState.NOTHING;
    /** A version that is newer than the one held, while its section is still to come; else null. */
    private Manifest wanted;
    private final Set<InetSocketAddress> triedInVain = new HashSet<>();
    private Phase phase = Phase.IDLE;
    /** What was in force when it last ran; null once it is settled whether it is again. */
    private FollowerState lastGood;
    /** Whether what is tried is what was in force when this member last ran. */
    private boolean fallback;
    private boolean started;
    private long call;
    private InetSocketAddress asked;
    private double deadline = Double.POSITIVE_INFINITY;
    private double nextAt = Double.POSITIVE_INFINITY;
    private double pollAt;
    private boolean hasSpread;
    /** Whether the last source that was found for a section is a coordinator. */
    private boolean fromCoordinator;
    private int rounds;
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
        pollAt = now + settings.pollMs() * random.nextDouble();
        // Until it is tried, this process goes by its own file.
        state = new FollowerState(kept.held(), kept.section(), VersionId.NONE, null, kept.refusal());
        lastGood = kept.held() == null ? null : kept;
        actions.advertise(held());
        if (kept.held() != null) {
            phase = Phase.TRYING;
            actions.tryOut(held(), kept.section());
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
        return new Stats(held(), state.inForce(), call, failures, damaged,
                state.refusal() != null);
    }

    /** When {@link #tick} is next wanted. */
    double wakeAt() {
        return switch (phase) {
            case IDLE -> Math.min(nextAt, pollAt);
            case CALLING -> deadline;
            case TRYING -> Double.POSITIVE_INFINITY;
        };
    }

    // ---- Events ------------------------------------------------------------------------------------

    /** Another member has told which version it has. */
    void noticed(double time, InetSocketAddress of, VersionNotice notice) {
        now = time;
        peers.put(of, new Peer(notice.service(), notice.zone(), new VersionId(notice.epoch(),
                notice.number())));
        if (started && phase == Phase.IDLE && peers.get(of).id().isAfter(newestKnown())
                && Double.isInfinite(nextAt)) {
            nextAt = now + settings.jitterMs() * random.nextDouble();
        }
    }

    private VersionId newestKnown() {
        return wanted == null ? held() : wanted.id();
    }

    /** Does what is due. */
    void tick(double time) {
        now = time;
        if (phase == Phase.CALLING && now >= deadline) {
            failed(time, call);
        }
        if (phase == Phase.IDLE && now >= nextAt) {
            nextAt = Double.POSITIVE_INFINITY;
            advance();
        }
        if (phase == Phase.IDLE && now >= pollAt) {
            poll();
        }
    }

    /** An answer to {@link Actions#askManifest}; null if there is nothing newer. */
    void manifest(double time, long number, Manifest manifest) {
        now = time;
        if (!ends(number)) {
            return;
        }
        if (manifest == null || !manifest.id().isAfter(newestKnown())) {
            peers.computeIfPresent(asked, (key, peer) -> new Peer(peer.service(), peer.zone(),
                    VersionId.NONE));
            soon(0);
            return;
        }
        wanted = manifest;
        triedInVain.clear();
        rounds = 0;
        hasSpread = false;
        Manifest.Section section = manifest.services().get(settings.service());
        byte[] known = section == null ? null : section(section.checksum());
        if (section == null || known != null) {
            adopt(known);
        } else {
            advance();
        }
    }

    /** An answer to {@link Actions#askSection}. */
    void section(double time, long number, byte[] bytes) {
        now = time;
        if (number != call || phase != Phase.CALLING || wanted == null) {
            return;
        }
        Manifest.Section section = wanted.services().get(settings.service());
        if (section == null || !Checksum.of(bytes).equals(section.checksum())) {
            damaged++;
            failed(time, number);
        } else if (ends(number)) {
            adopt(bytes);
        }
    }

    /** A call came to nothing. */
    void failed(double time, long number) {
        now = time;
        if (ends(number)) {
            failures++;
            triedInVain.add(asked);
            soon(0);
        }
    }

    /**
     * How a trial came out.
     *
     * @param refusal null if the section is in force now
     */
    void tried(double time, VersionId id, FollowerState.Refusal refusal) {
        now = time;
        if (phase != Phase.TRYING) {
            return;
        }
        phase = Phase.IDLE;
        if (fallback) {
            fallback = false;
            lastGood = null;
            if (refusal != null) {
                actions.log("refuses what was in force before as well, and goes by its own file: " + id
                        + ": " + refusal.reason());
                state = new FollowerState(state.held(), state.section(), VersionId.NONE, null,
                        state.refusal());
            }
        } else if (refusal == null) {
            state = new FollowerState(state.held(), state.section(), id, state.section(), null);
            lastGood = null;
            actions.log("goes by version " + id + (state.section() == null ? ", which has no section for "
                    + settings.service() : ""));
        } else {
            String reason = refusal.reason().length() <= LONGEST_REASON ? refusal.reason()
                    : refusal.reason().substring(0, LONGEST_REASON);
            state = new FollowerState(state.held(), state.section(), state.inForce(), state.inForceSection(),
                    new FollowerState.Refusal(refusal.key(), reason));
            actions.log("refuses version " + id + ", and goes on by "
                    + (lastGood == null ? state.inForce() : lastGood.inForce()) + ": " + reason);
            FollowerState before = lastGood;
            if (before != null && !before.inForce().equals(VersionId.NONE)
                    && !Arrays.equals(before.inForceSection(), state.section())) {
                fallback = true;
                phase = Phase.TRYING;
                state = new FollowerState(state.held(), state.section(), before.inForce(),
                        before.inForceSection(), state.refusal());
                actions.tryOut(before.inForce(), before.inForceSection());
                return;
            }
            lastGood = null;
        }
        actions.keep(state);
        soon(0);
    }

    // ---- What is done ------------------------------------------------------------------------------

    /** Whether a call that is under way has come to its end. */
    private boolean ends(long number) {
        if (number != call || phase != Phase.CALLING) {
            return false;
        }
        phase = Phase.IDLE;
        deadline = Double.POSITIVE_INFINITY;
        return true;
    }

    /** Sees to it that it goes on, if there is anything to go on with. */
    private void soon(double waitMs) {
        if (wanted != null || isBehind()) {
            nextAt = now + waitMs + settings.jitterMs() * random.nextDouble();
        }
    }

    private void poll() {
        pollAt = now + settings.pollMs() * (0.75 + 0.5 * random.nextDouble());
        List<InetSocketAddress> coordinators = List.copyOf(actions.coordinators());
        if (!coordinators.isEmpty() && wanted == null && budget.take(now)) {
            ask(coordinators.get(random.nextInt(coordinators.size())));
            actions.askManifest(call, asked, held());
        }
    }

    private void ask(InetSocketAddress of) {
        phase = Phase.CALLING;
        call++;
        asked = of;
        deadline = now + settings.patienceMs();
    }

    /** Takes the next step towards the newest version. */
    private void advance() {
        InetSocketAddress ahead = whoIsAhead();
        InetSocketAddress source = ahead != null || wanted == null ? ahead : whoHasTheSection();
        if (source == null && wanted == null && !isBehind()) {
            triedInVain.clear();
            return;
        }
        if (source == null) {
            // All were tried: once more, later.
            triedInVain.clear();
            rounds++;
            double longest = Math.min(settings.mostBackoffMs(),
                    settings.backoffMs() * Math.pow(2, Math.min(rounds, 16)));
            nextAt = now + longest * (0.5 + 0.5 * random.nextDouble());
            return;
        }
        if (ahead == null && !hasSpread && fromCoordinator) {
            hasSpread = true;
            nextAt = now + settings.spreadMs() * random.nextDouble();
            return;
        }
        if (!budget.take(now)) {
            nextAt = budget.nextAt(now) + settings.jitterMs() * random.nextDouble();
            return;
        }
        ask(source);
        if (ahead != null) {
            actions.askManifest(call, source, newestKnown());
        } else {
            actions.askSection(call, source, wanted.services().get(settings.service()).checksum());
        }
    }

    private boolean isBehind() {
        return peers.values().stream().anyMatch(peer -> peer.id().isAfter(newestKnown()));
    }

    /** Who has said to have a version that is newer than the newest that is known; null if nobody has. */
    private InetSocketAddress whoIsAhead() {
        VersionId best = newestKnown();
        InetSocketAddress found = null;
        for (Map.Entry<InetSocketAddress, Peer> one : peers.entrySet()) {
            if (one.getValue().id().isAfter(best) && !triedInVain.contains(one.getKey())) {
                best = one.getValue().id();
                found = one.getKey();
            }
        }
        return found;
    }

    private InetSocketAddress whoHasTheSection() {
        int best = NOBODY;
        List<InetSocketAddress> found = new ArrayList<>();
        Collection<InetSocketAddress> coordinators = actions.coordinators();
        Map<InetSocketAddress, Peer> all = new LinkedHashMap<>(peers);
        coordinators.forEach(one -> all.putIfAbsent(one, new Peer("", "", VersionId.NONE)));
        for (Map.Entry<InetSocketAddress, Peer> each : all.entrySet()) {
            InetSocketAddress one = each.getKey();
            int rank = triedInVain.contains(one) ? NOBODY : rank(each.getValue());
            if (rank < best) {
                best = rank;
                found.clear();
            }
            if (rank == best && rank < NOBODY) {
                found.add(one);
            }
        }
        fromCoordinator = best == COORDINATOR || best == COORDINATOR + 1;
        return found.isEmpty() ? null : found.get(random.nextInt(found.size()));
    }

    private int rank(Peer peer) {
        boolean near = peer.zone().equals(settings.zone());
        if (peer.hasAll()) {
            return near ? COORDINATOR : COORDINATOR + 1;
        }
        if (!peer.service().equals(settings.service())) {
            return NOBODY;
        }
        return wanted.id().isAfter(peer.id()) ? PERHAPS : near ? 0 : 1;
    }

    private void adopt(byte[] bytes) {
        boolean wasRefused = state.refusal() != null && Arrays.equals(bytes, state.section());
        VersionId id = wanted.id();
        Manifest manifest = wanted;
        wanted = null;
        rounds = 0;
        triedInVain.clear();
        if (Arrays.equals(bytes, state.inForceSection())) {
            state = new FollowerState(manifest, state.inForceSection(), id, state.inForceSection(), null);
            actions.keep(state);
            soon(0);
        } else if (wasRefused) {
            state = new FollowerState(manifest, bytes, state.inForce(), state.inForceSection(),
                    state.refusal());
            actions.keep(state);
            soon(0);
        } else {
            state = new FollowerState(manifest, bytes, state.inForce(), state.inForceSection(), null);
            phase = Phase.TRYING;
            // Before it is in force, so that no crash leads behind it.
            actions.keep(state);
            actions.tryOut(id, bytes);
        }
        actions.advertise(id);
    }
}
