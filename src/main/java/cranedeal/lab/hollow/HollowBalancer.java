package cranedeal.lab.hollow;

import cranedeal.fleet.membership.FleetMember;
import cranedeal.fleet.membership.PeerStore;
import cranedeal.node.DiscoveryWatch;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;

/**
 * One balancer without its data path. It can be stopped and started again any number of times; the peers that
 * it knew are kept in memory across restarts, as a disk would keep them. Called by one thread at a time.
 */
final class HollowBalancer {

    private final FleetMember.Config config;
    private final Path file;
    private final EventLoop loop;
    private final EventLoop watching;
    private final Executor disk;
    private final LongSupplier seeds;
    private final PeerStore peerStore = new PeerStore() {

        private volatile byte[] kept;

        @Override
        public byte[] read() {
            return kept;
        }

        @Override
        public void write(byte[] bytes) {
            kept = bytes;
        }
    };
    private FleetMember member;
    private DiscoveryWatch watch;
    /** The newest version of the list received from discovery. */
    private volatile long listVersion;

    /**
     * Creates a balancer without starting it.
     *
     * @param file its complete configuration, for its discovery watch; null for no watch
     * @param seeds supplies a different random seed for each start
     */
    HollowBalancer(FleetMember.Config config, Path file, EventLoop loop, EventLoop watching, Executor disk,
            LongSupplier seeds) {
        this.config = config;
        this.file = file;
        this.loop = loop;
        this.watching = watching;
        this.disk = disk;
        this.seeds = seeds;
    }

    String name() {
        return config.name();
    }

    boolean isRunning() {
        return member != null;
    }

    long listVersion() {
        return listVersion;
    }

    /** Starts it unless it is running. */
    void start() throws IOException {
        if (member != null) {
            return;
        }
        if (file != null) {
            watch = DiscoveryWatch.open(watching, file, version -> listVersion = version);
        }
        // Each start gets a new random seed, as each process does in production.
        member = new FleetMember(new FleetMember.Config(config.fleet(), config.name(), config.listen(),
                config.advertise(), List.copyOf(config.seeds()), config.role(), config.version(),
                config.settings(), seeds.getAsLong()), peerStore, loop, disk);
        member.start();
    }

    /** Stops it without notifying other members, like a killed process. */
    void kill() {
        if (member != null) {
            member.handOver();
            clear();
        }
    }

    /** Stops it as SIGTERM does: it notifies the other members that it leaves. */
    void leave() {
        if (member != null) {
            member.leave();
            clear();
        }
    }

    private void clear() {
        member = null;
        if (watch != null) {
            watch.close();
            watch = null;
        }
    }

    /** Returns the membership metrics, at most half a second old; empty if it is not running. */
    Map<String, Long> metrics() {
        return member == null ? Map.of() : member.metrics();
    }
}
