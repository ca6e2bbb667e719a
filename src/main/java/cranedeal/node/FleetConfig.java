package cranedeal.node;

import com.fasterxml.jackson.databind.JsonNode;
import cranedeal.node.discovery.UpstreamList;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * What the object {@code fleet} in a balancer's configuration says.
 *
 * @param name of the fleet
 * @param listen where datagrams and calls of other members come in
 * @param advertise where the others are told to reach it
 * @param seeds where others may be
 * @param stateDir where the members that it knew are kept; null if they are not
 * @param periodMs how often it probes another member
 * @param service whose section of the fleet's configuration it goes by; null if by none
 * @param zone where it runs, as the settings say; empty if they don't
 */
record FleetConfig(String name, InetSocketAddress listen, InetSocketAddress advertise,
        List<InetSocketAddress> seeds, Path stateDir, double periodMs, String service, String zone) {

    private static final Set<String> KEYS = Set.of("name", "listen", "advertise", "seeds", "state_dir",
            "probe_period_ms", "service");
    private static final double USUAL_PERIOD_MS = 1_000;
    private static final double SHORTEST_PERIOD_MS = 100;
    private static final double LONGEST_PERIOD_MS = 60_000;

    /** Reads it; null if there is none. Throws {@link IllegalArgumentException} that names the key. */
    static FleetConfig parse(JsonNode root) {
        JsonNode given = root.path("fleet");
        if (given.isMissingNode()) {
            return null;
        }
        if (!given.isObject()) {
            throw new IllegalArgumentException("fleet is no object");
        }
        given.fieldNames().forEachRemaining(key -> {
            if (!KEYS.contains(key)) {
                throw new IllegalArgumentException("fleet." + key + " is no key of fleet");
            }
        });
        String name = given.path("name").asText("");
        requireName("fleet.name", name);
        requireName("name", root.path("name").asText("balancer"));
        InetSocketAddress listen = address(given.path("listen"), "fleet.listen");
        List<InetSocketAddress> seeds = new ArrayList<>();
        for (JsonNode seed : given.path("seeds")) {
            seeds.add(address(seed, "fleet.seeds[" + seeds.size() + "]"));
        }
        double period = given.path("probe_period_ms").asDouble(USUAL_PERIOD_MS);
        if (!(period >= SHORTEST_PERIOD_MS && period <= LONGEST_PERIOD_MS)) {
            throw new IllegalArgumentException("fleet.probe_period_ms is no number from "
                    + (int) SHORTEST_PERIOD_MS + " to " + (int) LONGEST_PERIOD_MS);
        }
        return new FleetConfig(name, listen, given.has("advertise")
                ? address(given.path("advertise"), "fleet.advertise") : listen, List.copyOf(seeds),
                folder(given), period, service(given), zone(root.path("settings")));
    }

    private static String service(JsonNode given) {
        if (!given.has("service")) {
            return null;
        }
        requireName("fleet.service", given.path("service").asText());
        return given.path("service").textValue();
    }

    /** Only says who is near, so one that can't be told stops nothing. */
    private static String zone(JsonNode settings) {
        String zone = settings.path("zones").path(settings.path("zone").asInt(-1)).asText("");
        try {
            Fleet.requireName(zone);
            return zone;
        } catch (IllegalArgumentException e) {
            return "";
        }
    }

    private static Path folder(JsonNode given) {
        try {
            return NodeConfig.folder(given, "state_dir");
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

    private static InetSocketAddress address(JsonNode given, String key) {
        try {
            InetSocketAddress address = UpstreamList.address(given.asText(""));
            if (address.getAddress().isLoopbackAddress() && address.getPort() != 0) {
                return address;
            }
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(key + ": " + e.getMessage(), e);
        }
        throw new IllegalArgumentException(key + ": '" + given.asText()
                + "' is no loopback address with a port");
    }
}
