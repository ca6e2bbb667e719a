package cranedeal.fleet.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/**
 * The configuration state that a member persists.
 *
 * @param held the manifest of the newest version that it has; null if it has none
 * @param section its service's section there; null if there is none for it
 * @param inForce the version that it goes by; {@link VersionId#NONE} if by its own file alone
 * @param inForceSection the section that it goes by; null if none
 * @param refusal why it does not go by what it holds; null if it does
 */
record FollowerState(Manifest held, byte[] section, VersionId inForce, byte[] inForceSection,
        Refusal refusal) {

    static final FollowerState EMPTY = new FollowerState(null, null, VersionId.NONE, null, null);
    private static final int FORMAT_VERSION = 1;

    /** Why a member refuses a version: the key, which may be empty, and the reason. */
    record Refusal(String key, String reason) { }

    byte[] bytes() throws IOException {
        ObjectNode json = Manifest.JSON.createObjectNode().put("form", FORMAT_VERSION).put("in_force",
                inForce.toString());
        if (held != null) {
            json.set("held", held.json());
        }
        if (section != null) {
            json.put("section", section);
        }
        if (inForceSection != null && inForceSection != section) {
            json.put("in_force_section", inForceSection);
        }
        json.put("in_force_has_section", inForceSection != null);
        if (refusal != null) {
            json.putObject("refused").put("key", refusal.key()).put("reason", refusal.reason());
        }
        return Manifest.JSON.writeValueAsBytes(json);
    }

    /** Throws {@link IOException} if it is malformed or damaged. */
    static FollowerState parse(byte[] bytes) throws IOException {
        JsonNode json = Manifest.JSON.readTree(bytes);
        if (json.path("form").asInt() != FORMAT_VERSION) {
            throw new IOException("a configuration of form " + json.path("form").asInt() + " was kept");
        }
        try {
            byte[] section = json.path("section").binaryValue();
            byte[] last = json.path("in_force_section").binaryValue();
            JsonNode refused = json.path("refused");
            return new FollowerState(json.has("held") ? Manifest.parse(json.path("held")) : null, section,
                    VersionId.parse(json.path("in_force").asText()),
                    last != null || !json.path("in_force_has_section").asBoolean() ? last : section,
                    refused.isObject() ? new Refusal(refused.path("key").asText(),
                    refused.path("reason").asText()) : null);
        } catch (IllegalArgumentException e) {
            throw new IOException(e.getMessage(), e);
        }
    }
}
