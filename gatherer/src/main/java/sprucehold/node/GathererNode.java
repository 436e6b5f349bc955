package sprucehold.node;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.internal.ContextInternal;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.Collectors;
import sprucehold.admin.AdminConfig;
import sprucehold.change.journal.JournalFile;
import sprucehold.clients.ClientServer;
import sprucehold.clients.ConnectionArrival;
import sprucehold.clients.QueryHandler;
import sprucehold.coordinator.Answer;
import sprucehold.coordinator.Attempt;
import sprucehold.coordinator.AttemptResult;
import sprucehold.coordinator.Commands;
import sprucehold.coordinator.Observation;
import sprucehold.coordinator.Query;
import sprucehold.coordinator.QueryCoordinator;
import sprucehold.coordinator.WriteProgress;
import sprucehold.decision.ClusterView;
import sprucehold.decision.Command;
import sprucehold.decision.DecisionPolicy;
import sprucehold.decision.Deployment;
import sprucehold.decision.QueryClass;
import sprucehold.discovery.EndpointWatch;
import sprucehold.shards.AttemptGate;
import sprucehold.shards.ShardServers;

/**
 * One gatherer: it carries what happens outside to the picker, and what the picker orders to the
 * network. All of it runs on the one event loop.
 */
final class GathererNode implements QueryHandler {
    private static final Logger LOG = Logger.getLogger(GathererNode.class.getName());
    private final Vertx vertx;
    private final NodeConfig config;
    private final Clock clock = new Clock();
    private final QueryCoordinator coordinator;
    private final ShardServers shards;
    private final EndpointWatch watch;
    private final ClientServer clients;
    private final Set<String> tableTypes;

    /** What was reported since the picker was last told. */
    private final List<Observation> reports = new ArrayList<>();

    /** Calls of the picker wait here until all that came in at one moment is read. */
    private final DecisionQueue calls = new DecisionQueue();

    private boolean carrying;
    private boolean due;

    /** The ids of scans among those calls. */
    private final Set<String> coming = new HashSet<>();

    private final Context context;
    private final SocketPasses passes;
    private boolean hasList;

    /** How it ends; null while it serves. */
    private Drain drain;

    private Drain.Phase phase;
    private Future<Void> ended;

    /** Clients may come from now on; before, nothing is owed to anybody. */
    private boolean listens;

    private final DecisionTimer timer;
    private boolean tickDue;
    private double nextTickAt = Double.POSITIVE_INFINITY;
    private long scansTaken;

    /** Through which its facts are changed while it serves; null where that isn't switched on. */
    private final ConfigurationAdmin admin;

    /** What stands beside it. */
    private final List<NodeExtension> neighbours;

    /**
     * @param plan where operators change its configuration, or null
     * @param beside makes what stands beside it
     */
    GathererNode(
            Vertx vertx,
            NodeConfig config,
            DecisionPolicy.Factory factory,
            AdminConfig plan,
            List<NodeExtension.Factory> beside)
            throws IOException {
        this(
                vertx,
                config,
                factory,
                plan == null ? null : ConfigurationAdmin.journalOf(plan),
                plan,
                beside);
    }

    GathererNode(Vertx vertx, NodeConfig config, DecisionPolicy.Factory factory) {
        this(vertx, config, factory, null, null, List.of());
    }

