package sprucehold.policy;

import java.util.Map;
import java.util.TreeMap;

/** Tells which shard servers are suspect: used only if no other replica is better. */
final class SuspectDetector {
    /** Weight of the latest attempt in the average by zone. */
    private static final double AVERAGE_WEIGHT = 0.1;

    /** At each decay; lets a zone that is avoided be tried again after some seconds. */
    private static final double DECAY_FACTOR = 0.95;

    private static final double IMPAIRED_ABOVE = 0.5;

    private final DecisionContext context;

    /** The share of this gatherer's attempts in each zone that were late, a moving average. */
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

    /** Whether it failed lately or is impaired. */
    boolean isSuspect(ShardServerState server) {
        return server.ejection().failedLately(context.nowMs()) || isImpaired(server);
    }

    /** Whether most attempts in its zone are late, or other gatherers saw it fail. */
    boolean isImpaired(ShardServerState server) {
        double failureScore = context.failureScore(server.id());
        double lateShare = lateShareByZone.getOrDefault(server.zone(), 0.0);
        return Math.max(lateShare, failureScore) > IMPAIRED_ABOVE;
    }
}
