package cranedeal.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A process that is told to end while its upstream hangs: what comes later still has its answer. */
@Timeout(60)
class LateRequestTest {

    private static final int CALLERS = 8;
    /** Between requests, so that they come over more than the 0.7 s after which nothing is excused. */
    private static final long GAP_MS = 150;

    @Test
    void requestsAfterSigtermAreAnsweredWhereUpstreamsHang() throws Exception {
        try (NodeFixture fixture = new NodeFixture(); NodeProcess node = new NodeProcess(fixture)) {
            HttpPeer.connectWhenServing(node.address, node.process);
            List<HttpPeer> callers = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                HttpPeer caller = HttpPeer.connect(node.address);
                caller.write(NodeFixture.HEALTH);
                assertEquals(200, caller.read().status());
                callers.add(caller);
            }
            // Nobody reads from the upstream's connections.
            node.process.destroy();
            for (int i = 0; i < CALLERS; i++) {
                TimeUnit.MILLISECONDS.sleep(GAP_MS);
                callers.get(i).write(NodeFixture.get("late" + i, "10"));
            }
            for (int i = 0; i < CALLERS; i++) {
                HttpPeer.Message answer = callers.get(i).read();
                assertNotNull(answer, "request " + i + " has no answer");
                assertTrue(answer.status() >= 500, answer.firstLine());
                assertNull(callers.get(i).read(), "its connection ends in order");
            }
            node.assertTerminated();
        }
    }
}
