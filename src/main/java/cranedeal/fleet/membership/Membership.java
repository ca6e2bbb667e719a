package cranedeal.fleet.membership;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * A member of a fleet: a failure detector, the gossip of its findings and the resulting view (Das,
 * Gupta and Motivala, SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol,
 * 2002), with the refinements of Lifeguard (2018) and full exchanges that make up for lost updates.
 *
 * <p>Has no clock, socket or thread: events come in with a time in milliseconds, which never goes back, and
 * {@link Actions} go out. Belongs to one thread.
 */
public final class Membership {

    /** Limits of concurrent probes, and of pings made as a helper. */
    private static final int MAX_PROBES = 16;
    private static final int MAX_RELAYS = 64;
    /** An update that raises an incarnation by more is taken as forged, unless the member itself sent it. */
    private static final long MAX_INCARNATION_JUMP = 1L << 32;
    /** With this many queued updates, full exchanges are quicker than gossip. */
    private static final int LONG_QUEUE = 32;
    /** A member in bad health waits longer for answers, but reduces its probe rate at most by this factor. */
    private static final int MAX_PROBE_SLOWDOWN = 3;
    /** How many faulty members an isolated member pings at a time. */
    private static final int FAULTY_PINGS_WHEN_ISOLATED = 3;
    private static final int SEEDS_PER_ROUND = 3;
    /** How many suspects are pinged for a refutation in a period. */
    private static final int MAX_REMINDERS_PER_PERIOD = 4;
    /** Times closer than this differ only by rounding. */
    private static final double TIME_TOLERANCE_MS = 1e-3;
    private static final double SWEEPS_PER_FORGET_TIME = 10;

    /** A pinged member that has not answered yet. */
    private static final class Probe {

        private final MemberEntry target;
        private int helpersAsked;
        private int nacks;

        Probe(MemberEntry target) {
            this.target = target;
        }
    }

    /** A ping made on behalf of another member. */
    private record Relay(InetSocketAddress origin, long originSequence, String target) { }

    private final Settings settings;
    private final String fleet;
    private final Actions actions;
    private final SplittableRandom random;
    private final View view;
    private final Timers timers = new Timers();
    private final GossipQueue gossipQueue = new GossipQueue();
    private final LocalHealth health;
    private final Map<Long, Probe> probes = new HashMap<>();
    private final Map<Long, Relay> relays = new HashMap<>();
    private final List<InetSocketAddress> seeds = new ArrayList<>();
    private Member self;
    /** The current time, less the time that this process was stopped. */
    private double now;
    private double stoppedMs;
    private double startedAt;
    private double lastChangeAt;
    /** When the last datagram of any other member arrived. */
    private double lastHeardAt;
    private double lastSyncAt = Double.NEGATIVE_INFINITY;
    private long lastSequence;
    private int nextSeed;
    private int probeTurn;
    private int remindersSent;
    private boolean gossipScheduled;
    /** The configuration notice in each datagram; null for none. */
    private VersionNotice notice;
    /** Gossip rounds still to be made for the notice. */
    private int noticeRoundsLeft;
    private boolean ended;
    private boolean isolated;
    private long refusedUpdates;
    private long declaredFaulty;

    /**
     * Creates a member that has not started.
     *
     * @param self this member's initial state; alive
     * @param fleet the name of the fleet
     * @param seed the random seed
     */
    public Membership(Member self, String fleet, Settings settings, long seed, Actions actions) {
        Member.requireName(fleet);
        this.self = self;
        this.settings = settings;
        this.fleet = fleet;
        this.actions = actions;
        random = new SplittableRandom(seed);
        view = new View(random);
        health = new LocalHealth(settings.lifeguard());
    }

    /** Statistics of a member. */
    public record Stats(int members, int suspects, int faulty, boolean isolated, int agreeing, long refused,
            long declaredFaulty, int health) { }

    /**
     * One member in a view.
     *
     * @param sinceMs how long it has been in this state
     * @param differsMs how long its view has differed from this one, as far as known; 0 if equal
     */
    public record MemberStatus(Member member, double sinceMs, double differsMs) { }

    // ---- Events ------------------------------------------------------------------------------------

