package cranedeal.fleet.config;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * SHA-256 in hexadecimal. Sections are requested by checksum from any peer, so different sections must never
 * share one. CRC32C, which the store uses to detect damage, does not guarantee that.
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
