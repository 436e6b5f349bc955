package sprucehold.change.override;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import sprucehold.decision.Endpoint;
import sprucehold.decision.Event;

/**
 * Applies operators' overrides to the endpoint list on its way from discovery to the policy. A
 * server that operators drained is draining, whatever discovery says; one that is draining or gone
 * by discovery stays so, whatever operators say. A server that operators return counts as freshly
 * started, so that slow start applies to it.
 */
public final class EndpointOverrides {
    private final Map<String, Endpoint> discovered = new HashMap<>();
    private final Map<String, Double> returnedAtMs = new HashMap<>();
    private Set<String> drained = Set.of();

    /** Takes an endpoint update of discovery and returns it with the overrides applied. */
    public Event.EndpointsUpdated applyTo(Event.EndpointsUpdated update) {
        if (update.complete()) {
            forgetAllBut(update.endpoints());
        }
        var overridden = new ArrayList<Endpoint>(update.endpoints().size());
        for (Endpoint endpoint : update.endpoints()) {
            if (endpoint.state() == Endpoint.State.GONE) {
                discovered.remove(endpoint.server());
                returnedAtMs.remove(endpoint.server());
            } else {
                discovered.put(endpoint.server(), endpoint);
            }
            overridden.add(override(endpoint));
        }
        return new Event.EndpointsUpdated(update.complete(), List.copyOf(overridden));
    }

    private void forgetAllBut(List<Endpoint> endpoints) {
        var listed = new HashSet<String>();
        endpoints.forEach(endpoint -> listed.add(endpoint.server()));
        discovered.keySet().retainAll(listed);
        // A server that comes back to the list later is fresh by its own start time.
        returnedAtMs.keySet().retainAll(listed);
    }

    /**
     * Replaces the set of drained servers.
     *
     * @param servers all servers that operators drain from now on
     * @param nowMs Unix time in milliseconds, by the clock of the servers' start times
     * @return the endpoints whose override changed, for the policy; empty if none did
     */
    public List<Endpoint> setDrained(SortedSet<String> servers, double nowMs) {
        var changed = new TreeSet<String>(servers);
        changed.addAll(drained);
        changed.removeIf(server -> servers.contains(server) == drained.contains(server));
        for (String server : changed) {
            if (!servers.contains(server) && discovered.containsKey(server)) {
                returnedAtMs.put(server, nowMs);
            }
        }
        drained = Set.copyOf(servers);
        return changed.stream()
                .filter(discovered::containsKey)
                .map(server -> override(discovered.get(server)))
                .toList();
    }

    private Endpoint override(Endpoint endpoint) {
        boolean drainedByOperators =
                endpoint.state() == Endpoint.State.RUNNING && drained.contains(endpoint.server());
        double startedAtMs =
                Math.max(endpoint.startedAtMs(), returnedAtMs.getOrDefault(endpoint.server(), 0.0));
        return new Endpoint(
                endpoint.server(),
                endpoint.replicaGroup(),
                endpoint.zone(),
                startedAtMs,
                drainedByOperators ? Endpoint.State.DRAINING : endpoint.state());
    }

    /** Servers that discovery reports as running, by replica group, overrides left out. */
    public Map<Integer, Set<String>> runningByReplicaGroup() {
        Map<Integer, Set<String>> servers = new HashMap<>();
        for (Endpoint endpoint : discovered.values()) {
            if (endpoint.state() == Endpoint.State.RUNNING) {
                servers.computeIfAbsent(endpoint.replicaGroup(), none -> new HashSet<>())
                        .add(endpoint.server());
            }
        }
        return servers;
    }

    /** Listed servers that may be sent attempts, overrides applied. */
    public SortedSet<String> routableServers() {
        var servers = new TreeSet<String>();
        for (Endpoint endpoint : discovered.values()) {
            if (override(endpoint).state() == Endpoint.State.RUNNING) {
                servers.add(endpoint.server());
            }
        }
        return servers;
    }
}
