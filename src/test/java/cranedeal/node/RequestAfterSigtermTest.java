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

/** Requests that arrive after SIGTERM, while the upstream hangs, still get an answer. */
@Timeout(60)
class RequestAfterSigtermTest {

    private static final int CALLERS = 8;
    /** Spreads the requests over more than 0.7 s after SIGTERM; later requests must be answered as well. */
    private static final long REQUEST_INTERVAL_MS = 150;

    @Test
    void requestsAfterSigtermAreAnsweredIfUpstreamsHang() throws Exception {
        try (NodeFixture fixture = new NodeFixture(); NodeProcess node = new NodeProcess(fixture)) {
            HttpPeer.connectWhenServing(node.address, node.process);
            List<HttpPeer> callers = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                HttpPeer caller = HttpPeer.connect(node.address);
                caller.write(NodeFixture.HEALTH);
                assertEquals(200, caller.read().status());
                callers.add(caller);
            }
            // The test never reads from the upstream's connections.
            node.process.destroy();
            for (int i = 0; i < CALLERS; i++) {
                TimeUnit.MILLISECONDS.sleep(REQUEST_INTERVAL_MS);
                callers.get(i).write(NodeFixture.get("late" + i, "10"));
            }
            for (int i = 0; i < CALLERS; i++) {
                HttpPeer.Message answer = callers.get(i).read();
                assertNotNull(answer, "request " + i + " got no answer");
                assertTrue(answer.status() >= 500, answer.firstLine());
                assertNull(callers.get(i).read(), "the connection must end without another answer");
            }
            node.assertTerminated();
        }
    }
}
