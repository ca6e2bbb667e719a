package cranedeal.fleet.config;

import com.fasterxml.jackson.databind.node.ObjectNode;
import cranedeal.fleet.membership.CallReply;
import cranedeal.fleet.membership.Extension;
import cranedeal.fleet.membership.FleetMember;
import cranedeal.fleet.membership.Member;
import cranedeal.fleet.membership.VersionNotice;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;

/**
 * Runs a {@link ConfigFollower} in a member of the fleet: on the member's loop, its calls over the member's
 * address, its disk and its trials on another thread, so that neither keeps the loop waiting.
 */
public final class ConfigMember implements Extension {

    private static final Logger LOG = Logger.getLogger(ConfigMember.class.getPackageName());
    private static final double NANOS_PER_MS = 1e6;
    private static final long THREAD_IDLE_S = 5;
    /**
     * How many bytes one member serves others in a second, with a burst of as many: who has a version first
     * is asked by many at once, and the rest find it with others soon.
     */
    private static final int SERVED_BYTES_PER_S = 8_000;
    /** Question and answer without the body: request line, status line, headers. */
    static final int CALL_BYTES = 350;

    /** Whether a section can be gone by. */
    public interface SectionApplier {

        /**
         * Tries a section whole, and goes by it from then on if it can; null is for none, so that only what
         * the process has of its own counts. May take its time. Throws {@link RefusedException}, and then
         * all is as before.
         */
        void apply(byte[] section) throws RefusedException;
    }

    /** A section can't be gone by. */
    public static final class RefusedException extends Exception {

        private static final long serialVersionUID = 1;
        private final String key;

        /**
         * Says why.
         *
         * @param key the key that is at fault; empty if it is none alone
         */
        public RefusedException(String key, String reason) {
            super(reason);
            this.key = key;
        }
    }

    /** Where a member keeps what it has; either may wait for a disk. */
    public interface StateStore {

        /** Keeps nothing. */
        StateStore NONE = new StateStore() {

            @Override
            public byte[] read() {
                return null;
            }

            @Override
            public void write(byte[] bytes) {
                // Nothing is kept.
            }
        };

        /** What was written last; null if nothing was. */
        byte[] read() throws IOException;

        /** Keeps it in place of what was there. */
        void write(byte[] bytes) throws IOException;
    }

    private final FleetMember member;
    private final ConfigFollower.Settings settings;
    private final StateStore stateStore;
    private final SectionApplier sectionApplier;
    private final Executor executor;
    private final ConfigFollower follower;
    private final TokenBucket servingBudget = servingBudget();
    private double nextTickAt = Double.POSITIVE_INFINITY;
    private boolean started;

    /** The same with a thread of its own, which is there only while there is something to do. */
    public ConfigMember(FleetMember member, ConfigFollower.Settings settings, StateStore stateStore,
            SectionApplier sectionApplier,
            long seed) {
        this(member, settings, stateStore, sectionApplier, seed, newSingleThreadExecutor());
    }

    /**
     * A member that goes by the fleet's configuration, once {@link FleetMember#start} is called.
     *
     * @param seed of whatever is drawn, which must be another one in each process
     * @param executor does one thing at a time, in order
     */
    public ConfigMember(FleetMember member, ConfigFollower.Settings settings, StateStore stateStore,
            SectionApplier sectionApplier,
            long seed, Executor executor) {
        this.member = member;
        this.settings = settings;
        this.stateStore = stateStore;
        this.sectionApplier = sectionApplier;
        this.executor = executor;
        follower = new ConfigFollower(settings, seed, new FollowerActions());
        member.setExtension(this);
    }

    static TokenBucket servingBudget() {
        return new TokenBucket(SERVED_BYTES_PER_S, SERVED_BYTES_PER_S);
    }

    private static Executor newSingleThreadExecutor() {
        ThreadPoolExecutor pool = new ThreadPoolExecutor(1, 1, THREAD_IDLE_S, TimeUnit.SECONDS,
                new LinkedBlockingQueue<>(), new DefaultThreadFactory("config", true));
        pool.allowCoreThreadTimeOut(true);
        return pool;
    }

    /** What was in force before is so again at once, also while an upgrade's other process is the member. */
    @Override
    public void starting() {
        executor.execute(() -> {
            FollowerState kept = FollowerState.EMPTY;
            try {
                byte[] bytes = stateStore.read();
                kept = bytes == null ? kept : FollowerState.parse(bytes);
            } catch (IOException | RuntimeException e) {
                LOG.warning("the configuration of before can't be read, so the fleet is asked for one: "
                        + e.getMessage());
            }
            FollowerState restored = kept;
            onLoop(() -> {
                started = true;
                follower.start(member.now(), restored);
            });
        });
    }

    @Override
    public void started() {
        advertise(follower.held());
    }

    private void advertise(VersionId id) {
        member.advertise(new VersionNotice(id.epoch(), id.number(), settings.service(), settings.zone()));
    }

    /** Does something on the loop, and sees to it that the follower is woken when it wants to be. */
    private void onLoop(Runnable task) {
        member.loop().execute(() -> {
            task.run();
            scheduleTick();
        });
    }

