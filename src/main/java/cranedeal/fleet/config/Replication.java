package cranedeal.fleet.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** The messages between coordinators: two requests and their common answer. */
final class Replication {

    private Replication() {
    }

    /**
     * Requests the promise to refuse lower epochs.
     *
     * @param newest the latest version that the sender knows to be committed
     */
    record Prepare(long epoch, String leader, VersionId newest) {

        ObjectNode json() {
            return Manifest.JSON.createObjectNode().put("epoch", epoch).put("leader", leader)
                    .put("newest", newest.toString());
        }

        static Prepare parse(JsonNode json) throws IOException {
            return new Prepare(json.path("epoch").asLong(), json.path("leader").asText(), id(json, "newest"));
        }
    }

    /**
     * The leader's state, and one version that the other lacks.
     *
     * @param ids the versions that are to be kept
     * @param committed the latest that a majority has
     * @param version null if it only says that the leader is there
     */
    record Append(long epoch, String leader, Set<VersionId> ids, VersionId committed, Version version) {

        ObjectNode json() {
            ObjectNode json = Manifest.JSON.createObjectNode().put("epoch", epoch).put("leader", leader)
                    .put("committed", committed.toString());
            writeIds(json, "ids", ids);
            if (version != null) {
                json.set("version", version.json());
            }
            return json;
        }

        static Append parse(JsonNode json) throws IOException {
            return new Append(json.path("epoch").asLong(), json.path("leader").asText(), readIds(json, "ids"),
                    id(json, "committed"), json.has("version") ? Version.parse(json.path("version")) : null);
        }
    }

    /**
     * Answers both.
     *
     * @param accepted whether it was done, and what it holds is forced to disk
     * @param promisedEpoch the highest epoch that was promised, and to whom
     * @param elected whether a majority is known to have promised that one
     * @param heldVersions the versions that it keeps
     * @param versions those that a new leader lacks; empty but for {@link Prepare}
     */
    record Answer(boolean accepted, long promisedEpoch, String leader, boolean elected, VersionId committed,
            Set<VersionId> heldVersions, List<Version> versions) {

        ObjectNode json() {
            ObjectNode json = Manifest.JSON.createObjectNode().put("accepted", accepted)
                    .put("promised", promisedEpoch).put("leader", leader).put("elected", elected)
                    .put("committed", committed.toString());
            writeIds(json, "have", heldVersions);
            ArrayNode bodies = json.putArray("versions");
            versions.forEach(version -> bodies.add(version.json()));
            return json;
        }

        static Answer parse(JsonNode json) throws IOException {
            List<Version> versions = new ArrayList<>();
            for (JsonNode item : json.path("versions")) {
                versions.add(Version.parse(item));
            }
            return new Answer(json.path("accepted").asBoolean(), json.path("promised").asLong(),
                    json.path("leader").asText(), json.path("elected").asBoolean(), id(json, "committed"),
                    readIds(json, "have"), versions);
        }
    }

    private static void writeIds(ObjectNode json, String key, Set<VersionId> ids) {
        ArrayNode array = json.putArray(key);
        ids.forEach(id -> array.add(id.toString()));
    }

    private static Set<VersionId> readIds(JsonNode json, String key) throws IOException {
        Set<VersionId> ids = new TreeSet<>();
        try {
            json.path(key).forEach(id -> ids.add(VersionId.parse(id.asText())));
        } catch (IllegalArgumentException e) {
            throw new IOException(e.getMessage(), e);
        }
        return ids;
    }

    private static VersionId id(JsonNode json, String key) throws IOException {
        try {
            return VersionId.parse(json.path(key).asText());
        } catch (IllegalArgumentException e) {
            throw new IOException(e.getMessage(), e);
        }
    }
}
