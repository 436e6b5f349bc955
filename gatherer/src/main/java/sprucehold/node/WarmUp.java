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
import sprucehold.coordinator.EndpointUpdate;
import sprucehold.decision.DecisionPolicy;
import sprucehold.discovery.EndpointList;
import sprucehold.standin.StandIns;

/**
 * Runs scans through a gatherer of its own before the real one listens, so that what serving needs
 * is loaded and compiled by then: a JVM that begins under load with a part of a core answers
 * nothing in time for seconds. All stays within the process: its sockets are files in a directory
 * that nobody else knows, and go with it. Where such sockets aren't granted, {@link StubWarmUp}
 * does what goes without.
 */
final class WarmUp {
    private static final Logger LOG = Logger.getLogger(WarmUp.class.getName());

    /** Most of what a scan runs is compiled by then. */
    private static final int SCANS = 300;

    /** Whoever waits for this gatherer waits no longer for it. */
    private static final long LONGEST_MS = 6000;

    private static final int CLIENTS = 4;

    /**
     * Whoever finds a gatherer back after a restart comes on a new connection, so those are
     * rehearsed as well.
     */
    private static final int SCANS_A_CONNECTION = 3;

    private final Vertx vertx = Service.vertx();
    private final NodeConfig config;
    private final WarmUpQueries scans;

    private WarmUp(NodeConfig config) {
        this.config = config;
        this.scans = new WarmUpQueries(config);
    }

    /** Returns when it is done; whatever goes wrong, only the time is lost. */
    static void run(NodeConfig config, DecisionPolicy.Factory factory) {
        // What is tried here is no news to operators.
        Logger all = Logger.getLogger("sprucehold");
        all.setLevel(Level.OFF);
        long begun = System.nanoTime();
        int scans = 0;
        try {
            scans = withinTheProcess() ? overSockets(config, factory) : 0;
            scans = scans > 0 ? scans : StubWarmUp.run(config, factory);
        } catch (RuntimeException e) {
            // Served cold then.
        } finally {
            all.setLevel(null);
        }
        LOG.info(
                "warmed up by "
                        + scans
                        + " scans in "
                        + (System.nanoTime() - begun) / 1_000_000
                        + " ms");
    }

    /** Whether sockets that stay within the process are granted. */
    private static boolean withinTheProcess() {
        try (var probe = SocketChannel.open(StandardProtocolFamily.UNIX)) {
            return probe.isOpen();
        } catch (IOException | UnsupportedOperationException e) {
            return false;
        }
    }

    private static int overSockets(NodeConfig config, DecisionPolicy.Factory factory) {
        Path directory = null;
        var warmUp = new WarmUp(config);
        try {
            directory = Files.createTempDirectory("warm-up");
            warmUp.start(directory, factory)
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(LONGEST_MS, TimeUnit.MILLISECONDS);
        } catch (IOException | ExecutionException | TimeoutException e) {
            // Served cold then.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            warmUp.vertx.close().toCompletionStage().toCompletableFuture().join();
            remove(directory);
        }
        return warmUp.scans.asked();
    }

    private static void remove(Path directory) {
        if (directory == null) {
            return;
        }
        for (String name : List.of("clients", "shards", "")) {
            try {
                Files.deleteIfExists(directory.resolve(name));
            } catch (IOException e) {
                LOG.log(Level.FINE, "left of the warm-up", e);
            }
        }
    }

    private Future<Void> start(Path directory, DecisionPolicy.Factory factory) {
        String shards = directory.resolve("shards").toString();
        var servers = new ArrayList<EndpointUpdate>();
        for (int cell = 0; cell < config.facts().deployment().layout().replicaGroups(); cell++) {
            for (String holder : List.of("a", "b")) {
                servers.add(
                        new EndpointUpdate(
                                holder + cell, shards, cell, "", 0, EndpointUpdate.State.RUNNING));
            }
        }
        var clients = new NodeConfig.Address(directory.resolve("clients").toString(), 0);
        var warm =
                new NodeConfig(
                        config.name(),
                        clients,
                        NodeConfig.Address.NONE,
                        config.seed(),
                        config.sockets(),
                        new EndpointList(0, true, servers),
                        config.facts());
        Promise<Void> done = Promise.promise();
        vertx.runOnContext(
                none ->
                        StandIns.shardServer(vertx, shards)
                                .compose(
                                        listening -> new GathererNode(vertx, warm, factory).start())
                                .compose(
                                        listening -> {
                                            var asking = new ArrayList<Future<Void>>();
                                            for (int i = 0; i < CLIENTS; i++) {
                                                asking.add(
                                                        ask(
                                                                vertx.createNetClient(),
                                                                clients.socket()));
                                            }
                                            return Future.all(asking);
                                        })
                                .onComplete(all -> done.complete(), done::fail));
        return done.future();
    }

    /** Asks one scan after the other, some on each connection. */
    private Future<Void> ask(NetClient client, SocketAddress at) {
        if (scans.asked() >= SCANS) {
            return Future.succeededFuture();
        }
        return client.connect(at)
                .compose(
                        socket -> {
                            Promise<Void> done = Promise.promise();
                            var answers = new AtomicInteger();
                            socket.closeHandler(none -> done.tryComplete());
                            socket.handler(
                                    bytes -> {
                                        // The end of an answer's body, completed or not.
                                        byte last = bytes.getByte(bytes.length() - 1);
                                        if (last != '}' && last != '\n') {
                                            return;
                                        }
                                        if (answers.incrementAndGet() == SCANS_A_CONNECTION) {
                                            socket.close();
                                        } else {
                                            next(socket);
                                        }
                                    });
                            next(socket);
                            return done.future();
                        })
                .compose(closed -> ask(client, at));
    }

    private void next(NetSocket socket) {
        socket.write(Buffer.buffer(scans.next(1 + scans.asked() % 6)));
    }
}
