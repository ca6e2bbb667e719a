package cranedeal.fleet.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * The operations on the files of one folder that a store needs. A change survives a power loss only once it
 * was forced: file contents by {@link Output#force()}; created, renamed and deleted files by {@link
 * #forceDirectory()}.
 */
public interface Disk {

    /** A file open for appending. */
    interface Output extends Closeable {

        /** Writes the whole buffer. If it throws, a part may have been written. */
        void write(ByteBuffer bytes) throws IOException;

        /** Returns once everything written so far survives a power loss. */
        void force() throws IOException;

        /** Truncates the file to a size that is not above its present one. */
        void truncate(long size) throws IOException;
    }

    /** The names of all files, in no particular order. */
    List<String> fileNames() throws IOException;

    /** The size of a file in bytes. */
    long size(String name) throws IOException;

    /** Reads from an offset until the buffer is full or the file ends; returns the number of bytes read. */
    int read(String name, long offset, ByteBuffer into) throws IOException;

    /** Creates a file. Fails if a file of that name exists. */
    Output create(String name) throws IOException;

    /** Opens an existing file for appending. */
    Output append(String name) throws IOException;

    /** Renames a file and replaces any file that has the new name. */
    void rename(String from, String to) throws IOException;

    /** Deletes a file. */
    void delete(String name) throws IOException;

    /** Returns once all creations, renames and deletions so far survive a power loss. */
    void forceDirectory() throws IOException;

    /**
     * Locks the folder until the result is closed or the process ends in any way. Returns null if the
     * lock of another holder excludes that. A shared lock is for reading, can be held by several processes at
     * once, and also works on a folder that can't be written to.
     */
    Closeable tryLock(boolean shared) throws IOException;
}
