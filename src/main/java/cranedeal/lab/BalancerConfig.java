package cranedeal.lab;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import cranedeal.lab.link.AddressBlock;
import cranedeal.lab.standin.ServiceClass;
import cranedeal.lab.standin.UpstreamKind;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;

/** Builds the configuration file that the platform gives a balancer. */
final class BalancerConfig {

    static final double DRAIN_GRACE_MS = 2_000;
    static final double FALL_MULTIPLE = 3;
    static final double TIP_AFTER_MS = 1_500;
    /** Probe period of lab members, which share one machine and run short experiments. */
    static final int MEMBER_PERIOD_MS = 500;
    private static final JsonMapper JSON = new JsonMapper();

    private BalancerConfig() {
    }

    /** Returns the whole configuration of one balancer; {@code seed} changes with each start. */
    static ObjectNode of(Experiment experiment, int number, InetSocketAddress listen,
            InetSocketAddress discovery, long seed, ObjectNode known, List<InetSocketAddress> seeds) {
        String name = experiment.balancerNames().get(number);
        ObjectNode root = JSON.createObjectNode().put("name", name).put("listen", text(listen))
                .put("discovery", text(discovery)).put("seed", String.format("%016x", seed));
        root.putObject("limits").put("cores", 1.0).put("memory_mb", experiment.memoryMb())
                .put("sockets", experiment.sockets());
        root.set("known", known);
        if (experiment.members()) {
            // The seeds are named in every member's file, their own included.
            ObjectNode fleet = root.putObject("fleet").put("name", experiment.name())
                    .put("listen", text(memberAddress(listen, AddressBlock.MEMBER_PORT)))
                    .put("advertise", text(memberAddress(listen, AddressBlock.MEMBER_LINK_PORT)))
                    .put("probe_period_ms", experiment.scale().hollow() > 0 ? experiment.scale().periodMs()
                            : MEMBER_PERIOD_MS);
            seeds.forEach(one -> fleet.withArray("seeds").add(text(memberAddress(one,
                    AddressBlock.MEMBER_LINK_PORT))));
        }
        ObjectNode settings = settings(experiment, number, name);
        merge(settings, experiment.settings());
        root.set("settings", settings);
        return root;
    }

    private static InetSocketAddress memberAddress(InetSocketAddress of, int port) {
        return new InetSocketAddress(of.getAddress(), port);
    }

    static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private static ObjectNode settings(Experiment experiment, int number, String name) {
        ObjectNode settings = JSON.createObjectNode().put("position", number)
                .put("siblings", experiment.balancers()).put("tier", 0)
                .put("zone", experiment.zones().indexOf(experiment.zone(name)))
                .put("registryMode", "subscribe").put("worthBy", "request").put("overShareWorth", 0.1)
                .put("weightKind", "silent");
        settings.putArray("stages").add("front");
        experiment.zones().forEach(settings.putArray("zones")::add);
        ArrayNode types = settings.putArray("machineTypes");
        experiment.kinds().stream().map(UpstreamKind::name).forEach(types::add);
        settings.putObject("familyInfo").put("passesDeadline", true);
        settings.putObject("callers").put("marksRetry", false);
        settings.putObject("stats").put("how", "silent").putArray("fields");
        ArrayNode tenants = settings.putArray("tenants");
        double shares = experiment.load().tenants().values().stream().mapToDouble(Double::doubleValue).sum();
        for (Map.Entry<String, Double> tenant : experiment.load().tenants().entrySet()) {
            double fraction = tenant.getValue() / shares;
            tenants.addObject().put("name", tenant.getKey()).put("fraction", fraction)
                    .put("quotaPerS", fraction * experiment.load().ratePerS());
        }
        ArrayNode services = settings.putArray("services");
        experiment.load().classes().forEach(one -> services.add(service(one)));
        settings.putObject("limits").put("attemptsCap", 4).put("maxOpen", 20_000).put("cancel", true)
                .put("parallelTries", false).put("probes", true).put("peers", false).put("retryAfter", true)
                .put("maxRetryAfter", 2_000.0).put("connectTimeout", 250.0).put("connIdle", 30_000.0)
                .put("streamsPerConn", 1);
        double cold = experiment.kinds().stream().mapToDouble(UpstreamKind::coldShare).min().orElse(1);
        double warm = experiment.kinds().stream().mapToDouble(UpstreamKind::warmMs).max().orElse(0);
        settings.putObject("rules").put("graceToAnswer", 20.0).put("drainGrace", DRAIN_GRACE_MS)
                .put("askEvery", 10_000.0).put("startCapacity", cold).put("warmUp", warm)
                .put("fallMultiple", FALL_MULTIPLE).put("tipAfter", TIP_AFTER_MS);
        settings.putObject("goal").put("whole", 0.7).put("worstWindow", 0.1).put("worstClass", 0.1)
                .put("worstTenant", 0.1);
        ObjectNode prices = settings.putObject("prices");
        for (String price : new String[] {"crossZone", "probe", "waste", "lateFail", "connection",
            "handshake", "peer", "registryMode"}) {
            prices.put(price, 0.0);
        }
        return settings;
    }

    /** How long upstreams discard repeats of a keyed request. */
    static double memoryMs(ServiceClass of) {
        return 2 * of.deadlineMs();
    }

    private static ObjectNode service(ServiceClass one) {
        ObjectNode service = JSON.createObjectNode().put("name", one.name()).put("aim", one.aimMs())
                .put("deadline", one.deadlineMs()).put("worth", one.worth()).put("lateValue", 0.0)
                .put("idempotency", one.effect().word()).put("streamed", false);
        if (one.effect() == cranedeal.lab.history.Effect.DEDUPLICATED) {
            service.put("group", "cell").put("memorySpan", memoryMs(one));
        }
        return service;
    }

    private static void merge(ObjectNode into, ObjectNode from) {
        for (Map.Entry<String, JsonNode> field : from.properties()) {
            JsonNode there = into.get(field.getKey());
            if (there instanceof ObjectNode inner && field.getValue() instanceof ObjectNode changes) {
                merge(inner, changes);
            } else {
                into.set(field.getKey(), field.getValue());
            }
        }
    }
}
