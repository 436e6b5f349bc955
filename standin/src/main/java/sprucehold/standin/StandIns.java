package sprucehold.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import sprucehold.coordinator.EndpointUpdate;

/**
 * Starts stand-ins for discovery and shard servers on the local machine, without faults, for trying
 * out a gatherer.
 */
public final class StandIns {
    private StandIns() {}

    /**
     * Starts a shard server for each endpoint, and then discovery with the list of these endpoints.
     *
     * @param host host at which discovery listens
     * @param port port at which discovery listens, 0 for any free port
     * @param servers endpoints for which shard servers are started
     * @param anyPorts whether shard servers listen at any free port instead of the listed port
     * @return the port of discovery
     */
    public static Future<Integer> start(
            Vertx vertx, String host, int port, List<EndpointUpdate> servers, boolean anyPorts) {
        var endpoints = new ArrayList<ObjectNode>();
        Future<?> started = Future.succeededFuture();
        for (EndpointUpdate server : servers) {
            started =
                    started.compose(ignored -> startServer(vertx, server, anyPorts))
                            .map(address -> endpoints.add(endpoint(server, address)));
        }
        return started.compose(ignored -> new StandInDiscovery(vertx, endpoints).listen(host, port))
                .map(HttpServer::actualPort);
    }

    /** Starts the shard server of an endpoint. The future completes with its address. */
    private static Future<String> startServer(Vertx vertx, EndpointUpdate server, boolean anyPort) {
        int colon = server.address().lastIndexOf(':');
        String host = server.address().substring(0, colon);
        int listedPort = Integer.parseInt(server.address().substring(colon + 1));
        return new StandInShardServer(vertx)
                .listen(SocketAddress.inetSocketAddress(anyPort ? 0 : listedPort, host))
                .map(listener -> host + ":" + listener.actualPort());
    }

    /** Starts a shard server at any free port of a host. The future completes with the port. */
    public static Future<Integer> startShardServerOnFreePort(Vertx vertx, String host) {
        return new StandInShardServer(vertx)
                .listen(SocketAddress.inetSocketAddress(0, host))
                .map(NetServer::actualPort);
    }

    /** Starts a shard server at a Unix domain socket. */
    public static Future<?> startShardServer(Vertx vertx, String path) {
        return new StandInShardServer(vertx).listen(SocketAddress.domainSocketAddress(path));
    }

    private static ObjectNode endpoint(EndpointUpdate server, String address) {
        return new ObjectMapper()
                .createObjectNode()
                .put("name", server.name())
                .put("address", address)
                .put("zone", server.zone())
                .put("group", server.replicaGroup())
                .put("status", "active")
                .put("since_ms", server.startedAtMs());
    }
}
