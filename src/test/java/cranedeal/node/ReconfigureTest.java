package cranedeal.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that a reloaded configuration is applied as a whole, or not at all. */
@Timeout(60)
class ReconfigureTest {

    @TempDir
    private Path folder;

    private void reload(NodeFixture fixture, String text) throws Exception {
        Path file = folder.resolve("config.json");
        Files.writeString(file, text);
        fixture.node.reload(file.toString());
    }

    private static String rename(NodeFixture fixture, String from, String to) {
        return fixture.config().replace("\"name\":\"" + from + "\"", "\"name\":\"" + to + "\"");
    }

    private static void assertMetric(NodeFixture fixture, String line) {
        assertTrue(fixture.node.stats().contains("edge_proxy." + line + "\n"), fixture.node.stats());
    }

    private static int status(NodeFixture fixture, String request) throws Exception {
        HttpPeer caller = fixture.caller();
        caller.write(request);
        return caller.read().status();
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "\"deadline\":2500.0|\"deadline\":0",
        "\"deadline\":2500.0|\"deadline\":-5",
        "\"deadline\":2500.0|\"deadline\":\"2500\"",
        "\"deadline\":2500.0|\"deadline\":null",
        "\"deadline\":2500.0|\"deadline\":1e999",
        "\"deadline\":2500.0,|",
        "\"attemptsCap\":4|\"attemptsCap\":0",
        "\"attemptsCap\":4|\"attemptsCap\":\"4\"",
        "\"attemptsCap\":4|\"attemptsCap\":true",
        "\"attemptsCap\":4,|",
        "\"worth\":2.0,|",
        "\"memorySpan\":4000.0,|",
        "\"name\":\"n0\",|",
        "\"seed\":\"8c1f30d27a5be964\",|",
        "\"familyInfo\":{\"passesDeadline\":true},|",
        "\"worthBy\":\"request\",|",
        "\"name\":\"look-up\"|\"name\":\"credit-spend\"",
        "\"zones\":[\"dakar-a\"]|\"zones\":[\"dakar-b\"]",
        "\"settings\"|\"setting\""})
    void anInvalidFileChangesNothing(String from, String to) throws Exception {
        try (NodeFixture fixture = new NodeFixture().start(); TestServer moved = new TestServer()) {
            String good = fixture.config().replace(fixture.discovery.address(), moved.address())
                    .replace("\"name\":\"tile-order\"", "\"name\":\"tile-view\"");
            String bad = good.replace(from, to == null ? "" : to);
            assertTrue(!bad.equals(good));
            reload(fixture, bad);
            assertMetric(fixture, "reload_failure=1");
            assertMetric(fixture, "reload_success=0");
            assertTrue(!fixture.node.stats().contains("tile-view"));
            fixture.assertServes();
        }
    }

    @Test
    void anEmptyOrTruncatedFileChangesNothing() throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            String good = fixture.config();
            int tried = 0;
            for (int length = 0; length < good.strip().length(); length += 97) {
                reload(fixture, good.substring(0, length));
                tried++;
            }
            reload(fixture, good + good);
            assertMetric(fixture, "reload_failure=" + (tried + 1));
            fixture.assertServes();
        }
    }

    @Test
    void classesChangeWhileRequestsInProgressKeepTheirOwn() throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            HttpPeer caller = fixture.caller();
            caller.write(NodeFixture.spend("1", "x"));
            HttpPeer upstream = fixture.upstreams.get(0).accept();
            upstream.read();
            reload(fixture, rename(fixture, "credit-spend", "debit"));
            assertMetric(fixture, "reload_success=1");
            assertMetric(fixture, "success.debit=0");
            upstream.write(NodeFixture.ok("served"));
            assertEquals("served", caller.read().body());
            assertMetric(fixture, "success.credit-spend=1");
            assertEquals(400, status(fixture, NodeFixture.spend("2", "x")));
            fixture.balancer.onRequest = request -> fixture.balancer.actions.refuse(request.id(), 0);
            assertEquals(503, status(fixture, NodeFixture.spend("3", "x").replace("credit-spend", "debit")));
            reload(fixture, fixture.config());
            assertMetric(fixture, "success.credit-spend=1");
            assertMetric(fixture, "overload.debit=1");
        }
    }

    @Test
    void stricterIdempotencyAndFewerAttemptsApplyToNewRequests() throws Exception {
        try (NodeFixture fixture = new NodeFixture().start()) {
            fixture.upstreams.get(0).refuseConnections();
            fixture.balancer.sendUntilNotSent(0);
            reload(fixture, fixture.config().replace("\"attemptsCap\":4", "\"attemptsCap\":2")
                    .replace("\"idempotency\":\"idempotent\"", "\"idempotency\":\"at_most_once\""));
            assertMetric(fixture, "reload_success=1");
            assertEquals(400, status(fixture, NodeFixture.get("1", "10")));
            assertEquals(503, status(fixture, NodeFixture.spend("2", "x")));
            assertEquals(3, fixture.balancer.outcomes.size());
        }
    }
}