    /**
     * Starts the member.
     *
     * @param seedAddresses addresses of possible members; some may be down, wrong, or this process
     * @param lastKnown the members known in the previous run
     */
    public void start(double time, List<InetSocketAddress> seedAddresses, Collection<Member> lastKnown) {
        now = time;
        startedAt = time;
        lastChangeAt = time;
        lastHeardAt = time;
        seeds.addAll(new LinkedHashSet<>(seedAddresses));
        for (Member known : lastKnown) {
            if (!known.name().equals(self.name()) && view.size() < settings.maxMembers()) {
                // Any update about it is newer than this.
                view.add(new Member(known.name(), known.address(), 0, 0, State.FAULTY, known.role(),
                        known.version()), now);
            }
        }
        updateIsolation();
        schedulePeriodic(settings.periodMs(), this::probeNext);
        schedulePeriodic(settings.faultyRetryMs(), this::pingFaulty);
        timers.schedule(now, this::pingSeeds);
        timers.schedule(now, this::pingFaulty);
        schedulePeriodic(Math.max(settings.periodMs(), settings.forgetMs() / SWEEPS_PER_FORGET_TIME),
                this::forgetOldMembers);
    }

    /** When {@link #tick} has to be called next; may be in the past. */
    public double wakeAt() {
        return timers.nextDue() + stoppedMs;
    }

    /** Runs all due timers. */
    public void tick(double time) {
        advanceTime(time);
        while (!ended && timers.runNextDue(now + TIME_TOLERANCE_MS)) {
            // Until nothing is due.
        }
    }

    /** Handles a datagram. */
    public void received(double time, InetSocketAddress source, Message message) {
        advanceTime(time);
        Member sender = message.from();
        if (ended || sender.name().equals(self.name()) && sender.instance() == self.instance()) {
            return;
        }
        boolean wasAlone = view.presentCount() == 0;
        lastHeardAt = now;
        processMessage(source, message);
        switch (message.kind()) {
            case PING -> answerPing(source, message);
            case ACK -> handleAck(message);
            case ASK -> relayPing(source, message);
            case NACK -> {
                Probe probe = probes.get(message.sequence());
                if (probe != null) {
                    probe.nacks++;
                }
            }
            default -> { }
        }
        if (message.digest() != digest() && isPresent(sender) && isSyncDue(wasAlone)) {
            lastSyncAt = now;
            actions.sync(sender.address());
        }
    }

    /** Merges another member's view. */
    public void merge(double time, Collection<Member> members) {
        advanceTime(time);
        for (Member member : members) {
            if (!ended) {
                applyUpdate(MemberUpdate.of(member, member.name()), false);
            }
        }
    }

    /** Adds members as if they had always been known; for simulations. */
    public void addKnownMembers(double time, Collection<Member> others) {
        advanceTime(time);
        others.stream().filter(member -> !member.name().equals(self.name()))
                .forEach(member -> view.add(member, now));
    }

    /** Sets the notice in each datagram; a later version is gossiped at once. */
    public void advertise(double time, VersionNotice newNotice) {
        advanceTime(time);
        boolean isNewer = newNotice != null && newNotice.number() > 0 && newNotice.isLaterThan(notice);
        notice = newNotice;
        if (isNewer && !ended) {
            noticeRoundsLeft = Settings.noticeRounds(view.presentCount() + 1);
            scheduleGossip();
        }
    }

    /** Announces that this member leaves, and stops. */
    public void leave(double time) {
        advanceTime(time);
        if (ended) {
            return;
        }
        self = self.withState(State.LEFT);
        gossipQueue.add(new MemberUpdate(self, ""), true);
        int receivers = Settings.maxSends(view.presentCount() + 1, true);
        view.randomPresent(receivers, null).forEach(entry -> send(Message.Kind.NEWS, 0, "", null, entry));
        stop();
    }

    /** Stops without announcing it, as another process continues as this member. */
    public void stop() {
        ended = true;
        timers.clear();
    }

    // ---- What is known -----------------------------------------------------------------------------

    /** This member's state as announced to the others. */
    public Member self() {
        return self;
    }

    /** The digest of the view; equal for all members that see the same members present. */
    public long digest() {
        return view.digest() + self.fingerprint();
    }

