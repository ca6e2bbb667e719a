package cranedeal.fleet.membership;

import java.io.IOException;

/** Persists a member's known peers, so that a fleet whose processes were all killed can reassemble. */
public interface PeerStore {

    /** A store that keeps nothing. */
    PeerStore NONE = new PeerStore() {

        @Override
        public byte[] read() {
            return null;
        }

        @Override
        public void write(byte[] bytes) {
            // Nothing is kept.
        }
    };

    /** Returns the last bytes written; null if there are none. */
    byte[] read() throws IOException;

    /** Replaces the stored bytes. */
    void write(byte[] bytes) throws IOException;
}
