package cranedeal.fleet.membership;

import java.nio.charset.StandardCharsets;

/**
 * An answer to a call between members.
 *
 * @param status the HTTP status code
 * @param type the media type of the body
 */
public record CallReply(int status, String type, byte[] body) {

    public static final int OK = 200;

    /** An answer with a JSON body. */
    public static CallReply json(int status, byte[] body) {
        return new CallReply(status, "application/json", body);
    }

    /** An answer without a body. */
    public static CallReply empty(int status) {
        return new CallReply(status, "text/plain; charset=utf-8", new byte[0]);
    }

    /** An answer with one line of text. */
    public static CallReply text(int status, String line) {
        return new CallReply(status, "text/plain; charset=utf-8",
                (line + "\n").getBytes(StandardCharsets.UTF_8));
    }
}