    /** All known members, this one first, for a full exchange. */
    public List<Member> members() {
        List<Member> all = new ArrayList<>(view.size() + 1);
        all.add(self);
        view.entries().forEach(entry -> {
            // Members known only from the previous run are not passed on.
            if (entry.member.incarnation() > 0) {
                all.add(entry.member);
            }
        });
        return all;
    }

    /** The status of all other members. */
    public List<MemberStatus> memberStatuses(double time) {
        double address = time - stoppedMs;
        return view.entries().stream().map(entry -> new MemberStatus(entry.member, address - entry.stateSince,
                !entry.member.state().isPresent() || agrees(entry) ? 0
                : address - entry.lastAgreedAt)).toList();
    }

    /** The state of a named member; null if unknown. */
    public State stateOf(String name) {
        MemberEntry entry = view.get(name);
        return entry == null ? null : entry.member.state();
    }

    /** The number of present members, including this one. */
    public int presentCount() {
        return view.presentCount() + 1;
    }

    /** Returns true if this member reaches less than half of the known members. */
    public boolean isIsolated() {
        return isolated;
    }

    /** The current statistics. */
    public Stats stats() {
        int agreeing = 0;
        for (MemberEntry entry : view.entries()) {
            if (entry.member.state().isPresent() && agrees(entry)) {
                agreeing++;
            }
        }
        return new Stats(view.presentCount() + 1, view.suspectCount(), view.faultyCount(), isolated, agreeing,
                refusedUpdates,
                declaredFaulty, health.multiplier() - 1);
    }

    private boolean agrees(MemberEntry entry) {
        return entry.digest == digest();
    }

    private boolean isPresent(Member member) {
        MemberEntry entry = view.get(member.name());
        return entry != null && entry.member.state().isPresent()
                && entry.member.instance() == member.instance();
    }

    // ---- Time --------------------------------------------------------------------------------------

    /**
     * Advances the clock. A timer that fires far too late means that this process was stopped. Messages of
     * that time were not received, so the lost time counts for no other member.
     */
    private void advanceTime(double time) {
        double lateMs = time - stoppedMs - timers.nextDue();
        if (settings.detectsPauses() && lateMs > settings.pauseThresholdMs()) {
            stoppedMs += lateMs;
            health.worsen(1);
        }
        now = Math.max(now, time - stoppedMs);
    }

    /** Runs a task periodically, with a random first delay so that members do not act in lockstep. */
    private void schedulePeriodic(double ms, Runnable task) {
        timers.schedule(now + ms * random.nextDouble(), new Runnable() {
            @Override
            public void run() {
                timers.schedule(now + ms, this);
                task.run();
            }
        });
    }

    // ---- Probes ------------------------------------------------------------------------------------

    private void probeNext() {
        remindersSent = 0;
        updateIsolation();
        // A member in bad health probes less often.
        probeTurn++;
        if (probeTurn % Math.min(health.multiplier(), MAX_PROBE_SLOWDOWN) == 0) {
            MemberEntry target = view.nextToProbe();
            if (target != null) {
                probe(target);
            }
        }
    }

    private void probe(MemberEntry target) {
        if (probes.size() >= MAX_PROBES) {
            return;
        }
        long sequence = ++lastSequence;
        Probe probe = new Probe(target);
        probes.put(sequence, probe);
        send(Message.Kind.PING, sequence, target.member.name(), null, target);
        timers.schedule(now + settings.directTimeoutMs() * health.multiplier(),
                () -> probeIndirectly(sequence, probe));
        timers.schedule(now + settings.probeTimeoutMs() * health.multiplier(), () -> probeFailed(sequence,
                probe));
    }

    private void probeIndirectly(long sequence, Probe probe) {
        if (probes.get(sequence) == probe) {
            Member target = probe.target.member;
            // If a datagram was merely lost, a second direct one helps more than all helpers together.
            send(Message.Kind.PING, sequence, target.name(), null, probe.target);
            for (MemberEntry other : view.randomPresent(Settings.INDIRECT_PROBES, probe.target)) {
                probe.helpersAsked++;
                send(Message.Kind.ASK, sequence, target.name(), target.address(), other);
            }
        }
    }

