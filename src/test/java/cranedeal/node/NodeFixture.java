package cranedeal.node;

import cranedeal.LoadBalancer;
import cranedeal.node.memory.BufferMemory;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/** A node on loopback addresses, with servers on which the test acts as its upstreams and as discovery. */
final class NodeFixture implements AutoCloseable {

    /** The front's health check. */
    static final String HEALTH = "GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n";

    final ScriptedBalancer balancer = new ScriptedBalancer();
    final TestServer discovery = new TestServer();
    final List<TestServer> upstreams = new ArrayList<>();
    /** Addresses of further upstreams, listed behind those that the test acts as. */
    final List<String> furtherUpstreams = new ArrayList<>();
    private final List<HttpPeer> callers = new ArrayList<>();
    /** Settings that a test may change before it starts the node. */
    int sockets = 1_024;
    int connectTimeout = 3_000;
    int drainGrace = 2_000;
    /** For how many ms upstreams drop repeats of a deduplicated request. */
    int dedupWindowMs = 4_000;
    /** True if a request may have two attempts at once. */
    boolean parallelAttempts = true;
    /** True if discovery sends lists without being asked. */
    boolean pushLists;
    /** True if the node has an admin endpoint. */
    boolean adminEnabled;
    /** Memory of the node's buffers. */
    BufferMemory memory = new BufferMemory();
    /** Directory of the state that the node persists; null for none. */
    Path stateDir;
    /** Directory that the processes of an upgrade share; null for none. */
    Path upgradeDir;
    Node node;

    NodeFixture() throws IOException {
        this(1);
    }

