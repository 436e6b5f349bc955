package sprucehold.change.watch;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import sprucehold.change.watch.TimeWindow.Segment;
import sprucehold.change.watch.TimeWindow.ServiceLevel;

/**
 * Watches service after a version went live, and decides whether it degraded. Each segment with
 * enough queries before is tested by itself against its baseline, less the baseline's own error and
 * a tolerance. All tests together raise a false alarm with a probability of at most {@link
 * #FALSE_ALARM_RATE} (Bonferroni's correction), as long as service is no worse than in the worst
 * interval before.
 */
public final class HealthWatch {
    /** Probability that a harmless change is rolled back. */
    public static final double FALSE_ALARM_RATE = 0.001;

    /** A segment with fewer queries before is judged only among all queries. */
    private static final long MIN_BASELINE_QUERIES = 60;

    /**
     * Share of the false-alarm rate that the test of all queries has; the others share the rest.
     */
    private static final double ALL_QUERIES_SHARE = 0.5;

    /** A lower bound can't be told from no service at all. */
    private static final double MIN_BOUND = 0.05;

    /** A longer time between two windows is a step of the clock. */
    private static final double MAX_WINDOW_MS = 10_000;

    private static final double MS_PER_SECOND = 1000;

    private final Map<Segment, SegmentTest> tests = new HashMap<>();
    private final double confirmAfterMs;
    private final long minimumQueries;
    private double latestMs;
    private double watchedMs;
    private long queries;

    /** What the watch has decided. */
    public sealed interface Verdict {
        /** Nothing yet. */
        record Pending() implements Verdict {}

        /**
         * Service degraded.
         *
         * @param segment whose service
         * @param evidence how much, one sentence
         */
        record Degraded(Segment segment, String evidence) implements Verdict {}

        /**
         * Service held throughout the watch.
         *
         * @param evidence what was seen
         */
        record Healthy(String evidence) implements Verdict {}
    }

    /**
     * Begins a watch.
     *
     * @param baseline service until now
     * @param nowMs the time now, by the clock of the windows
     * @param confirmAfterMs length of the watch, in milliseconds
     * @param minimumQueries queries that have to be seen before service counts as healthy
     */
    public HealthWatch(
            Baseline baseline, double nowMs, double confirmAfterMs, long minimumQueries) {
        this.latestMs = nowMs;
        this.confirmAfterMs = confirmAfterMs;
        this.minimumQueries = minimumQueries;
        Map<Segment, Baseline.Statistics> statistics = baseline.statistics();
        long otherSegments =
                statistics.entrySet().stream()
                        .filter(
                                entry ->
                                        !entry.getKey().equals(Segment.ALL)
                                                && entry.getValue().queries()
                                                        >= MIN_BASELINE_QUERIES)
                        .count();
        statistics.forEach((segment, before) -> addTest(segment, before, otherSegments));
    }

    private void addTest(Segment segment, Baseline.Statistics before, long otherSegments) {
        double bound = SegmentTest.bound(before);
        if (before.queries() >= MIN_BASELINE_QUERIES && bound > MIN_BOUND) {
            double share =
                    segment.equals(Segment.ALL)
                            ? ALL_QUERIES_SHARE
                            : (1 - ALL_QUERIES_SHARE) / Math.max(1, otherSegments);
            tests.put(segment, new SegmentTest(bound, FALSE_ALARM_RATE * share, before));
        }
    }

    /** Takes the next time window. */
    public Verdict add(TimeWindow window) {
        advanceClock(window.endsMs());
        ServiceLevel all = window.levels().get(Segment.ALL);
        queries += all == null ? 0 : all.queries();
        for (var entry : tests.entrySet()) {
            ServiceLevel level = window.levels().get(entry.getKey());
            // A window without queries tells nothing.
            if (level != null && level.queries() > 0) {
                entry.getValue().add(level);
            }
        }
        for (var entry : tests.entrySet()) {
            SegmentTest test = entry.getValue();
            if (test.degraded()
                    && !test.flooded(watchedSeconds())
                    && !explainedByFloods(entry.getKey())) {
                return new Verdict.Degraded(entry.getKey(), describe(entry.getKey(), test));
            }
        }
        if (watchedMs >= confirmAfterMs && queries >= minimumQueries) {
            return new Verdict.Healthy(
                    String.format(Locale.ROOT, "%d scans in %.0f s", queries, watchedSeconds()));
        }
        return new Verdict.Pending();
    }

    /**
     * Counts plausible steps only: a clock that jumps must neither end the watch nor prolong it.
     */
    private void advanceClock(double nowMs) {
        double passedMs = nowMs - latestMs;
        watchedMs += passedMs > 0 && passedMs < MAX_WINDOW_MS ? passedMs : 0;
        latestMs = nowMs;
    }

    private double watchedSeconds() {
        return watchedMs / MS_PER_SECOND;
    }

    private String describe(Segment segment, SegmentTest test) {
        return String.format(
                Locale.ROOT,
                "%s: %.1f%% in target time after %.1f s, %.1f%% before",
                segment,
                100 * test.total().fraction(),
                watchedSeconds(),
                100 * test.baseline().meanLevel());
    }

    /**
     * Whether a segment of several tenants degraded only by tenants that flood: then the other
     * tenants that are tested are served as before.
     */
    private boolean explainedByFloods(Segment segment) {
        if (segment.kind() == Segment.Kind.TENANT) {
            return false;
        }
        boolean anyFlood = false;
        double offered = 0;
        double earned = 0;
        double expected = 0;
        for (var entry : tests.entrySet()) {
            SegmentTest test = entry.getValue();
            if (entry.getKey().kind() != Segment.Kind.TENANT) {
                continue;
            }
            if (test.flooded(watchedSeconds())) {
                anyFlood = true;
            } else {
                offered += test.total().offeredWeight();
                earned += test.total().earnedWeight();
                expected += test.total().offeredWeight() * test.baseline().worstLevel();
            }
        }
        return anyFlood && (offered == 0 || earned >= expected - SegmentTest.TOLERANCE * offered);
    }
}
