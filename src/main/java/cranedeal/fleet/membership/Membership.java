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
    private static final int MOST_PROBES = 16;
    private static final int MOST_RELAYS = 64;
    /** News that raises an incarnation by more than this is forged, unless it is the member's own word. */
    private static final long LARGEST_LEAP = 1L << 32;
    /** With so much news waiting, full exchanges are quicker. */
    private static final int MUCH_NEWS = 32;
    /** A member in bad health waits longer for answers, but probes no more seldom than by this factor. */
    private static final int SLOWEST = 3;
    /** How many faulty members one tries at a time that has lost most of them. */
    private static final int TRIES_WHEN_ISOLATED = 3;
    private static final int SEEDS_AT_A_TIME = 3;
    /** How many suspects are asked for their last word in a period. */
    private static final int MOST_REMINDERS = 4;
    /** Times that are closer are the same, but for rounding. */
    private static final double SAME_MS = 1e-3;
    private static final double SWEEPS = 10;

    /** A member that was pinged and has not answered yet. */
    private static final class Probe {

        private final Entry target;
        private int asked;
        private int nacks;

        Probe(Entry target) {
            this.target = target;
        }
    }

    /** A ping for another member. */
    private record Relay(InetSocketAddress origin, long number, String target) { }

    private final Settings settings;
    private final String fleet;
    private final Actions actions;
    private final SplittableRandom random;
    private final View view;
    private final Timers timers = new Timers();
    private final GossipQueue news = new GossipQueue();
    private final LocalHealth health;
    private final Map<Long, Probe> probes = new HashMap<>();
    private final Map<Long, Relay> relays = new HashMap<>();
    private final List<InetSocketAddress> seeds = new ArrayList<>();
    private Member self;
    /** The time, without what this process was stopped. */
    private double now;
    private double stopped;
    private double begunAt;
    private double changedAt;
    /** When any other member was last heard. */
    private double heardAt;
    private double syncedAt = Double.NEGATIVE_INFINITY;
    private long number;
    private int seed;
    private int turn;
    private int reminders;
    private boolean gossiping;
    /** What is told of the configuration in each datagram; null if nothing is. */
    private VersionNotice notice;
    /** How many rounds of news are owed to it. */
    private int noticeRounds;
    private boolean over;
    private boolean isolated;
    private long refused;
    private long declared;

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
    public record Seen(Member member, double sinceMs, double differsMs) { }

    // ---- Events ------------------------------------------------------------------------------------

    /**
     * Begins.
     *
     * @param given where others may be; some may be down, wrong, or this process
     * @param lastKnown the members that this one knew when it last ran
     */
    public void start(double time, List<InetSocketAddress> given, Collection<Member> lastKnown) {
        now = time;
        begunAt = time;
        changedAt = time;
        heardAt = time;
        seeds.addAll(new LinkedHashSet<>(given));
        for (Member known : lastKnown) {
            if (!known.name().equals(self.name()) && view.size() < settings.maxMembers()) {
                // Any word of it is newer than this.
                view.add(new Member(known.name(), known.address(), 0, 0, State.FAULTY, known.role(),
                        known.version()), now);
            }
        }
        lookWhetherIsolated();
        every(settings.periodMs(), this::probeNext);
        every(settings.retryMs(), this::tryFaulty);
        timers.at(now, this::trySeeds);
        timers.at(now, this::tryFaulty);
        every(Math.max(settings.periodMs(), settings.forgetMs() / SWEEPS), this::sweep);
    }

    /** When {@link #tick} is next wanted; may be in the past. */
    public double wakeAt() {
        return timers.next() + stopped;
    }

    /** Does what is due. */
    public void tick(double time) {
        begin(time);
        while (!over && timers.runOne(now + SAME_MS)) {
            // Until nothing is due.
        }
    }

    /** A datagram has come. */
    public void received(double time, InetSocketAddress source, Message message) {
        begin(time);
        Member sender = message.from();
        if (over || sender.name().equals(self.name()) && sender.instance() == self.instance()) {
            return;
        }
        boolean wasAlone = view.present() == 0;
        heardAt = now;
        hear(source, message);
        switch (message.kind()) {
            case PING -> answer(source, message);
            case ACK -> acknowledged(message);
            case ASK -> relay(source, message);
            case NACK -> {
                Probe probe = probes.get(message.sequence());
                if (probe != null) {
                    probe.nacks++;
                }
            }
            default -> { }
        }
        if (message.digest() != digest() && isPresent(sender) && wantsSync(wasAlone)) {
            syncedAt = now;
            actions.sync(sender.address());
        }
    }

    /** Takes what another member knows. */
    public void merge(double time, Collection<Member> theirs) {
        begin(time);
        for (Member member : theirs) {
            if (!over) {
                take(MemberUpdate.of(member, member.name()), false);
            }
        }
    }

    /** Takes others for members as if it had always known them; for simulations. */
    public void addKnownMembers(double time, Collection<Member> others) {
        begin(time);
        others.stream().filter(member -> !member.name().equals(self.name()))
                .forEach(member -> view.add(member, now));
    }

    /** Tells of the configuration that this member has, from now on; one that is later is news. */
    public void advertise(double time, VersionNotice given) {
        begin(time);
        boolean isNews = given != null && given.number() > 0 && given.isLaterThan(notice);
        notice = given;
        if (isNews && !over) {
            noticeRounds = Settings.noticeRounds(view.present() + 1);
            gossipSoon();
        }
    }

    /** Tells the others that this member leaves, and does nothing more. */
    public void leave(double time) {
        begin(time);
        if (over) {
            return;
        }
        self = self.in(State.LEFT);
        news.add(new MemberUpdate(self, ""), true);
        int told = Settings.sends(view.present() + 1, true);
        view.some(told, null).forEach(entry -> send(Message.Kind.NEWS, 0, "", null, entry));
        stop();
    }

    /** Does nothing more, without a word: another process goes on as this member. */
    public void stop() {
        over = true;
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
    public List<Seen> seen(double time) {
        double at = time - stopped;
        return view.entries().stream().map(entry -> new Seen(entry.member, at - entry.since,
                !entry.member.state().isPresent() || agrees(entry) ? 0 : at - entry.agreedAt)).toList();
    }

    /** What is known of a name; null if nothing is. */
    public State stateOf(String name) {
        Entry entry = view.get(name);
        return entry == null ? null : entry.member.state();
    }

    /** How many members are present in the view, with this one. */
    public int presentCount() {
        return view.present() + 1;
    }

    /** Whether this member reaches less than half of those it knows. */
    public boolean isIsolated() {
        return isolated;
    }

    /** The figures. */
    public Stats stats() {
        int agreeing = 0;
        for (Entry entry : view.entries()) {
            if (entry.member.state().isPresent() && agrees(entry)) {
                agreeing++;
            }
        }
        return new Stats(view.present() + 1, view.suspects(), view.faulty(), isolated, agreeing, refused,
                declared, health.factor() - 1);
    }

    private boolean agrees(Entry entry) {
        return entry.digest == digest();
    }

    private boolean isPresent(Member member) {
        Entry entry = view.get(member.name());
        return entry != null && entry.member.state().isPresent()
                && entry.member.instance() == member.instance();
    }

    // ---- Time --------------------------------------------------------------------------------------

    /**
     * A timer that is much too late tells that this process was stopped: what the others would have said
     * meanwhile was not heard, so no time has passed for any of them.
     */
    private void begin(double time) {
        double late = time - stopped - timers.next();
        if (settings.detectsPauses() && late > settings.lateMs()) {
            stopped += late;
            health.worse(1);
        }
        now = Math.max(now, time - stopped);
    }

    /** Does a task each time, beginning somewhere in the first, so that members don't do it together. */
    private void every(double ms, Runnable task) {
        timers.at(now + ms * random.nextDouble(), new Runnable() {
            @Override
            public void run() {
                timers.at(now + ms, this);
                task.run();
            }
        });
    }

    // ---- Probes ------------------------------------------------------------------------------------

    private void probeNext() {
        reminders = 0;
        lookWhetherIsolated();
        // A member in bad health probes less often.
        turn++;
        if (turn % Math.min(health.factor(), SLOWEST) == 0) {
            Entry target = view.nextInRing();
            if (target != null) {
                probe(target);
            }
        }
    }

    private void probe(Entry target) {
        if (probes.size() >= MOST_PROBES) {
            return;
        }
        long its = ++number;
        Probe probe = new Probe(target);
        probes.put(its, probe);
        send(Message.Kind.PING, its, target.member.name(), null, target);
        timers.at(now + settings.directMs() * health.factor(), () -> askOthers(its, probe));
        timers.at(now + settings.wholeMs() * health.factor(), () -> giveUp(its, probe));
    }

    private void askOthers(long its, Probe probe) {
        if (probes.get(its) == probe) {
            Member target = probe.target.member;
            // Where a datagram was merely lost, a second one does more than all others together.
            send(Message.Kind.PING, its, target.name(), null, probe.target);
            for (Entry other : view.some(Settings.OTHERS, probe.target)) {
                probe.asked++;
                send(Message.Kind.ASK, its, target.name(), target.address(), other);
            }
        }
    }

    private void giveUp(long its, Probe probe) {
        if (!probes.remove(its, probe)) {
            return;
        }
        // Where those who were asked did not answer either, it may be this member that is not reached.
        health.worse(probe.asked == 0 ? 1 : probe.asked - Math.min(probe.nacks, probe.asked));
        Entry target = probe.target;
        if (target.member.state() == State.ALIVE && view.get(target.member.name()) == target) {
            replace(target, target.member.in(State.SUSPECT), self.name(), true);
        } else if (target.suspicion != null) {
            confirm(target, self.name());
        }
    }

    private void acknowledged(Message message) {
        Probe probe = probes.get(message.sequence());
        if (probe != null && probe.target.member.name().equals(message.target())) {
            probes.remove(message.sequence());
            health.better();
        }
        Relay relay = relays.get(message.sequence());
        if (relay != null && relay.target().equals(message.target())) {
            relays.remove(message.sequence());
            send(Message.Kind.ACK, relay.number(), relay.target(), null, relay.origin(), List.of());
        }
    }

    private void relay(InetSocketAddress source, Message message) {
        if (relays.size() >= MOST_RELAYS || message.target().equals(self.name())) {
            return;
        }
        long its = ++number;
        Relay relay = new Relay(source, message.sequence(), message.target());
        relays.put(its, relay);
        send(Message.Kind.PING, its, message.target(), null, message.targetAddress(), List.of());
        timers.at(now + settings.relayMs(), () -> {
            if (relays.remove(its, relay)) {
                send(Message.Kind.NACK, relay.number(), relay.target(), null, relay.origin(), List.of());
            }
        });
    }

    /** Answers a ping for this member; one that is for whoever had this address before gets none. */
    private void answer(InetSocketAddress source, Message message) {
        if (message.target().isEmpty() || message.target().equals(self.name())) {
            send(Message.Kind.ACK, message.sequence(), self.name(), null, source,
                    contradicted(message.from()));
        }
    }

    /** What overrides a member's own word, which it has to know. */
    private List<MemberUpdate> contradicted(Member sender) {
        Entry entry = view.get(sender.name());
        return entry != null && entry.member.overrides(sender)
                ? List.of(MemberUpdate.of(entry.member, self.name())) : List.of();
    }

    private void tryFaulty() {
        for (Entry entry : view.someFaulty(isolated ? TRIES_WHEN_ISOLATED : 1)) {
            ping(entry);
        }
    }

    /** Asks for a word, and counts nothing if none comes. */
    private void ping(Entry entry) {
        send(Message.Kind.PING, ++number, entry.member.name(), null, entry);
    }

    private void trySeeds() {
        timers.at(now + (view.present() == 0 ? settings.periodMs() : settings.seedsMs()), this::trySeeds);
        for (int i = 0; i < Math.min(SEEDS_AT_A_TIME, seeds.size()); i++) {
            InetSocketAddress at = seeds.get(seed++ % seeds.size());
            boolean known = at.equals(self.address()) || view.present() > 0 && view.entries().stream()
                    .anyMatch(entry -> entry.member.state().isPresent() && entry.member.address().equals(at));
            if (!known) {
                send(Message.Kind.PING, ++number, "", null, at, List.of());
            }
        }
    }

    // ---- News --------------------------------------------------------------------------------------

    private void hear(InetSocketAddress source, Message message) {
        Member sender = message.from();
        boolean itself = source.equals(sender.address());
        take(new MemberUpdate(sender, ""), itself);
        Entry entry = view.get(sender.name());
        if (entry != null && entry.member.instance() == sender.instance() && itself) {
            entry.heardAt = now;
            entry.digest = message.digest();
            if (agrees(entry)) {
                entry.agreedAt = now;
            }
            if (message.notice() != null) {
                actions.noticeReceived(entry.member, message.notice());
            }
        }
        for (MemberUpdate item : message.updates()) {
            if (!over) {
                take(item, false);
            }
        }
    }

    /** Takes something that is said of a member; {@code itself} if it says so, from where it says it is. */
    private void take(MemberUpdate item, boolean itself) {
        Member said = item.member();
        if (said.name().equals(self.name())) {
            ofThisMember(said);
            return;
        }
        Entry entry = view.get(said.name());
        long known = entry == null ? 0 : entry.member.incarnation();
        if (!itself && said.incarnation() - known > LARGEST_LEAP) {
            refused++;
        } else if (entry == null) {
            meet(item);
        } else if (said.state() == State.SUSPECT && entry.suspicion != null
                && said.incarnation() == known) {
            confirm(entry, item.suspectedBy());
        } else if (said.overrides(entry.member)) {
            boolean doubted = said.state() == State.FAULTY && entry.member.state() == State.ALIVE
                    && now - entry.heardAt < settings.periodMs();
            replace(entry, doubted ? said.in(State.SUSPECT) : said, item.suspectedBy(), true);
        }
    }

    private void meet(MemberUpdate item) {
        Member said = item.member();
        if (!said.state().isPresent()) {
            return;
        }
        if (view.size() >= settings.maxMembers()) {
            refused++;
            return;
        }
        Entry entry = view.add(said, now);
        changed(null, entry, item.suspectedBy(), true);
    }

    /** Puts a member into another state, and tells of it. */
    private void replace(Entry entry, Member member, String by, boolean tell) {
        Member before = entry.member;
        view.replace(entry, member, now);
        changed(before, entry, by, tell);
    }

    private void changed(Member before, Entry entry, String by, boolean tell) {
        boolean important = before == null
                || before.state().isPresent() != entry.member.state().isPresent();
        if (important) {
            changedAt = now;
        }
        if (entry.member.state() == State.SUSPECT) {
            suspected(entry, by);
        }
        lookWhetherIsolated();
        if (tell) {
            tell(MemberUpdate.of(entry.member, by), important);
        }
        actions.memberChanged(before, entry.member);
    }

    private void tell(MemberUpdate item, boolean important) {
        news.add(item, important);
        gossipSoon();
    }

    private void gossipSoon() {
        if (!gossiping) {
            gossiping = true;
            timers.at(now + settings.gossipMs() * random.nextDouble(), this::gossip);
        }
    }

    private void gossip() {
        boolean owed = noticeRounds > 0;
        gossiping = news.size() > 0 || owed;
        if (gossiping) {
            noticeRounds = Math.max(0, noticeRounds - 1);
            timers.at(now + settings.gossipMs(), this::gossip);
            for (Entry entry : view.some(Settings.FAN_OUT, null)) {
                if (news.size() > 0 || owed) {
                    send(Message.Kind.NEWS, 0, "", null, entry);
                }
            }
        }
    }

    private void suspected(Entry entry, String by) {
        int members = view.present() + 1;
        int wanted = settings.lifeguard() ? Math.max(0, Math.min(Settings.CONFIRMATIONS, members - 2)) : 0;
        entry.suspicion = new Suspicion(now, settings.leastSuspicionMs(members),
                settings.longestSuspicionMs(members), wanted, by);
        watch(entry);
        if (settings.lifeguard()) {
            remind(entry, entry.suspicion);
        }
        // If the member is dead indeed, a few second opinions make that certain soon.
        if (wanted > 0 && !by.equals(self.name()) && news.size() < MUCH_NEWS
                && random.nextDouble() * members < Settings.SECOND_OPINIONS) {
            probe(entry);
        }
    }

    /** Asks who is suspected for its last word, as what it said to others may not have come here. */
    private void remind(Entry entry, Suspicion suspicion) {
        timers.at(now + settings.periodMs(), () -> {
            if (entry.suspicion == suspicion) {
                if (reminders++ < MOST_REMINDERS) {
                    ping(entry);
                }
                remind(entry, suspicion);
            }
        });
    }

    private void watch(Entry entry) {
        Suspicion suspicion = entry.suspicion;
        timers.at(Math.max(now, suspicion.deadline()), () -> {
            if (entry.suspicion == suspicion && now >= suspicion.deadline() - SAME_MS) {
                declared++;
                boolean trusts = !isolated;
                replace(entry, entry.member.in(State.FAULTY), "", trusts);
            }
        });
    }

    private void confirm(Entry entry, String by) {
        if (entry.suspicion.confirm(by)) {
            watch(entry);
            tell(new MemberUpdate(entry.member, by), false);
        }
    }

    /** Something is said of this member, or of another process that has its name. */
    private void ofThisMember(Member said) {
        if (said.incarnation() - self.incarnation() > LARGEST_LEAP
                || said.incarnation() == Member.MAX_INCARNATION) {
            refused++;
            return;
        }
        if (!said.overrides(self)) {
            return;
        }
        boolean gone = !said.state().isPresent() || said.address().equals(self.address());
        if (said.instance() == self.instance() || gone || now - begunAt < settings.joinMs()) {
            if (said.instance() == self.instance()) {
                health.worse(1);
            }
            self = self.reborn(said.incarnation() + 1);
            tell(new MemberUpdate(self, ""), !said.state().isPresent() || said.instance() != self.instance());
        } else {
            stop();
            actions.superseded(said);
        }
    }

    // ---- The whole ---------------------------------------------------------------------------------

    private boolean wantsSync(boolean wasAlone) {
        return now - syncedAt >= settings.syncMs()
                && (wasAlone || news.size() >= MUCH_NEWS || now - changedAt >= settings.settleMs()
                || now - syncedAt >= settings.joinMs());
    }

    private void lookWhetherIsolated() {
        int reached = view.present() + 1;
        // Who is cut off need not find that out member by member.
        boolean cutOff = view.present() > 0 && now - heardAt > settings.silenceMs();
        boolean is = cutOff || 2 * reached < reached + view.faulty();
        if (is != isolated) {
            isolated = is;
            actions.isolationChanged(is);
        }
    }

    private void sweep() {
        List<Entry> gone = view.entries().stream().filter(entry -> !entry.member.state().isPresent()
                && now - entry.since >= settings.forgetMs()).toList();
        for (Entry entry : gone) {
            view.forget(entry);
            actions.memberChanged(entry.member, null);
        }
        lookWhetherIsolated();
    }

    private void send(Message.Kind kind, long its, String to, InetSocketAddress at, Entry entry) {
        Member member = entry.member;
        // Whoever is suspected hears of it first, and can contradict.
        boolean owed = member.state() == State.FAULTY
                || settings.lifeguard() && member.state() == State.SUSPECT;
        send(kind, its, to, at, member.address(), owed && member.incarnation() > 0
                ? List.of(MemberUpdate.of(member, self.name())) : List.of());
    }

    private void send(Message.Kind kind, long its, String to, InetSocketAddress at,
            InetSocketAddress address, List<MemberUpdate> first) {
        int left = Codec.LARGEST - Codec.headSize(fleet, to, self) - Codec.size(notice);
        for (MemberUpdate item : first) {
            left -= Codec.size(item);
        }
        List<MemberUpdate> all = new ArrayList<>(first);
        all.addAll(news.take(left, view.present() + 1));
        actions.send(address, new Message(kind, its, to, at, self, digest(), List.copyOf(all),
                notice));
    }
}
