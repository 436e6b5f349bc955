package stage;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Helpers for byte arrays. */
public final class Bytes {
    private Bytes() {}

    /** Returns the bytes of an ASCII text. */
    public static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    /** Returns all arrays, one after the other. */
    public static byte[] join(byte[]... arrays) {
        var joined = new ByteArrayOutputStream();
        for (byte[] array : arrays) {
            joined.writeBytes(array);
        }
        return joined.toByteArray();
    }
}
