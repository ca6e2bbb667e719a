package cranedeal.node;

import com.fasterxml.jackson.databind.JsonNode;
import cranedeal.node.discovery.UpstreamList;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * The object {@code fleet} of a balancer's configuration.
 *
 * @param name the name of the fleet
 * @param listen the address that receives datagrams and calls of other members
 * @param advertise the address announced to other members
 * @param seeds addresses of members to contact first
 * @param stateDir the folder in which known members are saved; null if they are not
 * @param periodMs the interval between probes of other members
 * @param service the service whose section of the fleet's configuration applies here; null if none
 * @param zone the zone of this balancer by the settings; empty if they name none
 */
record FleetConfig(String name, InetSocketAddress listen, InetSocketAddress advertise,
        List<InetSocketAddress> seeds, Path stateDir, double periodMs, String service, String zone) {

    private static final Set<String> KEYS = Set.of("name", "listen", "advertise", "seeds", "state_dir",
            "probe_period_ms", "service");
    private static final double DEFAULT_PERIOD_MS = 1_000;
    private static final double MIN_PERIOD_MS = 100;
    private static final double MAX_PERIOD_MS = 60_000;

    /** Parses it; null if absent. Throws {@link IllegalArgumentException}, whose message names the key. */
    static FleetConfig parse(JsonNode root) {
        JsonNode fleet = root.path("fleet");
        if (fleet.isMissingNode()) {
            return null;
        }
        if (!fleet.isObject()) {
            throw new IllegalArgumentException("fleet must be an object");
        }
        fleet.fieldNames().forEachRemaining(key -> {
            if (!KEYS.contains(key)) {
                throw new IllegalArgumentException("fleet." + key + " is an unknown key");
            }
        });
        String name = fleet.path("name").asText("");
        requireName("fleet.name", name);
        requireName("name", root.path("name").asText("balancer"));
        InetSocketAddress listen = address(fleet.path("listen"), "fleet.listen");
        List<InetSocketAddress> seeds = new ArrayList<>();
        for (JsonNode seed : fleet.path("seeds")) {
            seeds.add(address(seed, "fleet.seeds[" + seeds.size() + "]"));
        }
        double period = fleet.path("probe_period_ms").asDouble(DEFAULT_PERIOD_MS);
        if (!(period >= MIN_PERIOD_MS && period <= MAX_PERIOD_MS)) {
            throw new IllegalArgumentException("fleet.probe_period_ms must be a number from "
                    + (int) MIN_PERIOD_MS + " to " + (int) MAX_PERIOD_MS);
        }
        return new FleetConfig(name, listen, fleet.has("advertise")
                ? address(fleet.path("advertise"), "fleet.advertise") : listen, List.copyOf(seeds),
                folder(fleet), period, service(fleet), zone(root.path("settings")));
    }

    private static String service(JsonNode fleet) {
        if (!fleet.has("service")) {
            return null;
        }
        requireName("fleet.service", fleet.path("service").asText());
        return fleet.path("service").textValue();
    }

    /** The zone only serves to prefer near members, so an invalid one is not an error. */
    private static String zone(JsonNode settings) {
        String zone = settings.path("zones").path(settings.path("zone").asInt(-1)).asText("");
        try {
            Fleet.requireName(zone);
            return zone;
        } catch (IllegalArgumentException e) {
            return "";
        }
    }

    private static Path folder(JsonNode fleet) {
        try {
            return NodeConfig.folder(fleet, "state_dir");
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("fleet." + e.getMessage(), e);
        }
    }

    private static void requireName(String key, String name) {
        try {
            Fleet.requireName(name);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(key + ": " + e.getMessage(), e);
        }
    }

    private static InetSocketAddress address(JsonNode value, String key) {
        try {
            InetSocketAddress address = UpstreamList.address(value.asText(""));
            if (address.getAddress().isLoopbackAddress() && address.getPort() != 0) {
                return address;
            }
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(key + ": " + e.getMessage(), e);
        }
        throw new IllegalArgumentException(key + ": '" + value.asText()
                + "' is not a loopback address with a port");
    }
}
