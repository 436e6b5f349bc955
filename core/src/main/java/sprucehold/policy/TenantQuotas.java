package sprucehold.policy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sprucehold.decision.SharedLimit;
import sprucehold.decision.Tenant;

/**
 * Whether queries lie within their tenant's quota. Where the quota isn't a shared limit, token
 * buckets compare the tenants' shares of what this gatherer receives: how much of all traffic that
 * is isn't known.
 */
final class TenantQuotas {
    /** Queries that may be saved up for a burst. */
    private static final double BURST = 4;

    /** Allows for hours in which the tenants' mix differs from their quotas. */
    private static final double MARGIN = 1.5;

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

    /** Charges a tenant with a query; whether it lies within the quota. */
    boolean charge(Tenant tenant) {
        SharedLimit limit = SharedLimit.tenantQuota(tenant.name());
        Integer left = allowances.remaining(limit);
        if (left != null) {
            allowances.consume(limit, Math.min(1, left));
            return left > 0;
        }
        double allQuotas =
                context.deployment().tenants().stream().mapToDouble(Tenant::queriesPerSecond).sum();
        tokensByTenant.replaceAll(
                (one, tokens) ->
                        Math.min(BURST, tokens + MARGIN * one.queriesPerSecond() / allQuotas));
        double tokens = tokensByTenant.get(tenant);
        tokensByTenant.put(tenant, tokens < 1 ? tokens : tokens - 1);
        return tokens >= 1;
    }
}
