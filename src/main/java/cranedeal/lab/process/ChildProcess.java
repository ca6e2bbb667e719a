package cranedeal.lab.process;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** A process that the lab has started. */
public final class ChildProcess {

    /**
     * The length of a clock tick in /proc, in milliseconds; the same on all Linux systems that Java runs on.
     */
    private static final double TICK_MS = 10;
    private static final int PAGE_KB = 4;
    private static final double NANOS_PER_MS = 1e6;
    /** The index of user time, with system time next, among the fields of /proc/PID/stat after the name. */
    private static final int USER_TIME_FIELD = 11;

    private final String name;
    private final Process process;
    private final Path log;

    ChildProcess(String name, Process process, Path log) {
        this.name = name;
        this.process = process;
        this.log = log;
    }

    /** Resource usage: CPU time in milliseconds since the start, and resident memory now. */
    public record Usage(double cpuMs, long rssKb) { }

    public String name() {
        return name;
    }

    public long pid() {
        return process.pid();
    }

    public boolean isAlive() {
        return process.isAlive();
    }

    /** Completes with the exit code when the process ends. */
    public CompletableFuture<Integer> onExit() {
        return process.onExit().thenApply(Process::exitValue);
    }

    /** Sends SIGKILL. */
    public void kill() {
        process.destroyForcibly();
    }

    /** Sends SIGTERM. */
    public void terminate() {
        process.destroy();
    }

    /**
     * Sends a signal by its name without SIG, such as STOP; does nothing if the process has ended. A stopped
     * process handles only CONT and KILL until it is continued.
     */
    public void signal(String signal) throws IOException, InterruptedException {
        if (!process.isAlive()) {
            return;
        }
        runTool("send " + signal + " to", "kill", "-" + signal, Long.toString(pid()));
    }

    /**
     * Emulates a full disk from now on, or ends that: none of its files can grow, so that its writes fail as
     * on a full disk (with EFBIG in place of ENOSPC). This includes its log.
     */
    public void setDiskFull(boolean full) throws IOException, InterruptedException {
        if (process.isAlive()) {
            runTool("limit the files of", "prlimit", "--pid", Long.toString(pid()),
                    "--fsize=" + (full ? "0" : "unlimited") + ":");
        }
    }

    /**
     * Limits the number of open descriptors from now on. While the limit is below what it holds, each socket,
     * accept and open fails with EMFILE.
     */
    public void limitDescriptors(int limit) throws IOException, InterruptedException {
        if (process.isAlive()) {
            runTool("limit the descriptors of", "prlimit", "--pid", Long.toString(pid()),
                    "--nofile=" + limit + ":");
        }
    }

    private void runTool(String action, String... command) throws IOException, InterruptedException {
        Process tool = new ProcessBuilder(command).redirectErrorStream(true).start();
        String output = new String(tool.getInputStream().readAllBytes(), StandardCharsets.UTF_8).strip();
        if (!tool.waitFor(1, TimeUnit.MINUTES) || tool.exitValue() != 0 && process.isAlive()) {
            throw new IOException("cannot " + action + " " + name + ": " + output);
        }
    }

    /** The resource usage; empty if the process has ended. */
    public Optional<Usage> usage() {
        try {
            Path proc = Path.of("/proc", Long.toString(pid()));
            String stat = Files.readString(proc.resolve("stat"));
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            long ticks = Long.parseLong(fields[USER_TIME_FIELD])
                    + Long.parseLong(fields[USER_TIME_FIELD + 1]);
            double cpu = ticks * TICK_MS;
            String[] pages = Files.readString(proc.resolve("statm")).split(" ");
            return process.isAlive() ? Optional.of(new Usage(cpu, Long.parseLong(pages[1]) * PAGE_KB))
                    : Optional.empty();
        } catch (IOException | ArrayIndexOutOfBoundsException e) {
            return Optional.empty();
        }
    }

    /**
     * The CPU time of all threads whose names start with the prefix, in milliseconds since each started; 0 if
     * the process has ended. The system truncates thread names to 15 characters.
     */
    public double threadCpuMs(String prefix) {
        double sum = 0;
        try (DirectoryStream<Path> threads = Files.newDirectoryStream(
                Path.of("/proc", Long.toString(pid()), "task"))) {
            for (Path thread : threads) {
                if (Files.readString(thread.resolve("comm")).startsWith(prefix)) {
                    sum += Long.parseLong(Files.readString(thread.resolve("schedstat")).split(" ")[0])
                            / NANOS_PER_MS;
                }
            }
            return sum;
        } catch (IOException | DirectoryIteratorException e) {
            // The process or one of its threads has just ended.
            return 0;
        }
    }

    /** Returns true if its output so far contains a text. */
    public boolean logContains(String text) throws IOException {
        return Files.exists(log) && Files.readString(log, StandardCharsets.ISO_8859_1).contains(text);
    }
}
