package parties;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients with kept connections send a body below 64 KiB at once, and then another one slowly and in pieces.
 * Beside them small requests of other clients come all the time.
 */
final class SlowBodies {

    private static final int UPSTREAMS = 4;
    private static final int WORK_MS = 15;
    /** Fewer than 341, a third of the 1,024 descriptors. */
    private static final int CLIENTS = 200;
    private static final int BODY = 64_000;
    private static final int PIECE = 1_000;
    private static final int BYTES_PER_MS = 64;
    private static final int TIME_MS = 6_000;
    /** Half a second after its time an answer only earns nothing; sockets add 50 ms. */
    private static final int GRACE_MS = 550;
    private static final int STAYS_MS = 12_000;
    private static final int SMALL_EVERY_MS = 200;
    /** How long the small requests go on after the clients with bodies have left. */
    private static final int AFTER_MS = 15_000;

    private final Rig rig;
    private final String balancer;
    private final AtomicInteger ids = new AtomicInteger(0x1000_0000);
    private volatile boolean ended;

    /** What became of requests of one size. */
    private static final class Count {
        private final AtomicInteger inTime = new AtomicInteger();
        private final AtomicInteger lost = new AtomicInteger();
        private final AtomicInteger unsent = new AtomicInteger();

        @Override
        public String toString() {
            return "answered in time " + inTime + ", taken and not answered in time " + lost + ", not sent whole "
                    + unsent;
        }
    }

    private final Count large = new Count();
    private final Count small = new Count();

    private SlowBodies(Rig rig, String balancer) {
        this.rig = rig;
        this.balancer = balancer;
    }

    public static void main(String[] args) {
        Rig.play(args[0], SlowBodies::run);
    }

    private static int run(Rig rig) throws Exception {
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < UPSTREAMS; i++) {
            Server upstream = new Server("127.0.1." + (i + 1), 0, (request, connection) -> {
                Thread.sleep(WORK_MS);
                connection.answer(200, "", "done " + request.header("x-txn"));
            });
            entries.add(Site.entry(i, upstream.address(), "up"));
        }
        Server discovery = Site.discovery("127.0.2.1", entries);
        String listen = "127.0.3.1:" + Rig.freePort("127.0.3.1");
        Process process = rig.startBalancer("n0", listen, discovery.address(),
                Site.config("n0", 0, 1, listen, discovery.address(), entries));
        rig.awaitReady(listen);
        int code = new SlowBodies(rig, listen).play();
        rig.say("the process " + (process.isAlive() ? "is there; its log has " : "has ended; its log had ")
                + rig.logOf("n0").lines().filter(line -> line.contains("OutOfMemoryError")).count()
                + " lines with OutOfMemoryError");
        return code;
    }

    private int play() throws Exception {
        CountDownLatch first = new CountDownLatch(CLIENTS);
        CountDownLatch done = new CountDownLatch(CLIENTS);
        for (int i = 0; i < CLIENTS; i++) {
            Server.daemon(() -> client(first, done));
            Thread.sleep(20);
        }
        CountDownLatch smallDone = new CountDownLatch(1);
        Server.daemon(() -> smallRequests(smallDone));
        boolean left = done.await(60, TimeUnit.SECONDS);
        rig.record("the clients with bodies have left");
        Thread.sleep(AFTER_MS);
        ended = true;
        smallDone.await(STAYS_MS + 2_000, TimeUnit.MILLISECONDS);
        rig.say("requests with a body: " + large);
        rig.say("small requests: " + small);
        if (!left || large.inTime.get() < CLIENTS / 2) {
            return Rig.NOT_RUN;
        }
        return large.lost.get() + small.lost.get() == 0 ? Rig.HELD : Rig.BROKEN;
    }

    private void client(CountDownLatch first, CountDownLatch done) {
        try (Client client = new Client(balancer)) {
            try {
                request(client, BODY, false, large);
            } finally {
                first.countDown();
            }
            first.await();
            request(client, BODY, rig.trouble, large);
        } catch (Exception e) {
            rig.record("a client with a body: " + e);
        } finally {
            done.countDown();
        }
    }

    /** Sends a small request on a new connection five times a second. */
    private void smallRequests(CountDownLatch done) {
        List<Thread> requests = new ArrayList<>();
        try {
            while (!ended) {
                Thread request = new Thread(() -> {
                    try (Client client = new Client(balancer)) {
                        request(client, 4, false, small);
                    } catch (Exception e) {
                        rig.record("a small request: " + e);
                    }
                });
                request.setDaemon(true);
                request.start();
                requests.add(request);
                Thread.sleep(SMALL_EVERY_MS);
            }
            for (Thread request : requests) {
                request.join();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        done.countDown();
    }

    private void request(Client client, int length, boolean slowly, Count count) throws Exception {
        String transaction = String.format("%08x", ids.incrementAndGet());
        byte[] body = new byte[length];
        Arrays.fill(body, (byte) 'x');
        double startedAt = rig.now();
        try {
            client.send(Site.head("book-slot", transaction, TIME_MS / 1e3, length));
            int piece = slowly ? PIECE : length;
            for (int from = 0; from < length; from += piece) {
                client.send(Arrays.copyOfRange(body, from, Math.min(length, from + piece)));
                double early = startedAt + (double) from / BYTES_PER_MS - rig.now();
                if (slowly && early > 0) {
                    Thread.sleep((long) early);
                }
            }
        } catch (java.io.IOException e) {
            count.unsent.incrementAndGet();
            throw e;
        }
        double writtenAt = rig.now();
        String end = "nothing in " + STAYS_MS + " ms";
        boolean answered = false;
        try {
            Answer answer = client.read(STAYS_MS);
            answered = answer != null;
            end = answered ? answer.startLine() : "no answer";
        } catch (java.io.IOException e) {
            end = e.toString();
        }
        double after = rig.now() - writtenAt;
        boolean inTime = answered && after <= TIME_MS + GRACE_MS;
        (inTime ? count.inTime : count.lost).incrementAndGet();
        rig.record(String.format("client of %s, %d bytes, written in %.0f ms: %s after %.0f ms%s", transaction, length,
                writtenAt - startedAt, end, after, inTime ? "" : ", not in time"));
        if (!answered) {
            throw new java.io.IOException("no answer to " + transaction);
        }
    }
}
