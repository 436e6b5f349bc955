package sprucehold.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import sprucehold.decision.Deployment;
import sprucehold.decision.Endpoint;
import sprucehold.decision.Event;

/** All shard servers from the endpoint updates, and the replicas of each shard. */
final class EndpointList {
    /**
     * Time since the last contact, in milliseconds, after which the state of a server that is gone
     * is removed. It is long enough for a server that is gone for a moment and returns under the
     * same name to keep its state.
     */
    private static final double REMOVE_AFTER_MS = 30_000;

    private final DecisionContext context;
    private final Map<String, ShardServerState> serversById = new TreeMap<>();

    /**
     * Servers of each replica group that aren't gone. Sorting by id gives the same order at every
     * gatherer.
     */
    private final List<List<ShardServerState>> replicaGroups = new ArrayList<>();

    EndpointList(DecisionContext context) {
        this.context = context;
        for (int i = 0; i < context.deployment().layout().replicaGroups(); i++) {
            replicaGroups.add(new ArrayList<>());
        }
    }

    boolean isEmpty() {
        return serversById.isEmpty();
    }

    void update(Event.EndpointsUpdated update) {
        if (update.complete()) {
            serversById.values().forEach(ShardServerState::stop);
            replicaGroups.forEach(List::clear);
        }
        update.endpoints().forEach(this::update);
        serversById.values().removeIf(this::isRemovable);
    }

    private void update(Endpoint endpoint) {
        ShardServerState server =
                serversById.computeIfAbsent(endpoint.server(), ShardServerState::new);
        group(server).remove(server);
        server.update(endpoint);
        if (endpoint.startedAtMs() != server.startedAtMs()) {
            double speed =
                    SlowStart.speedPortion(
                            context.deployment().slowStart(),
                            endpoint.startedAtMs(),
                            context.nowMs());
            server.onStarted(endpoint.startedAtMs(), speed < 1);
        }
        if (endpoint.state() != Endpoint.State.GONE) {
            group(server).add(server);
            group(server).sort(Comparator.comparing(ShardServerState::id));
        }
    }

    /**
     * Returns whether the state of a server that is gone can be removed. Without the removal, the
     * state of old servers would accumulate when a fleet is replaced by servers with new names.
     */
    private boolean isRemovable(ShardServerState server) {
        return server.pendingAttempts().isEmpty()
                && !group(server).contains(server)
                && server.lastContactAtMs() < context.nowMs() - REMOVE_AFTER_MS;
    }

    private List<ShardServerState> group(ShardServerState server) {
        return replicaGroups.get(server.replicaGroup());
    }

    /** Returns the replicas of a shard in a fixed order. A position is an index into this list. */
    List<ShardServerState> replicas(int shard) {
        Deployment.ShardLayout layout = context.deployment().layout();
        if (layout.groupsPerShard() == 1) {
            return replicaGroups.get(Math.floorMod(shard, replicaGroups.size()));
        }
        var replicas = new ArrayList<ShardServerState>();
        for (int i = 0; i < layout.groupsPerShard(); i++) {
            replicas.addAll(replicaGroups.get(Math.floorMod(shard + i, replicaGroups.size())));
        }
        return replicas;
    }

    boolean hasRunningReplica(int shard) {
        return replicas(shard).stream().anyMatch(ShardServerState::isRunning);
    }

    long runningServers() {
        return serversById.values().stream().filter(ShardServerState::isRunning).count();
    }
}
