package sprucehold.coordinator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sprucehold.decision.Endpoint;
import sprucehold.decision.Event;

/** Shard servers that discovery lists, by name. */
final class EndpointDirectory {
    private final Map<String, ShardServer> servers = new HashMap<>();

    /** Returns the shard server with this name, or null if it is not listed. */
    ShardServer find(String name) {
        return servers.get(name);
    }

    int size() {
        return servers.size();
    }

    /**
     * Applies an endpoint update and returns the event for the policy. A complete update marks all
     * shard servers that it does not contain as gone and removes them. Shard servers that were
     * already listed keep their objects.
     */
    Event.EndpointsUpdated update(Observation.EndpointsUpdated update) {
        if (update.complete()) {
            servers.values().forEach(ShardServer::markGone);
        }
        var previousServers = new HashMap<>(servers);
        if (update.complete()) {
            servers.clear();
        }
        var endpoints = new ArrayList<Endpoint>();
        for (EndpointUpdate endpoint : update.updates()) {
            apply(endpoint, previousServers.computeIfAbsent(endpoint.name(), ShardServer::new));
            endpoints.add(toEndpoint(endpoint));
        }
        return new Event.EndpointsUpdated(update.complete(), List.copyOf(endpoints));
    }

    /**
     * Applies the update of one shard server. A server that is gone is removed, because a restarted
     * server may get a new name and never use the old one again, so the map would grow without
     * limit otherwise.
     */
    private void apply(EndpointUpdate endpoint, ShardServer server) {
        server.update(endpoint.address(), endpoint.state() == EndpointUpdate.State.RUNNING);
        if (endpoint.state() == EndpointUpdate.State.GONE) {
            servers.remove(endpoint.name());
        } else {
            servers.put(endpoint.name(), server);
        }
    }

    private static Endpoint toEndpoint(EndpointUpdate update) {
        Endpoint.State state =
                switch (update.state()) {
                    case RUNNING -> Endpoint.State.RUNNING;
                    case DRAINING -> Endpoint.State.DRAINING;
                    case GONE -> Endpoint.State.GONE;
                };
        return new Endpoint(
                update.name(), update.replicaGroup(), update.zone(), update.startedAtMs(), state);
    }
}