    private GathererNode(
            Vertx vertx,
            NodeConfig config,
            DecisionPolicy.Factory factory,
            JournalFile journal,
            AdminConfig plan,
            List<NodeExtension.Factory> beside) {
        this.vertx = vertx;
        this.context = vertx.getOrCreateContext();
        this.passes = new SocketPasses(clock::now, this::schedule);
        this.timer =
                new DecisionTimer(
                        vertx,
                        clock::now,
                        () -> {
                            tickDue = true;
                            runSoon();
                        });
        this.config = config;
        var deployment = config.facts().deployment();
        this.tableTypes =
                deployment.queryClasses().stream()
                        .map(QueryClass::name)
                        .collect(Collectors.toSet());
        this.admin =
                plan == null
                        ? null
                        : new ConfigurationAdmin(
                                vertx, config, plan, journal, clock, this::applied);
        DecisionPolicy.Factory behind = admin == null ? factory : admin.behindWords(factory);
        this.coordinator =
                new QueryCoordinator(behind.start(config.seed(), deployment), deployment);
        this.shards =
                new ShardServers(
                        vertx,
                        config.facts().connections(),
                        deployment.layout().partsPerCall(),
                        config.facts().loadByHealthCheck(),
                        clock::now,
                        this::report,
                        gate());
        this.watch =
                new EndpointWatch(
                        vertx,
                        config.discovery().host(),
                        config.discovery().port(),
                        deployment.layout().replicaGroups(),
                        deployment.endpointSubscription().mustSubscribe(),
                        deployment.endpointSubscription().maxPollIntervalMs(),
                        clock::now,
                        this::report);
        this.clients =
                new ClientServer(
                        vertx, config.facts().shards(), config.sockets() / 2, this, clock::now);
        this.neighbours = beside.stream().map(one -> one.beside(vertx, config, clock)).toList();
    }

    /**
     * Returns the port on which clients are served. It listens only once its list is checked: what
     * it knows from before may be out of date, and what discovery's agent has counts as told from a
     * process's first moment.
     */
    Future<Integer> start() {
        LOG.info(config.summary());
        return firstList()
                .compose(checked -> stillWanted())
                .compose(wanted -> openAdmin())
                .compose(
                        opened ->
                                Future.all(neighbours.stream().map(NodeExtension::start).toList()))
                .compose(begun -> stillWanted())
                .compose(
                        wanted -> {
                            listens = true;
                            return clients.listen(config.listen().socket());
                        })
                .map(
                        server -> {
                            LOG.info("listening at " + config.listen());
                            return server.actualPort();
                        });
    }

    private Future<Void> stillWanted() {
        return drain == null
                ? Future.succeededFuture()
                : Future.failedFuture("told to end before it listened");
    }

    /** Where discovery is silent, the list that is known from before is better than none. */
    private Future<Void> firstList() {
        boolean alone = config.discovery().equals(NodeConfig.Address.NONE);
        if (alone) {
            watch.stop();
        }
        return (alone ? Future.<Void>succeededFuture() : watch.start())
                .map(
                        asked -> {
                            if (!hasList && config.known() != null) {
                                report(
                                        new Observation.EndpointsUpdated(
                                                true, config.known().servers()));
                            }
                            return null;
                        });
    }

    @Override
    public boolean ready() {
        return hasList && drain == null;
    }

    @Override
    public boolean isQueryClass(String name) {
        return admin == null ? tableTypes.contains(name) : admin.isTableType(name);
    }

    @Override
    public boolean isOpen(Query query) {
        return coming.contains(query.id()) || coordinator.isOpen(query);
    }

    @Override
    public double unreadSince(double nowMs, ConnectionArrival arrival) {
        return passes.unreadSince(nowMs, arrival);
    }

    @Override
    public void receive(Query query) {
        scansTaken++;
        QueryLog.taken(query);
        if (phase == Drain.Phase.TURNING_AWAY || phase == Drain.Phase.OVER) {
            clients.answer(query, new Answer.Rejected(0));
            return;
        }
        double most = drain == null ? Double.POSITIVE_INFINITY : drain.timeLeftMs(clock.now());
        coming.add(query.id());
        neighbours.forEach(one -> one.taken(clock.now(), query));
        if (admin != null) {
            admin.taken(query);
        }
        double takenAt = clock.now();
        soon(
                () -> {
                    double now = clock.now();
                    // Whoever left meanwhile gets no work done, and what has passed meanwhile is no
                    // longer left to the client.
                    return coming.remove(query.id())
                            ? coordinator.submit(
                                    now,
                                    query,
                                    Math.min(most, query.timeLeftMs()) - (now - takenAt))
                            : coordinator.observe(now, List.of());
                });
    }

    @Override
    public void disconnected(Query query) {
        QueryLog.left(query);
        if (admin != null) {
            admin.left(query);
        }
        if (!coming.remove(query.id())) {
            report(new Observation.ClientDisconnected(query));
        }
    }

