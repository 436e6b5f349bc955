package sprucehold.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import sprucehold.coordinator.EndpointUpdate;

/**
 * Discovery and shard servers on this machine, for trying a gatherer out; they know no trouble and
 * no load.
 */
public final class StandIns {
    private StandIns() {}

    /**
     * Starts a shard server for each of the list, and then discovery with that list.
     *
     * @param moved whether shard servers take any free port instead of the ones listed
     * @return the port of discovery
     */
    public static Future<Integer> start(
            Vertx vertx, String host, int port, List<EndpointUpdate> servers, boolean moved) {
        var endpoints = new ArrayList<ObjectNode>();
        Future<?> started = Future.succeededFuture();
        for (EndpointUpdate server : servers) {
            int colon = server.address().lastIndexOf(':');
            String at = server.address().substring(0, colon);
            int listed = Integer.parseInt(server.address().substring(colon + 1));
            started =
                    started.compose(
                                    before ->
                                            new StandInShardServer(vertx)
                                                    .listen(
                                                            SocketAddress.inetSocketAddress(
                                                                    moved ? 0 : listed, at)))
                            .map(
                                    listening ->
                                            endpoints.add(
                                                    endpoint(
                                                            server,
                                                            at + ":" + listening.actualPort())));
        }
        return started.compose(all -> new StandInDiscovery(vertx, endpoints).listen(host, port))
                .map(discovery -> discovery.actualPort());
    }

    /** Starts a shard server at any free port of a host, and returns the port. */
    public static Future<Integer> shardServerAt(Vertx vertx, String host) {
        return new StandInShardServer(vertx)
                .listen(SocketAddress.inetSocketAddress(0, host))
                .map(listening -> listening.actualPort());
    }

    /** Starts a shard server at the path of a socket. */
    public static Future<?> shardServer(Vertx vertx, String path) {
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
