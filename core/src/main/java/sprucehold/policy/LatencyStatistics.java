package sprucehold.policy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sprucehold.decision.QueryClass;

/** Latencies of completed attempts by query class, and estimates derived from them. */
final class LatencyStatistics {
    /**
     * Capacity of a histogram: about the number of parts that a gatherer with little traffic
     * handles in ten seconds.
     */
    private static final int CAPACITY = 200;

    /**
     * Maximum time after which a pending attempt counts as late, as a portion of the latency
     * objective.
     */
    private static final double LATE_OBJECTIVE_PORTION = 0.5;

    private static final double LATE_QUANTILE = 0.9;
    private static final double LATE_QUANTILE_FACTOR = 1.5;

    /**
     * Quantile that estimates the work of a part. The shortest latencies contain almost no
     * queueing.
     */
    private static final double WORK_QUANTILE = 0.1;

    /**
     * Assumed work of a part while there are too few latencies, as a portion of the latency
     * objective.
     */
    private static final double INITIAL_WORK_PORTION = 0.25;

    private final Map<String, LatencyHistogram> latencies = new HashMap<>();

    /** Creates histograms for query classes that have none yet. */
    void addClasses(List<QueryClass> queryClasses) {
        queryClasses.forEach(
                queryClass ->
                        latencies.putIfAbsent(queryClass.name(), new LatencyHistogram(CAPACITY)));
    }

    void record(QueryClass queryClass, double latencyMs) {
        latencies.get(queryClass.name()).add(latencyMs);
    }

    /** Returns how long an attempt may be pending before it counts as late, in milliseconds. */
    double lateAfterMs(QueryClass queryClass) {
        double maxMs = queryClass.latencyObjectiveMs() * LATE_OBJECTIVE_PORTION;
        double quantileMs = latencies.get(queryClass.name()).quantile(LATE_QUANTILE, maxMs);
        return Math.min(maxMs, LATE_QUANTILE_FACTOR * quantileMs);
    }

    /** Returns the estimated work of a part at its shard server, in milliseconds on one core. */
    double workMs(QueryClass queryClass) {
        return latencies
                .get(queryClass.name())
                .quantile(WORK_QUANTILE, queryClass.latencyObjectiveMs() * INITIAL_WORK_PORTION);
    }

    /**
     * Returns the estimated median of the time in which a number of parts are all completed, in
     * milliseconds; 0 while there are too few latencies.
     */
    double medianOfSlowestMs(QueryClass queryClass, int parts) {
        return latencies.get(queryClass.name()).quantile(Math.pow(0.5, 1.0 / parts), 0);
    }
}
