package sprucehold.tracetools.summary;

import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import sprucehold.tracetools.explanation.QueryStatistics;

/** Statistics of a group of queries. */
public final class QueryGroup {
    /** Durations in microseconds; two significant digits limit the error to one percent. */
    private final Histogram durationsUs = new Histogram(2);

    private final Map<QueryStatistics.Outcome, Long> outcomes =
            new EnumMap<>(QueryStatistics.Outcome.class);
    private long queries;
    private long metLatencyObjective;
    private long attempts;
    private long retries;
    private long hedges;
    private double benefit;
    private double totalWeight;

    void add(QueryStatistics statistics) {
        queries++;
        outcomes.merge(statistics.outcome(), 1L, Long::sum);
        metLatencyObjective += statistics.metLatencyObjective() ? 1 : 0;
        attempts += statistics.attempts();
        retries += statistics.retries();
        hedges += statistics.hedges();
        var queryClass = statistics.query().received().queryClass();
        boolean completed =
                statistics.outcome() == QueryStatistics.Outcome.COMPLETE
                        || statistics.outcome() == QueryStatistics.Outcome.PARTIAL;
        totalWeight += queryClass.priorityWeight();
        benefit +=
                !completed
                        ? 0
                        : queryClass.priorityWeight()
                                * (statistics.metLatencyObjective() ? 1 : queryClass.lateWeight());
        if (completed) {
            durationsUs.recordValue(Math.max(0, Math.round(statistics.durationMs() * 1000)));
        }
    }

    public long queries() {
        return queries;
    }

    public long count(QueryStatistics.Outcome outcome) {
        return outcomes.getOrDefault(outcome, 0L);
    }

    public long metLatencyObjective() {
        return metLatencyObjective;
    }

    public long attempts() {
        return attempts;
    }

    public long retries() {
        return retries;
    }

    public long hedges() {
        return hedges;
    }

    /**
     * Returns the earned benefit divided by the priority weights of all queries, from 0 to 1. A
     * query that is answered within its latency objective earns its priority weight; one that is
     * answered later earns the priority weight times the late weight. Partial answers count as
     * complete ones.
     */
    public double benefitRatio() {
        return totalWeight == 0 ? 1 : benefit / totalWeight;
    }

    /**
     * Returns a percentile, from 0 to 100, of the durations of completed queries, in milliseconds,
     * or NaN if there are none.
     */
    public double percentileMs(double percentile) {
        return durationsUs.getTotalCount() == 0
                ? Double.NaN
                : durationsUs.getValueAtPercentile(percentile) / 1000.0;
    }
}
