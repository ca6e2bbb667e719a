package cranedeal.node;

import java.lang.reflect.Proxy;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;

/**
 * Entry point of the program: {@code serve} runs one balancer, {@code wire} hosts the same decision code for
 * the simulator. All other arguments are handled by the command line of {@link Fleet}.
 */
public final class Main {

    private Main() {
    }

    /** Runs the subcommand that the arguments name. */
    public static void main(String[] args) throws InterruptedException {
        // These two bypass the command-line classes, so that they start fast and use little memory.
        if (args.length == 1 && args[0].equals("wire")) {
            wire();
        } else if (args.length == 1 && args[0].equals("serve")) {
            serve();
        } else {
            System.exit(Fleet.run(Main::serve, Main::wire, args));
        }
    }

    private static int wire() {
        cranedeal.wire.Main.main(new String[] {"wire"});
        return 0;
    }

    private static int serve() throws InterruptedException {
        // Signals may arrive as soon as the node serves, so their handlers are installed first.
        CompletableFuture<Node> started = new CompletableFuture<>();
        drainAtShutdown(started);
        reloadAtHangup(started);
        try {
            started.complete(Node.start(NodeConfig.read(System.getenv("PROXY_CONFIG")), folder()));
        } catch (ConfigException e) {
            exit("sablehinge: " + e.getMessage(), 1);
        }
        // The node's threads are daemon threads, so the process exits when the shutdown hook returns.
        new CountDownLatch(1).await();
        return 0;
    }

    /** The folder shared by the processes of a hot restart; null if {@code TMPDIR} is not set. */
    private static Path folder() {
        String folder = System.getenv("TMPDIR");
        return folder == null || folder.isEmpty() ? null : Path.of(folder);
    }

    /** SIGTERM runs the shutdown hook, and the virtual machine exits when the hook returns. */
    private static void drainAtShutdown(CompletableFuture<Node> started) {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            try {
                Node node = started.getNow(null);
                if (node != null) {
                    node.drain();
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }, "drain"));
    }

    /**
     * Without a handler, SIGHUP would end the virtual machine. Only sun.misc.Signal can install one, and
     * naming it makes the compiler warn, so it is used by reflection.
     */
    private static void reloadAtHangup(CompletableFuture<Node> started) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object reload = Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] {handler},
                    (proxy, method, arguments) -> {
                        reload(started.join());
                        return null;
                    });
            signal.getMethod("handle", signal, handler).invoke(null,
                    signal.getConstructor(String.class).newInstance("HUP"), reload);
        } catch (ReflectiveOperationException e) {
            Node.LOG.log(Level.WARNING, "cannot handle SIGHUP; it will end this process", e);
        }
    }

    private static void reload(Node node) {
        try {
            node.reload(System.getenv("PROXY_CONFIG"));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void exit(String message, int status) {
        System.err.println(message);
        System.exit(status);
    }
}
