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
 * The shared limits on what warming shard servers are sent: one opens when discovery tells of a
 * start and closes once the server is surely warm. Units are milliseconds of work in a window. All
 * times are a reading of the monotonic clock and one of the wall clock, in milliseconds.
 */
final class SlowStartLimits {
    /** Below so many parts a second a replica group has no traffic. */
    private static final double MIN_PARTS_PER_SECOND = 0.1;

    /** Weight of the latest part in the moving average of the work of a part. */
    private static final double PART_WORK_WEIGHT = 0.1;

    private static final class Server {
        Endpoint endpoint;

        /** When this process first heard of this start, by the monotonic clock. */
        final double heardAtMs;

        /** Null while no limit is open for it: it is warm, or slow start isn't shared. */
        WarmUpAllowance growth;

        Server(double heardAtMs) {
            this.heardAtMs = heardAtMs;
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

    /** The work of a part, in milliseconds, as a moving average. */
    private double partWorkMs;

    SlowStartLimits(
            Deployment deployment, AllowanceSettings settings, CoordinationSession session) {
        this.deployment = deployment;
        this.rule = deployment.slowStart();
        this.settings = settings;
        this.session = session;
        this.partsByReplicaGroup = new DemandRate[deployment.layout().replicaGroups()];
        Arrays.setAll(partsByReplicaGroup, group -> new DemandRate());
        // As the decisions assume before any part's time is known.
        this.partWorkMs =
                deployment.queryClasses().stream()
                        .mapToDouble(queryClass -> queryClass.latencyObjectiveMs() / 4)
                        .min()
                        .orElse(1);
    }

    /** What is known of a server, or null. */
    Endpoint endpoint(String server) {
        Server known = servers.get(server);
        return known == null ? null : known.endpoint;
    }

    /** All endpoints known, by name. */
    List<Endpoint> endpoints() {
        return servers.values().stream().map(server -> server.endpoint).toList();
    }

    /**
     * Takes an endpoint update, before the decisions do.
     *
     * @param complete whether servers that aren't in it are gone
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
        if (server.growth != null
                || !settings.shared().contains(SharedLimit.Kind.SLOW_START)
                || capacityShare(countedMs, wallMs, server) >= 1) {
            return;
        }
        double usageCountsMs =
                (rule.windowMs() + settings.sendWithinMs()) * (1 + settings.maxClockDrift());
        server.growth = new WarmUpAllowance(usageCountsMs);
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
        if (server.growth != null) {
            server.growth = null;
            session.closeLimit(server.limit());
        }
    }

    /**
     * Milliseconds of work that a server may be sent in a window: one core is the least that a
     * server has.
     *
     * @param capacityShare the share of its full capacity that it has
     */
    private int units(double capacityShare) {
        return (int) (rule.overloadFactor() * capacityShare * rule.windowMs());
    }

    /**
     * The share of its capacity that a server surely has by now. It started before its start was
     * heard of; what wall clocks say beyond that counts less by what they may be apart.
     */
    private double capacityShare(double countedMs, double wallMs, Server server) {
        double startedAtMs = server.endpoint.startedAtMs();
        double ageByWallMs = wallMs - startedAtMs - settings.maxClockOffsetMs();
        double ageMs =
                Math.max(countedMs - server.heardAtMs, ageByWallMs)
                        * (1 - settings.maxClockDrift());
        double warmth = Math.min(1, Math.max(0, ageMs) / rule.warmAfterMs());
        return startedAtMs <= 0 ? 1 : rule.startShare() + (1 - rule.startShare()) * warmth;
    }

    /** This gatherer's part of the units by which the limit has grown. */
    private int grownUnits(double countedMs, double wallMs, Server server) {
        int grown = units(capacityShare(countedMs, wallMs, server)) - units(rule.startShare());
        return grown / settings.gatherers().size();
    }

    /** Counts the parts of a query that came in. */
    void partsReceived(double countedMs, List<Integer> shards) {
        for (int shard : shards) {
            for (int offset = 0; offset < deployment.layout().groupsPerShard(); offset++) {
                int group = Math.floorMod(shard + offset, partsByReplicaGroup.length);
                partsByReplicaGroup[group].add(countedMs, 1);
            }
        }
    }

    /**
     * Takes units of a server's limit, those first that nobody else can use.
     *
     * @return null, with nothing taken, if they aren't free; an empty grant where the server has no
     *     limit
     */
    Grant consume(double countedMs, double wallMs, String name, int units) {
        Server server = servers.get(name);
        if (server == null || server.growth == null) {
            return new Grant(List.of());
        }
        partWorkMs += PART_WORK_WEIGHT * (units - partWorkMs);
        int freeGrown = server.growth.free(countedMs, grownUnits(countedMs, wallMs, server));
        int ofGrowth = Math.min(units, freeGrown);
        int ofQuota = units - ofGrowth;
        if (ofQuota > session.freeUnits(countedMs, wallMs, server.limit())) {
            return null;
        }
        var permits = new ArrayList<Permit>();
        if (ofGrowth > 0) {
            server.growth.consume(countedMs, ofGrowth);
            double validMs = settings.sendWithinMs() * (1 - settings.maxClockDrift());
            permits.add(session.permit(countedMs, wallMs, validMs));
        }
        if (ofQuota > 0) {
            Permit permit = session.consume(countedMs, wallMs, server.limit(), ofQuota);
            if (permit == null) {
                return null;
            }
            permits.add(permit);
        }
        return new Grant(permits);
    }

    /** Closes limits of servers that are warm now, and states the demand on the others. */
    void tick(double countedMs, double wallMs) {
        for (Server server : servers.values()) {
            if (server.growth != null && capacityShare(countedMs, wallMs, server) >= 1) {
                close(server);
            }
            if (server.growth != null) {
                double parts = partsPerWindow(countedMs, server);
                session.setDemand(
                        server.limit(),
                        (int) Math.ceil(parts * partWorkMs),
                        (int) Math.ceil(partWorkMs));
            }
        }
    }

    /**
     * Parts that are likely to go to a server in a window: one at the least where there is traffic,
     * as a shard's last replicas are never all left out.
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

    /** Units that may be consumed now, by the server of each open limit. */
    Map<String, Integer> freeUnits(double countedMs, double wallMs) {
        var free = new TreeMap<String, Integer>();
        for (Server server : servers.values()) {
            if (server.growth != null) {
                int ofQuota = session.freeUnits(countedMs, wallMs, server.limit());
                int ofGrowth = server.growth.free(countedMs, grownUnits(countedMs, wallMs, server));
                free.put(server.endpoint.server(), ofQuota + ofGrowth);
            }
        }
        return free;
    }
}
