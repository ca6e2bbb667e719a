package cranedeal.node;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import cranedeal.LoadBalancer.Settings;
import cranedeal.node.discovery.DiscoveryClient;
import cranedeal.node.discovery.UpstreamList;
import cranedeal.wire.MalformedInputException;
import cranedeal.wire.SettingsParser;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What the platform tells a balancer in the file that {@code PROXY_CONFIG} names.
 *
 * @param path where it was read
 * @param admin where operators call; null if they don't
 * @param maxDescriptors how many file descriptors the process may hold
 * @param zones the names of the zones, by the index that the module uses; likewise the others
 * @param keys the keys that the file itself has, in the settings' classes only those that all with one effect
 *     have
 * @param knownUpstreams the upstreams as this balancer last had them
 * @param stateDir where what must outlast a power loss is kept; null if nothing is
 * @param fleet of which fleet it is a member; null if of none
 */
record NodeConfig(String path, String name, InetSocketAddress listen, InetSocketAddress admin,
        InetSocketAddress discovery, long seed, int maxDescriptors, Settings settings, List<String> zones,
        List<String> machineTypes, List<String> classes, List<String> tenants, Set<String> keys,
        UpstreamList knownUpstreams, Path stateDir, FleetConfig fleet) {

    static final JsonMapper JSON = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS).build();
    private static final String CLASS = "a class that is ";

    /** What a client of discovery begins with. */
    DiscoveryClient.Options discoveryOptions() {
        return new DiscoveryClient.Options(discovery, knownUpstreams.version(), seed,
                DiscoveryClient.MAX_WAIT_MS);
    }

    /** Reads a list as discovery answers with it, by the names of zones and kinds in the settings. */
    UpstreamList parseList(InputStream body) throws IOException {
        return UpstreamList.parse(JSON.readTree(body), zones, machineTypes);
    }

    /**
     * Reads a file that is to replace the one in force: whatever that has, it must have too.
     *
     * @param section what the fleet has published, which goes before the file; null if nothing
     */
    static NodeConfig read(String path, NodeConfig inForce, JsonNode section) throws ConfigException {
        NodeConfig config = read(path, section);
        requireKeys(path, inForce.keys, config.keys);
        if (!startsWith(config.zones, inForce.zones)
                || !startsWith(config.machineTypes, inForce.machineTypes)) {
            throw new ConfigException(path + ": zones and machine types in use can't change in service");
        }
        return config;
    }

    private static void requireKeys(String path, Set<String> wanted, Set<String> given)
            throws ConfigException {
        for (String key : wanted) {
            // There need not be a class with each effect.
            String effect = key.startsWith(CLASS) ? key.substring(0, key.lastIndexOf('.')) : null;
            if ((effect == null || given.contains(effect + ".idempotency")) && !given.contains(key)) {
                throw new ConfigException(path + ": " + key + " is missing");
            }
        }
    }

    private static boolean startsWith(List<String> names, List<String> first) {
        return names.size() >= first.size() && names.subList(0, first.size()).equals(first);
    }

    static NodeConfig read(String path) throws ConfigException {
        return read(path, (JsonNode) null);
    }

    private static NodeConfig read(String path, JsonNode section) throws ConfigException {
        if (path == null || path.isEmpty()) {
            throw new ConfigException("PROXY_CONFIG names no file");
        }
        try {
            JsonNode root = JSON.readTree(Path.of(path).toFile());
            // What the file has has to be there with the section too, and the section's can go again.
            Set<String> keys = keys(root);
            if (section != null && root instanceof ObjectNode own) {
                lay(section, own);
                requireKeys(path, keys, keys(root));
            }
            return parse(path, root, keys);
        } catch (IOException e) {
            String why = e.getMessage().lines().findFirst().orElse("");
            throw new ConfigException("cannot read " + path + ": " + why);
        } catch (IllegalArgumentException | MalformedInputException e) {
            throw new ConfigException(path + ": " + e.getMessage());
        }
    }

    /** Puts one object's values in place of another's; objects within are laid likewise, lists as a whole. */
    private static void lay(JsonNode section, ObjectNode over) {
        for (Map.Entry<String, JsonNode> field : section.properties()) {
            if (field.getValue().isObject() && over.get(field.getKey()) instanceof ObjectNode inner) {
                lay(field.getValue(), inner);
            } else {
                over.set(field.getKey(), field.getValue());
            }
        }
    }

    private static NodeConfig parse(String path, JsonNode root, Set<String> keys) {
        JsonNode given = root.path("settings");
        if (!given.isObject()) {
            throw new IllegalArgumentException("settings is missing");
        }
        positive(given.path("limits").path("attemptsCap"), "settings.limits.attemptsCap");
        for (JsonNode service : given.path("services")) {
            positive(service.path("deadline"), "the deadline of a class");
        }
        List<String> classes = names(given.path("services"));
        if (Set.copyOf(classes).size() < classes.size()) {
            throw new IllegalArgumentException("two classes have one name");
        }
        StringBuilder lines = new StringBuilder();
        flatten("", given, lines);
        Settings settings = SettingsParser.parse(lines.toString().getBytes(StandardCharsets.UTF_8));
        List<String> zones = names(given.path("zones"));
        List<String> kinds = names(given.path("machineTypes"));
        return new NodeConfig(path, root.path("name").asText("balancer"), address(root, "listen"),
                admin(root), address(root, "discovery"), seed(root.path("seed").asText("")),
                root.path("limits").path("sockets").asInt(1_024), settings, zones, kinds,
                classes, names(given.path("tenants")), keys,
                UpstreamList.parse(root.path("known"), zones, kinds), folder(root, "state_dir"),
                FleetConfig.parse(root));
    }

    private static void positive(JsonNode value, String name) {
        if (!value.isNumber() || !(value.doubleValue() > 0 && Double.isFinite(value.doubleValue()))) {
            throw new IllegalArgumentException(name + " is no number above 0");
        }
    }

    private static Set<String> keys(JsonNode root) {
        Set<String> keys = new HashSet<>();
        root.fieldNames().forEachRemaining(keys::add);
        addKeys("settings.", root.path("settings"), keys);
        Map<String, Set<String>> byEffect = new HashMap<>();
        for (JsonNode service : root.path("settings").path("services")) {
            Set<String> own = new HashSet<>();
            service.fieldNames().forEachRemaining(own::add);
            // Where a class may run is its own affair.
            own.removeAll(List.of("runsIn", "boundTo"));
            byEffect.computeIfAbsent(service.path("idempotency").asText(), effect -> new HashSet<>(own))
                    .retainAll(own);
        }
        byEffect.forEach((effect, own) -> own.forEach(key -> keys.add(CLASS + effect + "." + key)));
        return Set.copyOf(keys);
    }

    private static void addKeys(String path, JsonNode object, Set<String> keys) {
        for (Map.Entry<String, JsonNode> field : object.properties()) {
            keys.add(path + field.getKey());
            if (field.getValue().isObject()) {
                addKeys(path + field.getKey() + ".", field.getValue(), keys);
            }
        }
    }

    private static InetSocketAddress address(JsonNode root, String key) {
        try {
            return UpstreamList.address(root.path(key).asText(""));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(key + ": " + e.getMessage(), e);
        }
    }

    /** The environment's word, which is this process's alone, goes before that of the file. */
    private static InetSocketAddress admin(JsonNode root) {
        String given = System.getenv("PROXY_ADMIN_ADDR");
        if (given != null && !given.isEmpty()) {
            try {
                return UpstreamList.address(given);
            } catch (IllegalArgumentException e) {
                throw new IllegalArgumentException("PROXY_ADMIN_ADDR: " + e.getMessage(), e);
            }
        }
        return root.path("admin_addr").asText("").isEmpty() ? null : address(root, "admin_addr");
    }

    /** The folder that a key names; null without that key. */
    static Path folder(JsonNode object, String key) {
        JsonNode given = object.path(key);
        if (given.isMissingNode()) {
            return null;
        }
        if (!given.isTextual() || given.textValue().isBlank()) {
            throw new IllegalArgumentException(key + " names no folder");
        }
        return Path.of(given.textValue());
    }

    private static long seed(String text) {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("seed '" + text + "' is no hexadecimal number", e);
        }
    }

    /** The names in a list, or those of the objects in it. */
    private static List<String> names(JsonNode list) {
        List<String> names = new ArrayList<>();
        list.forEach(item -> names.add(item.isObject() ? item.path("name").asText() : item.asText()));
        return List.copyOf(names);
    }

    /** Writes nested settings as the {@code path=value} lines of the simulator's first message. */
    private static void flatten(String path, JsonNode value, StringBuilder lines) {
        if (value.isObject()) {
            for (Map.Entry<String, JsonNode> field : value.properties()) {
                String name = path.isEmpty() ? field.getKey() : path + "." + field.getKey();
                flatten(name, field.getValue(), lines);
            }
        } else if (value.isArray() && value.size() > 0 && value.get(0).isObject()) {
            line(path + ".count", Integer.toString(value.size()), lines);
            for (int i = 0; i < value.size(); i++) {
                flatten(path + "." + i, value.get(i), lines);
            }
        } else if (value.isArray()) {
            List<String> items = new ArrayList<>();
            value.forEach(item -> items.add(plain(item)));
            line(path, String.join(",", items), lines);
        } else if (!value.isNull() && !value.isMissingNode()) {
            line(path, plain(value), lines);
        }
    }

    private static String plain(JsonNode value) {
        return value.asText().replaceAll("[\\s,]", "_");
    }

    private static void line(String path, String value, StringBuilder lines) {
        lines.append(path).append('=').append(value).append('\n');
    }
}
