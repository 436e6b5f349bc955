package sprucehold.cluster.allowance;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import sprucehold.cluster.quota.Permit;
import sprucehold.cluster.session.CoordinationSession;
import sprucehold.decision.ClusterView;
import sprucehold.decision.Deployment;
import sprucehold.decision.Endpoint;
import sprucehold.decision.SharedLimit;
import sprucehold.decision.Tenant;

/**
 * The shared limits of one gatherer as its decisions see them: the units of each that may be
 * consumed now, and the failure scores of shard servers. All times are passed as a reading of the
 * monotonic clock and one of the wall clock, in milliseconds.
 */
public final class AllowanceTable {
    /** Window of a tenant's quota, in milliseconds: quotas are configured per second. */
    private static final double QUOTA_WINDOW_MS = 1000;

    /**
     * Demand set on a limit, as a multiple of the observed demand. Demand fluctuates from window to
     * window; the margin covers a rise by a quarter.
     */
    private static final double DEMAND_MARGIN = 1.25;

    /**
     * Minimum failure score that is reported to the decisions; a lower score has too little
     * evidence from other gatherers.
     */
    private static final double MIN_FAILURE_SCORE = 0.25;

    private final Deployment deployment;
    private final AllowanceSettings settings;
    private final CoordinationSession session;
    private final SlowStartLimits slowStart;
    private final Map<String, DemandRate> queriesByTenant = new TreeMap<>();
    private Map<String, Double> failureScores = Map.of();

    /** Opens the limits that don't depend on servers. */
    public AllowanceTable(
            Deployment deployment,
            AllowanceSettings settings,
            CoordinationSession session,
            double countedMs,
            double wallMs) {
        this.deployment = deployment;
        this.settings = settings;
        this.session = session;
        this.slowStart = new SlowStartLimits(deployment, settings, session);
        if (isShared(SharedLimit.Kind.RETRIES)) {
            open(
                    countedMs,
                    wallMs,
                    SharedLimit.RETRIES,
                    settings.retriesPerWindow(),
                    settings.retryWindowMs());
        }
        if (isShared(SharedLimit.Kind.TENANT_QUOTA)) {
            for (Tenant tenant : deployment.tenants()) {
                open(
                        countedMs,
                        wallMs,
                        SharedLimit.tenantQuota(tenant.name()),
                        (int) tenant.queriesPerSecond(),
                        QUOTA_WINDOW_MS);
            }
        }
    }

    private boolean isShared(SharedLimit.Kind kind) {
        return settings.shared().contains(kind);
    }

    private void open(
            double countedMs, double wallMs, SharedLimit limit, int units, double windowMs) {
        String name = LimitNames.of(limit);
        session.openLimit(
                countedMs, wallMs, name, settings.quotaTerms(name, units, windowMs, true));
    }

    /**
     * Handles an endpoint update; must be called before the update is passed to the decisions.
     *
     * @param complete whether servers that the update doesn't contain are gone
     */
    public void endpointsUpdated(
            double countedMs, double wallMs, boolean complete, List<Endpoint> endpoints) {
        slowStart.endpointsUpdated(countedMs, wallMs, complete, endpoints);
    }

    /**
     * Records a received query.
     *
     * @param tenant the query's tenant, which is ignored unless the deployment knows it; null if
     *     the query has none
     * @param shards shards of the query's parts
     */
    public void queryReceived(double countedMs, String tenant, List<Integer> shards) {
        if (tenant != null && isTenant(tenant)) {
            queriesByTenant.computeIfAbsent(tenant, none -> new DemandRate()).add(countedMs, 1);
        }
        slowStart.partsReceived(countedMs, shards);
    }

    /** Records an attempt that was written to a server. */
    public void attemptSent(double countedMs, double wallMs, String server) {
        session.recordSent(countedMs, wallMs, server, 1);
    }

    /**
     * Records the end of an attempt.
     *
     * @param completed false if it ended with a failure that may be the server's fault
     */
    public void attemptEnded(double countedMs, double wallMs, String server, boolean completed) {
        Endpoint endpoint = slowStart.endpoint(server);
        if (endpoint != null) {
            session.recordAttempt(
                    countedMs, wallMs, server, endpoint.zone(), endpoint.startedAtMs(), completed);
        }
    }

