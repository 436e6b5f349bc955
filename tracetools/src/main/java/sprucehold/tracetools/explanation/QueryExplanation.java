package sprucehold.tracetools.explanation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sprucehold.trace.correlation.CorrelatedQuery;
import sprucehold.trace.correlation.QueryCorrelator;
import sprucehold.trace.event.Entry;
import sprucehold.trace.event.Gap;
import sprucehold.trace.event.Item;
import sprucehold.trace.event.PolicyCall;

/**
 * All records of one query in a trace, in order.
 *
 * @param lines events and commands of the query
 * @param gaps gaps in the records of the query's gatherer while the query was open
 */
public record QueryExplanation(QueryStatistics statistics, List<Line> lines, List<Gap> gaps) {
    /** An event or command, with its time by the gatherer's clock. */
    public record Line(long seq, double nowMs, Item item) {}

    /** Collects the explanations of all queries with one id, which several queries may have. */
    public static final class Collector {
        private final String id;
        private final QueryCorrelator correlator = new QueryCorrelator();
        private final Map<CorrelatedQuery, QueryExplanation> explanations = new LinkedHashMap<>();

        public Collector(String id) {
            this.id = id;
        }

        public void add(Entry entry) {
            if (entry instanceof Gap gap) {
                explanations.values().stream()
                        .filter(
                                explanation ->
                                        explanation.statistics.query().source() == gap.source()
                                                && !explanation.statistics.query().ended())
                        .forEach(explanation -> explanation.gaps.add(gap));
            } else if (entry instanceof PolicyCall call) {
                for (Item item : call.items()) {
                    CorrelatedQuery query = correlator.add(call.source(), call.nowMs(), item);
                    if (query != null && query.received().id().equals(id)) {
                        QueryExplanation explanation =
                                explanations.computeIfAbsent(
                                        query,
                                        key ->
                                                new QueryExplanation(
                                                        new QueryStatistics(query),
                                                        new ArrayList<>(),
                                                        new ArrayList<>()));
                        explanation.statistics.add(call.nowMs(), item);
                        explanation.lines.add(new Line(call.seq(), call.nowMs(), item));
                    }
                }
            }
        }

        public List<QueryExplanation> explanations() {
            return List.copyOf(explanations.values());
        }
    }
}
