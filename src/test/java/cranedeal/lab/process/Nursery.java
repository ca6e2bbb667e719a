package cranedeal.lab.process;

import cranedeal.lab.Echo;
import cranedeal.lab.Processes;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CountDownLatch;

/** A lab of its own for a test to end: starts a child, pauses a second one, and tells their ids. */
public final class Nursery {

    private Nursery() {
    }

    /** The arguments are a file for the children's output, and the address and ports to listen on. */
    public static void main(String[] args) throws Exception {
        ProcessSupervisor warden = new ProcessSupervisor();
        ChildProcess running = warden.start("running", Processes.java(Echo.class, args[1], args[2]), Map.of(),
                Path.of(args[0]));
        ChildProcess paused = warden.start("paused", Processes.java(Echo.class, args[1], args[3]), Map.of(),
                Path.of(args[0]));
        paused.signal("STOP");
        System.out.println("children " + running.pid() + " " + paused.pid() + " ready");
        new CountDownLatch(1).await();
    }
}
