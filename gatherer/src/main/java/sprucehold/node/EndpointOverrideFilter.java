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
 * Stands before the policy and applies operators' overrides to the endpoint updates it is given.
 */
final class EndpointOverrideFilter {
    private final EndpointOverrides overrides = new EndpointOverrides();

    /** Endpoints whose override changed; the policy is told with the next deployment. */
    private List<Endpoint> pending = List.of();

    /** A factory of policies that see overridden endpoints only. */
    DecisionPolicy.Factory wrap(DecisionPolicy.Factory factory) {
        return (seed, deployment) -> {
            DecisionPolicy policy = factory.start(seed, deployment);
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

    /** Replaces the drained servers; the policy is told with the next deployment. */
    void setDrained(SortedSet<String> servers, double nowMs) {
        pending = overrides.setDrained(servers, nowMs);
    }

    /**
     * Names of the running servers of each shard, overrides left out. The replicas of a shard are
     * the servers of consecutive replica groups, so one shard that begins at each group stands for
     * all.
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
