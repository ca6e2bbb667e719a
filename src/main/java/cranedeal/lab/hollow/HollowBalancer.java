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
 * One balancer without its data path. It can be ended and started again any number of times; whom it knew
 * outlasts that, in memory, as a disk would keep it. Called by one thread at a time.
 */
final class HollowBalancer {

    private final FleetMember.Config config;
    private final Path file;
    private final EventLoop loop;
    private final EventLoop watching;
    private final Executor disk;
    private final LongSupplier seeds;
    private final PeerStore book = new PeerStore() {

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
    /** The newest version of the list that discovery has told. */
    private volatile long listed;

    /**
     * One that has not started.
     *
     * @param file its whole configuration, by which it watches discovery; null if it does not
     * @param seeds another number for each start
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

    long listed() {
        return listed;
    }

    /** Starts it, if it does not run. */
    void start() throws IOException {
        if (member != null) {
            return;
        }
        if (file != null) {
            watch = DiscoveryWatch.open(watching, file, version -> listed = version);
        }
        // Another process of it has another number, as in the program.
        member = new FleetMember(new FleetMember.Config(config.fleet(), config.name(), config.listen(),
                config.advertise(), List.copyOf(config.seeds()), config.role(), config.version(),
                config.settings(), seeds.getAsLong()), book, loop, disk);
        member.start();
    }

    /** Ends it without a word, as a process that is killed. */
    void kill() {
        if (member != null) {
            member.handOver();
            ended();
        }
    }

    /** Ends it as SIGTERM does: it tells the others that it leaves. */
    void leave() {
        if (member != null) {
            member.leave();
            ended();
        }
    }

    private void ended() {
        member = null;
        if (watch != null) {
            watch.close();
            watch = null;
        }
    }

    /** What membership has counted, at most half a second old; empty if it does not run. */
    Map<String, Long> figures() {
        return member == null ? Map.of() : member.metrics();
    }
}
