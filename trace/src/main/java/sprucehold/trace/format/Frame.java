package sprucehold.trace.format;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.Arrays;
import java.util.zip.CRC32C;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/** The frame around a block, a run or the directory: lengths, times and a checksum. */
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

    /** A frame's bytes, header and stored bytes. */
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
            // What can't be shortened stays as it is.
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
        // Of 48 bytes, 4 are the checksum and 4 more are kept free, as zero, for a longer one.
        int at = frame.position();
        frame.putInt(0).putInt(0).put(stored);
        frame.putInt(at, checksum(frame.array(), at));
        return frame.array();
    }

    private static int checksum(byte[] frame, int at) {
        var crc = new CRC32C();
        crc.update(frame, 0, at);
        crc.update(frame, at + 4, frame.length - at - 4);
        return (int) crc.getValue();
    }

    /** Reads a header; null where it is none or a length is beyond its bound. */
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
        boolean good =
                Arrays.equals(marker, Layout.FRAME_MARKER)
                        && zero == 0
                        && frame.rawLength >= 0
                        && frame.rawLength <= Layout.MAX_RAW_BYTES
                        && frame.storedLength >= 0
                        && frame.storedLength <= Layout.MAX_STORED_BYTES
                        && frame.entries >= 0
                        && frame.records >= 0
                        && frame.records <= Layout.MAX_RECORDS;
        return good ? frame : null;
    }

    /** Header and stored bytes together. */
    int length() {
        return Layout.FRAME_BYTES + storedLength;
    }

    /** Whether header and stored bytes are as they were written. */
    boolean matches(byte[] all) {
        return checksum(all, Layout.FRAME_BYTES - 8) == crc;
    }

    /** The raw bytes; null where the stored ones don't inflate to just so many. */
    byte[] raw(byte[] all) {
        if (method == Layout.STORED) {
            return rawLength == storedLength
                    ? Arrays.copyOfRange(all, Layout.FRAME_BYTES, all.length)
                    : null;
        }
        if (method != Layout.DEFLATED) {
            return null;
        }
        var inflater = new Inflater(true);
        try {
            inflater.setInput(all, Layout.FRAME_BYTES, storedLength);
            // Deflate shortens to a thousandth at best, so a claim beyond that needs no memory to
            // be refused.
            if (rawLength > 1100L * storedLength + 1024) {
                return null;
            }
            byte[] raw = new byte[rawLength];
            int length = 0;
            while (length < rawLength && !inflater.finished()) {
                int more = inflater.inflate(raw, length, rawLength - length);
                if (more == 0 && (inflater.needsInput() || inflater.needsDictionary())) {
                    break;
                }
                length += more;
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
