package sprucehold.node;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.internal.ContextInternal;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;
import sprucehold.admin.AdminConfig;
import sprucehold.change.journal.JournalFile;
import sprucehold.clients.ClientServer;
import sprucehold.coordinator.Answer;
import sprucehold.coordinator.Attempt;
import sprucehold.coordinator.Observation;
import sprucehold.coordinator.Query;
import sprucehold.coordinator.QueryCoordinator;
import sprucehold.decision.DecisionPolicy;
import sprucehold.decision.Deployment;
import sprucehold.shards.AttemptGate;
import sprucehold.shards.ShardServers;

/**
 * One gatherer: wires its parts and starts and ends them. All of it runs on the one event loop.
 *
 * <ul>
 *   <li>{@link QueryIntake} takes queries from {@link ClientServer};
 *   <li>{@link DecisionLoop} calls the decisions with queries and observations;
 *   <li>{@link CommandExecutor} carries out what they command;
 *   <li>{@link EndpointSource} follows the endpoint list;
 *   <li>{@link GracefulShutdown} drains and ends it.
 * </ul>
 */
final class GathererNode {
    private static final Logger LOG = Logger.getLogger(GathererNode.class.getName());

    private final NodeConfig config;
    private final Clock clock;
    private final Context context;
    private final EventLoopMonitor monitor;
    private final NodeExtensions extensions;
    private final ConfigurationAdmin admin;
    private final QueryCoordinator coordinator;
    private final DecisionLoop decisions;
    private final EndpointSource endpoints;
    private final QueryIntake intake;
    private final ClientServer clients;
    private final DrainStatus drain = new DrainStatus();
    private final GracefulShutdown shutdown;

    /** Clients may connect from now on; before, nothing is owed to anybody. */
    private boolean listening;

    /**
     * Makes a gatherer.
     *
     * @param adminConfig where operators change its configuration, or null
     * @param extensionFactories make its extensions
     * @throws IOException if the journal of configuration versions can't be opened
     * @throws StartFailedException if an extension doesn't fit the configuration
     */
    GathererNode(
            Vertx vertx,
            NodeConfig config,
            DecisionPolicy.Factory policyFactory,
            AdminConfig adminConfig,
            List<NodeExtension.Factory> extensionFactories)
            throws IOException, StartFailedException {
        this(vertx, config, policyFactory, adminConfig, extensionFactories, new Clock());
    }

    private GathererNode(
            Vertx vertx,
            NodeConfig config,
            DecisionPolicy.Factory policyFactory,
            AdminConfig adminConfig,
            List<NodeExtension.Factory> extensionFactories,
            Clock clock)
            throws IOException, StartFailedException {
        this(
                vertx,
                config,
                policyFactory,
                adminConfig,
                adminConfig == null ? null : ConfigurationAdmin.journalOf(adminConfig),
                NodeExtensions.create(extensionFactories, vertx, config, clock),
                clock);
    }

    /** Makes a gatherer without admin server and extensions. */
    GathererNode(Vertx vertx, NodeConfig config, DecisionPolicy.Factory policyFactory) {
        this(vertx, config, policyFactory, null, null, NodeExtensions.NONE, new Clock());
    }

    private GathererNode(
            Vertx vertx,
            NodeConfig config,
            DecisionPolicy.Factory policyFactory,
            AdminConfig adminConfig,
            JournalFile journal,
            NodeExtensions extensions,
            Clock clock) {
        this.config = config;
        this.clock = clock;
        this.context = vertx.getOrCreateContext();
        this.monitor = new EventLoopMonitor(clock::now, this::scheduleAfterSocketReads);
        this.extensions = extensions;
        this.admin =
                adminConfig == null
                        ? null
                        : new ConfigurationAdmin(
                                vertx, config, adminConfig, journal, clock, this::apply);
        this.coordinator = coordinator(policyFactory);
        this.decisions = new DecisionLoop(vertx, clock, monitor, coordinator, extensions);
        this.endpoints = new EndpointSource(vertx, config, clock, this::observe);
        this.intake =
                new QueryIntake(
                        config,
                        clock,
                        coordinator,
                        decisions,
                        monitor,
                        endpoints,
                        drain,
                        extensions,
                        admin,
                        this::observe,
                        this::answer);
        this.clients =
                new ClientServer(
                        vertx,
                        config.settings().shards(),
                        config.maxDescriptors() / 2,
                        intake,
                        clock::now);
        decisions.executeWith(
                new CommandExecutor(
                        shardServers(vertx), clients, endpoints, extensions, admin, this::observe));
        this.shutdown =
                new GracefulShutdown(
                        vertx,
                        clock,
                        coordinator,
                        clients,
                        intake,
                        endpoints,
                        monitor,
                        extensions,
                        admin,
                        drain);
    }

