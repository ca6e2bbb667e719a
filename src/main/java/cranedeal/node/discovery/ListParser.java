package cranedeal.node.discovery;

import java.io.IOException;
import java.io.InputStream;

/** Parses a list from the body of discovery's answer. */
public interface ListParser {

    /**
     * Reads the body to its end and parses it.
     *
     * @throws IOException if the body is not JSON
     * @throws IllegalArgumentException if it is JSON, but not a valid list
     */
    UpstreamList parse(InputStream body) throws IOException;
}
