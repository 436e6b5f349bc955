package sprucehold.tracetools.story;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import sprucehold.trace.book.BookedScan;
import sprucehold.trace.book.ScanBook;
import sprucehold.trace.event.Entry;
import sprucehold.trace.event.Item;
import sprucehold.trace.event.Moment;

/** Counts scans as entries go by, and hands each on once nothing more can come of it. */
public final class ScanTallies {
    /** As many as the books hold: beyond that a scan that never ends is handed on as open. */
    private static final int MOST = 100_000;

    private final ScanBook book = new ScanBook();
    private final Map<BookedScan, ScanTally> open = new LinkedHashMap<>();
    private final Consumer<ScanTally> done;

    public ScanTallies(Consumer<ScanTally> done) {
        this.done = done;
    }

    public void add(Entry entry) {
        if (!(entry instanceof Moment moment)) {
            return;
        }
        for (Item item : moment.items()) {
            BookedScan scan = book.add(moment.source(), moment.nowMs(), item);
            if (scan == null) {
                continue;
            }
            ScanTally tally = open.computeIfAbsent(scan, ScanTally::new);
            tally.add(moment.nowMs(), item);
            if (scan.ended() && scan.out() <= 0) {
                open.remove(scan);
                done.accept(tally);
            } else if (open.size() > MOST) {
                BookedScan oldest = open.keySet().iterator().next();
                done.accept(open.remove(oldest));
            }
        }
    }

    /** Hands on the scans that have not ended. */
    public void end() {
        List.copyOf(open.values()).forEach(done);
        open.clear();
    }
}
