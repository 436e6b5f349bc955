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

/** The process around a node: its event loop, and its end on a signal. */
public final class Service {
    private static final Logger LOG = Logger.getLogger(Service.class.getName());

    private Service() {}

    /**
     * Serves until the process is ended; returns once it serves.
     *
     * @param rehearsed starts the module that scans of its own warm up
     * @param factory starts the module that serves
     * @param door where operators change its configuration, or null
     * @param beside makes what stands beside the node
     * @param reread reads the configuration anew when SIGHUP asks for it
     * @param ended is called once all is answered, on the thread that ends the process
     */
    public static void start(
            NodeConfig config,
            DecisionPolicy.Factory rehearsed,
            DecisionPolicy.Factory factory,
            AdminConfig door,
            List<NodeExtension.Factory> beside,
            Callable<NodeConfig> reread,
            Runnable ended)
            throws StartFailedException {
        WarmUp.run(config, rehearsed);
        Vertx vertx = vertx();
        var started = new CompletableFuture<GathererNode>();
        var made = new AtomicReference<GathererNode>();
        // Before it listens: what it takes from its first moment on is owed an answer.
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    end(vertx, made, config);
                                    ended.run();
                                },
                                "end"));
        vertx.runOnContext(
                none -> {
                    try {
                        var node = new GathererNode(vertx, config, factory, door, beside);
                        made.set(node);
                        node.start()
                                .onComplete(
                                        done -> started.complete(node),
                                        started::completeExceptionally);
                    } catch (IOException | RuntimeException e) {
                        started.completeExceptionally(e);
                    }
                });
        GathererNode node = await(started);
        Signals.onHangUp(() -> reconfigure(vertx, node, reread));
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

    /** Serves stand-ins for all that the configuration names, on its addresses. */
    public static void standIn(NodeConfig config) throws StartFailedException {
        if (config.knownEndpoints() == null) {
            throw new StartFailedException("no known list to stand in for");
        }
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
                "standing in for discovery at "
                        + config.discovery()
                        + " and "
                        + config.knownEndpoints().servers().size()
                        + " shard servers");
    }

    private static <T> T await(CompletableFuture<T> started) throws StartFailedException {
        try {
            return started.get();
        } catch (ExecutionException e) {
            throw new StartFailedException(String.valueOf(e.getCause().getMessage()));
        } catch (InterruptedException e) {
            throw new StartFailedException("interrupted");
        }
    }

    /** Runs on the signal's own thread; one at a time, so that what was read last counts. */
    private static synchronized void reconfigure(
            Vertx vertx, GathererNode node, Callable<NodeConfig> reread) {
        LOG.info("SIGHUP: the configuration is read again");
        try {
            NodeConfig now = reread.call();
            vertx.runOnContext(none -> node.reconfigure(now));
        } catch (Exception e) {
            LOG.log(
                    Level.WARNING,
                    "the configuration can't be used and the one held is kept: " + e.getMessage());
        }
    }

    /** Runs on the hook's own thread, and only waits there for what the event loop does. */
    private static void end(Vertx vertx, AtomicReference<GathererNode> made, NodeConfig config) {
        var ended = new CompletableFuture<Void>();
        vertx.runOnContext(
                none -> {
                    GathererNode node = made.get();
                    (node == null
                                    ? Future.<Void>succeededFuture()
                                    : node.end(
                                            DrainSchedule.forLongestDeadline(
                                                    config.settings().longestDeadlineMs())))
                            .onComplete(ended::complete, ended::completeExceptionally);
                });
        try {
            // Beyond the time at which it may be killed, for what was taken with more time left.
            ended.get((long) config.settings().longestDeadlineMs() + 5000, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            LOG.log(Level.WARNING, "ended before all was answered", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The gatherer can't be started. */
    public static final class StartFailedException extends Exception {
        private static final long serialVersionUID = 1L;

        StartFailedException(String message) {
            super(message);
        }
    }
}
