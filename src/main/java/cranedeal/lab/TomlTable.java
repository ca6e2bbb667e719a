package cranedeal.lab;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A table of a TOML file, read key by key. Missing keys, wrong types, values out of bounds and unknown keys
 * are reported with file, line and key.
 */
final class TomlTable {

    private static final Pattern HEADER = Pattern.compile("\\s*(\\[\\[?)\\s*([^\\]\\s]+)\\s*\\]\\]?.*");

    private static final TomlMapper TOML = new TomlMapper();

    private final Path file;
    private final List<String> lines;
    private final ObjectNode node;
    /** The table's header, empty for the top level, and the number of earlier tables with that header. */
    private final String header;
    private final int precedingTables;
    private final Set<String> readKeys = new HashSet<>();

    private TomlTable(Path file, List<String> lines, ObjectNode node, String header, int before) {
        this.file = file;
        this.lines = lines;
        this.node = node;
        this.header = header;
        this.precedingTables = before;
    }

    /** Reads the top-level table of a file. */
    static TomlTable read(Path file) throws ExperimentException {
        try {
            String text = Files.readString(file);
            return new TomlTable(file, text.lines().toList(), (ObjectNode) TOML.readTree(text), "", 0);
        } catch (NoSuchFileException e) {
            throw new ExperimentException(file + ": no such file");
        } catch (JacksonException e) {
            JsonLocation at = e.getLocation();
            throw new ExperimentException(file + ":" + (at == null ? 1 : at.getLineNr()) + ": "
                    + e.getOriginalMessage());
        } catch (IOException e) {
            throw new ExperimentException(file + ": cannot be read: " + e.getMessage());
        }
    }

    /** Returns a copy in which the array of tables of the key is replaced. */
    TomlTable with(String key, List<ObjectNode> tables) {
        ObjectNode changed = node.deepCopy();
        changed.putArray(key).addAll(tables);
        return new TomlTable(file, lines, changed, header, precedingTables);
    }

    /** Writes the table to a file. */
    void write(Path to) throws IOException {
        TOML.writeValue(to.toFile(), node);
    }

    /** Returns an exception for a key of this table. */
    ExperimentException error(String key, String why) {
        String name = header.isEmpty() ? key : header + "." + key;
        return new ExperimentException(file + ":" + line(key) + ": " + name + ": " + why);
    }

    /** Returns the line of a key, or of the table's header if the key is not there. */
    private int line(String key) {
        Pattern wanted = Pattern.compile("\\s*\"?" + Pattern.quote(key) + "\"?\\s*(=|\\.).*");
        boolean inside = header.isEmpty();
        int remainingTables = precedingTables;
        int headerLine = 1;
        for (int i = 0; i < lines.size(); i++) {
            Matcher title = HEADER.matcher(lines.get(i));
            if (title.matches()) {
                inside = title.group(2).equals(header) && remainingTables-- == 0;
                headerLine = inside ? i + 1 : headerLine;
            } else if (inside && wanted.matcher(lines.get(i)).matches()) {
                return i + 1;
            }
        }
        return headerLine;
    }

    boolean has(String key) {
        return node.has(key);
    }

    private JsonNode value(String key) throws ExperimentException {
        readKeys.add(key);
        JsonNode value = node.get(key);
        if (value == null) {
            throw error(key, "is missing");
        }
        return value;
    }

    String text(String key) throws ExperimentException {
        JsonNode value = value(key);
        if (!value.isTextual() || value.textValue().isBlank()) {
            throw error(key, "text is wanted, not " + value);
        }
        return value.textValue();
    }

    String text(String key, String otherwise) throws ExperimentException {
        readKeys.add(key);
        return has(key) ? text(key) : otherwise;
    }

    double number(String key, double lowest, double highest) throws ExperimentException {
        JsonNode value = value(key);
        if (!value.isNumber() || !(value.doubleValue() >= lowest && value.doubleValue() <= highest)) {
            throw error(key, String.format(Locale.ROOT, "a number from %s to %s is wanted, not %s",
                    plain(lowest), plain(highest), value));
        }
        return value.doubleValue();
    }

    double number(String key, double lowest, double highest, double otherwise) throws ExperimentException {
        readKeys.add(key);
        return has(key) ? number(key, lowest, highest) : otherwise;
    }

    int whole(String key, int lowest, int highest, int otherwise) throws ExperimentException {
        readKeys.add(key);
        if (has(key) && !node.get(key).isIntegralNumber()) {
            throw error(key, "a whole number is wanted, not " + node.get(key));
        }
        return (int) number(key, lowest, highest, otherwise);
    }

    boolean flag(String key) throws ExperimentException {
        readKeys.add(key);
        if (has(key) && !node.get(key).isBoolean()) {
            throw error(key, "true or false is wanted, not " + node.get(key));
        }
        return has(key) && node.get(key).booleanValue();
    }

    /** Reads an enum value, written in lower case with hyphens. */
    <E extends Enum<E>> E choice(String key, Class<E> of, E otherwise) throws ExperimentException {
        if (otherwise != null && !has(key)) {
            return otherwise;
        }
        String text = text(key);
        for (E constant : of.getEnumConstants()) {
            if (word(constant).equals(text)) {
                return constant;
            }
        }
        throw error(key, "one of " + String.join(", ", Arrays.stream(of.getEnumConstants())
                .map(TomlTable::word)
                .toList()) + " is wanted, not '" + text + "'");
    }

    static String word(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns a nested table; an empty one if it is missing. */
    TomlTable table(String key) throws ExperimentException {
        readKeys.add(key);
        JsonNode value = node.path(key);
        if (!value.isMissingNode() && !value.isObject()) {
            throw error(key, "a table is wanted");
        }
        return new TomlTable(file, lines, value.isObject() ? (ObjectNode) value : node.objectNode(), key, 0);
    }

    /** Returns the entries of an array of tables. */
    List<TomlTable> tables(String key) throws ExperimentException {
        readKeys.add(key);
        List<TomlTable> tables = new ArrayList<>();
        for (JsonNode entry : node.path(key)) {
            if (!entry.isObject()) {
                throw error(key, "tables are wanted: [[" + key + "]]");
            }
            tables.add(new TomlTable(file, lines, (ObjectNode) entry, key, tables.size()));
        }
        return tables;
    }

    /** Returns the whole table and accepts all of its keys. */
    ObjectNode content() {
        node.fieldNames().forEachRemaining(readKeys::add);
        return node;
    }

    /** Throws an exception if the table has a key that was never read. */
    void rejectUnknownKeys() throws ExperimentException {
        for (Map.Entry<String, JsonNode> field : node.properties()) {
            if (!readKeys.contains(field.getKey())) {
                throw error(field.getKey(), "there is no such key");
            }
        }
    }

    private static String plain(double value) {
        return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
    }
}
