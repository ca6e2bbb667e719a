package cranedeal.fleet.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import cranedeal.fleet.membership.Member;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The published document: {@code {"form":1,"services":{"front":{"settings":{...},"discovery":"..."}}}}. Each
 * service has a section, which its balancers overlay on their own files.
 */
public final class ConfigDocument {

    /** The size limits of a section and of the document, in bytes. */
    public static final int MAX_SECTION_BYTES = 256 << 10;
    public static final int MAX_DOCUMENT_BYTES = 2 << 20;
    private static final int FORMAT_VERSION = 1;
    private static final int MAX_SERVICES = 256;
    private static final Set<String> SECTION_KEYS = Set.of("settings", "discovery");
    /** Keys that differ between the balancers of a service, so they cannot be published. */
    private static final Set<String> MACHINE_KEYS = Set.of("name", "listen", "seed", "limits", "fleet",
            "admin_addr", "state_dir", "known", "settings.position", "settings.zone");
    private static final JsonMapper JSON = JsonMapper.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION).build();

    private ConfigDocument() {
    }

    /** An invalid document; the message names the line and key. */
    public static final class BadDocumentException extends Exception {

        private static final long serialVersionUID = 1;

        BadDocumentException(String message) {
            super(message);
        }
    }

    /** Returns the sections by service, in a canonical encoding; throws if the document is invalid. */
    public static SortedMap<String, byte[]> parse(byte[] bytes) throws BadDocumentException {
        if (bytes.length > MAX_DOCUMENT_BYTES) {
            throw new BadDocumentException("it has " + bytes.length + " bytes, and " + MAX_DOCUMENT_BYTES
                    + " are the most");
        }
        Map<String, Integer> lines = lineNumbers(bytes);
        JsonNode root;
        try {
            root = JSON.readTree(bytes);
        } catch (IOException e) {
            throw new BadDocumentException(e.getMessage().lines().findFirst().orElse(""));
        }
        if (root == null || !root.isObject()) {
            throw new BadDocumentException("line 1: it is no object");
        }
        for (String key : fieldNames(root)) {
            if (!Set.of("form", "services").contains(key)) {
                throw badDocument(lines, key, "is no key of a document; form and services are");
            }
        }
        if (!root.path("form").isInt() || root.path("form").intValue() != FORMAT_VERSION) {
            throw badDocument(lines, "form", "is not " + FORMAT_VERSION);
        }
        JsonNode services = root.path("services");
        if (!services.isObject() || services.size() > MAX_SERVICES) {
            throw badDocument(lines, "services", "is no object of at most " + MAX_SERVICES + " services");
        }
        SortedMap<String, byte[]> sections = new TreeMap<>();
        for (Map.Entry<String, JsonNode> entry : services.properties()) {
            sections.put(entry.getKey(), parseSection(entry.getKey(), entry.getValue(), lines));
        }
        return sections;
    }

    private static byte[] parseSection(String service, JsonNode section, Map<String, Integer> lines)
            throws BadDocumentException {
        String path = "services." + service;
        try {
            Member.requireName(service);
        } catch (IllegalArgumentException e) {
            throw badDocument(lines, path, "has no name of a service: " + e.getMessage());
        }
        if (!section.isObject()) {
            throw badDocument(lines, path, "is no object");
        }
        for (String key : fieldNames(section)) {
            if (MACHINE_KEYS.contains(key)) {
                throw badDocument(lines, path + "." + key, "is a machine's own, and can't be published");
            }
            if (!SECTION_KEYS.contains(key)) {
                throw badDocument(lines, path + "." + key,
                        "is no key of a section; settings and discovery are");
            }
        }
        if (section.has("settings") && !section.get("settings").isObject()) {
            throw badDocument(lines, path + ".settings", "is no object");
        }
        for (String key : fieldNames(section.path("settings"))) {
            if (MACHINE_KEYS.contains("settings." + key)) {
                throw badDocument(lines, path + ".settings." + key,
                        "is a machine's own, and can't be published");
            }
        }
        if (section.has("discovery") && !section.get("discovery").isTextual()) {
            throw badDocument(lines, path + ".discovery", "is no address");
        }
        try {
            byte[] bytes = JSON.writeValueAsBytes(section);
            if (bytes.length > MAX_SECTION_BYTES) {
                throw badDocument(lines, path, "has " + bytes.length + " bytes, and " + MAX_SECTION_BYTES
                        + " are the most");
            }
            return bytes;
        } catch (JsonProcessingException e) {
            throw new BadDocumentException(path + ": " + e.getMessage());
        }
    }

    private static Iterable<String> fieldNames(JsonNode object) {
        return object::fieldNames;
    }

    private static BadDocumentException badDocument(Map<String, Integer> lines, String path, String problem) {
        Integer line = lines.get(path);
        return new BadDocumentException((line == null ? "" : "line " + line + ": ") + path + " " + problem);
    }

    /** The line number of each key of the first four levels, by path. */
    private static Map<String, Integer> lineNumbers(byte[] bytes) throws BadDocumentException {
        Map<String, Integer> lines = new HashMap<>();
        try (JsonParser parser = JSON.createParser(bytes)) {
            while (parser.nextToken() != null) {
                if (parser.currentToken() == JsonToken.FIELD_NAME) {
                    String path = parser.getParsingContext().pathAsPointer().toString().substring(1)
                            .replace('/', '.');
                    if (path.chars().filter(c -> c == '.').count() < 4) {
                        lines.putIfAbsent(path, parser.currentTokenLocation().getLineNr());
                    }
                }
            }
            return lines;
        } catch (JsonProcessingException e) {
            throw new BadDocumentException("line " + e.getLocation().getLineNr() + ", column "
                    + e.getLocation().getColumnNr() + ": "
                    + e.getOriginalMessage().lines().findFirst().orElse(""));
        } catch (IOException e) {
            throw new BadDocumentException(e.getMessage());
        }
    }
}
