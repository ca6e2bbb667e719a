package cranedeal.fleet.store;

/** Receives a store's contents: the chunks of the snapshot, if there is one, then the records after it. */
public interface ReplayHandler {

    /** Called for each chunk of the snapshot, as it was written. */
    void snapshotChunk(byte[] chunk);

    /** Called for each record in order, without gaps or duplicates. */
    void record(Record record);
}
