package cranedeal.lab.slope;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Locale;

/** Builds the JSON configuration of a balancer under test. */
final class DataPathConfig {

    /** The only service class. */
    static final String CLASS = "look-up";
    /** The value of the X-Remaining header of each call: its time limit in seconds. */
    static final String TIME_LIMIT_S = "2.000";
    static final String ZONE = "a";
    static final String MACHINE_TYPE = "plain";
    /** The default limit on a balancer's file descriptors. */
    static final int DEFAULT_SOCKETS = 4_096;
    private static final double DEADLINE_MS = 2_000;
    private static final double AIM_MS = 500;
    private static final long FIRST_VERSION = 41;
    private static final JsonMapper JSON = new JsonMapper();

    private DataPathConfig() {
    }

    /** Returns the id of an upstream in discovery, by its index. */
    static String id(int place) {
        return String.format(Locale.ROOT, "s-%08x", place + 1);
    }

    /** Returns the upstream list in discovery's format: all up and warm, in one zone. */
    private static ObjectNode list(List<InetSocketAddress> upstreams) {
        ObjectNode list = JSON.createObjectNode().put("version", FIRST_VERSION).put("full", true);
        ArrayNode servers = list.putArray("servers");
        for (int i = 0; i < upstreams.size(); i++) {
            servers.addObject().put("id", id(i)).put("addr", hostAndPort(upstreams.get(i)))
                    .put("zone", ZONE).put("kind", MACHINE_TYPE).put("cell", 0).put("state", "up")
                    .put("weight", 1.0).put("started_ms", 0);
        }
        return list;
    }

    static ObjectNode of(InetSocketAddress listen, InetSocketAddress discovery,
            InetSocketAddress admin, List<InetSocketAddress> upstreams, int sockets) {
        ObjectNode root = JSON.createObjectNode().put("name", "n0").put("listen", hostAndPort(listen))
                .put("discovery", hostAndPort(discovery)).put("seed", "0000000000000001")
                .put("admin_addr", hostAndPort(admin));
        root.putObject("limits").put("cores", 1.0).put("memory_mb", 192).put("sockets", sockets);
        root.set("known", list(upstreams));
        ObjectNode settings = root.putObject("settings").put("position", 0).put("siblings", 1).put("tier", 0)
                .put("zone", 0).put("registryMode", "subscribe").put("worthBy", "request")
                .put("overShareWorth", 0.1).put("weightKind", "silent");
        settings.putArray("stages").add("front");
        settings.putArray("zones").add(ZONE);
        settings.putArray("machineTypes").add(MACHINE_TYPE);
        settings.putObject("familyInfo").put("passesDeadline", true);
        settings.putObject("callers").put("marksRetry", false);
        settings.putObject("stats").put("how", "silent").putArray("fields");
        settings.putArray("tenants");
        settings.putArray("services").addObject().put("name", CLASS).put("aim", AIM_MS)
                .put("deadline", DEADLINE_MS).put("worth", 1.0).put("lateValue", 0.0)
                .put("idempotency", "idempotent").put("streamed", false);
        settings.putObject("limits").put("attemptsCap", 4).put("maxOpen", 20_000).put("cancel", true)
                .put("parallelTries", false).put("probes", true).put("peers", false).put("retryAfter", true)
                .put("maxRetryAfter", 2_000.0).put("connectTimeout", 250.0).put("connIdle", 30_000.0)
                .put("streamsPerConn", 1);
        settings.putObject("rules").put("graceToAnswer", 20.0).put("drainGrace", 2_000.0)
                .put("askEvery", 10_000.0).put("startCapacity", 0.5).put("warmUp", 1_000.0)
                .put("fallMultiple", 3.0).put("tipAfter", 1_500.0);
        settings.putObject("goal").put("whole", 0.7).put("worstWindow", 0.1).put("worstClass", 0.1)
                .put("worstTenant", 0.1);
        ObjectNode prices = settings.putObject("prices");
        for (String price : new String[] {"crossZone", "probe", "waste", "lateFail", "connection",
            "handshake", "peer", "registryMode"}) {
            prices.put(price, 0.0);
        }
        return root;
    }

    private static String hostAndPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
