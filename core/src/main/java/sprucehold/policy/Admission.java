package sprucehold.policy;

import java.util.LinkedHashMap;
import java.util.Map;
import sprucehold.decision.Tenant;

/**
 * Admits a query when enough of its parts have a server with capacity; until then it waits, at no
 * cost to the servers.
 */
final class Admission {
    /** What becomes of a query for now. */
    enum Decision {
        /** It begins. */
        ADMIT,
        /** It waits. */
        WAIT,
        /** It is rejected: the fleet as a whole is slow. */
        REJECT_OVERLOAD,
        /** It is rejected: its client most likely leaves before the needed parts are completed. */
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

    /** Decides on a query and selects its position. */
    Decision decide(ScheduledQuery query) {
        if (!query.isAdmissionTried()) {
            Tenant tenant = query.tenant();
            query.markAdmissionTried(tenant != null && !quotas.charge(tenant));
            if (context.manyGatherers() && overloadSignal.rejects(query)) {
                return Decision.REJECT_OVERLOAD;
            }
        }
        double usualMs = latencies.medianOfSlowestMs(query.queryClass(), query.neededParts());
        if (query.endsAtMs() < query.objectiveAtMs()
                && query.endsAtMs() - context.nowMs() < usualMs) {
            return Decision.REJECT_DEADLINE_TOO_SHORT;
        }
        query.setPosition(replicas.selectPosition(query));
        return hasCapacity(query) ? Decision.ADMIT : Decision.WAIT;
    }

    private boolean hasCapacity(ScheduledQuery query) {
        Map<ShardServerState, Integer> wanted = new LinkedHashMap<>();
        int placeable = 0;
        for (ScheduledPart part : query.parts()) {
            ShardServerState server = replicas.select(part);
            if (context.manyGatherers() && server != null && failedRepeatedly(server, query)) {
                return false;
            }
            if (server != null) {
                wanted.merge(server, 1, Integer::sum);
            } else if (!endpoints.hasRunningReplica(part.shard())) {
                // A shard that has no server doesn't hold up the other parts.
                placeable++;
            }
        }
        for (Map.Entry<ShardServerState, Integer> entry : wanted.entrySet()) {
            placeable += capacity(entry.getKey(), entry.getValue());
        }
        return placeable >= query.neededParts();
    }

    /** Whether all replicas failed more than once lately: a part there would come late. */
    private boolean failedRepeatedly(ShardServerState server, ScheduledQuery query) {
        double latelyMs = context.nowMs() - query.queryClass().latencyObjectiveMs();
        return server.ejection().consecutiveFailures() > 1
                && server.ejection().lastFailureAtMs() > latelyMs;
    }

    /** How many of the parts wanted a server takes; an idle one takes all that a query brings. */
    private static int capacity(ShardServerState server, int wanted) {
        int pending = server.pendingAttempts().size();
        int free = (int) server.concurrencyLimit().value() - pending;
        return pending == 0 ? wanted : Math.min(wanted, free);
    }
}
