package sprucehold.tracetools.anonymise;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.util.HexFormat;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** Names that only who has the key can make again: HMAC-SHA-256 (RFC 2104), cut to 64 bits. */
final class Pseudonyms {
    /** Shorter ones could be tried out. */
    static final int LEAST_KEY_LETTERS = 16;

    private final Mac mac;

    Pseudonyms(String key) {
        if (key.length() < LEAST_KEY_LETTERS) {
            throw new IllegalArgumentException(
                    "a key of "
                            + key.length()
                            + " letters; at least "
                            + LEAST_KEY_LETTERS
                            + " were expected, or it could be guessed");
        }
        try {
            mac = Mac.getInstance("HmacSHA256");
            mac.init(new SecretKeySpec(key.getBytes(StandardCharsets.UTF_8), "HmacSHA256"));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("every JDK has HmacSHA256", e);
        }
    }

    /** A number for something of a kind; the same name of another kind has another. */
    long number(String kind, String name) {
        mac.update(kind.getBytes(StandardCharsets.UTF_8));
        mac.update((byte) 0);
        return ByteBuffer.wrap(mac.doFinal(name.getBytes(StandardCharsets.UTF_8))).getLong();
    }

    String name(String kind, String name) {
        return kind.charAt(0) + "-" + HexFormat.of().toHexDigits(number(kind, name));
    }
}
