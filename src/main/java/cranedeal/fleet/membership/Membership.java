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
 * A member of a fleet: a failure detector that spreads what it finds, and the view that comes of it (Das,
 * Gupta and Motivala, SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol,
 * 2002), with the refinements of Lifeguard (2018) and full exchanges that make up for what was lost.
 *
 * <p>Has no clock, socket or thread: events come in with a time in milliseconds, which never goes back, and
 * {@link Actions} go out. Belongs to one thread.
 */
public final class Membership {

    /** Probes and pings for others that are under way at a time. */
    private static final int MAX_PROBES = 16;
    private static final int MAX_RELAYS = 64;
    /** News that raises an incarnation by more than this is forged, unless it is the member's own word. */
    private static final long MAX_INCARNATION_JUMP = 1L << 32;
    /** With so much news waiting, full exchanges are quicker. */
    private static final int LONG_QUEUE = 32;
    /** A member in bad health waits longer for answers, but probes no more seldom than by this factor. */
    private static final int MAX_PROBE_SLOWDOWN = 3;
    /** How many faulty members one tries at a time that has lost most of them. */
    private static final int FAULTY_PINGS_WHEN_ISOLATED = 3;
    private static final int SEEDS_PER_ROUND = 3;
    /** How many suspects are asked for their last word in a period. */
    private static final int MAX_REMINDERS_PER_PERIOD = 4;
    /** Times that are closer are the same, but for rounding. */
    private static final double TIME_TOLERANCE_MS = 1e-3;
    private static final double SWEEPS_PER_FORGET_TIME = 10;

    /** A member that was pinged and has not answered yet. */
    private static final class Probe {

        private final MemberEntry target;
        private int helpersAsked;
        private int nacks;

        Probe(MemberEntry target) {
            this.target = target;
        }
    }

    /** A ping for another member. */
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
    /** The time, without what this process was stopped. */
    private double now;
    private double stoppedMs;
    private double startedAt;
    private double lastChangeAt;
    /** When any other member was last heard. */
    private double lastHeardAt;
    private double lastSyncAt = Double.NEGATIVE_INFINITY;
    private long lastSequence;
    private int nextSeed;
    private int probeTurn;
    private int remindersSent;
    private boolean gossipScheduled;
    /** What is told of the configuration in each datagram; null if nothing is. */
    private VersionNotice notice;
    /** How many rounds of news are owed to it. */
    private int noticeRoundsLeft;
    private boolean ended;
    private boolean isolated;
    private long refusedUpdates;
    private long declaredFaulty;

    /**
     * A member that has not begun.
     *
     * @param self as it is to be known; alive
     * @param fleet the name of the fleet
     * @param seed of whatever is drawn
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

    /** What a member has come to, for its figures. */
    public record Stats(int members, int suspects, int faulty, boolean isolated, int agreeing, long refused,
            long declaredFaulty, int health) { }

    /**
     * One member in a view.
     *
     * @param sinceMs how long it has been in this state
     * @param differsMs how long its view has not been the same as this one, as far as heard; 0 if it is
     */
    public record MemberStatus(Member member, double sinceMs, double differsMs) { }

    // ---- Events ------------------------------------------------------------------------------------

