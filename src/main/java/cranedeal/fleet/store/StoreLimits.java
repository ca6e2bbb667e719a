package cranedeal.fleet.store;

/**
 * What a store may use.
 *
 * @param segmentBytes the size from which on a new segment is begun
 * @param maxRecordBytes the largest payload
 * @param maxBatchBytes how much is written between two forces at most
 */
public record StoreLimits(int segmentBytes, int maxRecordBytes, int maxBatchBytes) {

    /** For stores of some megabytes. */
    public static final StoreLimits DEFAULT = new StoreLimits(16 << 20, 1 << 20, 4 << 20);

    /** Throws {@link IllegalArgumentException} for limits that no record fits in. */
    public StoreLimits {
        if (maxRecordBytes < 1 || maxBatchBytes < Frame.size(maxRecordBytes) || segmentBytes < 1) {
            throw new IllegalArgumentException("no record fits in " + segmentBytes + ", " + maxRecordBytes
                    + ", "
                    + maxBatchBytes);
        }
    }
}