    /**
     * Consumes units of a limit.
     *
     * @return null, with no unit consumed, if the units aren't free; an empty grant if the limit
     *     isn't shared
     */
    public Grant consume(double countedMs, double wallMs, SharedLimit limit, int units) {
        if (limit.kind() == SharedLimit.Kind.SLOW_START) {
            return slowStart.consume(countedMs, wallMs, limit.subject(), units);
        }
        if (!isShared(limit.kind()) || isUnknownTenant(limit) || units <= 0) {
            return new Grant(List.of());
        }
        Permit permit = session.consume(countedMs, wallMs, LimitNames.of(limit), units);
        return permit == null ? null : new Grant(List.of(permit));
    }

    private boolean isUnknownTenant(SharedLimit limit) {
        return limit.kind() == SharedLimit.Kind.TENANT_QUOTA && !isTenant(limit.subject());
    }

    private boolean isTenant(String name) {
        return deployment.tenants().stream().anyMatch(tenant -> tenant.name().equals(name));
    }

    /** Returns the number of tenants whose demand is known, for tests that look for leaks. */
    int trackedTenants() {
        return queriesByTenant.size();
    }

    /**
     * Whether the attempt or query of a grant may be written now; must be checked immediately
     * before writing.
     */
    public boolean isValid(double countedMs, double wallMs, Grant grant) {
        return grant.permits().stream()
                .allMatch(permit -> session.isValid(countedMs, wallMs, permit));
    }

    /**
     * Sets the demand on each limit and updates the failure scores from the observations of other
     * gatherers; must be called a few times per second.
     */
    public void tick(double countedMs, double wallMs) {
        slowStart.tick(countedMs, wallMs);
        failureScores = failureScores(countedMs, wallMs);
        queriesByTenant.forEach(
                (tenant, rate) -> {
                    double queries =
                            DEMAND_MARGIN * rate.perSecond(countedMs) * QUOTA_WINDOW_MS / 1000;
                    session.setDemand(
                            LimitNames.of(SharedLimit.tenantQuota(tenant)),
                            (int) Math.ceil(queries),
                            1);
                });
        if (isShared(SharedLimit.Kind.RETRIES)) {
            setDemandOfRetries(countedMs, wallMs);
        }
    }

    /**
     * Sets the demand for retries. Refused retries aren't visible to this class, so a gatherer that
     * has used up all its units is assumed to need as many again.
     */
    private void setDemandOfRetries(double countedMs, double wallMs) {
        String name = LimitNames.of(SharedLimit.RETRIES);
        CoordinationSession.LimitStatus status = session.limitStatus(countedMs, wallMs, name);
        int demand =
                status.free() == 0
                        ? 2 * status.used() + 1
                        : (int) Math.ceil(DEMAND_MARGIN * status.used());
        session.setDemand(name, demand, 1);
    }

    private Map<String, Double> failureScores(double countedMs, double wallMs) {
        var scores = new HashMap<String, Double>();
        for (Endpoint endpoint : slowStart.endpoints()) {
            double score =
                    session.assess(countedMs, wallMs, endpoint.server(), endpoint.startedAtMs())
                            .failureScore();
            if (score >= MIN_FAILURE_SCORE) {
                // Rounds to tenths: a new view for each change of a thousandth would not improve
                // any decision.
                scores.put(endpoint.server(), Math.round(10 * score) / 10.0);
            }
        }
        return Map.copyOf(scores);
    }

    /** Returns the current cluster view for the decisions. */
    public ClusterView clusterView(double countedMs, double wallMs) {
        var allowances = new HashMap<SharedLimit, Integer>();
        slowStart
                .freeUnits(countedMs, wallMs)
                .forEach((server, units) -> allowances.put(SharedLimit.slowStart(server), units));
        if (isShared(SharedLimit.Kind.TENANT_QUOTA)) {
            for (Tenant tenant : deployment.tenants()) {
                putFreeUnits(allowances, countedMs, wallMs, SharedLimit.tenantQuota(tenant.name()));
            }
        }
        if (isShared(SharedLimit.Kind.RETRIES)) {
            putFreeUnits(allowances, countedMs, wallMs, SharedLimit.RETRIES);
        }
        return new ClusterView(session.aliveCount() + 1, allowances, failureScores);
    }

    private void putFreeUnits(
            Map<SharedLimit, Integer> allowances,
            double countedMs,
            double wallMs,
            SharedLimit limit) {
        allowances.put(limit, session.freeUnits(countedMs, wallMs, LimitNames.of(limit)));
    }
}
