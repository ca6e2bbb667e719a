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
            WarmStateFile.Snapshot snapshot = file.read();
            if (snapshot != null && snapshot.savedAt() > clock.now()) {
                throw new IOException("its timestamp is in the future, so its age is unknown");
            }
            return snapshot;
        } catch (IOException e) {
            Node.LOG.warning("starting without warm-start state: " + e.getMessage());
            return null;
        }
    }

    /** Passes a snapshot to the module; must be called before its first list. */
    void restore(WarmStateFile.Snapshot snapshot, LoadBalancer balancer) {
        double now = clock.now();
        double age = now - snapshot.savedAt();
        balancer.restoreWarmState(now, snapshot.state(), age);
        Node.LOG.info(String.format("restored warm-start state saved %.0f ms ago of %d upstreams", age,
                snapshot.state().upstreams().size()));
    }

    /**
     * Starts to save the module's state periodically.
     *
     * @param loop the loop on which the module may be called
     * @param writer an executor whose tasks may block on disk
     * @param isLast returns true if no later process of this balancer is serving; only then the state is
     *     saved
     */
    void start(EventLoop loop, Executor writer, Supplier<WarmState> state, BooleanSupplier isLast) {
        schedule(MIN_INTERVAL_MS, loop, writer, state, isLast);
    }

    private void schedule(long delayMs, EventLoop loop, Executor writer, Supplier<WarmState> state,
            BooleanSupplier isLast) {
        if (loop.isShuttingDown()) {
            return;
        }
        loop.schedule(() -> {
            if (!isLast.getAsBoolean()) {
                schedule(MIN_INTERVAL_MS, loop, writer, state, isLast);
                return;
            }
            WarmStateFile.Snapshot snapshot = new WarmStateFile.Snapshot(clock.now(), state.get());
            writer.execute(() -> {
                double startedAt = clock.now();
                write(snapshot);
                long durationMs = (long) (clock.now() - startedAt);
                schedule(Math.max(MIN_INTERVAL_MS, PAUSE_FACTOR * durationMs), loop, writer, state, isLast);
            });
        }, delayMs, TimeUnit.MILLISECONDS);
    }

    private void write(WarmStateFile.Snapshot snapshot) {
        try {
            if (!snapshot.state().upstreams().isEmpty()) {
                file.write(snapshot);
            }
        } catch (IOException e) {
            if (clock.now() >= lastLoggedAt + LOG_INTERVAL_MS) {
                lastLoggedAt = clock.now();
                Node.LOG.warning("cannot save the warm-start state for the next start: " + e);
            }
        }
    }
}