    NodeFixture(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            upstreams.add(new TestServer());
        }
    }

    /** Starts the node with the scripted balancer as its decision module. */
    NodeFixture start() throws Exception {
        return start(balancer::attach);
    }

    NodeFixture start(Function<LoadBalancer.Actions, LoadBalancer> module) throws Exception {
        Path file = Files.createTempFile("node", ".json");
        try {
            Files.writeString(file, config());
            node = Node.start(NodeConfig.read(file.toString()), upgradeDir, module,
                    memory);
        } finally {
            Files.delete(file);
        }
        return this;
    }

    static String listEntry(int number, String address, String state) {
        return """
                {"id":"s-%08x","addr":"%s","zone":"dakar-a","kind":"front-mid","cell":%d,"state":"%s",
                 "weight":1.0,"started_ms":0}""".formatted(number, address, number, state);
    }

    static String listJson(long version, boolean full, String... entries) {
        return "{\"version\":%d,\"full\":%b,\"servers\":[%s]}".formatted(version, full,
                String.join(",", entries));
    }

    String config() {
        List<String> addresses = new ArrayList<>(upstreams.stream().map(TestServer::address).toList());
        addresses.addAll(furtherUpstreams);
        String[] entries = new String[addresses.size()];
        for (int i = 0; i < entries.length; i++) {
            entries[i] = listEntry(i, addresses.get(i), "up");
        }
        return """
                {"name":"n0",%s%s"listen":"127.0.0.1:0","discovery":"%s","seed":"8c1f30d27a5be964",
                 "limits":{"cores":1.0,"memory_mb":192,"sockets":%d},"known":%s,
                 "settings":{"position":0,"siblings":1,"tier":0,"stages":["front"],"zone":0,
                 "zones":["dakar-a"],"machineTypes":["front-mid"],"registryMode":"%s",
                 "familyInfo":{"passesDeadline":true},"callers":{"marksRetry":false},"worthBy":"request",
                 "overShareWorth":0.1,"weightKind":"silent",
                 "stats":{"how":"pull","fields":["queue","eps","latency_ms"]},"tenants":[],
                 "services":[
                 {"name":"look-up","aim":1000.0,"deadline":2500.0,"worth":1.0,"lateValue":0.5,
                  "idempotency":"idempotent","streamed":false},
                 {"name":"tile-order","aim":1000.0,"deadline":2500.0,"worth":8.0,"lateValue":0.5,
                  "idempotency":"deduplicated","group":"cell","memorySpan":%d.0,"streamed":false},
                 {"name":"credit-spend","aim":1500.0,"deadline":2500.0,"worth":2.0,"lateValue":0.3,
                  "idempotency":"at_most_once","streamed":false}],
                 "limits":{"attemptsCap":4,"maxOpen":20000,"cancel":true,"parallelTries":%b,"probes":true,
                  "peers":false,"retryAfter":true,"maxRetryAfter":2000.0,"connectTimeout":%d,
                  "connIdle":30000.0,"streamsPerConn":1},
                 "rules":{"graceToAnswer":20.0,"drainGrace":%d,"askEvery":1000.0,"startCapacity":0.13,
                  "warmUp":24000.0,"fallMultiple":3.0,"tipAfter":1500.0},
                 "goal":{"whole":0.55,"worstWindow":0.15,"worstClass":0.3,"worstTenant":0.0},
                 "prices":{"crossZone":0.22,"probe":0.01,"waste":0.2,"lateFail":0.03,"connection":0.0,
                  "handshake":0.0,"peer":0.0,"registryMode":0.0}}}
                """.formatted(adminEnabled ? "\"admin_addr\":\"127.0.0.1:0\"," : "",
                        stateDir == null ? "" : "\"state_dir\":\"" + stateDir + "\",", discovery.address(),
                        sockets, listJson(41, true, entries), pushLists ? "automatic" : "subscribe",
                        dedupWindowMs, parallelAttempts, connectTimeout, drainGrace);
    }

    /** Opens a caller's connection to the node. */
    HttpPeer caller() throws IOException {
        HttpPeer caller = HttpPeer.connect(node.address());
        callers.add(caller);
        return caller;
    }

    /** Answers the node's first watch with a full list, and returns the connection of the watch. */
    HttpPeer sendList(String... entries) throws Exception {
        ScriptedBalancer.next(balancer.changes);
        HttpPeer watch = discovery.accept();
        watch.read();
        watch.write(ok(listJson(42, true, entries)));
        if (ScriptedBalancer.next(balancer.changes) != LoadBalancer.Change.FULL) {
            throw new AssertionError("the node did not apply the list");
        }
        return watch;
    }

    /** Waits until the node has read everything that callers have written so far. */
    void awaitReads() throws IOException {
        HttpPeer other = caller();
        other.write(HEALTH);
        other.read();
    }

    /** Returns a request of the class whose repeats upstreams deduplicate. */
    static String tileOrder(String id) {
        return tileOrder(id, "");
    }

    static String tileOrder(String id, String body) {
        return "POST /tile-order HTTP/1.1\r\nHost: app.svc\r\nX-Txn: " + id
                + "\r\nX-Lane: tile-order\r\nX-Remaining: 10\r\nIdempotency-Key: k" + id
                + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Sends an operator's request to the admin endpoint, and returns the status of the answer. */
    int adminRequest(String method, String path) throws IOException {
        try (HttpPeer operator = HttpPeer.connect(node.adminAddress())) {
            operator.write(method + " " + path + " HTTP/1.1\r\nHost: ops\r\n\r\n");
            return operator.read().status();
        }
    }

    /** Returns a request of the class that is safe to repeat. */
    static String get(String id, String remaining) {
        return "GET /look-up/7?z=3 HTTP/1.1\r\nHost: app.svc\r\nX-Txn: " + id
                + "\r\nX-Lane: look-up\r\nX-Remaining: " + remaining + "\r\n\r\n";
    }

    /** Returns a request of the class that must never run twice. */
    static String spend(String id, String body) {
        return "POST /credit-spend HTTP/1.1\r\nHost: app.svc\r\nX-Txn: " + id
                + "\r\nX-Lane: credit-spend\r\nX-Remaining: 10\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body;
    }

    static String ok(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Asserts that the node still works: serves a request and checks the caller's answer. */
    void assertServes() throws Exception {
        HttpPeer caller = caller();
        caller.write(get("still", "10"));
        HttpPeer upstream = upstreams.get(0).accept();
        upstream.read();
        upstream.write(ok("well"));
        HttpPeer.Message answer = caller.read();
        if (answer == null || answer.status() != 200 || !answer.body().equals("well")) {
            throw new AssertionError("not served: " + answer);
        }
    }

    @Override
    public void close() throws IOException {
        for (HttpPeer caller : callers) {
            caller.close();
        }
        if (node != null) {
            node.shutdownNow();
        }
        for (TestServer upstream : upstreams) {
            upstream.close();
        }
        discovery.close();
    }
}
