package sprucehold.trace.format;

import java.io.IOException;
import java.util.BitSet;
import java.util.Iterator;
import java.util.List;

/**
 * Iterates over the positions of the blocks of a file that pass a filter. Keeps one index in memory
 * at a time.
 */
final class BlockSelection {
    /** Selects the blocks to read by what an index lists for them. */
    interface BlockFilter {
        /** Sets the bits of those blocks of an index that may contain matching entries. */
        void select(BlockIndex index, BitSet selected) throws IOException;
    }

    static final long NONE = -1;

    private final TraceFile file;
    private final BlockFilter filter;
    private final Iterator<Long> remainingIndexes;
    private BlockIndex index;
    private BitSet selected = new BitSet();
    private int next = -1;

    BlockSelection(TraceFile file, List<Long> indexes, BlockFilter filter) {
        this.file = file;
        this.filter = filter;
        this.remainingIndexes = indexes.iterator();
    }

    static BlockFilter all() {
        return (index, selected) -> selected.set(0, index.blocks.size());
    }

    static BlockFilter query(String id) {
        return (index, selected) -> index.selectQuery(Layout.hash(id), selected);
    }

    static BlockFilter server(String name) {
        return (index, selected) -> index.selectServer(name, selected);
    }

    static BlockFilter time(double fromMs, double toMs) {
        return (index, selected) -> index.selectTimes(fromMs, toMs, selected);
    }

    /** Returns the position of the next selected block, or {@link #NONE} after the last one. */
    long next() throws IOException {
        next = index == null ? -1 : selected.nextSetBit(next + 1);
        while (next < 0) {
            if (!remainingIndexes.hasNext()) {
                return NONE;
            }
            index = read(remainingIndexes.next());
            selected = new BitSet(index.blocks.size());
            filter.select(index, selected);
            next = selected.nextSetBit(0);
        }
        return index.blocks.get(next).at();
    }

    private BlockIndex read(long at) throws IOException {
        try {
            return BlockIndex.read(file.content(at, Layout.INDEX, file.length()), at);
        } catch (MalformedTraceException e) {
            throw e;
        } catch (IOException e) {
            throw file.malformed(at, "the index can't be read: " + TraceFile.firstLine(e));
        }
    }
}
