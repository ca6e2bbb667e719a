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
 * The configuration of a balancer, read from the file that {@code PROXY_CONFIG} names.
 *
 * @param path the file that it was read from
 * @param admin the address of the operators' endpoint; null if there is none
 * @param maxDescriptors how many file descriptors the process may hold
 * @param zones the names of the zones, by the index that the module uses; likewise machine types, classes and
 *     tenants
 * @param keys the keys present in the file itself, which a later file must have too; for service classes,
 *     those that all classes of the same idempotency have
 * @param knownUpstreams the upstreams to start with, as this balancer last knew them
 * @param stateDir the folder of the state that must survive a power loss; null if none is kept
 * @param fleet the fleet that it is a member of; null if none
 */
record NodeConfig(String path, String name, InetSocketAddress listen, InetSocketAddress admin,
        InetSocketAddress discovery, long seed, int maxDescriptors, Settings settings, List<String> zones,
        List<String> machineTypes, List<String> classes, List<String> tenants, Set<String> keys,
        UpstreamList knownUpstreams, Path stateDir, FleetConfig fleet) {

    static final JsonMapper JSON = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS).build();
    private static final String CLASS_KEY_PREFIX = "a class that is ";

    /** The options of the discovery client. */
    DiscoveryClient.Options discoveryOptions() {
        return new DiscoveryClient.Options(discovery, knownUpstreams.version(), seed,
                DiscoveryClient.MAX_WAIT_MS);
    }

    /**
     * Parses discovery's answer, mapping names of zones and machine types to their indexes in the settings.
     */
    UpstreamList parseList(InputStream body) throws IOException {
        return UpstreamList.parse(JSON.readTree(body), zones, machineTypes);
    }

    /**
     * Reads a file that is to replace the one in force: it must have all keys that the one in force has.
     *
     * @param section the section that the fleet has published, which overrides the file; null if none
     */
    static NodeConfig read(String path, NodeConfig inForce, JsonNode section) throws ConfigException {
        NodeConfig config = read(path, section);
        requireKeys(path, inForce.keys, config.keys);
        if (!startsWith(config.zones, inForce.zones)
                || !startsWith(config.machineTypes, inForce.machineTypes)) {
            throw new ConfigException(path + ": zones and machine types in use cannot change at a reload");
        }
        return config;
    }

    private static void requireKeys(String path, Set<String> required, Set<String> given)
            throws ConfigException {
        for (String key : required) {
            // A configuration need not have a class of each idempotency.
            String effect = key.startsWith(CLASS_KEY_PREFIX) ? key.substring(0, key.lastIndexOf('.')) : null;
            if ((effect == null || given.contains(effect + ".idempotency")) && !given.contains(key)) {
                throw new ConfigException(path + ": " + key + " is missing");
            }
        }
    }

    private static boolean startsWith(List<String> names, List<String> prefix) {
        return names.size() >= prefix.size() && names.subList(0, prefix.size()).equals(prefix);
    }

    static NodeConfig read(String path) throws ConfigException {
        return read(path, (JsonNode) null);
    }

    private static NodeConfig read(String path, JsonNode section) throws ConfigException {
        if (path == null || path.isEmpty()) {
            throw new ConfigException("PROXY_CONFIG is not set");
        }
        try {
            JsonNode root = JSON.readTree(Path.of(path).toFile());
            // The section must keep the file's keys; keys that only the section has may disappear later.
            Set<String> keys = keys(root);
            if (section != null && root instanceof ObjectNode target) {
                mergeInto(section, target);
                requireKeys(path, keys, keys(root));
            }
            return parse(path, root, keys);
        } catch (IOException e) {
            String reason = e.getMessage().lines().findFirst().orElse("");
            throw new ConfigException("cannot read " + path + ": " + reason);
        } catch (IllegalArgumentException | MalformedInputException e) {
            throw new ConfigException(path + ": " + e.getMessage());
        }
    }

    /** Merges one object into another: nested objects recursively, while lists are replaced as a whole. */
    private static void mergeInto(JsonNode section, ObjectNode target) {
        for (Map.Entry<String, JsonNode> field : section.properties()) {
            if (field.getValue().isObject() && target.get(field.getKey()) instanceof ObjectNode inner) {
                mergeInto(field.getValue(), inner);
            } else {
                target.set(field.getKey(), field.getValue());
            }
        }
    }

    private static NodeConfig parse(String path, JsonNode root, Set<String> keys) {
        JsonNode section = root.path("settings");
        if (!section.isObject()) {
            throw new IllegalArgumentException("settings is missing");
        }
        positive(section.path("limits").path("attemptsCap"), "settings.limits.attemptsCap");
        for (JsonNode service : section.path("services")) {
            positive(service.path("deadline"), "the deadline of a class");
        }
        List<String> classes = names(section.path("services"));
        if (Set.copyOf(classes).size() < classes.size()) {
            throw new IllegalArgumentException("two classes have the same name");
        }
        StringBuilder lines = new StringBuilder();
        flatten("", section, lines);
        Settings settings = SettingsParser.parse(lines.toString().getBytes(StandardCharsets.UTF_8));
        List<String> zones = names(section.path("zones"));
        List<String> machineTypes = names(section.path("machineTypes"));
        return new NodeConfig(path, root.path("name").asText("balancer"), address(root, "listen"),
                admin(root), address(root, "discovery"), seed(root.path("seed").asText("")),
                root.path("limits").path("sockets").asInt(1_024), settings, zones, machineTypes,
                classes, names(section.path("tenants")), keys,
                UpstreamList.parse(root.path("known"), zones, machineTypes), folder(root, "state_dir"),
                FleetConfig.parse(root));
    }

    private static void positive(JsonNode value, String name) {
        if (!value.isNumber() || !(value.doubleValue() > 0 && Double.isFinite(value.doubleValue()))) {
            throw new IllegalArgumentException(name + " must be a number above 0");
        }
    }

    private static Set<String> keys(JsonNode root) {
        Set<String> keys = new HashSet<>();
        root.fieldNames().forEachRemaining(keys::add);
        addKeys("settings.", root.path("settings"), keys);
        Map<String, Set<String>> byEffect = new HashMap<>();
        for (JsonNode service : root.path("settings").path("services")) {
            Set<String> classKeys = new HashSet<>();
            service.fieldNames().forEachRemaining(classKeys::add);
            // The placement of a class is optional.
            classKeys.removeAll(List.of("runsIn", "boundTo"));
            byEffect.computeIfAbsent(service.path("idempotency").asText(), effect -> new HashSet<>(classKeys))
                    .retainAll(classKeys);
        }
        byEffect.forEach((effect, classKeys) -> classKeys.forEach(
                key -> keys.add(CLASS_KEY_PREFIX + effect + "." + key)));
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

    /** The environment variable, which is set for this process alone, overrides the file. */
    private static InetSocketAddress admin(JsonNode root) {
        String address = System.getenv("PROXY_ADMIN_ADDR");
        if (address != null && !address.isEmpty()) {
            try {
                return UpstreamList.address(address);
            } catch (IllegalArgumentException e) {
                throw new IllegalArgumentException("PROXY_ADMIN_ADDR: " + e.getMessage(), e);
            }
        }
        return root.path("admin_addr").asText("").isEmpty() ? null : address(root, "admin_addr");
    }

    /** The folder that a key names; null if the key is absent. */
    static Path folder(JsonNode object, String key) {
        JsonNode value = object.path(key);
        if (value.isMissingNode()) {
            return null;
        }
        if (!value.isTextual() || value.textValue().isBlank()) {
            throw new IllegalArgumentException(key + " must name a folder");
        }
        return Path.of(value.textValue());
    }

    private static long seed(String text) {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("seed '" + text + "' is not a hexadecimal number", e);
        }
    }

    /** The names in a list of strings or of objects with a key {@code name}. */
    private static List<String> names(JsonNode list) {
        List<String> names = new ArrayList<>();
        list.forEach(item -> names.add(item.isObject() ? item.path("name").asText() : item.asText()));
        return List.copyOf(names);
    }

    /** Flattens nested settings to the {@code path=value} lines of the simulator's first message. */
    private static void flatten(String path, JsonNode value, StringBuilder lines) {
        if (value.isObject()) {
            for (Map.Entry<String, JsonNode> field : value.properties()) {
                String name = path.isEmpty() ? field.getKey() : path + "." + field.getKey();
                flatten(name, field.getValue(), lines);
            }
        } else if (value.isArray() && value.size() > 0 && value.get(0).isObject()) {
            appendLine(path + ".count", Integer.toString(value.size()), lines);
            for (int i = 0; i < value.size(); i++) {
                flatten(path + "." + i, value.get(i), lines);
            }
        } else if (value.isArray()) {
            List<String> items = new ArrayList<>();
            value.forEach(item -> items.add(sanitize(item)));
            appendLine(path, String.join(",", items), lines);
        } else if (!value.isNull() && !value.isMissingNode()) {
            appendLine(path, sanitize(value), lines);
        }
    }

    private static String sanitize(JsonNode value) {
        return value.asText().replaceAll("[\\s,]", "_");
    }

    private static void appendLine(String path, String value, StringBuilder lines) {
        lines.append(path).append('=').append(value).append('\n');
    }
}
