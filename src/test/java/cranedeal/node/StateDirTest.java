package cranedeal.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cranedeal.fleet.store.FolderDisk;
import cranedeal.fleet.store.Repair;
import cranedeal.fleet.store.StoreLimits;
import cranedeal.node.discovery.UpstreamList;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests that operators' overrides are saved in the configured state folder, and survive a kill of the
 * process.
 */
@Timeout(120)
class StateDirTest {

    @TempDir
    private Path folder;

    private NodeFixture fixture() throws Exception {
        NodeFixture fixture = new NodeFixture(2);
        fixture.adminEnabled = true;
        fixture.stateDir = folder.resolve("state");
        return fixture;
    }

    private static String stats(NodeFixture fixture) throws Exception {
        try (HttpPeer operator = HttpPeer.connect(fixture.node.adminAddress())) {
            operator.write("GET /ops/stats HTTP/1.1\r\nHost: ops\r\n\r\n");
            return operator.read().body();
        }
    }

    @Test
    void aBadFleetSettingIsReportedByItsKey() throws Exception {
        String good = "\"fleet\":{\"name\":\"clinics\",\"listen\":\"127.0.0.1:9301\","
                + "\"seeds\":[\"127.0.0.1:9302\"]}";
        Map<String, String> wrong = Map.of("clinics", "a b", "127.0.0.1:9301", "8.8.8.8:9301",
                "127.0.0.1:9302", "no address", "\"seeds\"", "\"seedz\"", "}", ",\"state_dir\":\"\"}",
                "{", "{\"probe_period_ms\":1,");
        Map<String, String> expectedKey = Map.of("clinics", "fleet.name", "127.0.0.1:9301", "fleet.listen",
                "127.0.0.1:9302", "fleet.seeds[0]", "\"seeds\"", "fleet.seedz", "}", "fleet.state_dir",
                "{", "fleet.probe_period_ms");
        Path file = folder.resolve("config.json");
        try (NodeFixture fixture = fixture()) {
            Files.writeString(file, fixture.config().replaceFirst("\\{", "{" + good + ","));
            assertEquals("clinics", NodeConfig.read(file.toString()).fleet().name());
            for (Map.Entry<String, String> change : wrong.entrySet()) {
                Files.writeString(file, fixture.config().replaceFirst("\\{", "{"
                        + good.replace(change.getKey(), change.getValue()) + ","));
                ConfigException e = assertThrows(ConfigException.class,
                        () -> NodeConfig.read(file.toString()));
                assertTrue(e.getMessage().contains(file + ": " + expectedKey.get(change.getKey())),
                        e.getMessage());
            }
        }
    }

    private static String id(int number) {
        return "s-%08x".formatted(number);
    }

    @Test
    void disabledUpstreamsAndDrainSurviveAKill() throws Exception {
        try (NodeFixture fixture = fixture().start()) {
            assertEquals(200, fixture.adminRequest("PUT", "/ops/upstreams/down/" + id(0)));
            assertEquals(200, fixture.adminRequest("PUT", "/ops/upstreams/down/" + id(1)));
            assertEquals(200, fixture.adminRequest("PUT", "/ops/upstreams/up/" + id(1)));
            assertEquals(404, fixture.adminRequest("PUT", "/ops/upstreams/down/never-listed"));
            assertEquals(200, fixture.adminRequest("PUT", "/ops/drain/start"));
        }
        try (NodeFixture fixture = fixture().start()) {
            assertEquals(503, fixture.adminRequest("GET", "/ops/readiness"));
            assertEquals(200, fixture.adminRequest("PUT", "/ops/drain/stop"));
            assertEquals(200, fixture.adminRequest("GET", "/ops/readiness"));
            assertTrue(fixture.balancer.banned.contains(UpstreamList.numericId(id(0))), "module notified");
            assertEquals(1, fixture.balancer.banned.size());
            assertTrue(stats(fixture).contains("orders_unknown=0"));
        }
    }

    @Test
    void overridesOfTheSharedFolderAreMigratedOnce() throws Exception {
        Path old = Files.createDirectory(folder.resolve("tmp"));
        new OperatorOverrides(Set.of(id(1)), false, 3).write(old);
        OverrideStore store = Fleet.overrideStore(folder.resolve("state"), old);
        assertEquals(Set.of(id(1)), store.read().disabledUpstreams());
        assertEquals(Set.of(id(0), id(1)),
                store.change(overrides -> overrides.withUpstream(id(0), true)).disabledUpstreams());
        new OperatorOverrides(Set.of("another"), false, 9).write(old);
        assertEquals(Set.of(id(0), id(1)), store.read().disabledUpstreams());
    }

    @Test
    void manyChangesLeaveASmallFolderWithTheLastOne() throws Exception {
        OverrideStore store = Fleet.overrideStore(folder, null);
        for (int i = 0; i < 1_000; i++) {
            String id = "s-" + i % 7;
            boolean banned = i % 3 != 0;
            OperatorOverrides changed = store.change(
                    overrides -> overrides.withUpstream(id, banned).withReload());
            assertEquals(i + 1, changed.reloads());
        }
        assertEquals(1_000, store.read().reloads());
        try (var files = Files.list(folder)) {
            assertTrue(files.count() <= 6);
        }
    }

    @Test
    void aFolderThatCannotBeCreatedDoesNotPreventServing() throws Exception {
        try (NodeFixture fixture = fixture()) {
            fixture.stateDir = Path.of("/proc/self/no-such-folder");
            fixture.start();
            fixture.assertServes();
            assertEquals(500, fixture.adminRequest("PUT", "/ops/upstreams/down/" + id(0)));
            assertTrue(fixture.balancer.banned.isEmpty());
        }
    }

    @Test
    void aDamagedFolderIsReportedAndRejectsOverridesUntilRepaired() throws Exception {
        Path state = folder.resolve("state");
        try (NodeFixture fixture = fixture().start()) {
            for (int i = 0; i < 3; i++) {
                assertEquals(200, fixture.adminRequest("PUT", "/ops/upstreams/down/" + id(i % 2)));
            }
        }
        String journal = new FolderDisk(state).fileNames().get(0);
        byte[] bytes = Files.readAllBytes(state.resolve(journal));
        bytes[40] ^= 1;
        Files.write(state.resolve(journal), bytes);
        try (NodeFixture fixture = fixture().start()) {
            fixture.assertServes();
            assertTrue(stats(fixture).contains("orders_unknown=1"));
            assertEquals(500, fixture.adminRequest("PUT", "/ops/upstreams/down/" + id(0)));
            assertTrue(fixture.balancer.banned.isEmpty(), "nothing was changed");
            Repair.repair(state, StoreLimits.DEFAULT, state.resolve("before"));
            assertEquals(200, fixture.adminRequest("PUT", "/ops/upstreams/down/" + id(0)));
            assertTrue(stats(fixture).contains("orders_unknown=0"));
        }
    }
}
