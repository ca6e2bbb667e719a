import java.io.BufferedReader;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** What the cases share: the record, processes of the program, and plain HTTP/1.1 over sockets. */
final class Kit {

    /** False with TROUBLE=0: the same run without the disruption. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    static final int BROKEN = 1;
    static final int HELD = 0;
    static final int COULD_NOT_RUN = 2;

    private static final long START = System.nanoTime();
    private static final List<Process> PROCESSES = new ArrayList<>();
    private static final SecureRandom RANDOM = new SecureRandom();
    private static PrintWriter out;
    static Path folder;

    private Kit() {
    }

    interface Case {
        /** Returns true if the rule held. */
        boolean run() throws Exception;
    }

    /** Runs a case in a temporary folder, ends all that it started, and exits. */
    static void play(String recordFile, Case toRun) {
        int status = COULD_NOT_RUN;
        try {
            out = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)), true);
            folder = Files.createTempDirectory("review");
            Runtime.getRuntime().addShutdownHook(new Thread(Kit::endProcesses));
            note("disruption " + (TROUBLE ? "on" : "off"));
            status = toRun.run() ? HELD : BROKEN;
            note(status == HELD ? "the rule held" : "THE RULE WAS BROKEN");
        } catch (Throwable e) {
            note("the case could not run: " + e);
            for (StackTraceElement line : e.getStackTrace()) {
                note("  " + line);
            }
        }
        endProcesses();
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException | RuntimeException e) {
            note("left in the temporary folder: " + e);
        }
        Runtime.getRuntime().halt(status);
    }

    private static void endProcesses() {
        synchronized (PROCESSES) {
            PROCESSES.forEach(Process::destroyForcibly);
            PROCESSES.forEach(process -> {
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
        }
    }

    static double ms() {
        return (System.nanoTime() - START) / 1e6;
    }

    static synchronized void note(String line) {
        if (out != null) {
            out.printf(Locale.ROOT, "%9.1f %s%n", ms(), line);
        }
    }

    static void sleep(double millis) throws InterruptedException {
        Thread.sleep(Math.max(0, Math.round(millis)));
    }

    static void check(boolean condition, String what) {
        if (!condition) {
            throw new IllegalStateException(what);
        }
    }

    // ---- Processes ---------------------------------------------------------------------------------

    static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return free.getLocalPort();
        }
    }

    private static String runLine() throws IOException {
        Matcher line = Pattern.compile("(?m)^run = \"(.*)\"$")
                .matcher(Files.readString(Path.of("deploy/balancer.toml")));
        check(line.find(), "the deploy file has no line 'run'");
        return line.group(1);
    }

    /** Starts one balancer by the deploy file's line 'run'. */
    static Process startBalancer(String name, Path config, int port, String discovery, int admin, Path tmp)
            throws IOException {
        Files.createDirectories(tmp);
        ProcessBuilder builder = new ProcessBuilder("sh", "-c", runLine());
        Map<String, String> env = builder.environment();
        env.put("PROXY_CONFIG", config.toString());
        env.put("PROXY_NAME", name);
        env.put("PROXY_LISTEN", "127.0.0.1:" + port);
        env.put("PROXY_DISCOVERY", discovery);
        env.put("PROXY_ADMIN_ADDR", admin == 0 ? "" : "127.0.0.1:" + admin);
        env.put("TMPDIR", tmp.toString());
        return start(name, builder);
    }

    /** Starts another command of the program, such as a coordinator. */
    static Process startCommand(String name, String... arguments) throws IOException {
        return start(name, new ProcessBuilder(command(arguments)));
    }

    private static List<String> command(String... arguments) {
        List<String> command = new ArrayList<>(List.of("java", "-jar", "target/sablehinge.jar"));
        command.addAll(List.of(arguments));
        return command;
    }

    private static Process start(String name, ProcessBuilder builder) throws IOException {
        Process process = builder.redirectErrorStream(true).start();
        synchronized (PROCESSES) {
            PROCESSES.add(process);
        }
        note("started " + name + ", process " + process.pid());
        Thread reader = new Thread(() -> {
            try (BufferedReader lines = process.inputReader()) {
                lines.lines().forEach(line -> note("  [" + name + "] " + line));
            } catch (IOException | RuntimeException e) {
                // The process has ended.
            }
        });
        reader.setDaemon(true);
        reader.start();
        return process;
    }

    interface LineHandler {
        void handle(String line) throws Exception;
    }

    /** Runs a command of the program to its end; returns its exit code and notes what it prints. */
    static int runCommand(String... arguments) throws Exception {
        return runCommand(line -> { }, arguments);
    }

    /** The same, with a handler of each line that it prints. */
    static int runCommand(LineHandler onLine, String... arguments) throws Exception {
        note("$ " + String.join(" ", arguments));
        Process process = new ProcessBuilder(command(arguments)).redirectErrorStream(true).start();
        synchronized (PROCESSES) {
            PROCESSES.add(process);
        }
        try (BufferedReader lines = new BufferedReader(new InputStreamReader(process.getInputStream(),
                StandardCharsets.UTF_8))) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                note("  " + line);
                onLine.handle(line);
            }
        }
        int status = process.waitFor();
        note("  exit code " + status);
        return status;
    }

    /** Sends a signal to processes that were started here, to all at once. */
    static void signal(String name, Process... processes) throws Exception {
        List<String> command = new ArrayList<>(List.of("kill", "-" + name));
        for (Process process : processes) {
            command.add(Long.toString(process.pid()));
        }
        note("SIG" + name + " to " + command.subList(2, command.size()));
        new ProcessBuilder(command).start().waitFor();
    }

    /** Waits until GET path at an address answers 200. */
    static void awaitOk(int port, String path, double withinMs) throws Exception {
        double until = ms() + withinMs;
        while (true) {
            try (Http http = Http.connect(port)) {
                http.write("GET " + path + " HTTP/1.1\r\nHost: app.svc\r\n\r\n");
                http.timeout(2_000);
                Message answer = http.read();
                if (answer != null && answer.status() == 200) {
                    return;
                }
            } catch (IOException e) {
                // Not yet.
            }
            check(ms() < until, "no 200 to " + path + " within " + withinMs + " ms");
            Thread.sleep(5);
        }
    }

    static String text(int port, String method, String path) throws IOException {
        try (Http http = Http.connect(port)) {
            http.timeout(5_000);
            http.write(method + " " + path + " HTTP/1.1\r\nHost: app.svc\r\nContent-Length: 0\r\n\r\n");
            Message answer = http.read();
            return answer == null ? "" : answer.status() + " " + answer.body();
        }
    }

    // ---- Configuration -----------------------------------------------------------------------------

    /** One entry of discovery's list. */
    static String entry(String id, int port, int cell, String state, long startedMs) {
        return String.format(Locale.ROOT, "{\"id\":\"%s\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"baneshwor\","
                + "\"kind\":\"fd-mid\",\"cell\":%d,\"state\":\"%s\",\"weight\":1.0,\"started_ms\":%d}",
                id, port, cell, state, startedMs);
    }

    static String list(long version, boolean full, List<String> entries) {
        return "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":["
                + String.join(",", entries) + "]}";
    }

    /** The classes of the clinics: book-slot must never run twice, change-slot carries a key. */
    static String classes(String changeSlotGroup) {
        return """
                [{"name":"book-slot","aim":2500.0,"deadline":6000.0,"worth":3.0,"lateValue":0.0,
                "idempotency":"at_most_once","group":"all","memorySpan":5000.0,"streamed":false},
                {"name":"change-slot","aim":2000.0,"deadline":5000.0,"worth":8.0,"lateValue":0.0,
                "idempotency":"deduplicated","group":"%s","memorySpan":7500.0,"streamed":false}]"""
                .formatted(changeSlotGroup);
    }

    /**
     * A balancer's configuration for one start, with a seed of its own; {@code more} holds further keys, each
     * with a comma behind it.
     */
    static String config(String name, int port, String discovery, String known, String classes,
            String more) {
        return """
                {"name":"%s","listen":"127.0.0.1:%d","discovery":"%s","seed":"%s",%s
                "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":%s,
                "settings":{"position":0,"siblings":2,"tier":0,"stages":["front-desk","slot-book"],"zone":0,
                "zones":["baneshwor"],"machineTypes":["fd-mid"],"registryMode":"subscribe",
                "family":"chain","familyInfo":{"passesDeadline":false},"callers":{"marksRetry":true},
                "worthBy":"work","overShareWorth":0.1,"weightKind":"rough",
                "stats":{"how":"silent","fields":[]},
                "tenants":[{"name":"kathmandu-main","fraction":1.0,"quotaPerS":160.0}],
                "services":%s,
                "limits":{"attemptsCap":6,"maxOpen":20000,"cancel":true,"parallelTries":false,"probes":true,
                "peers":false,"retryAfter":true,"maxRetryAfter":2000.0,"connectTimeout":250.0,
                "connIdle":30000.0,"streamsPerConn":1,"cpuUsPerRequest":0.0,"cpuUsPerS":500000},
                "rules":{"graceToAnswer":20.0,"drainGrace":2000.0,"askEvery":10000.0,"startCapacity":0.12,
                "warmUp":22000.0,"fallMultiple":3.0,"tipAfter":1500.0},
                "goal":{"whole":0.7,"worstWindow":0.1,"worstClass":0.1,"worstTenant":0.1},
                "prices":{"crossZone":0.0,"probe":0.023,"waste":0.08,"lateFail":0.067,"connection":0.0,
                "handshake":0.0,"peer":0.0,"registryMode":0.0}}}
                """.formatted(name, port, discovery, String.format("%016x", RANDOM.nextLong()), more, known,
                        classes);
    }

    // ---- HTTP --------------------------------------------------------------------------------------

    /** A request or an answer that came whole. */
    record Message(String start, Map<String, String> headers, String body) {

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }
    }

    /** One connection. */
    static final class Http implements AutoCloseable {

        final Socket socket;
        private final InputStream in;

        Http(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            in = new java.io.BufferedInputStream(socket.getInputStream());
        }

        static Http connect(int port) throws IOException {
            Socket socket = new Socket();
            socket.connect(new InetSocketAddress("127.0.0.1", port), 2_000);
            return new Http(socket);
        }

        void timeout(double millis) throws IOException {
            socket.setSoTimeout((int) Math.max(1, millis));
        }

        void write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
        }

        /** Returns the next line; null if the connection ended before it. */
        String line() throws IOException {
            StringBuilder line = new StringBuilder();
            for (int c = in.read(); c != '\n'; c = in.read()) {
                if (c < 0) {
                    if (line.length() == 0) {
                        return null;
                    }
                    throw new EOFException("the connection ended within a line");
                }
                line.append((char) c);
            }
            return line.toString().stripTrailing();
        }

        Map<String, String> headers() throws IOException {
            Map<String, String> headers = new LinkedHashMap<>();
            for (String line = line(); line != null && !line.isEmpty(); line = line()) {
                int colon = line.indexOf(':');
                headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT),
                        line.substring(colon + 1).strip());
            }
            return headers;
        }

        String bytes(int count) throws IOException {
            byte[] read = in.readNBytes(count);
            if (read.length < count) {
                throw new EOFException("the connection ended within a body");
            }
            return new String(read, StandardCharsets.ISO_8859_1);
        }

        /** Reads a whole message, of known length or in chunks; null if the connection ended before it. */
        Message read() throws IOException {
            String start = line();
            if (start == null) {
                return null;
            }
            Map<String, String> headers = headers();
            if (!"chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
                return new Message(start, headers,
                        bytes(Integer.parseInt(headers.getOrDefault("content-length", "0"))));
            }
            StringBuilder body = new StringBuilder();
            while (true) {
                String size = line();
                if (size == null) {
                    throw new EOFException("the connection ended before the last chunk");
                }
                String chunk = bytes(Integer.parseInt(size, 16));
                line();
                if (chunk.isEmpty()) {
                    return new Message(start, headers, body.toString());
                }
                body.append(chunk);
            }
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // It is closed either way.
            }
        }
    }

    /** A server that handles each connection on a thread of its own. */
    static final class Server implements AutoCloseable {

        interface Handler {
            void handle(Http connection) throws Exception;
        }

        final ServerSocket socket;
        final int port;

        Server(Handler handler) throws IOException {
            socket = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
            port = socket.getLocalPort();
            daemon(() -> {
                while (true) {
                    Http connection = new Http(socket.accept());
                    daemon(() -> {
                        try (connection) {
                            handler.handle(connection);
                        }
                    });
                }
            });
        }

        String address() {
            return "127.0.0.1:" + port;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    interface Task {
        void run() throws Exception;
    }

    static Thread daemon(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // The connection or the server has ended.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Three coordinators of the fleet 'clinics', of which the first leads. */
    static final class Coordinators {

        final String[] addresses = new String[3];
        final Process[] processes = new Process[3];

        Coordinators() throws Exception {
            for (int i = 0; i < addresses.length; i++) {
                addresses[i] = "127.0.0.1:" + freePort();
            }
            for (int i = 0; i < addresses.length; i++) {
                start(i);
            }
            sleep(2_000);
            check(runCommand("fleet", "config", "take-over", "--to", addresses[0]) == 0, "no leader");
        }

        void start(int number) throws IOException {
            Path file = folder.resolve("c" + number + ".json");
            Files.writeString(file, "{\"fleet\":\"clinics\",\"name\":\"c" + number + "\",\"listen\":\""
                    + addresses[number] + "\",\"state_dir\":\"" + folder.resolve("c" + number)
                    + "\",\"peers\":" + json() + "}");
            processes[number] = startCommand("c" + number, "coordinator", "--config", file.toString());
        }

        String all() {
            return String.join(",", addresses);
        }

        /** The key by which a balancer follows the service 'front'. */
        String fleetKey(int memberPort) {
            return "\"fleet\":{\"name\":\"clinics\",\"listen\":\"127.0.0.1:" + memberPort
                    + "\",\"service\":\"front\",\"seeds\":" + json() + ",\"state_dir\":\""
                    + folder.resolve("n1") + "\"},";
        }

        /** A file with a document whose service 'front' has these classes. */
        Path document(String name, String classes) throws IOException {
            Path file = folder.resolve(name);
            Files.writeString(file, "{\"form\":1,\"services\":{\"front\":{\"settings\":{\"services\":" + classes
                    + "}}}}");
            return file;
        }

        private String json() {
            return "[\"" + String.join("\",\"", addresses) + "\"]";
        }
    }

    /** Waits until a balancer has a line in its figures. */
    static void awaitFigure(int admin, String line, double withinMs) throws Exception {
        double until = ms() + withinMs;
        while (!text(admin, "GET", "/ops/stats").contains(line + "\n")) {
            check(ms() < until, "no line " + line + " in the figures");
            Thread.sleep(50);
        }
    }

    /** Discovery: one list, whole at once and changes by watches; versions only grow. */
    static final class Discovery {

        private long version = 41;
        private String whole;
        private final List<String> changes = new ArrayList<>();
        private final List<Long> changedAt = new ArrayList<>();
        final Server server;

        Discovery(List<String> entries) throws IOException {
            whole = list(version, true, entries);
            server = new Server(this::serve);
        }

        synchronized String known() {
            return whole;
        }

        /** Replaces the list; {@code changed} are the entries that differ. */
        synchronized void change(List<String> entries, List<String> changed) {
            version++;
            whole = list(version, true, entries);
            changed.forEach(entry -> {
                changes.add(entry);
                changedAt.add(version);
            });
            note("discovery: version " + version + " " + changed);
            notifyAll();
        }

        private void serve(Http connection) throws Exception {
            while (true) {
                Message call = connection.read();
                if (call == null) {
                    return;
                }
                Matcher watch = Pattern.compile("index=(\\d+)&wait=(\\d+)").matcher(call.start());
                String body = watch.find() ? watch(Long.parseLong(watch.group(1)),
                        Math.min(60_000, Long.parseLong(watch.group(2)))) : known();
                connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
            }
        }

        private synchronized String watch(long index, long waitMs) throws InterruptedException {
            double until = ms() + waitMs;
            while (version <= index && ms() < until) {
                wait(Math.max(1, Math.round(until - ms())));
            }
            if (index < 41) {
                return whole;
            }
            List<String> newer = new ArrayList<>();
            for (int i = 0; i < changes.size(); i++) {
                if (changedAt.get(i) > index) {
                    newer.add(changes.get(i));
                }
            }
            return list(version, false, newer);
        }
    }
}
