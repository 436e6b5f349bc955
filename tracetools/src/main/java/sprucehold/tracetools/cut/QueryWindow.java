package sprucehold.tracetools.cut;

import java.util.ArrayList;
import java.util.List;
import sprucehold.trace.correlation.CorrelatedQuery;
import sprucehold.trace.correlation.QueryCorrelator;
import sprucehold.trace.event.Entry;
import sprucehold.trace.event.Gap;
import sprucehold.trace.event.Item;
import sprucehold.trace.event.PolicyCall;
import sprucehold.trace.event.Source;
import sprucehold.trace.event.TraceHeader;

/** Selects the items of each entry that belong to a window. Pure: it accesses no file. */
final class QueryWindow {
    private final List<Source> sources;
    private final TraceHeader.Window window;
    private final QueryCorrelator correlator = new QueryCorrelator();

    QueryWindow(List<Source> sources, TraceHeader.Window window) {
        this.sources = sources;
        this.window = window;
    }

    /** Returns the entry, the part of it that belongs to the window, or null if nothing does. */
    Entry select(Entry entry) {
        if (entry instanceof Gap gap) {
            double from = corrected(gap, gap.nowMs());
            double to = corrected(gap, gap.toMs());
            return from < window.toMs() && to >= window.fromMs() ? gap : null;
        }
        PolicyCall call = (PolicyCall) entry;
        boolean inWindow = window.contains(corrected(call, call.nowMs()));
        if (call.items().isEmpty()) {
            return inWindow ? call : null;
        }
        var kept = new ArrayList<Item>(call.items().size());
        for (Item item : call.items()) {
            CorrelatedQuery query = correlator.add(call.source(), call.nowMs(), item);
            // An item of no query, or of a query received before the start of the file, belongs to
            // the window in which it was recorded.
            if (query == null ? inWindow : window.contains(corrected(call, query.receivedMs()))) {
                kept.add(item);
            }
        }
        return kept.isEmpty() ? null : call.withItems(kept);
    }

    private double corrected(Entry entry, double ms) {
        return sources.get(entry.source()).clock().corrected(ms);
    }
}
