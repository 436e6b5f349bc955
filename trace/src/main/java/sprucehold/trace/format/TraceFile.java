package sprucehold.trace.format;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.List;
import sprucehold.trace.event.Entry;
import sprucehold.trace.event.TraceHeader;

/**
 * Reads the header of one trace file, and frames by their position. Checks every length and
 * checksum against the file before it uses the data.
 */
final class TraceFile implements Closeable {
    private static final int MAJOR_VERSION_AT = 8;
    private static final int HEADER_LENGTH_AT = 12;
    private static final int CRC_BYTES = 4;

    private final String name;
    private final FileChannel channel;
    private final long length;
    private final TraceHeader header;
    private final long firstFrame;

    /**
     * Opens a file and reads its header.
     *
     * @throws MalformedTraceException if the header can't be read
     */
    TraceFile(Path file) throws IOException {
        name = file.getFileName().toString();
        channel = FileChannel.open(file, StandardOpenOption.READ);
        try {
            length = channel.size();
            int headerLength = readPreamble();
            firstFrame = (long) Layout.PREAMBLE_BYTES + headerLength + CRC_BYTES;
            header = readHeader();
        } catch (IOException | RuntimeException e) {
            channel.close();
            throw e;
        }
    }

    /** Returns the length of the header's JSON in bytes. */
    private int readPreamble() throws IOException {
        ByteBuffer preamble =
                ByteBuffer.wrap(read(0, Layout.PREAMBLE_BYTES, "a trace file's first bytes"))
                        .order(ByteOrder.LITTLE_ENDIAN);
        byte[] magic = new byte[Layout.MAGIC.length];
        preamble.get(magic);
        if (!Arrays.equals(magic, Layout.MAGIC)) {
            throw malformed(0, "this is no trace file");
        }
        int major = preamble.getShort();
        if (major != Layout.MAJOR) {
            throw malformed(
                    MAJOR_VERSION_AT,
                    "version "
                            + major
                            + " of the format; this build reads version "
                            + Layout.MAJOR);
        }
        preamble.getShort();
        int headerLength = preamble.getInt();
        if (headerLength < 0
                || headerLength > Layout.MAX_HEADER_BYTES
                || headerLength + (long) CRC_BYTES > length - Layout.PREAMBLE_BYTES) {
            throw malformed(
                    HEADER_LENGTH_AT,
                    "a header of "
                            + Integer.toUnsignedString(headerLength)
                            + " bytes in a file of "
                            + length);
        }
        return headerLength;
    }

    private TraceHeader readHeader() throws IOException {
        byte[] headerBytes = read(0, (int) firstFrame, "the header");
        int crcAt = headerBytes.length - CRC_BYTES;
        int crc = ByteBuffer.wrap(headerBytes).order(ByteOrder.LITTLE_ENDIAN).getInt(crcAt);
        if (crc != TraceWriter.crc(headerBytes, crcAt)) {
            throw malformed(crcAt, "the header's checksum doesn't match");
        }
        try {
            return TraceHeaderJson.read(
                    Arrays.copyOfRange(headerBytes, Layout.PREAMBLE_BYTES, crcAt));
        } catch (IOException | RuntimeException e) {
            throw malformed(Layout.PREAMBLE_BYTES, "the header is invalid: " + firstLine(e));
        }
    }

    /** Returns the file's name without its folder. */
    String name() {
        return name;
    }

    /** Returns the length that the file had when it was opened, in bytes. */
    long length() {
        return length;
    }

    TraceHeader header() {
        return header;
    }

    /** Returns the position of the first frame. */
    long firstFrame() {
        return firstFrame;
    }

    /**
     * Reads {@code count} bytes from position {@code at}.
     *
     * @param description the name of the data, for the message if the file ends before it
     */
    byte[] read(long at, int count, String description) throws IOException {
        if (count > length - at) {
            throw malformed(
                    length,
                    description + " would take " + count + " bytes from byte " + at + " on");
        }
        ByteBuffer bytes = ByteBuffer.allocate(count);
        while (bytes.hasRemaining()) {
            if (channel.read(bytes, at + bytes.position()) < 0) {
                throw malformed(at + bytes.position(), description + " ends too soon");
            }
        }
        return bytes.array();
    }

    /** Reads the frame header at a position; the frame must end at or before {@code end}. */
    Frame frame(long at, long end) throws IOException {
        if (at + Layout.FRAME_BYTES > end) {
            throw malformed(at, "no room for a frame before byte " + end);
        }
        Frame frame = Frame.read(ByteBuffer.wrap(read(at, Layout.FRAME_BYTES, "a frame")));
        if (frame == null) {
            throw malformed(at, "a frame was expected");
        }
        if (at + frame.length() > end) {
            throw malformed(
                    at, "a frame of " + frame.length() + " bytes doesn't end before byte " + end);
        }
        return frame;
    }

    /** Returns the inflated content of a frame after checking its checksum. */
    byte[] content(Frame frame, long at) throws IOException {
        byte[] frameBytes = read(at, frame.length(), "a frame");
        if (!frame.matches(frameBytes)) {
            throw malformed(at, "the checksum of the frame doesn't match");
        }
        byte[] raw = frame.raw(frameBytes);
        if (raw == null) {
            throw malformed(
                    at,
                    "the frame doesn't inflate to the " + frame.rawLength() + " bytes it tells of");
        }
        return raw;
    }

    /**
     * Returns the inflated content of the frame at a position. The frame must be of the given kind
     * and end at or before {@code end}.
     */
    byte[] content(long at, int kind, long end) throws IOException {
        Frame frame = frame(at, end);
        if (frame.kind() != kind) {
            throw malformed(
                    at, "a frame of kind " + kind + " was expected, not of kind " + frame.kind());
        }
        return content(frame, at);
    }

    /** Returns the entries of a block. */
    List<Entry> entries(Frame frame, long at) throws IOException {
        List<Entry> entries;
        try {
            entries = BlockDecoder.decode(header.sources(), content(frame, at));
        } catch (MalformedTraceException e) {
            throw e;
        } catch (IOException e) {
            throw malformed(at, "the block can't be read: " + firstLine(e));
        }
        if (entries.size() != frame.entries()) {
            throw malformed(
                    at,
                    "a block of " + entries.size() + " entries that tells of " + frame.entries());
        }
        return entries;
    }

    MalformedTraceException malformed(long at, String problem) {
        return new MalformedTraceException(name, at, problem);
    }

    static String firstLine(Throwable e) {
        String message = e.getMessage() == null ? e.toString() : e.getMessage();
        return message.lines().findFirst().orElse("");
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}
