package sprucehold.tracetools.summary;

import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import sprucehold.decision.AttemptOutcome;
import sprucehold.decision.SkippedReplica;

/** Figures of one shard server. */
public final class ServerGroup {
    private final Histogram took = new Histogram(2);
    private final Map<AttemptOutcome, Long> endings = new EnumMap<>(AttemptOutcome.class);
    private final Map<SkippedReplica.Cause, Long> passedOver =
            new EnumMap<>(SkippedReplica.Cause.class);
    private long dispatches;

    void dispatched() {
        dispatches++;
    }

    void ended(AttemptOutcome outcome, double tookMs) {
        endings.merge(outcome, 1L, Long::sum);
        if (outcome == AttemptOutcome.COMPLETED) {
            took.recordValue(Math.max(0, Math.round(tookMs * 1000)));
        }
    }

    void passedOver(SkippedReplica.Cause cause) {
        passedOver.merge(cause, 1L, Long::sum);
    }

    public long dispatches() {
        return dispatches;
    }

    public long of(AttemptOutcome outcome) {
        return endings.getOrDefault(outcome, 0L);
    }

    /** How often it was skipped for what. */
    public Map<SkippedReplica.Cause, Long> passedOver() {
        return passedOver;
    }

    /** A percentile of the times of completed parts, in milliseconds; NaN where there are none. */
    public double percentileMs(double percentile) {
        return took.getTotalCount() == 0
                ? Double.NaN
                : took.getValueAtPercentile(percentile) / 1000.0;
    }
}
