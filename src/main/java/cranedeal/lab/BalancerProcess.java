package cranedeal.lab;

import com.fasterxml.jackson.databind.node.ObjectNode;
import cranedeal.lab.history.Event;
import cranedeal.lab.history.Event.Life;
import cranedeal.lab.link.AddressBlock;
import cranedeal.lab.link.StreamLink;
import cranedeal.lab.process.ChildProcess;
import cranedeal.lab.process.ProcessSupervisor;
import cranedeal.lab.standin.Front;
import cranedeal.lab.standin.LabClock;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.http.HttpClient;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * One balancer, across all processes that it has in an experiment. Clients reach it through a link that
 * refuses connections while no process serves. Methods block until their effect is complete, and must be
 * called by one thread at a time.
 */
final class BalancerProcess {

    private static final long POLL_INTERVAL_MS = 10;
    private static final long START_TIMEOUT_MS = 60_000;
    private static final long STOP_TIMEOUT_MS = 30_000;
    /** How long the front still assigns connections to a balancer after SIGTERM, by the protocol. */
    private static final long FRONT_DELAY_MS = 300;
    private static final int MAX_LOG_LINES_SHOWN = 5;

    private final String name;
    private final int party;
    private final AddressBlock addresses;
    private final ObjectNode config;
    private final boolean adminEnabled;
    private final Path folder;
    private final List<String> program;
    private final ProcessSupervisor supervisor;
    private final HttpClient http;
    private final StreamLink fromClients;
    private final Front front;
    private final LabClock clock;
    private final Consumer<Event> history;
    private volatile ChildProcess current;
    private volatile boolean diskFull;
    private volatile int starts;

    BalancerProcess(String name, int party, AddressBlock addresses, ObjectNode config, boolean door,
            Path folder,
            List<String> program, ProcessSupervisor supervisor, HttpClient http, StreamLink fromClients,
            Front front,
            LabClock clock, Consumer<Event> history) {
        this.name = name;
        this.party = party;
        this.addresses = addresses;
        this.config = config;
        this.adminEnabled = door;
        this.folder = folder;
        this.program = program;
        this.supervisor = supervisor;
        this.http = http;
        this.fromClients = fromClients;
        this.front = front;
        this.clock = clock;
        this.history = history;
    }

    String name() {
        return name;
    }

    /** Returns the process that serves or is starting; null before the first start. */
    ChildProcess current() {
        return current;
    }

    /** Returns the configuration for its next start. */
    ObjectNode config() {
        return config;
    }

    /** Returns the admin address of the current process. */
    InetSocketAddress adminAddress() {
        return adminAddressOf(starts);
    }

    /** Returns true if the current process's log contains a text. */
    boolean logContains(String text) throws IOException {
        ChildProcess child = current;
        return child != null && child.logContains(text);
    }

    Path disk() {
        return folder.resolve("tmp");
    }

    /** Starts it with an empty disk, and returns when it serves. */
    void start() throws IOException, InterruptedException {
        Folders.delete(disk());
        startKeepingDisk();
    }

    /** Starts it with the present content of its disk, and returns when it serves. */
    void startKeepingDisk() throws IOException, InterruptedException {
        current = launch();
        awaitReady(current, addresses.listenAddress(party), "/_health");
        await(fromClients.setTargetUp(true));
    }

    /** Starts a second process beside the first, and stops the first once the second serves. */
    void upgrade() throws IOException, InterruptedException {
        ChildProcess old = current;
        ChildProcess fresh = launch();
        InetSocketAddress readyAddress = adminAddressOf(starts);
        awaitReady(fresh, readyAddress, "/ops/readiness");
        current = fresh;
        recordLife(old, Life.STOPPING, 0);
        old.terminate();
        awaitEnd(old);
    }

    /** Stops it by SIGTERM and starts it again. */
    void restart() throws IOException, InterruptedException {
        ChildProcess old = current;
        recordLife(old, Life.STOPPING, 0);
        old.terminate();
        TimeUnit.MILLISECONDS.sleep(FRONT_DELAY_MS);
        front.take(name, false);
        awaitEnd(old);
        start();
    }

