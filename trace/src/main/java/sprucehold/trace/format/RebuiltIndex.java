package sprucehold.trace.format;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import sprucehold.trace.correlation.CorrelatedQuery;
import sprucehold.trace.correlation.QueryCorrelator;
import sprucehold.trace.event.Entry;
import sprucehold.trace.event.Item;
import sprucehold.trace.event.PolicyCall;
import sprucehold.trace.event.TraceHeader;

/**
 * Rebuilds the indexes of a file from the content of its blocks, so that they can be compared with
 * the indexes in the file.
 */
final class RebuiltIndex {
    private final QueryCorrelator correlator = new QueryCorrelator();
    private final long[] previousSeq;
    private BlockIndexBuilder index = new BlockIndexBuilder();

    RebuiltIndex(TraceHeader header) {
        previousSeq = new long[header.sources().size()];
        java.util.Arrays.fill(previousSeq, Long.MIN_VALUE);
    }

    /**
     * Adds a block.
     *
     * @return the number of records in the block
     * @throws IOException if entries of a source are out of order, or the block's times differ from
     *     those of its entries
     */
    long addBlock(long at, Frame frame, List<Entry> entries) throws IOException {
        long records = 0;
        double earliest = Double.NaN;
        double latest = Double.NaN;
        Map<String, Long> queryHashes = new HashMap<>();
        var servers = new TreeSet<String>();
        for (Entry entry : entries) {
            if (entry.seq() <= previousSeq[entry.source()]) {
                throw new IOException(
                        "byte "
                                + at
                                + ": moment "
                                + entry.seq()
                                + " of source "
                                + entry.source()
                                + " stands after moment "
                                + previousSeq[entry.source()]);
            }
            previousSeq[entry.source()] = entry.seq();
            earliest = earliest <= entry.nowMs() ? earliest : entry.nowMs();
            latest = latest >= entry.nowMs() ? latest : entry.nowMs();
            if (entry instanceof PolicyCall call) {
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
            } else {
                records++;
            }
        }
        if (Double.compare(earliest, frame.earliest()) != 0
                || Double.compare(latest, frame.latest()) != 0) {
            throw new IOException("byte " + at + ": the block's times aren't those of its entries");
        }
        index.addBlock(
                new BlockIndexBuilder.Block(
                        at, frame.length(), frame.entries(), frame.records(), earliest, latest),
                queryHashes.values().stream().mapToLong(hash -> hash).toArray(),
                servers);
        return records;
    }

    /** Returns the index of the blocks added since the previous index and starts the next index. */
    byte[] finishIndex() throws IOException {
        byte[] raw = index.encode();
        index = new BlockIndexBuilder();
        return raw;
    }
}
