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
 * One balancer over all processes that it has in an experiment. Clients reach it through a link that refuses
 * while no process serves. Its methods wait for what they bring about, and are called by one thread at a
 * time.
 */
final class BalancerProcess {

    private static final long LOOK_EVERY_MS = 10;
    private static final long LONGEST_START_MS = 60_000;
    private static final long LONGEST_STOP_MS = 30_000;
    /** How long the front still deals out connections after SIGTERM, as the protocol has it. */
    private static final long FRONT_LATE_MS = 300;
    private static final int LOG_SHOWN = 5;

    private final String name;
    private final int party;
    private final AddressBlock addresses;
    private final ObjectNode config;
    private final boolean door;
    private final Path folder;
    private final List<String> program;
    private final ProcessSupervisor warden;
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
            List<String> program, ProcessSupervisor warden, HttpClient http, StreamLink fromClients,
            Front front,
            LabClock clock, Consumer<Event> history) {
        this.name = name;
        this.party = party;
        this.addresses = addresses;
        this.config = config;
        this.door = door;
        this.folder = folder;
        this.program = program;
        this.warden = warden;
        this.http = http;
        this.fromClients = fromClients;
        this.front = front;
        this.clock = clock;
        this.history = history;
    }

    String name() {
        return name;
    }

    /** The process that serves, or is to; null before the first start. */
    ChildProcess current() {
        return current;
    }

    /** What it is told, as it stands for its next start. */
    ObjectNode config() {
        return config;
    }

    /** Where operators call the process that serves. */
    InetSocketAddress door() {
        return doorOf(starts);
    }

    /** Whether a process of it has said a text so far. */
    boolean hasSaid(String text) throws IOException {
        ChildProcess child = current;
        return child != null && child.logContains(text);
    }

    Path disk() {
        return folder.resolve("tmp");
    }

    /** Starts it from nothing, and returns when it serves. */
    void start() throws IOException, InterruptedException {
        Folders.delete(disk());
        startOnWhatIsThere();
    }

    /** Starts it on what its folder holds, and returns when it serves. */
    void startOnWhatIsThere() throws IOException, InterruptedException {
        current = launch();
        awaitReady(current, addresses.listenAddress(party), "/_health");
        await(fromClients.setTargetUp(true));
    }

    /** Starts a second process beside the first, and ends the first once the second serves. */
    void upgrade() throws IOException, InterruptedException {
        ChildProcess old = current;
        ChildProcess fresh = launch();
        InetSocketAddress its = doorOf(starts);
        awaitReady(fresh, its, "/ops/readiness");
        current = fresh;
        lived(old, Life.STOPPING, 0);
        old.terminate();
        awaitEnd(old);
    }

    /** Ends it by SIGTERM and starts it again. */
    void restart() throws IOException, InterruptedException {
        ChildProcess old = current;
        lived(old, Life.STOPPING, 0);
        old.terminate();
        TimeUnit.MILLISECONDS.sleep(FRONT_LATE_MS);
        front.take(name, false);
        awaitEnd(old);
        start();
    }

    /** SIGKILL, and returns when it is dead. */
    void kill() throws IOException, InterruptedException {
        lived(current, Life.KILLED, 0);
        current.kill();
        awaitEnd(current);
    }

    void pause() throws IOException, InterruptedException {
        current.signal("STOP");
        lived(current, Life.PAUSED, 0);
    }

    void resume() throws IOException, InterruptedException {
        lived(current, Life.RESUMED, 0);
        current.signal("CONT");
    }

    /** Whether its disk is full, for the process that it has and those to come. */
    void diskFull(boolean full) throws IOException, InterruptedException {
        diskFull = full;
        current.setDiskFull(full);
    }

    void hangUp() throws IOException, InterruptedException {
        current.signal("HUP");
    }

    private InetSocketAddress doorOf(int start) {
        return new InetSocketAddress(addresses.ip(party), AddressBlock.ADMIN_PORT + start % 2);
    }

    private ChildProcess launch() throws IOException, InterruptedException {
        starts++;
        // A new start has a new seed; the same experiment has the same ones.
        config.put("seed", String.format("%016x", Long.parseUnsignedLong(config.get("seed").asText(), 16)
                + 1));
        Files.createDirectories(disk());
        Path file = folder.resolve("config.json");
        Files.writeString(file, config.toPrettyString());
        List<String> command = new ArrayList<>(program);
        command.add("serve");
        Map<String, String> environment = new java.util.HashMap<>(Map.of("PROXY_CONFIG", file.toString(),
                "TMPDIR", disk().toString(), "PROXY_NAME", name));
        if (door) {
            environment.put("PROXY_ADMIN_ADDR", BalancerConfig.text(doorOf(starts)));
        }
        ChildProcess child = warden.start(name, command, environment, folder.resolve("log.txt"));
        child.setDiskFull(diskFull);
        lived(child, Life.STARTED, 0);
        child.onExit().thenAccept(code -> {
            lived(child, Life.EXITED, code);
            if (child == current) {
                fromClients.setTargetUp(false);
            }
        });
        return child;
    }

    private void awaitReady(ChildProcess child, InetSocketAddress at, String path)
            throws IOException, InterruptedException {
        String uri = "http:/" + at + path;
        for (long waited = 0; Front.status(http, uri).join() != 200; waited += LOOK_EVERY_MS) {
            if (!child.isAlive()) {
                throw new IOException(name + " ended as it started, with " + child.onExit().join()
                        + lastSaid());
            }
            if (waited > LONGEST_START_MS) {
                throw new IOException(name + " does not serve after " + LONGEST_START_MS + " ms"
                        + lastSaid());
            }
            TimeUnit.MILLISECONDS.sleep(LOOK_EVERY_MS);
        }
        lived(child, Life.READY, 0);
    }

    private String lastSaid() throws IOException {
        List<String> lines = Files.readAllLines(folder.resolve("log.txt"));
        return ": " + String.join(" | ", lines.subList(Math.max(0, lines.size() - LOG_SHOWN), lines.size()));
    }

    private void awaitEnd(ChildProcess child) throws IOException, InterruptedException {
        try {
            child.onExit().get(LONGEST_STOP_MS, TimeUnit.MILLISECONDS);
        } catch (java.util.concurrent.TimeoutException | java.util.concurrent.ExecutionException e) {
            throw new IOException(name + " has not ended after " + LONGEST_STOP_MS + " ms");
        }
    }

    private void lived(ChildProcess child, Life life, int code) {
        // The old process of an upgrade ends; the balancer does not.
        String who = child == current || life == Life.STARTED || life == Life.READY ? name : name + "-old";
        history.accept(new Event.Lived(clock.now(), who, life, code));
    }

    private static void await(Future<?> change) throws IOException, InterruptedException {
        if (!change.await().isSuccess()) {
            throw new IOException("a link could not be changed", change.cause());
        }
    }
}
