package parties;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/** An HTTP message that was read whole: an answer, or a request whose status is 0. */
record Answer(int status, String startLine, Map<String, String> headers, byte[] body) {

    String header(String name) {
        return headers.getOrDefault(name.toLowerCase(java.util.Locale.ROOT), "");
    }

    String text() {
        return new String(body, StandardCharsets.ISO_8859_1);
    }
}
