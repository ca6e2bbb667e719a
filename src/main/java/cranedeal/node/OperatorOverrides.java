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
 * What operators have ordered and not taken back: which upstreams are out of use, and whether callers are
 * sent away.
 *
 * @param disabledUpstreams the ids of the upstreams, as discovery has them
 * @param reloads how often a process was told to read its configuration again
 */
record OperatorOverrides(Set<String> disabledUpstreams, boolean draining, long reloads) {

    static final OperatorOverrides NONE = new OperatorOverrides(Set.of(), false, 0);
    private static final String FILE = "orders";
    private static final String OUT = "out ";
    private static final String DRAIN = "drain";
    private static final String RELOADS = "reloads ";
    /** Far more than operators will ever have out; a file that is larger is none of ours. */
    private static final long LONGEST = 1 << 20;

    OperatorOverrides {
        disabledUpstreams = Collections.unmodifiableSet(new TreeSet<>(disabledUpstreams));
    }

    /** The orders with one upstream taken out of use or put back. */
    OperatorOverrides withUpstream(String id, boolean banned) {
        Set<String> changed = new TreeSet<>(disabledUpstreams);
        if (banned) {
            changed.add(id);
        } else {
            changed.remove(id);
        }
        return new OperatorOverrides(changed, draining, reloads);
    }

    OperatorOverrides withDraining(boolean drains) {
        return new OperatorOverrides(disabledUpstreams, drains, reloads);
    }

    OperatorOverrides withReload() {
        return new OperatorOverrides(disabledUpstreams, draining, reloads + 1);
    }

    /** Reads what was kept in a folder: nothing if there is no such file, and no line that makes no sense. */
    static OperatorOverrides read(Path folder) throws IOException {
        Path file = folder.resolve(FILE);
        try {
            if (Files.size(file) > LONGEST) {
                return NONE;
            }
            Set<String> out = new TreeSet<>();
            boolean draining = false;
            long reloads = 0;
            // Any bytes make text this way; what is damaged is skipped.
            for (String line : Files.readString(file, StandardCharsets.ISO_8859_1).split("\n")) {
                if (line.startsWith(OUT) && line.length() > OUT.length()) {
                    out.add(decode(line.substring(OUT.length())));
                }
                draining |= line.equals(DRAIN);
                reloads = Math.max(reloads, line.startsWith(RELOADS) ? count(line) : 0);
            }
            return new OperatorOverrides(out, draining, reloads);
        } catch (NoSuchFileException e) {
            return NONE;
        }
    }

    /** Replaces what is kept in a folder in one step; one process at a time. */
    void write(Path folder) throws IOException {
        List<String> lines = new ArrayList<>();
        disabledUpstreams.forEach(id -> lines.add(OUT + encode(id)));
        if (draining) {
            lines.add(DRAIN);
        }
        lines.add(RELOADS + reloads);
        AtomicFile.replace(folder.resolve(FILE),
                (String.join("\n", lines) + "\n").getBytes(StandardCharsets.UTF_8));
    }

    private static long count(String line) {
        try {
            return Long.parseLong(line.substring(RELOADS.length()));
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    /** An id may hold any character, also one that would end its line. */
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