    private void probeFailed(long sequence, Probe probe) {
        if (!probes.remove(sequence, probe)) {
            return;
        }
        // If the helpers did not answer either, this member itself may be unreachable.
        health.worsen(probe.helpersAsked == 0 ? 1 : probe.helpersAsked - Math.min(probe.nacks,
                probe.helpersAsked));
        MemberEntry target = probe.target;
        if (target.member.state() == State.ALIVE && view.get(target.member.name()) == target) {
            replace(target, target.member.withState(State.SUSPECT), self.name(), true);
        } else if (target.suspicion != null) {
            confirm(target, self.name());
        }
    }

    private void handleAck(Message message) {
        Probe probe = probes.get(message.sequence());
        if (probe != null && probe.target.member.name().equals(message.target())) {
            probes.remove(message.sequence());
            health.improve();
        }
        Relay relay = relays.get(message.sequence());
        if (relay != null && relay.target().equals(message.target())) {
            relays.remove(message.sequence());
            send(Message.Kind.ACK, relay.originSequence(), relay.target(), null, relay.origin(), List.of());
        }
    }

    private void relayPing(InetSocketAddress source, Message message) {
        if (relays.size() >= MAX_RELAYS || message.target().equals(self.name())) {
            return;
        }
        long sequence = ++lastSequence;
        Relay relay = new Relay(source, message.sequence(), message.target());
        relays.put(sequence, relay);
        send(Message.Kind.PING, sequence, message.target(), null, message.targetAddress(), List.of());
        timers.schedule(now + settings.relayTimeoutMs(), () -> {
            if (relays.remove(sequence, relay)) {
                send(Message.Kind.NACK, relay.originSequence(), relay.target(), null, relay.origin(),
                        List.of());
            }
        });
    }

    /** Answers a ping for this member; one for a previous owner of the address gets no answer. */
    private void answerPing(InetSocketAddress source, Message message) {
        if (message.target().isEmpty() || message.target().equals(self.name())) {
            send(Message.Kind.ACK, message.sequence(), self.name(), null, source,
                    correctionFor(message.from()));
        }
    }

    /** The update that overrides the sender's own state, so that it can refute it. */
    private List<MemberUpdate> correctionFor(Member sender) {
        MemberEntry entry = view.get(sender.name());
        return entry != null && entry.member.overrides(sender)
                ? List.of(MemberUpdate.of(entry.member, self.name())) : List.of();
    }

    private void pingFaulty() {
        for (MemberEntry entry : view.randomFaulty(isolated ? FAULTY_PINGS_WHEN_ISOLATED : 1)) {
            ping(entry);
        }
    }

    /** Pings a member; a missing answer has no effect. */
    private void ping(MemberEntry entry) {
        send(Message.Kind.PING, ++lastSequence, entry.member.name(), null, entry);
    }

    private void pingSeeds() {
        timers.schedule(now + (view.presentCount() == 0 ? settings.periodMs() : settings.seedRetryMs()),
                this::pingSeeds);
        for (int i = 0; i < Math.min(SEEDS_PER_ROUND, seeds.size()); i++) {
            InetSocketAddress address = seeds.get(nextSeed++ % seeds.size());
            boolean known = address.equals(self.address()) || view.presentCount() > 0
                    && view.entries().stream()
                    .anyMatch(entry -> entry.member.state().isPresent()
                    && entry.member.address().equals(address));
            if (!known) {
                send(Message.Kind.PING, ++lastSequence, "", null, address, List.of());
            }
        }
    }

    // ---- News --------------------------------------------------------------------------------------

    private void processMessage(InetSocketAddress source, Message message) {
        Member sender = message.from();
        boolean firstHand = source.equals(sender.address());
        applyUpdate(new MemberUpdate(sender, ""), firstHand);
        MemberEntry entry = view.get(sender.name());
        if (entry != null && entry.member.instance() == sender.instance() && firstHand) {
            entry.lastHeardAt = now;
            entry.digest = message.digest();
            if (agrees(entry)) {
                entry.lastAgreedAt = now;
            }
            if (message.notice() != null) {
                actions.noticeReceived(entry.member, message.notice());
            }
        }
        for (MemberUpdate update : message.updates()) {
            if (!ended) {
                applyUpdate(update, false);
            }
        }
    }

