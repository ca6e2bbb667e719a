package cranedeal.fleet.store;

/** Is told what a store holds: the pieces of the snapshot, if there is one, then the records behind it. */
public interface ReplayHandler {

    /** A piece of the snapshot, as its owner wrote it. */
    void snapshotChunk(byte[] piece);

    /** A record; none comes twice, and none is left out. */
    void record(Record record);
}
