package cranedeal.fleet.membership;

import java.io.IOException;

/** Where a member keeps whom it knew, so that a fleet that was all killed finds itself again. */
public interface PeerStore {

    /** Keeps nothing. */
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

    /** What was written last; null if nothing was. */
    byte[] read() throws IOException;

    /** Keeps it in place of what was there. */
    void write(byte[] bytes) throws IOException;
}
