import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages from a socket: a head, and a body with a length, in chunks, or up to the end. */
final class Http {

    /** A message; {@code first} is its request line or status line. */
    record Message(String first, Map<String, String> headers, byte[] body) {

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    private Http() {
    }

    /** Reads a message; null if the connection ended before its first byte. */
    static Message read(BufferedInputStream in, boolean answer) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String line = line(in); line == null || !line.isEmpty(); line = line(in)) {
            if (line == null) {
                throw new EOFException("the connection ended within a head");
            }
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
        return new Message(first, headers, body(in, headers, answer));
    }

    private static byte[] body(InputStream in, Map<String, String> headers, boolean answer)
            throws IOException {
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            while (true) {
                String size = line(in);
                if (size == null) {
                    throw new EOFException("the connection ended within chunks");
                }
                int length = Integer.parseInt(size.split(";")[0].strip(), 16);
                all.write(exactly(in, length));
                if (line(in) == null) {
                    throw new EOFException("the connection ended within chunks");
                }
                if (length == 0) {
                    return all.toByteArray();
                }
            }
        }
        if (headers.containsKey("content-length")) {
            return exactly(in, Integer.parseInt(headers.get("content-length")));
        }
        return answer ? in.readAllBytes() : new byte[0];
    }

    private static byte[] exactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the connection ended within a body");
        }
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("the connection ended within a line");
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}
