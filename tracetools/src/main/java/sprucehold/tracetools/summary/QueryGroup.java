package sprucehold.tracetools.summary;

import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import sprucehold.tracetools.explanation.QueryStatistics;

/** Figures of some queries. */
public final class QueryGroup {
    /** Two digits: a time is told to within a hundredth. */
    private final Histogram took = new Histogram(2);

    private final Map<QueryStatistics.Outcome, Long> outcomes =
            new EnumMap<>(QueryStatistics.Outcome.class);
    private long scans;
    private long inTargetTime;
    private long dispatches;
    private long furtherTries;
    private long copies;
    private double benefit;
    private double benefitAsked;

    void add(QueryStatistics statistics) {
        scans++;
        outcomes.merge(statistics.outcome(), 1L, Long::sum);
        inTargetTime += statistics.metLatencyObjective() ? 1 : 0;
        dispatches += statistics.attempts();
        furtherTries += statistics.retries();
        copies += statistics.hedges();
        var type = statistics.query().received().queryClass();
        boolean completed =
                statistics.outcome() == QueryStatistics.Outcome.COMPLETE
                        || statistics.outcome() == QueryStatistics.Outcome.PARTIAL;
        benefitAsked += type.priorityWeight();
        benefit +=
                !completed
                        ? 0
                        : type.priorityWeight()
                                * (statistics.metLatencyObjective() ? 1 : type.lateWeight());
        if (completed) {
            took.recordValue(Math.max(0, Math.round(statistics.durationMs() * 1000)));
        }
    }

    public long scans() {
        return scans;
    }

    public long of(QueryStatistics.Outcome outcome) {
        return outcomes.getOrDefault(outcome, 0L);
    }

    public long inTargetTime() {
        return inTargetTime;
    }

    public long dispatches() {
        return dispatches;
    }

    public long furtherTries() {
        return furtherTries;
    }

    public long copies() {
        return copies;
    }

    /**
     * The benefit earned over the benefit asked for, from 0 to 1; answers in part count as whole
     * ones.
     */
    public double service() {
        return benefitAsked == 0 ? 1 : benefit / benefitAsked;
    }

    /**
     * A percentile, from 0 to 100, of the times of completed queries, in milliseconds; NaN where
     * there are none.
     */
    public double percentileMs(double percentile) {
        return took.getTotalCount() == 0
                ? Double.NaN
                : took.getValueAtPercentile(percentile) / 1000.0;
    }
}
