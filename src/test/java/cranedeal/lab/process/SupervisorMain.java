package cranedeal.lab.process;

import cranedeal.lab.Echo;
import cranedeal.lab.Processes;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CountDownLatch;

/** A separate lab process for a test to end: starts two children, pauses the second, and prints their ids. */
public final class SupervisorMain {

    private SupervisorMain() {
    }

    /** Arguments: the file for the children's output, and the address and the two ports to listen on. */
    public static void main(String[] args) throws Exception {
        ProcessSupervisor supervisor = new ProcessSupervisor();
        ChildProcess running = supervisor.start("running", Processes.java(Echo.class, args[1], args[2]),
                Map.of(),
                Path.of(args[0]));
        ChildProcess paused = supervisor.start("paused", Processes.java(Echo.class, args[1], args[3]),
                Map.of(),
                Path.of(args[0]));
        paused.signal("STOP");
        System.out.println("children " + running.pid() + " " + paused.pid() + " ready");
        new CountDownLatch(1).await();
    }
}
