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
 * What the module has learnt, in a file of one process for the next. The first line is a checksum of the
 * rest, which is JSON. It is replaced in one step and never forced: what a power loss takes has faded before
 * the machine is back.
 */
final class WarmStateFile {

    /** How many upstreams it tells of: those that most is known of. */
    static final int MAX_UPSTREAMS = 2_000;
    private static final int MOST_CLASSES = 1_000;
    private static final String FILE = "learnt";
    private static final int FORM = 1;
    private static final int LONGEST = 1 << 24;
    private static final int SUM = 9;

    private final Path folder;

    WarmStateFile(Path folder) {
        this.folder = folder;
    }

    /** What was learnt, and when, in ms since 1970. */
    record Snapshot(double savedAt, WarmState state) { }

    /** What was written last; null if nothing was. Throws {@link IOException} for what can't be trusted. */
    Snapshot read() throws IOException {
        Path file = folder.resolve(FILE);
        byte[] bytes;
        try {
            if (Files.size(file) > LONGEST) {
                throw new IOException(file + " is longer than " + LONGEST + " bytes");
            }
            bytes = Files.readAllBytes(file);
        } catch (NoSuchFileException e) {
            return null;
        }
        if (bytes.length < SUM || !sum(bytes).equals(new String(bytes, 0, SUM, StandardCharsets.US_ASCII))) {
            throw new IOException(file + " is damaged");
        }
        JsonNode root = NodeConfig.JSON.readTree(bytes, SUM, bytes.length - SUM);
        if (root.path("form").asInt() != FORM) {
            throw new IOException(file + " has form " + root.path("form") + ", which is not known here");
        }
        try {
            List<ClassState> classes = new ArrayList<>();
            for (JsonNode one : root.path("classes")) {
                classes.add(new ClassState(one.path("name").asText(), number(one, "latency"),
                        number(one, "hint"), number(one, "slow")));
            }
            List<UpstreamState> upstreams = new ArrayList<>();
            for (JsonNode one : root.path("upstreams")) {
                upstreams.add(new UpstreamState(one.path("id").longValue(), number(one, "listed"),
                        number(one, "started"), number(one, "known"), number(one, "latencies"),
                        number(one, "answers"), number(one, "served_all"), number(one, "tries_all"),
                        numbers(one, "served", classes.size()), numbers(one, "tries", classes.size())));
            }
            return new Snapshot(number(root, "at"), new WarmState(classes, upstreams));
        } catch (IllegalArgumentException e) {
            throw new IOException(file + ": " + e.getMessage(), e);
        }
    }

    /** Replaces what was written. */
    void write(Snapshot kept) throws IOException {
        Files.createDirectories(folder);
        AtomicFile.replace(folder.resolve(FILE), encode(kept.savedAt(), bounded(kept.state())));
    }

    private static byte[] encode(double at, WarmState learnt) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.write(new byte[SUM]);
        try (JsonGenerator json = NodeConfig.JSON.createGenerator(bytes)) {
            json.writeStartObject();
            json.writeNumberField("form", FORM);
            json.writeNumberField("at", at);
            json.writeArrayFieldStart("classes");
            for (ClassState one : learnt.classes()) {
                json.writeStartObject();
                json.writeStringField("name", one.name());
                json.writeNumberField("latency", one.latency());
                json.writeNumberField("hint", one.hint());
                json.writeNumberField("slow", one.slowRatio());
                json.writeEndObject();
            }
            json.writeEndArray();
            json.writeArrayFieldStart("upstreams");
            for (UpstreamState one : learnt.upstreams()) {
                write(one, json);
            }
            json.writeEndArray();
            json.writeEndObject();
        }
        byte[] whole = bytes.toByteArray();
        System.arraycopy(sum(whole).getBytes(StandardCharsets.US_ASCII), 0, whole, 0, SUM);
        return whole;
    }

    private static void write(UpstreamState one, JsonGenerator json) throws IOException {
        json.writeStartObject();
        json.writeNumberField("id", one.id());
        json.writeNumberField("listed", one.listedStartedAt());
        json.writeNumberField("started", one.startedAt());
        json.writeNumberField("known", one.observedFor());
        json.writeNumberField("latencies", one.latencySum());
        json.writeNumberField("answers", one.latencyCount());
        json.writeNumberField("served_all", one.totalServed());
        json.writeNumberField("tries_all", one.totalAttempts());
        json.writeFieldName("served");
        json.writeArray(one.servedByClass(), 0, one.servedByClass().length);
        json.writeFieldName("tries");
        json.writeArray(one.attemptsByClass(), 0, one.attemptsByClass().length);
        json.writeEndObject();
    }

    private static WarmState bounded(WarmState all) {
        if (all.classes().size() > MOST_CLASSES) {
            return WarmState.EMPTY;
        }
        if (all.upstreams().size() <= MAX_UPSTREAMS) {
            return all;
        }
        return new WarmState(all.classes(), all.upstreams().stream()
                .sorted(Comparator.comparingDouble(UpstreamState::totalAttempts).reversed())
                .limit(MAX_UPSTREAMS).toList());
    }

    private static String sum(byte[] bytes) {
        CRC32C sum = new CRC32C();
        sum.update(bytes, SUM, bytes.length - SUM);
        return String.format("%08x\n", sum.getValue());
    }

    private static double number(JsonNode of, String key) {
        return checked(of.path(key), key);
    }

    private static double[] numbers(JsonNode of, String key, int count) {
        JsonNode list = of.path(key);
        if (list.size() != count) {
            throw new IllegalArgumentException(key + " has not one number for each class");
        }
        double[] numbers = new double[count];
        Arrays.setAll(numbers, i -> checked(list.get(i), key));
        return numbers;
    }

    private static double checked(JsonNode number, String key) {
        double value = number.doubleValue();
        if (!number.isNumber() || !(value >= 0 && value < Double.POSITIVE_INFINITY)) {
            throw new IllegalArgumentException(key + " is no number from 0 on");
        }
        return value;
    }
}
