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
 * Runs queries through a gatherer of its own before the real one listens, so that what serving
 * needs is loaded and compiled by then: a JVM that begins under load with a part of a core answers
 * nothing in time for seconds. All stays within the process: its sockets are files in a directory
 * that nobody else knows, and go with it. Where such sockets aren't granted, {@link StubWarmUp}
 * does what goes without.
 */
final class WarmUp {
    private static final Logger LOG = Logger.getLogger(WarmUp.class.getName());

    /** Most of what a query runs is compiled after so many. */
    private static final int MAX_QUERIES = 300;

    /** Whoever waits for this gatherer to start waits no longer than this for its warm-up. */
    private static final long TIMEOUT_MS = 6000;

    private static final int CLIENTS = 4;

    /**
     * After a restart clients come on new connections, so opening connections is warmed up as well.
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

    /** Returns when it is done; whatever goes wrong, only the time is lost. */
    static void run(NodeConfig config, DecisionPolicy.Factory policyFactory) {
        // What happens within the warm-up is no news to operators.
        Logger all = Logger.getLogger("sprucehold");
        all.setLevel(Level.OFF);
        long startedNanos = System.nanoTime();
        int queries = 0;
        try {
            queries = unixSocketsGranted() ? overSockets(config, policyFactory) : 0;
            queries = queries > 0 ? queries : StubWarmUp.run(config, policyFactory);
        } catch (RuntimeException e) {
            // The gatherer starts without the rest of its warm-up, and the line below says so.
        } finally {
            all.setLevel(null);
        }
        LOG.info(
                "warmed up: queries="
                        + queries
                        + ", duration_ms="
                        + (System.nanoTime() - startedNanos) / 1_000_000);
    }

    /** Whether sockets that stay within the process are granted. */
    private static boolean unixSocketsGranted() {
        try (var probe = SocketChannel.open(StandardProtocolFamily.UNIX)) {
            return probe.isOpen();
        } catch (IOException | UnsupportedOperationException e) {
            return false;
        }
    }

    private static int overSockets(NodeConfig config, DecisionPolicy.Factory policyFactory) {
        Path directory = null;
        var warmUp = new WarmUp(config);
        try {
            directory = Files.createTempDirectory("warm-up");
            warmUp.start(directory, policyFactory)
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (IOException | ExecutionException | TimeoutException e) {
            // What was asked until then counts.
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
                LOG.log(Level.FINE, "warm-up files not removed", e);
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
                        StandIns.shardServer(vertx, shardSocket)
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

    /** Asks one query after the other, some on each connection. */
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
                        ask(socket);
                    }
                });
        ask(socket);
        return closed.future();
    }

    /** Whether the last byte is the end of an answer's body, completed or not. */
    private static boolean endsAnswer(Buffer bytes) {
        byte last = bytes.getByte(bytes.length() - 1);
        return last == '}' || last == '\n';
    }

    private void ask(NetSocket socket) {
        socket.write(Buffer.buffer(queries.next(1 + queries.count() % MAX_PARTS)));
    }
}
