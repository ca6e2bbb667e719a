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
 * Guards against calls that stay unanswered when a balancer gets more load than its processor can handle. It
 * is a real process on one processor that it shares with a busy process. Throughput is not asserted.
 */
@Timeout(180)
class OverloadTest {

    private static final int SOCKETS = 1_024;
    private static final double CALM_RATE = 50;
    /** Far more than half a processor can handle. */
    private static final double OVERLOAD_RATE = 4_000;
    private static final double OVERLOAD_S = 5;
    private static final double RECOVERY_S = 2;
    private static final double AFTER_S = 2;

    /** The calls under load, those from two seconds after it, and the metrics then. */
    private record Results(DataPathClient.Results load, DataPathClient.Results after, String figures,
            long closed) { }

    private static Results run() throws Exception {
        try (DataPathBench bench = new DataPathBench(new ProgramUnderTest().command(), 25, 0, SOCKETS,
                Integer.MAX_VALUE, new Processor(0, 1))) {
            List<InetSocketAddress> balancer = List.of(bench.listen());
            bench.client().run(balancer, CALM_RATE, RECOVERY_S, 1);
            DataPathClient.Results load = bench.client().run(balancer, OVERLOAD_RATE, OVERLOAD_S, 2);
            long closed = bench.metric("closed_caller_not_taken") + bench.metric("closed_caller_for_room")
                    + bench.metric("closed_silent_caller_for_room");
            bench.client().run(balancer, CALM_RATE, RECOVERY_S, 3);
            DataPathClient.Results after = bench.client().run(balancer, CALM_RATE, AFTER_S, 4);
            return new Results(load, after, bench.metricsText(), closed);
        }
    }

    @Test
    void eachCallIsAnsweredInItsTimeUnderOverload() throws Exception {
        Results seen = run();
        DataPathClient.Results load = seen.load();
        assertEquals(0, load.unanswered(), () -> "under load: " + DataPathStudy.countsOf(load));
        // Beyond the descriptors reserved for callers, a connection is closed unread or between requests.
        // Each such close is counted, and there are no other closes.
        assertEquals(load.ended(), load.failed(), () -> "under load: " + DataPathStudy.countsOf(load));
        assertTrue(load.ended() <= seen.closed(), () -> load.ended() + " ended: " + seen.figures());
        assertTrue(load.served() > 0, () -> "under load: " + DataPathStudy.countsOf(load));
    }

    @Test
    void allIsServedTwoSecondsAfterAnOverload() throws Exception {
        DataPathClient.Results after = run().after();
        assertEquals(after.calls(), after.served(), () -> "after it: " + DataPathStudy.countsOf(after));
    }
}
