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
 * Has what the module learns written down now and then, and reads it at the next start. It asks the module on
 * the node's loop, and writes elsewhere.
 */
final class WarmStateSaver {

    private static final long LEAST_EVERY_MS = 1_000;
    /** The pause after a write is so many times as long as that took, which bounds its share of the core. */
    private static final long PAUSE = 200;
    /** Told only so often, however often it fails. */
    private static final double TELL_EVERY_MS = 60_000;

    private final WarmStateFile file;
    private final Clock clock;
    private double toldAt = Double.NEGATIVE_INFINITY;

    WarmStateSaver(WarmStateFile file, Clock clock) {
        this.file = file;
        this.clock = clock;
    }

    /** Tells the module what an earlier process had learnt; a file that can't be trusted is only told of. */
    WarmStateFile.Snapshot read() {
        try {
            WarmStateFile.Snapshot kept = file.read();
            if (kept != null && kept.savedAt() > clock.now()) {
                throw new IOException("it was written in the future, so its age is not known");
            }
            return kept;
        } catch (IOException e) {
            Node.LOG.warning("starts with nothing learnt: " + e.getMessage());
            return null;
        }
    }

    /** Gives the module what was read, before its first list. */
    void recall(WarmStateFile.Snapshot kept, LoadBalancer balancer) {
        double now = clock.now();
        double age = now - kept.savedAt();
        balancer.restoreWarmState(now, kept.state(), age);
        Node.LOG.info(String.format("recalls what was learnt %.0f ms ago of %d upstreams", age,
                kept.state().upstreams().size()));
    }

    /**
     * Writes down what the module learns, again and again.
     *
     * @param loop where the module may be asked
     * @param writer where a disk may be waited for
     * @param last whether this is the last of the processes of its balancer, whose word counts
     */
    void keep(EventLoop loop, Executor writer, Supplier<WarmState> learnt, BooleanSupplier last) {
        again(LEAST_EVERY_MS, loop, writer, learnt, last);
    }

    private void again(long afterMs, EventLoop loop, Executor writer, Supplier<WarmState> learnt,
            BooleanSupplier last) {
        if (loop.isShuttingDown()) {
            return;
        }
        loop.schedule(() -> {
            if (!last.getAsBoolean()) {
                again(LEAST_EVERY_MS, loop, writer, learnt, last);
                return;
            }
            WarmStateFile.Snapshot kept = new WarmStateFile.Snapshot(clock.now(), learnt.get());
            writer.execute(() -> {
                double begun = clock.now();
                write(kept);
                long took = (long) (clock.now() - begun);
                again(Math.max(LEAST_EVERY_MS, PAUSE * took), loop, writer, learnt, last);
            });
        }, afterMs, TimeUnit.MILLISECONDS);
    }

    private void write(WarmStateFile.Snapshot kept) {
        try {
            if (!kept.state().upstreams().isEmpty()) {
                file.write(kept);
            }
        } catch (IOException e) {
            if (clock.now() >= toldAt + TELL_EVERY_MS) {
                toldAt = clock.now();
                Node.LOG.warning("what is learnt can't be kept for the next start: " + e);
            }
        }
    }
}
