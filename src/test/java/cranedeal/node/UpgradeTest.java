package cranedeal.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests a hot restart: two processes at one address, one of which replaces the other. */
@Timeout(120)
class UpgradeTest {

    @TempDir
    private Path folder;
    private NodeFixture fixture;
    private InetSocketAddress address;
    private final List<Process> processes = new ArrayList<>();

    @BeforeEach
    void startFixture() throws Exception {
        fixture = new NodeFixture();
        fixture.adminEnabled = true;
        address = free();
    }

    @AfterEach
    void end() throws Exception {
        processes.forEach(Process::destroyForcibly);
        fixture.close();
    }

    private static InetSocketAddress free() throws IOException {
        try (ServerSocket free = new ServerSocket(0)) {
            return new InetSocketAddress("127.0.0.1", free.getLocalPort());
        }
    }

    /** Starts a process and returns the address of its admin endpoint once the process is ready. */
    private InetSocketAddress start() throws Exception {
        InetSocketAddress admin = free();
        Path file = Files.createTempFile(folder, "node", ".json");
        Files.writeString(file, fixture.config()
                .replace("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"127.0.0.1:" + address.getPort() + "\"")
                .replace("\"admin_addr\":\"127.0.0.1:0\"",
                        "\"admin_addr\":\"127.0.0.1:" + admin.getPort() + "\""));
        Process process = DrainTest.start(folder, file, "serve");
        processes.add(process);
        while (operatorCall(admin, "GET", "/ops/readiness") != 200) {
            assertTrue(process.isAlive());
            Thread.onSpinWait();
        }
        return admin;
    }

    /** Makes an operator's call and returns its status; 0 if the connection is refused. */
    private static int operatorCall(InetSocketAddress admin, String method, String path) throws IOException {
        try (HttpPeer operator = HttpPeer.connect(admin)) {
            operator.write(method + " " + path + " HTTP/1.1\r\nHost: ops\r\n\r\n");
            return operator.read().status();
        } catch (java.net.ConnectException e) {
            return 0;
        }
    }

    /** The metric of disabled upstreams, as shown by a process. */
    private static String disabled(InetSocketAddress admin) throws IOException {
        try (HttpPeer operator = HttpPeer.connect(admin)) {
            operator.write("GET /ops/stats HTTP/1.1\r\nHost: ops\r\n\r\n");
            return operator.read().body().lines().filter(line ->
                    line.contains("targets_disabled")).findFirst()
                    .orElseThrow();
        }
    }

    private void killLast() throws InterruptedException {
        processes.get(processes.size() - 1).destroyForcibly().waitFor();
    }

    @Test
    void overridesInTheStateFolderSurviveEveryProcess() throws Exception {
        fixture.stateDir = folder.resolve("state");
        InetSocketAddress first = start();
        assertEquals(200, operatorCall(first, "PUT", "/ops/upstreams/down/s-00000000"));
        InetSocketAddress second = start();
        assertEquals("edge_proxy.targets_disabled=1", disabled(second));
        // Each process applies the overrides set at the other one.
        assertEquals(200, operatorCall(second, "PUT", "/ops/upstreams/up/s-00000000"));
        while (!disabled(first).endsWith("=0")) {
            Thread.onSpinWait();
        }
        assertEquals(200, operatorCall(first, "PUT", "/ops/upstreams/down/s-00000000"));
        processes.get(0).destroyForcibly().waitFor();
        killLast();
        InetSocketAddress third = start();
        assertEquals("edge_proxy.targets_disabled=1", disabled(third));
        assertEquals(200, operatorCall(third, "PUT", "/ops/upstreams/up/s-00000000"));
        killLast();
        assertEquals("edge_proxy.targets_disabled=0", disabled(start()));
        assertFalse(Files.exists(folder.resolve("orders")), "not saved in the shared folder");
    }

    /** Returns true if the last process logged that it restored the warm-start state of an earlier one. */
    private boolean lastRestoredWarmState() throws IOException {
        BufferedReader log = processes.get(processes.size() - 1).errorReader();
        String line = log.readLine();
        while (line != null && !line.contains("warm-start state")) {
            line = log.readLine();
        }
        return line != null && line.contains("restored warm-start state")
                && line.contains(" of 1 upstreams");
    }

    @Test
    void warmStateSurvivesUpgradeAndKillAndADamagedFileIsIgnored() throws Exception {
        fixture.stateDir = folder.resolve("state");
        start();
        Path stateFile = fixture.stateDir.resolve("learnt");
        HttpPeer client = caller();
        for (int i = 0; !Files.exists(stateFile); i++) {
            client.write(NodeFixture.get("r" + i, "20"));
            HttpPeer upstream = fixture.upstreams.get(0).accept();
            upstream.read();
            upstream.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
            assertEquals(200, client.read().status());
        }
        start();
        assertTrue(lastRestoredWarmState());
        processes.get(0).destroyForcibly().waitFor();
        killLast();
        start();
        assertTrue(lastRestoredWarmState());
        killLast();
        byte[] bytes = Files.readAllBytes(stateFile);
        bytes[bytes.length / 2] ^= 1;
        Files.write(stateFile, bytes);
        start();
        assertFalse(lastRestoredWarmState());
    }

