package sprucehold.tracetools.explanation;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import sprucehold.trace.correlation.CorrelatedQuery;
import sprucehold.trace.correlation.QueryCorrelator;
import sprucehold.trace.event.Entry;
import sprucehold.trace.event.Item;
import sprucehold.trace.event.PolicyCall;

/** Counts queries as entries go by, and hands each on once nothing more can come of it. */
public final class QueryStatisticsCollector {
    /** As many as the books hold: beyond that a query that never ends is handed on as open. */
    private static final int MOST = 100_000;

    private final QueryCorrelator correlator = new QueryCorrelator();
    private final Map<CorrelatedQuery, QueryStatistics> open = new LinkedHashMap<>();
    private final Consumer<QueryStatistics> done;

    public QueryStatisticsCollector(Consumer<QueryStatistics> done) {
        this.done = done;
    }

    public void add(Entry entry) {
        if (!(entry instanceof PolicyCall call)) {
            return;
        }
        for (Item item : call.items()) {
            CorrelatedQuery query = correlator.add(call.source(), call.nowMs(), item);
            if (query == null) {
                continue;
            }
            QueryStatistics statistics = open.computeIfAbsent(query, QueryStatistics::new);
            statistics.add(call.nowMs(), item);
            if (query.ended() && query.pendingAttempts() <= 0) {
                open.remove(query);
                done.accept(statistics);
            } else if (open.size() > MOST) {
                CorrelatedQuery oldest = open.keySet().iterator().next();
                done.accept(open.remove(oldest));
            }
        }
    }

    /** Hands on the queries that have not ended. */
    public void end() {
        List.copyOf(open.values()).forEach(done);
        open.clear();
    }
}
