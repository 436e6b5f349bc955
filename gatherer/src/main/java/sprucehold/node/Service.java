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
import sprucehold.sockets.AcceptingTransport;
import sprucehold.standin.StandIns;

/** The process around a gatherer: its event loop, SIGHUP, and its end on SIGTERM. */
public final class Service {
    private static final Logger LOG = Logger.getLogger(Service.class.getName());

    /**
     * Beyond the longest deadline, in milliseconds: the end waits so long for queries that were
     * received with more time left than that.
     */
    private static final long END_MARGIN_MS = 5000;

    private Service() {}

    /**
     * What a process serves.
     *
     * @param warmUpPolicy starts the decisions of the warm-up
     * @param policy starts the decisions that serve
     * @param admin where operators change the configuration, or null
     * @param extensions make the gatherer's extensions
     * @param reload reads the configuration anew when SIGHUP asks for it
     * @param afterEnd is called once all queries are answered, on the thread that ends the process
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
     * Serves until the process is ended; returns once it serves.
     *
     * @throws StartFailedException if it can't serve
     */
    public static void start(Options options) throws StartFailedException {
        NodeConfig config = options.config();
        WarmUp.run(config, options.warmUpPolicy());
        Vertx vertx = vertx();
        var started = new CompletableFuture<GathererNode>();
        var made = new AtomicReference<GathererNode>();
        // Before it listens: what it receives from its first moment on is owed an answer.
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    end(vertx, made, config);
                                    options.afterEnd().run();
                                },
                                "end"));
        vertx.runOnContext(none -> startNode(vertx, options, made, started));
        GathererNode node = await(started);
        Signals.onHangUp(() -> reconfigure(vertx, node, options.reload()));
    }

    /** Runs on the event loop; {@code made} is set before the node is started. */
    private static void startNode(
            Vertx vertx,
            Options options,
            AtomicReference<GathererNode> made,
            CompletableFuture<GathererNode> started) {
        try {
            var node =
                    new GathererNode(
                            vertx,
                            options.config(),
                            options.policy(),
                            options.admin(),
                            options.extensions());
            made.set(node);
            node.start().onComplete(done -> started.complete(node), started::completeExceptionally);
        } catch (IOException | StartFailedException | RuntimeException e) {
            // Whatever it is, the caller waits for it on another thread.
            started.completeExceptionally(e);
        }
    }

    /** One event loop for everything, and no more threads than must be. */
    static Vertx vertx() {
        var options =
                new VertxOptions()
                        .setEventLoopPoolSize(1)
                        .setWorkerPoolSize(1)
                        .setInternalBlockingPoolSize(1);
        return Vertx.builder().with(options).withTransport(new AcceptingTransport()).build();
    }

    /**
     * Serves stubs of discovery and of all shard servers that the configuration names, on their
     * addresses, until the process is ended; returns once they serve.
     *
     * @throws StartFailedException if the configuration knows no endpoint list, or an address can't
     *     be listened on
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
            throw new StartFailedException("no known list to stand in for");
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

    /** Runs on the signal's own thread; one at a time, so that what was read last counts. */
    private static synchronized void reconfigure(
            Vertx vertx, GathererNode node, Callable<NodeConfig> reload) {
        LOG.info("SIGHUP received: reading the configuration again");
        try {
            NodeConfig now = reload.call();
            vertx.runOnContext(none -> node.reconfigure(now));
        } catch (Exception e) {
            LOG.log(
                    Level.WARNING,
                    "configuration rejected, the current one stays: " + e.getMessage());
        }
    }

    /** Runs on the hook's own thread, and only waits there for what the event loop does. */
    private static void end(Vertx vertx, AtomicReference<GathererNode> made, NodeConfig config) {
        double longestDeadlineMs = config.settings().longestDeadlineMs();
        var ended = new CompletableFuture<Void>();
        vertx.runOnContext(
                none ->
                        endNode(made.get(), DrainSchedule.forLongestDeadline(longestDeadlineMs))
                                .onComplete(ended::complete, ended::completeExceptionally));
        try {
            ended.get((long) longestDeadlineMs + END_MARGIN_MS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            LOG.log(Level.WARNING, "ended before all queries were answered", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Ends a gatherer; null if the process is told to end before it has one. */
    private static Future<Void> endNode(GathererNode node, DrainSchedule schedule) {
        return node == null ? Future.succeededFuture() : node.end(schedule);
    }
}
