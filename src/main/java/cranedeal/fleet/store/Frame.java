package cranedeal.fleet.store;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * A record as encoded in a file, big-endian: payload length (4 bytes), type (4), sequence number (8), the
 * highest sequence number known to be forced at the time of the write (8), payload, CRC32C of all of that
 * (4). The forced number lets recovery tell damage from an incomplete last write: all records up to it were
 * acknowledged.
 *
 * @param forcedSequence the highest sequence number known to be forced when this frame was written
 */
record Frame(Record record, long forcedSequence) {

    static final int HEADER_BYTES = 24;
    static final int OVERHEAD_BYTES = HEADER_BYTES + 4;

    /** The size in bytes of a frame with a payload of the given size. */
    static int size(int payload) {
        return payload + OVERHEAD_BYTES;
    }

    /** Encodes a record at the buffer's position. */
    static void encode(Record record, long forcedSequence, ByteBuffer into) {
        int start = into.position();
        into.putInt(record.payload().length).putInt(record.type()).putLong(record.sequence())
                .putLong(forcedSequence).put(record.payload());
        into.putInt(crc(into, start, into.position()));
    }

    /**
     * Decodes the frame at the buffer's position and advances past it. Returns null and leaves the position
     * unchanged if there is no intact frame.
     */
    static Frame decode(ByteBuffer from, int maxPayload) {
        int start = from.position();
        if (from.remaining() < OVERHEAD_BYTES) {
            return null;
        }
        int length = from.getInt(start);
        if (length < 0 || length > maxPayload || from.remaining() < size(length)) {
            return null;
        }
        int end = start + HEADER_BYTES + length;
        if (from.getInt(end) != crc(from, start, end)) {
            return null;
        }
        byte[] payload = new byte[length];
        from.get(start + HEADER_BYTES, payload);
        from.position(end + 4);
        return new Frame(new Record(from.getLong(start + 8), from.getInt(start + 4), payload),
                from.getLong(start + 16));
    }

    private static int crc(ByteBuffer buffer, int from, int to) {
        CRC32C crc = new CRC32C();
        crc.update(buffer.duplicate().position(from).limit(to));
        return (int) crc.getValue();
    }
}
