package cranedeal.node.discovery;

import java.io.IOException;
import java.io.InputStream;

/** Reads a list from the body of discovery's answer. */
public interface ListParser {

    /**
     * Reads it whole.
     *
     * @throws IOException if the body is no JSON
     * @throws IllegalArgumentException if it is JSON, but no list
     */
    UpstreamList parse(InputStream body) throws IOException;
}
