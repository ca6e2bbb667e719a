package cranedeal.fleet.config;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * SHA-256 in hexadecimal. A section is asked for by its checksum, of whoever says to have it, so two that
 * differ must never share one; CRC32C, which the store uses against damage, promises that only for some.
 */
final class Checksum {

    private Checksum() {
    }

    static String of(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
