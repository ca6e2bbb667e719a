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
 * @param out the ids of the upstreams, as discovery has them
 * @param reloads how often a process was told to read its configuration again
 */
record Orders(Set<String> out, boolean draining, long reloads) {

    static final Orders NONE = new Orders(Set.of(), false, 0);
    private static final String FILE = "orders";
    private static final String OUT = "out ";
    private static final String DRAIN = "drain";
    private static final String RELOADS = "reloads ";
    /** Far more than operators will ever have out; a file that is larger is none of ours. */
    private static final long LONGEST = 1 << 20;

    Orders {
        out = Collections.unmodifiableSet(new TreeSet<>(out));
    }

    /** The orders with one upstream taken out of use or put back. */
    Orders with(String id, boolean banned) {
        Set<String> changed = new TreeSet<>(out);
        if (banned) {
            changed.add(id);
        } else {
            changed.remove(id);
        }
        return new Orders(changed, draining, reloads);
    }

    Orders withDrain(boolean drains) {
        return new Orders(out, drains, reloads);
    }

    Orders withReload() {
        return new Orders(out, draining, reloads + 1);
    }

    /** Reads what was kept in a folder: nothing if there is no such file, and no line that makes no sense. */
    static Orders read(Path folder) throws IOException {
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
            return new Orders(out, draining, reloads);
        } catch (NoSuchFileException e) {
            return NONE;
        }
    }

    /** Replaces what is kept in a folder in one step; one process at a time. */
    void write(Path folder) throws IOException {
        List<String> lines = new ArrayList<>();
        out.forEach(id -> lines.add(OUT + encode(id)));
        if (draining) {
            lines.add(DRAIN);
        }
        lines.add(RELOADS + reloads);
        WholeFile.replace(folder.resolve(FILE),
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
