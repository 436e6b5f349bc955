package sprucehold.trace.format;

import com.google.protobuf.CodedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.zip.CRC32C;
import java.util.zip.Deflater;
import sprucehold.trace.correlation.CorrelatedQuery;
import sprucehold.trace.correlation.QueryCorrelator;
import sprucehold.trace.event.Entry;
import sprucehold.trace.event.Gap;
import sprucehold.trace.event.Item;
import sprucehold.trace.event.PolicyCall;
import sprucehold.trace.event.TraceHeader;

/**
 * Writes one trace file sequentially; its memory use doesn't grow with the file. Entries of each
 * source must be added by ascending {@link Entry#seq}. Not thread-safe.
 */
public final class TraceWriter implements Closeable {
    /**
     * Raw length at which a block is ended, in bytes. It is small enough that a lookup inflates
     * little data, and large enough that deflate finds repetitions.
     */
    private static final int BLOCK_BYTES = 64 << 10;

    private final OutputStream out;
    private final Deflater deflater;
    private final BlockEncoder encoder;
    private final QueryCorrelator correlator = new QueryCorrelator();
    private final Map<String, Long> queryHashes = new HashMap<>();
    private final TreeSet<String> servers = new TreeSet<>();
    private BlockIndexBuilder index = new BlockIndexBuilder();
    private final List<Long> indexPositions = new ArrayList<>();
    private long position;
    private int entries;
    private int records;
    private double earliest = Double.NaN;
    private double latest = Double.NaN;
    private long flushedEntries;
    private long flushedRecords;
    private long indexedQueries;
    private long gaps;
    private boolean closed;

    /**
     * Creates a writer and writes the header. Blocks are deflated at the JDK's fastest level, as a
     * recorder shares the core of its gatherer.
     */
    public TraceWriter(OutputStream out, TraceHeader header) throws IOException {
        this(out, header, true);
    }

    /**
     * Creates a writer and writes the header.
     *
     * @param deflate whether blocks are deflated; without deflating, the same entries are written
     *     as the same bytes on every JDK
     */
    public TraceWriter(OutputStream out, TraceHeader header, boolean deflate) throws IOException {
        this.out = out;
        this.deflater = deflate ? new Deflater(Deflater.BEST_SPEED, true) : null;
        this.encoder = new BlockEncoder(header.sources());
        byte[] json = TraceHeaderJson.write(header);
        if (json.length > Layout.MAX_HEADER_BYTES) {
            throw new IOException(
                    "a header of "
                            + json.length
                            + " bytes; the limit is "
                            + Layout.MAX_HEADER_BYTES);
        }
        ByteBuffer bytes =
                ByteBuffer.allocate(Layout.PREAMBLE_BYTES + json.length + 4)
                        .order(ByteOrder.LITTLE_ENDIAN);
        bytes.put(Layout.MAGIC)
                .putShort((short) Layout.MAJOR)
                .putShort((short) Layout.MINOR)
                .putInt(json.length)
                .put(json);
        bytes.putInt(crc(bytes.array(), bytes.position()));
        write(bytes.array());
        out.flush();
    }

    /** Adds an entry. An entry is never split across blocks. */
    public void add(Entry entry) throws IOException {
        encoder.add(entry);
        entries++;
        earliest = earliest <= entry.nowMs() ? earliest : entry.nowMs();
        latest = latest >= entry.nowMs() ? latest : entry.nowMs();
        if (entry instanceof Gap) {
            records++;
            gaps++;
        } else if (entry instanceof PolicyCall call) {
            records += call.items().size();
            for (Item item : call.items()) {
                CorrelatedQuery query = correlator.add(call.source(), call.nowMs(), item);
                if (query != null) {
                    queryHashes.computeIfAbsent(query.received().id(), Layout::hash);
                }
                if (correlator.server() != null) {
                    servers.add(correlator.server());
                }
            }
        }
        if (encoder.size() >= BLOCK_BYTES) {
            flush();
        }
    }

    /** Returns the number of bytes written so far, without those of the open block. */
    public long position() {
        return position;
    }

    /** Returns the number of entries in the open block. */
    public int entriesInBlock() {
        return entries;
    }

    /** Returns the number of entries added so far. */
    public long entries() {
        return flushedEntries + entries;
    }

    /**
     * Ends and writes the open block, so that all entries added so far can be read even if nothing
     * more is written.
     */
    public void flush() throws IOException {
        if (entries == 0) {
            return;
        }
        byte[] raw = encoder.finishBlock();
        if (raw.length > Layout.MAX_RAW_BYTES || records > Layout.MAX_RECORDS) {
            throw new IOException(
                    "a block of " + raw.length + " bytes and " + records + " records is too large");
        }
        byte[] frame = Frame.write(Layout.BLOCK, raw, entries, records, earliest, latest, deflater);
        index.addBlock(
                new BlockIndexBuilder.Block(
                        position, frame.length, entries, records, earliest, latest),
                queryHashes.values().stream().mapToLong(hash -> hash).toArray(),
                servers);
        write(frame);
        flushedEntries += entries;
        flushedRecords += records;
        entries = 0;
        records = 0;
        earliest = Double.NaN;
        latest = Double.NaN;
        queryHashes.clear();
        servers.clear();
        if (index.isFull()) {
            writeIndex();
        }
        out.flush();
    }

    private void writeIndex() throws IOException {
        if (index.isEmpty()) {
            return;
        }
        indexPositions.add(position);
        indexedQueries += index.queries();
        write(Frame.write(Layout.INDEX, index.encode(), 0, 0, Double.NaN, Double.NaN, deflater));
        index = new BlockIndexBuilder();
    }

    /** Writes the open block, the last index, the directory and the footer; closes the stream. */
    @Override
    public void close() throws IOException {
        if (closed) {
            return;
        }
        closed = true;
        try (out) {
            flush();
            writeIndex();
            long directory = position;
            var bytes = new ByteArrayOutputStream();
            var raw = CodedOutputStream.newInstance(bytes);
            raw.writeUInt32NoTag(indexPositions.size());
            long previous = 0;
            for (long at : indexPositions) {
                raw.writeUInt64NoTag(at - previous);
                previous = at;
            }
            raw.writeUInt64NoTag(flushedRecords);
            raw.writeUInt64NoTag(flushedEntries);
            raw.writeUInt64NoTag(indexedQueries);
            raw.writeUInt64NoTag(gaps);
            raw.flush();
            write(
                    Frame.write(
                            Layout.DIRECTORY,
                            bytes.toByteArray(),
                            0,
                            0,
                            Double.NaN,
                            Double.NaN,
                            deflater));
            ByteBuffer footer =
                    ByteBuffer.allocate(Layout.FOOTER_BYTES).order(ByteOrder.LITTLE_ENDIAN);
            footer.put(Layout.FOOTER_MARKER)
                    .putLong(directory)
                    .putLong(position + Layout.FOOTER_BYTES)
                    .putLong(flushedRecords);
            footer.putInt(crc(footer.array(), footer.position())).put(Layout.MAGIC);
            write(footer.array());
        } finally {
            discard();
        }
    }

    /** Releases native memory without writing any more bytes. The stream stays open. */
    public void discard() {
        closed = true;
        if (deflater != null) {
            deflater.end();
        }
    }

    private void write(byte[] bytes) throws IOException {
        out.write(bytes);
        position += bytes.length;
    }

    static int crc(byte[] bytes, int length) {
        var crc = new CRC32C();
        crc.update(bytes, 0, length);
        return (int) crc.getValue();
    }
}
