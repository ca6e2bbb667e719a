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
 * A version but for what its sections hold: small enough that each member has it.
 *
 * @param author who published it
 * @param timeMs when, in milliseconds since 1970
 * @param operation by which a publish that is repeated is known
 * @param note how it came to be, such as a rollback
 * @param services the sections by the service that goes by them
 */
public record Manifest(VersionId id, String author, long timeMs, String operation, String note,
        SortedMap<String, Section> services) {

    static final JsonMapper JSON = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS).build();
    /** The form that this version writes; one that is later is refused. */
    private static final int FORMAT_VERSION = 1;
    private static final int MAX_TEXT_LENGTH = 128;

    /**
     * What a section is known by.
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

    /** Of all that it says. */
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

    /** Throws {@link IOException} for what is none, or is damaged. */
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
                throw new IOException("a manifest is damaged: its checksum is another");
            }
            return manifest;
        } catch (IllegalArgumentException e) {
            throw new IOException(e.getMessage(), e);
        }
    }
}
