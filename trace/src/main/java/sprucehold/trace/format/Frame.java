package sprucehold.trace.format;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.Arrays;
import java.util.zip.CRC32C;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * Header of the frame around a block, an index or the directory. It contains the lengths, the
 * numbers and times of the entries, and a checksum.
 */
record Frame(
        int kind,
        int method,
        int rawLength,
        int storedLength,
        int entries,
        int records,
        double earliest,
        double latest,
        int crc) {

    /** Returns the bytes of a frame: its header followed by the stored bytes. */
    static byte[] write(
            int kind,
            byte[] raw,
            int entries,
            int records,
            double earliest,
            double latest,
            Deflater deflater) {
        byte[] stored = raw;
        int method = Layout.STORED;
        if (deflater != null && raw.length > 0) {
            byte[] buffer = new byte[raw.length];
            deflater.reset();
            deflater.setInput(raw);
            deflater.finish();
            int length = deflater.deflate(buffer);
            // Content that deflate can't shorten is stored uncompressed.
            if (deflater.finished() && length < raw.length) {
                stored = Arrays.copyOf(buffer, length);
                method = Layout.DEFLATED;
            }
        }
        ByteBuffer frame =
                ByteBuffer.allocate(Layout.FRAME_BYTES + stored.length)
                        .order(ByteOrder.LITTLE_ENDIAN);
        frame.put(Layout.FRAME_MARKER)
                .put((byte) kind)
                .put((byte) method)
                .putShort((short) 0)
                .putInt(raw.length)
                .putInt(stored.length)
                .putInt(entries)
                .putInt(records)
                .putDouble(earliest)
                .putDouble(latest);
        // The last 8 of the 48 header bytes are the checksum, 4 bytes, and 4 zero bytes that are
        // reserved for a longer checksum.
        int crcAt = frame.position();
        frame.putInt(0).putInt(0).put(stored);
        frame.putInt(crcAt, checksum(frame.array(), crcAt));
        return frame.array();
    }

    private static int checksum(byte[] frame, int crcAt) {
        var crc = new CRC32C();
        crc.update(frame, 0, crcAt);
        crc.update(frame, crcAt + 4, frame.length - crcAt - 4);
        return (int) crc.getValue();
    }

    /** Reads a frame header; returns null if it is invalid or a length exceeds its bound. */
    static Frame read(ByteBuffer header) {
        header.order(ByteOrder.LITTLE_ENDIAN);
        byte[] marker = new byte[4];
        header.get(marker);
        int kind = header.get() & 0xff;
        int method = header.get() & 0xff;
        int zero = header.getShort();
        var frame =
                new Frame(
                        kind,
                        method,
                        header.getInt(),
                        header.getInt(),
                        header.getInt(),
                        header.getInt(),
                        header.getDouble(),
                        header.getDouble(),
                        header.getInt());
        boolean valid =
                Arrays.equals(marker, Layout.FRAME_MARKER)
                        && zero == 0
                        && frame.rawLength >= 0
                        && frame.rawLength <= Layout.MAX_RAW_BYTES
                        && frame.storedLength >= 0
                        && frame.storedLength <= Layout.MAX_STORED_BYTES
                        && frame.entries >= 0
                        && frame.records >= 0
                        && frame.records <= Layout.MAX_RECORDS;
        return valid ? frame : null;
    }

    /** Returns the length of the frame in bytes: its header and the stored bytes. */
    int length() {
        return Layout.FRAME_BYTES + storedLength;
    }

    /** Returns whether the checksum matches the bytes of the frame. */
    boolean matches(byte[] frameBytes) {
        return checksum(frameBytes, Layout.FRAME_BYTES - 8) == crc;
    }

    /** Returns the raw bytes; null if the stored bytes don't inflate to exactly the raw length. */
    byte[] raw(byte[] frameBytes) {
        if (method == Layout.STORED) {
            return rawLength == storedLength
                    ? Arrays.copyOfRange(frameBytes, Layout.FRAME_BYTES, frameBytes.length)
                    : null;
        }
        if (method != Layout.DEFLATED) {
            return null;
        }
        var inflater = new Inflater(true);
        try {
            inflater.setInput(frameBytes, Layout.FRAME_BYTES, storedLength);
            // Deflate compresses by a factor of about 1000 at best. A greater raw length is invalid
            // and is refused before memory is allocated for it.
            if (rawLength > 1100L * storedLength + 1024) {
                return null;
            }
            byte[] raw = new byte[rawLength];
            int length = 0;
            while (length < rawLength && !inflater.finished()) {
                int inflated = inflater.inflate(raw, length, rawLength - length);
                if (inflated == 0 && (inflater.needsInput() || inflater.needsDictionary())) {
                    break;
                }
                length += inflated;
            }
            boolean complete =
                    length == rawLength
                            && (inflater.finished()
                                    || (inflater.inflate(new byte[1]) == 0 && inflater.finished()));
            return complete && inflater.getRemaining() == 0 ? raw : null;
        } catch (DataFormatException e) {
            return null;
        } finally {
            inflater.end();
        }
    }
}
