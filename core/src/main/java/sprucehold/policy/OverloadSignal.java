package sprucehold.policy;

import java.util.Random;
import sprucehold.decision.QueryClass;

/**
 * Share of queries that are rejected on arrival while the fleet as a whole is slow. The share grows
 * while even the faster parts take long compared with their latency objective, and shrinks
 * otherwise. It isn't affected by individual slow servers.
 */
final class OverloadSignal {
    private static final int CAPACITY = 32;

    /** Latencies are stored in thousandths of the latency objective. */
    private static final double UNITS_PER_OBJECTIVE = 1000;

    /**
     * Minimum latency recorded for a late attempt, as a portion of the latency objective. The
     * attempt will take longer, but its final latency is known too late to be useful.
     */
    private static final double MIN_LATE_PORTION = 0.5;

    private static final double UPDATE_INTERVAL_S = 0.5;
    private static final double MAX_UPDATE_S = 1;
    private static final double QUICK_QUANTILE = 0.4;

    /** Portion of the latency objective that the faster parts may take before the signal grows. */
    private static final double TARGET_PORTION = 0.35;

    /**
     * Growth of the signal per second, for each latency objective by which the faster parts exceed
     * the target.
     */
    private static final double GAIN = 1.5;

    private static final double MAX_SIGNAL = 0.9;

    /** Weight of the latest query in the moving average of the queries' priorities. */
    private static final double PRIORITY_WEIGHT = 0.05;

    /**
     * Minimum and maximum factor by which the priority of a query changes its probability of
     * rejection.
     */
    private static final double MIN_PRIORITY_FACTOR = 0.5;

    private static final double MAX_PRIORITY_FACTOR = 2;

    private final DecisionContext context;
    private final SuspectDetector suspects;
    private final Random random;
    private final LatencyHistogram recentLatencies = new LatencyHistogram(CAPACITY);
    private double signal;
    private double updatedAtMs;

    /** Moving average of the queries' priorities per part; 0 before the first query. */
    private double averagePriority;

    OverloadSignal(DecisionContext context, SuspectDetector suspects, Random random) {
        this.context = context;
        this.suspects = suspects;
        this.random = random;
    }

    /** Returns the share of queries that are rejected, from 0 to 0.9. */
    double value() {
        return signal;
    }

    void recordCompleted(QueryClass queryClass, double latencyMs) {
        recentLatencies.add(UNITS_PER_OBJECTIVE * latencyMs / queryClass.latencyObjectiveMs());
    }

    void recordLate(QueryClass queryClass, double pendingMs) {
        recentLatencies.add(
                UNITS_PER_OBJECTIVE
                        * Math.max(MIN_LATE_PORTION, pendingMs / queryClass.latencyObjectiveMs()));
    }

    /**
     * Decides by a random draw whether an arriving query is rejected. The draw favours queries of
     * higher priority.
     */
    boolean rejects(ScheduledQuery query) {
        update();
        double priority = query.priorityPerPart(context.deployment().overQuotaPriority());
        averagePriority =
                averagePriority == 0
                        ? priority
                        : averagePriority + PRIORITY_WEIGHT * (priority - averagePriority);
        double factor =
                Math.max(
                        MIN_PRIORITY_FACTOR,
                        Math.min(MAX_PRIORITY_FACTOR, averagePriority / priority));
        return random.nextDouble() < signal * factor;
    }

    private void update() {
        double seconds = (context.nowMs() - updatedAtMs) / 1000;
        if (seconds < UPDATE_INTERVAL_S) {
            return;
        }
        double excess =
                recentLatencies.quantile(QUICK_QUANTILE, 0) / UNITS_PER_OBJECTIVE - TARGET_PORTION;
        double change = Math.min(MAX_UPDATE_S, seconds) * GAIN * excess;
        signal = Math.max(0, Math.min(MAX_SIGNAL, signal + change));
        updatedAtMs = context.nowMs();
        recentLatencies.halve();
        suspects.decay();
    }
}
