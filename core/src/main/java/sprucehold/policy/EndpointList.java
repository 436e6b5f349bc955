package sprucehold.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import sprucehold.decision.Deployment;
import sprucehold.decision.Endpoint;
import sprucehold.decision.Event;

/** All shard servers, as endpoint updates tell of them, and which of them hold a shard. */
final class EndpointList {
    /** Outlasts a server that is gone for a moment and comes back under its name. */
    private static final double FORGET_AFTER_MS = 30_000;

    private final DecisionContext context;
    private final Map<String, ShardServerState> serversById = new TreeMap<>();

    /** The servers of each replica group that aren't gone, by id: the same at every gatherer. */
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
        serversById.values().removeIf(this::isForgotten);
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

    /** Fleets may be replaced by servers of new names, which must leave nothing behind. */
    private boolean isForgotten(ShardServerState server) {
        return server.pendingAttempts().isEmpty()
                && !group(server).contains(server)
                && server.lastContactAtMs() < context.nowMs() - FORGET_AFTER_MS;
    }

    private List<ShardServerState> group(ShardServerState server) {
        return replicaGroups.get(server.replicaGroup());
    }

    /** The replicas of a shard in a fixed order; a position is an index into it. */
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
