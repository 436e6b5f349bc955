package sprucehold.tracetools.summary;

import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import sprucehold.decision.AttemptOutcome;
import sprucehold.decision.SkippedReplica;

/** Statistics of one shard server. */
public final class ServerGroup {
    /** Durations of completed attempts, in microseconds. */
    private final Histogram durationsUs = new Histogram(2);

    private final Map<AttemptOutcome, Long> outcomes = new EnumMap<>(AttemptOutcome.class);
    private final Map<SkippedReplica.Cause, Long> skipped =
            new EnumMap<>(SkippedReplica.Cause.class);
    private long attempts;

    void addAttempt() {
        attempts++;
    }

    void addEnd(AttemptOutcome outcome, double durationMs) {
        outcomes.merge(outcome, 1L, Long::sum);
        if (outcome == AttemptOutcome.COMPLETED) {
            durationsUs.recordValue(Math.max(0, Math.round(durationMs * 1000)));
        }
    }

    void addSkipped(SkippedReplica.Cause cause) {
        skipped.merge(cause, 1L, Long::sum);
    }

    public long attempts() {
        return attempts;
    }

    public long count(AttemptOutcome outcome) {
        return outcomes.getOrDefault(outcome, 0L);
    }

    /** Returns how often the server was skipped, by cause. */
    public Map<SkippedReplica.Cause, Long> skipped() {
        return skipped;
    }

    /**
     * Returns a percentile, from 0 to 100, of the durations of completed attempts, in milliseconds,
     * or NaN if there are none.
     */
    public double percentileMs(double percentile) {
        return durationsUs.getTotalCount() == 0
                ? Double.NaN
                : durationsUs.getValueAtPercentile(percentile) / 1000.0;
    }
}
