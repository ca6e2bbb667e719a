package cranedeal.node;

import java.util.ArrayDeque;

/**
 * Bounds when a caller has written the last byte of a body. A request's time counts from that byte, which may
 * lie unread in the kernel for as long as the connection isn't read.
 */
final class BodyArrival {

    /** Bytes that the kernels at both ends of a connection hold at most between them. */
    private static final long KERNEL_BYTES = 8 << 20;
    /** How far apart marks are, in bytes of the body. */
    private static final long MARK_BYTES = 1 << 20;

    /** How much of the body had been read at a time, in ms. */
    private record Mark(long received, double at) { }

    /** Length as the caller declared it; negative if it is not known. */
    private final long length;
    private long received;
    /** Up to {@link #KERNEL_BYTES} in the past. */
    private final ArrayDeque<Mark> marks = new ArrayDeque<>();
    private double earliestEnd = Double.NEGATIVE_INFINITY;

    /** Creates the record of a body of which nothing has been read; a negative length is not known. */
    BodyArrival(long length) {
        this.length = length;
    }

    long length() {
        return length;
    }

    long received() {
        return received;
    }

    /** The head of the request arrived at the given time, in ms, and the end of its body not before. */
    void started(double now) {
        earliestEnd = Math.max(earliestEnd, now);
    }

    /** Some more of the body has been read. What the kernel can't hold was not written before. */
    void read(int bytes, double now) {
        received += bytes;
        if (length - received > KERNEL_BYTES) {
            earliestEnd = now;
        }
        while (!marks.isEmpty() && received - marks.peekFirst().received() > KERNEL_BYTES) {
            earliestEnd = Math.max(earliestEnd, marks.pollFirst().at());
        }
        if (marks.isEmpty() || received - marks.peekLast().received() >= MARK_BYTES) {
            marks.addLast(new Mark(received, now));
        }
    }

    /** All that the caller had written by the given time has been read, and the body isn't complete. */
    void drained(double now) {
        earliestEnd = Math.max(earliestEnd, now);
        marks.clear();
    }

    /** Returns the earliest time at which the caller may have written the last byte, in ms. */
    double earliestEnd() {
        return earliestEnd;
    }
}
