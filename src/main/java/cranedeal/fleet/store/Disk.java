package cranedeal.fleet.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * The files of one folder, as far as a store needs them. What is written, made, renamed or deleted is there
 * after a power loss only once it was forced: bytes by {@link Output#force()}, names by {@link
 * #forceDirectory()}.
 */
public interface Disk {

    /** A file that is written to at its end. */
    interface Output extends Closeable {

        /** Writes all of the buffer, or throws and may have written a part of it. */
        void write(ByteBuffer bytes) throws IOException;

        /** Returns once all that was written will outlast a power loss. */
        void force() throws IOException;

        /** Cuts the file to a size that it has reached before. */
        void truncate(long size) throws IOException;
    }

    /** The names of all files, in no order. */
    List<String> fileNames() throws IOException;

    /** The size of a file in bytes. */
    long size(String name) throws IOException;

    /** Reads from an offset on until the buffer is full or the file ends; returns how many bytes. */
    int read(String name, long offset, ByteBuffer into) throws IOException;

    /** Makes a new file; there must be none of that name. */
    Output create(String name) throws IOException;

    /** Opens a file to write on at its end. */
    Output append(String name) throws IOException;

    /** Gives a file another name, in place of whatever has that. */
    void rename(String from, String to) throws IOException;

    /** Deletes a file. */
    void delete(String name) throws IOException;

    /** Returns once all that was made, renamed and deleted will outlast a power loss. */
    void forceDirectory() throws IOException;

    /**
     * Takes the folder for this process until the result is closed, or the process ends, however it does;
     * null if another process has it. A shared one is for reading, beside others that read, and can be had of
     * a folder that can't be written to.
     */
    Closeable tryLock(boolean shared) throws IOException;
}
