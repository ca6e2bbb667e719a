package cranedeal.fleet.config;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The metadata of a version without its sections: small enough for each member to have it.
 *
 * @param author who published it
 * @param timeMs when, in milliseconds since 1970
 * @param operation an id that makes a repeated publish idempotent
 * @param note how it came to be, such as a rollback
 * @param services the sections by the service that goes by them
 */
public record Manifest(VersionId id, String author, long timeMs, String operation, String note,
        SortedMap<String, Section> services) {

    static final JsonMapper JSON = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS).build();
    /** The format version that this release writes; any other is refused. */
    private static final int FORMAT_VERSION = 1;
    private static final int MAX_TEXT_LENGTH = 128;

    /**
     * The checksum and size of a section.
     *
     * @param checksum SHA-256 of its bytes, in hexadecimal
     */
    public record Section(String checksum, int bytes) { }

    /** Throws {@link IllegalArgumentException} for words that are too long. */
    public Manifest {
        if (Math.max(Math.max(author.length(), operation.length()), note.length()) > MAX_TEXT_LENGTH) {
            throw new IllegalArgumentException("author, operation or note has more than " + MAX_TEXT_LENGTH
                    + " characters");
        }
        services = Collections.unmodifiableSortedMap(new TreeMap<>(services));
    }

    private ObjectNode jsonWithoutChecksum() {
        ObjectNode json = JSON.createObjectNode().put("form", FORMAT_VERSION).put("epoch", id.epoch())
                .put("number", id.number()).put("author", author).put("time_ms", timeMs)
                .put("operation", operation).put("note", note);
        ObjectNode sections = json.putObject("services");
        for (Map.Entry<String, Section> entry : services.entrySet()) {
            sections.putObject(entry.getKey()).put("checksum", entry.getValue().checksum())
                    .put("bytes", entry.getValue().bytes());
        }
        return json;
    }

    /** The checksum of all other fields. */
    public String checksum() {
        return Checksum.of(jsonWithoutChecksum().toString().getBytes(StandardCharsets.UTF_8));
    }

    ObjectNode json() {
        return jsonWithoutChecksum().put("checksum", checksum());
    }

    byte[] bytes() {
        return json().toString().getBytes(StandardCharsets.UTF_8);
    }

    static Manifest parse(byte[] bytes) throws IOException {
        return parse(JSON.readTree(bytes));
    }

    /** Throws {@link IOException} if it is malformed or damaged. */
    static Manifest parse(JsonNode json) throws IOException {
        if (json == null || json.path("form").asInt() != FORMAT_VERSION) {
            throw new IOException("no manifest of form " + FORMAT_VERSION);
        }
        try {
            SortedMap<String, Section> services = new TreeMap<>();
            for (Map.Entry<String, JsonNode> entry : json.path("services").properties()) {
                services.put(entry.getKey(), new Section(entry.getValue().path("checksum").asText(),
                        entry.getValue().path("bytes").asInt()));
            }
            Manifest manifest = new Manifest(new VersionId(json.path("epoch").asLong(),
                    json.path("number").asLong()), json.path("author").asText(),
                    json.path("time_ms").asLong(), json.path("operation").asText(),
                    json.path("note").asText(), services);
            if (!manifest.checksum().equals(json.path("checksum").asText())) {
                throw new IOException("a manifest is damaged: checksum mismatch");
            }
            return manifest;
        } catch (IllegalArgumentException e) {
            throw new IOException(e.getMessage(), e);
        }
    }
}
