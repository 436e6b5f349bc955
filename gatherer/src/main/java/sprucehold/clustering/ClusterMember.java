package sprucehold.clustering;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.logging.Logger;
import sprucehold.cluster.allowance.AllowanceSettings;
import sprucehold.cluster.allowance.AllowanceTable;
import sprucehold.cluster.allowance.Grant;
import sprucehold.cluster.membership.MemberUpdate;
import sprucehold.cluster.session.ClusterMessage;
import sprucehold.cluster.session.CoordinationSession;
import sprucehold.cluster.session.SessionSettings;
import sprucehold.coordinator.Attempt;
import sprucehold.coordinator.AttemptResult;
import sprucehold.coordinator.EndpointUpdate;
import sprucehold.coordinator.Observation;
import sprucehold.coordinator.Query;
import sprucehold.decision.ClusterView;
import sprucehold.decision.Command;
import sprucehold.decision.Endpoint;
import sprucehold.decision.SharedLimit;
import sprucehold.messaging.PeerMessaging;
import sprucehold.messaging.PeerMessagingSettings;
import sprucehold.node.Clock;
import sprucehold.node.NodeConfig;
import sprucehold.node.NodeExtension;

/**
 * Member of the cluster for one gatherer. It passes the events of the node to the coordination with
 * other gatherers, and passes the resulting cluster view and allowances to the decision policy of
 * the node.
 */
public final class ClusterMember implements NodeExtension {
    private static final Logger LOG = Logger.getLogger(ClusterMember.class.getName());

    /**
     * Time after which a rate reported by another gatherer has half its weight, in milliseconds.
     * Load surges build up and end in about this time, so an older rate says little about the
     * current load.
     */
    private static final double RATE_HALF_LIFE_MS = 5000;

    /**
     * Longest time between the decision to send an attempt and its write, in milliseconds. Each use
     * of a shared limit counts for this time in addition to the window of the limit. Therefore the
     * value is no larger than the delay of a busy event loop plus a typical connect within an
     * installation. An attempt that isn't written within this time is cancelled, and the decision
     * policy can retry its part at another replica.
     */
    private static final double MAX_SEND_DELAY_MS = 100;

    /**
     * Shortest interval between cluster views for the decision policy while no allowance decreases,
     * in milliseconds. It avoids a new view before every call of the decision policy.
     */
    private static final double VIEW_INTERVAL_MS = 50;

    private final Vertx vertx;
    private final Clock clock;
    private final CoordinationSession session;
    private final AllowanceTable allowances;
    private final PeerMessaging messaging;
    private final String self;

    /** Allowances last passed to the decision policy, minus the units it consumed since then. */
    private final Map<SharedLimit, Integer> passedAllowances = new HashMap<>();

    private ClusterView lastView = ClusterView.NONE;
    private double passedAtMs = Double.NEGATIVE_INFINITY;
    private long timer = -1;
    private boolean superseded;
    private boolean isolated;

    /**
     * @throws IllegalArgumentException if the cluster settings don't name this gatherer; the
     *     message is one line
     */
    public ClusterMember(Vertx vertx, NodeConfig config, Clock clock, ClusterConfig clusterConfig) {
        this.vertx = vertx;
        this.clock = clock;
        this.self = config.name();
        ClusterConfig.Member own = clusterConfig.members().get(self);
        if (own == null) {
            throw new IllegalArgumentException(
                    "members: no member has the name of this gatherer, " + self);
        }
        var sites = new TreeMap<String, String>();
        var addresses = new TreeMap<String, PeerMessagingSettings.Address>();
        clusterConfig
                .members()
                .forEach(
                        (name, member) -> {
                            sites.put(name, member.site());
                            if (!name.equals(self)) {
                                addresses.put(name, member.address());
                            }
                        });
        double monotonicMs = clock.monotonicMs();
        double wallMs = clock.wallMs();
        this.session =
                new CoordinationSession(
                        new SessionSettings(
                                Map.of(), clusterConfig.messagesPerSecond(), RATE_HALF_LIFE_MS),
                        self,
                        own.site(),
                        (long) wallMs,
                        sites,
                        config.seed(),
                        monotonicMs,
                        wallMs);
        this.allowances =
                new AllowanceTable(
                        config.settings().deployment(),
                        new AllowanceSettings(
                                self,
                                List.copyOf(clusterConfig.members().keySet()),
                                clusterConfig.shared(),
                                clusterConfig.retriesPerWindow(),
                                clusterConfig.retryWindowMs(),
                                Math.min(
                                        MAX_SEND_DELAY_MS,
                                        config.settings().connections().connectTimeoutMs()),
                                clusterConfig.maxClockDriftPpm() / 1e6,
                                clusterConfig.maxClockOffsetMs()),
                        session,
                        monotonicMs,
                        wallMs);
        this.messaging =
                new PeerMessaging(
                        vertx,
                        new PeerMessagingSettings(
                                self,
                                own.listen().host(),
                                own.listen().port(),
                                addresses,
                                clusterConfig.bytesPerSecond()),
                        clock::monotonicMs,
                        this::messageReceived);
    }

    @Override
    public String name() {
        return "together";
    }