    /** Sends SIGKILL, and returns when the process has exited. */
    void kill() throws IOException, InterruptedException {
        recordLife(current, Life.KILLED, 0);
        current.kill();
        awaitEnd(current);
    }

    void pause() throws IOException, InterruptedException {
        current.signal("STOP");
        recordLife(current, Life.PAUSED, 0);
    }

    void resume() throws IOException, InterruptedException {
        recordLife(current, Life.RESUMED, 0);
        current.signal("CONT");
    }

    /** Sets if its disk is full, for the current process and later ones. */
    void diskFull(boolean full) throws IOException, InterruptedException {
        diskFull = full;
        current.setDiskFull(full);
    }

    void hangUp() throws IOException, InterruptedException {
        current.signal("HUP");
    }

    private InetSocketAddress adminAddressOf(int start) {
        return new InetSocketAddress(addresses.ip(party), AddressBlock.ADMIN_PORT + start % 2);
    }

    private ChildProcess launch() throws IOException, InterruptedException {
        starts++;
        // Each start has a new seed; repeated runs of an experiment use the same sequence.
        config.put("seed", String.format("%016x", Long.parseUnsignedLong(config.get("seed").asText(), 16)
                + 1));
        Files.createDirectories(disk());
        Path file = folder.resolve("config.json");
        Files.writeString(file, config.toPrettyString());
        List<String> command = new ArrayList<>(program);
        command.add("serve");
        Map<String, String> environment = new java.util.HashMap<>(Map.of("PROXY_CONFIG", file.toString(),
                "TMPDIR", disk().toString(), "PROXY_NAME", name));
        if (adminEnabled) {
            environment.put("PROXY_ADMIN_ADDR", BalancerConfig.text(adminAddressOf(starts)));
        }
        ChildProcess child = supervisor.start(name, command, environment, folder.resolve("log.txt"));
        child.setDiskFull(diskFull);
        recordLife(child, Life.STARTED, 0);
        child.onExit().thenAccept(code -> {
            recordLife(child, Life.EXITED, code);
            if (child == current) {
                fromClients.setTargetUp(false);
            }
        });
        return child;
    }

    private void awaitReady(ChildProcess child, InetSocketAddress at, String path)
            throws IOException, InterruptedException {
        String uri = "http:/" + at + path;
        for (long waited = 0; Front.status(http, uri).join() != 200; waited += POLL_INTERVAL_MS) {
            if (!child.isAlive()) {
                throw new IOException(name + " ended as it started, with " + child.onExit().join()
                        + lastLogLines());
            }
            if (waited > START_TIMEOUT_MS) {
                throw new IOException(name + " does not serve after " + START_TIMEOUT_MS + " ms"
                        + lastLogLines());
            }
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
        }
        recordLife(child, Life.READY, 0);
    }

    private String lastLogLines() throws IOException {
        List<String> lines = Files.readAllLines(folder.resolve("log.txt"));
        return ": " + String.join(" | ", lines.subList(Math.max(0, lines.size() - MAX_LOG_LINES_SHOWN),
                lines.size()));
    }

    private void awaitEnd(ChildProcess child) throws IOException, InterruptedException {
        try {
            child.onExit().get(STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (java.util.concurrent.TimeoutException | java.util.concurrent.ExecutionException e) {
            throw new IOException(name + " has not ended after " + STOP_TIMEOUT_MS + " ms");
        }
    }

    private void recordLife(ChildProcess child, Life life, int code) {
        // In an upgrade, only the old process exits; the balancer goes on.
        String who = child == current || life == Life.STARTED || life == Life.READY ? name : name + "-old";
        history.accept(new Event.ProcessChanged(clock.now(), who, life, code));
    }

    private static void await(Future<?> change) throws IOException, InterruptedException {
        if (!change.await().isSuccess()) {
            throw new IOException("a link could not be changed", change.cause());
        }
    }
}