    @Test
    void anyThreadMayCheckForASuccessor() throws Exception {
        ProcessHandover processes = ProcessHandover.join(folder);
        List<CompletableFuture<Boolean>> results = new ArrayList<>();
        for (int thread = 0; thread < 4; thread++) {
            results.add(CompletableFuture.supplyAsync(() -> {
                try {
                    boolean any = false;
                    for (int i = 0; i < 5_000; i++) {
                        any |= processes.hasSuccessor();
                    }
                    return any;
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            }));
        }
        for (CompletableFuture<Boolean> result : results) {
            assertFalse(result.get());
        }
        processes.leave();
    }

    private HttpPeer caller() throws IOException {
        HttpPeer caller = HttpPeer.connect(address);
        caller.write(NodeFixture.HEALTH);
        assertEquals(200, caller.read().status());
        return caller;
    }

    @Test
    void theSuccessorTakesOverWithoutInterruptingCallers() throws Exception {
        start();
        HttpPeer used = caller();
        HttpPeer idle = caller();
        used.write(NodeFixture.get("1", "20"));
        HttpPeer upstream = fixture.upstreams.get(0).accept();
        upstream.read();
        start();
        Process old = processes.get(0);
        old.destroy();
        // Each new connection is served by either process, except one that arrives as the old socket closes.
        int reset = 0;
        while (old.isAlive()) {
            try {
                caller().close();
            } catch (IOException e) {
                reset++;
            }
            if (upstream != null) {
                upstream.write(NodeFixture.ok("taken"));
                assertEquals("taken", used.read().body());
                upstream = null;
            }
        }
        assertTrue(reset <= 1, reset + " reset");
        assertTrue(idle.awaitClose());
        assertTrue(used.awaitClose());
        assertTrue(processes.get(1).isAlive());
    }

    @Test
    void aSecondProcessWithoutTheSharedFolderFailsToStart() throws Exception {
        start();
        Path file = Files.createTempFile(folder, "node", ".json");
        Files.writeString(file, fixture.config().replace("\"listen\":\"127.0.0.1:0\"",
                "\"listen\":\"127.0.0.1:" + address.getPort() + "\""));
        Process second = DrainTest.start(file, "serve");
        processes.add(second);
        assertTrue(second.waitFor(HttpPeer.TIMEOUT_MS, TimeUnit.MILLISECONDS));
        assertEquals(1, second.exitValue());
        assertTrue(processes.get(0).isAlive());
    }

    @Test
    void aProcessThatDiedIsNotASuccessor() throws Exception {
        start();
        start();
        Process died = processes.get(1).destroyForcibly();
        assertTrue(died.waitFor(HttpPeer.TIMEOUT_MS, TimeUnit.MILLISECONDS));
        HttpPeer kept = caller();
        processes.get(0).destroy();
        // A drain without a successor keeps accepting connections before it closes those of callers.
        HttpPeer.Message answer = null;
        int served = 0;
        while (answer == null || answer.header("Connection") == null) {
            caller().close();
            kept.write(NodeFixture.HEALTH);
            answer = kept.read();
            served++;
        }
        assertTrue(served > 1, "served " + served);
        assertFalse(processes.get(0).waitFor(0, TimeUnit.MILLISECONDS));
        assertTrue(processes.get(0).waitFor(HttpPeer.TIMEOUT_MS, TimeUnit.MILLISECONDS));
    }

    private static String stats(InetSocketAddress admin) throws IOException {
        try (HttpPeer operator = HttpPeer.connect(admin)) {
            operator.write("GET /ops/stats HTTP/1.1\r\nHost: ops\r\n\r\n");
            return operator.read().body();
        }
    }

    private static boolean hasDisabledUpstream(InetSocketAddress admin) throws IOException {
        return stats(admin).contains("edge_proxy.targets_disabled=1\n");
    }

    @Test
    void overridesApplyToBothProcesses() throws Exception {
        InetSocketAddress first = start();
        assertEquals(200, operatorCall(first, "PUT", "/ops/upstreams/down/s-00000000"));
        InetSocketAddress second = start();
        assertTrue(hasDisabledUpstream(second));
        assertEquals(200, operatorCall(second, "PUT", "/ops/upstreams/up/s-00000000"));
        while (hasDisabledUpstream(first)) {
            Thread.sleep(1);
        }
        assertEquals(200, operatorCall(first, "PUT", "/ops/drain/start"));
        while (operatorCall(second, "GET", "/ops/readiness") == 200) {
            Thread.sleep(1);
        }
        assertEquals(200, operatorCall(second, "PUT", "/ops/drain/stop"));
        while (operatorCall(first, "GET", "/ops/readiness") != 200) {
            Thread.sleep(1);
        }
    }

    @Test
    void aReloadReachesBothProcesses() throws Exception {
        start();
        InetSocketAddress second = start();
        // Each process has its own configuration file in this test.
        try (var files = Files.list(folder)) {
            for (Path file : files.filter(path -> path.toString().endsWith(".json")).toList()) {
                Files.writeString(file, Files.readString(file).replace("tile-order", "tile-view"));
            }
        }
        new ProcessBuilder("sh", "-c", "kill -HUP " + processes.get(0).pid()).start().waitFor();
        while (!stats(second).contains("edge_proxy.success.tile-view=0\n")) {
            Thread.sleep(1);
        }
        // Only the process that got the signal counts a reload.
        assertTrue(stats(second).contains("edge_proxy.reload_success=0\n"));
    }
}
