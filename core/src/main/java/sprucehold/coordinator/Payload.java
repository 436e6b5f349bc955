package sprucehold.coordinator;

import java.nio.charset.StandardCharsets;

/**
 * Bytes that the gatherer forwards without interpreting them: the body of a query or the value of a
 * part. The payload takes ownership of its array and never copies it, so neither the creator nor a
 * reader of a payload may change the array. Payloads are compared by identity.
 */
public final class Payload {
    /** Payload of length 0. */
    public static final Payload EMPTY = new Payload(new byte[0]);

    private final byte[] bytes;

    private Payload(byte[] bytes) {
        this.bytes = bytes;
    }

    /** Creates a payload that takes ownership of the array without copying it. */
    public static Payload wrap(byte[] bytes) {
        return new Payload(bytes);
    }

    /** Creates a payload from the UTF-8 encoding of a text. */
    public static Payload ofUtf8(String text) {
        return new Payload(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the array itself, which callers must not modify. */
    public byte[] bytes() {
        return bytes;
    }

    /** Returns the number of bytes. */
    public int length() {
        return bytes.length;
    }

    /** Returns the bytes decoded as UTF-8. */
    public String toUtf8String() {
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
