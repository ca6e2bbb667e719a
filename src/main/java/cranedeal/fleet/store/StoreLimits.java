package cranedeal.fleet.store;

/**
 * The size limits of a store.
 *
 * @param segmentBytes the segment size from which the next write begins a new segment
 * @param maxRecordBytes the largest payload of a record or chunk
 * @param maxBatchBytes the most bytes that are written between two forces
 */
public record StoreLimits(int segmentBytes, int maxRecordBytes, int maxBatchBytes) {

    /** Limits for stores of some megabytes. */
    public static final StoreLimits DEFAULT = new StoreLimits(16 << 20, 1 << 20, 4 << 20);

    /** Throws {@link IllegalArgumentException} if no record of the largest size fits. */
    public StoreLimits {
        if (maxRecordBytes < 1 || maxBatchBytes < Frame.size(maxRecordBytes) || segmentBytes < 1) {
            throw new IllegalArgumentException("the largest record does not fit in " + segmentBytes
                    + ", " + maxRecordBytes + ", " + maxBatchBytes);
        }
    }
}
