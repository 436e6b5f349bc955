package sprucehold.policy;

import java.util.HashMap;
import java.util.Map;
import sprucehold.decision.Tenant;

/**
 * Tenants for which all connections of a query were recently reset. Their queries start with one
 * part, which protects the servers from queries that crash them.
 */
final class ResetGuard {
    /**
     * Duration of the guard, in milliseconds. The guard is long because queries that crash servers
     * are rare at a single gatherer: a short guard would end before the next such query arrives.
     */
    private static final double GUARD_MS = 20_000;

    private final DecisionContext context;
    private final Map<Tenant, Double> guardedUntilMs = new HashMap<>();

    ResetGuard(DecisionContext context) {
        this.context = context;
    }

    void onAllConnectionsReset(Tenant tenant) {
        guardedUntilMs.put(tenant, context.nowMs() + GUARD_MS);
    }

    boolean guards(Tenant tenant) {
        return context.nowMs() < guardedUntilMs.getOrDefault(tenant, 0.0);
    }
}
