package sprucehold.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedSet;
import sprucehold.change.override.EndpointOverrides;
import sprucehold.decision.DecisionPolicy;
import sprucehold.decision.Deployment;
import sprucehold.decision.Endpoint;
import sprucehold.decision.Event;

/**
 * Wraps the decision policy and applies operators' overrides to the endpoint updates that the
 * policy receives.
 */
final class EndpointOverrideFilter {
    private final EndpointOverrides overrides = new EndpointOverrides();

    /** Endpoints whose override changed; the policy receives them with the next deployment. */
    private List<Endpoint> pending = List.of();

    /** Returns a factory of policies that receive endpoint updates with the overrides applied. */
    DecisionPolicy.Factory wrap(DecisionPolicy.Factory factory) {
        return (seed, deployment) -> {
            DecisionPolicy policy = factory.create(seed, deployment);
            return (nowMs, events) -> policy.decide(nowMs, filter(events));
        };
    }

    private List<Event> filter(List<Event> events) {
        if (events.stream().noneMatch(EndpointOverrideFilter::concernsEndpoints)) {
            return events;
        }
        var filtered = new ArrayList<Event>(events.size() + 1);
        for (Event event : events) {
            filtered.add(
                    event instanceof Event.EndpointsUpdated update
                            ? overrides.applyTo(update)
                            : event);
            if (event instanceof Event.DeploymentChanged && !pending.isEmpty()) {
                filtered.add(new Event.EndpointsUpdated(false, pending));
                pending = List.of();
            }
        }
        return filtered;
    }

    private static boolean concernsEndpoints(Event event) {
        return event instanceof Event.EndpointsUpdated || event instanceof Event.DeploymentChanged;
    }

    /**
     * Replaces the set of drained servers; the policy receives the change with the next deployment.
     */
    void setDrained(SortedSet<String> servers, double nowMs) {
        pending = overrides.setDrained(servers, nowMs);
    }

    /**
     * Returns the names of the running servers of each shard, without the servers that operators
     * have drained. The replicas of a shard are the servers of consecutive replica groups. So all
     * shards that begin at the same group have the same replicas, and the result contains one shard
     * for each group.
     */
    Map<Integer, Set<String>> replicasByShard(Deployment deployment) {
        int groups = deployment.layout().replicaGroups();
        Map<Integer, Set<String>> byGroup = overrides.runningByReplicaGroup();
        Map<Integer, Set<String>> byShard = new HashMap<>();
        for (int first = 0; first < groups; first++) {
            Set<String> replicas = new HashSet<>();
            for (int offset = 0; offset < deployment.layout().groupsPerShard(); offset++) {
                replicas.addAll(byGroup.getOrDefault((first + offset) % groups, Set.of()));
            }
            byShard.put(first, replicas);
        }
        return byShard;
    }
}
