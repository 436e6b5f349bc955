package sprucehold.trace.format;

import com.google.protobuf.CodedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Builds one index of consecutive blocks. A file has a sequence of such indexes, so that a writer
 * never keeps the index of the whole file in memory.
 */
final class BlockIndexBuilder {
    /**
     * Number of queries after which an index is written. Queries of some ten thousand records. An
     * index of this size takes half a megabyte to build, and a file has few enough indexes for a
     * lookup.
     */
    static final int MAX_QUERIES = 32_768;

    /** Number of blocks after which an index is written; block numbers must fit into two bytes. */
    static final int MAX_BLOCKS = 32_000;

    private final List<Block> blocks = new ArrayList<>();
    private long[] hashes = new long[1024];
    private int[] blockOfQuery = new int[1024];
    private int queryCount;
    private final Map<String, TreeSet<Integer>> servers = new TreeMap<>();

    /** One block as listed in the index. */
    record Block(long at, int length, int entries, int records, double earliest, double latest) {}

    /** Adds a block with the hashes of its queries and the names of its shard servers. */
    void addBlock(Block block, long[] queryHashes, Iterable<String> blockServers) {
        int number = blocks.size();
        blocks.add(block);
        for (long hash : queryHashes) {
            if (queryCount == hashes.length) {
                hashes = Arrays.copyOf(hashes, 2 * queryCount);
                blockOfQuery = Arrays.copyOf(blockOfQuery, 2 * queryCount);
            }
            hashes[queryCount] = hash;
            blockOfQuery[queryCount++] = number;
        }
        blockServers.forEach(
                server -> servers.computeIfAbsent(server, name -> new TreeSet<>()).add(number));
    }

    boolean isEmpty() {
        return blocks.isEmpty();
    }

    /** Returns whether the index has reached one of its bounds and must be written. */
    boolean isFull() {
        return queryCount >= MAX_QUERIES || blocks.size() >= MAX_BLOCKS;
    }

    int queries() {
        return queryCount;
    }

    /** Returns the raw bytes of the index. */
    byte[] encode() throws IOException {
        var bytes = new ByteArrayOutputStream();
        var out = CodedOutputStream.newInstance(bytes);
        out.writeUInt32NoTag(blocks.size());
        long end = 0;
        for (Block block : blocks) {
            out.writeUInt64NoTag(block.at - end);
            end = block.at + block.length;
            out.writeUInt32NoTag(block.length);
            out.writeUInt32NoTag(block.entries);
            out.writeUInt32NoTag(block.records);
            out.writeDoubleNoTag(block.earliest);
            out.writeDoubleNoTag(block.latest);
        }
        Integer[] order = new Integer[queryCount];
        Arrays.setAll(order, i -> i);
        Arrays.sort(
                order,
                (a, b) -> {
                    int byHash = Long.compareUnsigned(hashes[a], hashes[b]);
                    return byHash != 0 ? byHash : Integer.compare(blockOfQuery[a], blockOfQuery[b]);
                });
        out.writeUInt32NoTag(queryCount);
        for (int i : order) {
            out.writeFixed64NoTag(hashes[i]);
        }
        for (int i : order) {
            out.write((byte) blockOfQuery[i]);
            out.write((byte) (blockOfQuery[i] >>> 8));
        }
        out.writeUInt32NoTag(servers.size());
        for (var server : servers.entrySet()) {
            out.writeStringNoTag(server.getKey());
            out.writeUInt32NoTag(server.getValue().size());
            for (int block : server.getValue()) {
                out.writeUInt32NoTag(block);
            }
        }
        out.flush();
        return bytes.toByteArray();
    }
}
