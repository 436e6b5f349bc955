package sprucehold.trace.format;

import com.google.protobuf.CodedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.Iterator;
import java.util.List;
import java.util.Queue;
import sprucehold.trace.event.Entry;
import sprucehold.trace.event.TraceHeader;

/**
 * Reads one trace file, in memory for two blocks. A file that was cut off is read up to its last
 * whole block; what is wrong with it is in {@link #damage()}.
 */
public final class TraceReader implements Closeable {
    private final String name;
    private final FileChannel channel;
    private final long length;
    private final TraceHeader header;
    private final long firstFrame;

    /** The runs' places; null where the file has no sound end. */
    private List<Long> runs;

    private String damage;
    private long records;
    private long gaps;

    /** Which blocks of a file to read. */
    public enum Selection {
        ALL,
        QUERY,
        SERVER,
        TIME
    }

    private TraceReader(Path file) throws IOException {
        name = file.getFileName().toString();
        channel = FileChannel.open(file, StandardOpenOption.READ);
        try {
            length = channel.size();
            ByteBuffer start =
                    ByteBuffer.wrap(read(0, Layout.PREAMBLE_BYTES, "a trace file's first bytes"))
                            .order(ByteOrder.LITTLE_ENDIAN);
            byte[] magic = new byte[Layout.MAGIC.length];
            start.get(magic);
            if (!Arrays.equals(magic, Layout.MAGIC)) {
                throw malformed(0, "this is no trace file");
            }
            int major = start.getShort();
            if (major != Layout.MAJOR) {
                throw malformed(
                        8,
                        "version "
                                + major
                                + " of the format; this build reads version "
                                + Layout.MAJOR);
            }
            start.getShort();
            int json = start.getInt();
            if (json < 0
                    || json > Layout.MOST_HEAD_BYTES
                    || json + 4L > length - Layout.PREAMBLE_BYTES) {
                throw malformed(
                        12,
                        "a head of "
                                + Integer.toUnsignedString(json)
                                + " bytes in a file of "
                                + length);
            }
            byte[] all = read(0, Layout.PREAMBLE_BYTES + json + 4, "the head");
            int crc = ByteBuffer.wrap(all).order(ByteOrder.LITTLE_ENDIAN).getInt(all.length - 4);
            if (crc != TraceWriter.crc(all, all.length - 4)) {
                throw malformed(all.length - 4, "the head's checksum doesn't match");
            }
            try {
                header =
                        TraceHeaderJson.read(
                                Arrays.copyOfRange(all, Layout.PREAMBLE_BYTES, all.length - 4));
            } catch (IOException | RuntimeException e) {
                throw malformed(Layout.PREAMBLE_BYTES, "the head isn't one: " + firstLine(e));
            }
            firstFrame = all.length;
            readEnd();
        } catch (IOException | RuntimeException e) {
            channel.close();
            throw e;
        }
    }

    /**
     * @throws MalformedTraceException where not even a head can be read
     */
    public static TraceReader open(Path file) throws IOException {
        return new TraceReader(file);
    }

    public TraceHeader header() {
        return header;
    }

    /** The file's name, without its folder. */
    public String name() {
        return name;
    }

    /** Why the index can't be used, or null where the file has a sound end. */
    public String damage() {
        return damage;
    }

    /** Events, actions and gaps in the file by its footer; -1 where that can't be read. */
    public long records() {
        return damage == null ? records : -1;
    }

    /** Gaps in the file by its index; -1 where that can't be read. */
    public long gaps() {
        return damage == null ? gaps : -1;
    }

    public long length() {
        return length;
    }

