import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** What all cases need: a record, free ports, balancers as processes, and discovery as a stand-in. */
final class Rig implements AutoCloseable {

    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    /** The case could not be run. */
    static final class CannotRun extends RuntimeException {

        private static final long serialVersionUID = 1;

        CannotRun(String why) {
            super(why);
        }
    }

    /** A check of a case; returns true if the rule held. */
    interface Case {

        boolean run(Rig rig, boolean trouble) throws Exception;
    }

    final Path root = Path.of("").toAbsolutePath();
    /** A temporary folder of this run. */
    final Path folder;
    private final long startedAt = System.nanoTime();
    private final PrintWriter record;
    private final List<Process> processes = new CopyOnWriteArrayList<>();

    private Rig(Path recordFile) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(recordFile));
        folder = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** Runs a case from the project's root and exits with 0 if the rule held, 1 if not, and 2 otherwise. */
    static void main(String recordFile, Case test) {
        int code = 2;
        try (Rig rig = new Rig(Path.of(recordFile))) {
            boolean trouble = !"0".equals(System.getenv("TROUBLE"));
            rig.log("begin trouble=" + trouble);
            try {
                code = test.run(rig, trouble) ? 0 : 1;
                rig.log("end: the rule " + (code == 0 ? "held" : "was broken"));
            } catch (Exception e) {
                rig.log("end: the case could not run: " + e);
            }
        } catch (IOException e) {
            System.err.println(e);
        }
        // Threads of the stand-ins may still wait on sockets.
        Runtime.getRuntime().halt(code);
    }

    double now() {
        return (System.nanoTime() - startedAt) / 1e6;
    }

    void log(String line) {
        String whole = String.format("%10.1f %s", now(), line);
        synchronized (record) {
            record.println(whole);
            record.flush();
        }
    }

    /** Logs a line, and prints it too. */
    void say(String line) {
        log(line);
        System.out.println(line);
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, LOOPBACK)) {
            return socket.getLocalPort();
        }
    }

    /** The command of a key of the deploy file. */
    String deployCommand(String key) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith(key + " = \"")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        throw new CannotRun("the deploy file has no " + key);
    }

    /** Starts a command of the shell from the project's root; its output goes to a file of the temporary folder. */
    Process start(String name, String command, Map<String, String> environment) throws IOException {
        ProcessBuilder builder = new ProcessBuilder("sh", "-c", command).directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        builder.environment().putAll(environment);
        Process process = builder.start();
        processes.add(process);
        log(name + " started, process " + process.pid());
        return process;
    }

    /** Starts a balancer with the deploy file's command; returns once it is ready. */
    Process startBalancer(String name, int port, int discovery, String config) throws Exception {
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, config);
        Path temporary = Files.createDirectories(folder.resolve(name + ".tmp"));
        Process process = start(name, deployCommand("run"), Map.of("PROXY_CONFIG", file.toString(),
                "PROXY_NAME", name, "PROXY_LISTEN", "127.0.0.1:" + port,
                "PROXY_DISCOVERY", "127.0.0.1:" + discovery, "TMPDIR", temporary.toString()));
        awaitReady(process, port);
        log(name + " is ready");
        return process;
    }

    private void awaitReady(Process process, int port) throws Exception {
        for (double end = now() + 30_000; now() < end; Thread.sleep(50)) {
            if (!process.isAlive()) {
                throw new CannotRun("the balancer ended with " + process.exitValue());
            }
            try (Socket socket = new Socket(LOOPBACK, port)) {
                socket.setSoTimeout(1_000);
                socket.getOutputStream().write("GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n"
                        .getBytes(StandardCharsets.US_ASCII));
                Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()), true);
                if (answer != null && answer.status() == 200) {
                    return;
                }
            } catch (IOException e) {
                // Not yet.
            }
        }
        throw new CannotRun("the balancer was not ready in 30 s");
    }

    /** Copies the output of a process to the record. */
    void logOutput(String name) throws IOException {
        Path file = folder.resolve(name + ".log");
        if (Files.exists(file)) {
            Files.readAllLines(file, StandardCharsets.ISO_8859_1).forEach(line -> log(name + ": " + line));
        }
    }

    @Override
    public void close() {
        for (Process process : processes) {
            process.descendants().forEach(ProcessHandle::destroyForcibly);
            process.destroyForcibly();
        }
        for (Process process : processes) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        delete(folder);
    }

    private static void delete(Path path) {
        try {
            if (Files.isDirectory(path)) {
                try (var inside = Files.list(path)) {
                    inside.forEach(Rig::delete);
                }
            }
            Files.deleteIfExists(path);
        } catch (IOException e) {
            System.err.println(e);
        }
    }

    // ---- Configuration -----------------------------------------------------------------------------

    /** One service class of the settings. */
    static String service(String name, String idempotency, int aim, int deadline) {
        String keyed = idempotency.equals("deduplicated") ? ",\"group\":\"cell\",\"memorySpan\":7500.0" : "";
        return "{\"name\":\"" + name + "\",\"aim\":" + aim + ".0,\"deadline\":" + deadline + ".0,\"worth\":3.0,"
                + "\"lateValue\":0.0,\"idempotency\":\"" + idempotency + "\",\"streamed\":false" + keyed + "}";
    }

    /** A balancer's configuration; the figures of the settings are those of the site ktm-booking. */
    static String config(String name, int port, int discovery, String list, String... services) {
        return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"127.0.0.1:"
                + discovery + "\",\"seed\":\"" + Long.toHexString(System.nanoTime()) + "\","
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":" + list
                + ",\"settings\":{\"position\":0,\"siblings\":1,\"tier\":0,\"zone\":0,"
                + "\"registryMode\":\"subscribe\",\"worthBy\":\"request\",\"overShareWorth\":0.1,"
                + "\"weightKind\":\"silent\",\"stages\":[\"front-desk\"],\"zones\":[\"baneshwor\"],"
                + "\"machineTypes\":[\"fd-fast\"],\"family\":\"chain\",\"familyInfo\":{\"passesDeadline\":false},"
                + "\"callers\":{\"marksRetry\":true},\"stats\":{\"how\":\"silent\",\"fields\":[]},"
                + "\"tenants\":[{\"name\":\"lalitpur\",\"fraction\":1.0,\"quotaPerS\":1000.0}],"
                + "\"services\":" + Arrays.asList(services) + ","
                + "\"limits\":{\"attemptsCap\":6,\"maxOpen\":20000,\"cancel\":true,\"parallelTries\":false,"
                + "\"probes\":true,\"peers\":false,\"retryAfter\":true,\"maxRetryAfter\":2000.0,"
                + "\"connectTimeout\":250.0,\"connIdle\":30000.0,\"streamsPerConn\":1,"
                + "\"cpuUsPerS\":500000,\"cpuUsPerRequest\":0.0},"
                + "\"rules\":{\"graceToAnswer\":20.0,\"drainGrace\":2000.0,\"askEvery\":10000.0,"
                + "\"startCapacity\":0.12,\"warmUp\":22000.0,\"fallMultiple\":3.0,\"tipAfter\":1500.0},"
                + "\"goal\":{\"whole\":0.7,\"worstWindow\":0.1,\"worstClass\":0.1,\"worstTenant\":0.1},"
                + "\"prices\":{\"crossZone\":0.0,\"probe\":0.023,\"waste\":0.08,\"lateFail\":0.067,"
                + "\"connection\":0.0,\"handshake\":0.0,\"peer\":0.0,\"registryMode\":0.0,\"moves\":0.0,"
                + "\"origin\":0.0}}}";
    }

    // ---- Discovery ---------------------------------------------------------------------------------

    /** Discovery with a list that never changes. */
    final class Discovery {

        final int port;
        private final String list;

        /** Lists upstreams that started long ago, at the given ports. */
        Discovery(List<Integer> upstreams) throws IOException {
            List<String> entries = new ArrayList<>();
            for (int i = 0; i < upstreams.size(); i++) {
                entries.add("{\"id\":\"s-" + i + "\",\"addr\":\"127.0.0.1:" + upstreams.get(i)
                        + "\",\"zone\":\"baneshwor\",\"kind\":\"fd-fast\",\"cell\":" + i / 2
                        + ",\"state\":\"up\",\"weight\":1.0,\"started_ms\":0}");
            }
            list = "{\"version\":41,\"full\":true,\"servers\":" + entries + "}";
            ServerSocket socket = new ServerSocket(0, 64, LOOPBACK);
            port = socket.getLocalPort();
            accept(socket, this::serve);
        }

        String list() {
            return list;
        }

        private void serve(Socket socket) throws IOException, InterruptedException {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (Http.Message call = Http.read(in, false); call != null; call = Http.read(in, false)) {
                String target = call.first().split(" ")[1];
                int wait = target.indexOf("wait=");
                String body = list;
                if (target.contains("index=41") && wait >= 0) {
                    Thread.sleep(Math.min(60_000, Integer.parseInt(target.substring(wait + 5).split("&")[0])));
                    body = "{\"version\":41,\"full\":false,\"servers\":[]}";
                }
                socket.getOutputStream().write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                        + "Content-Length: " + body.length() + "\r\n\r\n" + body)
                        .getBytes(StandardCharsets.UTF_8));
            }
        }
    }

    /** Serves one connection. */
    interface Handler {

        void serve(Socket socket) throws IOException, InterruptedException;
    }

    /** Accepts connections, each served by a thread of its own. */
    static void accept(ServerSocket listener, Handler handler) {
        daemon(() -> {
            while (true) {
                Socket socket;
                try {
                    socket = listener.accept();
                } catch (IOException e) {
                    return;
                }
                daemon(() -> {
                    try (socket) {
                        socket.setTcpNoDelay(true);
                        handler.serve(socket);
                    } catch (IOException | InterruptedException e) {
                        // The other side has left.
                    }
                });
            }
        });
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