    private QueryCoordinator coordinator(DecisionPolicy.Factory policyFactory) {
        Deployment deployment = config.settings().deployment();
        DecisionPolicy.Factory factory =
                admin == null ? policyFactory : admin.withOverrides(policyFactory);
        return new QueryCoordinator(factory.start(config.seed(), deployment), deployment);
    }

    private ShardServers shardServers(Vertx vertx) {
        return new ShardServers(
                vertx,
                config.settings().connections(),
                config.settings().deployment().layout().partsPerCall(),
                config.settings().loadByHealthCheck(),
                clock::now,
                this::observe,
                attemptGate());
    }

    private AttemptGate attemptGate() {
        return new AttemptGate() {
            @Override
            public boolean clientWaits(Query query) {
                return clients.clientWaits(query);
            }

            @Override
            public void begun(Attempt attempt) {
                QueryLog.attemptStarting(attempt, clock.now());
            }

            @Override
            public void turnWanted() {
                decisions.requestTurn();
            }
        };
    }

    /** A task's timer, even one of no delay, fires after the sockets were read once more. */
    private void scheduleAfterSocketReads(long delayMs, Runnable work) {
        // Nothing to await: the timer only hands the work to the context, which takes its
        // exceptions.
        var unused =
                ((ContextInternal) context)
                        .nettyEventLoop()
                        .schedule(
                                () -> context.runOnContext(none -> work.run()),
                                delayMs,
                                TimeUnit.MILLISECONDS);
    }

    /**
     * Returns the port on which clients are served. It listens only once its endpoint list is
     * checked: the one known from before may be out of date, and what discovery's agent holds
     * counts as known to a process from its first moment on.
     */
    Future<Integer> start() {
        LOG.info(config.summary());
        return endpoints
                .start()
                .compose(checked -> failIfEnding())
                .compose(wanted -> openAdmin())
                .compose(opened -> extensions.start())
                .compose(started -> failIfEnding())
                .compose(
                        wanted -> {
                            listening = true;
                            return clients.listen(config.listen().socket());
                        })
                .map(
                        server -> {
                            LOG.info("listening at " + config.listen());
                            return server.actualPort();
                        });
    }

    private Future<Void> failIfEnding() {
        return drain.started()
                ? Future.failedFuture(new StartFailedException("told to end before it listened"))
                : Future.succeededFuture();
    }

    private Future<Integer> openAdmin() {
        return admin == null
                ? Future.succeededFuture(0)
                : admin.open(extensions.statuses(), coordinator::openItems);
    }

    /** Whether queries are served: an endpoint list is there, and the gatherer isn't ending. */
    boolean ready() {
        return intake.ready();
    }

    /** The port of the admin server, 0 where it isn't switched on. */
    int adminPort() {
        return admin == null ? 0 : admin.port();
    }

    private void observe(Observation observation) {
        endpoints.observed(observation);
        QueryLog.observed(observation, clock.now());
        extensions.observed(observation);
        decisions.observe(observation);
    }

    private void answer(Query query, Answer answer) {
        clients.answer(query, answer);
    }

    private void apply(Deployment deployment) {
        decisions.call(() -> coordinator.changeDeployment(clock.now(), deployment));
    }

    /**
     * Follows discovery at the address that the configuration names now, and takes no other part of
     * it.
     */
    void reconfigure(NodeConfig now) {
        endpoints.move(now.discovery());
    }

    /**
     * Ends the gatherer once nothing is owed to any client; a later call with another schedule
     * changes nothing and returns the same future.
     */
    Future<Void> end(DrainSchedule schedule) {
        return shutdown.start(schedule, listening);
    }
}
