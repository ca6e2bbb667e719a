package parties;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages strictly. */
final class Wire {

    private Wire() {
    }

    /** Reads a whole message; null if the connection ends before its first byte. */
    static Answer read(InputStream in) throws IOException {
        String start = line(in, true);
        if (start == null) {
            return null;
        }
        Map<String, String> headers = new HashMap<>();
        for (String line = line(in, false); !line.isEmpty(); line = line(in, false)) {
            int colon = line.indexOf(':');
            if (colon < 1) {
                throw new IOException("no header: " + line);
            }
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
        byte[] body;
        if (headers.containsKey("transfer-encoding")) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
                all.write(exactly(in, size));
                line(in, false);
            }
            line(in, false);
            body = all.toByteArray();
        } else {
            body = exactly(in, Integer.parseInt(headers.getOrDefault("content-length", "0")));
        }
        int status = start.startsWith("HTTP/") ? Integer.parseInt(start.split(" ")[1]) : 0;
        return new Answer(status, start, headers, body);
    }

    private static int chunkSize(InputStream in) throws IOException {
        return Integer.parseInt(line(in, false).split(";")[0].strip(), 16);
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("the connection ended within a body");
        }
        return bytes;
    }

    private static String line(InputStream in, boolean first) throws IOException {
        StringBuilder text = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                if (first && text.length() == 0) {
                    return null;
                }
                throw new EOFException("the connection ended within a head");
            }
            text.append((char) c);
        }
        return text.toString().stripTrailing();
    }
}
