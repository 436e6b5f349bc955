package sprucehold.policy;

import java.util.Map;
import java.util.TreeMap;

/**
 * Detects suspect shard servers. {@link ReplicaSelector} avoids a suspect server if another replica
 * isn't suspect.
 */
final class SuspectDetector {
    /** Weight of the latest attempt in the moving average of its zone. */
    private static final double AVERAGE_WEIGHT = 0.1;

    /**
     * Factor on the averages at each decay. The decay lets a zone that is avoided be used again
     * after some seconds.
     */
    private static final double DECAY_FACTOR = 0.95;

    private static final double IMPAIRED_ABOVE = 0.5;

    private final DecisionContext context;

    /** Share of late attempts among this gatherer's attempts in each zone, as a moving average. */
    private final Map<String, Double> lateShareByZone = new TreeMap<>();

    SuspectDetector(DecisionContext context) {
        this.context = context;
    }

    void onLate(String zone) {
        lateShareByZone.merge(
                zone, AVERAGE_WEIGHT, (share, late) -> (1 - AVERAGE_WEIGHT) * share + late);
    }

    void onInTime(String zone) {
        lateShareByZone.merge(zone, 0.0, (share, none) -> (1 - AVERAGE_WEIGHT) * share);
    }

    void decay() {
        lateShareByZone.replaceAll((zone, share) -> DECAY_FACTOR * share);
    }

    /** Returns whether a server failed recently or is impaired. */
    boolean isSuspect(ShardServerState server) {
        return server.ejection().failedRecently(context.nowMs()) || isImpaired(server);
    }

    /**
     * Returns whether most attempts in the server's zone are late, or other gatherers have observed
     * failures of the server.
     */
    boolean isImpaired(ShardServerState server) {
        double failureScore = context.failureScore(server.id());
        double lateShare = lateShareByZone.getOrDefault(server.zone(), 0.0);
        return Math.max(lateShare, failureScore) > IMPAIRED_ABOVE;
    }
}