    /** Applies an update; {@code firstHand} if the member itself sent it from its own address. */
    private void applyUpdate(MemberUpdate update, boolean firstHand) {
        Member reported = update.member();
        if (reported.name().equals(self.name())) {
            applyUpdateOfSelf(reported);
            return;
        }
        MemberEntry entry = view.get(reported.name());
        long known = entry == null ? 0 : entry.member.incarnation();
        if (!firstHand && reported.incarnation() - known > MAX_INCARNATION_JUMP) {
            refusedUpdates++;
        } else if (entry == null) {
            addMember(update);
        } else if (reported.state() == State.SUSPECT && entry.suspicion != null
                && reported.incarnation() == known) {
            confirm(entry, update.suspectedBy());
        } else if (reported.overrides(entry.member)) {
            boolean doubted = reported.state() == State.FAULTY && entry.member.state() == State.ALIVE
                    && now - entry.lastHeardAt < settings.periodMs();
            replace(entry, doubted ? reported.withState(State.SUSPECT) : reported, update.suspectedBy(),
                    true);
        }
    }

    private void addMember(MemberUpdate update) {
        Member reported = update.member();
        if (!reported.state().isPresent()) {
            return;
        }
        if (view.size() >= settings.maxMembers()) {
            refusedUpdates++;
            return;
        }
        MemberEntry entry = view.add(reported, now);
        stateChanged(null, entry, update.suspectedBy(), true);
    }

    /** Sets a member's state and optionally gossips it. */
    private void replace(MemberEntry entry, Member member, String suspectedBy, boolean gossip) {
        Member before = entry.member;
        view.replace(entry, member, now);
        stateChanged(before, entry, suspectedBy, gossip);
    }

    private void stateChanged(Member before, MemberEntry entry, String suspectedBy, boolean gossip) {
        boolean important = before == null
                || before.state().isPresent() != entry.member.state().isPresent();
        if (important) {
            lastChangeAt = now;
        }
        if (entry.member.state() == State.SUSPECT) {
            startSuspicion(entry, suspectedBy);
        }
        updateIsolation();
        if (gossip) {
            enqueue(MemberUpdate.of(entry.member, suspectedBy), important);
        }
        actions.memberChanged(before, entry.member);
    }

    private void enqueue(MemberUpdate update, boolean important) {
        gossipQueue.add(update, important);
        scheduleGossip();
    }

    private void scheduleGossip() {
        if (!gossipScheduled) {
            gossipScheduled = true;
            timers.schedule(now + settings.gossipIntervalMs() * random.nextDouble(), this::gossip);
        }
    }

    private void gossip() {
        boolean sendState = noticeRoundsLeft > 0;
        gossipScheduled = gossipQueue.size() > 0 || sendState;
        if (gossipScheduled) {
            noticeRoundsLeft = Math.max(0, noticeRoundsLeft - 1);
            timers.schedule(now + settings.gossipIntervalMs(), this::gossip);
            for (MemberEntry entry : view.randomPresent(Settings.FAN_OUT, null)) {
                if (gossipQueue.size() > 0 || sendState) {
                    send(Message.Kind.NEWS, 0, "", null, entry);
                }
            }
        }
    }

    private void startSuspicion(MemberEntry entry, String suspectedBy) {
        int members = view.presentCount() + 1;
        int confirmationsWanted = settings.lifeguard() ? Math.max(0, Math.min(Settings.CONFIRMATIONS,
                members - 2)) : 0;
        entry.suspicion = new Suspicion(now, settings.minSuspicionMs(members),
                settings.maxSuspicionMs(members), confirmationsWanted, suspectedBy);
        scheduleDeadline(entry);
        if (settings.lifeguard()) {
            scheduleReminder(entry, entry.suspicion);
        }
        // If the member is dead, a few confirming probes shorten the suspicion.
        if (confirmationsWanted > 0 && !suspectedBy.equals(self.name()) && gossipQueue.size() < LONG_QUEUE
                && random.nextDouble() * members < Settings.CONFIRMING_PROBES) {
            probe(entry);
        }
    }

    /** Pings the suspect each period, as a refutation it sent to others may not have arrived here. */
    private void scheduleReminder(MemberEntry entry, Suspicion suspicion) {
        timers.schedule(now + settings.periodMs(), () -> {
            if (entry.suspicion == suspicion) {
                if (remindersSent++ < MAX_REMINDERS_PER_PERIOD) {
                    ping(entry);
                }
                scheduleReminder(entry, suspicion);
            }
        });
    }

