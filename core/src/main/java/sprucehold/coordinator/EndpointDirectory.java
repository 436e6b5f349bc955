package sprucehold.coordinator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sprucehold.decision.Endpoint;
import sprucehold.decision.Event;

/** The shard servers that discovery lists, by name. */
final class EndpointDirectory {
    private final Map<String, ShardServer> servers = new HashMap<>();

    /** The server of a name, or null if it isn't listed. */
    ShardServer find(String name) {
        return servers.get(name);
    }

    int size() {
        return servers.size();
    }

    /** Takes an update over; returns what the policy has to know of it. */
    Event.EndpointsUpdated update(Observation.EndpointsUpdated update) {
        if (update.complete()) {
            servers.values().forEach(ShardServer::markGone);
        }
        var known = new HashMap<>(servers);
        if (update.complete()) {
            servers.clear();
        }
        var endpoints = new ArrayList<Endpoint>();
        for (EndpointUpdate endpoint : update.updates()) {
            update(endpoint, known.computeIfAbsent(endpoint.name(), ShardServer::new));
            endpoints.add(endpoint(endpoint));
        }
        return new Event.EndpointsUpdated(update.complete(), List.copyOf(endpoints));
    }

    /** Restarted servers may bear new names for good, so names that are gone aren't kept. */
    private void update(EndpointUpdate endpoint, ShardServer server) {
        server.update(endpoint.address(), endpoint.state() == EndpointUpdate.State.RUNNING);
        if (endpoint.state() == EndpointUpdate.State.GONE) {
            servers.remove(endpoint.name());
        } else {
            servers.put(endpoint.name(), server);
        }
    }

    private static Endpoint endpoint(EndpointUpdate update) {
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
