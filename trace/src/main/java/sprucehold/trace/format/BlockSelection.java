package sprucehold.trace.format;

import java.io.IOException;
import java.util.BitSet;
import java.util.Iterator;
import java.util.List;

/** The places of those blocks of a file that hold what is wanted, one index of blocks at a time. */
final class BlockSelection {
    /** What is wanted of a file. */
    interface Wanted {
        /** Marks the blocks of an index that may hold it. */
        void mark(BlockIndex index, BitSet found) throws IOException;
    }

    static final long NONE = -1;

    private final TraceFile file;
    private final Wanted wanted;
    private final Iterator<Long> indexesLeft;
    private BlockIndex index;
    private BitSet found = new BitSet();
    private int next = -1;

    BlockSelection(TraceFile file, List<Long> indexes, Wanted wanted) {
        this.file = file;
        this.wanted = wanted;
        this.indexesLeft = indexes.iterator();
    }

    static Wanted all() {
        return (index, found) -> found.set(0, index.blocks.size());
    }

    static Wanted query(String id) {
        return (index, found) -> index.ofQuery(Layout.hash(id), found);
    }

    static Wanted server(String name) {
        return (index, found) -> index.ofServer(name, found);
    }

    static Wanted time(double fromMs, double toMs) {
        return (index, found) -> index.between(fromMs, toMs, found);
    }

    /** The place of the next block, or {@link #NONE}. */
    long next() throws IOException {
        next = index == null ? -1 : found.nextSetBit(next + 1);
        while (next < 0) {
            if (!indexesLeft.hasNext()) {
                return NONE;
            }
            index = read(indexesLeft.next());
            found = new BitSet(index.blocks.size());
            wanted.mark(index, found);
            next = found.nextSetBit(0);
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