    private void scheduleTick() {
        double next = follower.wakeAt();
        if (started && next < nextTickAt) {
            nextTickAt = next;
            member.loop().schedule(() -> {
                nextTickAt = Double.POSITIVE_INFINITY;
                follower.tick(member.now());
                scheduleTick();
            }, Math.max(0, (long) ((next - member.now()) * NANOS_PER_MS)), TimeUnit.NANOSECONDS);
        }
    }

    @Override
    public void noticeReceived(Member from, VersionNotice notice) {
        follower.noticeReceived(member.now(), from.address(), notice);
        scheduleTick();
    }

    @Override
    public CompletionStage<CallReply> answer(String method, String uri, byte[] body) {
        QueryStringDecoder query = new QueryStringDecoder(uri);
        boolean isKnown = query.path().equals(ConfigCalls.STATUS) || query.path().equals(ConfigCalls.MANIFEST)
                || query.path().equals(ConfigCalls.SECTION);
        if (!isKnown) {
            return null;
        }
        if (!method.equals("GET")) {
            return ConfigCalls.completed(CallReply.text(ConfigCalls.NOT_ALLOWED, "another method is wanted"));
        }
        if (query.path().equals(ConfigCalls.STATUS)) {
            return ConfigCalls.completed(CallReply.json(CallReply.OK, status().toString()
                    .getBytes(StandardCharsets.UTF_8)));
        }
        CallReply reply = query.path().equals(ConfigCalls.MANIFEST)
                ? ConfigCalls.manifestReply(follower.state().held(), query)
                : ConfigCalls.sectionReply(follower.section(ConfigCalls.parameter(query, "checksum")));
        return ConfigCalls.completed(servingBudget.takeWithDebt(member.now(),
                CALL_BYTES + reply.body().length) ? reply
                : CallReply.text(ConfigCalls.UNAVAILABLE, "try again"));
    }

    /** What it has, for operators. */
    private ObjectNode status() {
        FollowerState state = follower.state();
        ObjectNode status = Manifest.JSON.createObjectNode().put("role", member.config().role())
                .put("name", member.config().name()).put("service", settings.service())
                .put("zone", settings.zone()).put("held", follower.held().toString())
                .put("in_force", state.inForce().toString());
        if (state.refusal() != null) {
            status.putObject("refused").put("version", follower.held().toString())
                    .put("key", state.refusal().key()).put("reason", state.refusal().reason());
        }
        return status;
    }

    @Override
    public Map<String, Long> metrics() {
        ConfigFollower.Stats address = follower.stats();
        Map<String, Long> figures = new LinkedHashMap<>();
        figures.put("fleet.config.epoch", address.inForce().epoch());
        figures.put("fleet.config.number", address.inForce().number());
        figures.put("fleet.config.held_number", address.held().number());
        figures.put("fleet.config.refused", address.refused() ? 1L : 0L);
        figures.put("fleet.config.calls", address.calls());
        figures.put("fleet.config.failures", address.failures());
        figures.put("fleet.config.damaged", address.damaged());
        return figures;
    }

    private final class FollowerActions implements ConfigFollower.Actions {

        @Override
        public void requestManifest(long call, InetSocketAddress address, VersionId after) {
            member.call(address, "GET", ConfigCalls.MANIFEST + "?after=" + after, new byte[0])
                    .whenComplete((reply, failure) -> onLoop(() -> manifest(call, reply)));
        }

        private void manifest(long call, CallReply reply) {
            double now = member.now();
            try {
                if (reply != null && reply.status() == ConfigCalls.NO_CONTENT) {
                    follower.manifest(now, call, null);
                } else if (reply != null && reply.status() == CallReply.OK) {
                    follower.manifest(now, call, Manifest.parse(reply.body()));
                } else {
                    follower.callFailed(now, call);
                }
            } catch (IOException e) {
                follower.callFailed(now, call);
            }
        }

        @Override
        public void requestSection(long call, InetSocketAddress address, String checksum) {
            member.call(address, "GET", ConfigCalls.SECTION + "?checksum=" + checksum, new byte[0])
                    .whenComplete((reply, failure) -> onLoop(() -> {
                        if (reply != null && reply.status() == CallReply.OK) {
                            follower.section(member.now(), call, reply.body());
                        } else {
                            follower.callFailed(member.now(), call);
                        }
                    }));
        }

        @Override
        public void apply(VersionId id, byte[] section) {
            executor.execute(() -> {
                FollowerState.Refusal refusal = null;
                try {
                    sectionApplier.apply(section);
                } catch (RefusedException e) {
                    refusal = new FollowerState.Refusal(e.key, e.getMessage());
                } catch (RuntimeException e) {
                    LOG.warning("trying version " + id + " broke off: " + e);
                    refusal = new FollowerState.Refusal("", e.toString());
                }
                FollowerState.Refusal why = refusal;
                onLoop(() -> follower.applied(member.now(), id, why));
            });
        }

        @Override
        public void persist(FollowerState state) {
            executor.execute(() -> {
                try {
                    stateStore.write(state.bytes());
                } catch (IOException | RuntimeException e) {
                    LOG.warning("the configuration in force can't be kept: " + e.getMessage());
                }
            });
        }

        @Override
        public void advertise(VersionId id) {
            ConfigMember.this.advertise(id);
        }

        @Override
        public Collection<InetSocketAddress> coordinators() {
            return member.presentMembers(Coordinator.ROLE).stream().map(Member::address).toList();
        }

        @Override
        public void log(String line) {
            LOG.info(line);
        }
    }
}
