package sprucehold.policy;

import java.util.HashMap;
import java.util.Map;
import sprucehold.decision.Tenant;

/**
 * Tenants of whom a query lately had all its connections reset. Their queries begin with one part,
 * which guards the servers against queries that bring them down.
 */
final class ResetGuard {
    /** A gatherer meets few such queries. */
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
