package sprucehold.node;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.io.IOException;
import java.net.StandardProtocolFamily;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.logging.Level;
import java.util.logging.Logger;
import sprucehold.decision.DecisionPolicy;
import sprucehold.discovery.EndpointList;
import sprucehold.standin.StandIns;

/**
 * Warm-up of the process: runs queries through a separate gatherer before the real one listens, so
 * that the classes for serving are loaded and their methods compiled by then. A JVM that starts
 * under load with a fraction of a core answers no query in time for several seconds. The warm-up
 * stays within the process: its sockets are Unix domain sockets in a private temporary directory,
 * which is removed afterwards. If such sockets aren't available, {@link StubWarmUp} warms up the
 * code that needs no sockets.
 */
final class WarmUp {
    private static final Logger LOG = Logger.getLogger(WarmUp.class.getName());

    /** Number of queries after which most methods that a query calls are compiled. */
    private static final int MAX_QUERIES = 300;

    /**
     * Timeout of the warm-up over sockets, in milliseconds. It bounds how long the warm-up delays
     * the start of the gatherer.
     */
    private static final long TIMEOUT_MS = 6000;

    private static final int CLIENTS = 4;

    /**
     * Number of queries on each connection. After a restart clients open new connections, so
     * opening connections is warmed up as well.
     */
    private static final int QUERIES_PER_CONNECTION = 3;

    private static final int MAX_PARTS = 6;
    private static final String CLIENT_SOCKET = "clients";
    private static final String SHARD_SOCKET = "shards";

    private final Vertx vertx = Service.vertx();
    private final NodeConfig config;
    private final WarmUpQueries queries;

    private WarmUp(NodeConfig config) {
        this.config = config;
        this.queries = new WarmUpQueries(config);
    }

    /**
     * Runs the warm-up and returns when it is done. A failure of the warm-up doesn't prevent the
     * start of the gatherer.
     */
    static void run(NodeConfig config, DecisionPolicy.Factory policyFactory) {
        // Log lines of the warm-up's own gatherer are of no use to operators.
        Logger logger = Logger.getLogger("sprucehold");
        logger.setLevel(Level.OFF);
        long startedNanos = System.nanoTime();
        int queries = 0;
        try {
            queries = unixSocketsAvailable() ? runOverSockets(config, policyFactory) : 0;
            queries = queries > 0 ? queries : StubWarmUp.run(config, policyFactory);
        } catch (RuntimeException e) {
            // The gatherer starts without the rest of its warm-up; the log line below then reports
            // 0 queries.
        } finally {
            logger.setLevel(null);
        }
        LOG.info(
                "warmed up: queries="
                        + queries
                        + ", duration_ms="
                        + (System.nanoTime() - startedNanos) / 1_000_000);
    }

    /** Whether the platform lets the process open Unix domain sockets. */
    private static boolean unixSocketsAvailable() {
        try (var probe = SocketChannel.open(StandardProtocolFamily.UNIX)) {
            return probe.isOpen();
        } catch (IOException | UnsupportedOperationException e) {
            return false;
        }
    }

    private static int runOverSockets(NodeConfig config, DecisionPolicy.Factory policyFactory) {
        Path directory = null;
        var warmUp = new WarmUp(config);
        try {
            directory = Files.createTempDirectory("warm-up");
            warmUp.start(directory, policyFactory)
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (IOException | ExecutionException | TimeoutException e) {
            // The queries that were sent until then have warmed up the process.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            warmUp.vertx.close().toCompletionStage().toCompletableFuture().join();
            remove(directory);
        }
        return warmUp.queries.count();
    }

    private static void remove(Path directory) {
        if (directory == null) {
            return;
        }
        for (String name : List.of(CLIENT_SOCKET, SHARD_SOCKET, "")) {
            try {
                Files.deleteIfExists(directory.resolve(name));
            } catch (IOException e) {
                LOG.log(Level.FINE, "cannot remove a file of the warm-up", e);
            }
        }
    }

    private Future<Void> start(Path directory, DecisionPolicy.Factory policyFactory) {
        String shardSocket = directory.resolve(SHARD_SOCKET).toString();
        var listen = new NodeConfig.Address(directory.resolve(CLIENT_SOCKET).toString(), 0);
        NodeConfig warmUpConfig = configAt(listen, shardSocket);
        Promise<Void> done = Promise.promise();
        vertx.runOnContext(
                none ->
                        StandIns.startShardServer(vertx, shardSocket)
                                .compose(
                                        listening ->
                                                new GathererNode(vertx, warmUpConfig, policyFactory)
                                                        .start())
                                .compose(listening -> runClients(listen.socket()))
                                .onComplete(all -> done.complete(), done::fail));
        return done.future();
    }

    private NodeConfig configAt(NodeConfig.Address listen, String shardSocket) {
        int replicaGroups = config.settings().deployment().layout().replicaGroups();
        var endpoints =
                new EndpointList(0, true, WarmUpQueries.endpoints(replicaGroups, shardSocket, ""));
        return new NodeConfig(
                config.name(),
                listen,
                NodeConfig.Address.NONE,
                config.seed(),
                config.maxDescriptors(),
                endpoints,
                config.settings());
    }

    private Future<Void> runClients(SocketAddress server) {
        var clients = new ArrayList<Future<Void>>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(runClient(vertx.createNetClient(), server));
        }
        return Future.all(clients).mapEmpty();
    }

    /** Sends one query after the other, {@link #QUERIES_PER_CONNECTION} on each connection. */
    private Future<Void> runClient(NetClient client, SocketAddress server) {
        if (queries.count() >= MAX_QUERIES) {
            return Future.succeededFuture();
        }
        return client.connect(server)
                .compose(this::runConnection)
                .compose(closed -> runClient(client, server));
    }

    private Future<Void> runConnection(NetSocket socket) {
        Promise<Void> closed = Promise.promise();
        var answers = new AtomicInteger();
        socket.closeHandler(none -> closed.tryComplete());
        socket.handler(
                bytes -> {
                    if (!endsAnswer(bytes)) {
                        return;
                    }
                    if (answers.incrementAndGet() == QUERIES_PER_CONNECTION) {
                        socket.close();
                    } else {
                        sendQuery(socket);
                    }
                });
        sendQuery(socket);
        return closed.future();
    }

    /**
     * Whether the last byte ends the body of an answer. A completed answer ends with a brace, a
     * rejected or failed one with a line feed.
     */
    private static boolean endsAnswer(Buffer bytes) {
        byte last = bytes.getByte(bytes.length() - 1);
        return last == '}' || last == '\n';
    }

    private void sendQuery(NetSocket socket) {
        socket.write(Buffer.buffer(queries.next(1 + queries.count() % MAX_PARTS)));
    }
}
