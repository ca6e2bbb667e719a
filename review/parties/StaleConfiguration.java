package parties;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * By the balancer's own file all upstreams drop a repeat of a keyed request; by what the fleet has published,
 * only those of the same cell do. The balancer goes by that, and is killed and started again. No key may run
 * in two cells.
 */
final class StaleConfiguration {

    private static final int UPSTREAMS = 8;
    private static final int RESTARTS = 20;
    private static final double REQUESTS_PER_S = 110;
    /** Of the answers, this share is 500, after the request has run. */
    private static final double ERROR_SHARE = 0.2;
    private static final int SERVES_MS = 2_000;
    private static final int FRONT_ASKS_MS = 100;
    private static final String SERVICES = """
            [{"name":"book-slot","aim":2500.0,"deadline":6000.0,"worth":3.0,"lateValue":0.0,
              "idempotency":"at_most_once","streamed":false},
             {"name":"change-slot","aim":2000.0,"deadline":5000.0,"worth":8.0,"lateValue":0.0,
              "idempotency":"deduplicated","group":"cell","memorySpan":7500.0,"streamed":false}]""";

    private final Rig rig;
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger repeats = new AtomicInteger();
    /** The cells in which each key has run. */
    private final Map<String, Set<Integer>> cells = new ConcurrentHashMap<>();
    /** Kept connections without a request. */
    private final ArrayDeque<Client> idle = new ArrayDeque<>();
    private volatile boolean inService;
    private volatile boolean ended;

    private StaleConfiguration(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] args) {
        Rig.play(args[0], rig -> new StaleConfiguration(rig).run());
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
        Fleet fleet = new Fleet(rig);
        String listen = "127.0.3.1:" + Rig.freePort("127.0.3.1");
        String config = fleet.member("n0", Site.config("n0", 0, 1, listen, discovery.address(), entries)
                .replace("\"group\":\"cell\"", "\"group\":\"all\""));
        Process balancer = rig.startBalancer("n0", listen, discovery.address(), config);
        rig.awaitReady(listen);
        Path document = rig.temporary.resolve("document.json");
        Files.writeString(document, "{\"form\":1,\"services\":{\"front\":{\"settings\":{\"services\":" + SERVICES
                + "}}}}");
        if (!fleet.lead() || fleet.command("publish", document.toString(), "--to", fleet.all()).code() != 0
                || fleet.awaitInForce() == null) {
            return Rig.NOT_RUN;
        }
        rig.record("the published version is in force on the balancer");
        Thread load = new Thread(() -> load(listen));
        load.setDaemon(true);
        load.start();
        inService = true;
        for (int i = 0; i < RESTARTS; i++) {
            Thread.sleep(SERVES_MS);
            if (rig.trouble) {
                inService = false;
                balancer.destroyForcibly().waitFor();
                synchronized (idle) {
                    idle.clear();
                }
                rig.record("the balancer is killed");
                balancer = rig.startBalancer("n0", listen, discovery.address(), config);
                // The front asks on its own clock.
                Thread.sleep(ThreadLocalRandom.current().nextInt(FRONT_ASKS_MS));
                while (!answersHealth(listen)) {
                    Thread.sleep(FRONT_ASKS_MS);
                }
                rig.record("the front takes the balancer in");
                inService = true;
            }
        }
        Thread.sleep(SERVES_MS);
        ended = true;
        load.join(10_000);
        Thread.sleep(3_000);
        Set<String> twice = new HashSet<>();
        cells.forEach((key, ranIn) -> {
            if (ranIn.size() > 1) {
                twice.add(key);
            }
        });
        rig.say("sent " + sent + ", served " + served + ", repeats dropped by their cell " + repeats
                + "; keys that ran in two cells " + twice.size());
        rig.record("ran twice: " + twice);
        if (!twice.isEmpty()) {
            return Rig.BROKEN;
        }
        return served.get() < sent.get() / 4 ? Rig.NOT_RUN : Rig.HELD;
    }

    private static boolean answersHealth(String address) {
        try (Client client = new Client(address)) {
            client.send("GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n");
            Answer answer = client.read(1_000);
            return answer != null && answer.status() == 200;
        } catch (Exception e) {
            return false;
        }
    }

    private void serve(int number, Answer request, Server.Connection connection) throws Exception {
        String key = request.header("idempotency-key");
        String transaction = request.header("x-txn");
        int cell = number / 2;
        Thread.sleep(ThreadLocalRandom.current().nextInt(30, 100));
        // Each key is sent for 5 s at most, and a cell drops its repeats for 7.5 s.
        boolean first = key.isEmpty() || cells.computeIfAbsent(key, k -> ConcurrentHashMap.newKeySet()).add(cell);
        boolean error = ThreadLocalRandom.current().nextDouble() < ERROR_SHARE;
        rig.record("upstream " + number + " of cell " + cell + (first ? " has run " : " drops the repeat of ")
                + transaction + (error ? " and answers 500" : ""));
        repeats.addAndGet(first ? 0 : 1);
        connection.answer(error ? 500 : 200, "", error ? "" : "done " + transaction);
    }

    /** An open loop; the front deals it to the balancer while that is in service. */
    private void load(String balancer) {
        Random random = new Random(41);
        double next = rig.now();
        for (int i = 0; !ended; i++) {
            next += -Math.log(1 - random.nextDouble()) * 1_000 / REQUESTS_PER_S;
            try {
                Thread.sleep((long) Math.max(0, next - rig.now()));
            } catch (InterruptedException e) {
                return;
            }
            String serviceClass = random.nextDouble() < 0.53 ? "book-slot" : "change-slot";
            String transaction = String.format("%08x%08x", random.nextInt(), i);
            Server.daemon(() -> {
                if (awaitFront()) {
                    request(balancer, serviceClass, transaction);
                }
            });
        }
    }

    /** While the front has no balancer, a client is refused, and tries again twice after a wait. */
    private boolean awaitFront() {
        try {
            for (int tries = 0; !inService && tries < 2; tries++) {
                Thread.sleep(ThreadLocalRandom.current().nextInt(150, 350));
            }
        } catch (InterruptedException e) {
            return false;
        }
        return inService;
    }

    private void request(String balancer, String serviceClass, String transaction) {
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
            rig.record("client of " + transaction + " got " + (answer == null ? "no answer"
                    : Integer.toString(answer.status())));
            if (answer != null && answer.status() == 200) {
                served.incrementAndGet();
            }
            if (answer != null && !answer.header("connection").equalsIgnoreCase("close")) {
                synchronized (idle) {
                    idle.addLast(client);
                }
            } else {
                client.close();
            }
        } catch (Exception e) {
            rig.record("client of " + transaction + ": " + e);
        }
    }
}
