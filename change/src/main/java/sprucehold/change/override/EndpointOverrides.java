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
 * Applies operator overrides to endpoint updates from discovery before they reach the decision
 * policy. A server that operators drained is draining, unless discovery reports it as gone. A
 * server that discovery reports as draining or gone keeps that state, whatever override is set. A
 * server that operators return to service counts as freshly started, so that slow start applies to
 * it.
 */
public final class EndpointOverrides {
    private final Map<String, Endpoint> discovered = new HashMap<>();
    private final Map<String, Double> returnedAtMs = new HashMap<>();
    private Set<String> drained = Set.of();

    /** Records an endpoint update from discovery and returns it with the overrides applied. */
    public Event.EndpointsUpdated applyTo(Event.EndpointsUpdated update) {
        if (update.complete()) {
            retainListed(update.endpoints());
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

    private void retainListed(List<Endpoint> endpoints) {
        var listed = new HashSet<String>();
        endpoints.forEach(endpoint -> listed.add(endpoint.server()));
        discovered.keySet().retainAll(listed);
        // A server that is listed again later counts as freshly started by its own start time, so
        // the time of its return is no longer needed.
        returnedAtMs.keySet().retainAll(listed);
    }

    /**
     * Replaces the set of drained servers.
     *
     * @param servers all servers that operators drain from now on
     * @param nowMs Unix time in milliseconds, by the same clock as the servers' start times
     * @return the endpoints whose override changed, to be passed to the decision policy
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

    /**
     * Returns the servers that discovery reports as running, by replica group, without regard to
     * overrides.
     */
    public Map<Integer, Set<String>> runningByReplicaGroup() {
        Map<Integer, Set<String>> servers = new HashMap<>();
        for (Endpoint endpoint : discovered.values()) {
            if (endpoint.state() == Endpoint.State.RUNNING) {
                servers.computeIfAbsent(endpoint.replicaGroup(), group -> new HashSet<>())
                        .add(endpoint.server());
            }
        }
        return servers;
    }

    /** Returns the listed servers to which attempts may be sent, with overrides applied. */
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
