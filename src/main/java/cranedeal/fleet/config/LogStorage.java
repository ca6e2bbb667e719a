package cranedeal.fleet.config;

import java.io.IOException;
import java.util.Set;

/** Where a coordinator's log is kept. What a method was given outlasts a power loss once it returns. */
interface LogStorage {

    /**
     * The highest epoch that was promised, and to whom.
     *
     * @param elected whether that leader is this coordinator, and a majority has promised
     */
    void promise(long epoch, String leader, boolean elected) throws IOException;

    void put(Version version) throws IOException;

    /** Which versions are to be kept of those that were put, and which is the latest that a majority has. */
    void retain(Set<VersionId> ids, VersionId committed) throws IOException;
}
