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

/** What of each entry belongs to a window. Pure. */
final class QueryWindow {
    private final List<Source> sources;
    private final TraceHeader.Window window;
    private final QueryCorrelator correlator = new QueryCorrelator();

    QueryWindow(List<Source> sources, TraceHeader.Window window) {
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
        PolicyCall call = (PolicyCall) entry;
        boolean here = window.holds(corrected(call, call.nowMs()));
        if (call.items().isEmpty()) {
            return here ? call : null;
        }
        var kept = new ArrayList<Item>(call.items().size());
        for (Item item : call.items()) {
            CorrelatedQuery query = correlator.add(call.source(), call.nowMs(), item);
            // What belongs to no query, or to one taken before the file began, belongs where it
            // happened.
            if (query == null ? here : window.holds(corrected(call, query.receivedMs()))) {
                kept.add(item);
            }
        }
        return kept.isEmpty() ? null : call.withItems(kept);
    }

    private double corrected(Entry entry, double ms) {
        return sources.get(entry.source()).clock().corrected(ms);
    }
}
