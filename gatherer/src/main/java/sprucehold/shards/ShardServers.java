package sprucehold.shards;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.logging.Logger;
import sprucehold.coordinator.Attempt;
import sprucehold.coordinator.AttemptResult;
import sprucehold.coordinator.Observation;
import sprucehold.coordinator.Query;
import sprucehold.coordinator.ShardServer;
import sprucehold.coordinator.WriteProgress;
import sprucehold.deployment.ConnectionSettings;

/**
 * Connections to all shard servers. Each shard server has one connection, and gets a further one
 * only when no existing connection can take a call. Each attempt sent ends with exactly one {@link
 * Observation.AttemptEnded}, and each health check with exactly one {@link
 * Observation.HealthCheckEnded}. Runs on one event loop.
 */
public final class ShardServers {
    private static final Logger LOG = Logger.getLogger(ShardServers.class.getName());

    /**
     * Margin, in multiples of the connect timeout, between closing an idle connection and the idle
     * timeout of the shard server. It covers the network delay and the interval between sweeps.
     */
    private static final int IDLE_RESERVE_TIMEOUTS = 2;

    /** Maximum idle time that closes every idle connection, however short it has been idle. */
    private static final double NO_IDLE_TIME_MS = -1;

    private final Vertx vertx;
    private final NetClient client;
    private final ConnectionSettings settings;
    private final int maxPartsPerCall;
    private final boolean loadByHealthCheck;
    private final DoubleSupplier clock;
    private final Consumer<Observation> observations;
    private final AttemptWriteCallbacks writeCallbacks;
    private final Map<ShardServer, ServerConnections> connectionsByServer = new HashMap<>();

    /** Connections whose waiting attempts can be written in the next turn of the decision loop. */
    private final Set<ShardConnection> writable = new LinkedHashSet<>();

    /** Connections whose latest answer is to be confirmed in the next turn of the decision loop. */
    private final Set<ShardConnection> unconfirmed = new LinkedHashSet<>();

    /** Connections to one shard server. */
    private final class ServerConnections implements ShardConnection.Owner {
        final ShardServer server;
        final List<ShardConnection> connections = new ArrayList<>();

        /**
         * Whether the last connect failed. Its failure is logged once until a connection is
         * established again.
         */
        boolean unreachable;

        ServerConnections(ShardServer server) {
            this.server = server;
        }

        @Override
        public double nowMs() {
            return clock.getAsDouble();
        }

        @Override
        public boolean isClientConnected(Query query) {
            return writeCallbacks.isClientConnected(query);
        }

        @Override
        public void attemptWritten(Attempt attempt) {
            writeCallbacks.attemptWritten(attempt);
        }

        @Override
        public void attemptEnded(Attempt attempt, AttemptResult result) {
            observations.accept(new Observation.AttemptEnded(attempt, result));
        }

        @Override
        public void answerDisproved(Attempt attempt) {
            observations.accept(new Observation.AnswerDisproved(attempt));
        }

        @Override
        public void confirmationRequested(ShardConnection connection) {
            unconfirmed.add(connection);
            writeCallbacks.turnRequested();
        }

        @Override
        public void confirmationRequestedLater(ShardConnection connection) {
            long delayMs = (long) Math.ceil(FrameReader.EXCESS_WAIT_MS);
            vertx.setTimer(delayMs, timer -> confirmationRequested(connection));
        }

        @Override
        public void healthCheckEnded(AttemptResult result, double durationMs) {
            observations.accept(new Observation.HealthCheckEnded(server, result, durationMs));
        }

        @Override
        public void connectionEstablished() {
            if (unreachable) {
                unreachable = false;
                LOG.info("shard server reachable again: " + server);
            }
        }

        @Override
        public void writeTurnRequested(ShardConnection connection) {
            writable.add(connection);
            writeCallbacks.turnRequested();
        }

        @Override
        public void closed(ShardConnection connection, boolean connectFailed, String reason) {
            connections.remove(connection);
            if (connectFailed && !unreachable) {
                unreachable = true;
                LOG.warning("shard server unreachable: " + server + ", " + reason);
            }
        }

        /** Returns a connection that can take the call: an existing one or a new one. */
        ShardConnection connectionFor(List<Attempt> call) {
            for (ShardConnection connection : List.copyOf(connections)) {
                if (connection.address().equals(server.address())
                        && connection.canTake(call)
                        && connection.isStillOpen()) {
                    return connection;
                }
            }
            var connection =
                    new ShardConnection(
                            this, server.address(), settings.maxPartsInFlight(), loadByHealthCheck);
            connections.add(connection);
            connection.setPendingConnect(connect(server.address()));
            return connection;
        }
    }

    /** Shard server and query of a group of attempts that are sent together. */
    private record Destination(ShardServer server, Query query) {}

