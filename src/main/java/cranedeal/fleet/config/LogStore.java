package cranedeal.fleet.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import cranedeal.fleet.store.Disk;
import cranedeal.fleet.store.StoreLimits;
import cranedeal.fleet.store.Record;
import cranedeal.fleet.store.Store;
import cranedeal.fleet.store.ReplayHandler;
import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * Stores a coordinator's log: each record is one step, and a snapshot holds the steps that lead to the state.
 * A section is written once, however many versions share it.
 */
final class LogStore implements LogStorage, Closeable {

    private static final int PROMISE = 1;
    private static final int PUT = 2;
    private static final int RETAIN = 3;
    /** A section: its checksum, and its bytes. */
    private static final int SECTION = 4;
    private static final int CHECKSUM_CHARS = 64;

    private final Store store;
    private final Consumer<String> warn;
    private final LogState state = new LogState();
    /** The sections of the kept versions, by checksum. */
    private final Map<String, byte[]> sections = new HashMap<>();

    /**
     * Opens the log; throws as {@link Store#open} does.
     *
     * @param warn receives errors that occur after data was stored
     */
    LogStore(Disk disk, Consumer<String> warn) throws IOException {
        this.warn = warn;
        Replay replay = new Replay();
        store = Store.open(disk, StoreLimits.DEFAULT, replay);
        if (replay.failure != null) {
            store.close();
            throw replay.failure;
        }
    }

    /** A copy of what it holds. */
    LogState state() {
        LogState copy = new LogState();
        copy.promise(state.promisedEpoch, state.leader, state.elected);
        copy.versions.putAll(state.versions);
        copy.committed = state.committed;
        return copy;
    }

    @Override
    public void promise(long epoch, String leader, boolean elected) throws IOException {
        store.append(PROMISE, bytes(promiseJson(epoch, leader, elected)));
        store.force();
        state.promise(epoch, leader, elected);
    }

    @Override
    public void put(Version version) throws IOException {
        Map<String, byte[]> newSections = new HashMap<>();
        version.sections().values().forEach(section -> newSections.put(Checksum.of(section), section));
        newSections.keySet().removeAll(sections.keySet());
        for (Map.Entry<String, byte[]> entry : newSections.entrySet()) {
            store.append(SECTION, sectionBytes(entry.getKey(), entry.getValue()));
        }
        store.append(PUT, version.manifest().bytes());
        store.force();
        sections.putAll(newSections);
        state.versions.put(version.id(), version);
    }

    @Override
    public void retain(Set<VersionId> ids, VersionId committed) throws IOException {
        store.append(RETAIN, bytes(retainJson(ids, committed)));
        store.force();
        applyRetain(ids, committed);
        long size = sections.values().stream().mapToLong(section -> section.length).sum();
        if (store.isSnapshotDue(size)) {
            replaceBySnapshot();
        }
    }

    private void applyRetain(Set<VersionId> ids, VersionId committed) {
        state.retain(ids, committed);
        Set<String> used = new HashSet<>();
        state.versions.values().forEach(version -> version.manifest().services().values()
                .forEach(section -> used.add(section.checksum())));
        sections.keySet().retainAll(used);
    }

    /** The data is already durable, so a failure here is only logged. */
    private void replaceBySnapshot() {
        try (Store.Snapshot snapshot = store.snapshot()) {
            snapshot.write(snapshotPiece(PROMISE, bytes(promiseJson(state.promisedEpoch, state.leader,
                    state.elected))));
            for (Map.Entry<String, byte[]> entry : sections.entrySet()) {
                snapshot.write(snapshotPiece(SECTION, sectionBytes(entry.getKey(), entry.getValue())));
            }
            for (Version version : state.versions.values()) {
                snapshot.write(snapshotPiece(PUT, version.manifest().bytes()));
            }
            snapshot.write(snapshotPiece(RETAIN, bytes(retainJson(state.versions.keySet(),
                    state.committed))));
            snapshot.commit();
        } catch (IOException e) {
            warn.accept("cannot replace the log by a snapshot: " + e.getMessage());
        }
    }

    private static byte[] bytes(ObjectNode json) {
        return json.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static byte[] sectionBytes(String checksum, byte[] section) {
        return ByteBuffer.allocate(CHECKSUM_CHARS + section.length)
                .put(checksum.getBytes(StandardCharsets.US_ASCII)).put(section).array();
    }

    private static ObjectNode promiseJson(long epoch, String leader, boolean elected) {
        return Manifest.JSON.createObjectNode().put("epoch", epoch).put("leader", leader)
                .put("elected", elected);
    }

    private static ObjectNode retainJson(Set<VersionId> ids, VersionId committed) {
        ObjectNode json = Manifest.JSON.createObjectNode().put("committed", committed.toString());
        ArrayNode array = json.putArray("ids");
        ids.forEach(id -> array.add(id.toString()));
        return json;
    }

    private static byte[] snapshotPiece(int type, byte[] payload) {
        return ByteBuffer.allocate(1 + payload.length).put((byte) type).put(payload).array();
    }

    @Override
    public void close() throws IOException {
        store.close();
    }

    /** Applies the stored steps. */
    private final class Replay implements ReplayHandler {

        private IOException failure;

        @Override
        public void snapshotChunk(byte[] piece) {
            apply(piece[0], Arrays.copyOfRange(piece, 1, piece.length));
        }

        @Override
        public void record(Record record) {
            apply(record.type(), record.payload());
        }

        private void apply(int type, byte[] payload) {
            if (failure != null) {
                return;
            }
            try {
                switch (type) {
                    case PROMISE -> {
                        JsonNode json = Manifest.JSON.readTree(payload);
                        state.promise(json.path("epoch").asLong(), json.path("leader").asText(),
                                json.path("elected").asBoolean());
                    }
                    case SECTION -> sections.put(new String(payload, 0, CHECKSUM_CHARS,
                            StandardCharsets.US_ASCII),
                            Arrays.copyOfRange(payload, CHECKSUM_CHARS, payload.length));
                    case PUT -> {
                        Version version = Version.join(Manifest.parse(payload), sections::get);
                        state.versions.put(version.id(), version);
                    }
                    case RETAIN -> {
                        JsonNode json = Manifest.JSON.readTree(payload);
                        Set<VersionId> ids = new TreeSet<>();
                        json.path("ids").forEach(id -> ids.add(VersionId.parse(id.asText())));
                        applyRetain(ids, VersionId.parse(json.path("committed").asText()));
                    }
                    default -> throw new IOException("a step of kind " + type + " is of a later version");
                }
            } catch (IOException | IllegalArgumentException e) {
                failure = new IOException("cannot read the stored log: " + e.getMessage(), e);
            }
        }
    }
}
