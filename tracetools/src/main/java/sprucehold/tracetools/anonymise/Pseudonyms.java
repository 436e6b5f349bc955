package sprucehold.tracetools.anonymise;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.util.HexFormat;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Derives pseudonyms that only the holder of the key can derive again: HMAC-SHA-256 (RFC 2104),
 * truncated to 64 bits.
 */
final class Pseudonyms {
    /** Minimum length of the key in characters; a shorter key could be found by trial. */
    static final int MIN_KEY_LENGTH = 16;

    private final Mac mac;

    Pseudonyms(String key) {
        if (key.length() < MIN_KEY_LENGTH) {
            throw new IllegalArgumentException(
                    "the key has "
                            + key.length()
                            + " characters, but at least "
                            + MIN_KEY_LENGTH
                            + " are required: a shorter key could be guessed");
        }
        try {
            mac = Mac.getInstance("HmacSHA256");
            mac.init(new SecretKeySpec(key.getBytes(StandardCharsets.UTF_8), "HmacSHA256"));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("every JDK has HmacSHA256", e);
        }
    }

    /**
     * Returns the number for a name of a kind. The same name of another kind yields another number.
     */
    long number(String kind, String name) {
        mac.update(kind.getBytes(StandardCharsets.UTF_8));
        mac.update((byte) 0);
        return ByteBuffer.wrap(mac.doFinal(name.getBytes(StandardCharsets.UTF_8))).getLong();
    }

    /** Returns the pseudonym for a name: the initial of its kind and its number in hexadecimal. */
    String name(String kind, String name) {
        return kind.charAt(0) + "-" + HexFormat.of().toHexDigits(number(kind, name));
    }
}
