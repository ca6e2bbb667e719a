import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients that read lists of rows, and servers that write a list row by row, in chunks; in a deployment that allows
 * two attempts of a request at a time. Two servers of eight are slow for a while.
 */
final class HedgedAnswer {

    private static final int UPSTREAMS = 8;
    private static final int REQUESTS_PER_S = 40;
    private static final int SECONDS = 60;
    private static final int ROWS = 20;
    /** The shortest and the longest time that a list takes on a server that is not slow. */
    private static final int MIN_MS = 40;
    private static final int MAX_MS = 70;
    /** How many times as long a slow server takes. */
    private static final int SLOWER = 8;
    /** When a quarter of the servers begin to be slow, and for how long, in ms since the first request. */
    private static final int SLOW_FROM = 10_000;
    private static final int SLOW_FOR = 35_000;
    private static final int AIM_MS = 400;
    private static final int DEADLINE_MS = 800;

    private static volatile double firstAt = Double.POSITIVE_INFINITY;

    private HedgedAnswer() {
    }

    public static void main(String[] args) {
        Rig.main(args[0], HedgedAnswer::run);
    }

    private static String row(String id, int number) {
        return "row " + number + " of the list for " + id + "\n";
    }

    private static String list(String id) {
        StringBuilder rows = new StringBuilder();
        for (int i = 0; i < ROWS; i++) {
            rows.append(row(id, i));
        }
        return rows.toString();
    }

    private static boolean run(Rig rig, boolean trouble) throws Exception {
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < UPSTREAMS; i++) {
            ports.add(upstream(rig, "s-" + i, trouble && i < UPSTREAMS / 4));
        }
        Rig.Discovery discovery = rig.new Discovery(ports);
        int port = Rig.freePort();
        String config = Rig.config("n1", port, discovery.port, discovery.list(),
                Rig.service("look-up", "idempotent", AIM_MS, DEADLINE_MS))
                .replace("\"parallelTries\":false", "\"parallelTries\":true");
        rig.startBalancer("n1", port, discovery.port, config);
        AtomicInteger right = new AtomicInteger();
        AtomicInteger wrong = new AtomicInteger();
        AtomicInteger brokenOff = new AtomicInteger();
        AtomicInteger other = new AtomicInteger();
        firstAt = rig.now();
        CountDownLatch done = new CountDownLatch(REQUESTS_PER_S * SECONDS);
        for (int i = 0; i < REQUESTS_PER_S * SECONDS; i++) {
            String id = String.format("%08x", 0x1000_0000 + i);
            Rig.daemon(() -> {
                client(rig, port, id, right, wrong, brokenOff, other);
                done.countDown();
            });
            Thread.sleep(1_000 / REQUESTS_PER_S);
        }
        done.await();
        rig.logOutput("n1");
        rig.say("lists as the servers wrote them: " + right + ", cut short but ended as whole: " + wrong
                + ", broken off: " + brokenOff + ", refused or failed: " + other);
        return wrong.get() == 0;
    }

    /** Starts a server; returns its port. */
    private static int upstream(Rig rig, String name, boolean slows) throws IOException {
        ServerSocket listener = new ServerSocket(0, 512, Rig.LOOPBACK);
        SplittableRandom random = new SplittableRandom(name.hashCode());
        Rig.accept(listener, socket -> {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Message request = Http.read(in, false); request != null; request = Http.read(in, false)) {
                if (request.first().startsWith("GET /ping ")) {
                    out.write(Upstream.answer("ok"));
                    continue;
                }
                String id = request.header("X-Txn");
                boolean slow = slows && rig.now() > firstAt + SLOW_FROM && rig.now() < firstAt + SLOW_FROM + SLOW_FOR;
                int takes;
                synchronized (random) {
                    takes = (slow ? SLOWER : 1) * random.nextInt(MIN_MS, MAX_MS);
                }
                double begun = rig.now();
                rig.log(name + " begins " + id + ", which takes " + takes + " ms");
                out.write(("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
                try {
                    for (int i = 0; i < ROWS; i++) {
                        Thread.sleep((long) Math.max(0, begun + (i + 1.0) * takes / ROWS - rig.now()));
                        String row = row(id, i);
                        out.write((Integer.toHexString(row.length()) + "\r\n" + row + "\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
                    }
                    out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                } catch (IOException e) {
                    rig.log(name + " was cut off in " + id);
                    throw e;
                }
                rig.log(name + " has written all rows of " + id);
            }
        });
        return listener.getLocalPort();
    }

    private static void client(Rig rig, int port, String id, AtomicInteger right, AtomicInteger wrong,
            AtomicInteger brokenOff, AtomicInteger other) {
        double sentAt = rig.now();
        try (Socket socket = new Socket(Rig.LOOPBACK, port)) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(2 * DEADLINE_MS);
            socket.getOutputStream().write(("GET /look-up HTTP/1.1\r\nHost: app.svc\r\nX-Txn: " + id
                    + "\r\nX-Lane: look-up\r\nX-Org: lalitpur\r\nX-Remaining: " + DEADLINE_MS / 1_000.0 + "\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
            Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()), true);
            double after = rig.now() - sentAt;
            if (answer == null || answer.status() != 200) {
                other.incrementAndGet();
                rig.log("client of " + id + " got " + (answer == null ? "nothing" : answer.first()));
            } else if (answer.text().equals(list(id))) {
                right.incrementAndGet();
                rig.log(String.format("client of %s got the whole list after %.0f ms", id, after));
            } else {
                wrong.incrementAndGet();
                rig.log(String.format("BROKEN: client of %s got 200 and an ended body of %d of %d rows after %.0f ms",
                        id, answer.text().split("\n").length, ROWS, after));
            }
        } catch (IOException e) {
            brokenOff.incrementAndGet();
            rig.log("client of " + id + " got a broken answer: " + e);
        }
    }
}
