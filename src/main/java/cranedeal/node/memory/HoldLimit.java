package cranedeal.node.memory;

/** Decides whether a message may hold more memory. */
@FunctionalInterface
public interface HoldLimit {

    /** The limit of messages whose number and size are bounded otherwise. */
    HoldLimit NONE = (held, more) -> true;

    /**
     * Returns true if a message that holds {@code held} bytes may hold {@code more} bytes.
     *
     * @param held bytes that it holds now
     * @param more bytes that it wants besides
     */
    boolean mayHold(int held, int more);

    /**
     * Returns true if a message of which {@code held} bytes wait for its receiver may be read further.
     *
     * @param held bytes that it holds now
     */
    default boolean mayReadAhead(int held) {
        return true;
    }
}
