package sprucehold.cluster.allowance;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import sprucehold.cluster.quota.Permit;
import sprucehold.cluster.quota.QuotaTerms;
import sprucehold.cluster.session.CoordinationSession;
import sprucehold.decision.ClusterView;
import sprucehold.decision.Deployment;
import sprucehold.decision.Endpoint;
import sprucehold.decision.SharedLimit;
import sprucehold.decision.Tenant;

/**
 * The shared bounds of one gatherer as its decisions see them. A cold server's bound comes up with
 * the news of its start and goes once it is surely warm. All times are a reading of the clock that
 * counts and one of the wall's, in milliseconds.
 */
public final class AllowanceTable {
    /**
     * How long a loan lasts: eight looks, so that asking again costs little, and what a dead one
     * held is back in four seconds.
     */
    static final double TERM_MS = 2000;

    /** A customer's share is stated by the second. */
    private static final double CUSTOMER_WINDOW_MS = 1000;

    /**
     * Rates of what comes in count half after so long: the demand of the last second or two is what
     * is to be met.
     */
    private static final double RATE_HALF_MS = 1000;

    /** Below so much others' evidence is no reason for a new word. */
    private static final double LEAST_TROUBLE = 0.25;

    /** A rate that fades. */
    private static final class Rate {
        private double sum;
        private double atMs;

        void add(double nowMs, double what) {
            sum = sum * Math.pow(0.5, (nowMs - atMs) / RATE_HALF_MS) + what;
            atMs = nowMs;
        }

        double perS(double nowMs) {
            return sum
                    * Math.pow(0.5, (nowMs - atMs) / RATE_HALF_MS)
                    * Math.log(2)
                    * 1000
                    / RATE_HALF_MS;
        }
    }

    private static final class Server {
        Endpoint endpoint;

        /** When this life first heard of this start, by the counting clock. */
        double heardAt;

        /** Null while it isn't cold, or that isn't shared. */
        WarmUpAllowance growth;

        String bound() {
            return SharedLimit.Kind.SLOW_START.storedName()
                    + " "
                    + endpoint.server()
                    + "@"
                    + (long) endpoint.startedAtMs();
        }
    }

    private final Deployment deployment;
    private final AllowanceSettings terms;
    private final CoordinationSession session;
    private final Map<String, Server> servers = new TreeMap<>();
    private final Map<String, Rate> byCustomer = new TreeMap<>();
    private final Rate[] byCell;

    /** The work of a part, in milliseconds, as the decisions take it. */
    private double pieceMs;

    private Map<String, Double> trouble = Map.of();

    public AllowanceTable(
            Deployment deployment,
            AllowanceSettings terms,
            CoordinationSession session,
            double countedMs,
            double wallMs) {
        this.deployment = deployment;
        this.terms = terms;
        this.session = session;
        this.byCell = new Rate[deployment.layout().replicaGroups()];
        Arrays.setAll(byCell, cell -> new Rate());
        // As the decisions do, before they have seen any part's time.
        this.pieceMs =
                deployment.queryClasses().stream()
                        .mapToDouble(type -> type.latencyObjectiveMs() / 4)
                        .min()
                        .orElse(1);
        if (terms.shared().contains(SharedLimit.Kind.RETRIES)) {
            begin(
                    countedMs,
                    wallMs,
                    name(SharedLimit.RETRIES),
                    terms.further(),
                    terms.furtherWindowMs(),
                    true);
        }
        if (terms.shared().contains(SharedLimit.Kind.TENANT_QUOTA)) {
            deployment
                    .tenants()
                    .forEach(
                            tenant ->
                                    begin(
                                            countedMs,
                                            wallMs,
                                            name(SharedLimit.tenantQuota(tenant.name())),
                                            (int) tenant.queriesPerSecond(),
                                            CUSTOMER_WINDOW_MS,
                                            true));
        }
    }

    private static String name(SharedLimit limit) {
        return limit.subject().isEmpty()
                ? limit.kind().storedName()
                : limit.kind().storedName() + " " + limit.subject();
    }

    /**
     * @param keeps whether a part of the home is never lent, for who comes back or hears nothing to
     *     go on with at once
     */
    private void begin(
            double countedMs,
            double wallMs,
            String bound,
            int units,
            double windowMs,
            boolean keeps) {
        int home = terms.home(bound, units);
        session.begin(
                countedMs,
                wallMs,
                bound,
                new QuotaTerms(
                        home,
                        keeps ? home / 4 : 0,
                        windowMs,
                        terms.patienceMs(),
                        TERM_MS,
                        terms.drift()));
    }

