package sprucehold.policy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sprucehold.decision.QueryClass;

/** The latencies of completed attempts by query class, and what is derived from them. */
final class LatencyStatistics {
    /** About ten seconds of a quiet gatherer's parts. */
    private static final int CAPACITY = 200;

    /** An attempt is late after this portion of the latency objective at the latest. */
    private static final double LATE_OBJECTIVE_PORTION = 0.5;

    private static final double LATE_QUANTILE = 0.9;
    private static final double LATE_QUANTILE_FACTOR = 1.5;

    /** The shortest latencies have next to no queueing in them. */
    private static final double WORK_QUANTILE = 0.1;

    /** The work of a part while nothing is known, as a portion of the latency objective. */
    private static final double INITIAL_WORK_PORTION = 0.25;

    private final Map<String, LatencyHistogram> latencies = new HashMap<>();

    /** Starts statistics for query classes that have none yet. */
    void addClasses(List<QueryClass> queryClasses) {
        queryClasses.forEach(
                queryClass ->
                        latencies.putIfAbsent(queryClass.name(), new LatencyHistogram(CAPACITY)));
    }

    void record(QueryClass queryClass, double latencyMs) {
        latencies.get(queryClass.name()).add(latencyMs);
    }

    /** How long an attempt may be pending before it counts as late, in milliseconds. */
    double lateAfterMs(QueryClass queryClass) {
        double latest = queryClass.latencyObjectiveMs() * LATE_OBJECTIVE_PORTION;
        double usual = latencies.get(queryClass.name()).quantile(LATE_QUANTILE, latest);
        return Math.min(latest, LATE_QUANTILE_FACTOR * usual);
    }

    /** The work of a part at its shard server, in milliseconds on one core. */
    double workMs(QueryClass queryClass) {
        return latencies
                .get(queryClass.name())
                .quantile(WORK_QUANTILE, queryClass.latencyObjectiveMs() * INITIAL_WORK_PORTION);
    }

    /**
     * The time within which, as likely as not, this many parts are all completed, in milliseconds;
     * 0 while unknown.
     */
    double medianOfSlowestMs(QueryClass queryClass, int parts) {
        return latencies.get(queryClass.name()).quantile(Math.pow(0.5, 1.0 / parts), 0);
    }
}
