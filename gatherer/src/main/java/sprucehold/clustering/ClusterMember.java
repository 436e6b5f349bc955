package sprucehold.clustering;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
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
 * One gatherer among others: what happens at its node goes into what they know together, and what
 * comes of that into the node.
 */
public final class ClusterMember implements NodeExtension {
    private static final Logger LOG = Logger.getLogger(ClusterMember.class.getName());

    /**
     * A rate heard from another counts half after so long: about what a flood takes to come or go.
     */
    private static final double COUNT_HALF_MS = 5000;

    /**
     * How long after it was decided a dispatch may still be written. Each use counts longer by as
     * much, so no more than a busy event loop and a usual dial within an installation take; what
     * waits longer than that goes elsewhere.
     */
    private static final double PATIENCE_MS = 100;

    /** Room that has only grown is told this often, rather than with every call. */
    private static final double TELL_MS = 50;

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Vertx vertx;
    private final Clock clock;
    private final CoordinationSession session;
    private final AllowanceTable allowances;
    private final PeerMessaging messaging;
    private final String self;

    /** What the decisions believe, less what they have taken since. */
    private final Map<SharedLimit, Integer> believed = new HashMap<>();

    private ClusterView last = ClusterView.NONE;
    private double toldAt = Double.NEGATIVE_INFINITY;
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
        double counted = clock.monotonicMs();
        double wall = clock.wallMs();
        this.session =
                new CoordinationSession(
                        new SessionSettings(Map.of(), plan.messagesPerSecond(), COUNT_HALF_MS),
                        self,
                        own.site(),
                        (long) wall,
                        sites,
                        config.seed(),
                        counted,
                        wall);
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
                                        PATIENCE_MS,
                                        config.settings().connections().connectTimeoutMs()),
                                plan.maxClockDriftPpm() / 1e6,
                                plan.maxClockOffsetMs()),
                        session,
                        counted,
                        wall);
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
        double counted = clock.monotonicMs();
        double wall = clock.wallMs();
        allowances.tick(counted, wall);
        send(session.tick(counted, wall));
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

    private void send(List<CoordinationSession.Outgoing> letters) {
        letters.forEach(out -> messaging.send(out.to(), out.message()));
    }

    // ---- The node ----

    @Override
    public void queryReceived(double nowMs, Query query) {
        allowances.queryReceived(
                clock.monotonicMs(),
                query.tenant(),
                query.parts().stream().map(Query.Part::shard).toList());
    }

    @Override
    public void observed(double nowMs, Observation observation) {
        double counted = clock.monotonicMs();
        double wall = clock.wallMs();
        if (observation instanceof Observation.EndpointsUpdated list) {
            allowances.endpointsUpdated(
                    counted,
                    wall,
                    list.complete(),
                    list.updates().stream().map(ClusterMember::listing).toList());
        } else if (observation instanceof Observation.AttemptEnded ended) {
            boolean calledOff = ended.result() instanceof AttemptResult.Cancelled;
            // What was given up before its time tells nothing of the server.
            if (!calledOff || ended.attempt().ageMs(nowMs) >= ended.attempt().timeoutMs()) {
                allowances.attemptEnded(
                        counted,
                        wall,
                        ended.attempt().server().name(),
                        ended.result() instanceof AttemptResult.Completed);
            }
        }
    }

    private static Endpoint listing(EndpointUpdate news) {
        return new Endpoint(
                news.name(),
                news.replicaGroup(),
                news.zone(),
                news.startedAtMs(),
                switch (news.state()) {
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
                !now.allowances().keySet().equals(believed.keySet())
                        || now.allowances().entrySet().stream()
                                .anyMatch(one -> one.getValue() < believed.get(one.getKey()));
        boolean other =
                !now.failureScores().equals(last.failureScores())
                        || now.gatherers() != last.gatherers()
                        || !now.allowances().equals(believed);
        if (!less && (!other || nowMs - toldAt < TELL_MS)) {
            return null;
        }
        believed.clear();
        believed.putAll(now.allowances());
        last = now;
        toldAt = nowMs;
        return now;
    }

    @Override
    public BooleanSupplier consumeAllowance(double nowMs, Command.ConsumeAllowance use) {
        believed.computeIfPresent(use.limit(), (bound, units) -> units - use.units());
        Grant leave =
                allowances.consume(clock.monotonicMs(), clock.wallMs(), use.limit(), use.units());
        return leave == null
                ? null
                : () -> allowances.isValid(clock.monotonicMs(), clock.wallMs(), leave);
    }

    // ---- For operators ----

    @Override
    public JsonNode status() {
        CoordinationSession.Status status = session.status(clock.monotonicMs(), clock.wallMs());
        ObjectNode node =
                MAPPER.createObjectNode()
                        .put("name", self)
                        .put("there", session.aliveCount() + 1)
                        .put("superseded", status.superseded())
                        .put("cutOff", status.isolated())
                        .put("health", status.localHealth());
        ArrayNode members = node.putArray("members");
        for (MemberUpdate update : status.members()) {
            members.addObject()
                    .put("name", update.name())
                    .put("site", update.site())
                    .put("state", update.state().storedName().toLowerCase())
                    .put("life", update.generation())
                    .put("incarnation", update.incarnation());
        }
        ArrayNode bounds = node.putArray("bounds");
        status.limits()
                .forEach(
                        (bound, held) ->
                                bounds.addObject()
                                        .put("bound", bound)
                                        .put("home", held.ownUnits())
                                        .put("lent", held.lent())
                                        .put("borrowed", held.borrowed())
                                        .put("used", held.used())
                                        .put("free", held.free()));
        ArrayNode trouble = node.putArray("trouble");
        last.failureScores()
                .forEach(
                        (server, share) ->
                                trouble.addObject().put("server", server).put("trouble", share));
        PeerMessaging.Tally tally = messaging.tally();
        node.putObject("letters")
                .put("sent", tally.sent())
                .put("received", tally.received())
                .put("unsent", tally.dropped() + status.droppedMessages())
                .put("foreign", tally.foreign())
                .put("unread", tally.notRead());
        return node;
    }
}