    // ---- Cold servers ----

    /** News of shard servers, before the decisions hear of them. */
    public void listed(double countedMs, double wallMs, boolean complete, List<Endpoint> news) {
        if (complete) {
            var named = news.stream().map(Endpoint::server).toList();
            List.copyOf(servers.values()).stream()
                    .filter(server -> !named.contains(server.endpoint.server()))
                    .forEach(this::gone);
        }
        for (Endpoint endpoint : news) {
            Server server = servers.get(endpoint.server());
            if (endpoint.state() == Endpoint.State.GONE) {
                if (server != null) {
                    gone(server);
                }
                continue;
            }
            if (server == null || server.endpoint.startedAtMs() != endpoint.startedAtMs()) {
                if (server != null) {
                    gone(server);
                }
                server = new Server();
                server.heardAt = countedMs;
                servers.put(endpoint.server(), server);
            }
            server.endpoint = endpoint;
            if (server.growth == null
                    && terms.shared().contains(SharedLimit.Kind.SLOW_START)
                    && share(countedMs, wallMs, server) < 1) {
                var rule = deployment.slowStart();
                server.growth =
                        new WarmUpAllowance(
                                (rule.windowMs() + terms.patienceMs()) * (1 + terms.drift()));
                begin(
                        countedMs,
                        wallMs,
                        server.bound(),
                        units(rule.startShare()),
                        rule.windowMs(),
                        false);
            }
        }
    }

    private void gone(Server server) {
        warm(server);
        servers.remove(server.endpoint.server());
    }

    private void warm(Server server) {
        if (server.growth != null) {
            server.growth = null;
            session.end(server.bound());
        }
    }

    /**
     * Milliseconds of work that a cold server may be sent in a window: one core is the least that a
     * server has.
     */
    private int units(double share) {
        var rule = deployment.slowStart();
        return (int) (rule.overloadFactor() * share * rule.windowMs());
    }

    /**
     * The share of its work that a server can surely do by now. It started before its start was
     * heard of; what wall clocks say beyond that counts less by what they may be apart.
     */
    private double share(double countedMs, double wallMs, Server server) {
        double startedAt = server.endpoint.startedAtMs();
        double age =
                Math.max(countedMs - server.heardAt, wallMs - startedAt - terms.clocksOffMs())
                        * (1 - terms.drift());
        var rule = deployment.slowStart();
        double warmth = Math.min(1, Math.max(0, age) / rule.warmAfterMs());
        return startedAt <= 0 ? 1 : rule.startShare() + (1 - rule.startShare()) * warmth;
    }

    /** This gatherer's part of what the bound has grown by. */
    private int grown(double countedMs, double wallMs, Server server) {
        int more =
                units(share(countedMs, wallMs, server))
                        - units(deployment.slowStart().startShare());
        return more / terms.fleet().size();
    }

    // ---- What happens ----

    /** A scan came in. */
    public void taken(double countedMs, String customer, List<Integer> segments) {
        if (customer != null) {
            byCustomer.computeIfAbsent(customer, none -> new Rate()).add(countedMs, 1);
        }
        for (int segment : segments) {
            for (int j = 0; j < deployment.layout().groupsPerShard(); j++) {
                byCell[Math.floorMod(segment + j, byCell.length)].add(countedMs, 1);
            }
        }
    }

    /** A dispatch to a server was written. */
    public void sent(double countedMs, double wallMs, String server) {
        session.counted(countedMs, wallMs, server, 1);
    }

    /** A dispatch to a server ended, well or with what may be the server's fault. */
    public void ended(double countedMs, double wallMs, String server, boolean well) {
        Server known = servers.get(server);
        if (known != null) {
            session.saw(
                    countedMs,
                    wallMs,
                    server,
                    known.endpoint.zone(),
                    known.endpoint.startedAtMs(),
                    well);
        }
    }

    /**
     * Takes units of a bound.
     *
     * @return null, with nothing sent to be, if they aren't free; an empty leave where the bound
     *     isn't shared
     */
    public Grant use(double countedMs, double wallMs, SharedLimit limit, int units) {
        var permits = new ArrayList<Permit>();
        int left = units;
        String name = name(limit);
        if (limit.kind() == SharedLimit.Kind.SLOW_START) {
            Server server = servers.get(limit.subject());
            if (server == null || server.growth == null) {
                return new Grant(List.of());
            }
            pieceMs += 0.1 * (units - pieceMs);
            name = server.bound();
            int own =
                    Math.min(left, server.growth.free(countedMs, grown(countedMs, wallMs, server)));
            if (left - own > session.free(countedMs, wallMs, name)) {
                return null;
            }
            if (own > 0) {
                server.growth.use(countedMs, own);
                permits.add(
                        session.permit(
                                countedMs, wallMs, terms.patienceMs() * (1 - terms.drift())));
                left -= own;
            }
        } else if (!terms.shared().contains(limit.kind())
                || limit.kind() == SharedLimit.Kind.TENANT_QUOTA
                        && deployment.tenants().stream()
                                .noneMatch(c -> c.name().equals(limit.subject()))) {
            return new Grant(List.of());
        }
        if (left > 0) {
            Permit permit = session.use(countedMs, wallMs, name, left);
            if (permit == null) {
                return null;
            }
            permits.add(permit);
        }
        return new Grant(permits);
    }

