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
 * Writes one trace file from its first byte to its last, in memory that doesn't grow with it.
 * Entries of each source come by rising {@link Entry#seq}. Not safe for threads.
 */
public final class TraceWriter implements Closeable {
    /** Small enough that a lookup inflates little, large enough that deflate finds what repeats. */
    private static final int BLOCK_BYTES = 64 << 10;

    private final OutputStream out;
    private final Deflater deflater;
    private final BlockEncoder encoder;
    private final QueryCorrelator correlator = new QueryCorrelator();
    private final Map<String, Long> queryHashes = new HashMap<>();
    private final TreeSet<String> servers = new TreeSet<>();
    private BlockIndexBuilder run = new BlockIndexBuilder();
    private final List<Long> runs = new ArrayList<>();
    private long position;
    private int entries;
    private int records;
    private double earliest = Double.NaN;
    private double latest = Double.NaN;
    private long allEntries;
    private long allRecords;
    private long totalQueries;
    private long gaps;
    private boolean closed;

    /**
     * Writes the header at once; deflates blocks at the JDK's fastest level, as a recorder shares
     * its gatherer's core.
     */
    public TraceWriter(OutputStream out, TraceHeader header) throws IOException {
        this(out, header, true);
    }

    /**
     * @param deflate whether blocks are deflated; otherwise the same entries bring the same bytes
     *     on every JDK
     */
    public TraceWriter(OutputStream out, TraceHeader header, boolean deflate) throws IOException {
        this.out = out;
        this.deflater = deflate ? new Deflater(Deflater.BEST_SPEED, true) : null;
        this.encoder = new BlockEncoder(header.sources());
        byte[] json = TraceHeaderJson.write(header);
        if (json.length > Layout.MAX_HEADER_BYTES) {
            throw new IOException(
                    "a head of " + json.length + " bytes, at most " + Layout.MAX_HEADER_BYTES);
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

    /** Adds an entry; an entry is never split over blocks. */
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

    /** Bytes written so far; what the open block will take isn't among them. */
    public long position() {
        return position;
    }

    /** Entries that wait in the open block. */
    public int inBlock() {
        return entries;
    }

    /** Entries added so far. */
    public long entries() {
        return allEntries + entries;
    }

    /** Ends the open block, so that all added so far can be read even if no more is written. */
    public void flush() throws IOException {
        if (entries == 0) {
            return;
        }
        byte[] raw = encoder.take();
        if (raw.length > Layout.MAX_RAW_BYTES || records > Layout.MAX_RECORDS) {
            throw new IOException(
                    "one entry of " + raw.length + " bytes and " + records + " records");
        }
        byte[] frame = Frame.write(Layout.BLOCK, raw, entries, records, earliest, latest, deflater);
        run.block(
                new BlockIndexBuilder.Block(
                        position, frame.length, entries, records, earliest, latest),
                queryHashes.values().stream().mapToLong(hash -> hash).toArray(),
                servers);
        write(frame);
        allEntries += entries;
        allRecords += records;
        entries = 0;
        records = 0;
        earliest = Double.NaN;
        latest = Double.NaN;
        queryHashes.clear();
        servers.clear();
        if (run.full()) {
            endRun();
        }
        out.flush();
    }

    private void endRun() throws IOException {
        if (run.isEmpty()) {
            return;
        }
        runs.add(position);
        totalQueries += run.queries();
        write(Frame.write(Layout.INDEX, run.raw(), 0, 0, Double.NaN, Double.NaN, deflater));
        run = new BlockIndexBuilder();
    }

    /** Ends the file by its index and footer, and closes the stream. */
    @Override
    public void close() throws IOException {
        if (closed) {
            return;
        }
        closed = true;
        try (out) {
            flush();
            endRun();
            long directory = position;
            var bytes = new ByteArrayOutputStream();
            var raw = CodedOutputStream.newInstance(bytes);
            raw.writeUInt32NoTag(runs.size());
            long before = 0;
            for (long at : runs) {
                raw.writeUInt64NoTag(at - before);
                before = at;
            }
            raw.writeUInt64NoTag(allRecords);
            raw.writeUInt64NoTag(allEntries);
            raw.writeUInt64NoTag(totalQueries);
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
                    .putLong(allRecords);
            footer.putInt(crc(footer.array(), footer.position())).put(Layout.MAGIC);
            write(footer.array());
        } finally {
            discard();
        }
    }

    /**
     * Lets go of what is held outside the heap, without another byte written; the stream stays
     * open.
     */
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
