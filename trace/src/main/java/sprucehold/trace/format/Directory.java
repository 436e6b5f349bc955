package sprucehold.trace.format;

import com.google.protobuf.CodedInputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The content of a trace file's directory and footer.
 *
 * @param indexes positions of the indexes in the file
 * @param records number of events, commands and gaps in the file
 * @param gaps number of gaps in the file
 */
record Directory(List<Long> indexes, long records, long gaps) {
    private static final int FOOTER_CRC_AT = 28;
    private static final int FOOTER_MAGIC_AT = 32;

    private record Footer(long directoryAt, long records) {}

    /**
     * Reads the footer and the directory of a file.
     *
     * @throws IOException if the file was truncated or its footer or directory is damaged
     */
    static Directory read(TraceFile file) throws IOException {
        Footer footer = readFooter(file);
        long at = footer.directoryAt;
        long end = file.length() - Layout.FOOTER_BYTES;
        var in = CodedInputStream.newInstance(file.content(at, Layout.DIRECTORY, end));
        List<Long> indexes = readIndexes(file, in, at);
        if (in.readUInt64() != footer.records) {
            throw file.malformed(at, "directory and footer disagree on the number of records");
        }
        // Skips the numbers of entries and queries, which are not used.
        in.readUInt64();
        in.readUInt64();
        return new Directory(indexes, footer.records, in.readUInt64());
    }

    private static Footer readFooter(TraceFile file) throws IOException {
        long length = file.length();
        if (length < file.firstFrame() + Layout.FRAME_BYTES + Layout.FOOTER_BYTES) {
            throw file.malformed(length, "it ends before its footer");
        }
        long at = length - Layout.FOOTER_BYTES;
        byte[] bytes = file.read(at, Layout.FOOTER_BYTES, "the footer");
        ByteBuffer footer = ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN);
        byte[] marker = new byte[Layout.FOOTER_MARKER.length];
        footer.get(marker);
        long directoryAt = footer.getLong();
        long statedLength = footer.getLong();
        long records = footer.getLong();
        byte[] magic = Arrays.copyOfRange(bytes, FOOTER_MAGIC_AT, Layout.FOOTER_BYTES);
        if (!Arrays.equals(marker, Layout.FOOTER_MARKER)
                || footer.getInt() != TraceWriter.crc(bytes, FOOTER_CRC_AT)
                || !Arrays.equals(magic, Layout.MAGIC)) {
            throw file.malformed(at, "there is no footer");
        }
        if (statedLength != length
                || directoryAt < file.firstFrame()
                || directoryAt > at - Layout.FRAME_BYTES) {
            throw file.malformed(at, "the footer speaks of another file");
        }
        return new Footer(directoryAt, records);
    }

    private static List<Long> readIndexes(TraceFile file, CodedInputStream in, long directoryAt)
            throws IOException {
        int count = in.readUInt32();
        var indexes = new ArrayList<Long>();
        long index = 0;
        for (int i = 0; i < count; i++) {
            long step = in.readUInt64();
            // Positions must strictly ascend, so that reading the indexes always terminates.
            if (step <= 0 || step > directoryAt - index || index + step < file.firstFrame()) {
                throw file.malformed(
                        directoryAt,
                        "run " + i + " isn't between the one before and the directory");
            }
            index += step;
            indexes.add(index);
        }
        return indexes;
    }
}