    /** Whether it may be written now; to be asked right before. */
    public boolean holds(double countedMs, double wallMs, Grant leave) {
        return leave.permits().stream()
                .allMatch(permit -> session.holds(countedMs, wallMs, permit));
    }

    // ---- What is told ----

    /** Looks at what is wanted, and at what others saw; a few times a second. */
    public void tick(double countedMs, double wallMs) {
        var found = new HashMap<String, Double>();
        for (Server server : servers.values()) {
            if (server.growth != null && share(countedMs, wallMs, server) >= 1) {
                warm(server);
            }
            if (server.growth != null) {
                int holders =
                        (int)
                                servers.values().stream()
                                        .filter(
                                                other ->
                                                        other.endpoint.replicaGroup()
                                                                        == server.endpoint
                                                                                .replicaGroup()
                                                                && other.endpoint.state()
                                                                        == Endpoint.State.RUNNING)
                                        .count();
                double partsPerS = byCell[server.endpoint.replicaGroup()].perS(countedMs);
                // One part at the least where any comes in: a segment's last holders are never all
                // left aside.
                double parts =
                        partsPerS < 0.1 || server.endpoint.state() != Endpoint.State.RUNNING
                                ? 0
                                : Math.max(
                                        1,
                                        partsPerS
                                                * deployment.slowStart().windowMs()
                                                / 1000
                                                / Math.max(1, holders));
                session.want(
                        server.bound(), (int) Math.ceil(parts * pieceMs), (int) Math.ceil(pieceMs));
            }
            double seen =
                    session.opinion(
                                    countedMs,
                                    wallMs,
                                    server.endpoint.server(),
                                    server.endpoint.startedAtMs())
                            .trouble();
            if (seen >= LEAST_TROUBLE) {
                // In tenths: a new word for each thousandth would tell nobody anything.
                found.put(server.endpoint.server(), Math.round(10 * seen) / 10.0);
            }
        }
        trouble = Map.copyOf(found);
        byCustomer.forEach(
                (customer, rate) ->
                        session.want(
                                name(SharedLimit.tenantQuota(customer)),
                                (int)
                                        Math.ceil(
                                                1.25
                                                        * rate.perS(countedMs)
                                                        * CUSTOMER_WINDOW_MS
                                                        / 1000),
                                1));
        if (terms.shared().contains(SharedLimit.Kind.RETRIES)) {
            CoordinationSession.Held held =
                    session.held(countedMs, wallMs, name(SharedLimit.RETRIES));
            // Refusals aren't seen here: who has used up all that it holds is taken to want as much
            // again.
            session.want(
                    name(SharedLimit.RETRIES),
                    held.free() == 0 ? 2 * held.used() + 1 : (int) Math.ceil(1.25 * held.used()),
                    1);
        }
    }

    /** What the decisions are to know now. */
    public ClusterView others(double countedMs, double wallMs) {
        var room = new HashMap<SharedLimit, Integer>();
        for (Server server : servers.values()) {
            if (server.growth != null) {
                room.put(
                        SharedLimit.slowStart(server.endpoint.server()),
                        session.free(countedMs, wallMs, server.bound())
                                + server.growth.free(countedMs, grown(countedMs, wallMs, server)));
            }
        }
        if (terms.shared().contains(SharedLimit.Kind.TENANT_QUOTA)) {
            for (Tenant tenant : deployment.tenants()) {
                SharedLimit limit = SharedLimit.tenantQuota(tenant.name());
                room.put(limit, session.free(countedMs, wallMs, name(limit)));
            }
        }
        if (terms.shared().contains(SharedLimit.Kind.RETRIES)) {
            room.put(
                    SharedLimit.RETRIES,
                    session.free(countedMs, wallMs, name(SharedLimit.RETRIES)));
        }
        return new ClusterView(session.there() + 1, room, trouble);
    }
}
