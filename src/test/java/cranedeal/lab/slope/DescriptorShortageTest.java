package cranedeal.lab.slope;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cranedeal.lab.LabCommand.ProgramUnderTest;
import cranedeal.lab.slope.DataPathBench.Processor;
import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against a balancer that leaves calls unanswered, or does not recover, after its file descriptors
 * run out and socket() and accept() fail for a while. */
@Timeout(120)
class DescriptorShortageTest {

    private static final int UPSTREAMS = 300;
    private static final int SOCKETS = 256;
    private static final int USUAL = 4_096;
    private static final double RATE = 150;
    private static final double SECONDS = 2;

    @Test
    void recoversFromATemporaryShortageOfDescriptors() throws Exception {
        try (DataPathBench bench = new DataPathBench(new ProgramUnderTest().command(), UPSTREAMS, 0, SOCKETS,
                SOCKETS / 3, Processor.ANY)) {
            List<InetSocketAddress> balancer = List.of(bench.listen());
            bench.client().run(balancer, RATE, SECONDS, 1);
            bench.balancer().limitDescriptors(bench.descriptors());
            DataPathClient.Results shortOfSockets = bench.client().run(balancer, RATE, SECONDS, 2);
            bench.balancer().limitDescriptors(USUAL);
            bench.client().run(balancer, RATE, SECONDS, 3);
            DataPathClient.Results after = bench.client().run(balancer, RATE, SECONDS, 4);
            assertEquals(0, shortOfSockets.unanswered(),
                    () -> DataPathStudy.countsOf(shortOfSockets).toString());
            assertTrue(bench.balancer().isAlive());
            assertEquals(after.calls(), after.served(), () -> "after it: " + DataPathStudy.countsOf(after));
        }
    }
}
