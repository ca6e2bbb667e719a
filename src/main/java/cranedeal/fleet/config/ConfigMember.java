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
 * Runs a {@link ConfigFollower} on a member's event loop. Its calls go over the member's address; disk access
 * and applying sections run on another thread, so that neither blocks the loop.
 */
public final class ConfigMember implements Extension {

    private static final Logger LOG = Logger.getLogger(ConfigMember.class.getPackageName());
    private static final double NANOS_PER_MS = 1e6;
    private static final long THREAD_IDLE_S = 5;
    /**
     * Bytes per second, and burst, that one member serves to others. The first member with a version is asked
     * by many at once; the rest soon find the version on other members.
     */
    private static final int SERVED_BYTES_PER_S = 8_000;
    /** Size of a request and its answer without the body: request line, status line, headers. */
    static final int CALL_BYTES = 350;

    /** Applies sections to the process. */
    public interface SectionApplier {

        /**
         * Applies a section as a whole; null means that only the process's own file counts. May block. If it
         * throws {@link RefusedException}, nothing has changed.
         */
        void apply(byte[] section) throws RefusedException;
    }

    /** A section that cannot be applied. */
    public static final class RefusedException extends Exception {

        private static final long serialVersionUID = 1;
        private final String key;

        /**
         * Creates a refusal.
         *
         * @param key the invalid key; empty if the cause is not a single key
         */
        public RefusedException(String key, String reason) {
            super(reason);
            this.key = key;
        }
    }

    /** Persists a member's configuration state; both methods may block on a disk. */
    public interface StateStore {

        /** A store that keeps nothing. */
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

        /** Returns the last bytes written; null if there are none. */
        byte[] read() throws IOException;

        /** Replaces the stored bytes. */
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

    /** The same with its own thread, which exists only while there is work. */
    public ConfigMember(FleetMember member, ConfigFollower.Settings settings, StateStore stateStore,
            SectionApplier sectionApplier,
            long seed) {
        this(member, settings, stateStore, sectionApplier, seed, newSingleThreadExecutor());
    }

    /**
     * Creates a member that follows the fleet's configuration once {@link FleetMember#start} is called.
     *
     * @param seed the random seed, which must differ in each process
     * @param executor runs one task at a time, in order
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

    /** Restores the last configuration at once, even while an upgrade's other process is the member. */
    @Override
    public void starting() {
        executor.execute(() -> {
            FollowerState kept = FollowerState.EMPTY;
            try {
                byte[] bytes = stateStore.read();
                kept = bytes == null ? kept : FollowerState.parse(bytes);
            } catch (IOException | RuntimeException e) {
                LOG.warning("cannot read the stored configuration, so it is requested from the fleet: "
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

    /** Runs a task on the loop and schedules the follower's next tick. */
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

    /** The status for operators. */
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
                    LOG.warning("trying version " + id + " failed: " + e);
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
                    LOG.warning("cannot store the configuration in force: " + e.getMessage());
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
