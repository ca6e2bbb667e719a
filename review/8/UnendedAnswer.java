import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Four upstreams answer in chunks of some bytes. With the disruption one answer in ten begins and never ends:
 * its connection stays open and silent. Each client waits for its final answer: a whole answer, or the end of
 * the connection.
 */
final class UnendedAnswer {

    private static final int UPSTREAMS = 4;
    private static final int REQUESTS = 60;
    private static final int EVERY = 10;
    private static final double TIME_MS = 2_500;
    /** Half a second after the time, by the page; and a quarter for a machine that is busy. */
    private static final double GRACE_MS = 500;
    private static final double SLACK_MS = 250;
    private static final double WAIT_MS = 20_000;

    private static final AtomicInteger COUNT = new AtomicInteger();
    private static final AtomicInteger LATE = new AtomicInteger();
    private static final AtomicInteger SERVED = new AtomicInteger();

    private UnendedAnswer() {
    }

    public static void main(String[] args) {
        Kit.play(args[0], UnendedAnswer::run);
    }

    private static void serve(Kit.Http connection) throws Exception {
        while (true) {
            Kit.Message request = connection.read();
            if (request == null) {
                return;
            }
            String id = request.headers().get("x-txn");
            String head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nbegun\r\n";
            if (Kit.TROUBLE && COUNT.incrementAndGet() % EVERY == 0) {
                connection.write(head);
                Kit.note("upstream: the answer to " + id + " begins and does not end");
                // Until the balancer closes the connection.
                connection.read();
                Kit.note("upstream: the connection of " + id + " was closed");
                return;
            }
            connection.write(head + "6\r\n-ended\r\n0\r\n\r\n");
        }
    }

    private static boolean run() throws Exception {
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < UPSTREAMS; i++) {
            entries.add(Kit.entry("s-" + i, new Kit.Server(UnendedAnswer::serve).port, 1, "up", 0));
        }
        Kit.Discovery discovery = new Kit.Discovery(entries);
        int port = Kit.freePort();
        Path config = Kit.folder.resolve("n1.json");
        Files.writeString(config, Kit.config("n1", port, discovery.server.address(), discovery.known(),
                Kit.classes("cell"), ""));
        Kit.startBalancer("n1", config, port, discovery.server.address(), 0, Kit.folder.resolve("tmp"));
        Kit.awaitOk(port, "/_health", 30_000);
        Kit.sleep(500);

        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            int number = i;
            clients.add(Kit.daemon(() -> request(port, number)));
            Kit.sleep(100);
        }
        for (Thread client : clients) {
            client.join();
        }
        Kit.note("of " + REQUESTS + " requests " + SERVED + " were served whole, " + LATE
                + " had no final answer half a second after their time");
        Kit.check(SERVED.get() >= REQUESTS / 2, "less than half were served");
        return LATE.get() == 0;
    }

    private static void request(int port, int number) throws IOException {
        String id = String.format("%016x", number + 1);
        double sentAt;
        String end;
        try (Kit.Http http = Kit.Http.connect(port)) {
            http.timeout(WAIT_MS);
            http.write("POST /change-slot HTTP/1.1\r\nHost: app.svc\r\nX-Txn: " + id + "\r\nX-Lane: change-slot"
                    + "\r\nX-Org: kathmandu-main\r\nX-Remaining: " + TIME_MS / 1e3 + "\r\nIdempotency-Key: k"
                    + id + "\r\nContent-Length: 4\r\n\r\nslot");
            sentAt = Kit.ms();
            try {
                Kit.Message answer = http.read();
                end = answer == null ? "closed" : answer.status() + " " + answer.body();
                if (answer != null && answer.status() == 200) {
                    SERVED.incrementAndGet();
                }
            } catch (IOException e) {
                end = e.toString();
            }
        }
        double took = Kit.ms() - sentAt;
        boolean late = took > TIME_MS + GRACE_MS + SLACK_MS;
        if (late) {
            LATE.incrementAndGet();
        }
        Kit.note("client: " + id + " ended after " + Math.round(took) + " ms" + (late ? ", TOO LATE: " : ": ")
                + end);
    }
}