    private void readEnd() {
        try {
            if (length < firstFrame + Layout.FRAME_BYTES + Layout.FOOTER_BYTES) {
                throw malformed(length, "it ends before its footer");
            }
            long at = length - Layout.FOOTER_BYTES;
            byte[] bytes = read(at, Layout.FOOTER_BYTES, "the footer");
            ByteBuffer footer = ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN);
            byte[] marker = new byte[4];
            footer.get(marker);
            long directory = footer.getLong();
            long stated = footer.getLong();
            records = footer.getLong();
            if (!Arrays.equals(marker, Layout.FOOTER_MARKER)
                    || footer.getInt() != TraceWriter.crc(bytes, 28)
                    || !Arrays.equals(Arrays.copyOfRange(bytes, 32, 40), Layout.MAGIC)) {
                throw malformed(at, "there is no footer");
            }
            if (stated != length || directory < firstFrame || directory > at - Layout.FRAME_BYTES) {
                throw malformed(at, "the footer speaks of another file");
            }
            var in = CodedInputStream.newInstance(raw(directory, Layout.DIRECTORY, at));
            int count = in.readUInt32();
            var places = new ArrayList<Long>();
            long run = 0;
            for (int i = 0; i < count; i++) {
                long step = in.readUInt64();
                // Strictly onwards: an index can't lead back to where it was.
                if (step <= 0 || step > directory - run || run + step < firstFrame) {
                    throw malformed(
                            directory,
                            "run " + i + " isn't between the one before and the directory");
                }
                run += step;
                places.add(run);
            }
            if (in.readUInt64() != records) {
                throw malformed(
                        directory, "directory and footer disagree on the number of records");
            }
            in.readUInt64();
            in.readUInt64();
            gaps = in.readUInt64();
            runs = places;
        } catch (IOException e) {
            runs = null;
            damage = firstLine(e);
        }
    }

    private byte[] read(long at, int count, String what) throws IOException {
        if (count > length() - at) {
            throw malformed(
                    length(), what + " would take " + count + " bytes from byte " + at + " on");
        }
        ByteBuffer bytes = ByteBuffer.allocate(count);
        while (bytes.hasRemaining()) {
            if (channel.read(bytes, at + bytes.position()) < 0) {
                throw malformed(at + bytes.position(), what + " ends too soon");
            }
        }
        return bytes.array();
    }

    private Frame frame(long at, long before) throws IOException {
        if (at + Layout.FRAME_BYTES > before) {
            throw malformed(at, "no room for a frame before byte " + before);
        }
        Frame frame = Frame.read(ByteBuffer.wrap(read(at, Layout.FRAME_BYTES, "a frame")));
        if (frame == null) {
            throw malformed(at, "a frame was expected");
        }
        if (at + frame.length() > before) {
            throw malformed(
                    at,
                    "a frame of " + frame.length() + " bytes doesn't end before byte " + before);
        }
        return frame;
    }

    private byte[] raw(Frame frame, long at) throws IOException {
        byte[] all = read(at, frame.length(), "a frame");
        if (!frame.matches(all)) {
            throw malformed(at, "the checksum of the frame doesn't match");
        }
        byte[] raw = frame.raw(all);
        if (raw == null) {
            throw malformed(
                    at,
                    "the frame doesn't inflate to the " + frame.rawLength() + " bytes it tells of");
        }
        return raw;
    }

    private byte[] raw(long at, int kind, long before) throws IOException {
        Frame frame = frame(at, before);
        if (frame.kind() != kind) {
            throw malformed(
                    at, "a frame of kind " + kind + " was expected, not of kind " + frame.kind());
        }
        return raw(frame, at);
    }

    private List<Entry> entries(Frame frame, long at) throws IOException {
        List<Entry> entries;
        try {
            entries = BlockDecoder.decode(header.sources(), raw(frame, at));
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

    private MalformedTraceException malformed(long at, String what) {
        return new MalformedTraceException(name, at, what);
    }

    private static String firstLine(Throwable e) {
        String message = e.getMessage() == null ? e.toString() : e.getMessage();
        return message.lines().findFirst().orElse("");
    }

    /** All entries in the order of the file. */
    public Cursor all() {
        return runs == null ? new Cursor(null) : new Cursor(new Blocks(Selection.ALL, null, 0, 0));
    }

    /** All entries of one source; those of others take no memory. */
    public Cursor allOf(int source) {
        Cursor cursor = all();
        cursor.only = source;
        return cursor;
    }

    /** All entries that can be read from the start on, whatever the index says. */
    Cursor withoutIndex() {
        return new Cursor(null);
    }

    /** The entries of all blocks that hold something of the scan, and perhaps of others. */
    public Cursor ofQuery(String id) {
        return runs == null ? all() : new Cursor(new Blocks(Selection.QUERY, id, 0, 0));
    }

    /** The entries of all blocks that speak of the shard server, and perhaps of others. */
    public Cursor ofServer(String server) {
        return runs == null ? all() : new Cursor(new Blocks(Selection.SERVER, server, 0, 0));
    }

    /**
     * The entries of all blocks that hold a time from {@code fromMs} until before {@code toMs}, and
     * others.
     */
    public Cursor between(double fromMs, double toMs) {
        return runs == null ? all() : new Cursor(new Blocks(Selection.TIME, null, fromMs, toMs));
    }

    /** Walks through the index, one run at a time. */
    private final class Blocks {
        private final Selection only;
        private final String name;
        private final double fromMs;
        private final double toMs;
        private final Iterator<Long> runsLeft = runs.iterator();
        private BlockIndex run;
        private BitSet found = new BitSet();
        private int next = -1;

        Blocks(Selection only, String name, double fromMs, double toMs) {
            this.only = only;
            this.name = name;
            this.fromMs = fromMs;
            this.toMs = toMs;
        }

        /** The place of the next block, or -1. */
        long next() throws IOException {
            next = run == null ? -1 : found.nextSetBit(next + 1);
            while (next < 0) {
                if (!runsLeft.hasNext()) {
                    return -1;
                }
                long at = runsLeft.next();
                try {
                    run = BlockIndex.read(raw(at, Layout.RUN, length), at);
                } catch (MalformedTraceException e) {
                    throw e;
                } catch (IOException e) {
                    throw malformed(at, "the index can't be read: " + firstLine(e));
                }
                found = new BitSet(run.blocks.size());
                switch (only) {
                    case ALL -> found.set(0, run.blocks.size());
                    case QUERY -> run.ofQuery(Layout.hash(name), found);
                    case SERVER -> run.ofServer(name, found);
                    case TIME -> run.between(fromMs, toMs, found);
                }
                next = found.nextSetBit(0);
            }
            return run.blocks.get(next).at();
        }
    }

    /** Entries one after the other, in memory for one block. */
    public final class Cursor {
        /** Null where the file is read frame by frame for want of an index. */
        private final Blocks blocks;

        private final Queue<Entry> ready = new ArrayDeque<>();
        private long at = firstFrame;
        private String endedBy;
        private int only = -1;
        private final List<String> skipped = new ArrayList<>();

        private Cursor(Blocks blocks) {
            this.blocks = blocks;
        }

        /**
         * The next entry, or null at the end.
         *
         * @throws MalformedTraceException where an indexed block is damaged; without an index, the
         *     first damaged block is the end, and {@link #endedBy()} says so
         */
        public Entry next() throws IOException {
            while (ready.isEmpty()) {
                if (blocks != null) {
                    long block = blocks.next();
                    if (block < 0) {
                        return null;
                    }
                    Frame frame = frame(block, length);
                    if (frame.kind() != Layout.BLOCK) {
                        throw malformed(block, "the index tells of a block where there is none");
                    }
                    take(entries(frame, block));
                } else if (!nextFrame()) {
                    return null;
                }
            }
            return ready.poll();
        }

        private void take(List<Entry> entries) {
            for (Entry entry : entries) {
                if (only < 0 || entry.source() == only) {
                    ready.add(entry);
                }
            }
        }

        private boolean nextFrame() {
            if (endedBy != null) {
                return false;
            }
            try {
                Frame frame = frame(at, length);
                if (frame.kind() == Layout.BLOCK) {
                    take(entries(frame, at));
                } else {
                    raw(frame, at);
                }
                at += frame.length();
                return true;
            } catch (IOException e) {
                long next = nextSound();
                if (next < 0) {
                    endedBy = firstLine(e);
                    return false;
                }
                skipped.add(firstLine(e));
                at = next;
                return true;
            }
        }

        /**
         * Where a sound frame begins right behind a damaged one whose length can be believed; -1 if
         * none does.
         */
        private long nextSound() {
            try {
                long next = at + frame(at, length).length();
                raw(frame(next, length), next);
                return next;
            } catch (IOException e) {
                return -1;
            }
        }

        /** What was wrong with each block that was passed over. */
        public List<String> skipped() {
            return List.copyOf(skipped);
        }

        /** Why a file without an index was read no further; null as long as it is. */
        public String endedBy() {
            return endedBy;
        }

        /** How far a file without an index was read, in bytes. */
        public long readTo() {
            return at;
        }
    }

    /** What {@link #verify} found. */
    public record Verification(
            boolean sound, String what, long blocks, long entries, long records) {}

    /**
     * Reads every byte: frames, checksums, order within sources, and whether the index tells just
     * what is there.
     */
    public Verification verify() {
        long blocks = 0;
        long entries = 0;
        long seen = 0;
        if (damage != null) {
            return new Verification(false, damage, 0, 0, 0);
        }
        try {
            long at = firstFrame;
            long end = length - Layout.FOOTER_BYTES;
            var expected = new RewrittenIndex(header);
            var runsMet = new ArrayList<Long>();
            boolean directory = false;
            while (at < end) {
                Frame frame = frame(at, end);
                if (directory) {
                    throw malformed(at, "a frame after the directory");
                }
                byte[] raw = raw(frame, at);
                if (frame.kind() == Layout.BLOCK) {
                    List<Entry> of = entries(frame, at);
                    long recordsOf = expected.block(at, frame, of);
                    if (recordsOf != frame.records()) {
                        throw malformed(
                                at,
                                "a block of "
                                        + recordsOf
                                        + " records that tells of "
                                        + frame.records());
                    }
                    blocks++;
                    entries += of.size();
                    seen += recordsOf;
                } else if (frame.kind() == Layout.RUN) {
                    runsMet.add(at);
                    if (!Arrays.equals(raw, expected.run())) {
                        throw malformed(
                                at, "the index doesn't tell what the blocks before it hold");
                    }
                } else if (frame.kind() == Layout.DIRECTORY) {
                    directory = true;
                }
                at += frame.length();
            }
            if (!runsMet.equals(runs) || seen != records) {
                throw malformed(end, "the directory doesn't tell what the file holds");
            }
            return new Verification(true, "sound", blocks, entries, seen);
        } catch (IOException e) {
            return new Verification(false, firstLine(e), blocks, entries, seen);
        }
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}
