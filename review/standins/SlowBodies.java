import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients with kept connections and bodies below 64 KiB, which write a body at once or slowly and in pieces, and
 * beside them one client that asks for small things all the time.
 */
final class SlowBodies {

    private static final int UPSTREAMS = 4;
    private static final int WORK_MS = 15;
    /** Fewer than a third of the 1,024 descriptors. */
    private static final int CLIENTS = 200;
    private static final int BODY_BYTES = 64_000;
    private static final int PIECE_BYTES = 1_000;
    private static final int BYTES_PER_MS = 64;
    private static final int DEADLINE_MS = 6_000;
    /** Up to half a second after its time an answer only earns nothing; sockets add 50 ms. */
    private static final int GRACE_MS = 550;
    private static final int STAY_MS = 12_000;
    /** How long the small requests go on after the slow clients have left. */
    private static final int AFTER_MS = 15_000;

    private final Rig rig;
    private final int port;
    private final boolean trouble;
    private final AtomicInteger ids = new AtomicInteger(0x1000_0000);
    private final AtomicInteger inTime = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger notTaken = new AtomicInteger();
    private final AtomicInteger smallInTime = new AtomicInteger();
    private final AtomicInteger smallLost = new AtomicInteger();
    private final AtomicInteger smallNotTaken = new AtomicInteger();

    private SlowBodies(Rig rig, int port, boolean trouble) {
        this.rig = rig;
        this.port = port;
        this.trouble = trouble;
    }

    public static void main(String[] args) {
        Rig.main(args[0], SlowBodies::run);
    }

    private static boolean run(Rig rig, boolean trouble) throws Exception {
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < UPSTREAMS; i++) {
            ports.add(new Upstream(rig, "s-" + i, WORK_MS).port);
        }
        Rig.Discovery discovery = rig.new Discovery(ports);
        int port = Rig.freePort();
        rig.startBalancer("n1", port, discovery.port, Rig.config("n1", port, discovery.port, discovery.list(),
                Rig.service("book-slot", "at_most_once", 2_500, DEADLINE_MS)));
        return new SlowBodies(rig, port, trouble).play();
    }

    private boolean play() throws Exception {
        CountDownLatch first = new CountDownLatch(CLIENTS);
        CountDownLatch done = new CountDownLatch(CLIENTS);
        for (int i = 0; i < CLIENTS; i++) {
            Rig.daemon(() -> client(first, done));
            Thread.sleep(20);
        }
        Thread small = Rig.daemon(this::smallRequests);
        done.await();
        rig.log("all clients with bodies have left");
        Thread.sleep(AFTER_MS);
        small.interrupt();
        small.join(DEADLINE_MS + GRACE_MS + 1_000);
        rig.logOutput("n1");
        rig.say("requests with a body answered in time: " + inTime + ", taken and not answered in time: " + lost
                + ", not written whole: " + notTaken);
        rig.say("small requests answered in time: " + smallInTime + ", taken and not answered in time: " + smallLost
                + ", not connected: " + smallNotTaken);
        return lost.get() + smallLost.get() == 0;
    }

    private String nextId() {
        return String.format("%08x", ids.incrementAndGet());
    }

    /** Sends a body at once, and then, when all others have done so too, another one slowly. */
    private void client(CountDownLatch first, CountDownLatch done) {
        try (Socket socket = new Socket(Rig.LOOPBACK, port)) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            try {
                exchange(socket, in, BODY_BYTES, false, inTime, lost, notTaken);
            } finally {
                first.countDown();
            }
            first.await();
            exchange(socket, in, BODY_BYTES, trouble, inTime, lost, notTaken);
        } catch (IOException e) {
            rig.log("a client's connection broke: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            done.countDown();
        }
    }

    /** Sends a small request on a new connection five times a second. */
    private void smallRequests() {
        while (!Thread.currentThread().isInterrupted()) {
            Rig.daemon(() -> {
                try (Socket socket = new Socket(Rig.LOOPBACK, port)) {
                    socket.setTcpNoDelay(true);
                    exchange(socket, new BufferedInputStream(socket.getInputStream()), 4, false, smallInTime,
                            smallLost, smallNotTaken);
                } catch (IOException | InterruptedException e) {
                    smallNotTaken.incrementAndGet();
                    rig.log("a small request's connection broke: " + e);
                }
            });
            try {
                Thread.sleep(200);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void exchange(Socket socket, BufferedInputStream in, int length, boolean slowly, AtomicInteger good,
            AtomicInteger bad, AtomicInteger unwritten) throws IOException, InterruptedException {
        String id = nextId();
        byte[] body = new byte[length];
        Arrays.fill(body, (byte) 'x');
        OutputStream out = socket.getOutputStream();
        double sentAt = rig.now();
        try {
            out.write(("POST /book-slot HTTP/1.1\r\nHost: app.svc\r\nX-Txn: " + id + "\r\nX-Lane: book-slot\r\n"
                    + "X-Org: lalitpur\r\nX-Remaining: " + DEADLINE_MS / 1_000 + ".000\r\nContent-Length: " + length
                    + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            int piece = slowly ? PIECE_BYTES : length;
            for (int from = 0; from < length; from += piece) {
                out.write(body, from, Math.min(piece, length - from));
                long early = (long) (sentAt + (double) from / BYTES_PER_MS - rig.now());
                if (slowly && early > 0) {
                    Thread.sleep(early);
                }
            }
        } catch (IOException e) {
            unwritten.incrementAndGet();
            throw e;
        }
        double writtenAt = rig.now();
        socket.setSoTimeout(STAY_MS);
        Http.Message answer;
        String end;
        try {
            answer = Http.read(in, true);
            end = answer == null ? "a close" : answer.first();
        } catch (SocketTimeoutException e) {
            answer = null;
            end = "nothing in " + STAY_MS + " ms";
        } catch (IOException e) {
            answer = null;
            end = e.toString();
        }
        double after = rig.now() - writtenAt;
        boolean held = answer != null && after <= DEADLINE_MS + GRACE_MS;
        (held ? good : bad).incrementAndGet();
        rig.log((held ? "" : "BROKEN: ") + String.format("client of %s, %d bytes, written in %.0f ms: %s after %.0f ms",
                id, length, writtenAt - sentAt, end, after));
        if (answer == null) {
            throw new IOException("no answer");
        }
    }
}
