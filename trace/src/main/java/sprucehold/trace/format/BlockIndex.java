package sprucehold.trace.format;

import com.google.protobuf.CodedInputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** One index read from a file; it lists consecutive blocks with their queries and servers. */
final class BlockIndex {
    final List<BlockIndexBuilder.Block> blocks = new ArrayList<>();
    private long[] hashes;
    private int[] blockOfQuery;
    private final Map<String, int[]> servers = new HashMap<>();

    private BlockIndex() {}

    /**
     * Decodes an index.
     *
     * @param before the position of the index; an index lists only blocks that end before it
     * @throws IOException if the bytes are not a valid index
     */
    static BlockIndex read(byte[] raw, long before) throws IOException {
        var index = new BlockIndex();
        var in = CodedInputStream.newInstance(raw);
        int blocks = in.readUInt32();
        long end = 0;
        for (int i = 0; i < blocks; i++) {
            long distance = in.readUInt64();
            int length = in.readUInt32();
            if (distance < 0 || length < Layout.FRAME_BYTES || distance > before - end - length) {
                throw new IOException("block " + i + " doesn't end before the index that lists it");
            }
            index.blocks.add(
                    new BlockIndexBuilder.Block(
                            end + distance,
                            length,
                            in.readUInt32(),
                            in.readUInt32(),
                            in.readDouble(),
                            in.readDouble()));
            end += distance + length;
        }
        int queries = in.readUInt32();
        if (queries < 0 || 10L * queries > raw.length) {
            throw new IOException(queries + " queries in an index of " + raw.length + " bytes");
        }
        index.hashes = new long[queries];
        index.blockOfQuery = new int[queries];
        for (int i = 0; i < queries; i++) {
            index.hashes[i] = in.readFixed64();
        }
        for (int i = 0; i < queries; i++) {
            index.blockOfQuery[i] = (in.readRawByte() & 0xff) | ((in.readRawByte() & 0xff) << 8);
            if (index.blockOfQuery[i] >= blocks) {
                throw new IOException(
                        "a query in block " + index.blockOfQuery[i] + " of " + blocks);
            }
        }
        int servers = in.readUInt32();
        for (int i = 0; i < servers; i++) {
            String name = in.readStringRequireUtf8();
            int count = in.readUInt32();
            if (count < 0 || count > blocks) {
                throw new IOException("a server in " + count + " of " + blocks + " blocks");
            }
            int[] serverBlocks = new int[count];
            for (int j = 0; j < count; j++) {
                serverBlocks[j] = in.readUInt32();
                if (serverBlocks[j] < 0 || serverBlocks[j] >= blocks) {
                    throw new IOException("a server in block " + serverBlocks[j] + " of " + blocks);
                }
            }
            index.servers.put(name, serverBlocks);
        }
        if (!in.isAtEnd()) {
            throw new IOException("unexpected bytes after the end of the index");
        }
        return index;
    }

    /** Selects the blocks for which the index lists this hash of a query id. */
    void selectQuery(long hash, BitSet selected) {
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
            selected.set(blockOfQuery[i]);
        }
    }

    /** Selects the blocks with items that refer to the shard server. */
    void selectServer(String server, BitSet selected) {
        for (int block : servers.getOrDefault(server, new int[0])) {
            selected.set(block);
        }
    }

    /** Selects the blocks that may contain entries of the time range. */
    void selectTimes(double fromMs, double toMs, BitSet selected) {
        for (int i = 0; i < blocks.size(); i++) {
            // Selects blocks without times (NaN) as well; the writer currently creates none.
            if (!(blocks.get(i).latest() < fromMs) && !(blocks.get(i).earliest() >= toMs)) {
                selected.set(i);
            }
        }
    }
}
