package sprucehold.policy;

import java.util.LinkedHashMap;
import java.util.Map;
import sprucehold.decision.Tenant;

/**
 * Decides when a query may start. A query is admitted once enough of its parts have a server with
 * capacity. A waiting query puts no load on the servers.
 */
final class Admission {
    /** Result of an admission check. */
    enum Decision {
        /** The query starts now. */
        ADMIT,
        /** The query stays in the admission queue. */
        WAIT,
        /** The query is rejected because the fleet as a whole is slow. */
        REJECT_OVERLOAD,
        /**
         * The query is rejected because its deadline most likely passes before the needed parts are
         * completed. Its attempts would only use server capacity that other queries need.
         */
        REJECT_DEADLINE_TOO_SHORT
    }

    private final DecisionContext context;
    private final LatencyStatistics latencies;
    private final OverloadSignal overloadSignal;
    private final TenantQuotas quotas;
    private final EndpointList endpoints;
    private final ReplicaSelector replicas;

    Admission(
            DecisionContext context,
            LatencyStatistics latencies,
            OverloadSignal overloadSignal,
            TenantQuotas quotas,
            EndpointList endpoints,
            ReplicaSelector replicas) {
        this.context = context;
        this.latencies = latencies;
        this.overloadSignal = overloadSignal;
        this.quotas = quotas;
        this.endpoints = endpoints;
        this.replicas = replicas;
    }

    /**
     * Decides whether a query may start now. Selects the position of the query unless the query is
     * rejected.
     */
    Decision decide(ScheduledQuery query) {
        if (!query.isAdmissionTried()) {
            Tenant tenant = query.tenant();
            query.markAdmissionTried(tenant != null && !quotas.charge(tenant));
            if (context.manyGatherers() && overloadSignal.rejects(query)) {
                return Decision.REJECT_OVERLOAD;
            }
        }
        double medianMs = latencies.medianOfSlowestMs(query.queryClass(), query.neededParts());
        if (query.endsAtMs() < query.objectiveAtMs()
                && query.endsAtMs() - context.nowMs() < medianMs) {
            return Decision.REJECT_DEADLINE_TOO_SHORT;
        }
        query.setPosition(replicas.selectPosition(query));
        return hasCapacity(query) ? Decision.ADMIT : Decision.WAIT;
    }

    private boolean hasCapacity(ScheduledQuery query) {
        Map<ShardServerState, Integer> wanted = new LinkedHashMap<>();
        int partsWithCapacity = 0;
        for (ScheduledPart part : query.parts()) {
            ShardServerState server = replicas.select(part);
            if (context.manyGatherers() && server != null && failedRepeatedly(server, query)) {
                return false;
            }
            if (server != null) {
                wanted.merge(server, 1, Integer::sum);
            } else if (!endpoints.hasRunningReplica(part.shard())) {
                // A shard without a running replica must not keep the other parts waiting.
                partsWithCapacity++;
            }
        }
        for (Map.Entry<ShardServerState, Integer> entry : wanted.entrySet()) {
            partsWithCapacity += capacity(entry.getKey(), entry.getValue());
        }
        return partsWithCapacity >= query.neededParts();
    }

    /**
     * Returns whether the selected server has failed more than once in a row, the last time within
     * one latency objective. {@link ReplicaSelector} avoids such a server, so its selection
     * indicates that the other replicas of the shard have failed as well. A part sent now would be
     * late.
     */
    private boolean failedRepeatedly(ShardServerState server, ScheduledQuery query) {
        double recentSinceMs = context.nowMs() - query.queryClass().latencyObjectiveMs();
        return server.ejection().consecutiveFailures() > 1
                && server.ejection().lastFailureAtMs() > recentSinceMs;
    }

    /**
     * Returns for how many of the wanted parts a server has capacity. An idle server has capacity
     * for all parts of a query.
     */
    private static int capacity(ShardServerState server, int wanted) {
        int pending = server.pendingAttempts().size();
        int free = (int) server.concurrencyLimit().value() - pending;
        return pending == 0 ? wanted : Math.min(wanted, free);
    }
}
