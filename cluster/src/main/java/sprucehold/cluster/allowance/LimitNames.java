package sprucehold.cluster.allowance;

import sprucehold.decision.SharedLimit;

/**
 * Names of shared limits, the same at every gatherer and in every build: peer messages hold them,
 * and their hash decides to whom units go that can't be divided evenly.
 */
final class LimitNames {
    private LimitNames() {}

    /** Of the retries of all gatherers, or of a tenant's quota. */
    static String of(SharedLimit limit) {
        String kind = limit.kind().storedName();
        return limit.subject().isEmpty() ? kind : kind + " " + limit.subject();
    }

    /**
     * Of one start of a warming server.
     *
     * @param startedAtMs Unix time in milliseconds at which it started
     */
    static String slowStart(String server, double startedAtMs) {
        return SharedLimit.Kind.SLOW_START.storedName() + " " + server + "@" + (long) startedAtMs;
    }
}
