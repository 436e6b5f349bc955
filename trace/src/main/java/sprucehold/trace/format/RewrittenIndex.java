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

/** What the index of a file's blocks has to be, made anew from what they hold. */
final class RewrittenIndex {
    private final QueryCorrelator correlator = new QueryCorrelator();
    private final long[] seqBefore;
    private BlockIndexBuilder index = new BlockIndexBuilder();

    RewrittenIndex(TraceHeader header) {
        seqBefore = new long[header.sources().size()];
        java.util.Arrays.fill(seqBefore, Long.MIN_VALUE);
    }

    /** Returns how many records the block holds. */
    long block(long at, Frame frame, List<Entry> entries) throws IOException {
        long records = 0;
        double earliest = Double.NaN;
        double latest = Double.NaN;
        Map<String, Long> queryHashes = new HashMap<>();
        var servers = new TreeSet<String>();
        for (Entry entry : entries) {
            if (entry.seq() <= seqBefore[entry.source()]) {
                throw new IOException(
                        "byte "
                                + at
                                + ": moment "
                                + entry.seq()
                                + " of source "
                                + entry.source()
                                + " stands after moment "
                                + seqBefore[entry.source()]);
            }
            seqBefore[entry.source()] = entry.seq();
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
        index.block(
                new BlockIndexBuilder.Block(
                        at, frame.length(), frame.entries(), frame.records(), earliest, latest),
                queryHashes.values().stream().mapToLong(hash -> hash).toArray(),
                servers);
        return records;
    }

    /** The run of the blocks since the one before. */
    byte[] index() throws IOException {
        byte[] raw = index.raw();
        index = new BlockIndexBuilder();
        return raw;
    }
}
