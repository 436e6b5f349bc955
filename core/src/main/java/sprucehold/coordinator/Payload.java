package sprucehold.coordinator;

import java.nio.charset.StandardCharsets;

/**
 * Bytes that travel through the gatherer unread: the body of a query, the value of a part. The
 * array is handed over with its ownership and never copied, so whoever makes a payload doesn't
 * change the array afterwards, and whoever reads one doesn't either. Compared by identity.
 */
public final class Payload {
    /** No bytes at all. */
    public static final Payload EMPTY = new Payload(new byte[0]);

    private final byte[] bytes;

    private Payload(byte[] bytes) {
        this.bytes = bytes;
    }

    /** Takes the array over without copying it. */
    public static Payload owning(byte[] bytes) {
        return new Payload(bytes);
    }

    /** The text as UTF-8. */
    public static Payload ofText(String text) {
        return new Payload(text.getBytes(StandardCharsets.UTF_8));
    }

    /** The array itself, only to be read. */
    public byte[] bytes() {
        return bytes;
    }

    /** The number of bytes. */
    public int length() {
        return bytes.length;
    }

    /** The bytes read as UTF-8. */
    public String text() {
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
