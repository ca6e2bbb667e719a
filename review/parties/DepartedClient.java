package parties;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Every few seconds a burst of clients sends bodies of 200 KB, and some of them leave soon after. No attempt
 * may begin more than 0.1 s after its client has left.
 */
final class DepartedClient {

    private static final int UPSTREAMS = 8;
    private static final int CORES = 2;
    private static final int WORK_MS = 350;
    private static final int BURSTS = 8;
    private static final int BURST = 80;
    private static final int BETWEEN_MS = 4_000;
    private static final int LEAVES_AFTER_MS = 100;
    private static final int BODY = 200_000;
    /** 0.1 s by the page, and as much again for the scheduling of the stand-ins. */
    private static final double ALLOWED_MS = 200;

    private final Rig rig;
    /** When each client that left has closed its connection. */
    private final Map<String, Double> leftAt = new ConcurrentHashMap<>();
    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger late = new AtomicInteger();
    private final AtomicInteger lateWhole = new AtomicInteger();

    private DepartedClient(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] args) {
        Rig.play(args[0], rig -> new DepartedClient(rig).run());
    }

    private int run() throws Exception {
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < UPSTREAMS; i++) {
            int number = i;
            Semaphore cores = new Semaphore(CORES, true);
            Upstream upstream = new Upstream("127.0.1." + (i + 1),
                    (transaction, connectedAt) -> begun(number, transaction),
                    (request, connection) -> serve(number, cores, request, connection));
            entries.add(Site.entry(i, upstream.address(), "up"));
        }
        Server discovery = Site.discovery("127.0.2.1", entries);
        String listen = "127.0.3.1:" + Rig.freePort("127.0.3.1");
        rig.startBalancer("n0", listen, discovery.address(),
                Site.config("n0", 0, 1, listen, discovery.address(), entries));
        rig.awaitReady(listen);
        Random random = new Random(41);
        List<Thread> clients = new ArrayList<>();
        for (int burst = 0; burst < BURSTS; burst++) {
            for (int i = 0; i < BURST; i++) {
                String transaction = String.format("%08x%04x%04x", random.nextInt(), burst, i);
                boolean large = i % 4 == 3;
                boolean leaves = rig.trouble && i % 8 == 7;
                Thread client = new Thread(() -> client(listen, transaction, large ? BODY : 200, leaves));
                client.setDaemon(true);
                client.start();
                clients.add(client);
                Thread.sleep(1);
            }
            Thread.sleep(BETWEEN_MS);
        }
        for (Thread client : clients) {
            client.join(8_000);
        }
        Thread.sleep(2_000);
        rig.say("sent " + BURSTS * BURST + ", run by upstreams " + whole + ", served " + served
                + ", clients that left " + leftAt.size() + "; attempts begun over " + ALLOWED_MS
                + " ms after their client had left " + late + ", of them run " + lateWhole);
        if (served.get() < BURSTS * BURST / 4 || rig.trouble && leftAt.isEmpty()) {
            return Rig.NOT_RUN;
        }
        return late.get() > 0 ? Rig.BROKEN : Rig.HELD;
    }

    /** The first bytes of an attempt have come. */
    private void begun(int number, String transaction) {
        Double left = leftAt.get(transaction);
        double after = left == null ? 0 : rig.now() - left;
        rig.record("upstream " + number + " gets " + transaction
                + (left == null ? "" : String.format(", %.0f ms after its client has left", after)));
        if (after > ALLOWED_MS) {
            late.incrementAndGet();
        }
    }

    private void serve(int number, Semaphore cores, Answer request, Server.Connection connection) throws Exception {
        String transaction = request.header("x-txn");
        Double left = leftAt.get(transaction);
        whole.incrementAndGet();
        if (left != null && rig.now() - left > ALLOWED_MS) {
            lateWhole.incrementAndGet();
        }
        rig.record("upstream " + number + " has the whole of " + transaction + " and runs it"
                + (left == null ? "" : ", though its client has left"));
        cores.acquire();
        try {
            Thread.sleep(WORK_MS);
        } finally {
            cores.release();
        }
        connection.answer(200, "", "done " + transaction);
    }

    private void client(String balancer, String transaction, int length, boolean leaves) {
        try (Client client = new Client(balancer)) {
            byte[] head = Site.head("book-slot", transaction, 5, length).getBytes();
            byte[] message = new byte[head.length + length];
            System.arraycopy(head, 0, message, 0, head.length);
            java.util.Arrays.fill(message, head.length, message.length, (byte) 'x');
            client.send(message);
            rig.record("client of " + transaction + " has sent it whole");
            if (leaves) {
                Thread.sleep(LEAVES_AFTER_MS);
                leftAt.put(transaction, rig.now());
                client.close();
                rig.record("client of " + transaction + " has left");
                return;
            }
            Answer answer = client.read(6_000);
            if (answer != null && answer.status() == 200) {
                served.incrementAndGet();
            }
            rig.record("client of " + transaction + " got " + (answer == null ? "no answer"
                    : Integer.toString(answer.status())));
        } catch (Exception e) {
            rig.record("client of " + transaction + ": " + e);
        }
    }
}