    /**
     * @param vertx Vert.x instance; all methods are called on its event loop
     * @param settings timeouts and limits of the connections
     * @param maxPartsPerCall maximum number of parts of one query in a call
     * @param loadByHealthCheck whether health checks ask for a load report
     * @param clock current time in milliseconds
     * @param observations receives the results of attempts and health checks
     * @param writeCallbacks called directly before and after the write of an attempt, and when
     *     waiting attempts can be written
     */
    public ShardServers(
            Vertx vertx,
            ConnectionSettings settings,
            int maxPartsPerCall,
            boolean loadByHealthCheck,
            DoubleSupplier clock,
            Consumer<Observation> observations,
            AttemptWriteCallbacks writeCallbacks) {
        this.vertx = vertx;
        this.writeCallbacks = writeCallbacks;
        this.settings = settings;
        this.maxPartsPerCall = maxPartsPerCall;
        this.loadByHealthCheck = loadByHealthCheck;
        this.clock = clock;
        this.observations = observations;
        int connectTimeoutMs = Math.max(1, (int) settings.connectTimeoutMs());
        this.client =
                vertx.createNetClient(
                        new NetClientOptions()
                                .setConnectTimeout(connectTimeoutMs)
                                .setTcpNoDelay(true));
        vertx.setPeriodic(connectTimeoutMs, timer -> sweep(connectTimeoutMs));
    }

    private Future<NetSocket> connect(String address) {
        if (address.startsWith("/")) {
            return client.connect(SocketAddress.domainSocketAddress(address));
        }
        int colon = address.lastIndexOf(':');
        return client.connect(
                SocketAddress.inetSocketAddress(
                        Integer.parseInt(address.substring(colon + 1)),
                        address.substring(0, colon)));
    }

    /**
     * Checks all connections. Idle connections are closed well before the shard server may close
     * them. A shard server that no longer runs according to the endpoint list gets no more
     * attempts, so its idle connections are closed at once to free their file descriptors.
     */
    void sweep(double connectTimeoutMs) {
        double maxIdleMs = settings.idleTimeoutMs() - IDLE_RESERVE_TIMEOUTS * connectTimeoutMs;
        for (ServerConnections target : connectionsByServer.values()) {
            double idleMs = target.server.isRunning() ? maxIdleMs : NO_IDLE_TIME_MS;
            List.copyOf(target.connections)
                    .forEach(connection -> connection.sweep(connectTimeoutMs, idleMs));
        }
        connectionsByServer
                .values()
                .removeIf(target -> target.connections.isEmpty() && !target.server.isRunning());
    }

    /**
     * Sends attempts that were decided together. Attempts of one query to one shard server share
     * calls.
     */
    public void send(List<Attempt> attempts) {
        var byDestination = new LinkedHashMap<Destination, List<Attempt>>();
        for (Attempt attempt : attempts) {
            byDestination
                    .computeIfAbsent(
                            new Destination(attempt.server(), attempt.query()),
                            key -> new ArrayList<>())
                    .add(attempt);
        }
        byDestination.forEach(this::sendInCalls);
    }

    private void sendInCalls(Destination destination, List<Attempt> attempts) {
        int maxParts = Math.min(maxPartsPerCall, settings.maxPartsInFlight());
        for (int from = 0; from < attempts.size(); from += maxParts) {
            List<Attempt> call = attempts.subList(from, Math.min(attempts.size(), from + maxParts));
            if (destination.server.isRunning()) {
                connectionsByServer
                        .computeIfAbsent(destination.server, ServerConnections::new)
                        .connectionFor(call)
                        .send(call);
            } else {
                call.forEach(this::reportNotWritten);
            }
        }
    }

    private void reportNotWritten(Attempt attempt) {
        observations.accept(
                new Observation.AttemptEnded(
                        attempt, new AttemptResult.ConnectionLost(WriteProgress.NOT_WRITTEN)));
    }

    /**
     * Passes on the answers that are confirmed by now. Must be called at the start of a turn of the
     * decision loop, before the decisions on observations.
     */
    public void confirmAnswers() {
        List<ShardConnection> connections = List.copyOf(unconfirmed);
        unconfirmed.clear();
        connections.forEach(ShardConnection::confirmAnswers);
    }

    /**
     * Writes attempts that waited for a connection. Must be called in a turn of the decision loop,
     * after all input received before the turn began has been processed.
     */
    public void writeWaiting() {
        List<ShardConnection> connections = List.copyOf(writable);
        writable.clear();
        connections.stream()
                .filter(ShardConnection::isStillOpen)
                .forEach(ShardConnection::writeWaiting);
    }

    /** Cancels attempts. */
    public void cancel(List<Attempt> attempts) {
        for (Attempt attempt : attempts) {
            ServerConnections target = connectionsByServer.get(attempt.server());
            boolean found =
                    target != null
                            && List.copyOf(target.connections).stream()
                                    .anyMatch(connection -> connection.cancel(attempt));
            if (!found) {
                // An attempt whose end has not been reported is on a connection, except after a
                // panic. It is unknown then whether the attempt was written, so it is reported as
                // written.
                observations.accept(
                        new Observation.AttemptEnded(
                                attempt, new AttemptResult.Cancelled(WriteProgress.WRITTEN)));
            }
        }
    }

    /** Sends health checks to shard servers. */
    public void checkHealth(List<ShardServer> servers) {
        for (ShardServer server : servers) {
            connectionsByServer
                    .computeIfAbsent(server, ServerConnections::new)
                    .connectionFor(List.of())
                    .checkHealth();
        }
    }

    /** Returns the number of connections that are open or being established. */
    public int connections() {
        return connectionsByServer.values().stream()
                .mapToInt(target -> target.connections.size())
                .sum();
    }
}
