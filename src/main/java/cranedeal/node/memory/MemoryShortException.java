package cranedeal.node.memory;

/** Thrown, or reported, when a message can't be read on for want of memory; it has not been sent on. */
public final class MemoryShortException extends Exception {

    private static final long serialVersionUID = 1;

    public MemoryShortException() {
        super("memory is short", null, false, false);
    }
}
