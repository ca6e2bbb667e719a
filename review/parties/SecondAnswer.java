package parties;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients book through two balancers; one upstream answer in twenty is sent again some milliseconds later. */
final class SecondAnswer {

    private static final int UPSTREAMS = 8;
    private static final double REQUESTS_PER_S = 110;
    private static final int PLAY_MS = 40_000;
    private static final double REPEATED_SHARE = 0.05;

    private final Rig rig;
    private final Set<String> served = ConcurrentHashMap.newKeySet();
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger own = new AtomicInteger();
    private final AtomicInteger foreign = new AtomicInteger();
    private final AtomicInteger otherwise = new AtomicInteger();
    private final AtomicInteger repeated = new AtomicInteger();

    private SecondAnswer(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] args) {
        Rig.play(args[0], rig -> new SecondAnswer(rig).run());
    }

    private int run() throws Exception {
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < UPSTREAMS; i++) {
            int number = i;
            Server upstream = new Server("127.0.1." + (i + 1), 0, (request, connection) ->
                    serve(number, request, connection));
            entries.add(Site.entry(i, upstream.address(), "up"));
        }
        Server discovery = Site.discovery("127.0.2.1", entries);
        List<String> balancers = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            String ip = "127.0.3." + (i + 1);
            String listen = ip + ":" + Rig.freePort(ip);
            rig.startBalancer("n" + i, listen, discovery.address(),
                    Site.config("n" + i, i, 2, listen, discovery.address(), entries));
            balancers.add(listen);
        }
        for (String balancer : balancers) {
            rig.awaitReady(balancer);
        }
        load(balancers);
        rig.say("sent " + sent + ", served with their own answer " + own + ", served with another's " + foreign
                + ", refused, failed or unanswered " + otherwise + "; answers sent again " + repeated);
        if (own.get() < sent.get() / 2 || rig.trouble && repeated.get() == 0) {
            return Rig.NOT_RUN;
        }
        return foreign.get() > 0 ? Rig.BROKEN : Rig.HELD;
    }

    private void serve(int number, Answer request, Server.Connection connection) throws Exception {
        String transaction = request.header("x-txn");
        Thread.sleep(ThreadLocalRandom.current().nextInt(60, 200));
        served.add(transaction);
        String body = "done " + transaction;
        rig.record("upstream " + number + " has run " + transaction);
        byte[] answer = Server.bytes(200, "", body);
        connection.write(answer);
        if (rig.trouble && ThreadLocalRandom.current().nextDouble() < REPEATED_SHARE) {
            int later = ThreadLocalRandom.current().nextInt(2, 10);
            repeated.incrementAndGet();
            Server.daemon(() -> {
                try {
                    Thread.sleep(later);
                    connection.write(answer);
                    rig.record("upstream " + number + " has sent the answer to " + transaction + " again, "
                            + later + " ms later");
                } catch (Exception e) {
                    rig.record("the connection had ended before the answer to " + transaction
                            + " could be sent again");
                }
            });
        }
    }

    /** An open loop: arrivals at random, on kept connections; when all are busy, a new one is opened. */
    private void load(List<String> balancers) throws Exception {
        Random random = new Random(41);
        List<ArrayDeque<Client>> idle = List.of(new ArrayDeque<>(), new ArrayDeque<>());
        List<Thread> open = new ArrayList<>();
        double next = rig.now();
        double end = next + PLAY_MS;
        for (int i = 0; next < end; i++) {
            next += -Math.log(1 - random.nextDouble()) * 1_000 / REQUESTS_PER_S;
            Thread.sleep((long) Math.max(0, next - rig.now()));
            int to = i % 2;
            String serviceClass = random.nextDouble() < 0.53 ? "book-slot" : "change-slot";
            String transaction = String.format("%08x%08x", random.nextInt(), i);
            Thread request = new Thread(() -> request(balancers.get(to), idle.get(to), serviceClass,
                    transaction));
            request.setDaemon(true);
            request.start();
            open.add(request);
        }
        for (Thread request : open) {
            request.join(8_000);
        }
    }

    private void request(String balancer, ArrayDeque<Client> idle, String serviceClass, String transaction) {
        Client client = null;
        sent.incrementAndGet();
        try {
            synchronized (idle) {
                client = idle.pollLast();
            }
            if (client == null) {
                client = new Client(balancer);
            }
            String body = "slot=" + transaction;
            client.send(Site.head(serviceClass, transaction, 4, body.length()) + body);
            Answer answer = client.read(5_000);
            if (answer != null && answer.status() == 200) {
                boolean isOwn = answer.text().equals("done " + transaction);
                (isOwn ? own : foreign).incrementAndGet();
                rig.record("client of " + transaction + " was served" + (isOwn ? "" : " with \"" + answer.text()
                        + "\"" + (served.contains(transaction) ? "" : ", before any upstream had run it")));
            } else {
                otherwise.incrementAndGet();
                rig.record("client of " + transaction + " got " + (answer == null ? "no answer"
                        : Integer.toString(answer.status())));
            }
            if (answer != null && !answer.header("connection").equalsIgnoreCase("close")) {
                synchronized (idle) {
                    idle.addLast(client);
                }
            } else {
                client.close();
            }
        } catch (Exception e) {
            otherwise.incrementAndGet();
            rig.record("client of " + transaction + ": " + e);
        }
    }
}