    @Override
    public Future<Void> start() {
        return messaging
                .open()
                .map(
                        port -> {
                            LOG.info("peer messaging is listening at port " + port);
                            timer = vertx.setPeriodic((long) session.tickMs(), id -> tick());
                            return null;
                        });
    }

    @Override
    public Future<Void> stop() {
        vertx.cancelTimer(timer);
        send(session.leave(clock.monotonicMs(), clock.wallMs()));
        return messaging.close();
    }

    private void tick() {
        double monotonicMs = clock.monotonicMs();
        double wallMs = clock.wallMs();
        allowances.tick(monotonicMs, wallMs);
        send(session.tick(monotonicMs, wallMs));
        for (MemberUpdate update : session.takeChanges()) {
            LOG.info(
                    "gatherer "
                            + update.name()
                            + switch (update.state()) {
                                case ALIVE -> " is alive";
                                case SUSPECT -> " has not answered and is suspected";
                                case DEAD -> " is considered dead";
                                case LEFT -> " has left";
                            });
        }
        if (session.superseded() != superseded) {
            superseded = session.superseded();
            LOG.warning(
                    superseded
                            ? "another process is called "
                                    + self
                                    + " and has started later: this process shares nothing until"
                                    + " the other one has ended"
                            : "no other process is called " + self + " any more");
        }
        if (session.isolated() != isolated) {
            isolated = session.isolated();
            LOG.warning(
                    isolated
                            ? "no other gatherer answers: this gatherer continues with the units"
                                    + " of the shared limits that it may use alone"
                            : "other gatherers answer again");
        }
    }

    private void messageReceived(String from, ClusterMessage message) {
        send(session.receive(clock.monotonicMs(), clock.wallMs(), from, message));
    }

    private void send(List<CoordinationSession.Outgoing> messages) {
        messages.forEach(outgoing -> messaging.send(outgoing.to(), outgoing.message()));
    }

    @Override
    public void queryReceived(double nowMs, Query query) {
        allowances.queryReceived(
                clock.monotonicMs(),
                query.tenant(),
                query.parts().stream().map(Query.Part::shard).toList());
    }

    @Override
    public void observed(double nowMs, Observation observation) {
        double monotonicMs = clock.monotonicMs();
        double wallMs = clock.wallMs();
        if (observation instanceof Observation.EndpointsUpdated list) {
            allowances.endpointsUpdated(
                    monotonicMs,
                    wallMs,
                    list.complete(),
                    list.updates().stream().map(ClusterMember::endpoint).toList());
        } else if (observation instanceof Observation.AttemptEnded ended) {
            boolean cancelled = ended.result() instanceof AttemptResult.Cancelled;
            // An attempt cancelled before its timeout is no evidence about the shard server.
            if (!cancelled || ended.attempt().ageMs(nowMs) >= ended.attempt().timeoutMs()) {
                allowances.attemptEnded(
                        monotonicMs,
                        wallMs,
                        ended.attempt().server().name(),
                        ended.result() instanceof AttemptResult.Completed);
            }
        }
    }

    private static Endpoint endpoint(EndpointUpdate update) {
        return new Endpoint(
                update.name(),
                update.replicaGroup(),
                update.zone(),
                update.startedAtMs(),
                switch (update.state()) {
                    case RUNNING -> Endpoint.State.RUNNING;
                    case DRAINING -> Endpoint.State.DRAINING;
                    case GONE -> Endpoint.State.GONE;
                });
    }

    @Override
    public void attemptStarting(double nowMs, Attempt attempt) {
        allowances.attemptSent(clock.monotonicMs(), clock.wallMs(), attempt.server().name());
    }

    @Override
    public ClusterView clusterView(double nowMs) {
        ClusterView view = allowances.clusterView(clock.monotonicMs(), clock.wallMs());
        boolean decreased =
                !view.allowances().keySet().equals(passedAllowances.keySet())
                        || view.allowances().entrySet().stream()
                                .anyMatch(
                                        entry ->
                                                entry.getValue()
                                                        < passedAllowances.get(entry.getKey()));
        boolean changed =
                !view.failureScores().equals(lastView.failureScores())
                        || view.gatherers() != lastView.gatherers()
                        || !view.allowances().equals(passedAllowances);
        if (!decreased && (!changed || nowMs - passedAtMs < VIEW_INTERVAL_MS)) {
            return null;
        }
        passedAllowances.clear();
        passedAllowances.putAll(view.allowances());
        lastView = view;
        passedAtMs = nowMs;
        return view;
    }

    @Override
    public BooleanSupplier consumeAllowance(double nowMs, Command.ConsumeAllowance command) {
        passedAllowances.computeIfPresent(
                command.limit(), (limit, units) -> units - command.units());
        Grant grant =
                allowances.consume(
                        clock.monotonicMs(), clock.wallMs(), command.limit(), command.units());
        return grant == null
                ? null
                : () -> allowances.isValid(clock.monotonicMs(), clock.wallMs(), grant);
    }

    @Override
    public JsonNode status() {
        return ClusterStatus.json(
                self,
                session.aliveCount(),
                session.status(clock.monotonicMs(), clock.wallMs()),
                lastView,
                messaging.counters());
    }
}
