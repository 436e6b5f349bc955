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

/**
 * Computes the statistics of each query from the entries of a trace. Passes the statistics on once
 * the query has ended and none of its attempts is pending.
 */
public final class QueryStatisticsCollector {
    /**
     * Maximum number of unfinished queries, the same as in {@link QueryCorrelator}. Beyond it, the
     * oldest query is passed on as open, since the end of a query may be missing in the trace.
     */
    private static final int MAX_QUERIES = 100_000;

    private final QueryCorrelator correlator = new QueryCorrelator();
    private final Map<CorrelatedQuery, QueryStatistics> open = new LinkedHashMap<>();
    private final Consumer<QueryStatistics> consumer;

    /**
     * @param consumer receives the statistics of each query
     */
    public QueryStatisticsCollector(Consumer<QueryStatistics> consumer) {
        this.consumer = consumer;
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
                consumer.accept(statistics);
            } else if (open.size() > MAX_QUERIES) {
                CorrelatedQuery oldest = open.keySet().iterator().next();
                consumer.accept(open.remove(oldest));
            }
        }
    }

    /** Passes on the queries that are not finished. */
    public void end() {
        List.copyOf(open.values()).forEach(consumer);
        open.clear();
    }
}
