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

    static final int HEADER_BYTES = 20;
    /** The format version that is written. Older ones can be read. */
    static final int FORMAT_VERSION = 1;
    /** The suffix of files that are not finished yet. */
    static final String UNFINISHED_SUFFIX = ".new";
    /** The number of hexadecimal digits in a file name; also used as their radix. */
    private static final int HEX_DIGITS = 16;
    /** The checksum covers the bytes before it. */
    private static final int CHECKSUM_OFFSET = 16;

    private final String prefix;
    private final int magic;

    FileKind(String prefix, int magic) {
        this.prefix = prefix;
        this.magic = magic;
    }

    String name(long number) {
        return prefix + String.format(Locale.ROOT, "%016x", number);
    }

    /** Returns true if this is the name of a finished file of this kind. */
    boolean matches(String name) {
        return name.startsWith(prefix) && name.length() == prefix.length() + HEX_DIGITS
                && name.substring(prefix.length()).chars().allMatch(c -> Character.digit(c, HEX_DIGITS) >= 0);
    }

    long number(String name) {
        return Long.parseUnsignedLong(name.substring(prefix.length()), HEX_DIGITS);
    }

    ByteBuffer header(long number) {
        ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES).putInt(magic).putInt(FORMAT_VERSION)
                .putLong(number);
        return header.putInt(crc(header)).flip();
    }

    /**
     * Returns true if a header is intact and belongs to the named file. Throws {@link StoreException} if a
     * later version of the program wrote it.
     *
     * @param header {@link #HEADER_BYTES} bytes, or fewer if the file is shorter than that
     */
    boolean isValidHeader(ByteBuffer header, String name) throws StoreException {
        if (header.remaining() < HEADER_BYTES || header.getInt(0) != magic
                || header.getInt(CHECKSUM_OFFSET) != crc(header) || header.getLong(8) != number(name)) {
            return false;
        }
        if (header.getInt(4) > FORMAT_VERSION) {
            throw new StoreException(name + " has format " + header.getInt(4)
                    + ", but this program reads formats up to "
                    + FORMAT_VERSION + "; use the version of the program that wrote it");
        }
        return true;
    }

    private static int crc(ByteBuffer header) {
        CRC32C crc = new CRC32C();
        crc.update(header.duplicate().position(0).limit(CHECKSUM_OFFSET));
        return (int) crc.getValue();
    }
}
