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

/** A process of hollow balancers, as the lab sees it. Its methods wait for the answer. */
public final class HollowGroup {

    /** Sockets of one: two that listen, a watch, an exchange of its own and one of another's at a time. */
    private static final int DESCRIPTORS = 6;
    /** Those of a process without any balancer: jars, loops, the lab's calls. */
    private static final int DESCRIPTORS_ALONE = 200;
    /** Beyond this share of the descriptors that a process may open it is not started. */
    private static final double MOST_DESCRIPTORS = 0.9;
    private static final int HEAP_ALONE_MB = 64;
    private static final double HEAP_MB = 1;
    private static final long LONGEST_START_MS = 60_000;
    private static final long LOOK_EVERY_MS = 10;
    private static final Duration PATIENCE = Duration.ofSeconds(30);
    private static final JsonMapper JSON = new JsonMapper();

    private final HollowConfig config;
    private final HttpClient http;
    private final ChildProcess child;

    private HollowGroup(HollowConfig config, HttpClient http, ChildProcess child) {
        this.config = config;
        this.http = http;
        this.child = child;
    }

    /** Starts the process, with none of its balancers running, and returns once it can be called. */
    public static HollowGroup start(String name, HollowConfig config, Path folder, ProcessSupervisor warden,
            HttpClient http) throws IOException, InterruptedException {
        requireDescriptors(config.balancers().size());
        Files.createDirectories(folder);
        Path file = folder.resolve(name + ".json");
        JSON.writeValue(file.toFile(), config);
        Path log = folder.resolve(name + ".log");
        ChildProcess child = warden.start(name, command(config.balancers().size(), file), Map.of(), log);
        for (long waited = 0; !child.logContains("ready"); waited += LOOK_EVERY_MS) {
            if (!child.isAlive() || waited > LONGEST_START_MS) {
                child.kill();
                throw new IOException(name + " does not start: " + Files.readString(log));
            }
            TimeUnit.MILLISECONDS.sleep(LOOK_EVERY_MS);
        }
        return new HollowGroup(config, http, child);
    }

    /** A process inherits the limit of the one that starts it. */
    private static void requireDescriptors(int balancers) throws IOException {
        long wanted = DESCRIPTORS_ALONE + (long) DESCRIPTORS * balancers;
        if (ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean system
                && wanted > MOST_DESCRIPTORS * system.getMaxFileDescriptorCount()) {
            throw new IOException(balancers + " hollow balancers in a process may need " + wanted
                    + " descriptors, of " + system.getMaxFileDescriptorCount()
                    + "; raise the limit (ulimit -n) or take more processes");
        }
    }

    /** With the collector and the compiler of service, and memory for so many. */
    private static List<String> command(int balancers, Path file) {
        return new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xss512k", "-Xms24m",
                "-Xmx" + (HEAP_ALONE_MB + (int) Math.ceil(HEAP_MB * balancers)) + "m",
                "-XX:MaxDirectMemorySize=64m", "-XX:MaxMetaspaceSize=64m", "-XX:ReservedCodeCacheSize=32m",
                "-Djava.net.preferIPv4Stack=true", "-Dio.netty.jfr.enabled=false", "-cp",
                System.getProperty("java.class.path"), HollowProcess.class.getName(), file.toString()));
    }

    public ChildProcess child() {
        return child;
    }

    /** The names of its balancers. */
    public List<String> names() {
        return config.balancers().stream().map(HollowConfig.Balancer::name).toList();
    }

    /** Starts those of the named ones that are its own; they join in their own time. */
    public void startBalancers(Collection<String> names) throws IOException, InterruptedException {
        call("/start", names, Boolean.class);
    }

    /** Ends them without a word. */
    public void kill(Collection<String> names) throws IOException, InterruptedException {
        call("/kill", names, Boolean.class);
    }

    /** Ends them; each tells the others that it leaves. */
    public void leave(Collection<String> names) throws IOException, InterruptedException {
        call("/leave", names, Boolean.class);
    }

    /** What its own of the named ones see, half a second ago at most. */
    public HollowProcess.Views views(Collection<String> names) throws IOException, InterruptedException {
        return call("/views", names, HollowProcess.Views.class);
    }

    /** What its balancers have spent since this was asked last. */
    public Meter.Window window() throws IOException, InterruptedException {
        return call("/window", List.of(), Meter.Window.class);
    }

    /** The heap in use after a collection, in bytes. */
    public long liveHeap() throws IOException, InterruptedException {
        return call("/memory", List.of(), Long.class);
    }

    private <T> T call(String path, Collection<String> names, Class<T> answer)
            throws IOException, InterruptedException {
        HttpResponse<byte[]> response = http.send(HttpRequest.newBuilder(URI.create("http://"
                + config.control() + path)).timeout(PATIENCE)
                .POST(HttpRequest.BodyPublishers.ofByteArray(JSON.writeValueAsBytes(names))).build(),
                HttpResponse.BodyHandlers.ofByteArray());
        if (response.statusCode() != 200) {
            throw new IOException(child.name() + " refuses " + path + ": "
                    + new String(response.body(), java.nio.charset.StandardCharsets.UTF_8));
        }
        return JSON.readValue(response.body(), answer);
    }
}
