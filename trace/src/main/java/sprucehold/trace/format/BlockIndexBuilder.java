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
 * Collects the index of some blocks; a file's index is a row of such runs, so that a writer never
 * holds all of it.
 */
final class BlockIndexBuilder {
    /**
     * Queries of some ten thousand records: half a megabyte to build, and few enough runs for a
     * lookup.
     */
    static final int MOST_SCANS = 32_768;

    /** Block numbers fit into two bytes. */
    static final int MOST_BLOCKS = 32_000;

    private final List<Block> blocks = new ArrayList<>();
    private long[] hashes = new long[1024];
    private int[] blockOf = new int[1024];
    private int count;
    private final Map<String, TreeSet<Integer>> servers = new TreeMap<>();

    /** One block as the run lists it. */
    record Block(long at, int length, int entries, int records, double earliest, double latest) {}

    void block(Block block, long[] queryHashes, Iterable<String> serversOfIt) {
        int number = blocks.size();
        blocks.add(block);
        for (long hash : queryHashes) {
            if (count == hashes.length) {
                hashes = Arrays.copyOf(hashes, 2 * count);
                blockOf = Arrays.copyOf(blockOf, 2 * count);
            }
            hashes[count] = hash;
            blockOf[count++] = number;
        }
        serversOfIt.forEach(
                server -> servers.computeIfAbsent(server, name -> new TreeSet<>()).add(number));
    }

    boolean isEmpty() {
        return blocks.isEmpty();
    }

    boolean full() {
        return count >= MOST_SCANS || blocks.size() >= MOST_BLOCKS;
    }

    int queries() {
        return count;
    }

    byte[] raw() throws IOException {
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
        Integer[] order = new Integer[count];
        Arrays.setAll(order, i -> i);
        Arrays.sort(
                order,
                (a, b) -> {
                    int byHash = Long.compareUnsigned(hashes[a], hashes[b]);
                    return byHash != 0 ? byHash : Integer.compare(blockOf[a], blockOf[b]);
                });
        out.writeUInt32NoTag(count);
        for (int i : order) {
            out.writeFixed64NoTag(hashes[i]);
        }
        for (int i : order) {
            out.write((byte) blockOf[i]);
            out.write((byte) (blockOf[i] >>> 8));
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
