package sprucehold.cluster.allowance;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import sprucehold.cluster.quota.Permit;
import sprucehold.cluster.session.CoordinationSession;
import sprucehold.decision.Deployment;
import sprucehold.decision.Endpoint;
import sprucehold.decision.SharedLimit;

/**
 * The shared limits on the work sent to warming shard servers. A limit opens when discovery reports
 * the start of a server, and closes when the server is certainly warm. Units are milliseconds of
 * work per window. All times are passed as a reading of the monotonic clock and one of the wall
 * clock, in milliseconds.
 */
final class SlowStartLimits {
    /** Parts per second below which a replica group is considered to have no traffic. */
    private static final double MIN_PARTS_PER_SECOND = 0.1;

    /** Weight of the latest part in the moving average of the work per part. */
    private static final double PART_WORK_WEIGHT = 0.1;

    private static final class Server {
        Endpoint endpoint;

        /**
         * Time at which this process first received the report of this start, by the monotonic
         * clock.
         */
        final double discoveredAtMs;

        /**
         * Null while no limit is open for the server, either because it is warm or because slow
         * start isn't shared.
         */
        WarmUpAllowance warmUp;

        Server(double discoveredAtMs) {
            this.discoveredAtMs = discoveredAtMs;
        }

        String limit() {
            return LimitNames.slowStart(endpoint.server(), endpoint.startedAtMs());
        }

        boolean isRunning() {
            return endpoint.state() == Endpoint.State.RUNNING;
        }
    }

    private final Deployment deployment;
    private final Deployment.SlowStartRule rule;
    private final AllowanceSettings settings;
    private final CoordinationSession session;
    private final Map<String, Server> servers = new TreeMap<>();
    private final DemandRate[] partsByReplicaGroup;

    /** Moving average of the work per part, in milliseconds. */
    private double partWorkMs;

    SlowStartLimits(
            Deployment deployment, AllowanceSettings settings, CoordinationSession session) {
        this.deployment = deployment;
        this.rule = deployment.slowStart();
        this.settings = settings;
        this.session = session;
        this.partsByReplicaGroup = new DemandRate[deployment.layout().replicaGroups()];
        Arrays.setAll(partsByReplicaGroup, group -> new DemandRate());
        // The decisions assume the same value before the time of any part is known.
        this.partWorkMs =
                deployment.queryClasses().stream()
                        .mapToDouble(queryClass -> queryClass.latencyObjectiveMs() / 4)
                        .min()
                        .orElse(1);
    }

    /** Returns the latest endpoint of a server, or null if it is unknown. */
    Endpoint endpoint(String server) {
        Server known = servers.get(server);
        return known == null ? null : known.endpoint;
    }

    /** Returns all known endpoints, sorted by name. */
    List<Endpoint> endpoints() {
        return servers.values().stream().map(server -> server.endpoint).toList();
    }

    /**
     * Handles an endpoint update; must be called before the update is passed to the decisions.
     *
     * @param complete whether servers that the update doesn't contain are gone
     */
    void endpointsUpdated(
            double countedMs, double wallMs, boolean complete, List<Endpoint> endpoints) {
        if (complete) {
            List<String> named = endpoints.stream().map(Endpoint::server).toList();
            List.copyOf(servers.values()).stream()
                    .filter(server -> !named.contains(server.endpoint.server()))
                    .forEach(this::remove);
        }
        for (Endpoint endpoint : endpoints) {
            if (endpoint.state() == Endpoint.State.GONE) {
                Server gone = servers.get(endpoint.server());
                if (gone != null) {
                    remove(gone);
                }
            } else {
                Server server = put(countedMs, endpoint);
                openIfWarming(countedMs, wallMs, server);
            }
        }
    }

    private Server put(double countedMs, Endpoint endpoint) {
        Server server = servers.get(endpoint.server());
        if (server != null && server.endpoint.startedAtMs() != endpoint.startedAtMs()) {
            remove(server);
            server = null;
        }
        if (server == null) {
            server = new Server(countedMs);
            servers.put(endpoint.server(), server);
        }
        server.endpoint = endpoint;
        return server;
    }

    private void openIfWarming(double countedMs, double wallMs, Server server) {
        if (server.warmUp != null
                || !settings.shared().contains(SharedLimit.Kind.SLOW_START)
                || capacityShare(countedMs, wallMs, server) >= 1) {
            return;
        }
        double usageCountsMs =
                (rule.windowMs() + settings.sendWithinMs()) * (1 + settings.maxClockDrift());
        server.warmUp = new WarmUpAllowance(usageCountsMs);
        session.openLimit(
                countedMs,
                wallMs,
                server.limit(),
                settings.quotaTerms(
                        server.limit(), units(rule.startShare()), rule.windowMs(), false));
    }

    private void remove(Server server) {
        close(server);
        servers.remove(server.endpoint.server());
    }

    private void close(Server server) {
        if (server.warmUp != null) {
            server.warmUp = null;
            session.closeLimit(server.limit());
        }
    }

