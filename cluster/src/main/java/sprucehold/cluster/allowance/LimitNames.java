package sprucehold.cluster.allowance;

import sprucehold.decision.SharedLimit;

/**
 * Names of shared limits. They are the same at every gatherer and in every build: peer messages
 * contain them, and their hash decides which gatherers get the units that can't be divided evenly.
 */
final class LimitNames {
    private LimitNames() {}

    /** Returns the name of the limit on all gatherers' retries, or of a tenant's quota. */
    static String of(SharedLimit limit) {
        String kind = limit.kind().storedName();
        return limit.subject().isEmpty() ? kind : kind + " " + limit.subject();
    }

    /**
     * Returns the name of the limit of one start of a warming server.
     *
     * @param startedAtMs Unix time in milliseconds at which the server started
     */
    static String slowStart(String server, double startedAtMs) {
        return SharedLimit.Kind.SLOW_START.storedName() + " " + server + "@" + (long) startedAtMs;
    }
}
