package cranedeal.fleet.store;

import java.nio.ByteBuffer;
import java.util.Locale;
import java.util.zip.CRC32C;

/**
 * The two kinds of files, their names and their headers. A header has a magic number (4 bytes), the format
 * version (4), the number in the file's name (8) and the CRC32C of these (4).
 */
enum FileKind {

    /** A segment of the journal; its number is the sequence number of its first record. */
    JOURNAL("journal-", 0x4f53504a),
    /** A snapshot in chunks; its number is the sequence number of the last record that it includes. */
    SNAPSHOT("snapshot-", 0x4f535053);

    static final int HEAD = 20;
    /** The format version that is written. Older ones can be read. */
    static final int VERSION = 1;
    /** The suffix of files that are not finished yet. */
    static final String UNFINISHED = ".new";
    /** The number of hexadecimal digits in a file name; also used as their radix. */
    private static final int DIGITS = 16;
    /** The checksum covers the bytes before it. */
    private static final int CHECKED = 16;

    private final String prefix;
    private final int mark;

    FileKind(String prefix, int mark) {
        this.prefix = prefix;
        this.mark = mark;
    }

    String name(long number) {
        return prefix + String.format(Locale.ROOT, "%016x", number);
    }

    /** Returns true if this is the name of a finished file of this kind. */
    boolean has(String name) {
        return name.startsWith(prefix) && name.length() == prefix.length() + DIGITS
                && name.substring(prefix.length()).chars().allMatch(c -> Character.digit(c, DIGITS) >= 0);
    }

    long number(String name) {
        return Long.parseUnsignedLong(name.substring(prefix.length()), DIGITS);
    }

    ByteBuffer head(long number) {
        ByteBuffer head = ByteBuffer.allocate(HEAD).putInt(mark).putInt(VERSION).putLong(number);
        return head.putInt(crc(head)).flip();
    }

    /**
     * Returns true if a header is intact and belongs to the named file. Throws {@link StoreException} if a
     * later version of the program wrote it.
     *
     * @param head {@link #HEAD} bytes, or fewer if the file is shorter than that
     */
    boolean isHead(ByteBuffer head, String name) throws StoreException {
        if (head.remaining() < HEAD || head.getInt(0) != mark || head.getInt(CHECKED) != crc(head)
                || head.getLong(8) != number(name)) {
            return false;
        }
        if (head.getInt(4) > VERSION) {
            throw new StoreException(name + " has format " + head.getInt(4)
                    + ", but this program reads formats up to "
                    + VERSION + "; use the version of the program that wrote it");
        }
        return true;
    }

    private static int crc(ByteBuffer head) {
        CRC32C crc = new CRC32C();
        crc.update(head.duplicate().position(0).limit(CHECKED));
        return (int) crc.getValue();
    }
}
