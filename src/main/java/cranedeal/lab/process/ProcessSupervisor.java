package cranedeal.lab.process;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Starts processes that can't outlive the lab. Each child sets a parent death signal (prctl's
 * PR_SET_PDEATHSIG, by util-linux's setpriv), with which the kernel kills it when the thread that started it
 * ends. So all children are started by one thread that ends only with the lab. If the lab ends before a child
 * has set the signal, the child sees that its parent has changed and exits.
 */
public final class ProcessSupervisor implements AutoCloseable {

    private static final Path SETPRIV = Path.of("/usr/bin/setpriv");
    /**
     * Drops root's right to ignore file permissions, which would make the read-only folder fault ineffective.
     */
    private static final List<String> DROP_DAC_OVERRIDE = List.of("--bounding-set", "-dac_override");
    private static final String EXEC_IF_PARENT_ALIVE = "test \"$PPID\" = \"$0\" && exec \"$@\"";

    private final ExecutorService starter = Executors.newSingleThreadExecutor(task -> {
        Thread thread = new Thread(task, "warden");
        thread.setDaemon(true);
        return thread;
    });
    private final Set<ChildProcess> children = ConcurrentHashMap.newKeySet();
    private final Thread shutdownHook = new Thread(this::killAll, "warden-exit");

    /** Throws {@link IOException} if setpriv is missing, so that the children could outlive the lab. */
    public ProcessSupervisor() throws IOException {
        if (!Files.isExecutable(SETPRIV)) {
            throw new IOException(SETPRIV + " (util-linux) is needed to end child processes with the lab");
        }
        Runtime.getRuntime().addShutdownHook(shutdownHook);
    }

    /**
     * Starts a process in the lab's working directory.
     *
     * @param environment variables added to the lab's environment
     * @param log the file to which its output is appended
     */
    public ChildProcess start(String name, List<String> command, Map<String, String> environment, Path log)
            throws IOException, InterruptedException {
        List<String> guardedCommand = new ArrayList<>(List.of(SETPRIV.toString(), "--pdeathsig", "KILL"));
        if (System.getProperty("user.name").equals("root")) {
            guardedCommand.addAll(DROP_DAC_OVERRIDE);
        }
        guardedCommand.addAll(List.of("sh", "-c", EXEC_IF_PARENT_ALIVE,
                Long.toString(ProcessHandle.current().pid())));
        guardedCommand.addAll(command);
        ProcessBuilder builder = new ProcessBuilder(guardedCommand)
                .redirectErrorStream(true).redirectInput(new File("/dev/null"))
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.environment().putAll(environment);
        try {
            Process process = starter.submit(builder::start).get();
            ChildProcess child = new ChildProcess(name, process, log);
            children.add(child);
            process.onExit().thenRun(() -> children.remove(child));
            return child;
        } catch (ExecutionException e) {
            throw new IOException("cannot start " + name + ": " + e.getCause().getMessage(), e.getCause());
        }
    }

    private void killAll() {
        children.forEach(ChildProcess::kill);
    }

    /** Kills all children and waits until they have ended. */
    @Override
    public void close() {
        killAll();
        children.forEach(child -> child.onExit().join());
        starter.shutdownNow();
        try {
            Runtime.getRuntime().removeShutdownHook(shutdownHook);
        } catch (IllegalStateException e) {
            // The lab is shutting down already, and the hook kills the children as well.
        }
    }
}
