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
 */
public final class ShardServers {
    private static final Logger LOG = Logger.getLogger(ShardServers.class.getName());

    private final NetClient client;
    private final ConnectionSettings limits;
    private final int callParts;
    private final boolean loadByProbe;
    private final DoubleSupplier clock;
    private final Consumer<Observation> reports;
    private final AttemptGate gate;
    private final Map<ShardServer, Peer> peers = new HashMap<>();

    /** Links on which calls wait that can be written in the next turn. */
    private final Set<ShardConnection> ready = new LinkedHashSet<>();

    private final class Peer implements ShardConnection.Owner {
        final ShardServer server;
        final List<ShardConnection> links = new ArrayList<>();
        boolean unreachable;

        Peer(ShardServer server) {
            this.server = server;
        }

        @Override
        public double now() {
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
        public void ended(Attempt attempt, AttemptResult result) {
            reports.accept(new Observation.AttemptEnded(attempt, result));
        }

        @Override
        public void probeEnded(ShardConnection link, AttemptResult result, double tookMs) {
            reports.accept(new Observation.HealthCheckEnded(server, result, tookMs));
        }

        @Override
        public void up(ShardConnection link) {
            if (unreachable) {
                unreachable = false;
                LOG.info("shard server " + server + " is reached again");
            }
        }

        @Override
        public void turnWanted(ShardConnection link) {
            ready.add(link);
            gate.turnWanted();
        }

        @Override
        public void closed(ShardConnection link, boolean neverUp, String why) {
            links.remove(link);
            if (neverUp && !unreachable) {
                unreachable = true;
                LOG.warning("shard server " + server + " can't be reached: " + why);
            }
        }

        /** A link that can take the call: an open one or a new one. */
        ShardConnection link(List<Attempt> call) {
            for (ShardConnection link : List.copyOf(links)) {
                if (link.address().equals(server.address())
                        && link.fits(call)
                        && link.isOpenStill()) {
                    return link;
                }
            }
            var link = new ShardConnection(this, server.address(), limits.maxPartsInFlight());
            links.add(link);
            link.dialled(dial(server.address()));
            return link;
        }
    }

    public ShardServers(
            Vertx vertx,
            ConnectionSettings limits,
            int callParts,
            boolean loadByProbe,
            DoubleSupplier clock,
            Consumer<Observation> reports,
            AttemptGate gate) {
        this.gate = gate;
        this.limits = limits;
        this.callParts = callParts;
        this.loadByProbe = loadByProbe;
        this.clock = clock;
        this.reports = reports;
        int dialMs = Math.max(1, (int) limits.connectTimeoutMs());
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
     * Links are closed well before the other side may: two dials' time is left for the way and the
     * sweep.
     */
    void sweep(double dialMs) {
        for (Peer peer : peers.values()) {
            // What isn't listed any more gets nothing new, so its links only hold descriptors.
            double idleMs = peer.server.running() ? limits.idleTimeoutMs() - 2 * dialMs : -1;
            List.copyOf(peer.links).forEach(link -> link.sweep(dialMs, idleMs));
        }
        peers.values().removeIf(peer -> peer.links.isEmpty() && !peer.server.running());
    }

    /** Sends dispatches ordered at one moment; those of one scan to one server share calls. */
    public void send(List<Attempt> dispatches) {
        record Call(ShardServer server, Object scan) {}
        var calls = new LinkedHashMap<Call, List<Attempt>>();
        for (Attempt attempt : dispatches) {
            calls.computeIfAbsent(
                            new Call(attempt.server(), attempt.query()), key -> new ArrayList<>())
                    .add(attempt);
        }
        calls.forEach(
                (key, parts) -> {
                    int most = Math.min(callParts, limits.maxPartsInFlight());
                    for (int from = 0; from < parts.size(); from += most) {
                        List<Attempt> call =
                                parts.subList(from, Math.min(parts.size(), from + most));
                        if (!key.server.running()) {
                            call.forEach(
                                    attempt ->
                                            reports.accept(
                                                    new Observation.AttemptEnded(
                                                            attempt,
                                                            new AttemptResult.ConnectionLost(
                                                                    WriteProgress.NOT_WRITTEN))));
                        } else {
                            peers.computeIfAbsent(key.server, Peer::new).link(call).send(call);
                        }
                    }
                });
    }

    /**
     * Writes calls that waited for a connection. To be called in a turn, once the decisions know
     * all that had come when it began.
     */
    public void writeWaiting() {
        List<ShardConnection> links = List.copyOf(ready);
        ready.clear();
        links.stream().filter(ShardConnection::isOpenStill).forEach(ShardConnection::writeWaiting);
    }

    public void cancel(List<Attempt> dispatches) {
        for (Attempt attempt : dispatches) {
            Peer peer = peers.get(attempt.server());
            boolean found =
                    peer != null
                            && List.copyOf(peer.links).stream()
                                    .anyMatch(link -> link.cancel(attempt));
            if (!found) {
                // Only after a panic is one on no link and not reported; nobody knows whether it
                // was written.
                reports.accept(
                        new Observation.AttemptEnded(
                                attempt, new AttemptResult.Cancelled(WriteProgress.WRITTEN)));
            }
        }
    }

    public void probe(List<ShardServer> servers) {
        servers.forEach(
                server ->
                        peers.computeIfAbsent(server, Peer::new)
                                .link(List.of())
                                .probe(loadByProbe));
    }

    public int links() {
        return peers.values().stream().mapToInt(peer -> peer.links.size()).sum();
    }
}
