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
 * One gatherer as a member of the cluster: what happens at its node goes into the coordination with
 * the others, and what follows from that into the node's decisions.
 */
public final class ClusterMember implements NodeExtension {
    private static final Logger LOG = Logger.getLogger(ClusterMember.class.getName());

    /**
     * A rate heard from another counts half after so long: about what a surge takes to come or go.
     */
    private static final double RATE_HALF_LIFE_MS = 5000;

    /**
     * How long after it was decided an attempt may still be written. Each use counts longer by as
     * much, so no more than a busy event loop and a usual connect within an installation take; what
     * waits longer than that goes elsewhere.
     */
    private static final double MAX_SEND_DELAY_MS = 100;

    /** Allowances that have only grown are told this often, rather than with every call. */
    private static final double VIEW_INTERVAL_MS = 50;

    private final Vertx vertx;
    private final Clock clock;
    private final CoordinationSession session;
    private final AllowanceTable allowances;
    private final PeerMessaging messaging;
    private final String self;

    /** The allowances last told to the decisions, less what they have consumed since. */
    private final Map<SharedLimit, Integer> toldAllowances = new HashMap<>();

    private ClusterView lastView = ClusterView.NONE;
    private double toldAtMs = Double.NEGATIVE_INFINITY;
    private long timer = -1;
    private boolean superseded;
    private boolean cutOff;

    /**
     * @throws IllegalArgumentException in one line if the plan doesn't name this gatherer
     */
    public ClusterMember(Vertx vertx, NodeConfig config, Clock clock, ClusterConfig plan) {
        this.vertx = vertx;
        this.clock = clock;
        this.self = config.name();
        ClusterConfig.Member own = plan.members().get(self);
        if (own == null) {
            throw new IllegalArgumentException(
                    "members: none is called " + self + ", as this gatherer is");
        }
        var sites = new TreeMap<String, String>();
        var addresses = new TreeMap<String, PeerMessagingSettings.Address>();
        plan.members()
                .forEach(
                        (name, member) -> {
                            sites.put(name, member.site());
                            if (!name.equals(self)) {
                                addresses.put(name, member.at());
                            }
                        });
        double monotonicMs = clock.monotonicMs();
        double wallMs = clock.wallMs();
        this.session =
                new CoordinationSession(
                        new SessionSettings(Map.of(), plan.messagesPerSecond(), RATE_HALF_LIFE_MS),
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
                                List.copyOf(plan.members().keySet()),
                                plan.shared(),
                                plan.retriesPerWindow(),
                                plan.retryWindowMs(),
                                Math.min(
                                        MAX_SEND_DELAY_MS,
                                        config.settings().connections().connectTimeoutMs()),
                                plan.maxClockDriftPpm() / 1e6,
                                plan.maxClockOffsetMs()),
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
                                plan.bytesPerSecond()),
                        clock::monotonicMs,
                        this::read);
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
                            LOG.info("talking with other gatherers at port " + port);
                            timer = vertx.setPeriodic((long) session.tickMs(), id -> tick());
                            return null;
                        });
    }

    @Override
    public Future<Void> end() {
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
                                case ALIVE -> " is there";
                                case SUSPECT -> " has not answered and is suspected";
                                case DEAD -> " is held to be gone";
                                case LEFT -> " has left";
                            });
        }
        if (session.superseded() != superseded) {
            superseded = session.superseded();
            LOG.warning(
                    superseded
                            ? "another process is called "
                                    + self
                                    + " and has started later: this one shares nothing until"
                                    + " that is gone"
                            : "no other process is called " + self + " any more");
        }
        if (session.isolated() != cutOff) {
            cutOff = session.isolated();
            LOG.warning(
                    cutOff
                            ? "no other gatherer answers: this one does what it may do alone"
                            : "other gatherers answer again");
        }
    }

    private void read(String from, ClusterMessage message) {
        send(session.receive(clock.monotonicMs(), clock.wallMs(), from, message));
    }

    private void send(List<CoordinationSession.Outgoing> messages) {
        messages.forEach(out -> messaging.send(out.to(), out.message()));
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
            // An attempt cancelled before its time tells nothing of the server.
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
        ClusterView now = allowances.clusterView(clock.monotonicMs(), clock.wallMs());
        boolean less =
                !now.allowances().keySet().equals(toldAllowances.keySet())
                        || now.allowances().entrySet().stream()
                                .anyMatch(one -> one.getValue() < toldAllowances.get(one.getKey()));
        boolean other =
                !now.failureScores().equals(lastView.failureScores())
                        || now.gatherers() != lastView.gatherers()
                        || !now.allowances().equals(toldAllowances);
        if (!less && (!other || nowMs - toldAtMs < VIEW_INTERVAL_MS)) {
            return null;
        }
        toldAllowances.clear();
        toldAllowances.putAll(now.allowances());
        lastView = now;
        toldAtMs = nowMs;
        return now;
    }

    @Override
    public BooleanSupplier consumeAllowance(double nowMs, Command.ConsumeAllowance use) {
        toldAllowances.computeIfPresent(use.limit(), (bound, units) -> units - use.units());
        Grant grant =
                allowances.consume(clock.monotonicMs(), clock.wallMs(), use.limit(), use.units());
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
                messaging.tally());
    }
}
