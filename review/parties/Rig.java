package parties;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** What every case needs: the record, a temporary folder, and the processes, which end with the case. */
final class Rig implements AutoCloseable {

    /** A case that takes longer could not run. */
    private static final int LONGEST_MS = 115_000;
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    final Path root;
    final Path folder;
    final Path temporary;
    /** False if the case is played without its disruption. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final PrintWriter record;
    private final List<Process> processes = new ArrayList<>();
    private final long startedAt = System.nanoTime();

    /** Opens the record of a case in {@code review/NUMBER}; the working folder is the project's root. */
    Rig(String number) throws IOException {
        root = Path.of("").toAbsolutePath();
        folder = root.resolve("review").resolve(number);
        temporary = Files.createTempDirectory("review");
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
        record("trouble=" + (trouble ? 1 : 0));
    }

    /** A case, which returns its exit code. */
    interface Play {
        int run(Rig rig) throws Exception;
    }

    /** Plays a case and exits. Whatever happens, all processes end. */
    static void play(String number, Play play) {
        int code = NOT_RUN;
        try (Rig rig = new Rig(number)) {
            Thread stop = new Thread(rig::killAll);
            Runtime.getRuntime().addShutdownHook(stop);
            Server.daemon(() -> rig.endIfTooLong());
            try {
                code = play.run(rig);
            } catch (Exception e) {
                rig.say("could not run: " + e);
                e.printStackTrace();
            }
            rig.record("exit=" + code);
        } catch (IOException e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    private void endIfTooLong() {
        try {
            Thread.sleep(LONGEST_MS);
        } catch (InterruptedException e) {
            return;
        }
        say("could not run: it took over " + LONGEST_MS + " ms");
        killAll();
        Runtime.getRuntime().halt(NOT_RUN);
    }

    /** Milliseconds since the start. */
    double now() {
        return (System.nanoTime() - startedAt) / 1e6;
    }

    synchronized void record(String line) {
        record.println(String.format(Locale.ROOT, "%10.1f  %s", now(), line));
        record.flush();
    }

    /** Prints a line of the result, and records it. */
    void say(String line) {
        System.out.println(line);
        record(line);
    }

    static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return socket.getLocalPort();
        }
    }

    /** The command of the deploy file that starts one balancer. */
    private String runCommand() throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        throw new IOException("the deploy file has no command run");
    }

    /** Starts a process of the project; its output goes to a file of the temporary folder. */
    Process start(String name, Map<String, String> environment, String... command) throws IOException {
        Path own = Files.createDirectories(temporary.resolve(name));
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(temporary.resolve(name + ".log").toFile()));
        builder.environment().put("TMPDIR", own.toString());
        builder.environment().putAll(environment);
        Process process = builder.start();
        synchronized (processes) {
            processes.add(process);
        }
        record("started " + name + ", process " + process.pid());
        return process;
    }

    /** Starts a balancer with the deploy file's command. */
    Process startBalancer(String name, String listen, String discovery, String config) throws IOException {
        Path file = temporary.resolve(name + ".json");
        Files.writeString(file, config);
        return start(name, Map.of("PROXY_NAME", name, "PROXY_LISTEN", listen, "PROXY_DISCOVERY", discovery,
                "PROXY_CONFIG", file.toString()), "sh", "-c", runCommand());
    }

    /** Waits until a balancer answers its health check with 200. */
    void awaitReady(String address) throws Exception {
        for (double until = now() + 30_000; now() < until;) {
            try (Client client = new Client(address)) {
                client.send("GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n");
                Answer answer = client.read(1_000);
                if (answer != null && answer.status() == 200) {
                    record(address + " is ready");
                    return;
                }
            } catch (IOException e) {
                Thread.sleep(50);
            }
        }
        throw new IOException(address + " was not ready within 30 s");
    }

    static void signal(Process process, String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    private void killAll() {
        synchronized (processes) {
            processes.forEach(Process::destroyForcibly);
            for (Process process : processes) {
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
    }

    String logOf(String name) throws IOException {
        return Files.readString(temporary.resolve(name + ".log"), StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() throws IOException {
        killAll();
        record.close();
        try (Stream<Path> files = Files.walk(temporary)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
    }
}
