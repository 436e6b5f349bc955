package sprucehold.cluster.wire;

import java.io.ByteArrayOutputStream;
import java.util.zip.CRC32C;

/**
 * The frame of a peer message: two magic bytes, the version, a CRC-32C (RFC 3720) of version and
 * body with the most significant byte first, and the body.
 */
final class MessageFrame {
    static final int HEADER_BYTES = 7;

    private static final int VERSION_OFFSET = 2;
    private static final int CHECKSUM_OFFSET = 3;
    private static final int CHECKSUM_BYTES = 4;

    private MessageFrame() {}

    /** Begins a frame with its version and space for the checksum; the body is to be appended. */
    static ByteArrayOutputStream begin(int version) {
        var frame = new ByteArrayOutputStream(256);
        frame.writeBytes(new byte[] {'S', 'G', (byte) version, 0, 0, 0, 0});
        return frame;
    }

    /** Writes the checksum into a frame with its body, and returns that frame. */
    static byte[] seal(byte[] frame) {
        long checksum = checksum(frame);
        for (int i = 0; i < CHECKSUM_BYTES; i++) {
            frame[CHECKSUM_OFFSET + i] = (byte) (checksum >>> (24 - 8 * i));
        }
        return frame;
    }

    /** Whether the bytes begin with the magic bytes of a frame and have a body. */
    static boolean isFrame(byte[] bytes) {
        return bytes.length > HEADER_BYTES && bytes[0] == 'S' && bytes[1] == 'G';
    }

    /** Whether a frame's checksum matches its version and body. */
    static boolean isIntact(byte[] frame) {
        long stated = 0;
        for (int i = 0; i < CHECKSUM_BYTES; i++) {
            stated = (stated << 8) | (frame[CHECKSUM_OFFSET + i] & 0xff);
        }
        return stated == checksum(frame);
    }

    /** Returns the version stated in a frame. */
    static int version(byte[] frame) {
        return frame[VERSION_OFFSET] & 0xff;
    }

    private static long checksum(byte[] frame) {
        var checksum = new CRC32C();
        checksum.update(frame[VERSION_OFFSET]);
        checksum.update(frame, HEADER_BYTES, frame.length - HEADER_BYTES);
        return checksum.getValue();
    }
}
