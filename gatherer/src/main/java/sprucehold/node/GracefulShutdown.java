package sprucehold.node;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.logging.Logger;
import sprucehold.clients.ClientServer;
import sprucehold.coordinator.QueryCoordinator;

/**
 * Graceful shutdown of a gatherer. It drains the gatherer in the phases of {@link
 * DrainStateMachine}. Once no client waits for an answer, it closes the listener and all client
 * connections, then the admin server, the extensions, the subscription to discovery and the event
 * loop monitor.
 */
final class GracefulShutdown {
    private static final Logger LOG = Logger.getLogger(GracefulShutdown.class.getName());

    private final Vertx vertx;
    private final Clock clock;
    private final QueryCoordinator coordinator;
    private final ClientServer clients;
    private final QueryIntake intake;
    private final EndpointSource endpoints;
    private final EventLoopMonitor monitor;
    private final NodeExtensions extensions;
    private final ConfigurationAdmin admin;
    private final DrainStatus drain;
    private Future<Void> ended;

    /**
     * Creates the shutdown of one gatherer.
     *
     * @param admin applies configuration changes while serving; null if these aren't enabled
     */
    GracefulShutdown(
            Vertx vertx,
            Clock clock,
            QueryCoordinator coordinator,
            ClientServer clients,
            QueryIntake intake,
            EndpointSource endpoints,
            EventLoopMonitor monitor,
            NodeExtensions extensions,
            ConfigurationAdmin admin,
            DrainStatus drain) {
        this.vertx = vertx;
        this.clock = clock;
        this.coordinator = coordinator;
        this.clients = clients;
        this.intake = intake;
        this.endpoints = endpoints;
        this.monitor = monitor;
        this.extensions = extensions;
        this.admin = admin;
        this.drain = drain;
    }

    /**
     * Starts the shutdown. A later call changes nothing and returns the same future.
     *
     * @param listening whether clients may have connected; if not, the drain is skipped, since no
     *     client waits for an answer
     */
    Future<Void> start(DrainSchedule schedule, boolean listening) {
        if (drain.started()) {
            return ended;
        }
        LOG.info(
                "draining: open_queries="
                        + coordinator.openQueryCount()
                        + ", client_connections="
                        + clients.connectionCount());
        drain.start(schedule, clock.now());
        if (admin != null) {
            admin.shuttingDown();
        }
        ended =
                (listening ? drain() : Future.<Void>succeededFuture())
                        .compose(drained -> clients.close())
                        .compose(closed -> closeAdmin())
                        .compose(closed -> extensions.stop())
                        .map(
                                closed -> {
                                    stop();
                                    return null;
                                });
        return ended;
    }

    /** Drains the gatherer; the future succeeds once no client waits for an answer. */
    private Future<Void> drain() {
        DrainStateMachine.Phase phase = drain.advance(clock.now(), outstanding());
        if (phase != DrainStateMachine.Phase.SERVING) {
            clients.drain();
            clients.closeIdleConnections();
        }
        return phase == DrainStateMachine.Phase.COMPLETE
                ? Future.succeededFuture()
                : vertx.timer(drain.nextCheckMs(clock.now())).compose(waited -> drain());
    }

    private DrainStateMachine.Outstanding outstanding() {
        return new DrainStateMachine.Outstanding(
                intake.openQueries(), clients.pendingAnswerCount(), clients.arrivingRequests());
    }

    private Future<Void> closeAdmin() {
        return admin == null ? Future.succeededFuture() : admin.close();
    }

    private void stop() {
        endpoints.stop();
        monitor.stop();
        LOG.info(
                "ended: queries_received="
                        + intake.received()
                        + ", open_queries="
                        + coordinator.openQueryCount()
                        + ", "
                        + monitor.summary()
                        + ", clients_gone_before_attempt="
                        + clients.clientsFoundDisconnected());
    }
}
