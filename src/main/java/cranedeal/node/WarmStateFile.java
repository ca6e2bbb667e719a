package cranedeal.node;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import cranedeal.LoadBalancer.WarmState;
import cranedeal.LoadBalancer.WarmState.ClassState;
import cranedeal.LoadBalancer.WarmState.UpstreamState;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * The file with the module's warm-start state, written by one process for the next. The first line is a
 * checksum of the rest, which is JSON. The file is replaced atomically and never synced to disk: state lost
 * in a power failure would be outdated by the time the machine is back.
 */
final class WarmStateFile {

    /** The maximum number of upstreams in the file: those with the most attempts are kept. */
    static final int MAX_UPSTREAMS = 2_000;
    private static final int MAX_CLASSES = 1_000;
    private static final String FILE = "learnt";
    private static final int FORMAT_VERSION = 1;
    private static final int MAX_FILE_SIZE = 1 << 24;
    private static final int CHECKSUM_LENGTH = 9;

    private final Path folder;

    WarmStateFile(Path folder) {
        this.folder = folder;
    }

    /** Warm-start state and the time at which it was taken, in ms since 1970. */
    record Snapshot(double savedAt, WarmState state) { }

    /** Reads the last snapshot; null if there is none. Throws {@link IOException} if the file is invalid. */
    Snapshot read() throws IOException {
        Path file = folder.resolve(FILE);
        byte[] bytes;
        try {
            if (Files.size(file) > MAX_FILE_SIZE) {
                throw new IOException(file + " is longer than " + MAX_FILE_SIZE + " bytes");
            }
            bytes = Files.readAllBytes(file);
        } catch (NoSuchFileException e) {
            return null;
        }
        if (bytes.length < CHECKSUM_LENGTH
                || !checksum(bytes).equals(
                        new String(bytes, 0, CHECKSUM_LENGTH, StandardCharsets.US_ASCII))) {
            throw new IOException(file + " is damaged");
        }
        JsonNode root = NodeConfig.JSON.readTree(bytes, CHECKSUM_LENGTH, bytes.length - CHECKSUM_LENGTH);
        if (root.path("form").asInt() != FORMAT_VERSION) {
            throw new IOException(file + " has unknown format version " + root.path("form"));
        }
        try {
            List<ClassState> classes = new ArrayList<>();
            for (JsonNode entry : root.path("classes")) {
                classes.add(new ClassState(entry.path("name").asText(), number(entry, "latency"),
                        number(entry, "hint"), number(entry, "slow")));
            }
            List<UpstreamState> upstreams = new ArrayList<>();
            for (JsonNode entry : root.path("upstreams")) {
                upstreams.add(new UpstreamState(entry.path("id").longValue(), number(entry, "listed"),
                        number(entry, "started"), number(entry, "known"), number(entry, "latencies"),
                        number(entry, "answers"), number(entry, "served_all"), number(entry, "tries_all"),
                        numbers(entry, "served", classes.size()), numbers(entry, "tries", classes.size())));
            }
            return new Snapshot(number(root, "at"), new WarmState(classes, upstreams));
        } catch (IllegalArgumentException e) {
            throw new IOException(file + ": " + e.getMessage(), e);
        }
    }

    /** Replaces the file with a new snapshot. */
    void write(Snapshot snapshot) throws IOException {
        Files.createDirectories(folder);
        AtomicFile.replace(folder.resolve(FILE), encode(snapshot.savedAt(), limited(snapshot.state())));
    }

    private static byte[] encode(double at, WarmState state) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.write(new byte[CHECKSUM_LENGTH]);
        try (JsonGenerator json = NodeConfig.JSON.createGenerator(bytes)) {
            json.writeStartObject();
            json.writeNumberField("form", FORMAT_VERSION);
            json.writeNumberField("at", at);
            json.writeArrayFieldStart("classes");
            for (ClassState entry : state.classes()) {
                json.writeStartObject();
                json.writeStringField("name", entry.name());
                json.writeNumberField("latency", entry.latency());
                json.writeNumberField("hint", entry.hint());
                json.writeNumberField("slow", entry.slowRatio());
                json.writeEndObject();
            }
            json.writeEndArray();
            json.writeArrayFieldStart("upstreams");
            for (UpstreamState entry : state.upstreams()) {
                write(entry, json);
            }
            json.writeEndArray();
            json.writeEndObject();
        }
        byte[] whole = bytes.toByteArray();
        System.arraycopy(checksum(whole).getBytes(StandardCharsets.US_ASCII), 0, whole, 0, CHECKSUM_LENGTH);
        return whole;
    }

    private static void write(UpstreamState entry, JsonGenerator json) throws IOException {
        json.writeStartObject();
        json.writeNumberField("id", entry.id());
        json.writeNumberField("listed", entry.listedStartedAt());
        json.writeNumberField("started", entry.startedAt());
        json.writeNumberField("known", entry.observedFor());
        json.writeNumberField("latencies", entry.latencySum());
        json.writeNumberField("answers", entry.latencyCount());
        json.writeNumberField("served_all", entry.totalServed());
        json.writeNumberField("tries_all", entry.totalAttempts());
        json.writeFieldName("served");
        json.writeArray(entry.servedByClass(), 0, entry.servedByClass().length);
        json.writeFieldName("tries");
        json.writeArray(entry.attemptsByClass(), 0, entry.attemptsByClass().length);
        json.writeEndObject();
    }

    private static WarmState limited(WarmState all) {
        if (all.classes().size() > MAX_CLASSES) {
            return WarmState.EMPTY;
        }
        if (all.upstreams().size() <= MAX_UPSTREAMS) {
            return all;
        }
        return new WarmState(all.classes(), all.upstreams().stream()
                .sorted(Comparator.comparingDouble(UpstreamState::totalAttempts).reversed())
                .limit(MAX_UPSTREAMS).toList());
    }

    private static String checksum(byte[] bytes) {
        CRC32C checksum = new CRC32C();
        checksum.update(bytes, CHECKSUM_LENGTH, bytes.length - CHECKSUM_LENGTH);
        return String.format("%08x\n", checksum.getValue());
    }

    private static double number(JsonNode object, String key) {
        return nonNegative(object.path(key), key);
    }

    private static double[] numbers(JsonNode object, String key, int count) {
        JsonNode list = object.path(key);
        if (list.size() != count) {
            throw new IllegalArgumentException(key + " must have one number for each class");
        }
        double[] numbers = new double[count];
        Arrays.setAll(numbers, i -> nonNegative(list.get(i), key));
        return numbers;
    }

    private static double nonNegative(JsonNode number, String key) {
        double value = number.doubleValue();
        if (!number.isNumber() || !(value >= 0 && value < Double.POSITIVE_INFINITY)) {
            throw new IllegalArgumentException(key + " must be a finite number of at least 0");
        }
        return value;
    }
}