    /**
     * Returns the work that a server may be sent per window, in milliseconds. A server is assumed
     * to have one core, which is the minimum.
     *
     * @param capacityShare the server's current share of its full capacity
     */
    private int units(double capacityShare) {
        return (int) (rule.overloadFactor() * capacityShare * rule.windowMs());
    }

    /**
     * Returns the share of its capacity that a server certainly has by now. The server's age is at
     * least the time since this process discovered its start. If the wall clocks indicate a greater
     * age even after the maximum difference between two wall clocks is subtracted, that age is
     * used. A server without a known start counts as warm.
     */
    private double capacityShare(double countedMs, double wallMs, Server server) {
        double startedAtMs = server.endpoint.startedAtMs();
        double ageByWallMs = wallMs - startedAtMs - settings.maxClockOffsetMs();
        double ageMs =
                Math.max(countedMs - server.discoveredAtMs, ageByWallMs)
                        * (1 - settings.maxClockDrift());
        double warmth = Math.min(1, Math.max(0, ageMs) / rule.warmAfterMs());
        return startedAtMs <= 0 ? 1 : rule.startShare() + (1 - rule.startShare()) * warmth;
    }

    /** Returns this gatherer's part of the units by which the limit has grown. */
    private int grownUnits(double countedMs, double wallMs, Server server) {
        int grown = units(capacityShare(countedMs, wallMs, server)) - units(rule.startShare());
        return grown / settings.gatherers().size();
    }

    /** Records the parts of a received query. */
    void partsReceived(double countedMs, List<Integer> shards) {
        for (int shard : shards) {
            for (int offset = 0; offset < deployment.layout().groupsPerShard(); offset++) {
                int group = Math.floorMod(shard + offset, partsByReplicaGroup.length);
                partsByReplicaGroup[group].add(countedMs, 1);
            }
        }
    }

    /**
     * Consumes units of a server's limit. First takes units that no other gatherer can use, then
     * units of the ledger.
     *
     * @return null, with no unit consumed, if the units aren't free; an empty grant if the server
     *     has no limit
     */
    Grant consume(double countedMs, double wallMs, String name, int units) {
        Server server = servers.get(name);
        if (server == null || server.warmUp == null) {
            return new Grant(List.of());
        }
        partWorkMs += PART_WORK_WEIGHT * (units - partWorkMs);
        int freeGrown = server.warmUp.free(countedMs, grownUnits(countedMs, wallMs, server));
        int fromWarmUp = Math.min(units, freeGrown);
        int fromQuota = units - fromWarmUp;
        if (fromQuota > session.freeUnits(countedMs, wallMs, server.limit())) {
            return null;
        }
        var permits = new ArrayList<Permit>();
        if (fromWarmUp > 0) {
            server.warmUp.consume(countedMs, fromWarmUp);
            double validMs = settings.sendWithinMs() * (1 - settings.maxClockDrift());
            permits.add(session.permit(countedMs, wallMs, validMs));
        }
        if (fromQuota > 0) {
            Permit permit = session.consume(countedMs, wallMs, server.limit(), fromQuota);
            if (permit == null) {
                return null;
            }
            permits.add(permit);
        }
        return new Grant(permits);
    }

    /** Closes the limits of servers that are warm now, and sets the demand on the others. */
    void tick(double countedMs, double wallMs) {
        for (Server server : servers.values()) {
            if (server.warmUp != null && capacityShare(countedMs, wallMs, server) >= 1) {
                close(server);
            }
            if (server.warmUp != null) {
                double parts = partsPerWindow(countedMs, server);
                session.setDemand(
                        server.limit(),
                        (int) Math.ceil(parts * partWorkMs),
                        (int) Math.ceil(partWorkMs));
            }
        }
    }

    /**
     * Returns the number of parts that a server is likely to be sent per window. It is at least one
     * where there is traffic, as the last replicas of a shard are never all left out.
     */
    private double partsPerWindow(double countedMs, Server server) {
        int group = server.endpoint.replicaGroup();
        double partsPerSecond = partsByReplicaGroup[group].perSecond(countedMs);
        if (partsPerSecond < MIN_PARTS_PER_SECOND || !server.isRunning()) {
            return 0;
        }
        int replicas =
                (int)
                        servers.values().stream()
                                .filter(other -> other.endpoint.replicaGroup() == group)
                                .filter(Server::isRunning)
                                .count();
        return Math.max(1, partsPerSecond * rule.windowMs() / 1000 / Math.max(1, replicas));
    }

    /** Returns the units that may be consumed now, by the server of each open limit. */
    Map<String, Integer> freeUnits(double countedMs, double wallMs) {
        var free = new TreeMap<String, Integer>();
        for (Server server : servers.values()) {
            if (server.warmUp != null) {
                int fromQuota = session.freeUnits(countedMs, wallMs, server.limit());
                int fromWarmUp =
                        server.warmUp.free(countedMs, grownUnits(countedMs, wallMs, server));
                free.put(server.endpoint.server(), fromQuota + fromWarmUp);
            }
        }
        return free;
    }
}
