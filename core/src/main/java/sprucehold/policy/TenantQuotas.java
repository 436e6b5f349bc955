package sprucehold.policy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sprucehold.decision.SharedLimit;
import sprucehold.decision.Tenant;

/**
 * Checks whether queries are within their tenant's quota. If a quota isn't a shared limit, token
 * buckets compare each tenant's share of the queries that this gatherer receives with the tenant's
 * share of the quotas, because the gatherer's share of the whole traffic isn't known.
 */
final class TenantQuotas {
    /**
     * Capacity of a token bucket, which is the number of queries that a tenant can save up for a
     * burst.
     */
    private static final double BURST = 4;

    /**
     * Factor on a tenant's share of the quotas. It allows for hours in which the mix of the tenants
     * differs from their quotas.
     */
    private static final double QUOTA_MARGIN = 1.5;

    private final DecisionContext context;
    private final SharedAllowances allowances;
    private final Map<Tenant, Double> tokensByTenant = new HashMap<>();

    TenantQuotas(DecisionContext context, SharedAllowances allowances) {
        this.context = context;
        this.allowances = allowances;
    }

    void replaceTenants(List<Tenant> tenants) {
        tokensByTenant.keySet().retainAll(tenants);
        tenants.forEach(tenant -> tokensByTenant.putIfAbsent(tenant, BURST));
    }

    /** Charges a query to a tenant's quota. Returns whether the query is within the quota. */
    boolean charge(Tenant tenant) {
        SharedLimit limit = SharedLimit.tenantQuota(tenant.name());
        Integer remaining = allowances.remaining(limit);
        if (remaining != null) {
            allowances.consume(limit, Math.min(1, remaining));
            return remaining > 0;
        }
        double allQuotas =
                context.deployment().tenants().stream().mapToDouble(Tenant::queriesPerSecond).sum();
        tokensByTenant.replaceAll(
                (bucketTenant, tokens) ->
                        Math.min(
                                BURST,
                                tokens
                                        + QUOTA_MARGIN
                                                * bucketTenant.queriesPerSecond()
                                                / allQuotas));
        double tokens = tokensByTenant.get(tenant);
        tokensByTenant.put(tenant, tokens < 1 ? tokens : tokens - 1);
        return tokens >= 1;
    }
}