    /**
     * Begins.
     *
     * @param seedAddresses where others may be; some may be down, wrong, or this process
     * @param lastKnown the members that this one knew when it last ran
     */
    public void start(double time, List<InetSocketAddress> seedAddresses, Collection<Member> lastKnown) {
        now = time;
        startedAt = time;
        lastChangeAt = time;
        lastHeardAt = time;
        seeds.addAll(new LinkedHashSet<>(seedAddresses));
        for (Member known : lastKnown) {
            if (!known.name().equals(self.name()) && view.size() < settings.maxMembers()) {
                // Any word of it is newer than this.
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

    /** When {@link #tick} is next wanted; may be in the past. */
    public double wakeAt() {
        return timers.nextDue() + stoppedMs;
    }

    /** Does what is due. */
    public void tick(double time) {
        advanceTime(time);
        while (!ended && timers.runNextDue(now + TIME_TOLERANCE_MS)) {
            // Until nothing is due.
        }
    }

    /** A datagram has come. */
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

    /** Takes what another member knows. */
    public void merge(double time, Collection<Member> members) {
        advanceTime(time);
        for (Member member : members) {
            if (!ended) {
                applyUpdate(MemberUpdate.of(member, member.name()), false);
            }
        }
    }

    /** Takes others for members as if it had always known them; for simulations. */
    public void addKnownMembers(double time, Collection<Member> others) {
        advanceTime(time);
        others.stream().filter(member -> !member.name().equals(self.name()))
                .forEach(member -> view.add(member, now));
    }

    /** Tells of the configuration that this member has, from now on; one that is later is news. */
    public void advertise(double time, VersionNotice newNotice) {
        advanceTime(time);
        boolean isNewer = newNotice != null && newNotice.number() > 0 && newNotice.isLaterThan(notice);
        notice = newNotice;
        if (isNewer && !ended) {
            noticeRoundsLeft = Settings.noticeRounds(view.presentCount() + 1);
            scheduleGossip();
        }
    }

    /** Tells the others that this member leaves, and does nothing more. */
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

    /** Does nothing more, without a word: another process goes on as this member. */
    public void stop() {
        ended = true;
        timers.clear();
    }

    // ---- What is known -----------------------------------------------------------------------------

    /** This member as it is known to the others. */
    public Member self() {
        return self;
    }

    /** The digest of the view: the same for all members that have the same ones present. */
    public long digest() {
        return view.digest() + self.fingerprint();
    }

    /** All that is known, this member first, for a full exchange. */
    public List<Member> members() {
        List<Member> all = new ArrayList<>(view.size() + 1);
        all.add(self);
        view.entries().forEach(entry -> {
            // What was only known from before is no news to anybody.
            if (entry.member.incarnation() > 0) {
                all.add(entry.member);
            }
        });
        return all;
    }

    /** The others, as they are seen now. */
    public List<MemberStatus> memberStatuses(double time) {
        double address = time - stoppedMs;
        return view.entries().stream().map(entry -> new MemberStatus(entry.member, address - entry.stateSince,
                !entry.member.state().isPresent() || agrees(entry) ? 0
                : address - entry.lastAgreedAt)).toList();
    }

    /** What is known of a name; null if nothing is. */
    public State stateOf(String name) {
        MemberEntry entry = view.get(name);
        return entry == null ? null : entry.member.state();
    }

    /** How many members are present in the view, with this one. */
    public int presentCount() {
        return view.presentCount() + 1;
    }

    /** Whether this member reaches less than half of those it knows. */
    public boolean isIsolated() {
        return isolated;
    }

    /** The figures. */
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
     * A timer that is much too late tells that this process was stopped: what the others would have said
     * meanwhile was not heard, so no time has passed for any of them.
     */
    private void advanceTime(double time) {
        double lateMs = time - stoppedMs - timers.nextDue();
        if (settings.detectsPauses() && lateMs > settings.pauseThresholdMs()) {
            stoppedMs += lateMs;
            health.worsen(1);
        }
        now = Math.max(now, time - stoppedMs);
    }

    /** Does a task each time, beginning somewhere in the first, so that members don't do it together. */
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
            // Where a datagram was merely lost, a second one does more than all others together.
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
        // Where those who were asked did not answer either, it may be this member that is not reached.
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

    /** Answers a ping for this member; one that is for whoever had this address before gets none. */
    private void answerPing(InetSocketAddress source, Message message) {
        if (message.target().isEmpty() || message.target().equals(self.name())) {
            send(Message.Kind.ACK, message.sequence(), self.name(), null, source,
                    correctionFor(message.from()));
        }
    }

    /** What overrides a member's own word, which it has to know. */
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

    /** Asks for a word, and counts nothing if none comes. */
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

    /** Takes something that is said of a member; {@code itself} if it says so, from where it says it is. */
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

    /** Puts a member into another state, and tells of it. */
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
        // If the member is dead indeed, a few second opinions make that certain soon.
        if (confirmationsWanted > 0 && !suspectedBy.equals(self.name()) && gossipQueue.size() < LONG_QUEUE
                && random.nextDouble() * members < Settings.CONFIRMING_PROBES) {
            probe(entry);
        }
    }

    /** Asks who is suspected for its last word, as what it said to others may not have come here. */
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

    /** Something is said of this member, or of another process that has its name. */
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
        // Who is cut off need not find that out member by member.
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
        // Whoever is suspected hears of it first, and can contradict.
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
