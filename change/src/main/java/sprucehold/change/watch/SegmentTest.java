package sprucehold.change.watch;

import sprucehold.change.watch.TimeWindow.ServiceLevel;

/** Test of whether one segment's service level has fallen below its baseline. */
final class SegmentTest {
    /** Fall of the service level that is tolerated as ordinary variation. */
    static final double TOLERANCE = 0.02;

    /** A segment whose query rate exceeds this multiple of the baseline's rate is flooded. */
    private static final double FLOOD_FACTOR = 1.5;

    /**
     * Number of standard errors by which the number of queries has to exceed the multiple of the
     * expected number, so that random variation does not count as a flood.
     */
    private static final double FLOOD_STANDARD_ERRORS = 4;

    /**
     * Number of standard errors by which the bound is lowered, as the baseline is itself an
     * estimate.
     */
    private static final double BASELINE_STANDARD_ERRORS = 2;

    /** Lower limit of the assumed variance of a service level. */
    private static final double MIN_VARIANCE = 0.01;

    /** Length of the interval whose queries the worst level was estimated from, in seconds. */
    private static final double ESTIMATE_SECONDS = 10;

    private final BettingTest test;
    private final double alpha;
    private final Baseline.Statistics baseline;
    private ServiceLevel total = new ServiceLevel(0, 0, 0);

    /**
     * @param bound the service level below which service counts as degraded
     * @param alpha greatest probability of a false alarm
     * @param baseline the segment's statistics before the version went live
     */
    SegmentTest(double bound, double alpha, Baseline.Statistics baseline) {
        this.test = new BettingTest(bound);
        this.alpha = alpha;
        this.baseline = baseline;
    }

    /** Returns the service level below which service counts as degraded; may be negative. */
    static double bound(Baseline.Statistics baseline) {
        double worst = baseline.worstLevel();
        double variance = Math.max(MIN_VARIANCE, worst * (1 - worst));
        double sample =
                Math.max(
                        1,
                        Math.min(
                                (double) baseline.queries(),
                                ESTIMATE_SECONDS * baseline.queriesPerSecond()));
        double error = BASELINE_STANDARD_ERRORS * Math.sqrt(variance / sample);
        return worst - TOLERANCE - error;
    }

    /** Adds the segment's service level in the next window, which has at least one query. */
    void add(ServiceLevel level) {
        total = total.plus(level);
        // Queries of the same window tend to fail together, so that they aren't independent. Each
        // window therefore counts as one value, however many queries it has.
        test.add(level.fraction());
    }

    boolean degraded() {
        return test.meanIsBelowBound(alpha);
    }

    /**
     * Returns whether the segment's queries have become so much more frequent than in the baseline
     * that the overload explains its degradation.
     *
     * @param seconds time that the segment was watched, in seconds
     */
    boolean flooded(double seconds) {
        double expected = baseline.queriesPerSecond() * Math.max(1, seconds);
        return total.queries()
                > FLOOD_FACTOR * expected + FLOOD_STANDARD_ERRORS * Math.sqrt(expected + 1);
    }

    /** Returns the service level since the watch began. */
    ServiceLevel total() {
        return total;
    }

    Baseline.Statistics baseline() {
        return baseline;
    }
}
