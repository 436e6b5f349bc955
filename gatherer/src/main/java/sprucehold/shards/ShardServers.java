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
 * The connections to all shard servers: one each, a further one only when that can take no more.
 * Each attempt sent ends by exactly one {@link Observation.AttemptEnded}, each health check by one
 * {@link Observation.HealthCheckEnded}. All of it runs on one event loop.
 */
public final class ShardServers {
    private static final Logger LOG = Logger.getLogger(ShardServers.class.getName());

    /** How many dials' time is left for the way and the sweep before a server closes itself. */
    private static final int IDLE_RESERVE_DIALS = 2;

    /** Closes an idle connection whatever its age. */
    private static final double NO_IDLE_TIME_MS = -1;

    private final NetClient client;
    private final ConnectionSettings settings;
    private final int maxPartsPerCall;
    private final boolean loadByHealthCheck;
    private final DoubleSupplier clock;
    private final Consumer<Observation> observations;
    private final AttemptGate gate;
    private final Map<ShardServer, Peer> peers = new HashMap<>();

    /** Connections on which attempts wait that can be written in the next turn. */
    private final Set<ShardConnection> writable = new LinkedHashSet<>();

    /** The connections to one shard server. */
    private final class Peer implements ShardConnection.Owner {
        final ShardServer server;
        final List<ShardConnection> connections = new ArrayList<>();

        /** Whether the last dial failed; told to operators once. */
        boolean unreachable;

        Peer(ShardServer server) {
            this.server = server;
        }

        @Override
        public double nowMs() {
            return clock.getAsDouble();
        }

        @Override
        public boolean clientWaits(Query query) {
            return gate.clientWaits(query);
        }

        @Override
        public void begun(Attempt attempt) {
            gate.begun(attempt);
        }

        @Override
        public void attemptEnded(Attempt attempt, AttemptResult result) {
            observations.accept(new Observation.AttemptEnded(attempt, result));
        }

        @Override
        public void healthCheckEnded(AttemptResult result, double durationMs) {
            observations.accept(new Observation.HealthCheckEnded(server, result, durationMs));
        }

        @Override
        public void connected() {
            if (unreachable) {
                unreachable = false;
                LOG.info("shard server reachable again: " + server);
            }
        }

        @Override
        public void turnWanted(ShardConnection connection) {
            writable.add(connection);
            gate.turnWanted();
        }

        @Override
        public void closed(ShardConnection connection, boolean dialFailed, String why) {
            connections.remove(connection);
            if (dialFailed && !unreachable) {
                unreachable = true;
                LOG.warning("shard server unreachable: " + server + ", " + why);
            }
        }

        /** A connection that can take the call: an open one or a new one. */
        ShardConnection connectionFor(List<Attempt> call) {
            for (ShardConnection connection : List.copyOf(connections)) {
                if (connection.address().equals(server.address())
                        && connection.canTake(call)
                        && connection.isOpenStill()) {
                    return connection;
                }
            }
            var connection =
                    new ShardConnection(
                            this, server.address(), settings.maxPartsInFlight(), loadByHealthCheck);
            connections.add(connection);
            connection.dialled(dial(server.address()));
            return connection;
        }
    }

    /** The parts of one query that go to one shard server at one moment. */
    private record Destination(ShardServer server, Query query) {}

    /**
     * @param vertx on whose event loop all is called
     * @param settings how connections are used
     * @param maxPartsPerCall the most parts of one query that share a call
     * @param loadByHealthCheck whether health checks ask for a load report
     * @param clock the time in milliseconds
     * @param observations is told how attempts and health checks ended
     * @param gate is asked right before an attempt is written
     */
    public ShardServers(
            Vertx vertx,
            ConnectionSettings settings,
            int maxPartsPerCall,
            boolean loadByHealthCheck,
            DoubleSupplier clock,
            Consumer<Observation> observations,
            AttemptGate gate) {
        this.gate = gate;
        this.settings = settings;
        this.maxPartsPerCall = maxPartsPerCall;
        this.loadByHealthCheck = loadByHealthCheck;
        this.clock = clock;
        this.observations = observations;
        int dialMs = Math.max(1, (int) settings.connectTimeoutMs());
        this.client =
                vertx.createNetClient(
                        new NetClientOptions().setConnectTimeout(dialMs).setTcpNoDelay(true));
        vertx.setPeriodic(dialMs, timer -> sweep(dialMs));
    }

    private Future<NetSocket> dial(String address) {
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
     * Looks after all connections. Idle ones are closed well before the other side may; a server
     * that isn't listed any more gets nothing new, so its idle ones only hold descriptors.
     */
    void sweep(double dialMs) {
        double keptIdleMs = settings.idleTimeoutMs() - IDLE_RESERVE_DIALS * dialMs;
        for (Peer peer : peers.values()) {
            double idleMs = peer.server.running() ? keptIdleMs : NO_IDLE_TIME_MS;
            List.copyOf(peer.connections).forEach(connection -> connection.sweep(dialMs, idleMs));
        }
        peers.values().removeIf(peer -> peer.connections.isEmpty() && !peer.server.running());
    }

    /** Sends attempts decided at one moment; those of one query to one server share calls. */
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
        int most = Math.min(maxPartsPerCall, settings.maxPartsInFlight());
        for (int from = 0; from < attempts.size(); from += most) {
            List<Attempt> call = attempts.subList(from, Math.min(attempts.size(), from + most));
            if (destination.server.running()) {
                peers.computeIfAbsent(destination.server, Peer::new).connectionFor(call).send(call);
            } else {
                call.forEach(this::endUnwritten);
            }
        }
    }

    private void endUnwritten(Attempt attempt) {
        observations.accept(
                new Observation.AttemptEnded(
                        attempt, new AttemptResult.ConnectionLost(WriteProgress.NOT_WRITTEN)));
    }

    /**
     * Writes attempts that waited for a connection. To be called in a turn, once the decisions know
     * all that had come when it began.
     */
    public void writeWaiting() {
        List<ShardConnection> connections = List.copyOf(writable);
        writable.clear();
        connections.stream()
                .filter(ShardConnection::isOpenStill)
                .forEach(ShardConnection::writeWaiting);
    }

    /** Cancels attempts. */
    public void cancel(List<Attempt> attempts) {
        for (Attempt attempt : attempts) {
            Peer peer = peers.get(attempt.server());
            boolean found =
                    peer != null
                            && List.copyOf(peer.connections).stream()
                                    .anyMatch(connection -> connection.cancel(attempt));
            if (!found) {
                // Only after a panic is one on no connection and not observed to have ended; nobody
                // knows whether it was written.
                observations.accept(
                        new Observation.AttemptEnded(
                                attempt, new AttemptResult.Cancelled(WriteProgress.WRITTEN)));
            }
        }
    }

    /** Checks the health of shard servers. */
    public void checkHealth(List<ShardServer> servers) {
        for (ShardServer server : servers) {
            peers.computeIfAbsent(server, Peer::new).connectionFor(List.of()).checkHealth();
        }
    }

    /** How many connections are open or being dialled. */
    public int connections() {
        return peers.values().stream().mapToInt(peer -> peer.connections.size()).sum();
    }
}
