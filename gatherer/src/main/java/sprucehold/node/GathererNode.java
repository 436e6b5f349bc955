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
import sprucehold.shards.AttemptWriteCallbacks;
import sprucehold.shards.ShardServers;

/**
 * One gatherer: creates its components, connects them, and starts and ends them. All of them run on
 * the same event loop.
 *
 * <ul>
 *   <li>{@link QueryIntake} receives queries from {@link ClientServer};
 *   <li>{@link DecisionLoop} calls the query coordinator with queries and observations;
 *   <li>{@link CommandExecutor} executes the commands of the query coordinator;
 *   <li>{@link EndpointSource} receives the endpoint list;
 *   <li>{@link GracefulShutdown} drains and shuts down the gatherer.
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

    /** Whether clients may have connected; before that no client can wait for an answer. */
    private boolean listening;

    /**
     * Creates a gatherer.
     *
     * @param adminConfig the configuration of the admin server; null for a gatherer without one
     * @param extensionFactories the factories of the gatherer's extensions
     * @throws IOException if the journal of configuration versions can't be opened
     * @throws StartFailedException if an extension isn't compatible with the configuration
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

    /** Creates a gatherer without admin server and extensions. */
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
        decisions.setExecutor(
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
        return new QueryCoordinator(factory.create(config.seed(), deployment), deployment);
    }

    private ShardServers shardServers(Vertx vertx) {
        return new ShardServers(
                vertx,
                config.settings().connections(),
                config.settings().deployment().layout().partsPerCall(),
                config.settings().loadByHealthCheck(),
                clock::now,
                this::observe,
                attemptWriteCallbacks());
    }

    private AttemptWriteCallbacks attemptWriteCallbacks() {
        return new AttemptWriteCallbacks() {
            @Override
            public boolean isClientConnected(Query query) {
                return clients.isClientConnected(query);
            }

            @Override
            public void attemptWritten(Attempt attempt) {
                QueryLog.attemptStarting(attempt, clock.now());
            }

            @Override
            public void turnRequested() {
                decisions.requestTurn();
            }
        };
    }

    /**
     * Schedules work on the event loop after a delay. A timer that a task sets fires only after the
     * sockets were read once more, even if its delay is 0.
     */
    private void scheduleAfterSocketReads(long delayMs, Runnable work) {
        // The result of the timer is unused: the timer only submits the work to the context, which
        // handles the exceptions of the work.
        var unused =
                ((ContextInternal) context)
                        .nettyEventLoop()
                        .schedule(
                                () -> context.runOnContext(none -> work.run()),
                                delayMs,
                                TimeUnit.MILLISECONDS);
    }

    /**
     * Starts the gatherer and returns the port on which it serves clients. The gatherer listens
     * only after its first request to discovery has been answered, has failed or has timed out,
     * since the configured endpoint list may be out of date. The list that discovery's agent has
     * counts as received by the gatherer as soon as its process has started, even before the
     * gatherer has requested the list. So no new attempt may be sent to a server that is draining
     * in the agent's list, even if the server is running in the configured list.
     */
    Future<Integer> start() {
        LOG.info(config.summary());
        return endpoints
                .start()
                .compose(checked -> failIfEnding())
                .compose(notEnding -> openAdmin())
                .compose(opened -> extensions.start())
                .compose(started -> failIfEnding())
                .compose(
                        notEnding -> {
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
                ? Future.failedFuture(
                        new StartFailedException("shutdown requested before the gatherer listened"))
                : Future.succeededFuture();
    }

    private Future<Integer> openAdmin() {
        return admin == null
                ? Future.succeededFuture(0)
                : admin.open(extensions.statuses(), coordinator::openQueriesAndParts);
    }

    /**
     * Whether queries are served: an endpoint list was received, and the gatherer isn't shutting
     * down.
     */
    boolean ready() {
        return intake.isReady();
    }

    /** Returns the port of the admin server; 0 if it isn't enabled. */
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
        decisions.call(() -> coordinator.updateDeployment(clock.now(), deployment));
    }

    /**
     * Switches to the discovery address of a new configuration; ignores all other settings in it.
     */
    void reconfigure(NodeConfig newConfig) {
        endpoints.changeDiscoveryAddress(newConfig.discovery());
    }

    /**
     * Ends the gatherer once no client waits for an answer. A later call with another schedule
     * changes nothing and returns the same future.
     */
    Future<Void> end(DrainSchedule schedule) {
        return shutdown.start(schedule, listening);
    }
}
