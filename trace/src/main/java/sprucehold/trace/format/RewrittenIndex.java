package sprucehold.trace.format;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import sprucehold.trace.book.BookedScan;
import sprucehold.trace.book.ScanBook;
import sprucehold.trace.event.Entry;
import sprucehold.trace.event.Head;
import sprucehold.trace.event.Item;
import sprucehold.trace.event.Moment;

/** What the index of a file's blocks has to be, made anew from what they hold. */
final class RewrittenIndex {
    private final ScanBook book = new ScanBook();
    private final long[] seqBefore;
    private RunBuilder run = new RunBuilder();

    RewrittenIndex(Head head) {
        seqBefore = new long[head.sources().size()];
        java.util.Arrays.fill(seqBefore, Long.MIN_VALUE);
    }

    /** Returns how many records the block holds. */
    long block(long at, Frame frame, List<Entry> entries) throws IOException {
        long records = 0;
        double earliest = Double.NaN;
        double latest = Double.NaN;
        Map<String, Long> scans = new HashMap<>();
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
            if (entry instanceof Moment moment) {
                records += moment.items().size();
                for (Item item : moment.items()) {
                    BookedScan scan = book.add(moment.source(), moment.nowMs(), item);
                    if (scan != null) {
                        scans.computeIfAbsent(scan.taken().id(), Layout::hash);
                    }
                    if (book.server() != null) {
                        servers.add(book.server());
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
        run.block(
                new RunBuilder.Block(
                        at, frame.length(), frame.entries(), frame.records(), earliest, latest),
                scans.values().stream().mapToLong(hash -> hash).toArray(),
                servers);
        return records;
    }

    /** The run of the blocks since the one before. */
    byte[] run() throws IOException {
        byte[] raw = run.raw();
        run = new RunBuilder();
        return raw;
    }
}
