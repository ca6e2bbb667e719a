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

/** Starts child processes for tests and waits for conditions. */
public final class Processes {

    /** Long, since a build machine may be busy. */
    private static final long TIMEOUT_S = 60;

    private Processes() {
    }

    /** Returns the command that runs a main class of the tests. */
    public static List<String> java(Class<?> main, String... arguments) {
        List<String> command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin",
                "java").toString(), "-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC", "-cp",
                System.getProperty("java.class.path"), main.getName()));
        command.addAll(List.of(arguments));
        return command;
    }

    /** Starts a main class of the tests, and returns once it has printed {@code ready}. */
    public static ChildProcess start(ProcessSupervisor supervisor, Class<?> main, String... arguments)
            throws Exception {
        Path log = Files.createTempFile("child", ".log");
        ChildProcess child = supervisor.start(main.getSimpleName(), java(main, arguments), Map.of(), log);
        awaitCondition(() -> child.logContains("ready") || !child.isAlive());
        if (!child.isAlive()) {
            throw new AssertionError(Files.readString(log));
        }
        return child;
    }

    /** Waits until a condition is true; fails after a timeout. */
    public static void awaitCondition(Callable<Boolean> condition) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        while (!condition.call()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("timed out waiting for a condition");
            }
            TimeUnit.MILLISECONDS.sleep(2);
        }
    }
}
