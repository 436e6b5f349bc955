package sprucehold.policy;

import java.util.Random;
import sprucehold.decision.QueryClass;

/**
 * The share of queries that are rejected on arrival while the fleet as a whole is slow. It grows
 * while even the quicker parts take long beside their latency objective, and shrinks again when
 * they don't. Servers that are slow by themselves don't change it.
 */
final class OverloadSignal {
    private static final int CAPACITY = 32;

    /** Latencies are kept as thousandths of the latency objective. */
    private static final double PER_OBJECTIVE = 1000;

    /** A late attempt takes longer still, but by then it is too late to know. */
    private static final double MIN_LATE_PORTION = 0.5;

    private static final double UPDATE_INTERVAL_S = 0.5;
    private static final double MAX_UPDATE_S = 1;
    private static final double QUICK_QUANTILE = 0.4;

    /** The portion of the latency objective that the quicker parts may take. */
    private static final double TARGET_PORTION = 0.35;

    /** Growth a second for each latency objective over the target. */
    private static final double GAIN = 1.5;

    private static final double MAX_SIGNAL = 0.9;

    /** Weight of the latest query in the usual priority. */
    private static final double PRIORITY_WEIGHT = 0.05;

    /** A query's priority changes its probability by these factors at most. */
    private static final double MIN_PRIORITY_FACTOR = 0.5;

    private static final double MAX_PRIORITY_FACTOR = 2;

    private final DecisionContext context;
    private final SuspectDetector suspects;
    private final Random random;
    private final LatencyHistogram recentLatencies = new LatencyHistogram(CAPACITY);
    private double signal;
    private double updatedAtMs;

    /** Moving average of the queries' priorities per part; 0 before the first. */
    private double usualPriority;

    OverloadSignal(DecisionContext context, SuspectDetector suspects, Random random) {
        this.context = context;
        this.suspects = suspects;
        this.random = random;
    }

    /** The share of queries that are rejected, from 0 to 0.9. */
    double value() {
        return signal;
    }

    void recordCompleted(QueryClass queryClass, double latencyMs) {
        recentLatencies.add(PER_OBJECTIVE * latencyMs / queryClass.latencyObjectiveMs());
    }

    void recordLate(QueryClass queryClass, double pendingMs) {
        recentLatencies.add(
                PER_OBJECTIVE
                        * Math.max(MIN_LATE_PORTION, pendingMs / queryClass.latencyObjectiveMs()));
    }

    /** Whether a query that arrives is rejected; a random draw that favours higher priorities. */
    boolean rejects(ScheduledQuery query) {
        update();
        double priority = query.priorityPerPart(context.deployment().overQuotaPriority());
        usualPriority =
                usualPriority == 0
                        ? priority
                        : usualPriority + PRIORITY_WEIGHT * (priority - usualPriority);
        double factor =
                Math.max(
                        MIN_PRIORITY_FACTOR,
                        Math.min(MAX_PRIORITY_FACTOR, usualPriority / priority));
        return random.nextDouble() < signal * factor;
    }

    private void update() {
        double seconds = (context.nowMs() - updatedAtMs) / 1000;
        if (seconds < UPDATE_INTERVAL_S) {
            return;
        }
        double excess =
                recentLatencies.quantile(QUICK_QUANTILE, 0) / PER_OBJECTIVE - TARGET_PORTION;
        double change = Math.min(MAX_UPDATE_S, seconds) * GAIN * excess;
        signal = Math.max(0, Math.min(MAX_SIGNAL, signal + change));
        updatedAtMs = context.nowMs();
        recentLatencies.halve();
        suspects.decay();
    }
}
