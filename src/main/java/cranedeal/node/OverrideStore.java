package cranedeal.node;

import java.io.IOException;
import java.util.function.UnaryOperator;

/**
 * Persists the operators' overrides. Its methods may block on disk, so the node's loop must not call them.
 */
interface OverrideStore {

    /** Returns the current overrides. */
    OperatorOverrides read() throws IOException;

    /** Changes the overrides atomically, and returns once they are saved; if it throws, nothing changed. */
    OperatorOverrides change(UnaryOperator<OperatorOverrides> change) throws IOException;
}
