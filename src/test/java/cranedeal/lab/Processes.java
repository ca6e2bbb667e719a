package cranedeal.lab;

import cranedeal.lab.process.ChildProcess;
import cranedeal.lab.process.ProcessSupervisor;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

/** Small real processes for tests, and waiting for what they bring about. */
public final class Processes {

    /** Generous, since a build machine may be busy. */
    private static final long PATIENCE_S = 60;

    private Processes() {
    }

    /** The command that runs a class of the tests. */
    public static List<String> java(Class<?> main, String... arguments) {
        List<String> command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin",
                "java").toString(), "-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC", "-cp",
                System.getProperty("java.class.path"), main.getName()));
        command.addAll(List.of(arguments));
        return command;
    }

    /** Starts a class of the tests, and returns once it has said {@code ready}. */
    public static ChildProcess start(ProcessSupervisor warden, Class<?> main, String... arguments)
            throws Exception {
        Path log = Files.createTempFile("child", ".log");
        ChildProcess child = warden.start(main.getSimpleName(), java(main, arguments), Map.of(), log);
        until(() -> child.logContains("ready") || !child.isAlive());
        if (!child.isAlive()) {
            throw new AssertionError(Files.readString(log));
        }
        return child;
    }

    /** Waits until something is so; fails if it never is. */
    public static void until(Callable<Boolean> so) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
        while (!so.call()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("it never came to be");
            }
            TimeUnit.MILLISECONDS.sleep(2);
        }
    }
}
