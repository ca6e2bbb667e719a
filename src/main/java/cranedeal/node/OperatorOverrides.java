package cranedeal.node;

import java.io.IOException;
import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * The overrides set by operators: which upstreams are disabled, and whether the balancer drains its callers.
 *
 * @param disabledUpstreams the ids of the upstreams, as listed by discovery
 * @param reloads how many reloads of the configuration were requested, over all processes
 */
record OperatorOverrides(Set<String> disabledUpstreams, boolean draining, long reloads) {

    static final OperatorOverrides NONE = new OperatorOverrides(Set.of(), false, 0);
    private static final String FILE = "orders";
    private static final String DISABLED_PREFIX = "out ";
    private static final String DRAIN_LINE = "drain";
    private static final String RELOADS_PREFIX = "reloads ";
    /** Far more than operators will ever disable; a larger file is not one written by this class. */
    private static final long MAX_FILE_SIZE = 1 << 20;

    OperatorOverrides {
        disabledUpstreams = Collections.unmodifiableSet(new TreeSet<>(disabledUpstreams));
    }

    /** Returns the overrides with one upstream disabled or enabled. */
    OperatorOverrides withUpstream(String id, boolean disabled) {
        Set<String> changed = new TreeSet<>(disabledUpstreams);
        if (disabled) {
            changed.add(id);
        } else {
            changed.remove(id);
        }
        return new OperatorOverrides(changed, draining, reloads);
    }

    OperatorOverrides withDraining(boolean drain) {
        return new OperatorOverrides(disabledUpstreams, drain, reloads);
    }

    OperatorOverrides withReload() {
        return new OperatorOverrides(disabledUpstreams, draining, reloads + 1);
    }

    /** Reads the file in a folder. Returns {@link #NONE} if there is none, and skips malformed lines. */
    static OperatorOverrides read(Path folder) throws IOException {
        Path file = folder.resolve(FILE);
        try {
            if (Files.size(file) > MAX_FILE_SIZE) {
                return NONE;
            }
            Set<String> out = new TreeSet<>();
            boolean draining = false;
            long reloads = 0;
            // ISO 8859-1 decodes any bytes, so a damaged file can't fail here; damaged lines are skipped.
            for (String line : Files.readString(file, StandardCharsets.ISO_8859_1).split("\n")) {
                if (line.startsWith(DISABLED_PREFIX) && line.length() > DISABLED_PREFIX.length()) {
                    out.add(decode(line.substring(DISABLED_PREFIX.length())));
                }
                draining |= line.equals(DRAIN_LINE);
                reloads = Math.max(reloads, line.startsWith(RELOADS_PREFIX) ? count(line) : 0);
            }
            return new OperatorOverrides(out, draining, reloads);
        } catch (NoSuchFileException e) {
            return NONE;
        }
    }

    /** Replaces the file in a folder atomically; only one process may do so at a time. */
    void write(Path folder) throws IOException {
        List<String> lines = new ArrayList<>();
        disabledUpstreams.forEach(id -> lines.add(DISABLED_PREFIX + encode(id)));
        if (draining) {
            lines.add(DRAIN_LINE);
        }
        lines.add(RELOADS_PREFIX + reloads);
        AtomicFile.replace(folder.resolve(FILE),
                (String.join("\n", lines) + "\n").getBytes(StandardCharsets.UTF_8));
    }

    private static long count(String line) {
        try {
            return Long.parseLong(line.substring(RELOADS_PREFIX.length()));
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    /** Encodes an id, which may contain any character, even a line break. */
    private static String encode(String id) {
        return URLEncoder.encode(id, StandardCharsets.UTF_8);
    }

    private static String decode(String text) {
        try {
            return URLDecoder.decode(text, StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            return text;
        }
    }
}
