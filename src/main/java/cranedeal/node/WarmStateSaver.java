package cranedeal.node;

import cranedeal.LoadBalancer;
import cranedeal.LoadBalancer.WarmState;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Saves the module's warm-start state periodically, and restores it at the next start. The state is taken
 * from the module on the node's loop, and written to disk on another thread.
 */
final class WarmStateSaver {

    private static final long MIN_INTERVAL_MS = 1_000;
    /** The pause after a write is this many times the duration of the write, which bounds its CPU share. */
    private static final long PAUSE_FACTOR = 200;
    /** The minimum interval between two log lines about failed writes. */
    private static final double LOG_INTERVAL_MS = 60_000;

    private final WarmStateFile file;
    private final Clock clock;
    private double lastLoggedAt = Double.NEGATIVE_INFINITY;

    WarmStateSaver(WarmStateFile file, Clock clock) {
        this.file = file;
        this.clock = clock;
    }

    /** Reads the state of an earlier process; null if there is none. An invalid file is only logged. */
    WarmStateFile.Snapshot read() {
        try {
            WarmStateFile.Snapshot kept = file.read();
            if (kept != null && kept.savedAt() > clock.now()) {
                throw new IOException("its timestamp is in the future, so its age is unknown");
            }
            return kept;
        } catch (IOException e) {
            Node.LOG.warning("starting without warm-start state: " + e.getMessage());
            return null;
        }
    }

    /** Passes a snapshot to the module; must be called before its first list. */
    void restore(WarmStateFile.Snapshot kept, LoadBalancer balancer) {
        double now = clock.now();
        double age = now - kept.savedAt();
        balancer.restoreWarmState(now, kept.state(), age);
        Node.LOG.info(String.format("restored warm-start state saved %.0f ms ago of %d upstreams", age,
                kept.state().upstreams().size()));
    }

    /**
     * Starts to save the module's state periodically.
     *
     * @param loop the loop on which the module may be called
     * @param writer an executor whose tasks may block on disk
     * @param last returns true if no later process of this balancer is serving; only then the state is saved
     */
    void start(EventLoop loop, Executor writer, Supplier<WarmState> learnt, BooleanSupplier last) {
        schedule(MIN_INTERVAL_MS, loop, writer, learnt, last);
    }

    private void schedule(long afterMs, EventLoop loop, Executor writer, Supplier<WarmState> learnt,
            BooleanSupplier last) {
        if (loop.isShuttingDown()) {
            return;
        }
        loop.schedule(() -> {
            if (!last.getAsBoolean()) {
                schedule(MIN_INTERVAL_MS, loop, writer, learnt, last);
                return;
            }
            WarmStateFile.Snapshot kept = new WarmStateFile.Snapshot(clock.now(), learnt.get());
            writer.execute(() -> {
                double begun = clock.now();
                write(kept);
                long took = (long) (clock.now() - begun);
                schedule(Math.max(MIN_INTERVAL_MS, PAUSE_FACTOR * took), loop, writer, learnt, last);
            });
        }, afterMs, TimeUnit.MILLISECONDS);
    }

    private void write(WarmStateFile.Snapshot kept) {
        try {
            if (!kept.state().upstreams().isEmpty()) {
                file.write(kept);
            }
        } catch (IOException e) {
            if (clock.now() >= lastLoggedAt + LOG_INTERVAL_MS) {
                lastLoggedAt = clock.now();
                Node.LOG.warning("cannot save the warm-start state for the next start: " + e);
            }
        }
    }
}
