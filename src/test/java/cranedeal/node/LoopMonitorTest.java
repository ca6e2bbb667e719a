package cranedeal.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoRegistration;
import org.junit.jupiter.api.Test;

/** Tests the measured lag and idle time of a loop in virtual time. */
class LoopMonitorTest {

    private static final double EXACT = 2;

    private double now = 1_000;
    private double nextTimerMs = 5;
    private boolean canBlock = true;
    private LoopMonitor monitor;
    /** Actions while the loop waits for its sockets, and while it handles the events that it found. */
    private Runnable wait = () -> { };
    private Runnable read = () -> { };

    LoopMonitorTest() {
        LoopMonitor.wrap(executor -> new Waiting(), () -> now, made -> monitor = made).newHandler(null);
    }

    private final class Waiting implements IoHandler {
        @Override
        public int run(IoHandlerContext context) {
            wait.run();
            read.run();
            return 1;
        }

        @Override
        public IoRegistration register(IoHandle handle) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void wakeup() { }

        @Override
        public boolean isCompatible(Class<? extends IoHandle> type) {
            return true;
        }
    }

    private final class Context implements IoHandlerContext {
        @Override
        public boolean canBlock() {
            return canBlock;
        }

        @Override
        public long delayNanos(long currentTimeNanos) {
            return (long) (nextTimerMs * 1e6);
        }

        @Override
        public long deadlineNanos() {
            throw new UnsupportedOperationException();
        }
    }

    private void poll() {
        monitor.run(new Context());
    }

    @Test
    void dataArrivingWhileTheLoopWaitsHasNoLag() {
        wait = () -> now += 4;
        read = () -> assertEquals(0, monitor.lag());
        poll();
        assertEquals(4, monitor.idleTime(), EXACT);
    }

    @Test
    void dataArrivingWhileTheLoopIsBusyHasLag() {
        poll();
        now += 200;
        canBlock = false;
        read = () -> assertEquals(200, monitor.lag(), EXACT);
        poll();
        assertEquals(0, monitor.idleTime(), EXACT);
        assertEquals(200, monitor.takeLongestBusy(), EXACT);
    }

    /** The process is suspended while it waits, so it wakes long after its next timer was due. */
    @Test
    void dataArrivingWhileTheProcessIsSuspendedHasLag() {
        wait = () -> now += 505;
        read = () -> assertEquals(500, monitor.lag(), EXACT);
        poll();
        assertEquals(5, monitor.idleTime(), EXACT);
    }

    @Test
    void aTimerCountsDataSinceTheLastPollAsUnread() {
        poll();
        now += 120;
        assertEquals(120, monitor.lag(), EXACT);
    }
}