    private void report(Observation observation) {
        if (observation instanceof Observation.EndpointsUpdated && !hasList) {
            hasList = true;
            LOG.info("ready: a list of shard servers is held");
        }
        QueryLog.reported(observation, clock.now());
        neighbours.forEach(one -> one.reported(clock.now(), observation));
        reports.add(observation);
        if (!carrying) {
            runSoon();
        }
    }

    private Commands reported() {
        List<Observation> batch = List.copyOf(reports);
        reports.clear();
        return coordinator.observe(clock.now(), batch);
    }

    private AttemptGate gate() {
        return new AttemptGate() {
            @Override
            public boolean clientWaits(Query query) {
                return clients.clientWaits(query);
            }

            @Override
            public void begun(Attempt attempt) {
                QueryLog.begun(attempt, clock.now());
            }

            @Override
            public void turnWanted() {
                runSoon();
            }
        };
    }

    /** Calls the picker in the next turn. */
    private void soon(Supplier<Commands> call) {
        calls.add(call);
        if (!carrying) {
            runSoon();
        }
    }

    /**
     * Has the decisions take a turn once this pass over the sockets is through, and a whole further
     * one. What one socket brings mustn't be decided upon while what came with it lies unread on
     * others, or behind it: answers would look late, and the end of a stream is only read in the
     * pass after the bytes before it.
     */
    private void runSoon() {
        if (!due) {
            due = true;
            context.runOnContext(
                    none ->
                            passes.afterNextPass(
                                    () -> {
                                        due = false;
                                        run();
                                    }));
        }
    }

    private void run() {
        carrying = true;
        nextTickAt = timer.at();
        try {
            turn();
        } catch (RuntimeException e) {
            LOG.log(Level.SEVERE, "panic: orders could not be carried out", e);
            nextTickAt = clock.now();
        } finally {
            carrying = false;
        }
        if (!calls.isEmpty() || !reports.isEmpty()) {
            runSoon();
        }
        timer.arm(nextTickAt);
    }

    /**
     * What happened is told before anything new is begun, so that nothing is sent on for a client
     * that has left.
     */
    private void turn() {
        decideOnReports();
        guarded(shards::writeWaiting);
        if (tickDue) {
            tickDue = false;
            decide(() -> coordinator.tick(clock.now()));
        }
        calls.beginTurn(clock.now());
        for (Supplier<Commands> call = calls.next(clock.now());
                call != null;
                call = calls.next(clock.now())) {
            decide(call);
            decideOnReports();
        }
    }

    private void decideOnReports() {
        if (!reports.isEmpty()) {
            decide(this::reported);
        }
    }

    private void decide(Supplier<Commands> call) {
        hear();
        Commands commands = call.get();
        nextTickAt = commands.nextTickAtMs();
        carryOut(commands);
    }

    /** A task's timer, even one of no delay, fires after the sockets were read once more. */
    private void schedule(long delayMs, Runnable work) {
        ((ContextInternal) context)
                .nettyEventLoop()
                .schedule(
                        () -> context.runOnContext(none -> work.run()),
                        delayMs,
                        TimeUnit.MILLISECONDS);
    }

    /** What neighbours know by now, before the decisions are asked. */
    private void hear() {
        for (NodeExtension one : neighbours) {
            ClusterView told = one.told(clock.now());
            if (told != null) {
                coordinator.changeClusterView(told);
            }
        }
    }

    /**
     * Each order stands alone: one that can't be carried out must not lose an answer that is owed
     * to a client.
     */
    private void carryOut(Commands commands) {
        guarded(() -> shards.cancel(commands.cancel()));
        guarded(
                () ->
                        shards.send(
                                neighbours.isEmpty()
                                        ? commands.send()
                                        : permitted(commands.send())));
        guarded(
                () ->
                        commands.consumed()
                                .forEach(
                                        use ->
                                                neighbours.forEach(
                                                        one -> one.use(clock.now(), use))));
        commands.replies().forEach(reply -> guarded(() -> reply(reply)));
        guarded(() -> shards.checkHealth(commands.healthChecks()));
        commands.logMessages().forEach(LOG::info);
        if (commands.subscribe()) {
            guarded(watch::poll);
        }
    }

    private void guarded(Runnable order) {
        try {
            order.run();
        } catch (RuntimeException e) {
            LOG.log(Level.SEVERE, "panic: an order could not be carried out", e);
            // Whatever the decisions wait for may never be told: they look again at once.
            nextTickAt = clock.now();
        }
    }

