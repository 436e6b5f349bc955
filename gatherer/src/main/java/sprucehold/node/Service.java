package sprucehold.node;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import java.util.logging.Level;
import java.util.logging.Logger;
import sprucehold.admin.AdminConfig;
import sprucehold.decision.DecisionPolicy;
import sprucehold.sockets.RetryingAcceptTransport;
import sprucehold.standin.StandIns;

/**
 * Process of a gatherer: creates its event loop, applies a changed address of discovery on SIGHUP,
 * and shuts the gatherer down on SIGTERM.
 */
public final class Service {
    private static final Logger LOG = Logger.getLogger(Service.class.getName());

    /**
     * Time beyond the longest configured deadline for which the shutdown waits, in milliseconds. It
     * covers queries that were received with more time left than that deadline.
     */
    private static final long SHUTDOWN_MARGIN_MS = 5000;

    private Service() {}

    /**
     * Options of a serving process.
     *
     * @param config the gatherer's configuration
     * @param warmUpPolicy creates the decision policy of the warm-up
     * @param policy creates the decision policy that serves
     * @param admin the configuration of the admin server; null for a gatherer without one
     * @param extensions the factories of the gatherer's extensions
     * @param reload reads the configuration again on SIGHUP
     * @param afterEnd is called once the gatherer has answered all queries and ended, or its
     *     shutdown has failed or timed out; it runs on the thread of the shutdown hook
     */
    public record Options(
            NodeConfig config,
            DecisionPolicy.Factory warmUpPolicy,
            DecisionPolicy.Factory policy,
            AdminConfig admin,
            List<NodeExtension.Factory> extensions,
            Callable<NodeConfig> reload,
            Runnable afterEnd) {}

    /**
     * Starts the gatherer, which serves until the process ends; returns once it serves.
     *
     * @throws StartFailedException if the gatherer can't be started
     */
    public static void start(Options options) throws StartFailedException {
        NodeConfig config = options.config();
        WarmUp.run(config, options.warmUpPolicy());
        Vertx vertx = vertx();
        var started = new CompletableFuture<GathererNode>();
        var nodeReference = new AtomicReference<GathererNode>();
        // Registered before the gatherer listens, since every query that it receives from then on
        // has to be answered.
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    shutDown(vertx, nodeReference, config);
                                    options.afterEnd().run();
                                },
                                "end"));
        vertx.runOnContext(none -> startNode(vertx, options, nodeReference, started));
        GathererNode node = await(started);
        Signals.onHangUp(() -> reconfigure(vertx, node, options.reload()));
    }

    /**
     * Creates and starts a node, on the event loop; {@code nodeReference} is set before the start.
     */
    private static void startNode(
            Vertx vertx,
            Options options,
            AtomicReference<GathererNode> nodeReference,
            CompletableFuture<GathererNode> started) {
        try {
            var node =
                    new GathererNode(
                            vertx,
                            options.config(),
                            options.policy(),
                            options.admin(),
                            options.extensions());
            nodeReference.set(node);
            node.start().onComplete(done -> started.complete(node), started::completeExceptionally);
        } catch (IOException | StartFailedException | RuntimeException e) {
            // Any failure is passed to the caller, which waits on another thread.
            started.completeExceptionally(e);
        }
    }

    /** Creates a Vert.x instance with one event loop and as few threads as possible. */
    static Vertx vertx() {
        var options =
                new VertxOptions()
                        .setEventLoopPoolSize(1)
                        .setWorkerPoolSize(1)
                        .setInternalBlockingPoolSize(1);
        return Vertx.builder().with(options).withTransport(new RetryingAcceptTransport()).build();
    }

    /**
     * Starts stubs of discovery and of all shard servers in the configuration, on their configured
     * addresses. The stubs serve until the process ends; the method returns once they serve.
     *
     * @throws StartFailedException if the configuration contains no endpoint list, or a stub can't
     *     listen on its address
     */
    public static void startStubs(NodeConfig config) throws StartFailedException {
        requireKnownEndpoints(config);
        Vertx vertx = vertx();
        var started = new CompletableFuture<Integer>();
        vertx.runOnContext(
                none ->
                        StandIns.start(
                                        vertx,
                                        config.discovery().host(),
                                        config.discovery().port(),
                                        config.knownEndpoints().servers(),
                                        false)
                                .onComplete(started::complete, started::completeExceptionally));
        await(started);
        LOG.info(
                "stubs listening: discovery="
                        + config.discovery()
                        + ", shard_servers="
                        + config.knownEndpoints().servers().size());
    }

    static void requireKnownEndpoints(NodeConfig config) throws StartFailedException {
        if (config.knownEndpoints() == null) {
            throw new StartFailedException(
                    "the configuration contains no endpoint list for the stubs");
        }
    }

    private static <T> T await(CompletableFuture<T> started) throws StartFailedException {
        try {
            return started.get();
        } catch (ExecutionException e) {
            throw new StartFailedException(String.valueOf(e.getCause().getMessage()), e.getCause());
        } catch (InterruptedException e) {
            throw new StartFailedException("interrupted", e);
        }
    }

    /**
     * Reads the configuration again and passes it to the gatherer, which applies only the address
     * of discovery. The method runs on the signal's thread. Calls are serialized, so that the
     * configuration that was read last takes effect.
     */
    private static synchronized void reconfigure(
            Vertx vertx, GathererNode node, Callable<NodeConfig> reload) {
        LOG.info("SIGHUP received: reading the configuration again");
        try {
            NodeConfig newConfig = reload.call();
            vertx.runOnContext(none -> node.reconfigure(newConfig));
        } catch (Exception e) {
            LOG.log(
                    Level.WARNING,
                    "configuration rejected, keeping the current one: " + e.getMessage());
        }
    }

    /**
     * Shuts down the gatherer. It runs on the thread of the shutdown hook, which waits for the
     * event loop.
     */
    private static void shutDown(
            Vertx vertx, AtomicReference<GathererNode> nodeReference, NodeConfig config) {
        double longestDeadlineMs = config.settings().longestDeadlineMs();
        var ended = new CompletableFuture<Void>();
        vertx.runOnContext(
                none ->
                        endNode(
                                        nodeReference.get(),
                                        DrainSchedule.forLongestDeadline(longestDeadlineMs))
                                .onComplete(ended::complete, ended::completeExceptionally));
        try {
            ended.get((long) longestDeadlineMs + SHUTDOWN_MARGIN_MS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            LOG.log(Level.WARNING, "shutdown failed or timed out, queries may be unanswered", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Ends a gatherer; {@code node} is null if the shutdown begins before the gatherer is created.
     */
    private static Future<Void> endNode(GathererNode node, DrainSchedule schedule) {
        return node == null ? Future.succeededFuture() : node.end(schedule);
    }
}
