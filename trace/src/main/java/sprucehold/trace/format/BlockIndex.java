package sprucehold.trace.format;

import com.google.protobuf.CodedInputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The index of some blocks, as read. */
final class BlockIndex {
    final List<BlockIndexBuilder.Block> blocks = new ArrayList<>();
    private long[] hashes;
    private int[] blockOf;
    private final Map<String, int[]> servers = new HashMap<>();

    private BlockIndex() {}

    /**
     * @param before no block may end beyond it: an index only speaks of what stands before it
     */
    static BlockIndex read(byte[] raw, long before) throws IOException {
        var run = new BlockIndex();
        var in = CodedInputStream.newInstance(raw);
        int blocks = in.readUInt32();
        long end = 0;
        for (int i = 0; i < blocks; i++) {
            long gap = in.readUInt64();
            int length = in.readUInt32();
            if (gap < 0 || length < Layout.FRAME_BYTES || gap > before - end - length) {
                throw new IOException("block " + i + " of the run isn't before it");
            }
            run.blocks.add(
                    new BlockIndexBuilder.Block(
                            end + gap,
                            length,
                            in.readUInt32(),
                            in.readUInt32(),
                            in.readDouble(),
                            in.readDouble()));
            end += gap + length;
        }
        int queries = in.readUInt32();
        if (queries < 0 || 10L * queries > raw.length) {
            throw new IOException(queries + " queries in an index of " + raw.length + " bytes");
        }
        run.hashes = new long[queries];
        run.blockOf = new int[queries];
        for (int i = 0; i < queries; i++) {
            run.hashes[i] = in.readFixed64();
        }
        for (int i = 0; i < queries; i++) {
            run.blockOf[i] = (in.readRawByte() & 0xff) | ((in.readRawByte() & 0xff) << 8);
            if (run.blockOf[i] >= blocks) {
                throw new IOException("a query in block " + run.blockOf[i] + " of " + blocks);
            }
        }
        int servers = in.readUInt32();
        for (int i = 0; i < servers; i++) {
            String name = in.readStringRequireUtf8();
            int count = in.readUInt32();
            if (count < 0 || count > blocks) {
                throw new IOException("a server in " + count + " of " + blocks + " blocks");
            }
            int[] of = new int[count];
            for (int j = 0; j < count; j++) {
                of[j] = in.readUInt32();
                if (of[j] < 0 || of[j] >= blocks) {
                    throw new IOException("a server in block " + of[j] + " of " + blocks);
                }
            }
            run.servers.put(name, of);
        }
        if (!in.isAtEnd()) {
            throw new IOException("bytes after the run's end");
        }
        return run;
    }

    /** Adds the numbers of blocks that hold something of the query. */
    void ofQuery(long hash, BitSet found) {
        int low = 0;
        int high = hashes.length;
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (Long.compareUnsigned(hashes[middle], hash) < 0) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        for (int i = low; i < hashes.length && hashes[i] == hash; i++) {
            found.set(blockOf[i]);
        }
    }

    void ofServer(String server, BitSet found) {
        for (int block : servers.getOrDefault(server, new int[0])) {
            found.set(block);
        }
    }

    void between(double fromMs, double toMs, BitSet found) {
        for (int i = 0; i < blocks.size(); i++) {
            // Blocks of no time, as there are none now, are looked at.
            if (!(blocks.get(i).latest() < fromMs) && !(blocks.get(i).earliest() >= toMs)) {
                found.set(i);
            }
        }
    }
}