    private void reply(Commands.Reply reply) {
        if (admin != null) {
            admin.answered(reply.query(), reply.answer());
        }
        QueryLog.ended(reply);
        clients.answer(reply.query(), reply.answer());
    }

    /**
     * Those that still have what they take of shared bounds; the others are not sent, and told of
     * as such.
     */
    private List<Attempt> permitted(List<Attempt> dispatches) {
        var send = new ArrayList<Attempt>();
        for (Attempt attempt : dispatches) {
            var leaves = new ArrayList<BooleanSupplier>();
            for (Command.ConsumeAllowance use : attempt.consumed()) {
                neighbours.forEach(one -> leaves.add(one.use(clock.now(), use)));
            }
            if (leaves.contains(null)) {
                report(
                        new Observation.AttemptEnded(
                                attempt, new AttemptResult.Cancelled(WriteProgress.NOT_WRITTEN)));
                continue;
            }
            if (!leaves.isEmpty()) {
                attempt.requirePermission(
                        () -> leaves.stream().allMatch(BooleanSupplier::getAsBoolean));
            }
            neighbours.forEach(one -> one.sent(clock.now(), attempt));
            send.add(attempt);
        }
        return send;
    }

    /** What operators may see of each neighbour, by its name. */
    private Map<String, Supplier<JsonNode>> views() {
        var views = new LinkedHashMap<String, Supplier<JsonNode>>();
        neighbours.forEach(one -> views.put(one.name(), one::status));
        return views;
    }

    private void applied(Deployment deployment) {
        soon(() -> coordinator.changeDeployment(clock.now(), deployment));
    }

    private Future<Integer> openAdmin() {
        return admin == null
                ? Future.succeededFuture(0)
                : admin.open(views(), coordinator::openItems);
    }

    /** The port at which its facts are changed, 0 where that isn't switched on. */
    int adminPort() {
        return admin == null ? 0 : admin.port();
    }

    private Future<Void> closeAdmin() {
        return admin == null ? Future.succeededFuture() : admin.close();
    }

    /**
     * Follows the list at the address that the configuration names now; nothing else of it is taken
     * while serving.
     */
    void reconfigure(NodeConfig now) {
        watch.moveTo(now.discovery().host(), now.discovery().port());
    }

    /**
     * Ends the gatherer once nothing is owed to anybody, as {@link Drain} says; asked again, it
     * ends no other way.
     */
    Future<Void> end(DrainSchedule how) {
        if (drain != null) {
            return ended;
        }
        LOG.info(
                "draining: "
                        + coordinator.openQueries()
                        + " scans open, "
                        + clients.connections()
                        + " client connections");
        drain = new Drain(how, clock.now());
        phase = Drain.Phase.SERVING_ON;
        if (admin != null) {
            admin.ending();
        }
        ended =
                (listens ? drained() : Future.<Void>succeededFuture())
                        .compose(done -> clients.close())
                        .compose(done -> closeAdmin())
                        .compose(
                                done ->
                                        Future.join(
                                                        neighbours.stream()
                                                                .map(NodeExtension::end)
                                                                .toList())
                                                .otherwiseEmpty())
                        .map(
                                closed -> {
                                    watch.stop();
                                    passes.stop();
                                    LOG.info(
                                            "end: "
                                                    + scansTaken
                                                    + " scans taken, "
                                                    + coordinator.openQueries()
                                                    + " left open, "
                                                    + passes.summary()
                                                    + ", "
                                                    + clients.clientsFoundGone()
                                                    + " clients found gone right before an attempt");
                                    return null;
                                });
        return ended;
    }

    private Future<Void> drained() {
        phase =
                drain.phase(
                        clock.now(),
                        new Drain.Owed(
                                coordinator.openQueries() + coming.size(),
                                clients.pendingAnswers(),
                                clients.arrivingRequests()));
        if (phase != Drain.Phase.SERVING_ON) {
            clients.drain();
            clients.closeIdleConnections();
        }
        return phase == Drain.Phase.OVER
                ? Future.succeededFuture()
                : vertx.timer(drain.lookAgainMs(clock.now())).compose(waited -> drained());
    }
}
