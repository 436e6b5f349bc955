package sprucehold.change.watch;

import sprucehold.change.watch.TimeWindow.ServiceLevel;

/** The test of whether one segment's service lies below its baseline. */
final class SegmentTest {
    /** Fall of the service level that is tolerated: ordinary variation. */
    static final double TOLERANCE = 0.02;

    /** A rate of queries above this multiple of the baseline's is a flood. */
    private static final double FLOOD_FACTOR = 1.5;

    /** Standard errors of the count by which a flood has to exceed chance. */
    private static final double FLOOD_STANDARD_ERRORS = 4;

    /** Standard errors that are allowed for, as the baseline is itself an estimate. */
    private static final double BASELINE_STANDARD_ERRORS = 2;

    /** Smallest variance of a service level that is assumed. */
    private static final double MIN_VARIANCE = 0.01;

    /** Length of the interval whose queries the worst level was estimated from, in seconds. */
    private static final double ESTIMATE_SECONDS = 10;

    private final BettingTest test;
    private final double alpha;
    private final Baseline.Statistics baseline;
    private ServiceLevel total = new ServiceLevel(0, 0, 0);

    /**
     * @param bound the service level below which service is degraded
     * @param alpha the probability of a false alarm
     * @param baseline the segment's statistics before
     */
    SegmentTest(double bound, double alpha, Baseline.Statistics baseline) {
        this.test = new BettingTest(bound);
        this.alpha = alpha;
        this.baseline = baseline;
    }

    /** The service level below which service counts as degraded; may be negative. */
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

    /** Takes the segment's service in the next window, of at least one query. */
    void add(ServiceLevel level) {
        total = total.plus(level);
        // One value a window, however many queries: those of one moment fail together, so they are
        // one observation.
        test.add(level.fraction());
    }

    boolean degraded() {
        return test.meanIsBelowBound(alpha);
    }

    /**
     * Whether the segment has asked so much more than before that it fails by its own flood.
     *
     * @param seconds how long it was watched
     */
    boolean flooded(double seconds) {
        double expected = baseline.queriesPerSecond() * Math.max(1, seconds);
        return total.queries()
                > FLOOD_FACTOR * expected + FLOOD_STANDARD_ERRORS * Math.sqrt(expected + 1);
    }

    /** All service since the watch began. */
    ServiceLevel total() {
        return total;
    }

    Baseline.Statistics baseline() {
        return baseline;
    }
}
