package cranedeal.fleet.store;

/**
 * A record of the journal.
 *
 * @param sequence the sequence number; the first record has 1, and there are no gaps
 * @param type 0 or above; its meaning is up to the owner of the store
 * @param payload must not be changed once it is in the record
 */
public record Record(long sequence, int type, byte[] payload) {
}
