package sprucehold.change.watch;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import sprucehold.change.watch.TimeWindow.Segment;
import sprucehold.change.watch.TimeWindow.ServiceLevel;

/**
 * Compares service after a version went live with the baseline, and decides whether it degraded.
 * Each segment with enough queries in the baseline has a test of its own. The bound of the test is
 * the service level in the segment's worst baseline interval, less the sampling error of the
 * baseline and a tolerance. All tests together raise a false alarm with a probability of at most
 * {@link #FALSE_ALARM_RATE} (Bonferroni correction), as long as service is no worse than in the
 * worst interval of the baseline.
 */
public final class HealthWatch {
    /** Greatest probability that a harmless change is rolled back. */
    public static final double FALSE_ALARM_RATE = 0.001;

    /**
     * A segment with fewer queries in the baseline has no test of its own; its queries are tested
     * only as part of all queries.
     */
    private static final long MIN_BASELINE_QUERIES = 60;

    /**
     * Fraction of the false-alarm rate assigned to the test of all queries; the remaining fraction
     * is divided equally among the other tests.
     */
    private static final double ALL_QUERIES_SHARE = 0.5;

    /**
     * A segment is tested only if its bound is above this value. A service level below a smaller
     * bound can't be distinguished from no service at all.
     */
    private static final double MIN_BOUND = 0.05;

    /** A longer time between two windows, in milliseconds, is treated as a jump of the clock. */
    private static final double MAX_WINDOW_MS = 10_000;

    private static final double MS_PER_SECOND = 1000;

    private final Map<Segment, SegmentTest> tests = new HashMap<>();
    private final double confirmAfterMs;
    private final long minimumQueries;
    private double latestMs;
    private double watchedMs;
    private long queries;

    /** Result of the watch so far. */
    public sealed interface Verdict {
        /** The watch has not decided yet. */
        record Pending() implements Verdict {}

        /**
         * Service degraded.
         *
         * @param segment the segment whose service degraded
         * @param evidence by how much service degraded, one sentence
         */
        record Degraded(Segment segment, String evidence) implements Verdict {}

        /**
         * Service did not degrade throughout the watch.
         *
         * @param evidence number of queries and length of the watch
         */
        record Healthy(String evidence) implements Verdict {}
    }

    /**
     * Begins a watch.
     *
     * @param baseline service before the version went live
     * @param nowMs the current time in milliseconds, by the clock of the windows
     * @param confirmAfterMs length of the watch, in milliseconds
     * @param minimumQueries number of queries that have to end during the watch before service
     *     counts as healthy
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

    /** Adds the next time window to the tests and returns the verdict. */
    public Verdict add(TimeWindow window) {
        advanceClock(window.endsMs());
        ServiceLevel all = window.levels().get(Segment.ALL);
        queries += all == null ? 0 : all.queries();
        for (var entry : tests.entrySet()) {
            ServiceLevel level = window.levels().get(entry.getKey());
            // A window without queries has no service level.
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
     * Adds the time since the last window to the length of the watch. Negative and implausibly long
     * times are ignored, so that a jump of the clock neither ends nor prolongs the watch.
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
     * Returns whether a segment of several tenants degraded only because of tenants whose query
     * rate rose far above the baseline. This is the case if the other tested tenants are served as
     * well as before.
     */
    private boolean explainedByFloods(Segment segment) {
        if (segment.kind() == Segment.Kind.TENANT) {
            return false;
        }
        boolean anyFlooded = false;
        double offered = 0;
        double earned = 0;
        double expected = 0;
        for (var entry : tests.entrySet()) {
            SegmentTest test = entry.getValue();
            if (entry.getKey().kind() != Segment.Kind.TENANT) {
                continue;
            }
            if (test.flooded(watchedSeconds())) {
                anyFlooded = true;
            } else {
                offered += test.total().offeredWeight();
                earned += test.total().earnedWeight();
                expected += test.total().offeredWeight() * test.baseline().worstLevel();
            }
        }
        return anyFlooded && (offered == 0 || earned >= expected - SegmentTest.TOLERANCE * offered);
    }
}
