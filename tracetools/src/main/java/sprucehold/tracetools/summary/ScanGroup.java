package sprucehold.tracetools.summary;

import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import sprucehold.tracetools.story.ScanTally;

/** Figures of some scans. */
public final class ScanGroup {
    /** Two digits: a time is told to within a hundredth. */
    private final Histogram took = new Histogram(2);

    private final Map<ScanTally.Outcome, Long> outcomes = new EnumMap<>(ScanTally.Outcome.class);
    private long scans;
    private long inTargetTime;
    private long dispatches;
    private long furtherTries;
    private long copies;
    private double benefit;
    private double benefitAsked;

    void add(ScanTally tally) {
        scans++;
        outcomes.merge(tally.outcome(), 1L, Long::sum);
        inTargetTime += tally.inTargetTime() ? 1 : 0;
        dispatches += tally.dispatches();
        furtherTries += tally.furtherTries();
        copies += tally.copies();
        var type = tally.scan().taken().queryClass();
        boolean completed =
                tally.outcome() == ScanTally.Outcome.WHOLE
                        || tally.outcome() == ScanTally.Outcome.PART;
        benefitAsked += type.priorityWeight();
        benefit +=
                !completed
                        ? 0
                        : type.priorityWeight() * (tally.inTargetTime() ? 1 : type.lateWeight());
        if (completed) {
            took.recordValue(Math.max(0, Math.round(tally.tookMs() * 1000)));
        }
    }

    public long scans() {
        return scans;
    }

    public long of(ScanTally.Outcome outcome) {
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
     * A percentile, from 0 to 100, of the times of completed scans, in milliseconds; NaN where
     * there are none.
     */
    public double percentileMs(double percentile) {
        return took.getTotalCount() == 0
                ? Double.NaN
                : took.getValueAtPercentile(percentile) / 1000.0;
    }
}
