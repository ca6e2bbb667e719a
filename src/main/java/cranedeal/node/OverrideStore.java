package cranedeal.node;

import java.io.IOException;
import java.util.function.UnaryOperator;

/** Where what operators have ordered is kept. It may wait for a disk, so no loop that serves may call it. */
interface OverrideStore {

    /** What is ordered now. */
    OperatorOverrides read() throws IOException;

    /** Changes what is ordered in one step, and returns once that is kept; if it throws, nothing changed. */
    OperatorOverrides change(UnaryOperator<OperatorOverrides> change) throws IOException;
}
