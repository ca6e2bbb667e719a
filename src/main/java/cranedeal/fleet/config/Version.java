package cranedeal.fleet.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Function;

/** A version with its sections. */
final class Version {

    private final Manifest manifest;
    private final SortedMap<String, byte[]> sections;
    private final int size;

    private Version(Manifest manifest, SortedMap<String, byte[]> sections) {
        this.manifest = manifest;
        this.sections = sections;
        size = sections.values().stream().mapToInt(section -> section.length).sum();
    }

    static Version of(VersionId id, String author, long timeMs, String operation, String note,
            SortedMap<String, byte[]> sections) {
        SortedMap<String, Manifest.Section> sectionInfo = new TreeMap<>();
        sections.forEach((service, bytes) -> sectionInfo.put(service,
                new Manifest.Section(Checksum.of(bytes), bytes.length)));
        return new Version(new Manifest(id, author, timeMs, operation, note, sectionInfo), sections);
    }

    /** The same document under another id. */
    Version withId(VersionId id, long timeMs, String operation, String author, String note) {
        return new Version(new Manifest(id, author, timeMs, operation, note, manifest.services()), sections);
    }

    VersionId id() {
        return manifest.id();
    }

    Manifest manifest() {
        return manifest;
    }

    SortedMap<String, byte[]> sections() {
        return sections;
    }

    /** The size of all sections in bytes. */
    int size() {
        return size;
    }

    /** The section with a checksum; null if there is none. */
    byte[] section(String checksum) {
        for (Map.Entry<String, Manifest.Section> entry : manifest.services().entrySet()) {
            if (entry.getValue().checksum().equals(checksum)) {
                return sections.get(entry.getKey());
            }
        }
        return null;
    }

    ObjectNode json() {
        ObjectNode json = Manifest.JSON.createObjectNode();
        json.set("manifest", manifest.json());
        ObjectNode bodies = json.putObject("sections");
        manifest.services().forEach((service, section) -> bodies.put(section.checksum(),
                sections.get(service)));
        return json;
    }

    /** Throws {@link IOException} if it is malformed or damaged. */
    static Version parse(JsonNode json) throws IOException {
        Map<String, byte[]> bodies = new HashMap<>();
        for (Map.Entry<String, JsonNode> entry : json.path("sections").properties()) {
            bodies.put(entry.getKey(), entry.getValue().binaryValue());
        }
        return join(Manifest.parse(json.path("manifest")), bodies::get);
    }

    /** Joins a manifest and its sections by their checksums; throws {@link IOException} on a mismatch. */
    static Version join(Manifest manifest, Function<String, byte[]> byChecksum) throws IOException {
        SortedMap<String, byte[]> sections = new TreeMap<>();
        for (Map.Entry<String, Manifest.Section> entry : manifest.services().entrySet()) {
            byte[] bytes = byChecksum.apply(entry.getValue().checksum());
            if (bytes == null || !Checksum.of(bytes).equals(entry.getValue().checksum())) {
                throw new IOException("the section " + entry.getKey() + " of version " + manifest.id()
                        + " is damaged: checksum mismatch");
            }
            sections.put(entry.getKey(), bytes);
        }
        return new Version(manifest, sections);
    }
}
