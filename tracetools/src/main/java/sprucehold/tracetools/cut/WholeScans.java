package sprucehold.tracetools.cut;

import java.util.ArrayList;
import java.util.List;
import sprucehold.trace.book.BookedScan;
import sprucehold.trace.book.ScanBook;
import sprucehold.trace.event.Entry;
import sprucehold.trace.event.Gap;
import sprucehold.trace.event.Head;
import sprucehold.trace.event.Item;
import sprucehold.trace.event.Moment;
import sprucehold.trace.event.Source;

/** What of each entry belongs to a window. Pure. */
final class WholeScans {
    private final List<Source> sources;
    private final Head.Window window;
    private final ScanBook book = new ScanBook();

    WholeScans(List<Source> sources, Head.Window window) {
        this.sources = sources;
        this.window = window;
    }

    /** The entry, part of it, or null where nothing of it belongs. */
    Entry of(Entry entry) {
        if (entry instanceof Gap gap) {
            double from = corrected(gap, gap.nowMs());
            double to = corrected(gap, gap.toMs());
            return from < window.toMs() && to >= window.fromMs() ? gap : null;
        }
        Moment moment = (Moment) entry;
        boolean here = window.holds(corrected(moment, moment.nowMs()));
        if (moment.items().isEmpty()) {
            return here ? moment : null;
        }
        var kept = new ArrayList<Item>(moment.items().size());
        for (Item item : moment.items()) {
            BookedScan scan = book.add(moment.source(), moment.nowMs(), item);
            // What belongs to no scan, or to one taken before the file began, belongs where it
            // happened.
            if (scan == null ? here : window.holds(corrected(moment, scan.takenMs()))) {
                kept.add(item);
            }
        }
        return kept.isEmpty() ? null : moment.withItems(kept);
    }

    private double corrected(Entry entry, double ms) {
        return sources.get(entry.source()).clock().corrected(ms);
    }
}
