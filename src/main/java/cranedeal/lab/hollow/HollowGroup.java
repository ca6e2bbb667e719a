package cranedeal.lab.hollow;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.sun.management.UnixOperatingSystemMXBean;
import cranedeal.lab.process.ChildProcess;
import cranedeal.lab.process.ProcessSupervisor;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** The lab's handle of a process of hollow balancers. Its methods block until the process answers. */
public final class HollowGroup {

    /** Sockets per balancer: two listening, one watch, one outgoing and one incoming exchange at a time. */
    private static final int DESCRIPTORS_PER_BALANCER = 6;
    /** Descriptors of a process without balancers: jars, event loops, the lab's calls. */
    private static final int BASE_DESCRIPTORS = 200;
    /** The process is not started if it needs more than this share of the descriptor limit. */
    private static final double MAX_DESCRIPTOR_SHARE = 0.9;
    private static final int BASE_HEAP_MB = 64;
    private static final double HEAP_PER_BALANCER_MB = 1;
    private static final long START_TIMEOUT_MS = 60_000;
    private static final long POLL_INTERVAL_MS = 10;
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(30);
    private static final JsonMapper JSON = new JsonMapper();

    private final HollowConfig config;
    private final HttpClient http;
    private final ChildProcess child;

    private HollowGroup(HollowConfig config, HttpClient http, ChildProcess child) {
        this.config = config;
        this.http = http;
        this.child = child;
    }

    /** Starts the process without running any balancer; returns once it accepts calls. */
    public static HollowGroup start(String name, HollowConfig config, Path folder, ProcessSupervisor warden,
            HttpClient http) throws IOException, InterruptedException {
        requireDescriptors(config.balancers().size());
        Files.createDirectories(folder);
        Path file = folder.resolve(name + ".json");
        JSON.writeValue(file.toFile(), config);
        Path log = folder.resolve(name + ".log");
        ChildProcess child = warden.start(name, command(config.balancers().size(), file), Map.of(), log);
        for (long waited = 0; !child.logContains("ready"); waited += POLL_INTERVAL_MS) {
            if (!child.isAlive() || waited > START_TIMEOUT_MS) {
                child.kill();
                throw new IOException(name + " did not start: " + Files.readString(log));
            }
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
        }
        return new HollowGroup(config, http, child);
    }

    /** Checks this process's descriptor limit, which the child inherits. */
    private static void requireDescriptors(int balancers) throws IOException {
        long wanted = BASE_DESCRIPTORS + (long) DESCRIPTORS_PER_BALANCER * balancers;
        if (ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean system
                && wanted > MAX_DESCRIPTOR_SHARE * system.getMaxFileDescriptorCount()) {
            throw new IOException(balancers + " hollow balancers in a process may need " + wanted
                    + " descriptors, of " + system.getMaxFileDescriptorCount()
                    + "; raise the limit (ulimit -n) or use more processes");
        }
    }

    /** Uses production's garbage collector and JIT compiler, and sizes the heap for the balancers. */
    private static List<String> command(int balancers, Path file) {
        return new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xss512k", "-Xms24m",
                "-Xmx" + (BASE_HEAP_MB + (int) Math.ceil(HEAP_PER_BALANCER_MB * balancers)) + "m",
                "-XX:MaxDirectMemorySize=64m", "-XX:MaxMetaspaceSize=64m", "-XX:ReservedCodeCacheSize=32m",
                "-Djava.net.preferIPv4Stack=true", "-Dio.netty.jfr.enabled=false", "-cp",
                System.getProperty("java.class.path"), HollowProcess.class.getName(), file.toString()));
    }

    public ChildProcess child() {
        return child;
    }

    /** Returns the names of its balancers. */
    public List<String> names() {
        return config.balancers().stream().map(HollowConfig.Balancer::name).toList();
    }

    /** Starts the named balancers that belong to this process; does not wait until they have joined. */
    public void startBalancers(Collection<String> names) throws IOException, InterruptedException {
        call("/start", names, Boolean.class);
    }

    /** Stops them without notifying other members. */
    public void kill(Collection<String> names) throws IOException, InterruptedException {
        call("/kill", names, Boolean.class);
    }

    /** Stops them; each notifies the other members that it leaves. */
    public void leave(Collection<String> names) throws IOException, InterruptedException {
        call("/leave", names, Boolean.class);
    }

    /** Returns the views of the named balancers of this process, at most half a second old. */
    public HollowProcess.Views views(Collection<String> names) throws IOException, InterruptedException {
        return call("/views", names, HollowProcess.Views.class);
    }

    /** Returns the resource use of its balancers since the previous call. */
    public Meter.Window window() throws IOException, InterruptedException {
        return call("/window", List.of(), Meter.Window.class);
    }

    /** Returns the heap in use after a garbage collection, in bytes. */
    public long liveHeap() throws IOException, InterruptedException {
        return call("/memory", List.of(), Long.class);
    }

    private <T> T call(String path, Collection<String> names, Class<T> answer)
            throws IOException, InterruptedException {
        HttpResponse<byte[]> response = http.send(HttpRequest.newBuilder(URI.create("http://"
                + config.control() + path)).timeout(CALL_TIMEOUT)
                .POST(HttpRequest.BodyPublishers.ofByteArray(JSON.writeValueAsBytes(names))).build(),
                HttpResponse.BodyHandlers.ofByteArray());
        if (response.statusCode() != 200) {
            throw new IOException(child.name() + " rejected " + path + ": "
                    + new String(response.body(), java.nio.charset.StandardCharsets.UTF_8));
        }
        return JSON.readValue(response.body(), answer);
    }
}
