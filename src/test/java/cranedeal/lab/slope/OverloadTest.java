package cranedeal.lab.slope;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cranedeal.lab.LabCommand.ProgramUnderTest;
import cranedeal.lab.slope.DataPathBench.Processor;
import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A balancer that is offered more than its processor carries: a real process on one processor, which a busy
 * process shares. How much it serves is not asserted; that each call has its answer is.
 */
@Timeout(180)
class OverloadTest {

    private static final int SOCKETS = 1_024;
    private static final double CALM_RATE = 50;
    /** Far over what half a processor carries. */
    private static final double OVERLOAD_RATE = 4_000;
    private static final double OVERLOAD_S = 5;
    private static final double RECOVERY_S = 2;
    private static final double AFTER_S = 2;

    /** What became of the calls under load, of those from two seconds after it, and the figures then. */
    private record Seen(DataPathClient.Results load, DataPathClient.Results after, String figures,
            long closed) { }

    private static Seen play() throws Exception {
        try (DataPathBench stage = new DataPathBench(new ProgramUnderTest().command(), 25, 0, SOCKETS,
                Integer.MAX_VALUE, new Processor(0, 1))) {
            List<InetSocketAddress> balancer = List.of(stage.listen());
            stage.client().run(balancer, CALM_RATE, RECOVERY_S, 1);
            DataPathClient.Results load = stage.client().run(balancer, OVERLOAD_RATE, OVERLOAD_S, 2);
            long closed = stage.metric("closed_caller_not_taken") + stage.metric("closed_caller_for_room")
                    + stage.metric("closed_silent_caller_for_room");
            stage.client().run(balancer, CALM_RATE, RECOVERY_S, 3);
            DataPathClient.Results after = stage.client().run(balancer, CALM_RATE, AFTER_S, 4);
            return new Seen(load, after, stage.metricsText(), closed);
        }
    }

    @Test
    void eachCallIsAnsweredInItsTimeUnderOverload() throws Exception {
        Seen seen = play();
        DataPathClient.Results load = seen.load();
        assertEquals(0, load.unanswered(), () -> "under load: " + DataPathStudy.countsOf(load));
        // Beyond the descriptors that the terms give to callers a connection is closed unread, or between
        // requests; each such close is counted, and there is no other.
        assertEquals(load.ended(), load.failed(), () -> "under load: " + DataPathStudy.countsOf(load));
        assertTrue(load.ended() <= seen.closed(), () -> load.ended() + " ended: " + seen.figures());
        assertTrue(load.served() > 0, () -> "under load: " + DataPathStudy.countsOf(load));
    }

    @Test
    void allIsServedTwoSecondsAfterAnOverload() throws Exception {
        DataPathClient.Results after = play().after();
        assertEquals(after.calls(), after.served(), () -> "after it: " + DataPathStudy.countsOf(after));
    }
}