    private void scheduleDeadline(MemberEntry entry) {
        Suspicion suspicion = entry.suspicion;
        timers.schedule(Math.max(now, suspicion.deadline()), () -> {
            if (entry.suspicion == suspicion && now >= suspicion.deadline() - TIME_TOLERANCE_MS) {
                declaredFaulty++;
                boolean trusts = !isolated;
                replace(entry, entry.member.withState(State.FAULTY), "", trusts);
            }
        });
    }

    private void confirm(MemberEntry entry, String suspectedBy) {
        if (entry.suspicion.confirm(suspectedBy)) {
            scheduleDeadline(entry);
            enqueue(new MemberUpdate(entry.member, suspectedBy), false);
        }
    }

    /** Handles an update about this member or another process of its name. */
    private void applyUpdateOfSelf(Member reported) {
        if (reported.incarnation() - self.incarnation() > MAX_INCARNATION_JUMP
                || reported.incarnation() == Member.MAX_INCARNATION) {
            refusedUpdates++;
            return;
        }
        if (!reported.overrides(self)) {
            return;
        }
        boolean expired = !reported.state().isPresent() || reported.address().equals(self.address());
        if (reported.instance() == self.instance() || expired || now - startedAt < settings.joinWindowMs()) {
            if (reported.instance() == self.instance()) {
                health.worsen(1);
            }
            self = self.aliveWithIncarnation(reported.incarnation() + 1);
            enqueue(new MemberUpdate(self, ""), !reported.state().isPresent()
                    || reported.instance() != self.instance());
        } else {
            stop();
            actions.superseded(reported);
        }
    }

    // ---- The whole ---------------------------------------------------------------------------------

    private boolean isSyncDue(boolean wasAlone) {
        return now - lastSyncAt >= settings.minSyncIntervalMs()
                && (wasAlone || gossipQueue.size() >= LONG_QUEUE || now - lastChangeAt >= settings.settleMs()
                || now - lastSyncAt >= settings.joinWindowMs());
    }

    private void updateIsolation() {
        int presentMembers = view.presentCount() + 1;
        // A silent network means isolation, without probing each member.
        boolean cutOff = view.presentCount() > 0 && now - lastHeardAt > settings.silenceTimeoutMs();
        boolean isNowIsolated = cutOff || 2 * presentMembers < presentMembers + view.faultyCount();
        if (isNowIsolated != isolated) {
            isolated = isNowIsolated;
            actions.isolationChanged(isNowIsolated);
        }
    }

    private void forgetOldMembers() {
        List<MemberEntry> expired = view.entries().stream().filter(entry -> !entry.member.state().isPresent()
                && now - entry.stateSince >= settings.forgetMs()).toList();
        for (MemberEntry entry : expired) {
            view.forget(entry);
            actions.memberChanged(entry.member, null);
        }
        updateIsolation();
    }

    private void send(Message.Kind kind, long sequence, String target, InetSocketAddress address,
            MemberEntry entry) {
        Member member = entry.member;
        // A suspect is always sent its own state, so that it can refute it.
        boolean sendState = member.state() == State.FAULTY
                || settings.lifeguard() && member.state() == State.SUSPECT;
        send(kind, sequence, target, address, member.address(), sendState && member.incarnation() > 0
                ? List.of(MemberUpdate.of(member, self.name())) : List.of());
    }

    private void send(Message.Kind kind, long sequence, String target, InetSocketAddress address,
            InetSocketAddress receiver, List<MemberUpdate> priorityUpdates) {
        int remainingBytes = Codec.MAX_DATAGRAM_BYTES - Codec.headerSize(fleet, target,
                self) - Codec.encodedSize(notice);
        for (MemberUpdate update : priorityUpdates) {
            remainingBytes -= Codec.encodedSize(update);
        }
        List<MemberUpdate> all = new ArrayList<>(priorityUpdates);
        all.addAll(gossipQueue.take(remainingBytes, view.presentCount() + 1));
        actions.send(receiver, new Message(kind, sequence, target, address, self, digest(), List.copyOf(all),
                notice));
    }
}
