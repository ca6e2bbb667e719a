package cranedeal.fleet.config;

import java.io.IOException;
import java.util.Set;

/** Durable storage of a coordinator's log. Data survives a power loss once a method has returned. */
interface LogStorage {

    /**
     * Stores the highest promised epoch and the leader it was promised to.
     *
     * @param elected true if that leader is this coordinator and a majority has promised
     */
    void promise(long epoch, String leader, boolean elected) throws IOException;

    void put(Version version) throws IOException;

    /** Stores which versions to keep, and the latest version that a majority has. */
    void retain(Set<VersionId> ids, VersionId committed) throws IOException;
}
